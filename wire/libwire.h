/** @file libwire.h Private to wire/: the table of the fields of messages. */
#ifndef LIBWIRE_H
#define LIBWIRE_H

#include "wire.h"

#define WIRE_HEADER_ELEMENTS 2 /* version and kind, before the fields */

/** Types of fields. */
typedef enum wire_type {
	WIRE_STR,
	WIRE_U64,
	WIRE_I64,
	WIRE_HOST_LIST,	    /* host_list_t */
	WIRE_GROUPS,	    /* groups and ngroups of peer_msg_t */
	WIRE_GROUP_RESULTS, /* group_results and ngroup_results of peer_msg_t */
	WIRE_HITS,	    /* hits and nhits of peer_msg_t */
	WIRE_TYPES,
} wire_type_t;

/** A field of peer_msg_t that is sent in messages of some kinds. */
typedef struct wire_field {
	wire_type_t type;
	unsigned kinds; /* bit 1 << kind for each peer_kind_t with the field */
	size_t offset;	/* in peer_msg_t, bytes */
} wire_field_t;

extern const wire_field_t wire_fields[]; /* in the order on the wire */
extern const size_t wire_nfields;
/** Returns the number of fields in messages of a kind. */
size_t wire_field_count(peer_kind_t kind);

#endif
