/** @file libwire.h Shared by the files of this package only. */
#ifndef LIBWIRE_H
#define LIBWIRE_H

#include "wire.h"

/** Types of members. */
typedef enum wire_type {
	WIRE_STR,
	WIRE_U64,
	WIRE_I64,
	WIRE_LIST,   /* host_list_t */
	WIRE_GROUPS, /* groups and ngroups */
	WIRE_PARTS,  /* parts and nparts */
	WIRE_HITS,   /* hits and nhits */
	WIRE_TYPES,
} wire_type_t;

/** A member: its type, its place in peer_msg_t, the kinds that have it. */
typedef struct wire_field {
	wire_type_t type;
	unsigned kinds; /* bits of peer_kind_t */
	size_t at;
} wire_field_t;

extern const wire_field_t wire_fields[];
extern const size_t wire_nfields;
/** Number of members of a kind. */
size_t wire_count(peer_kind_t kind);

#endif
