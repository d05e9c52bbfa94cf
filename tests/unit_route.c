/** @file unit_route.c Tests of routed requests, each a load pattern. */
#include <CUnit/CUnit.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "route.h"
#include "unit.h"

#define START (100 * USEC_PER_SEC)
#define MAX_SENT 20000
#define SHARDS 4
#define MS USEC_PER_MSEC

/* One host, what it sent and what it answered. */
typedef struct rig {
	rt_t *rt;
	usec_t now;
	struct {
		uint64_t aid;
		char server[24];
		void *caller;
		usec_t at;
		bool over;
	} sent[MAX_SENT];
	size_t nsent;
	size_t ncancelled;
	size_t nanswers;
	rt_answer_t answer; /* the last; its pointers are gone */
	char body[256];
	size_t body_sz;
	size_t ntold;
} rig_t;

static void run_acts(rig_t *r)
{
	rt_act_t a;

	while (rt_next_act(r->rt, &a)) {
		switch (a.kind) {
		case RT_ACT_SEND:
			r->sent[r->nsent].aid = a.send.aid;
			str_copy(r->sent[r->nsent].server, 24,
				 a.send.server_id);
			r->sent[r->nsent].caller = a.send.caller;
			r->sent[r->nsent].over = false;
			r->sent[r->nsent++].at = r->now;
			break;
		case RT_ACT_CANCEL:
			r->ncancelled++;
			break;
		case RT_ACT_ANSWER:
			r->answer = a.answer;
			r->body_sz = a.answer.body.sz;
			if (r->body_sz)
				memcpy(r->body, a.answer.body.s, r->body_sz);
			r->nanswers++;
			break;
		case RT_ACT_TELL:
			r->ntold++;
			break;
		default:
			break;
		}
	}
}

static str_t name_of(char *buf, const char *what, unsigned i)
{
	int n = snprintf(buf, 24, "%s%u", what, i);

	return (str_t){ buf, (size_t)n };
}

/* Routes /all/ over shards, /one/ and /once/ to shard 0, /split/ by weight. */
static rt_conf_t *make_conf(uint64_t version, unsigned first_shard)
{
	static const struct {
		const char *prefix;
		rt_mode_t mode;
		bool idempotent;
		unsigned priority;
		size_t ntargets;
	} routes[] = {
		{ "/all/", RT_SHARDS, true, 1, SHARDS },
		{ "/low/", RT_SHARDS, true, 2, SHARDS },
		{ "/one/", RT_ONE, true, 1, 1 },
		{ "/once/", RT_ONE, false, 1, 1 },
		{ "/split/", RT_ONE, true, 1, 2 },
	};
	rt_conf_t *c = rt_conf_new();
	char buf[24];
	size_t i, j;

	c->version = version;
	c->nservices = SHARDS;
	c->services = arena_alloc(&c->mem, SHARDS * sizeof(*c->services));
	for (i = 0; i < SHARDS; i++) {
		c->services[i].name = arena_str(
			&c->mem, name_of(buf, "s", first_shard + (unsigned)i));
		c->services[i].connections = 100;
	}
	c->nroutes = sizeof(routes) / sizeof(routes[0]);
	c->routes = arena_alloc(&c->mem, c->nroutes * sizeof(*c->routes));
	for (i = 0; i < c->nroutes; i++) {
		rt_route_t *r = &c->routes[i];

		*r = (rt_route_t){ .name = str_of(routes[i].prefix),
				   .host = STR("h"),
				   .prefix = str_of(routes[i].prefix),
				   .mode = routes[i].mode,
				   .idempotent = routes[i].idempotent,
				   .timeout = 1000 * MS,
				   .objective = 200 * MS,
				   .attempts = 2,
				   .priority = routes[i].priority,
				   .ntargets = routes[i].ntargets,
				   .top = 4,
				   .record_bytes = 2,
				   .least = 0.75 };
		r->targets =
			arena_alloc(&c->mem, r->ntargets * sizeof(*r->targets));
		for (j = 0; j < r->ntargets; j++)
			r->targets[j] = (rt_target_t){ j, 1 };
	}
	CU_ASSERT_PTR_NULL(rt_conf_check(c));
	return c;
}

