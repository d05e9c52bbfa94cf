/**
 * @file unit_fleet.c
 * Seeded random test of several cores that exchange messages, some of them
 * delayed or lost, while daemons pause, restart and leave the list. Callers
 * resend keyed requests through any daemon: each key must run at most once.
 * FLEET_SEED runs a single seed.
 */
#include <CUnit/CUnit.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core.h"
#include "unit.h"
#include "wire.h"

#define SEEDS 300
#define STEPS 3000
#define CORES 4
#define KEYS 40
#define MAX_MESSAGES 512
#define MAX_CALLS 8192
/* Longest time after which a caller resends a request. */
#define RESEND_MAX (4 * USEC_PER_SEC)
#define STEP_MAX (20 * USEC_PER_MSEC)

/* A key with its request, and the outcomes that callers received. */
typedef struct key_record {
	char name[16];
	usec_t first_at;
	unsigned runs;
	unsigned nnot_run;
	unsigned ncomplete;
} key_record_t;

/* A caller's request; several may have the same key. */
typedef struct call {
	key_record_t *key;
	unsigned core;
	unsigned answers;
} call_t;

typedef struct message {
	char *bytes;
	size_t sz;
	unsigned to;
	usec_t at; /* time of arrival */
} message_t;

/* A request in transit to the server. */
typedef struct send {
	uint64_t aid;
	key_record_t *key;
	usec_t at;
	bool live;
} send_t;

typedef struct node {
	core_t *core;
	char name[8];
	char peer[24];
	usec_t paused_until;
	bool listed;
	send_t sends[64];
	unsigned nsends;
} node_t;

typedef struct fleet {
	uint64_t seed;
	rng_t rng;
	usec_t now;
	node_t nodes[CORES];
	message_t messages[MAX_MESSAGES];
	unsigned nmessages;
	key_record_t keys[KEYS];
	unsigned nkeys;
	call_t calls[MAX_CALLS];
	unsigned ncalls;
	uint64_t list_version;
	usec_t list_at;
	unsigned violations;
	unsigned ncomplete;
} fleet_t;

static void step(fleet_t *f, unsigned i, event_t *ev);

static void report_violation(fleet_t *f, const char *what, const char *name)
{
	if (f->violations++ == 0)
		fprintf(stderr, "  fleet seed %llu at %lld usec: %s %s\n",
			(unsigned long long)f->seed, (long long)f->now, what,
			name);
}

static void on_peer(fleet_t *f, act_t *a)
{
	message_t *m;
	unsigned i;

	if (f->nmessages == MAX_MESSAGES || rng_below(&f->rng, 30) == 0)
		return; /* lost */
	for (i = 0; i < CORES; i++)
		if (str_eq(a->peer.to, str_of(f->nodes[i].peer)))
			break;
	if (i == CORES)
		return;
	/* A body is a key record; the message text contains its name. */
	if (a->peer.body)
		a->peer.msg.text = str_of(((key_record_t *)a->peer.body)->name);
	m = &f->messages[f->nmessages++];
	m->bytes = wire_encode(&a->peer.msg, &m->sz);
	m->to = i;
	m->at = f->now + (usec_t)rng_below(&f->rng, 10 * USEC_PER_MSEC);
	if (rng_below(&f->rng, 50) == 0)
		m->at += (usec_t)rng_below(&f->rng, 2 * USEC_PER_SEC);
}

static void on_send(fleet_t *f, unsigned i, const act_t *a)
{
	node_t *n = &f->nodes[i];

	if (n->nsends == 64)
		n->nsends = 0;
	n->sends[n->nsends++] = (send_t){
		.aid = a->send.aid,
		.key = a->send.body,
		.at = f->now + (usec_t)rng_below(&f->rng, 5 * USEC_PER_MSEC),
		.live = true,
	};
}

static void on_answer(fleet_t *f, const act_t *a)
{
	call_t *c = a->answer.caller;

	if (c->answers++)
		report_violation(f, "answered twice", c->key->name);
	if (a->answer.outcome == OUT_NOT_RUN)
		c->key->nnot_run++;
	if (a->answer.outcome == OUT_COMPLETE) {
		c->key->ncomplete++;
		f->ncomplete++;
	}
	if (a->answer.outcome == OUT_COMPLETE && c->key->runs != 1)
		report_violation(f, "complete, but it did not run exactly once",
				 c->key->name);
}

static void on_withdraw(fleet_t *f, unsigned i, uint64_t aid)
{
	event_t ev = { .kind = EV_WITHDRAW_ENDED };
	node_t *n = &f->nodes[i];
	unsigned k;

	ev.withdrawn.aid = aid;
	for (k = 0; k < n->nsends; k++)
		if (n->sends[k].live && n->sends[k].aid == aid) {
			n->sends[k].live = false;
			ev.withdrawn.ok = true;
		}
	step(f, i, &ev);
}

