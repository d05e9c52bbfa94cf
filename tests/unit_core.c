/** @file unit_core.c Tests of single decisions. */
#include <CUnit/CUnit.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core.h"
#include "unit.h"

#define START (100 * USEC_PER_SEC)
#define MAX_SENT 1024

/* One core with one group of three servers, and what it has sent. */
typedef struct bench {
	core_t *core;
	acts_t acts;
	usec_t now;
	uint64_t aids[MAX_SENT];
	char addrs[MAX_SENT][32];
	char classes[MAX_SENT][16];
	unsigned nsent;
	unsigned ncancelled;
	answer_t answer; /* the last; its strings are gone */
	unsigned nanswers;
	read_mode_t read;
	unsigned nforwards;
	uint64_t token;	   /* of the last forward */
	uint64_t snapshot; /* of the last forward */
} bench_t;

static void step(bench_t *b, event_t *ev)
{
	size_t i;

	b->acts.n = 0;
	core_step(b->core, ev, b->now, &b->acts);
	for (i = 0; i < b->acts.n; i++) {
		const act_t *a = &b->acts.v[i];

		switch (a->kind) {
		case ACT_SEND:
			b->aids[b->nsent] = a->send.aid;
			str_copy(b->addrs[b->nsent], 32, a->send.addr);
			str_copy(b->classes[b->nsent], 16, a->send.class_name);
			b->nsent++;
			break;
		case ACT_CANCEL:
			b->ncancelled++;
			break;
		case ACT_ANSWER:
			b->answer = a->answer;
			b->nanswers++;
			break;
		case ACT_CONF_DROP:
			conf_free(a->conf);
			break;
		case ACT_READ:
			b->read = a->read;
			break;
		case ACT_PEER:
			if (a->peer.msg.kind != PEER_FORWARD)
				break;
			b->nforwards++;
			b->token = a->peer.msg.token;
			b->snapshot = a->peer.msg.snapshot;
			break;
		default:
			break;
		}
	}
}

static conf_t *make_conf(uint64_t revision, unsigned deadline_ms,
			 unsigned connections)
{
	conf_builder_t *b = conf_new(revision, 3);
	static conf_faults_t f;
	char *text = NULL;
	size_t sz = 0;
	FILE *out = open_memstream(&text, &sz);
	unsigned i;
	conf_t *c;

	conf_add_dc(b, "a", "r");
	conf_add_service(b, "s", 3, connections);
	conf_add_group(b, "g0");
	for (i = 1; i <= 3; i++)
		conf_add_server(b, "a", "127.0.0.1", i);
	conf_add_class(b, &(conf_class_spec_t){ .name = "urgent",
						.kind = CONF_URGENT,
						.idempotent = true,
						.deadline_ms = deadline_ms });
	conf_add_class(b, &(conf_class_spec_t){ .name = "broad",
						.kind = CONF_BROAD,
						.idempotent = true,
						.deadline_ms = deadline_ms });
	conf_emit(b, out, stderr);
	fclose(out);
	c = conf_parse(str_of(text), &f);
	free(text);
	return c;
}

static void take_conf(bench_t *b, conf_t *conf)
{
	event_t ev = { .kind = EV_CONF };

	ev.conf = conf;
	step(b, &ev);
}

static void give_list(bench_t *b, uint64_t version)
{
	host_list_t l = { .version = version };
	event_t ev = { .kind = EV_LIST };

	ev.list.list = &l;
	ev.list.at = b->now;
	step(b, &ev);
}

static void probe_at(bench_t *b, unsigned port, usec_t at)
{
	event_t ev = { .kind = EV_PROBE };
	char addr[32];

	snprintf(addr, sizeof(addr), "127.0.0.1:%u", port);
	ev.probe.addr = str_of(addr);
	ev.probe.ok = true;
	ev.probe.at = at;
	ev.probe.evidence = (evidence_t){ .valid = true, .slots = 3 };
	ev.probe.evidence.nheld = 1;
	ev.probe.evidence.held[0] = (holding_t){ 1, 1 };
	step(b, &ev);
}

