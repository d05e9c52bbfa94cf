/**
 * @file unit_walk.c
 * Seeded random test of event orders. It simulates callers, connections,
 * servers and the clock for one core and checks invariants after each step.
 * WALK_SEED runs a single seed.
 */
#include <CUnit/CUnit.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core.h"
#include "unit.h"

#define SEEDS 2000
#define STEPS 400
#define GROUPS 3
#define REPLICAS 3
#define SERVERS (GROUPS * REPLICAS)
#define MAX_CALLS (STEPS + 1)
#define MAX_ATTEMPTS 4096
#define MAX_DELAYED 8
#define CONNECTIONS 9
#define DAEMONS 3
/* Connections of the core to one server. */
#define MAX_CONNECTIONS (CONNECTIONS / DAEMONS)
/* Longest time for which a leaving server may still get requests. */
#define LEAVING_DELAY_MAX (3 * USEC_PER_SEC)

/* A request and what its caller observed. */
typedef struct call {
	bool idempotent;
	unsigned answers;
	unsigned runs;
	outcome_t outcome;
} call_t;

/* An attempt in the simulated connection and server. */
typedef struct sim_attempt {
	uint64_t aid;
	unsigned server;
	unsigned group;
	call_t *call;
	uint64_t snapshot;
	usec_t send_by;
	bool sent; /* sent to the server; cannot be withdrawn */
	bool ended;
	result_t result;
} sim_attempt_t;

/* A list or a probe result that the core receives later. */
typedef struct delayed_info {
	bool valid;
	bool is_list; /* a list of hosts; else a probe result */
	unsigned server;
	usec_t at;
	uint64_t oldest_snapshot;
	uint64_t version;
	bool platform_up; /* the platform could be read */
	bool leaving[SERVERS];
} delayed_info_t;

typedef struct walk {
	uint64_t seed;
	rng_t rng;
	usec_t now;
	core_t *core;
	acts_t acts;
	call_t calls[MAX_CALLS];
	unsigned ncalls;
	sim_attempt_t attempts[MAX_ATTEMPTS];
	unsigned nattempts;
	unsigned inflight[SERVERS];
	bool leaving[SERVERS]; /* as the platform publishes it */
	usec_t leaving_at[SERVERS];
	bool leaving_read[SERVERS]; /* the core read the leaving mark */
	uint64_t oldest_snapshot; /* servers hold this snapshot and the next */
	uint64_t list_version;
	bool platform_up;
	usec_t list_read_at;
	delayed_info_t delayed[MAX_DELAYED];
	unsigned ndelayed;
	unsigned violations;
} walk_t;

static void report_violation(walk_t *w, const char *what)
{
	if (w->violations++ == 0)
		fprintf(stderr, "  walk seed %llu at %lld usec: %s\n",
			(unsigned long long)w->seed, (long long)w->now, what);
}

static char *conf_for_walk(uint64_t revision, unsigned map)
{
	conf_builder_t *b = conf_new(revision, DAEMONS);
	char *text = NULL;
	size_t sz = 0;
	FILE *out = open_memstream(&text, &sz);
	char name[8];
	unsigned i, j;

	conf_add_dc(b, "a", "r");
	conf_add_service(b, "s", 3, CONNECTIONS);
	conf_set_map(b, map);
	for (i = 0; i < GROUPS; i++) {
		snprintf(name, sizeof(name), "g%u", i);
		conf_add_group(b, name);
		for (j = 0; j < REPLICAS; j++)
			conf_add_server(b, "a", "127.0.0.1",
					1 + i * REPLICAS + j);
	}
	conf_add_class(b, &(conf_class_spec_t){ .name = "urgent",
						.kind = CONF_URGENT,
						.idempotent = true,
						.deadline_ms = 200,
						.soft_ms = 50,
						.min_coverage = 0.5 });
	conf_add_class(b, &(conf_class_spec_t){ .name = "broad",
						.kind = CONF_BROAD,
						.idempotent = true,
						.deadline_ms = 1000,
						.min_coverage = 0.3 });
	conf_add_class(b, &(conf_class_spec_t){ .name = "once",
						.kind = CONF_URGENT,
						.scope = CONF_ONE,
						.deadline_ms = 300,
						.min_coverage = 1 });
	conf_emit(b, out, stderr);
	fclose(out);
	return text;
}

