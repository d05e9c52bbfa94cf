/**
 * @file wire.h
 * Encoding of messages between daemons: a msgpack array of version, kind and
 * the fields of that kind. Every count and size is bounded.
 */
#ifndef WIRE_H
#define WIRE_H

#include "core.h"

#define WIRE_VERSION 1
#define WIRE_MAX_BYTES ((size_t)8 << 20)	/**< of an encoded message */
#define WIRE_MAX_STRING_BYTES ((size_t)4 << 20) /**< of one string */
#define WIRE_MAX_DAEMONS 100000			/**< daemons in a host list */
#define WIRE_MAX_LEAVING 100000 /**< leaving upstreams in a host list */
#define WIRE_MAX_GROUPS 4096	/**< groups or results of groups in a message */
#define WIRE_MAX_HITS 100000	/**< hits of an answer or of one group */

/** Reasons why bytes are not a valid message. */
typedef enum wire_err {
	WIRE_OK,
	WIRE_E_SIZE,	 /**< more than WIRE_MAX_BYTES */
	WIRE_E_FORMAT,	 /**< not msgpack, or not the fields of the kind */
	WIRE_E_VERSION,	 /**< not WIRE_VERSION */
	WIRE_E_KIND,	 /**< not a peer_kind_t */
	WIRE_E_REPLY_TO, /**< reply_to is empty */
	WIRE_E_MAX,
} wire_err_t;

/** Returns the text of an error; never NULL. */
const char *wire_strerror(wire_err_t e);
/** Encodes a message; the caller frees the returned bytes. */
char *wire_encode(const peer_msg_t *m, size_t *sz);
/**
 * Decodes a message. Strings and arrays are allocated in mem. The caller owns
 * m->group_results[].group_hits and frees those that it did not hand over with
 * wire_free_group_hits(). After an error there are no hits to free.
 */
wire_err_t wire_decode(const char *bytes, size_t sz, peer_msg_t *m,
		       arena_t *mem);
/**
 * Returns whether the bytes are exactly one msgpack object. False if a header
 * counts more objects or bytes than follow it.
 */
bool wire_scan(const char *bytes, size_t sz);
/** Frees the hits that are still in m->group_results and sets them to NULL. */
void wire_free_group_hits(peer_msg_t *m);

#endif