static void publish(rig_t *r, unsigned service, unsigned copy,
		    const char *state, uint64_t incarnation, uint64_t report)
{
	char id[24], svc[24], addr[32];
	rt_entry_t e = { .slots = 3,
			 .incarnation = incarnation,
			 .report = report };

	snprintf(id, sizeof(id), "i%u-%u", service, copy);
	snprintf(addr, sizeof(addr), "127.0.0.1:%u",
		 1000 + service * 10 + copy);
	e.id = str_of(id);
	e.service = name_of(svc, "s", service);
	e.addr = str_of(addr);
	e.dc = str_of(copy == 0 ? "near" : "far");
	e.draining = strcmp(state, "draining") == 0;
	rt_entry(r->rt, &e, r->now);
	run_acts(r);
}

static void add_server(rig_t *r, unsigned service, unsigned copy,
		       const char *state, uint64_t incarnation)
{
	publish(r, service, copy, state, incarnation, 1);
}

static rig_t *rig_bare(unsigned fleet)
{
	rig_t *r = xcalloc(1, sizeof(*r));
	rt_params_t p;

	rt_params_init(&p);
	p.dc = STR("near");
	p.seed = 7;
	p.fleet = fleet;
	p.extra_share = 0.2;
	p.extra_fixed = 60;
	r->now = START;
	r->rt = rt_new(&p, r->now);
	return r;
}

static rig_t *rig_new(unsigned fleet, unsigned copies)
{
	rig_t *r = rig_bare(fleet);
	unsigned i, j;

	rt_adopt(r->rt, make_conf(1, 0), r->now);
	for (i = 0; i < SHARDS; i++)
		for (j = 0; j < copies; j++)
			add_server(r, i, j, "ready", 1);
	run_acts(r);
	return r;
}

static void rig_free(rig_t *r)
{
	rt_free(r->rt);
	free(r);
}

static void ask_within(rig_t *r, const char *path, void *caller, usec_t left)
{
	rt_request_t q = { .caller = caller,
			   .left = left,
			   .id = STR("q"),
			   .host = STR("h"),
			   .path = str_of(path) };

	rt_request(r->rt, &q, r->now);
	run_acts(r);
}

static void ask(rig_t *r, const char *path, void *caller)
{
	ask_within(r, path, caller, 0);
}

static void end_with(rig_t *r, size_t i, rt_result_t res, const char *body)
{
	rt_reply_t *reply = NULL;

	if (res == RT_ANSWERED || res == RT_FAILED) {
		reply = xcalloc(1, sizeof(*reply));
		reply->refs = 1;
		reply->status = res == RT_ANSWERED ? 200 : 500;
		reply->stamp = str_of(r->sent[i].server);
		reply->body = str_dup(str_of(body));
	}
	r->sent[i].over = true;
	rt_ended(r->rt, r->sent[i].aid, res, reply, r->now);
	run_acts(r);
}

/* Lets time pass, a tick each millisecond. */
static void pass(rig_t *r, usec_t time)
{
	usec_t until = r->now + time;

	while (r->now < until) {
		r->now += MS;
		rt_tick(r->rt, r->now);
		run_acts(r);
	}
}

static size_t sent_to(const rig_t *r, const char *server)
{
	size_t n = 0, i;

	for (i = 0; i < r->nsent; i++)
		n += strcmp(r->sent[i].server, server) == 0;
	return n;
}

/* Answers of usual time, so that the statistics know the route. */
static void warm_up(rig_t *r, const char *path, unsigned n)
{
	size_t from, i;

	while (n--) {
		from = r->nsent;
		ask(r, path, r);
		pass(r, 20 * MS);
		for (i = from; i < r->nsent; i++)
			end_with(r, i, RT_ANSWERED, "aa");
		pass(r, 30 * MS);
	}
}