static void step(fleet_t *f, unsigned i, event_t *ev)
{
	acts_t acts = { 0 };
	size_t k;

	core_step(f->nodes[i].core, ev, f->now, &acts);
	for (k = 0; k < acts.n; k++) {
		act_t *a = &acts.v[k];

		if (a->kind == ACT_PEER)
			on_peer(f, a);
		else if (a->kind == ACT_SEND)
			on_send(f, i, a);
		else if (a->kind == ACT_ANSWER)
			on_answer(f, a);
		else if (a->kind == ACT_CONF_RELEASE)
			conf_free(a->conf);
	}
	for (k = 0; k < acts.n; k++)
		if (acts.v[k].kind == ACT_WITHDRAW ||
		    acts.v[k].kind == ACT_CANCEL)
			on_withdraw(f, i, acts.v[k].aid);
	acts_free(&acts);
}

static conf_t *make_conf(void)
{
	conf_builder_t *b = conf_new(1, CORES);
	static conf_faults_t faults;
	char *text = NULL;
	size_t sz = 0;
	FILE *out = open_memstream(&text, &sz);
	conf_t *c;

	conf_add_dc(b, "a", "r");
	conf_add_service(b, "s", 4, 100);
	conf_add_group(b, "g0");
	conf_add_server(b, "a", "127.0.0.1", 1);
	conf_add_class(b, &(conf_class_spec_t){ .name = "once",
						.scope = CONF_ONE,
						.deadline_ms = 500,
						.min_coverage = 1 });
	conf_emit(b, out, stderr);
	fclose(out);
	c = conf_parse(str_of(text), &faults);
	free(text);
	return c;
}

static void start_node(fleet_t *f, unsigned i)
{
	node_t *n = &f->nodes[i];
	event_t ev = { .kind = EV_CONF };
	core_params_t p;

	core_params_init(&p);
	snprintf(n->name, sizeof(n->name), "d%u", i);
	snprintf(n->peer, sizeof(n->peer), "127.0.0.%u:1", i + 1);
	p.name = str_of(n->name);
	p.dc = STR("a");
	p.peer = str_of(n->peer);
	p.seed = f->seed * CORES + i;
	n->core = core_new(&p, f->now);
	n->nsends = 0;
	ev.conf = make_conf();
	step(f, i, &ev);
}

static void probe(fleet_t *f, unsigned i)
{
	event_t ev = { .kind = EV_PROBE_ENDED };

	ev.probe.addr = STR("127.0.0.1:1");
	ev.probe.ok = true;
	ev.probe.at = f->now;
	ev.probe.evidence = (evidence_t){ .valid = true, .slots = 4 };
	ev.probe.evidence.nheld = 1;
	ev.probe.evidence.held[0] = (snapshot_ref_t){ 1, 1 };
	step(f, i, &ev);
}

static void send_list(fleet_t *f, unsigned i)
{
	event_t ev = { .kind = EV_LIST };
	listed_daemon_t daemons[CORES];
	host_list_t l = { .version = f->list_version, .daemons = daemons };
	unsigned k;

	for (k = 0; k < CORES; k++) {
		if (!f->nodes[k].listed)
			continue;
		daemons[l.ndaemons++] = (listed_daemon_t){
			.name = str_of(f->nodes[k].name),
			.dc = STR("a"),
			.peer = str_of(f->nodes[k].peer),
		};
	}
	ev.list.list = &l;
	ev.list.at = f->now;
	step(f, i, &ev);
}

static bool is_running(const fleet_t *f, unsigned i)
{
	return f->now >= f->nodes[i].paused_until;
}

static void deliver(fleet_t *f)
{
	unsigned i = 0;

	while (i < f->nmessages) {
		message_t m = f->messages[i];
		event_t ev = { .kind = EV_PEER };
		arena_t mem = { 0 };
		peer_msg_t msg;

		if (m.at > f->now || !is_running(f, m.to)) {
			i++;
			continue;
		}
		f->messages[i] = f->messages[--f->nmessages];
		if (wire_decode(m.bytes, m.sz, &msg, &mem) != WIRE_OK)
			report_violation(f, "a message could not be decoded",
					 "");
		ev.peer.msg = &msg;
		if (msg.kind == PEER_KEY_REQUEST) {
			ev.peer.body =
				&f->keys[strtoul(msg.text.s + 1, NULL, 10)];
			ev.peer.body_hash = str_hash(msg.text, 0);
		}
		step(f, m.to, &ev);
		wire_free_group_hits(&msg);
		arena_free(&mem);
		free(m.bytes);
	}
}

/* The server runs each received request and replies at once or never. */
static void run_sends(fleet_t *f, unsigned i)
{
	node_t *n = &f->nodes[i];
	unsigned k;

	for (k = 0; k < n->nsends; k++) {
		event_t ev = { .kind = EV_ATTEMPT_ENDED };
		send_t *s = &n->sends[k];

		if (!s->live || s->at > f->now)
			continue;
		s->live = false;
		ev.attempt.aid = s->aid;
		if (++s->key->runs > 1)
			report_violation(f, "ran twice", s->key->name);
		ev.attempt.result = rng_below(&f->rng, 8) ? RES_OK : RES_LOST;
		if (ev.attempt.result == RES_OK)
			ev.attempt.group_hits = group_hits_new();
		step(f, i, &ev);
	}
}