static void probe(bench_t *b, unsigned port)
{
	probe_at(b, port, b->now);
}

static bench_t *begin(unsigned deadline_ms, unsigned connections)
{
	bench_t *b = xcalloc(1, sizeof(*b));
	core_params_t p;
	unsigned i;

	core_params_init(&p);
	p.name = STR("d1");
	p.dc = STR("a");
	p.seed = 7;
	b->now = START;
	b->core = core_new(&p, b->now);
	take_conf(b, make_conf(1, deadline_ms, connections));
	give_list(b, 1);
	for (i = 1; i <= 3; i++)
		probe(b, i);
	return b;
}

static void end(bench_t *b)
{
	core_free(b->core);
	acts_free(&b->acts);
	free(b);
}

static void ask(bench_t *b, const char *class)
{
	event_t ev = { .kind = EV_REQUEST };

	ev.request.service = STR("s");
	ev.request.class_name = str_of(class);
	ev.request.caller = b;
	step(b, &ev);
}

static void reply(bench_t *b, unsigned i, result_t r)
{
	event_t ev = { .kind = EV_ATTEMPT };

	ev.attempt.aid = b->aids[i];
	ev.attempt.result = r;
	if (r == RES_OK)
		ev.attempt.part = part_new();
	step(b, &ev);
}

/* Time goes on in ticks, with the list read all the while. */
static void pass(bench_t *b, usec_t t)
{
	event_t ev = { .kind = EV_TICK };
	usec_t until = b->now + t;

	while (b->now < until) {
		b->now += 50 * USEC_PER_MSEC;
		if (b->now > until)
			b->now = until;
		step(b, &ev);
		give_list(b, 1);
	}
}

static void test_hedge(void)
{
	bench_t *b = begin(1000, 30);

	ask(b, "urgent");
	CU_ASSERT_EQUAL(b->nsent, 1);
	/* No samples yet: a hedge after a quarter of the deadline. */
	pass(b, 260 * USEC_PER_MSEC);
	CU_ASSERT_EQUAL(b->nsent, 2);
	CU_ASSERT_STRING_NOT_EQUAL(b->addrs[0], b->addrs[1]);
	reply(b, 1, RES_OK);
	CU_ASSERT_EQUAL(b->answer.outcome, OUT_COMPLETE);
	CU_ASSERT_EQUAL(b->ncancelled, 1);
	/* The loser's reply changes nothing. */
	reply(b, 0, RES_OK);
	CU_ASSERT_EQUAL(b->nanswers, 1);
	end(b);
}

static void test_urgent_first(void)
{
	bench_t *b = begin(1000, 9);
	unsigned i, sent;

	/* Three servers, three connections each for this daemon. */
	for (i = 0; i < 20; i++)
		ask(b, "broad");
	sent = b->nsent;
	/* One place of each server is kept. */
	CU_ASSERT_EQUAL(sent, 6);
	for (i = 0; i < 4; i++)
		ask(b, "urgent");
	CU_ASSERT_EQUAL(b->nsent, 9);
	reply(b, 0, RES_OK);
	CU_ASSERT_EQUAL(b->nsent, 10);
	CU_ASSERT_STRING_EQUAL(b->classes[9], "urgent");
	end(b);
}

/* However long all servers shed, extra attempts stay inside the budget. */
static void test_retry_budget(void)
{
	bench_t *b = begin(1000, 300);
	unsigned done = 0, queries = 0;

	while (queries < 100) {
		ask(b, "broad");
		queries++;
		while (done < b->nsent)
			reply(b, done++, RES_SHED);
		pass(b, 50 * USEC_PER_MSEC);
		while (done < b->nsent)
			reply(b, done++, RES_SHED);
	}
	/* The burst of ten, and a tenth of the first attempts. */
	CU_ASSERT(b->nsent <= queries + 10 + queries / 10);
	end(b);
}

