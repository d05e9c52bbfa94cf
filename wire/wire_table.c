/** @file wire_table.c Which members the kinds of messages have. */
#include <stddef.h>

#include "libwire.h"

#define AT(member) offsetof(peer_msg_t, member)

/* Sets of kinds. */
enum {
	DIGESTS = 1U << PEER_DIGEST | 1U << PEER_DIGEST_REPLY,
	REQUESTS = 1U << PEER_KEYED | 1U << PEER_FORWARD,
	RESULTS = 1U << PEER_ANSWER | 1U << PEER_PARTS,
	ALL = (1U << PEER_MAX) - 1,
};

const wire_field_t wire_fields[] = {
	{ WIRE_STR, ALL, AT(from) },
	{ WIRE_STR, ALL, AT(reply_to) },
	{ WIRE_U64, ALL, AT(token) },
	{ WIRE_U64, DIGESTS | 1U << PEER_PULL, AT(revision) },
	{ WIRE_U64, DIGESTS, AT(conf_hash) },
	{ WIRE_U64, DIGESTS | 1U << PEER_LIST, AT(list_version) },
	{ WIRE_I64, DIGESTS | 1U << PEER_LIST, AT(list_age) },
	{ WIRE_I64, DIGESTS, AT(clock) },
	{ WIRE_U64, DIGESTS | 1U << PEER_KEYED, AT(incarnation) },
	{ WIRE_I64, 1U << PEER_KEYED, AT(expires) },
	{ WIRE_STR, REQUESTS | 1U << PEER_DELTA, AT(text) },
	{ WIRE_LIST, 1U << PEER_LIST, AT(list) },
	{ WIRE_STR, REQUESTS, AT(service) },
	{ WIRE_STR, REQUESTS, AT(class_name) },
	{ WIRE_STR, 1U << PEER_KEYED, AT(route) },
	{ WIRE_STR, 1U << PEER_KEYED, AT(key) },
	{ WIRE_I64, REQUESTS, AT(left) },
	{ WIRE_U64, REQUESTS, AT(limit) },
	{ WIRE_U64, 1U << PEER_FORWARD | RESULTS, AT(map) },
	{ WIRE_U64, 1U << PEER_FORWARD | RESULTS, AT(snapshot) },
	{ WIRE_GROUPS, 1U << PEER_FORWARD | 1U << PEER_ANSWER, AT(groups) },
	{ WIRE_PARTS, 1U << PEER_PARTS, AT(parts) },
	{ WIRE_U64, 1U << PEER_ANSWER, AT(outcome) },
	{ WIRE_U64, 1U << PEER_ANSWER, AT(why) },
	{ WIRE_U64, 1U << PEER_ANSWER, AT(total) },
	{ WIRE_HITS, 1U << PEER_ANSWER, AT(hits) },
};

const size_t wire_nfields = sizeof(wire_fields) / sizeof(wire_fields[0]);

static const char *const errors[WIRE_E_MAX] = {
	[WIRE_OK] = "no error",
	[WIRE_E_SIZE] = "too large",
	[WIRE_E_FORMAT] = "not a message",
	[WIRE_E_VERSION] = "another version",
	[WIRE_E_KIND] = "unknown kind",
	[WIRE_E_RANGE] = "out of range",
};

const char *wire_strerror(wire_err_t e)
{
	return e < WIRE_E_MAX ? errors[e] : "unknown error";
}

size_t wire_count(peer_kind_t kind)
{
	size_t n = 0, i;

	for (i = 0; i < wire_nfields; i++)
		n += wire_fields[i].kinds >> kind & 1;
	return n;
}
