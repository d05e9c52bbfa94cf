/** @file unit_load.c Tests of routed requests, each a load pattern. */
#include <CUnit/CUnit.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "route_rig.h"
#include "unit.h"

/* One shard pauses: a second send, and its answer, before the objective. */
static void test_hedge(void)
{
	rig_t *r = rig_new(9, 3);
	size_t from, i;

	rig_warm_up(r, "/all/x", 30);
	from = r->nsent;
	r->nanswers = 0;
	rig_ask(r, "/all/x", r);
	rig_pass(r, 20 * MS);
	for (i = from + 1; i < from + RIG_SHARDS; i++)
		rig_end(r, i, RT_ANSWERED, "aa");
	CU_ASSERT_EQUAL(r->nanswers, 0);
	rig_pass(r, 120 * MS);
	CU_ASSERT_EQUAL_FATAL(r->nsent, from + RIG_SHARDS + 1);
	CU_ASSERT_STRING_NOT_EQUAL(r->sent[from].server,
				   r->sent[from + RIG_SHARDS].server);
	rig_end(r, from + RIG_SHARDS, RT_ANSWERED, "aa");
	CU_ASSERT_EQUAL(r->nanswers, 1);
	CU_ASSERT_EQUAL(r->answer.missing, 0);
	CU_ASSERT(r->now - r->sent[from].at < 200 * MS);
	rig_free(r);
}

/* A server pauses and the answer is due soon: where further sends are plenty
 * the second one goes out before the first counts as late. */
static void test_tight(void)
{
	static const struct {
		unsigned retries; /* that were sent before */
		usec_t not_at;
		usec_t at;
	} cases[] = {
		{ 0, 29 * MS, 31 * MS },
		{ 7, 39 * MS, 41 * MS },
	};
	size_t i, j, from;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		rig_t *r = rig_new(9, 3);

		rig_warm_up(r, "/tight/x", 30);
		for (j = 0; j < cases[i].retries; j++) {
			from = r->nsent;
			rig_ask(r, "/tight/x", r);
			rig_end(r, from, RT_LOST, "");
			rig_pass(r, 20 * MS);
			for (from++; from < r->nsent; from++)
				rig_end(r, from, RT_ANSWERED, "aa");
		}
		from = r->nsent;
		rig_ask(r, "/tight/x", r);
		rig_pass(r, 20 * MS);
		for (j = from + 1; j < from + RIG_SHARDS; j++)
			rig_end(r, j, RT_ANSWERED, "aa");
		rig_pass(r, cases[i].not_at - 20 * MS);
		CU_ASSERT_EQUAL(r->nsent, from + RIG_SHARDS);
		rig_pass(r, cases[i].at - cases[i].not_at);
		CU_ASSERT_EQUAL(r->nsent, from + RIG_SHARDS + 1);
		rig_free(r);
	}
}

/* Second sends need a connection and a longer way, 2.5 to 5 usual times in
 * all: they are sent so early that most still make the objective. */
static void test_second_room(void)
{
	enum { ROUNDS = 100, LAST = 20, MADE = 14 };
	size_t from, i, j, whole = 0;
	rig_t *r = rig_new(9, 3);
	rng_t rng = { 11 };
	usec_t takes;

	for (i = 0; i < ROUNDS; i++) {
		rig_warm_up(r, "/all/x", 20);
		from = r->nsent;
		r->nanswers = 0;
		rig_ask(r, "/all/x", r);
		rig_pass(r, 20 * MS);
		for (j = from + 1; j < from + RIG_SHARDS; j++)
			rig_end(r, j, RT_ANSWERED, "aa");
		while (!r->nanswers && r->nsent == from + RIG_SHARDS)
			rig_pass(r, MS);
		takes = (50 + (usec_t)rng_below(&rng, 50)) * MS;
		rig_pass(r, takes);
		whole += i >= ROUNDS - LAST && r->nanswers == 0;
		for (j = from + RIG_SHARDS; j < r->nsent; j++)
			rig_end(r, j, RT_ANSWERED, "aa");
		rig_end(r, from, RT_ANSWERED, "aa");
		rig_pass(r, 300 * MS);
	}
	/* With three usual times of room a fifth would make it. */
	CU_ASSERT(whole >= MADE);
	rig_free(r);
}

