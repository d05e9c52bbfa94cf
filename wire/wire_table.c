/** @file wire_table.c Which members the kinds of messages have. */
#include <stddef.h>

#include "libwire.h"

#define AT(member) offsetof(peer_msg_t, member)
#define BIT(kind) (1U << (kind))
#define DIGESTS (BIT(PEER_DIGEST) | BIT(PEER_DIGEST_REPLY))
#define REQUESTS (BIT(PEER_KEYED) | BIT(PEER_FORWARD))
#define RESULTS (BIT(PEER_ANSWER) | BIT(PEER_PARTS))
#define ALL (BIT(PEER_MAX) - 1)

const wire_field_t wire_fields[] = {
	{ WIRE_STR, AT(from), ALL },
	{ WIRE_STR, AT(reply_to), ALL },
	{ WIRE_U64, AT(token), ALL },
	{ WIRE_U64, AT(revision), DIGESTS | BIT(PEER_PULL) },
	{ WIRE_U64, AT(conf_hash), DIGESTS },
	{ WIRE_U64, AT(list_version), DIGESTS | BIT(PEER_LIST) },
	{ WIRE_I64, AT(list_age), DIGESTS | BIT(PEER_LIST) },
	{ WIRE_I64, AT(clock), DIGESTS },
	{ WIRE_U64, AT(incarnation), DIGESTS | BIT(PEER_KEYED) },
	{ WIRE_I64, AT(expires), BIT(PEER_KEYED) },
	{ WIRE_STR, AT(text), REQUESTS | BIT(PEER_DELTA) },
	{ WIRE_LIST, AT(list), BIT(PEER_LIST) },
	{ WIRE_STR, AT(service), REQUESTS },
	{ WIRE_STR, AT(class_name), REQUESTS },
	{ WIRE_STR, AT(route), BIT(PEER_KEYED) },
	{ WIRE_STR, AT(key), BIT(PEER_KEYED) },
	{ WIRE_I64, AT(left), REQUESTS },
	{ WIRE_U64, AT(limit), REQUESTS },
	{ WIRE_U64, AT(map), BIT(PEER_FORWARD) | RESULTS },
	{ WIRE_U64, AT(snapshot), BIT(PEER_FORWARD) | RESULTS },
	{ WIRE_GROUPS, AT(groups), BIT(PEER_FORWARD) | BIT(PEER_ANSWER) },
	{ WIRE_PARTS, AT(parts), BIT(PEER_PARTS) },
	{ WIRE_U64, AT(outcome), BIT(PEER_ANSWER) },
	{ WIRE_U64, AT(why), BIT(PEER_ANSWER) },
	{ WIRE_U64, AT(total), BIT(PEER_ANSWER) },
	{ WIRE_HITS, AT(hits), BIT(PEER_ANSWER) },
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
