/**
 * @file wire.h
 * Messages between daemons as bytes: an array of version, kind and the
 * members of that kind, in msgpack. Every count and size is bounded.
 */
#ifndef WIRE_H
#define WIRE_H

#include "core.h"

#define WIRE_VERSION 1
#define WIRE_MAX_BYTES ((size_t)8 << 20)
#define WIRE_MAX_STRING ((size_t)4 << 20)
#define WIRE_MAX_DAEMONS 100000
#define WIRE_MAX_LEAVING 100000
#define WIRE_MAX_GROUPS 4096
#define WIRE_MAX_HITS 100000

/** Why bytes are not a message, the worst first. */
typedef enum wire_err {
	WIRE_OK,
	WIRE_E_SIZE,
	WIRE_E_FORMAT, /**< not msgpack, or not the members of the kind */
	WIRE_E_VERSION,
	WIRE_E_KIND,
	WIRE_E_RANGE,
	WIRE_E_MAX,
} wire_err_t;

/** The text of an error. */
const char *wire_strerror(wire_err_t e);
/** Writes a message; the caller frees the bytes. */
char *wire_encode(const peer_msg_t *m, size_t *sz);
/**
 * Reads a message. Its strings and arrays are in mem; its parts are the
 * caller's, to be freed with wire_free_parts() if nobody took them.
 */
wire_err_t wire_decode(const char *bytes, size_t sz, peer_msg_t *m,
		       arena_t *mem);
/** Whether the bytes are one object whose headers count no more than it has. */
bool wire_scan(const char *bytes, size_t sz);
/** Frees the parts of groups that are still there. */
void wire_free_parts(peer_msg_t *m);

#endif
