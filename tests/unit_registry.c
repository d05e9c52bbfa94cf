/** @file unit_registry.c Tests of servers that come, leave and lapse. */
#include <CUnit/CUnit.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "route_rig.h"
#include "unit.h"

/* A server that leaves gets nothing new; what is out to it is awaited. */
static void test_draining(void)
{
	static const char *const how[] = { "draining", "gone", "restarted" };
	size_t i, from;

	for (i = 0; i < sizeof(how) / sizeof(how[0]); i++) {
		rig_t *r = rig_new(9, 2);

		rig_ask(r, "/once/x", r);
		CU_ASSERT_STRING_EQUAL(r->sent[0].server, "i0-0");
		if (strcmp(how[i], "gone") == 0)
			rt_gone(r->rt, STR("i0-0"), r->now);
		else if (strcmp(how[i], "draining") == 0)
			rig_add_server(r, 0, 0, "draining", 1);
		else
			rig_add_server(r, 0, 0, "draining", 2);
		rig_run(r);
		from = r->nsent;
		rig_ask(r, "/once/x", r);
		CU_ASSERT_STRING_EQUAL(r->sent[from].server, "i0-1");
		rig_end(r, 0, RT_ANSWERED, "x");
		CU_ASSERT_EQUAL(r->answer.outcome, RT_OUT_PASS);
		rig_free(r);
	}
}

/* An earlier word of a server is written after its last one. */
static void test_old_words(void)
{
	static const struct {
		uint64_t incarnation;
		uint64_t report;
		bool removed; /* else it drains */
		bool used;    /* afterwards */
	} cases[] = {
		{ 7, 2, false, false }, { 6, 9, false, false },
		{ 8, 1, false, true },	{ 7, 3, true, false },
		{ 7, 2, true, false },	{ 6, 9, true, false },
		{ 7, 4, true, true },	{ 8, 1, true, true },
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		rig_t *r = rig_bare(9);

		rt_adopt(r->rt, rig_conf(1, 0), r->now);
		rig_publish(r, 0, 0, "ready", 7, 2);
		if (cases[i].removed) {
			rig_publish(r, 0, 0, "ready", 7, 3);
			rt_gone(r->rt, STR("i0-0"), r->now);
		} else {
			rig_publish(r, 0, 0, "draining", 7, 3);
		}
		rig_run(r);
		rig_publish(r, 0, 0, "ready", cases[i].incarnation,
			    cases[i].report);
		rig_ask(r, "/one/x", r);
		CU_ASSERT_EQUAL(r->nsent, cases[i].used ? 1 : 0);
		rig_free(r);
	}
}

/* The same while a request is still out to the server that went. */
static void test_old_word_in_flight(void)
{
	rig_t *r = rig_bare(9);

	rt_adopt(r->rt, rig_conf(1, 0), r->now);
	rig_publish(r, 0, 0, "ready", 7, 3);
	rig_ask(r, "/once/x", r);
	CU_ASSERT_EQUAL(r->nsent, 1);
	rt_gone(r->rt, STR("i0-0"), r->now);
	rig_publish(r, 0, 0, "ready", 7, 3);
	rig_ask(r, "/one/x", r);
	CU_ASSERT_EQUAL(r->nsent, 1);
	rig_publish(r, 0, 0, "ready", 7, 4);
	rig_ask(r, "/one/x", r);
	CU_ASSERT_EQUAL(r->nsent, 2);
	rig_end(r, 0, RT_ANSWERED, "x");
	rig_free(r);
}

/* Leases that run out while the registry is away: used as a last choice for
 * two seconds after its return, then gone. */
static void test_lapse(void)
{
	rig_t *r = rig_new(9, 1);

	rt_registry(r->rt, false, r->now);
	rig_pass(r, 3000 * MS);
	rt_registry(r->rt, true, r->now);
	rt_gone(r->rt, STR("i0-0"), r->now);
	rig_run(r);
	rig_ask(r, "/one/x", r);
	CU_ASSERT_EQUAL(r->nsent, 1);
	rig_end(r, 0, RT_ANSWERED, "x");
	rig_pass(r, 2200 * MS);
	rig_ask(r, "/one/x", r);
	CU_ASSERT_EQUAL(r->nsent, 1);
	CU_ASSERT_EQUAL(r->answer.outcome, RT_OUT_NOT_RUN);
	rig_free(r);
}

/* The host stood still: nothing is sent on old beliefs until the registry
 * confirmed them, or for too long. */
static void test_held(void)
{
	static const struct {
		usec_t asleep;
		usec_t released; /* after that time; 0: never */
		bool leaves;	 /* the near server does, as is learnt then */
		usec_t sent_by;
		const char *want;
	} cases[] = {
		{ 1000 * MS, 30 * MS, true, 31 * MS, "i0-1" },
		{ 9000 * MS, 30 * MS, false, 31 * MS, "i0-0" },
		{ 1000 * MS, 0, true, 201 * MS, "i0-0" },
		{ 999 * MS, 0, false, 0, "i0-0" },
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		rig_t *r = rig_new(9, 2);
		usec_t until;

		rt_awake(r->rt, r->now);
		r->now += cases[i].asleep;
		until = r->now + 200 * MS;
		rt_awake(r->rt, r->now);
		rig_run(r);
		CU_ASSERT_EQUAL(r->nconfirms, cases[i].sent_by > 0);
		rig_ask(r, "/one/x", r);
		rig_pass(r, 29 * MS);
		CU_ASSERT_EQUAL(r->nsent, cases[i].sent_by == 0);
		rig_pass(r, MS);
		if (cases[i].released) {
			if (cases[i].leaves)
				rig_add_server(r, 0, 0, "draining", 1);
			rt_release(r->rt, r->now);
			rig_run(r);
		}
		while (r->nsent == 0 && r->now < until + USEC_PER_SEC)
			rig_pass(r, MS);
		CU_ASSERT(r->sent[0].at <= until - 200 * MS + cases[i].sent_by);
		CU_ASSERT_STRING_EQUAL(r->sent[0].server, cases[i].want);
		rig_free(r);
	}
}

void unit_registry(void)
{
	static const struct {
		const char *name;
		CU_TestFunc fn;
	} tests[] = {
		{ "leaving servers", test_draining },
		{ "earlier words of servers", test_old_words },
		{ "earlier words, with a request out",
		  test_old_word_in_flight },
		{ "lapsed servers", test_lapse },
		{ "a host that stood still", test_held },
	};
	CU_pSuite s = CU_add_suite("registry", NULL, NULL);
	size_t i;

	for (i = 0; i < sizeof(tests) / sizeof(tests[0]); i++)
		CU_add_test(s, tests[i].name, tests[i].fn);
}