/* A shard is silent: answered shortly before the objective without it, but
 * never with less than the least share. */
static void test_partial(void)
{
	static const struct {
		size_t answering;
		rt_outcome_t outcome;
		usec_t by; /* at the latest */
	} cases[] = {
		{ 3, RT_OUT_MERGED, 200 * MS },
		{ 2, RT_OUT_TIMEOUT, 1000 * MS },
		{ 0, RT_OUT_TIMEOUT, 1000 * MS },
	};
	size_t i, j;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		rig_t *r = rig_new(9, 1);
		usec_t began = r->now;

		rig_ask(r, "/all/x", r);
		for (j = 0; j < cases[i].answering; j++)
			rig_end(r, j, RT_ANSWERED, "aa");
		rig_pass(r, 150 * MS);
		CU_ASSERT_EQUAL(r->nanswers, 0);
		while (!r->nanswers && r->now - began < 2 * USEC_PER_SEC)
			rig_pass(r, MS);
		CU_ASSERT_EQUAL(r->nanswers, 1);
		CU_ASSERT_EQUAL(r->answer.outcome, cases[i].outcome);
		CU_ASSERT(r->now - began <= cases[i].by);
		rig_free(r);
	}
}

/* All servers of shards are gone: what cannot be served is refused at once,
 * with a time to come back; what can be served is. */
static void test_shards_gone(void)
{
	static const struct {
		size_t gone;
		bool refused;
	} cases[] = { { 1, false }, { 2, true }, { 4, true } };
	size_t i;
	unsigned j;
	char id[24];

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		rig_t *r = rig_new(9, 1);

		for (j = 0; j < cases[i].gone; j++) {
			snprintf(id, sizeof(id), "i%u-0", j);
			rt_gone(r->rt, str_of(id), r->now);
		}
		rig_run(r);
		rig_ask(r, "/all/x", r);
		CU_ASSERT_EQUAL(r->nanswers, cases[i].refused ? 1 : 0);
		if (cases[i].refused) {
			CU_ASSERT_EQUAL(r->nsent, 0);
			CU_ASSERT_EQUAL(r->answer.outcome, RT_OUT_NOT_RUN);
			CU_ASSERT(r->answer.retry_after > 0);
		}
		rig_free(r);
	}
}

/* More comes than servers take: the more urgent goes first, and nothing
 * waits whose time would be over. */
static void test_wait(void)
{
	rig_t *r = rig_new(100, 1); /* one request at a time and server */
	size_t i;
	int callers[3];

	rig_ask(r, "/low/x", &callers[0]);
	rig_ask(r, "/low/x", &callers[1]);
	rig_ask(r, "/all/x", &callers[2]);
	CU_ASSERT_EQUAL(r->nsent, RIG_SHARDS);
	for (i = 0; i < RIG_SHARDS; i++)
		rig_end(r, i, RT_ANSWERED, "aa");
	CU_ASSERT_EQUAL(r->nsent, 2 * RIG_SHARDS);
	for (i = RIG_SHARDS; i < 2 * RIG_SHARDS; i++)
		CU_ASSERT_PTR_EQUAL(r->sent[i].caller, &callers[2]);
	rig_free(r);
}

/* Refused callers come back into a queue of newcomers: they have waited, and
 * go first. */
static void test_come_back(void)
{
	rig_t *r = rig_new(100, 1);
	int callers[3];

	rig_ask(r, "/one/x", &callers[0]);
	rig_ask(r, "/one/x", &callers[1]);
	rig_pass(r, 20 * MS);
	rig_ask_within(r, "/one/x", &callers[2], 700 * MS);
	rig_end(r, 0, RT_ANSWERED, "x");
	CU_ASSERT_EQUAL(r->nsent, 2);
	CU_ASSERT_PTR_EQUAL(r->sent[1].caller, &callers[2]);
	rig_free(r);
}

