/** @file unit_evacuate.c Tests of data centres that are evacuated. */
#include <CUnit/CUnit.h>
#include <stdio.h>
#include <string.h>

#include "route_rig.h"
#include "unit.h"

#define HOSTS 100
#define NEAR "near"
#define FAR "far"
#define LOAD_TIME (4 * USEC_PER_SEC)

static const rig_manner_t well = { RT_ANSWERED, 20 * MS };
static const rig_manner_t slow = { RT_ANSWERED, 180 * MS };
static const rig_manner_t silent = { RT_RESULT_MAX, 0 };
static const rig_manner_t fails = { RT_LOST, 20 * MS };
static const rig_manner_t refuses = { RT_NOT_RUN, 5 * MS };

static size_t count_sends_to(const rig_t *r, const char *dc, size_t from)
{
	size_t n = 0;

	for (; from < r->nsent; from++)
		n += rig_is_near(r, from) == (strcmp(dc, NEAR) == 0);
	return n;
}

static void evacuate(rig_t *r, const char *dc, bool evacuated)
{
	rt_set_evacuated(r->rt, str_of(dc), evacuated, r->now);
	rig_run_actions(r);
}

/* Guards against each kind of send that could reach a server in an evacuated
 * data centre, also a draining one that stands in, and against a data centre
 * that stays unused afterwards. */
static void test_no_sends(void)
{
	static const struct {
		const char *path;
		const char *dc;
		const rig_manner_t *near;
		const rig_manner_t *far;
		const char *guards_against;
		bool draining; /* the near server of shard 0 */
	} cases[] = {
		{ "/all/x", NEAR, &well, &well, "first sends", false },
		{ "/once/x", NEAR, &well, &well, "first sends", false },
		{ "/all/x", FAR, &silent, &well, "hedges", false },
		{ "/all/x", FAR, &fails, &well, "retries", false },
		{ "/all/x", FAR, &refuses, &well, "retries", false },
		{ "/all/x", FAR, &well, &slow, "probes", false },
		{ "/all/x", FAR, &well, &fails, "probes", false },
		{ "/all/x", NEAR, &slow, &slow, "probes if left out", false },
		{ "/all/x", NEAR, &well, &slow, "sends to draining", true },
	};
	rt_params_t p;
	size_t i, from;

	rt_params_init(&p);
	p.hosts = HOSTS;
	p.drain_limit = 60 * USEC_PER_SEC;
	for (i = 0; i < ARRAY_LEN(cases); i++) {
		rig_t *r = rig_new(HOSTS, 2);

		if (cases[i].draining)
			rt_set_params(r->rt, &p);
		rig_warm_up(r, "/all/x", 30);
		rig_run_load(r, LOAD_TIME, cases[i].path, cases[i].near,
			     cases[i].far);
		if (cases[i].draining) {
			rt_set_state_as_of(r->rt, r->now);
			rig_publish(r, 0, 0, "draining", 1, 2);
		}
		evacuate(r, cases[i].dc, true);
		CU_ASSERT_EQUAL(rt_evacuated_count(r->rt), 1);
		from = r->nsent;
		rig_run_load(r, LOAD_TIME, cases[i].path, cases[i].near,
			     cases[i].far);
		if (count_sends_to(r, cases[i].dc, from))
			printf("\n  evacuated: %s\n", cases[i].guards_against);
		CU_ASSERT_EQUAL(count_sends_to(r, cases[i].dc, from), 0);
		CU_ASSERT(r->nsent > from);
		evacuate(r, cases[i].dc, false);
		CU_ASSERT_EQUAL(rt_evacuated_count(r->rt), 0);
		from = r->nsent;
		rig_run_load(r, 2 * LOAD_TIME, cases[i].path, &well, &well);
		CU_ASSERT(count_sends_to(r, cases[i].dc, from) > 0 ||
			  strcmp(cases[i].dc, FAR) == 0);
		rig_free(r);
	}
}

static size_t sends_of_request(rig_t *r)
{
	size_t before = r->nsent;

	rig_request(r, "/one/x", r);
	return r->nsent - before;
}

/* Guards against an evacuation that misses servers which are published later,
 * come back with a new process or move to that data centre. */