static void step(walk_t *w, event_t *ev);

static unsigned server_of(str_t addr)
{
	char host[ADDR_HOST_MAX];
	unsigned port = 1;

	addr_split(addr, host, &port);
	return port - 1;
}

static void on_send(walk_t *w, const act_t *a)
{
	sim_attempt_t *t = &w->attempts[w->nattempts++];

	if (w->nattempts == MAX_ATTEMPTS) {
		w->nattempts--;
		report_violation(w, "too many attempts");
		return;
	}
	*t = (sim_attempt_t){ .aid = a->send.aid,
			      .server = server_of(a->send.addr),
			      .call = a->send.body,
			      .snapshot = a->send.snapshot,
			      .send_by = a->send.send_by };
	t->group = t->server / REPLICAS;
	if (++w->inflight[t->server] > MAX_CONNECTIONS)
		report_violation(w, "more in flight than connections");
}

static sim_attempt_t *find(walk_t *w, uint64_t aid)
{
	unsigned i;

	for (i = 0; i < w->nattempts; i++)
		if (w->attempts[i].aid == aid && !w->attempts[i].ended)
			return &w->attempts[i];
	return NULL;
}

static void withdraw(walk_t *w, uint64_t aid)
{
	event_t ev = { .kind = EV_WITHDRAW_ENDED };
	sim_attempt_t *t = find(w, aid);

	ev.withdrawn.aid = aid;
	ev.withdrawn.ok = t && !t->sent;
	if (ev.withdrawn.ok) {
		t->ended = true;
		w->inflight[t->server]--;
	}
	step(w, &ev);
}

static void check_hits(walk_t *w, const answer_t *a)
{
	bool seen[GROUPS] = { false };
	unsigned n = 0, g;
	size_t i;

	for (i = 0; i < a->nhits; i++) {
		if ((uint64_t)a->hits[i].score != a->snapshot)
			report_violation(w, "a hit of another snapshot");
		if (a->hits[i].text.s != (char *)a->caller)
			report_violation(w, "a hit of another request");
		g = (unsigned)(a->hits[i].id.s[0] - '0');
		n += !seen[g];
		seen[g] = true;
	}
	if (n != a->answered)
		report_violation(w, "coverage does not match the hits");
}

static void on_answer(walk_t *w, const answer_t *a)
{
	call_t *c = a->caller;

	c->answers++;
	c->outcome = a->outcome;
	if (c->answers > 1)
		report_violation(w, "answered twice");
	if (a->outcome == OUT_NOT_RUN && c->runs)
		report_violation(w, "answered not run, but it ran");
	if (a->outcome == OUT_COMPLETE || a->outcome == OUT_PARTIAL)
		check_hits(w, a);
	if (a->outcome == OUT_COMPLETE && a->answered != a->total)
		report_violation(w, "complete without every group");
}

static void step(walk_t *w, event_t *ev)
{
	acts_t acts = { 0 };
	size_t i;

	core_step(w->core, ev, w->now, &acts);
	/* Answers come first: their hits are valid until the next step. */
	for (i = 0; i < acts.n; i++) {
		act_t *a = &acts.v[i];

		if (a->kind == ACT_SEND)
			on_send(w, a);
		else if (a->kind == ACT_ANSWER)
			on_answer(w, &a->answer);
		else if (a->kind == ACT_CONF_RELEASE)
			conf_free(a->conf);
	}
	for (i = 0; i < acts.n; i++)
		if (acts.v[i].kind == ACT_WITHDRAW ||
		    acts.v[i].kind == ACT_CANCEL)
			withdraw(w, acts.v[i].aid);
	acts_free(&acts);
}

