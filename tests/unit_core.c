/** @file unit_core.c Tests of single decisions of the core. */
#include <CUnit/CUnit.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core.h"
#include "unit.h"

#define START (100 * USEC_PER_SEC)
#define MAX_SENT 1024

/* A core with one group of three servers, and its actions. */
typedef struct fixture {
	core_t *core;
	acts_t acts;
	usec_t now;
	uint64_t aids[MAX_SENT];
	char addrs[MAX_SENT][32];
	char classes[MAX_SENT][16];
	unsigned nsent;
	unsigned ncancelled;
	answer_t answer; /* the last one; its pointers are invalid */
	unsigned nanswers;
	read_mode_t read;
	unsigned nforwards;
	uint64_t token;	   /* of the last forward */
	uint64_t snapshot; /* of the last forward */
} fixture_t;

static void step(fixture_t *b, event_t *ev)
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
		case ACT_CONF_RELEASE:
			conf_free(a->conf);
			break;
		case ACT_SET_READ_MODE:
			b->read = a->read_mode;
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

static void send_conf(fixture_t *b, conf_t *conf)
{
	event_t ev = { .kind = EV_CONF };

	ev.conf = conf;
	step(b, &ev);
}

static void send_list(fixture_t *b, uint64_t version)
{
	host_list_t l = { .version = version };
	event_t ev = { .kind = EV_LIST };

	ev.list.list = &l;
	ev.list.at = b->now;
	step(b, &ev);
}

static void probe_at(fixture_t *b, unsigned port, usec_t at)
{
	event_t ev = { .kind = EV_PROBE_ENDED };
	char addr[32];

	snprintf(addr, sizeof(addr), "127.0.0.1:%u", port);
	ev.probe.addr = str_of(addr);
	ev.probe.ok = true;
	ev.probe.at = at;
	ev.probe.evidence = (evidence_t){ .valid = true, .slots = 3 };
	ev.probe.evidence.nheld = 1;
	ev.probe.evidence.held[0] = (snapshot_ref_t){ 1, 1 };
	step(b, &ev);
}

static void probe(fixture_t *b, unsigned port)
{
	probe_at(b, port, b->now);
}

static fixture_t *start(unsigned deadline_ms, unsigned connections)
{
	fixture_t *b = xcalloc(1, sizeof(*b));
	core_params_t p;
	unsigned i;

	core_params_init(&p);
	p.name = STR("d1");
	p.dc = STR("a");
	p.seed = 7;
	b->now = START;
	b->core = core_new(&p, b->now);
	send_conf(b, make_conf(1, deadline_ms, connections));
	send_list(b, 1);
	for (i = 1; i <= 3; i++)
		probe(b, i);
	return b;
}

static void stop(fixture_t *b)
{
	core_free(b->core);
	acts_free(&b->acts);
	free(b);
}

static void send_request(fixture_t *b, const char *class)
{
	event_t ev = { .kind = EV_REQUEST };

	ev.request.service = STR("s");
	ev.request.class_name = str_of(class);
	ev.request.caller = b;
	step(b, &ev);
}

static void send_reply(fixture_t *b, unsigned i, result_t r)
{
	event_t ev = { .kind = EV_ATTEMPT_ENDED };

	ev.attempt.aid = b->aids[i];
	ev.attempt.result = r;
	if (r == RES_OK)
		ev.attempt.group_hits = group_hits_new();
	step(b, &ev);
}

/* Advances the time in ticks of 50 ms and sends the list after each. */
static void advance(fixture_t *b, usec_t t)
{
	event_t ev = { .kind = EV_TICK };
	usec_t until = b->now + t;

	while (b->now < until) {
		b->now += 50 * USEC_PER_MSEC;
		if (b->now > until)
			b->now = until;
		step(b, &ev);
		send_list(b, 1);
	}
}

static void test_hedge(void)
{
	fixture_t *b = start(1000, 30);

	send_request(b, "urgent");
	CU_ASSERT_EQUAL(b->nsent, 1);
	/* Without samples the hedge is sent after a quarter of the deadline. */
	advance(b, 260 * USEC_PER_MSEC);
	CU_ASSERT_EQUAL(b->nsent, 2);
	CU_ASSERT_STRING_NOT_EQUAL(b->addrs[0], b->addrs[1]);
	send_reply(b, 1, RES_OK);
	CU_ASSERT_EQUAL(b->answer.outcome, OUT_COMPLETE);
	CU_ASSERT_EQUAL(b->ncancelled, 1);
	/* The reply of the other attempt is ignored. */
	send_reply(b, 0, RES_OK);
	CU_ASSERT_EQUAL(b->nanswers, 1);
	stop(b);
}