static void test_order(void)
{
	rig_t *r = rig_new_empty(HOSTS);
	rt_entry_t e = { .id = STR("i0-5"), .service = STR("s0"), .slots = 3 };

	e.addr = STR("127.0.0.1:9");
	e.dc = STR("else");
	e.incarnation = e.report = 1;
	evacuate(r, FAR, true);
	CU_ASSERT_EQUAL(rt_evacuated_count(r->rt), 0);
	rt_set_conf(r->rt, rig_conf(1, 0), r->now);
	rig_add_server(r, 0, 1, "ready", 1);
	CU_ASSERT_EQUAL(rt_evacuated_count(r->rt), 1);
	CU_ASSERT_EQUAL(sends_of_request(r), 0);
	CU_ASSERT_EQUAL(r->answer.outcome, RT_OUT_NOT_RUN);
	rig_add_server(r, 0, 1, "ready", 2);
	CU_ASSERT_EQUAL(sends_of_request(r), 0);
	rt_server_published(r->rt, &e, r->now);
	CU_ASSERT_EQUAL(sends_of_request(r), 1);
	e.dc = STR("far");
	e.report = 2;
	rt_server_published(r->rt, &e, r->now);
	CU_ASSERT_EQUAL(sends_of_request(r), 0);
	/* It is withdrawn twice, as the state is read again. */
	evacuate(r, FAR, false);
	evacuate(r, FAR, false);
	CU_ASSERT_EQUAL(sends_of_request(r), 1);
	rig_free(r);
}

/* Guards against an unknown data centre that is not logged, or is logged while
 * its servers are only published after it, and against other effects. */
static void test_unknown(void)
{
	static const struct {
		const char *dc;
		usec_t server_after; /* below 0: none is published */
		rt_why_t why;	     /* of the last log line */
		size_t count;
	} cases[] = {
		{ "none", -1, RT_WHY_UNKNOWN_DC, 0 },
		{ "", -1, RT_WHY_UNKNOWN_DC, 0 },
		{ FAR, -1, RT_WHY_UNKNOWN_DC, 0 },
		{ FAR, 100 * MS, RT_WHY_EVACUATED, 1 },
		{ FAR, 5000 * MS, RT_WHY_EVACUATED, 1 },
		{ NEAR, -1, RT_WHY_EVACUATED, 1 }, /* the host's own */
	};
	size_t i, nlines;

	for (i = 0; i < ARRAY_LEN(cases); i++) {
		rig_t *r = rig_new_empty(HOSTS);

		rt_set_conf(r->rt, rig_conf(1, 0), r->now);
		rig_run_actions(r);
		evacuate(r, cases[i].dc, true);
		evacuate(r, cases[i].dc, true);
		if (cases[i].server_after >= 0) {
			rig_advance(r, cases[i].server_after);
			rig_add_server(r, 0, 1, "ready", 1);
		}
		rig_advance(r, 3000 * MS);
		nlines = cases[i].server_after > 1000 * MS ? 2 : 1;
		CU_ASSERT_EQUAL(r->nevacuate_lines, nlines);
		CU_ASSERT_EQUAL(r->evacuate_why, cases[i].why);
		CU_ASSERT_EQUAL(rt_evacuated_count(r->rt), cases[i].count);
		rig_free(r);
	}
}

/* Guards against requests that wait until their deadline for servers that are
 * all evacuated: those in the queue, and new ones. */
static void test_all_evacuated(void)
{
	static const struct {
		const char *path;
		size_t copies; /* of each server: 1 near, 2 near and far */
	} cases[] = { { "/one/x", 1 }, { "/one/x", 2 }, { "/all/x", 2 } };
	size_t i, j, nsent, nanswers;

	for (i = 0; i < ARRAY_LEN(cases); i++) {
		rig_t *r = rig_new(HOSTS, (unsigned)cases[i].copies);

		rig_warm_up(r, "/all/x", 30);
		/* One request fills a server: 100 hosts, 100 connections. */
		for (j = 0; j < 4; j++)
			rig_request(r, cases[i].path, r);
		nsent = r->nsent;
		nanswers = r->nanswers;
		evacuate(r, FAR, true);
		evacuate(r, NEAR, true);
		CU_ASSERT(r->nanswers > nanswers);
		CU_ASSERT_EQUAL(r->answer.outcome, RT_OUT_NOT_RUN);
		nanswers = r->nanswers;
		rig_request(r, cases[i].path, r);
		CU_ASSERT_EQUAL(r->nanswers, nanswers + 1);
		CU_ASSERT_EQUAL(r->answer.outcome, RT_OUT_NOT_RUN);
		CU_ASSERT_EQUAL(r->answer.why, RT_WHY_NO_SERVER);
		CU_ASSERT(r->answer.retry_after > 0);
		CU_ASSERT_EQUAL(r->nsent, nsent);
		rig_free(r);
	}
}

