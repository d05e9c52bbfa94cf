/** @file wire_table.c The fields of each kind of message; texts of errors. */
#include <stddef.h>

#include "libwire.h"

#define OFFSET(field) offsetof(peer_msg_t, field)

/* Sets of kinds, one bit for each. */
enum {
	DIGESTS = 1U << PEER_DIGEST | 1U << PEER_DIGEST_REPLY,
	REQUESTS = 1U << PEER_KEY_REQUEST | 1U << PEER_FORWARD,
	RESULTS = 1U << PEER_KEY_ANSWER | 1U << PEER_FORWARD_RESULTS,
	ALL = (1U << PEER_MAX) - 1,
};

const wire_field_t wire_fields[] = {
	{ WIRE_STR, ALL, OFFSET(from) },
	{ WIRE_STR, ALL, OFFSET(reply_to) },
	{ WIRE_U64, ALL, OFFSET(token) },
	{ WIRE_U64, DIGESTS | 1U << PEER_PULL, OFFSET(revision) },
	{ WIRE_U64, DIGESTS, OFFSET(conf_hash) },
	{ WIRE_U64, DIGESTS | 1U << PEER_LIST, OFFSET(list_version) },
	{ WIRE_I64, DIGESTS | 1U << PEER_LIST, OFFSET(list_age) },
	{ WIRE_I64, DIGESTS, OFFSET(clock) },
	{ WIRE_U64, DIGESTS | 1U << PEER_KEY_REQUEST, OFFSET(incarnation) },
	{ WIRE_I64, 1U << PEER_KEY_REQUEST, OFFSET(expires_at) },
	{ WIRE_STR, REQUESTS | 1U << PEER_DELTA, OFFSET(text) },
	{ WIRE_HOST_LIST, 1U << PEER_LIST, OFFSET(list) },
	{ WIRE_STR, REQUESTS, OFFSET(service) },
	{ WIRE_STR, REQUESTS, OFFSET(class_name) },
	{ WIRE_STR, 1U << PEER_KEY_REQUEST, OFFSET(route) },
	{ WIRE_STR, 1U << PEER_KEY_REQUEST, OFFSET(key) },
	{ WIRE_I64, REQUESTS, OFFSET(time_left) },
	{ WIRE_U64, REQUESTS, OFFSET(limit) },
	{ WIRE_U64, 1U << PEER_FORWARD | RESULTS, OFFSET(map_version) },
	{ WIRE_U64, 1U << PEER_FORWARD | RESULTS, OFFSET(snapshot) },
	{ WIRE_GROUPS, 1U << PEER_FORWARD | 1U << PEER_KEY_ANSWER,
	  OFFSET(groups) },
	{ WIRE_GROUP_RESULTS, 1U << PEER_FORWARD_RESULTS,
	  OFFSET(group_results) },
	{ WIRE_U64, 1U << PEER_KEY_ANSWER, OFFSET(outcome) },
	{ WIRE_U64, 1U << PEER_KEY_ANSWER, OFFSET(why) },
	{ WIRE_U64, 1U << PEER_KEY_ANSWER, OFFSET(total) },
	{ WIRE_HITS, 1U << PEER_KEY_ANSWER, OFFSET(hits) },
};

const size_t wire_nfields = sizeof(wire_fields) / sizeof(wire_fields[0]);

static const char *const errors[WIRE_E_MAX] = {
	[WIRE_OK] = "no error",
	[WIRE_E_SIZE] = "too large",
	[WIRE_E_FORMAT] = "malformed message",
	[WIRE_E_VERSION] = "unsupported version",
	[WIRE_E_KIND] = "unknown kind of message",
	[WIRE_E_REPLY_TO] = "reply address is empty",
};

const char *wire_strerror(wire_err_t e)
{
	return e < WIRE_E_MAX ? errors[e] : "unknown error";
}

size_t wire_field_count(peer_kind_t kind)
{
	size_t n = 0, i;

	for (i = 0; i < wire_nfields; i++)
		n += wire_fields[i].kinds >> kind & 1;
	return n;
}
