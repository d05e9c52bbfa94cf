/**
 * @file unit_roles.c
 * Tests of what confirms the state of a daemon, and which daemon asks the
 * registry for its data centre.
 */
#include <CUnit/CUnit.h>
#include <stdio.h>
#include <string.h>

#include "libfleet.h"
#include "unit.h"

#define START (100 * USEC_PER_SEC)
#define APPLY_TIME (3 * USEC_PER_SEC)

/* A message confirms the state only if its sender read the registry and has no
 * newer state. A daemon takes over unless one that reads for it confirms. */
static void test_confirmations(void)
{
	enum { OWN_REVISION = 5, LAST_READ_AGE = 1000 };
	static const struct {
		fleet_kind_t kind;
		const char *dc; /* of the sender; this daemon's is "a" */
		uint64_t revision;
		bool has_read;
		bool confirmed;
		fleet_role_t role; /* when a confirmation is due */
	} cases[] = {
		{ FLEET_STATE_UPDATE, "a", 5, true, true, FLEET_READER },
		{ FLEET_STATE_UPDATE, "a", 4, true, true, FLEET_READER },
		{ FLEET_STATE_UPDATE, "a", 6, true, false, FLEET_CONFIRMER },
		{ FLEET_STATE_UPDATE, "a", 5, false, false, FLEET_CONFIRMER },
		{ FLEET_STATE_UPDATE, "b", 5, true, true, FLEET_CONFIRMER },
		{ FLEET_HELLO_REPLY, "a", 5, true, true, FLEET_CONFIRMER },
		{ FLEET_HELLO, "b", 6, true, false, FLEET_CONFIRMER },
	};
	const usec_t due = APPLY_TIME / 2;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		fleet_params_t p = { .dc = STR("a"), .apply_time = APPLY_TIME };
		str_t addr[2] = { STR("10.0.0.1:1"), STR("10.0.0.2:1") };
		bool swapped = fleet_rank(addr[0]) < fleet_rank(addr[1]);
		fleet_msg_t m = { .kind = cases[i].kind,
				  .dc = str_of(cases[i].dc),
				  .revision = cases[i].revision,
				  .last_read_age = cases[i].has_read
							   ? LAST_READ_AGE
							   : -1 };
		fleet_msg_t hello = { .kind = FLEET_HELLO,
				      .dc = STR("a"),
				      .last_read_age = -1 };
		usec_t now = START;
		fleet_t *f;

		/* This daemon has the higher rank of the two in "a". */
		p.addr = addr[swapped];
		hello.from = addr[!swapped];
		m.from = strcmp(cases[i].dc, "a") == 0 ? hello.from
						       : STR("10.0.0.3:1");
		f = fleet_new(&p, now);
		fleet_on_message(f, &hello, OWN_REVISION, now);
		CU_ASSERT_EQUAL(fleet_role(f, now), FLEET_READER);
		CU_ASSERT_EQUAL(fleet_state_age(f, now), -1);
		now += due;
		fleet_on_message(f, &m, OWN_REVISION, now);
		CU_ASSERT_EQUAL(fleet_state_age(f, now),
				cases[i].confirmed ? LAST_READ_AGE : -1);
		CU_ASSERT_EQUAL(fleet_role(f, now), cases[i].role);
		fleet_free(f);
	}
}

/* Three daemons of a data centre, two of which lose their confirmer: the next
 * ones confirm in turn, early enough for a request and a second one before
 * changes are due. When the confirmer is back, one confirms again. */
static void test_takeover_in_small_dc(void)
{
	static const struct {
		usec_t after; /* since the last confirmation */
		bool confirmed;
		size_t confirmers;
	} cases[] = {
		{ APPLY_TIME * 4 / 10, false, 1 },
		{ APPLY_TIME * 5 / 10, false, 2 },
		{ APPLY_TIME * 55 / 100, false, 3 },
		{ 4 * USEC_PER_SEC, true, 3 },
		{ 8 * USEC_PER_SEC, true, 1 },
	};
	enum { N = 3 };
	fleet_t *f[N];
	str_t addr[N] = { STR("10.0.0.1:1"), STR("10.0.0.2:1"),
			  STR("10.0.0.3:1") };
	fleet_msg_t m = { .kind = FLEET_STATE_UPDATE, .dc = STR("a") };
	size_t first = 0, i, j, n;
	usec_t t;

	for (i = 0; i < N; i++) {
		fleet_params_t p = { .addr = addr[i],
				     .dc = STR("a"),
				     .apply_time = APPLY_TIME };

		f[i] = fleet_new(&p, START);
		if (fleet_rank(addr[i]) < fleet_rank(addr[first]))
			first = i;
	}
	for (i = 0; i < N; i++)
		for (j = 0; j < N; j++) {
			m.from = addr[j];
			fleet_on_message(f[i], &m, 0, START);
		}
	fleet_on_registry_read(f[first], START);
	t = START;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		/* The roles are decided all the time. */
		for (; t < START + cases[i].after; t += 50 * USEC_PER_MSEC) {
			m.from = addr[first];
			for (j = 0; j < N; j++) {
				if (cases[i].confirmed)
					fleet_on_message(f[j], &m, 0, t);
				fleet_role(f[j], t);
			}
		}
		n = 0;
		for (j = 0; j < N; j++)
			n += fleet_role(f[j], START + cases[i].after) ==
			     FLEET_CONFIRMER;
		if (n != cases[i].confirmers)
			fprintf(stderr, "  case %zu: %zu\n", i, n);
		CU_ASSERT_EQUAL(n, cases[i].confirmers);
	}
	for (i = 0; i < N; i++)
		fleet_free(f[i]);
}

/* Addresses that are none, in a message of another daemon, name no member: to
 * connect to a host name would wait for a name server. */
static void test_odd_addresses(void)
{
	static const struct {
		const char *addr;
		size_t alive; /* this daemon, the sender and perhaps another */
	} cases[] = {
		{ "10.0.0.9:7740", 3 },
		{ "10.0.0.9:70000", 2 },
		{ "10.0.0.9:0", 2 },
		{ "10.0.0.9", 2 },
		{ "peer.example:80", 2 },
		{ "", 2 },
		{ "10.0.0.9:99999999999999999999", 2 },
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		fleet_params_t p = { .addr = STR("10.0.0.1:1"),
				     .dc = STR("a"),
				     .apply_time = APPLY_TIME };
		fleet_msg_t m = { .kind = FLEET_HELLO,
				  .from = STR("10.0.0.2:1"),
				  .dc = STR("a"),
				  .last_read_age = -1,
				  .nmembers = 1 };
		fleet_t *f = fleet_new(&p, START);

		m.members[0] = (fleet_member_info_t){ str_of(cases[i].addr),
						      STR("a"), 0 };
		fleet_on_message(f, &m, 0, START);
		CU_ASSERT_EQUAL(fleet_alive_count(f, START), cases[i].alive);
		fleet_free(f);
	}
}

void unit_roles(void)
{
	CU_pSuite s = CU_add_suite("roles", NULL, NULL);

	CU_add_test(s, "messages that confirm the state", test_confirmations);
	CU_add_test(s, "takeover in a small data centre",
		    test_takeover_in_small_dc);
	CU_add_test(s, "addresses that are none", test_odd_addresses);
}