static void send_request(walk_t *w)
{
	static const char *const classes[] = { "urgent", "broad", "once" };
	event_t ev = { .kind = EV_REQUEST };
	unsigned k = (unsigned)rng_below(&w->rng, 3);
	call_t *c = &w->calls[w->ncalls++];

	c->idempotent = k != 2;
	ev.request.service = STR("s");
	ev.request.class_name = str_of(classes[k]);
	ev.request.route = STR("r");
	ev.request.body = c;
	ev.request.caller = c;
	step(w, &ev);
}

/* Sends an attempt; the server runs or refuses it. */
static void send_attempt(walk_t *w, sim_attempt_t *t)
{
	t->sent = true;
	if (w->leaving[t->server] && w->platform_up &&
	    w->now > w->leaving_at[t->server] + LEAVING_DELAY_MAX)
		report_violation(w, "a request was sent to a leaving server");
	if (t->snapshot != w->oldest_snapshot &&
	    t->snapshot != w->oldest_snapshot + 1) {
		t->result = RES_SNAPSHOT_MISSING;
		return;
	}
	switch (rng_below(&w->rng, 12)) {
	case 0:
		t->result = RES_SHED;
		return;
	case 1:
		t->result = RES_LOST;
		break;
	case 2:
		t->result = RES_MISMATCH;
		break;
	case 3:
		t->result = RES_ERROR;
		break;
	default:
		t->result = RES_OK;
		break;
	}
	t->call->runs++;
	if (!t->call->idempotent && t->call->runs > 1)
		report_violation(w, "a non-idempotent request ran twice");
	if (t->call->answers && t->call->outcome == OUT_NOT_RUN)
		report_violation(w, "ran after it was answered not run");
}

static group_hits_t *hits_for(const sim_attempt_t *t)
{
	group_hits_t *p = group_hits_new();

	p->hits = arena_alloc(&p->mem, sizeof(*p->hits));
	p->nhits = 1;
	p->hits[0].score = (double)t->snapshot;
	p->hits[0].id.s = arena_alloc(&p->mem, 2);
	((char *)p->hits[0].id.s)[0] = (char)('0' + t->group);
	p->hits[0].id.sz = 1;
	p->hits[0].text = (str_t){ (char *)t->call, 0 };
	return p;
}

static void send_reply(walk_t *w, sim_attempt_t *t)
{
	event_t ev = { .kind = EV_ATTEMPT_ENDED };

	t->ended = true;
	w->inflight[t->server]--;
	ev.attempt.aid = t->aid;
	ev.attempt.result = t->result;
	if (t->result == RES_OK)
		ev.attempt.group_hits = hits_for(t);
	if (t->result != RES_LOST && t->result != RES_NOT_SENT) {
		ev.attempt.evidence.valid = true;
		ev.attempt.evidence.slots = 3;
		ev.attempt.evidence.nheld = 2;
		ev.attempt.evidence.held[0] =
			(snapshot_ref_t){ 1, w->oldest_snapshot };
		ev.attempt.evidence.held[1] =
			(snapshot_ref_t){ 1, w->oldest_snapshot + 1 };
	}
	step(w, &ev);
}

/* Sends a random attempt, lets it expire, or replies to it. */
static void advance_attempt(walk_t *w)
{
	unsigned i, at;
	sim_attempt_t *t;

	if (w->nattempts == 0)
		return;
	at = (unsigned)rng_below(&w->rng, w->nattempts);
	for (i = 0; i < w->nattempts; i++) {
		t = &w->attempts[(at + i) % w->nattempts];
		if (t->ended)
			continue;
		if (t->sent) {
			send_reply(w, t);
		} else if (w->now > t->send_by) {
			t->result = RES_NOT_SENT;
			send_reply(w, t);
		} else {
			send_attempt(w, t);
		}
		return;
	}
}

/* Stores the current list or state of a server for later delivery. */
static void delay_info(walk_t *w, unsigned server, bool list)
{
	delayed_info_t *d = &w->delayed[w->ndelayed++ % MAX_DELAYED];

	*d = (delayed_info_t){ .valid = true,
			       .is_list = list,
			       .server = server,
			       .at = w->now,
			       .oldest_snapshot = w->oldest_snapshot,
			       .version = w->list_version,
			       .platform_up = w->platform_up };
	memcpy(d->leaving, w->leaving, sizeof(d->leaving));
}