static void test_urgent_priority(void)
{
	fixture_t *b = start(1000, 9);
	unsigned i, sent;

	/* Three servers, three connections each for this daemon. */
	for (i = 0; i < 20; i++)
		send_request(b, "broad");
	sent = b->nsent;
	/* One connection of each server is reserved for urgent requests. */
	CU_ASSERT_EQUAL(sent, 6);
	for (i = 0; i < 4; i++)
		send_request(b, "urgent");
	CU_ASSERT_EQUAL(b->nsent, 9);
	send_reply(b, 0, RES_OK);
	CU_ASSERT_EQUAL(b->nsent, 10);
	CU_ASSERT_STRING_EQUAL(b->classes[9], "urgent");
	stop(b);
}

/* While all servers shed, retries must stay within the budget. */
static void test_retry_budget(void)
{
	fixture_t *b = start(1000, 300);
	unsigned done = 0, queries = 0;

	while (queries < 100) {
		send_request(b, "broad");
		queries++;
		while (done < b->nsent)
			send_reply(b, done++, RES_SHED);
		advance(b, 50 * USEC_PER_MSEC);
		while (done < b->nsent)
			send_reply(b, done++, RES_SHED);
	}
	/* A burst of 10 tokens and 10% of the first attempts. */
	CU_ASSERT(b->nsent <= queries + 10 + queries / 10);
	stop(b);
}

static void test_list_required_after_pause(void)
{
	fixture_t *b = start(1000, 30);

	b->now += 10 * USEC_PER_SEC;
	send_request(b, "urgent");
	CU_ASSERT_EQUAL(b->nsent, 0);
	send_list(b, 2);
	advance(b, 100 * USEC_PER_MSEC);
	CU_ASSERT_EQUAL(b->nsent, 1);
	stop(b);
}

/*
 * With the platform down, evidence that was collected before a pause of the
 * process must not allow sending after it.
 */
static void test_evidence_before_pause(void)
{
	event_t failed = { .kind = EV_LIST_FAILED };
	fixture_t *b = start(1000, 30);
	usec_t before = b->now;

	b->now += 10 * USEC_PER_SEC;
	failed.list.at = b->now;
	step(b, &failed);
	failed.list.at = b->now;
	step(b, &failed);
	send_request(b, "urgent");
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
	stop(b);
}

/* A server that was slow once must be tried again after a time without use. */
static void test_slow_server_retried(void)
{
	fixture_t *b = start(1000, 30);
	unsigned i, used = 0;
	char slow[32];

	send_request(b, "urgent");
	strcpy(slow, b->addrs[0]);
	b->now += 150 * USEC_PER_MSEC;
	send_reply(b, 0, RES_OK);
	for (i = 1; i < 400; i++) {
		send_request(b, "urgent");
		b->now += 2 * USEC_PER_MSEC;
		send_reply(b, i, RES_OK);
		advance(b, 50 * USEC_PER_MSEC);
		if (i < 10)
			CU_ASSERT_STRING_NOT_EQUAL(b->addrs[i], slow);
		used += strcmp(b->addrs[i], slow) == 0;
	}
	CU_ASSERT(used > 0);
	stop(b);
}

static void test_same_revision(void)
{
	fixture_t *b = start(1000, 30);
	core_report_t before, after;

	core_report(b->core, b->now, &before);
	send_conf(b, make_conf(1, 500, 30));
	core_report(b->core, b->now, &after);
	CU_ASSERT_EQUAL(before.conf_hash, after.conf_hash);
	send_conf(b, make_conf(2, 500, 30));
	core_report(b->core, b->now, &after);
	CU_ASSERT_EQUAL(after.revision, 2);
	CU_ASSERT_NOT_EQUAL(before.conf_hash, after.conf_hash);
	stop(b);
}

/*
 * A daemon must not be ready before each group has evidence, but a group whose
 * servers are all down must not delay it for longer than START_WAIT_MAX.
 */