static void test_pause_needs_word(void)
{
	bench_t *b = begin(1000, 30);

	b->now += 10 * USEC_PER_SEC;
	ask(b, "urgent");
	CU_ASSERT_EQUAL(b->nsent, 0);
	give_list(b, 2);
	pass(b, 100 * USEC_PER_MSEC);
	CU_ASSERT_EQUAL(b->nsent, 1);
	end(b);
}

/* With the platform down, only a server's word from after the sleep counts. */
static void test_old_word(void)
{
	event_t failed = { .kind = EV_LIST_FAILED };
	bench_t *b = begin(1000, 30);
	usec_t before = b->now;

	b->now += 10 * USEC_PER_SEC;
	failed.list.at = b->now;
	step(b, &failed);
	failed.list.at = b->now;
	step(b, &failed);
	ask(b, "urgent");
	CU_ASSERT_EQUAL(b->nsent, 0);
	b->now += USEC_PER_MSEC;
	probe_at(b, 1, before + USEC_PER_SEC);
	b->now += 30 * USEC_PER_MSEC;
	step(b, &(event_t){ .kind = EV_TICK });
	CU_ASSERT_EQUAL(b->nsent, 0);
	probe(b, 1);
	b->now += 30 * USEC_PER_MSEC;
	step(b, &(event_t){ .kind = EV_TICK });
	CU_ASSERT_EQUAL(b->nsent, 1);
	end(b);
}

/* A server that was slow is tried again when it was not used for long. */
static void test_slow_server_returns(void)
{
	bench_t *b = begin(1000, 30);
	unsigned i, used = 0;
	char slow[32];

	ask(b, "urgent");
	strcpy(slow, b->addrs[0]);
	b->now += 150 * USEC_PER_MSEC;
	reply(b, 0, RES_OK);
	for (i = 1; i < 400; i++) {
		ask(b, "urgent");
		b->now += 2 * USEC_PER_MSEC;
		reply(b, i, RES_OK);
		pass(b, 50 * USEC_PER_MSEC);
		if (i < 10)
			CU_ASSERT_STRING_NOT_EQUAL(b->addrs[i], slow);
		used += strcmp(b->addrs[i], slow) == 0;
	}
	CU_ASSERT(used > 0);
	end(b);
}

static void test_same_revision(void)
{
	bench_t *b = begin(1000, 30);
	core_report_t before, after;

	core_report(b->core, b->now, &before);
	take_conf(b, make_conf(1, 500, 30));
	core_report(b->core, b->now, &after);
	CU_ASSERT_EQUAL(before.conf_hash, after.conf_hash);
	take_conf(b, make_conf(2, 500, 30));
	core_report(b->core, b->now, &after);
	CU_ASSERT_EQUAL(after.revision, 2);
	CU_ASSERT_NOT_EQUAL(before.conf_hash, after.conf_hash);
	end(b);
}

/* Not ready until servers told what they hold; a dead group is not waited for.
 */
static void test_ready(void)
{
	bench_t *b = xcalloc(1, sizeof(*b));
	core_params_t p;
	core_report_t r;

	core_params_init(&p);
	p.name = STR("d1");
	p.dc = STR("a");
	b->now = START;
	b->core = core_new(&p, b->now);
	b->now += 10 * USEC_PER_SEC;
	take_conf(b, make_conf(1, 1000, 30));
	give_list(b, 1);
	core_report(b->core, b->now, &r);
	CU_ASSERT(!r.ready);
	probe(b, 1);
	core_report(b->core, b->now, &r);
	CU_ASSERT(r.ready);
	take_conf(b, make_conf(2, 900, 30));
	core_report(b->core, b->now, &r);
	CU_ASSERT(r.ready);
	end(b);
}