static void test_overload(void)
{
	rig_t *r = rig_new(100, 1);
	size_t i, waiting;

	rig_warm_up(r, "/all/x", 30);
	r->nanswers = 0;
	for (i = 0; i < 200; i++)
		rig_ask(r, "/all/x", r);
	waiting = rt_open(r->rt);
	/* 20 ms each, a second of time: about 50 can be served. */
	CU_ASSERT(waiting >= 20 && waiting <= 60);
	CU_ASSERT_EQUAL(r->answer.outcome, RT_OUT_NOT_RUN);
	CU_ASSERT_EQUAL(r->answer.why, RT_WHY_OVERLOAD);
	CU_ASSERT(r->answer.retry_after > 0);
	rig_free(r);
}

/* A third more comes for some seconds than the servers take: most of what they
 * do is still in time, the rest is answered late or refused. */
static void test_long_overload(void)
{
	enum { SECONDS = 4, WORK_MS = 20, EVERY_MS = 15, OBJECTIVE_MS = 200 };
	usec_t asked[SECONDS * 1000 / EVERY_MS + 1];
	rig_t *r = rig_new(100, 1); /* one request at a time and server */
	size_t n = 0, served = 0, in_time = 0, before, i;
	usec_t began;

	rig_warm_up(r, "/one/x", 30);
	began = r->now;
	i = r->nsent;
	while (r->now < began + SECONDS * USEC_PER_SEC) {
		if ((r->now - began) / MS % EVERY_MS == 0) {
			asked[n] = r->now;
			rig_ask(r, "/one/x", &asked[n]);
			n++;
		}
		rig_pass(r, MS);
		if (i == r->nsent || r->now - r->sent[i].at < WORK_MS * MS)
			continue;
		before = r->nanswers;
		rig_end(r, i, RT_ANSWERED, "x");
		if (r->nanswers > before) {
			served++;
			in_time += r->now - *(usec_t *)r->sent[i].caller <=
				   OBJECTIVE_MS * MS;
		}
		i++;
	}
	/* Three of four that come can be served. */
	CU_ASSERT(served >= n * 7 / 10);
	CU_ASSERT(in_time >= n * 6 / 10);
	rig_free(r);
}

/* Two shards have lost most servers, what is left answers slowly: requests are
 * admitted by the time that these take, and the others are told when to come
 * back. */
static void test_overload_of_some(void)
{
	static const struct {
		usec_t slow; /* time of shards 0 and 1 */
		size_t least;
		size_t most; /* requests that can be served in a second */
	} cases[] = {
		{ 40 * MS, 20, 26 },
		{ 150 * MS, 4, 7 },
		{ 300 * MS, 2, 4 },
	};
	size_t i, j, from, waiting;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		rig_t *r = rig_new(100, 1);

		for (j = 0; j < 30; j++) {
			from = r->nsent;
			rig_ask(r, "/all/x", r);
			rig_pass(r, 20 * MS);
			rig_end(r, from + 2, RT_ANSWERED, "aa");
			rig_end(r, from + 3, RT_ANSWERED, "aa");
			rig_pass(r, cases[i].slow - 20 * MS);
			rig_end(r, from, RT_ANSWERED, "aa");
			rig_end(r, from + 1, RT_ANSWERED, "aa");
			rig_pass(r, 500 * MS);
		}
		r->nanswers = 0;
		for (j = 0; j < 100; j++)
			rig_ask(r, "/all/x", r);
		waiting = rt_open(r->rt);
		CU_ASSERT(waiting >= cases[i].least);
		CU_ASSERT(waiting <= cases[i].most);
		CU_ASSERT_EQUAL(r->nanswers, 100 - waiting);
		CU_ASSERT_EQUAL(r->answer.outcome, RT_OUT_NOT_RUN);
		CU_ASSERT_EQUAL(r->answer.why, RT_WHY_OVERLOAD);
		/* One more fits when the next one was answered. */
		CU_ASSERT(r->answer.retry_after >= 20 * MS);
		CU_ASSERT(r->answer.retry_after <= cases[i].slow + 20 * MS);
		rig_free(r);
	}
}

/* A sixth of the answers is lost at full load on every host: all hosts
 * together stay within the budget of the window. */