static void test_ready(void)
{
	fixture_t *b = xcalloc(1, sizeof(*b));
	core_params_t p;
	core_report_t r;

	core_params_init(&p);
	p.name = STR("d1");
	p.dc = STR("a");
	b->now = START;
	b->core = core_new(&p, b->now);
	b->now += 10 * USEC_PER_SEC;
	send_conf(b, make_conf(1, 1000, 30));
	send_list(b, 1);
	core_report(b->core, b->now, &r);
	CU_ASSERT(!r.ready);
	probe(b, 1);
	core_report(b->core, b->now, &r);
	CU_ASSERT(r.ready);
	send_conf(b, make_conf(2, 900, 30));
	core_report(b->core, b->now, &r);
	CU_ASSERT(r.ready);
	stop(b);
}

/*
 * A holder replies after 100 ms, later than the wait between two searches for a
 * snapshot. The query must wait for the reply and not send the request again.
 */
static void test_slow_holder(void)
{
	listed_daemon_t d2 = { .name = STR("d2"),
			       .dc = STR("a"),
			       .peer = STR("127.0.0.2:1") };
	host_list_t l = { .version = 9, .daemons = &d2, .ndaemons = 1 };
	group_result_t group_result = { .group = STR("g0"),
					.result = RES_SNAPSHOT_MISSING,
					.nheld = 1,
					.held = { { 1, 5 } } };
	peer_msg_t m = { .kind = PEER_FORWARD_RESULTS,
			 .from = STR("d2"),
			 .reply_to = STR("127.0.0.2:1"),
			 .map_version = 1,
			 .group_results = &group_result,
			 .ngroup_results = 1 };
	event_t list = { .kind = EV_LIST }, ev = { .kind = EV_PEER };
	event_t failed = { .kind = EV_PEER_NOT_SENT };
	fixture_t *b = start(1000, 30);
	conf_t *conf = make_conf(2, 1000, 30);

	conf->services[0].holders = 1;
	send_conf(b, conf);
	list.list.list = &l;
	list.list.at = b->now;
	step(b, &list);
	send_request(b, "urgent");
	CU_ASSERT_EQUAL(b->nforwards, 1);
	CU_ASSERT_EQUAL(b->snapshot, 0);
	advance(b, 100 * USEC_PER_MSEC);
	CU_ASSERT_EQUAL(b->nforwards, 1);
	/* Tokens are unique per kind only: another kind may reuse the token. */
	failed.not_sent.kind = PEER_KEY_REQUEST;
	failed.not_sent.token = b->token;
	step(b, &failed);
	CU_ASSERT_EQUAL(b->nforwards, 1);
	m.token = b->token;
	ev.peer.msg = &m;
	step(b, &ev);
	CU_ASSERT_EQUAL(b->nforwards, 2);
	CU_ASSERT_EQUAL(b->snapshot, 5);
	stop(b);
}

/* Exactly two daemons of each data centre must watch the platform. */
static void test_readers(void)
{
	enum { DAEMONS = 30, DCS = 3 };
	static const char *const dcs[DCS] = { "a", "b", "c" };
	listed_daemon_t daemons[DAEMONS];
	char names[DAEMONS][8];
	host_list_t l = { .version = 1,
			  .daemons = daemons,
			  .ndaemons = DAEMONS };
	unsigned watching = 0, i;

	for (i = 0; i < DAEMONS; i++) {
		snprintf(names[i], sizeof(names[i]), "d%u", i);
		daemons[i] = (listed_daemon_t){ .name = str_of(names[i]),
						.dc = str_of(dcs[i % DCS]),
						.peer = STR("127.0.0.1:1") };
	}
	for (i = 0; i < DAEMONS; i++) {
		event_t ev = { .kind = EV_LIST };
		event_t tick = { .kind = EV_TICK };
		fixture_t b = { .now = START };
		core_params_t p;

		core_params_init(&p);
		p.name = daemons[i].name;
		p.dc = daemons[i].dc;
		b.core = core_new(&p, b.now);
		send_conf(&b, make_conf(1, 1000, 30));
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
	CU_add_test(s, "urgent requests first", test_urgent_priority);
	CU_add_test(s, "retry budget", test_retry_budget);
	CU_add_test(s, "a list is required after a pause",
		    test_list_required_after_pause);
	CU_add_test(s, "evidence before a pause is ignored",
		    test_evidence_before_pause);
	CU_add_test(s, "a slow server is retried", test_slow_server_retried);
	CU_add_test(s, "same revision", test_same_revision);
	CU_add_test(s, "a slow holder", test_slow_holder);
	CU_add_test(s, "ready", test_ready);
	CU_add_test(s, "readers", test_readers);
}