/* The groups are held elsewhere, by a daemon whose word takes 100 ms. */
static void test_far_holder(void)
{
	member_t d2 = { .name = STR("d2"),
			.dc = STR("a"),
			.peer = STR("127.0.0.2:1") };
	host_list_t l = { .version = 9, .daemons = &d2, .ndaemons = 1 };
	peer_part_t part = { .group = STR("g0"),
			     .result = RES_MISS,
			     .nheld = 1,
			     .held = { { 1, 5 } } };
	peer_msg_t m = { .kind = PEER_PARTS,
			 .from = STR("d2"),
			 .reply_to = STR("127.0.0.2:1"),
			 .map = 1,
			 .parts = &part,
			 .nparts = 1 };
	event_t list = { .kind = EV_LIST }, ev = { .kind = EV_PEER };
	event_t failed = { .kind = EV_PEER_FAILED };
	bench_t *b = begin(1000, 30);
	conf_t *conf = make_conf(2, 1000, 30);

	conf->services[0].holders = 1;
	take_conf(b, conf);
	list.list.list = &l;
	list.list.at = b->now;
	step(b, &list);
	ask(b, "urgent");
	CU_ASSERT_EQUAL(b->nforwards, 1);
	CU_ASSERT_EQUAL(b->snapshot, 0);
	pass(b, 100 * USEC_PER_MSEC);
	CU_ASSERT_EQUAL(b->nforwards, 1);
	/* A message of another kind that failed may have the same token. */
	failed.failed.kind = PEER_KEYED;
	failed.failed.token = b->token;
	step(b, &failed);
	CU_ASSERT_EQUAL(b->nforwards, 1);
	m.token = b->token;
	ev.peer.msg = &m;
	step(b, &ev);
	CU_ASSERT_EQUAL(b->nforwards, 2);
	CU_ASSERT_EQUAL(b->snapshot, 5);
	end(b);
}

/* Of many daemons just two of each data centre watch the platform. */
static void test_readers(void)
{
	enum { DAEMONS = 30, DCS = 3 };
	static const char *const dcs[DCS] = { "a", "b", "c" };
	member_t members[DAEMONS];
	char names[DAEMONS][8];
	host_list_t l = { .version = 1,
			  .daemons = members,
			  .ndaemons = DAEMONS };
	unsigned watching = 0, i;

	for (i = 0; i < DAEMONS; i++) {
		snprintf(names[i], sizeof(names[i]), "d%u", i);
		members[i] = (member_t){ .name = str_of(names[i]),
					 .dc = str_of(dcs[i % DCS]),
					 .peer = STR("127.0.0.1:1") };
	}
	for (i = 0; i < DAEMONS; i++) {
		event_t ev = { .kind = EV_LIST };
		event_t tick = { .kind = EV_TICK };
		bench_t b = { .now = START };
		core_params_t p;

		core_params_init(&p);
		p.name = members[i].name;
		p.dc = members[i].dc;
		b.core = core_new(&p, b.now);
		take_conf(&b, make_conf(1, 1000, 30));
		ev.list.list = &l;
		ev.list.at = b.now;
		step(&b, &ev);
		step(&b, &tick);
		watching += b.read == READ_WATCH;
		core_free(b.core);
		acts_free(&b.acts);
	}
	CU_ASSERT_EQUAL(watching, 2 * DCS);
}

void unit_core(void)
{
	CU_pSuite s = CU_add_suite("core", NULL, NULL);

	CU_add_test(s, "hedge", test_hedge);
	CU_add_test(s, "urgent first", test_urgent_first);
	CU_add_test(s, "retry budget", test_retry_budget);
	CU_add_test(s, "a pause needs a word", test_pause_needs_word);
	CU_add_test(s, "an old word does not count", test_old_word);
	CU_add_test(s, "a slow server returns", test_slow_server_returns);
	CU_add_test(s, "same revision", test_same_revision);
	CU_add_test(s, "a holder far away", test_far_holder);
	CU_add_test(s, "ready", test_ready);
	CU_add_test(s, "readers", test_readers);
}