static void test_merge(void)
{
	static const struct {
		const char *parts[3];
		size_t top;
		const char *want;
	} cases[] = {
		{ { "aabbcc", "zzbb", "" }, 3, "zzccbb" },
		{ { "aa", "aa", "aa" }, 2, "aaaa" },
		{ { "aab", "b", "" }, 5, "aa" }, /* rests are no records */
		{ { "", "", "" }, 5, "" },
		{ { "\xff\x01\x01\xff", "", "" }, 1, "\xff\x01" },
	};
	char out[64];
	size_t i, j, n;
	str_t v[3];

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		for (j = 0; j < 3; j++)
			v[j] = str_of(cases[i].parts[j]);
		n = rt_merge(v, 3, 2, cases[i].top, out);
		CU_ASSERT_EQUAL(n, strlen(cases[i].want));
		CU_ASSERT_EQUAL(memcmp(out, cases[i].want, n), 0);
	}
}

static void test_routes(void)
{
	static const struct {
		const char *host;
		const char *path;
		const char *want;
	} cases[] = {
		{ "h", "/all/x", "/all/" },  { "h", "/all/", "/all/" },
		{ "h", "/all", NULL },	     { "h", "/x?/all/", NULL },
		{ "other", "/all/x", NULL }, { "h", "/one/a?b=/all/", "/one/" },
	};
	rt_conf_t *c = make_conf(1, 0);
	const rt_route_t *r;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		r = rt_conf_route(c, str_of(cases[i].host),
				  str_of(cases[i].path));
		CU_ASSERT_EQUAL(r != NULL, cases[i].want != NULL);
		if (r && cases[i].want)
			CU_ASSERT(str_eq(r->prefix, str_of(cases[i].want)));
	}
	rt_conf_unref(c);
}

/* Every shard answers: one merged answer, from near servers only. */
static void test_whole(void)
{
	rig_t *r = rig_new(9, 3);
	size_t i;

	ask(r, "/all/x", r);
	CU_ASSERT_EQUAL(r->nsent, SHARDS);
	for (i = 0; i < SHARDS; i++) {
		CU_ASSERT_STRING_EQUAL(r->sent[i].server + 2, "-0");
		CU_ASSERT_EQUAL(r->nanswers, 0);
		end_with(r, i, RT_ANSWERED, i == 2 ? "zz" : "bb");
	}
	CU_ASSERT_EQUAL(r->nanswers, 1);
	CU_ASSERT_EQUAL(r->answer.outcome, RT_OUT_MERGED);
	CU_ASSERT_EQUAL(r->answer.missing, 0);
	CU_ASSERT_EQUAL(r->body_sz, 8);
	CU_ASSERT_EQUAL(memcmp(r->body, "zzbbbbbb", 8), 0);
	rig_free(r);
}

/* One shard pauses: a second send, and its answer, before the objective. */
static void test_hedge(void)
{
	rig_t *r = rig_new(9, 3);
	size_t from, i;

	warm_up(r, "/all/x", 30);
	from = r->nsent;
	r->nanswers = 0;
	ask(r, "/all/x", r);
	pass(r, 20 * MS);
	for (i = from + 1; i < from + SHARDS; i++)
		end_with(r, i, RT_ANSWERED, "aa");
	CU_ASSERT_EQUAL(r->nanswers, 0);
	pass(r, 120 * MS);
	CU_ASSERT_EQUAL_FATAL(r->nsent, from + SHARDS + 1);
	CU_ASSERT_STRING_NOT_EQUAL(r->sent[from].server,
				   r->sent[from + SHARDS].server);
	end_with(r, from + SHARDS, RT_ANSWERED, "aa");
	CU_ASSERT_EQUAL(r->nanswers, 1);
	CU_ASSERT_EQUAL(r->answer.missing, 0);
	CU_ASSERT(r->now - r->sent[from].at < 200 * MS);
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

		ask(r, "/all/x", r);
		for (j = 0; j < cases[i].answering; j++)
			end_with(r, j, RT_ANSWERED, "aa");
		pass(r, 150 * MS);
		CU_ASSERT_EQUAL(r->nanswers, 0);
		while (!r->nanswers && r->now - began < 2 * USEC_PER_SEC)
			pass(r, MS);
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
		run_acts(r);
		ask(r, "/all/x", r);
		CU_ASSERT_EQUAL(r->nanswers, cases[i].refused ? 1 : 0);
		if (cases[i].refused) {
			CU_ASSERT_EQUAL(r->nsent, 0);
			CU_ASSERT_EQUAL(r->answer.outcome, RT_OUT_NOT_RUN);
			CU_ASSERT(r->answer.retry_after > 0);
		}
		rig_free(r);
	}
}