static void test_budget(void)
{
	enum { HOSTS = 6, SECONDS = 25, PER_S = 20, WINDOW_S = 10 };
	size_t firsts[SECONDS] = { 0 }, sends[SECONDS] = { 0 };
	size_t i, j, n, h, s, most_before;
	rng_t rng = { 3 };
	rig_t *r;

	for (h = 0; h < HOSTS; h++) {
		r = rig_new(HOSTS, 3);
		for (s = 0; s < SECONDS; s++) {
			for (i = 0; i < PER_S; i++) {
				n = r->nsent;
				rig_ask(r, "/one/x", r);
				firsts[s]++;
				for (j = n; j < r->nsent; j++) {
					sends[s]++;
					rig_end(r, j,
						rng_below(&rng, 2)
							? RT_LOST
							: RT_ANSWERED,
						"x");
				}
				rig_pass(r, USEC_PER_SEC / PER_S);
			}
		}
		CU_ASSERT(rt_counter(r->rt, RT_CNT_NO_BUDGET) > 0);
		CU_ASSERT(rt_counter(r->rt, RT_CNT_RETRIES) > 0);
		rig_free(r);
	}
	for (s = 0; s + WINDOW_S <= SECONDS; s++) {
		for (i = s, n = 0, j = 0; i < s + WINDOW_S; i++) {
			n += firsts[i];
			j += sends[i];
		}
		most_before = n;
		CU_ASSERT((double)(j - n) <= 0.2 * (double)most_before + 60);
	}
}

/* Bytes to another data centre are saved while a near server is well, not
 * while it refuses a part: each refusal costs a further send. */
static void test_far(void)
{
	static const struct {
		double pace; /* of the near one; the far one has 1.05 */
		double failing;
		const char *want;
	} cases[] = {
		{ 1.0, 0, "i0-0" },
		{ 1.2, 0, "i0-0" },
		{ 1.5, 0, "i0-1" },
		{ 1.0, 0.05, "i0-1" },
	};
	size_t i, from;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		rig_t *r = rig_new(9, 2);

		rig_warm_up(r, "/one/x", 30);
		rig_pass(r, 3 * USEC_PER_SEC);
		rt_told(r->rt, STR("i0-0"), cases[i].pace, cases[i].failing,
			r->now);
		rt_told(r->rt, STR("i0-1"), 1.05, 0, r->now);
		from = r->nsent;
		rig_ask(r, "/one/x", r);
		CU_ASSERT_STRING_EQUAL(r->sent[from].server, cases[i].want);
		rig_free(r);
	}
}

/* A server turns slow: it is found out by one answer, gets copies only, and
 * is used again when it is well. */
static void test_slow_server(void)
{
	rig_t *r = rig_new(9, 2);
	size_t from, before, i;

	rig_warm_up(r, "/one/x", 30);
	from = r->nsent;
	rig_ask(r, "/one/x", r);
	CU_ASSERT_STRING_EQUAL(r->sent[from].server, "i0-0");
	rig_pass(r, 400 * MS);
	CU_ASSERT_EQUAL(r->ntold, 1);
	for (i = from; i < r->nsent; i++)
		rig_end(r, i, RT_ANSWERED, "x");
	before = rig_sent_to(r, "i0-0");
	for (i = 0; i < 60; i++) {
		from = r->nsent;
		r->nanswers = 0;
		rig_ask(r, "/one/x", r);
		rig_pass(r, 20 * MS);
		CU_ASSERT_STRING_EQUAL(r->sent[from].server, "i0-1");
		rig_end(r, from, RT_ANSWERED, "x");
		CU_ASSERT_EQUAL(r->nanswers, 1); /* it waits for no copy */
		rig_pass(r, 150 * MS);
		for (from++; from < r->nsent; from++)
			rig_end(r, from, RT_ANSWERED, "x");
	}
	CU_ASSERT(rig_sent_to(r, "i0-0") > before);
	CU_ASSERT(rig_sent_to(r, "i0-0") < before + 15);
	for (i = 0; i < 60; i++) {
		from = r->nsent;
		rig_ask(r, "/one/x", r);
		rig_pass(r, 20 * MS);
		for (; from < r->nsent; from++)
			rig_end(r, from, RT_ANSWERED, "x");
		rig_pass(r, 100 * MS);
	}
	from = r->nsent;
	rig_ask(r, "/one/x", r);
	CU_ASSERT_STRING_EQUAL(r->sent[from].server, "i0-0");
	rig_free(r);
}