/* Guards against a send that waits for a connection to an evacuated server,
 * counts as a retry when it is redirected, or makes the server look bad; and
 * against a server without connections after the withdrawal. */
static void test_connections(void)
{
	static const char *const paths[] = { "/one/x", "/once/x" };
	size_t i, first, opened;

	for (i = 0; i < ARRAY_LEN(paths); i++) {
		rig_t *r = rig_new(HOSTS, 2);
		uint64_t no_budget;

		rig_warm_up(r, "/all/x", 30);
		first = r->nsent;
		rig_request(r, paths[i], r);
		CU_ASSERT(rig_is_near(r, first));
		opened = r->nopened;
		evacuate(r, NEAR, true);
		CU_ASSERT_EQUAL(r->nended_opening, RIG_SHARDS);
		no_budget = rt_counter(r->rt, RT_CNT_NO_BUDGET);
		rig_end_send(r, first, RT_NOT_SENT, "");
		CU_ASSERT_EQUAL(r->nsent, first + 2);
		CU_ASSERT(!rig_is_near(r, first + 1));
		CU_ASSERT_EQUAL(rt_counter(r->rt, RT_CNT_NO_BUDGET), no_budget);
		rig_end_send(r, first + 1, RT_ANSWERED, "aa");
		CU_ASSERT_EQUAL(r->answer.outcome, RT_OUT_PASS);
		evacuate(r, NEAR, false);
		CU_ASSERT_EQUAL(r->nopened, opened + RIG_SHARDS);
		rig_request(r, paths[i], r);
		CU_ASSERT(rig_is_near(r, r->nsent - 1));
		evacuate(r, NEAR, true);
		rig_add_server(r, 0, 0, "ready", 2);
		CU_ASSERT_EQUAL(r->nopened, opened + RIG_SHARDS);
		rig_free(r);
	}
}

/* Guards against an evacuation that is interrupted because the copy lacks it
 * from which the registry was restored, and against one that never ends. */
static void test_restored(void)
{
	static const struct {
		bool restored;
		bool written_again;
		usec_t wait;
		size_t count;
	} cases[] = {
		{ false, false, 0, 0 },	       { true, false, 0, 1 },
		{ true, false, 4900 * MS, 1 }, { true, false, 5100 * MS, 0 },
		{ true, true, 5100 * MS, 1 },
	};
	size_t i;

	for (i = 0; i < ARRAY_LEN(cases); i++) {
		rig_t *r = rig_new(HOSTS, 2);

		evacuate(r, FAR, true);
		if (cases[i].restored)
			rt_on_registry_restored(r->rt, r->now);
		evacuate(r, FAR, false);
		if (cases[i].written_again)
			evacuate(r, FAR, true);
		rig_advance(r, cases[i].wait);
		CU_ASSERT_EQUAL(rt_evacuated_count(r->rt), cases[i].count);
		/* Later ones end at once. */
		rig_advance(r, 5100 * MS);
		evacuate(r, FAR, false);
		CU_ASSERT_EQUAL(rt_evacuated_count(r->rt), 0);
		rig_free(r);
	}
}

void unit_evacuate(void)
{
	CU_pSuite s = CU_add_suite("evacuate", NULL, NULL);

	CU_add_test(s, "no sends to an evacuated data centre", test_no_sends);
	CU_add_test(s, "evacuations and servers in any order", test_order);
	CU_add_test(s, "evacuations of unknown data centres", test_unknown);
	CU_add_test(s, "all servers are evacuated", test_all_evacuated);
	CU_add_test(s, "connections to evacuated servers", test_connections);
	CU_add_test(s, "evacuations that a restored registry lacks",
		    test_restored);
}