/* What a single send's end means for requests that may run once or often. */
static void test_once(void)
{
	static const struct {
		const char *path;
		rt_result_t result;
		bool again;
		rt_outcome_t outcome; /* if not */
	} cases[] = {
		{ "/once/x", RT_LOST, false, RT_OUT_UNKNOWN },
		{ "/once/x", RT_FAILED, false, RT_OUT_PASS },
		{ "/once/x", RT_NOT_RUN, true, 0 },
		{ "/once/x", RT_MOVED, true, 0 },
		{ "/once/x", RT_NOT_SENT, true, 0 },
		{ "/one/x", RT_LOST, true, 0 },
		{ "/one/x", RT_FAILED, true, 0 },
		{ "/one/x", RT_NOT_RUN, true, 0 },
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		rig_t *r = rig_new(9, 3);

		ask(r, cases[i].path, r);
		CU_ASSERT_EQUAL(r->nsent, 1);
		end_with(r, 0, cases[i].result, "x");
		CU_ASSERT_EQUAL(r->nsent, cases[i].again ? 2 : 1);
		CU_ASSERT_EQUAL(r->nanswers, cases[i].again ? 0 : 1);
		if (!cases[i].again)
			CU_ASSERT_EQUAL(r->answer.outcome, cases[i].outcome);
		rig_free(r);
	}
}

/* Time alone never sends a request twice that must run once, and nothing
 * that was sent is said not to have run. */
static void test_once_silent(void)
{
	rig_t *r = rig_new(9, 3);

	ask(r, "/once/x", r);
	pass(r, 1500 * MS);
	CU_ASSERT_EQUAL(r->nsent, 1);
	CU_ASSERT_EQUAL(r->nanswers, 1);
	CU_ASSERT_EQUAL(r->answer.outcome, RT_OUT_TIMEOUT);
	rig_free(r);
}

/* More comes than servers take: the more urgent goes first, and nothing
 * waits whose time would be over. */
static void test_wait(void)
{
	rig_t *r = rig_new(100, 1); /* one request at a time and server */
	size_t i;
	int callers[3];

	ask(r, "/low/x", &callers[0]);
	ask(r, "/low/x", &callers[1]);
	ask(r, "/all/x", &callers[2]);
	CU_ASSERT_EQUAL(r->nsent, SHARDS);
	for (i = 0; i < SHARDS; i++)
		end_with(r, i, RT_ANSWERED, "aa");
	CU_ASSERT_EQUAL(r->nsent, 2 * SHARDS);
	for (i = SHARDS; i < 2 * SHARDS; i++)
		CU_ASSERT_PTR_EQUAL(r->sent[i].caller, &callers[2]);
	rig_free(r);
}

/* Refused callers come back into a queue of newcomers: they have waited, and
 * go first. */
static void test_come_back(void)
{
	rig_t *r = rig_new(100, 1);
	int callers[3];

	ask(r, "/one/x", &callers[0]);
	ask(r, "/one/x", &callers[1]);
	pass(r, 20 * MS);
	ask_within(r, "/one/x", &callers[2], 700 * MS);
	end_with(r, 0, RT_ANSWERED, "x");
	CU_ASSERT_EQUAL(r->nsent, 2);
	CU_ASSERT_PTR_EQUAL(r->sent[1].caller, &callers[2]);
	rig_free(r);
}