static void send_probe(walk_t *w, const delayed_info_t *d)
{
	event_t ev = { .kind = EV_PROBE_ENDED };
	unsigned server = d->server;
	char addr[32];

	snprintf(addr, sizeof(addr), "127.0.0.1:%u", server + 1);
	ev.probe.at = d->at;
	ev.probe.addr = str_of(addr);
	ev.probe.ok = rng_below(&w->rng, 8) != 0;
	ev.probe.evidence.valid = true;
	ev.probe.evidence.slots = 3;
	ev.probe.evidence.nheld = 2;
	ev.probe.evidence.held[0] = (snapshot_ref_t){ 1, d->oldest_snapshot };
	ev.probe.evidence.held[1] =
		(snapshot_ref_t){ 1, d->oldest_snapshot + 1 };
	/* A leaving server does not always report that it drains. */
	ev.probe.evidence.draining =
		d->leaving[server] && rng_below(&w->rng, 2);
	step(w, &ev);
}

static void send_list(walk_t *w, const delayed_info_t *d)
{
	host_list_t l = { .version = d->version };
	event_t ev = { .kind = EV_LIST };
	char addrs[SERVERS][32];
	str_t leaving[SERVERS];
	unsigned i;

	if (!d->platform_up) {
		ev.kind = EV_LIST_FAILED;
		ev.list.at = d->at;
		step(w, &ev);
		return;
	}
	ev.list.at = d->at;
	for (i = 0; i < SERVERS; i++) {
		if (!d->leaving[i])
			continue;
		snprintf(addrs[i], sizeof(addrs[i]), "127.0.0.1:%u", i + 1);
		w->leaving_read[i] |= w->leaving[i];
		leaving[l.nleaving_upstreams++] = str_of(addrs[i]);
	}
	l.leaving_upstreams = leaving;
	ev.list.list = &l;
	step(w, &ev);
}

/* Delivers a stored list or probe result, in random order. */
static void deliver_delayed(walk_t *w)
{
	unsigned first = (unsigned)rng_below(&w->rng, MAX_DELAYED);
	delayed_info_t *d;
	unsigned i;

	for (i = 0; i < MAX_DELAYED; i++) {
		d = &w->delayed[(first + i) % MAX_DELAYED];
		if (!d->valid)
			continue;
		d->valid = false;
		if (d->is_list)
			send_list(w, d);
		else
			send_probe(w, d);
		return;
	}
}

static void toggle_leaving(walk_t *w)
{
	unsigned i = (unsigned)rng_below(&w->rng, SERVERS);

	w->list_version++;
	w->leaving_read[i] = false;
	if (w->leaving[i]) {
		w->leaving[i] = false;
		return;
	}
	w->leaving[i] = true;
	w->leaving_at[i] = w->now;
}

/* When an outage ends, leaving marks that the core has not read begin anew. */
static void toggle_platform(walk_t *w)
{
	unsigned i;

	w->platform_up = !w->platform_up;
	for (i = 0; w->platform_up && i < SERVERS; i++)
		if (w->leaving[i] && !w->leaving_read[i])
			w->leaving_at[i] = w->now;
}

static void advance_time(walk_t *w)
{
	event_t ev = { .kind = EV_TICK };
	usec_t elapsed = (usec_t)rng_below(&w->rng, 20 * USEC_PER_MSEC);

	if (rng_below(&w->rng, 4) == 0)
		elapsed *= 15;
	if (rng_below(&w->rng, 25) == 0) /* the process pauses */
		elapsed = (usec_t)rng_below(&w->rng, 10 * USEC_PER_SEC);
	w->now += elapsed;
	/* The list is read every 500 ms, except during a pause. */
	if (w->now - w->list_read_at > USEC_PER_SEC / 2) {
		w->list_read_at = w->now;
		step(w, &ev);
		delay_info(w, 0, true);
		if (rng_below(&w->rng, 4))
			deliver_delayed(w);
		return;
	}
	step(w, &ev);
}

