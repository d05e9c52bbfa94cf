/** @file unit_wire.c Tests of the encoding of messages between daemons. */
#include <CUnit/CUnit.h>
#include <stdlib.h>
#include <string.h>

#include "unit.h"
#include "wire.h"

#define MUTATIONS 200000

static hit_t hits[] = {
	{ 2.5, { "b", 1 }, { "{\"id\":\"b\"}", 10 } },
	{ 1.5, { "a", 1 }, { "{\"id\":\"a\"}", 10 } },
};
static group_hits_t sample_hits = { .hits = hits, .nhits = 2 };
static str_t groups[] = { { "g0", 2 }, { "g1", 2 } };
static listed_daemon_t daemons[] = {
	{ { "d1", 2 }, { "a", 1 }, { "127.0.0.1:1", 11 }, false, 0 },
	{ { "d2", 2 }, { "b", 1 }, { "127.0.0.1:2", 11 }, true, 0 },
};
static str_t leaving[] = { { "127.0.0.1:9", 11 } };
static group_result_t results[] = {
	{ .group = { "g0", 2 },
	  .result = RES_OK,
	  .nheld = 2,
	  .held = { { 1, 41 }, { 1, 42 } },
	  .group_hits = &sample_hits },
	{ .group = { "g1", 2 }, .result = RES_SNAPSHOT_MISSING },
};

/* Sets fields of all kinds; only those of the given kind are encoded. */
static peer_msg_t full_msg(peer_kind_t kind)
{
	return (peer_msg_t){
		.kind = kind,
		.from = STR("d1"),
		.reply_to = STR("127.0.0.1:1"),
		.token = UINT64_MAX,
		.revision = 7,
		.conf_hash = 8,
		.list_version = 9,
		.list_age = -1,
		.text = STR("{}"),
		.list = { 9, daemons, 2, leaving, 1 },
		.service = STR("s"),
		.class_name = STR("c"),
		.route = STR("r"),
		.key = STR("k"),
		.time_left = 1000,
		.limit = 10,
		.map_version = 1,
		.snapshot = 42,
		.groups = groups,
		.ngroups = 2,
		.group_results = results,
		.ngroup_results = 2,
		.outcome = OUT_COMPLETE,
		.why = WHY_NONE,
		.total = 2,
		.hits = hits,
		.nhits = 2,
	};
}

static void test_round_trip(void)
{
	peer_kind_t kind;

	for (kind = 0; kind < PEER_MAX; kind++) {
		peer_msg_t m = full_msg(kind), decoded;
		arena_t mem = { 0 };
		size_t sz, encoded_again_sz;
		char *bytes = wire_encode(&m, &sz);
		char *encoded_again;

		CU_ASSERT_EQUAL(wire_decode(bytes, sz, &decoded, &mem),
				WIRE_OK);
		CU_ASSERT_EQUAL(decoded.kind, kind);
		CU_ASSERT(str_eq(decoded.from, m.from));
		encoded_again = wire_encode(&decoded, &encoded_again_sz);
		CU_ASSERT_EQUAL(encoded_again_sz, sz);
		CU_ASSERT(encoded_again_sz == sz &&
			  memcmp(encoded_again, bytes, sz) == 0);
		wire_free_group_hits(&decoded);
		arena_free(&mem);
		free(bytes);
		free(encoded_again);
	}
}

static void test_invalid(void)
{
	static const struct {
		const char *bytes;
		size_t sz;
		wire_err_t err;
	} cases[] = {
		{ "", 0, WIRE_E_FORMAT },
		{ "\xc0", 1, WIRE_E_FORMAT },
		{ "\x92\x01", 2, WIRE_E_FORMAT }, /* truncated */
		{ "\x92\x02\x00", 3, WIRE_E_VERSION },
		{ "\x92\x01\x7f", 3, WIRE_E_KIND },
		{ "\x92\x01\x00", 3, WIRE_E_FORMAT },	  /* no fields */
		{ "\x92\x01\x00\x00", 4, WIRE_E_FORMAT }, /* trailing byte */
		/* Counts of 4 billion objects, pairs and bytes. */
		{ "\xdd\xff\xff\xff\xff", 5, WIRE_E_FORMAT },
		{ "\xdf\xff\xff\xff\xff", 5, WIRE_E_FORMAT },
		{ "\x92\x01\xdb\xff\xff\xff\xff", 7, WIRE_E_FORMAT },
		/* Nested more deeply than any message. */
		{ "\x91\x91\x91\x91\x91\x91\x91\x91\x91\x91\x01", 11,
		  WIRE_E_FORMAT },
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		arena_t mem = { 0 };
		peer_msg_t m;

		CU_ASSERT_EQUAL(
			wire_decode(cases[i].bytes, cases[i].sz, &m, &mem),
			cases[i].err);
		arena_free(&mem);
	}
}

/* Corrupt bytes must be rejected or decoded, without memory errors. */
static void test_corrupt(void)
{
	rng_t rng = { 1 };
	unsigned i, j, ndecoded = 0;

	for (i = 0; i < MUTATIONS; i++) {
		peer_msg_t m = full_msg((peer_kind_t)(i % PEER_MAX)), decoded;
		arena_t mem = { 0 };
		size_t sz;
		char *bytes = wire_encode(&m, &sz);

		for (j = 0; j <= rng_below(&rng, 3); j++)
			bytes[rng_below(&rng, sz)] = (char)rng_next(&rng);
		if (rng_below(&rng, 4) == 0)
			sz = rng_below(&rng, sz);
		if (wire_decode(bytes, sz, &decoded, &mem) == WIRE_OK)
			ndecoded++;
		wire_free_group_hits(&decoded);
		arena_free(&mem);
		free(bytes);
	}
	CU_ASSERT(ndecoded < MUTATIONS);
}

void unit_wire(void)
{
	CU_pSuite s = CU_add_suite("wire", NULL, NULL);

	CU_add_test(s, "encode and decode", test_round_trip);
	CU_add_test(s, "invalid messages", test_invalid);
	CU_add_test(s, "corrupt messages", test_corrupt);
}