static void test_overload(void)
{
	rig_t *r = rig_new(100, 1);
	size_t i, waiting;

	warm_up(r, "/all/x", 30);
	r->nanswers = 0;
	for (i = 0; i < 200; i++)
		ask(r, "/all/x", r);
	waiting = rt_open(r->rt);
	/* 20 ms each, a second of time: about 50 can be served. */
	CU_ASSERT(waiting >= 20 && waiting <= 60);
	CU_ASSERT_EQUAL(r->answer.outcome, RT_OUT_NOT_RUN);
	CU_ASSERT_EQUAL(r->answer.why, RT_WHY_OVERLOAD);
	CU_ASSERT(r->answer.retry_after > 0);
	rig_free(r);
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
				ask(r, "/one/x", r);
				firsts[s]++;
				for (j = n; j < r->nsent; j++) {
					sends[s]++;
					end_with(r, j,
						 rng_below(&rng, 2)
							 ? RT_LOST
							 : RT_ANSWERED,
						 "x");
				}
				pass(r, USEC_PER_SEC / PER_S);
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

/* A server turns slow: it is found out by one answer, gets copies only, and
 * is used again when it is well. */
static void test_slow_server(void)
{
	rig_t *r = rig_new(9, 2);
	size_t from, before, i;

	warm_up(r, "/one/x", 30);
	from = r->nsent;
	ask(r, "/one/x", r);
	CU_ASSERT_STRING_EQUAL(r->sent[from].server, "i0-0");
	pass(r, 400 * MS);
	CU_ASSERT_EQUAL(r->ntold, 1);
	for (i = from; i < r->nsent; i++)
		end_with(r, i, RT_ANSWERED, "x");
	before = sent_to(r, "i0-0");
	for (i = 0; i < 60; i++) {
		from = r->nsent;
		r->nanswers = 0;
		ask(r, "/one/x", r);
		pass(r, 20 * MS);
		CU_ASSERT_STRING_EQUAL(r->sent[from].server, "i0-1");
		end_with(r, from, RT_ANSWERED, "x");
		CU_ASSERT_EQUAL(r->nanswers, 1); /* it waits for no copy */
		pass(r, 150 * MS);
		for (from++; from < r->nsent; from++)
			end_with(r, from, RT_ANSWERED, "x");
	}
	CU_ASSERT(sent_to(r, "i0-0") > before);
	CU_ASSERT(sent_to(r, "i0-0") < before + 15);
	for (i = 0; i < 60; i++) {
		from = r->nsent;
		ask(r, "/one/x", r);
		pass(r, 20 * MS);
		for (; from < r->nsent; from++)
			end_with(r, from, RT_ANSWERED, "x");
		pass(r, 100 * MS);
	}
	from = r->nsent;
	ask(r, "/one/x", r);
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

		warm_up(r, "/one/x", 30);
		extra = 0;
		for (i = 0; i < 300; i++) {
			from = r->nsent;
			ask(r, "/one/x", r);
			pass(r, 5 * MS);
			for (; from < r->nsent; from++) {
				bool bad = strcmp(r->sent[from].server,
						  "i0-0") == 0 &&
					   rng_below(&rng, 5) < 2;

				extra += bad;
				if (!bad)
					pass(r, 15 * MS);
				end_with(r, from, bad ? how[k] : RT_ANSWERED,
					 "x");
			}
			pass(r, 20 * MS);
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

		warm_up(r, "/one/x", 30);
		pass(r, cases[i].since);
		rt_told(r->rt, STR("i0-0"), 5.0, 0, r->now);
		from = r->nsent;
		ask(r, "/one/x", r);
		CU_ASSERT_STRING_EQUAL(r->sent[from].server, cases[i].want);
		CU_ASSERT_EQUAL(r->ntold, 0);
		rig_free(r);
	}
}

/* A server that leaves gets nothing new; what is out to it is awaited. */
static void test_draining(void)
{
	static const char *const how[] = { "draining", "gone", "restarted" };
	size_t i, from;

	for (i = 0; i < sizeof(how) / sizeof(how[0]); i++) {
		rig_t *r = rig_new(9, 2);

		ask(r, "/once/x", r);
		CU_ASSERT_STRING_EQUAL(r->sent[0].server, "i0-0");
		if (strcmp(how[i], "gone") == 0)
			rt_gone(r->rt, STR("i0-0"), r->now);
		else if (strcmp(how[i], "draining") == 0)
			add_server(r, 0, 0, "draining", 1);
		else
			add_server(r, 0, 0, "draining", 2);
		run_acts(r);
		from = r->nsent;
		ask(r, "/once/x", r);
		CU_ASSERT_STRING_EQUAL(r->sent[from].server, "i0-1");
		end_with(r, 0, RT_ANSWERED, "x");
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

		rt_adopt(r->rt, make_conf(1, 0), r->now);
		publish(r, 0, 0, "ready", 7, 2);
		if (cases[i].removed) {
			publish(r, 0, 0, "ready", 7, 3);
			rt_gone(r->rt, STR("i0-0"), r->now);
		} else {
			publish(r, 0, 0, "draining", 7, 3);
		}
		run_acts(r);
		publish(r, 0, 0, "ready", cases[i].incarnation,
			cases[i].report);
		ask(r, "/one/x", r);
		CU_ASSERT_EQUAL(r->nsent, cases[i].used ? 1 : 0);
		rig_free(r);
	}
}

/* The same while a request is still out to the server that went. */
static void test_old_word_in_flight(void)
{
	rig_t *r = rig_bare(9);

	rt_adopt(r->rt, make_conf(1, 0), r->now);
	publish(r, 0, 0, "ready", 7, 3);
	ask(r, "/once/x", r);
	CU_ASSERT_EQUAL(r->nsent, 1);
	rt_gone(r->rt, STR("i0-0"), r->now);
	publish(r, 0, 0, "ready", 7, 3);
	ask(r, "/one/x", r);
	CU_ASSERT_EQUAL(r->nsent, 1);
	publish(r, 0, 0, "ready", 7, 4);
	ask(r, "/one/x", r);
	CU_ASSERT_EQUAL(r->nsent, 2);
	end_with(r, 0, RT_ANSWERED, "x");
	rig_free(r);
}

/* Leases that run out while the registry is away: used as a last choice for
 * two seconds after its return, then gone. */
static void test_lapse(void)
{
	rig_t *r = rig_new(9, 1);

	rt_registry(r->rt, false, r->now);
	pass(r, 3000 * MS);
	rt_registry(r->rt, true, r->now);
	rt_gone(r->rt, STR("i0-0"), r->now);
	run_acts(r);
	ask(r, "/one/x", r);
	CU_ASSERT_EQUAL(r->nsent, 1);
	end_with(r, 0, RT_ANSWERED, "x");
	pass(r, 2200 * MS);
	ask(r, "/one/x", r);
	CU_ASSERT_EQUAL(r->nsent, 1);
	CU_ASSERT_EQUAL(r->answer.outcome, RT_OUT_NOT_RUN);
	rig_free(r);
}

/* A lower version never takes back; an open request keeps its shards. */
static void test_versions(void)
{
	rig_t *r = rig_new(9, 1);
	size_t i;
	unsigned s;

	for (s = SHARDS; s < 2 * SHARDS; s++)
		add_server(r, s, 0, "ready", 1);
	ask(r, "/all/x", r);
	CU_ASSERT(rt_adopt(r->rt, make_conf(5, SHARDS), r->now));
	CU_ASSERT_FALSE(rt_adopt(r->rt, make_conf(4, 0), r->now));
	CU_ASSERT_FALSE(rt_adopt(r->rt, make_conf(5, 0), r->now));
	CU_ASSERT_EQUAL(rt_conf(r->rt)->version, 5);
	for (i = 0; i < SHARDS; i++)
		end_with(r, i, RT_ANSWERED, "aa");
	CU_ASSERT_EQUAL(r->answer.nstamps, SHARDS);
	ask(r, "/all/x", r);
	for (i = SHARDS; i < 2 * SHARDS; i++)
		CU_ASSERT(r->sent[i].server[1] >= '0' + SHARDS);
	rig_free(r);
}

/* A caller that leaves: what runs for it is broken off, nothing is said. */
static void test_left(void)
{
	rig_t *r = rig_new(9, 3);

	ask(r, "/all/x", r);
	rt_left(r->rt, r, r->now);
	run_acts(r);
	CU_ASSERT_EQUAL(r->ncancelled, SHARDS);
	pass(r, 1500 * MS);
	CU_ASSERT_EQUAL(r->nsent, SHARDS);
	CU_ASSERT_EQUAL(r->nanswers, 0);
	CU_ASSERT_EQUAL(rt_open(r->rt), 0);
	rig_free(r);
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
		rt_adopt(r->rt, make_conf(1, 0), r->now);
		add_server(r, 0, 0, "ready", 1);
		add_server(r, 1, 0, "ready", 1);
		for (i = 0; i < EACH; i++) {
			ask(r, "/split/x", r);
			n += r->sent[i].server[1] == '0';
			end_with(r, i, RT_ANSWERED, "x");
		}
		rig_free(r);
	}
	CU_ASSERT(n > HOSTS * EACH * 0.4 && n < HOSTS * EACH * 0.6);
}