static void publish_conf(walk_t *w)
{
	event_t ev = { .kind = EV_CONF };
	static conf_faults_t f;
	core_report_t before, after;
	uint64_t rev;
	char *text;

	core_report(w->core, w->now, &before);
	/* Some revisions are older than the one in force. */
	rev = 1 + rng_below(&w->rng, before.revision + 3);
	text = conf_for_walk(rev, 1);
	ev.conf = conf_parse(str_of(text), &f);
	free(text);
	step(w, &ev);
	core_report(w->core, w->now, &after);
	if (after.revision < before.revision)
		report_violation(w, "the revision decreased");
}

static void random_step(walk_t *w)
{
	switch (rng_below(&w->rng, 40)) {
	case 0:
		w->oldest_snapshot++;
		break;
	case 1:
		toggle_leaving(w);
		break;
	case 2:
		publish_conf(w);
		break;
	case 3:
		toggle_platform(w);
		break;
	case 4:
	case 5:
		delay_info(w, (unsigned)rng_below(&w->rng, SERVERS), false);
		break;
	case 17:
	case 18:
		deliver_delayed(w);
		break;
	case 6:
	case 7:
	case 8:
	case 9:
	case 10:
		send_request(w);
		break;
	case 11:
	case 12:
	case 13:
	case 14:
	case 15:
	case 16:
		advance_time(w);
		break;
	default:
		advance_attempt(w);
		break;
	}
}

/* Ends all attempts; after 10 s every caller must have one answer. */
static void finish(walk_t *w)
{
	event_t ev = { .kind = EV_TICK };
	core_report_t r;
	unsigned i, j;

	for (i = 0; i < 200; i++) {
		w->now += 50 * USEC_PER_MSEC;
		step(w, &ev);
		for (j = 0; j < w->nattempts; j++)
			if (!w->attempts[j].ended && w->attempts[j].sent)
				send_reply(w, &w->attempts[j]);
			else if (!w->attempts[j].ended)
				advance_attempt(w);
	}
	for (i = 0; i < w->ncalls; i++)
		if (w->calls[i].answers != 1)
			report_violation(w, "a caller without an answer");
	core_report(w->core, w->now, &r);
	if (r.open_queries)
		report_violation(w, "queries are still open");
}

static unsigned run_walk(uint64_t seed)
{
	static walk_t w;
	core_params_t p;
	unsigned i;

	memset(&w, 0, sizeof(w));
	w.seed = seed;
	w.rng.state = seed;
	w.now = 10 * USEC_PER_SEC;
	w.oldest_snapshot = 1;
	w.platform_up = true;
	w.list_version = 1;
	core_params_init(&p);
	p.name = STR("d");
	p.dc = STR("a");
	p.seed = seed;
	p.policy = (policy_t)(seed % POLICY_MAX);
	w.core = core_new(&p, w.now);
	publish_conf(&w);
	delay_info(&w, 0, true);
	deliver_delayed(&w);
	for (i = 0; i < SERVERS; i++) {
		delay_info(&w, i, false);
		deliver_delayed(&w);
	}
	for (i = 0; i < STEPS && !w.violations; i++)
		random_step(&w);
	if (!w.violations)
		finish(&w);
	core_free(w.core);
	return w.violations;
}

static void test_walks(void)
{
	const char *single_seed = getenv("WALK_SEED");
	unsigned bad = 0;
	uint64_t seed;

	if (single_seed) {
		CU_ASSERT_EQUAL(run_walk(strtoull(single_seed, NULL, 10)), 0);
		return;
	}
	for (seed = 1; seed <= SEEDS && bad < 5; seed++)
		bad += run_walk(seed) != 0;
	CU_ASSERT_EQUAL(bad, 0);
}

void unit_walk(void)
{
	CU_pSuite s = CU_add_suite("walk", NULL, NULL);

	CU_add_test(s, "seeded walks", test_walks);
}