/* A server refuses two of five requests: it is found out, and most requests
 * go elsewhere; the same for one that fails them. */
static void test_shedding_server(void)
{
	static const rt_result_t how[] = { RT_NOT_RUN, RT_FAILED, RT_LOST };
	rng_t rng = { 5 };
	size_t i, k, from, extra;

	for (k = 0; k < sizeof(how) / sizeof(how[0]); k++) {
		rig_t *r = rig_new(9, 3);

		rig_warm_up(r, "/one/x", 30);
		extra = 0;
		for (i = 0; i < 300; i++) {
			from = r->nsent;
			rig_ask(r, "/one/x", r);
			rig_pass(r, 5 * MS);
			for (; from < r->nsent; from++) {
				bool bad = strcmp(r->sent[from].server,
						  "i0-0") == 0 &&
					   rng_below(&rng, 5) < 2;

				extra += bad;
				if (!bad)
					rig_pass(r, 15 * MS);
				rig_end(r, from, bad ? how[k] : RT_ANSWERED,
					"x");
			}
			rig_pass(r, 20 * MS);
		}
		/* Without any learning it would be 120 of 300. */
		CU_ASSERT(extra < 30);
		rig_free(r);
	}
}

/* What neighbours tell counts unless the own word is newer. */
static void test_told(void)
{
	static const struct {
		usec_t since; /* the last own answer */
		const char *want;
	} cases[] = { { 100 * MS, "i0-0" }, { 3000 * MS, "i0-1" } };
	size_t i, from;

	for (i = 0; i < 2; i++) {
		rig_t *r = rig_new(9, 2);

		rig_warm_up(r, "/one/x", 30);
		rig_pass(r, cases[i].since);
		rt_told(r->rt, STR("i0-0"), 5.0, 0, r->now);
		from = r->nsent;
		rig_ask(r, "/one/x", r);
		CU_ASSERT_STRING_EQUAL(r->sent[from].server, cases[i].want);
		CU_ASSERT_EQUAL(r->ntold, 0);
		rig_free(r);
	}
}

/* Many hosts with few requests each still keep the weights. */
static void test_weights(void)
{
	enum { HOSTS = 90, EACH = 3 };
	size_t n = 0, h, i;

	for (h = 0; h < HOSTS; h++) {
		rt_params_t p;
		rig_t *r = rig_bare(HOSTS);

		rt_free(r->rt);
		rt_params_init(&p);
		p.dc = STR("near");
		p.seed = h + 1;
		r->rt = rt_new(&p, r->now);
		rt_adopt(r->rt, rig_conf(1, 0), r->now);
		rig_add_server(r, 0, 0, "ready", 1);
		rig_add_server(r, 1, 0, "ready", 1);
		for (i = 0; i < EACH; i++) {
			rig_ask(r, "/split/x", r);
			n += r->sent[i].server[1] == '0';
			rig_end(r, i, RT_ANSWERED, "x");
		}
		rig_free(r);
	}
	CU_ASSERT(n > HOSTS * EACH * 0.4 && n < HOSTS * EACH * 0.6);
}

void unit_load(void)
{
	static const struct {
		const char *name;
		CU_TestFunc fn;
	} tests[] = {
		{ "a pause is covered by a second send", test_hedge },
		{ "a pause shortly before the objective", test_tight },
		{ "room for a second send", test_second_room },
		{ "in time with what there is, never too little",
		  test_partial },
		{ "shards without servers", test_shards_gone },
		{ "the urgent wait less", test_wait },
		{ "those who come back", test_come_back },
		{ "what cannot be in time is refused", test_overload },
		{ "overload for seconds", test_long_overload },
		{ "what some shards cannot serve in time is refused",
		  test_overload_of_some },
		{ "budget of all hosts", test_budget },
		{ "near and far", test_far },
		{ "slow server", test_slow_server },
		{ "server that refuses or fails a part", test_shedding_server },
		{ "neighbours' words", test_told },
		{ "weights with few requests", test_weights },
	};
	CU_pSuite s = CU_add_suite("load", NULL, NULL);
	size_t i;

	for (i = 0; i < sizeof(tests) / sizeof(tests[0]); i++)
		CU_add_test(s, tests[i].name, tests[i].fn);
}