static void test_before_start(void)
{
	rig_t *r = rig_bare(9);

	ask(r, "/all/x", r);
	CU_ASSERT_EQUAL(r->answer.outcome, RT_OUT_NOT_RUN);
	CU_ASSERT_EQUAL(r->answer.why, RT_WHY_NO_CONFIG);
	rt_adopt(r->rt, make_conf(1, 0), r->now);
	ask(r, "/nowhere/", r);
	CU_ASSERT_EQUAL(r->answer.outcome, RT_OUT_NO_ROUTE);
	rig_free(r);
}

static void test_faulty_conf(void)
{
	static const struct {
		const char *what;
		size_t route;
	} cases[] = { { "prefix", 0 },	{ "attempts", 1 }, { "once", 0 },
		      { "service", 2 }, { "weight", 4 },   { "least", 0 },
		      { "timeout", 3 }, { "version", 0 } };
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		rt_conf_t *c = make_conf(1, 0);
		rt_route_t *r = &c->routes[cases[i].route];

		switch (i) {
		case 0:
			r->prefix = STR("/x");
			break;
		case 1:
			r->attempts = 0;
			break;
		case 2:
			r->idempotent = false;
			break;
		case 3:
			r->targets[0].service = 99;
			break;
		case 4:
			r->targets[0].weight = r->targets[1].weight = 0;
			break;
		case 5:
			r->least = 1.5;
			break;
		case 6:
			r->timeout = 0;
			break;
		default:
			c->version = 0;
			break;
		}
		CU_ASSERT_PTR_NOT_NULL(rt_conf_check(c));
		rt_conf_unref(c);
	}
}