static void send_request(fleet_t *f, key_record_t *k, unsigned i)
{
	event_t ev = { .kind = EV_REQUEST };
	call_t *c = &f->calls[f->ncalls++];

	*c = (call_t){ .key = k, .core = i };
	ev.request.service = STR("s");
	ev.request.class_name = STR("once");
	ev.request.key = str_of(k->name);
	ev.request.body = k;
	ev.request.body_hash = str_hash(str_of(k->name), 0);
	ev.request.caller = c;
	step(f, i, &ev);
}

static void send_some_request(fleet_t *f)
{
	unsigned i = (unsigned)rng_below(&f->rng, CORES);
	key_record_t *k;

	if (!is_running(f, i) || f->ncalls == MAX_CALLS)
		return;
	if (f->nkeys < KEYS && rng_below(&f->rng, 8) == 0) {
		k = &f->keys[f->nkeys];
		snprintf(k->name, sizeof(k->name), "k%u", f->nkeys++);
		k->first_at = f->now;
		send_request(f, k, i);
		return;
	}
	if (f->nkeys == 0)
		return;
	k = &f->keys[rng_below(&f->rng, f->nkeys)];
	if (f->now - k->first_at < RESEND_MAX)
		send_request(f, k, i);
}

/* Sends probes and lists every 300 ms; a daemon misses one list of three. */
static void send_lists(fleet_t *f)
{
	unsigned i;

	if (f->now - f->list_at < 300 * USEC_PER_MSEC)
		return;
	f->list_at = f->now;
	for (i = 0; i < CORES; i++) {
		if (!is_running(f, i))
			continue;
		probe(f, i);
		if (rng_below(&f->rng, 3))
			send_list(f, i);
	}
}

static void inject_fault(fleet_t *f)
{
	node_t *n = &f->nodes[rng_below(&f->rng, CORES)];
	unsigned i = (unsigned)(n - f->nodes);

	switch (rng_below(&f->rng, 3)) {
	case 0:
		n->paused_until =
			f->now + (usec_t)rng_below(&f->rng, 6 * USEC_PER_SEC);
		break;
	case 1:
		n->listed = !n->listed;
		f->list_version++;
		break;
	case 2:
		/* The daemon restarts and loses its state. */
		core_free(n->core);
		start_node(f, i);
		break;
	}
}

static void advance(fleet_t *f)
{
	event_t tick = { .kind = EV_TICK };
	unsigned i;

	f->now += (usec_t)rng_below(&f->rng, STEP_MAX);
	send_lists(f);
	deliver(f);
	for (i = 0; i < CORES; i++) {
		if (!is_running(f, i))
			continue;
		run_sends(f, i);
		step(f, i, &tick);
	}
}

static unsigned run_fleet(uint64_t seed, unsigned *ncomplete)
{
	static fleet_t f;
	unsigned i;

	memset(&f, 0, sizeof(f));
	f.seed = seed;
	f.rng.state = seed;
	f.now = 10 * USEC_PER_SEC;
	f.list_version = 1;
	for (i = 0; i < CORES; i++) {
		f.nodes[i].listed = true;
		start_node(&f, i);
	}
	/* A new daemon runs keys only after KEY_HANDOVER_WAIT. */
	for (i = 0; i < 1000; i++)
		advance(&f);
	for (i = 0; i < STEPS && !f.violations; i++) {
		advance(&f);
		send_some_request(&f);
		if (rng_below(&f.rng, 200) == 0)
			inject_fault(&f);
	}
	for (i = 0; i < CORES; i++)
		core_free(f.nodes[i].core);
	for (i = 0; i < f.nmessages; i++)
		free(f.messages[i].bytes);
	*ncomplete += f.ncomplete;
	return f.violations;
}

static void test_keys_run_once(void)
{
	const char *single_seed = getenv("FLEET_SEED");
	unsigned bad = 0, ncomplete = 0;
	uint64_t seed;

	if (single_seed) {
		CU_ASSERT_EQUAL(
			run_fleet(strtoull(single_seed, NULL, 10), &ncomplete),
			0);
		return;
	}
	for (seed = 1; seed <= SEEDS && bad < 5; seed++)
		bad += run_fleet(seed, &ncomplete) != 0;
	CU_ASSERT_EQUAL(bad, 0);
	/* Refusing every request would pass the check above. */
	CU_ASSERT(ncomplete > SEEDS);
}

void unit_fleet(void)
{
	CU_pSuite s = CU_add_suite("fleet", NULL, NULL);

	CU_add_test(s, "keys run once", test_keys_run_once);
}