void unit_route(void)
{
	static const struct {
		const char *name;
		CU_TestFunc fn;
	} tests[] = {
		{ "records are merged by bytes", test_merge },
		{ "the longest prefix of the host", test_routes },
		{ "a faulty configuration is refused", test_faulty_conf },
		{ "before a configuration", test_before_start },
		{ "whole answer from near servers", test_whole },
		{ "a pause is covered by a second send", test_hedge },
		{ "in time with what there is, never too little",
		  test_partial },
		{ "shards without servers", test_shards_gone },
		{ "what runs once", test_once },
		{ "what runs once and stays silent", test_once_silent },
		{ "the urgent wait less", test_wait },
		{ "those who come back", test_come_back },
		{ "what cannot be in time is refused", test_overload },
		{ "budget of all hosts", test_budget },
		{ "slow server", test_slow_server },
		{ "server that refuses or fails a part", test_shedding_server },
		{ "neighbours' words", test_told },
		{ "leaving servers", test_draining },
		{ "earlier words of servers", test_old_words },
		{ "earlier words, with a request out",
		  test_old_word_in_flight },
		{ "lapsed servers", test_lapse },
		{ "versions only rise", test_versions },
		{ "caller left", test_left },
		{ "weights with few requests", test_weights },
	};
	CU_pSuite s = CU_add_suite("route", NULL, NULL);
	size_t i;

	for (i = 0; i < sizeof(tests) / sizeof(tests[0]); i++)
		CU_add_test(s, tests[i].name, tests[i].fn);
}
