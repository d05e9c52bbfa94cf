/**
 * @file engine.c
 * The thread that owns the core: passes messages to core_step() as events and
 * carries out the actions that it returns. All decisions are made in core/.
 */
#include <arpa/inet.h>
#include <ne_session.h>
#include <ne_socket.h>
#include <stdlib.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>
#include <urcu-bp.h>
#include <xxhash.h>
#include <zmq.h>

#include "libdaemon.h"
#include "wire.h"

#define PEER_BATCH_MSGS 64 /* handled before other work is checked */
#define STOP_POLL_PERIOD (20 * USEC_PER_MSEC)

/** Phases of a planned stop. */
typedef enum stop_phase {
	STOP_NONE,
	STOP_GRACE, /* reports not ready, still accepts connections */
	STOP_DRAIN, /* accepts no connections, finishes open requests */
	STOP_DONE,
} stop_phase_t;

struct engine {
	settings_t settings;
	core_t *core;
	acts_t acts;
	pools_t *pools;
	front_t *front;
	platform_t *platform;
	admin_t *admin;
	peers_t *peers;
	loader_t *loader;
	int wake_fd;
	struct cds_wfcq_head head;
	struct cds_wfcq_tail tail;
	conf_t *published_conf; /* read under RCU */
	event_t *pending;	/* events produced by actions */
	size_t npending;
	size_t pending_capacity;
	stop_phase_t phase;
	usec_t phase_start;
	ne_inet_addr *source_addr; /* local address of outgoing connections */
	atomic_bool ready;
	atomic_bool stop_requested;
};

typedef void (*act_fn_t)(engine_t *e, act_t *a);

static void act_send(engine_t *e, act_t *a);
static void act_withdraw(engine_t *e, act_t *a);
static void act_cancel(engine_t *e, act_t *a);
static void act_answer(engine_t *e, act_t *a);
static void act_set_connections(engine_t *e, act_t *a);
static void act_conf(engine_t *e, act_t *a);
static void act_conf_release(engine_t *e, act_t *a);
static void act_body_release(engine_t *e, act_t *a);
static void act_peer(engine_t *e, act_t *a);
static void act_set_read_mode(engine_t *e, act_t *a);
static void act_log(engine_t *e, act_t *a);

static const act_fn_t act_fns[ACT_MAX] = {
	[ACT_SEND] = act_send,
	[ACT_WITHDRAW] = act_withdraw,
	[ACT_CANCEL] = act_cancel,
	[ACT_ANSWER] = act_answer,
	[ACT_SET_CONNECTIONS] = act_set_connections,
	[ACT_CONF] = act_conf,
	[ACT_CONF_RELEASE] = act_conf_release,
	[ACT_LOG] = act_log,
	[ACT_BODY_RELEASE] = act_body_release,
	[ACT_PEER] = act_peer,
	[ACT_SET_READ_MODE] = act_set_read_mode,
};

msg_t *msg_new(ev_kind_t kind)
{
	msg_t *m = xcalloc(1, sizeof(*m));

	cds_wfcq_node_init(&m->node);
	m->has_event = true;
	m->ev.kind = kind;
	return m;
}

void engine_post(engine_t *e, msg_t *m)
{
	uint64_t one = 1;
	ssize_t n;

	TSAN_RELEASE(m);
	/* The engine needs a wakeup only if the queue was empty. */
	if (!cds_wfcq_enqueue(&e->head, &e->tail, &m->node)) {
		n = write(e->wake_fd, &one, sizeof(one));
		(void)n;
	}
}

void engine_stop(engine_t *e)
{
	uint64_t one = 1;
	ssize_t n;

	atomic_store(&e->stop_requested, true);
	n = write(e->wake_fd, &one, sizeof(one));
	(void)n;
}

bool engine_ready(const engine_t *e)
{
	return atomic_load(&e->ready);
}

void engine_conf_read_lock(void)
{
	urcu_bp_read_lock();
}

void engine_conf_read_unlock(const conf_t *conf)
{
	TSAN_RELEASE((void *)conf);
	urcu_bp_read_unlock();
}

const conf_t *engine_conf(const engine_t *e)
{
	conf_t *conf = rcu_dereference(e->published_conf);

	TSAN_ACQUIRE(conf);
	return conf;
}

static void queue_event(engine_t *e, const event_t *ev)
{
	if (e->npending == e->pending_capacity) {
		e->pending_capacity =
			e->pending_capacity ? e->pending_capacity * 2 : 16;
		e->pending = xrealloc(e->pending, e->pending_capacity *
							  sizeof(*e->pending));
	}
	e->pending[e->npending++] = *ev;
}

static void act_send(engine_t *e, act_t *a)
{
	event_t ev = { .kind = EV_ATTEMPT_ENDED };

	if (pools_send(e->pools, a))
		return;
	ev.attempt.aid = a->send.aid;
	ev.attempt.result = RES_NOT_SENT;
	queue_event(e, &ev);
}

static void queue_withdrawn(engine_t *e, uint64_t aid, bool ok)
{
	event_t ev = { .kind = EV_WITHDRAW_ENDED };

	ev.withdrawn.aid = aid;
	ev.withdrawn.ok = ok;
	queue_event(e, &ev);
}

static void act_withdraw(engine_t *e, act_t *a)
{
	queue_withdrawn(e, a->aid, pools_withdraw(e->pools, a->aid));
}

static void act_cancel(engine_t *e, act_t *a)
{
	queue_withdrawn(e, a->aid, pools_cancel(e->pools, a->aid));
}

static void act_answer(engine_t *e, act_t *a)
{
	(void)e;
	front_answer(a->answer.caller, &a->answer);
}

static void act_set_connections(engine_t *e, act_t *a)
{
	pools_set_max_connections(e->pools, a->connections.addr,
				  a->connections.max);
}

static void act_conf(engine_t *e, act_t *a)
{
	TSAN_RELEASE(a->conf);
	rcu_set_pointer(&e->published_conf, a->conf);
}

static void act_conf_release(engine_t *e, act_t *a)
{
	(void)e;
	urcu_bp_synchronize_rcu();
	TSAN_ACQUIRE(a->conf);
	conf_free(a->conf);
}

static void act_body_release(engine_t *e, act_t *a)
{
	(void)e;
	body_unref(a->body);
}

static void act_peer(engine_t *e, act_t *a)
{
	event_t ev = { .kind = EV_PEER_NOT_SENT };
	peer_msg_t *m = &a->peer.msg;
	const body_t *body = a->peer.body;
	char *delta = NULL;

	if (body)
		m->text = (str_t){ body->bytes, body->sz };
	if (m->kind == PEER_DELTA) {
		delta = loader_delta_since(e->loader, m->revision);
		m->text = str_of(delta);
	}
	if (!peers_send(e->peers, a->peer.to, m, clock_now())) {
		ev.not_sent.kind = m->kind;
		ev.not_sent.token = m->token;
		queue_event(e, &ev);
	}
	free(delta);
}

static void act_set_read_mode(engine_t *e, act_t *a)
{
	platform_set_read_mode(e->platform, a->read_mode);
}

static void act_log(engine_t *e, act_t *a)
{
	const decision_line_t *l = &a->log;

	(void)e;
	log_json(G_LOG_LEVEL_INFO, decision_name(l->decision),
		 "\"why\":\"%s\",\"query\":\"%016llx\",\"attempt\":\"%016llx\","
		 "\"service\":\"%.*s\",\"group\":\"%.*s\",\"server\":\"%.*s\","
		 "\"snapshot\":%llu,\"n\":%llu,\"score\":%.0f",
		 why_name(l->why), (unsigned long long)l->qid,
		 (unsigned long long)l->aid, STR_ARG(l->service),
		 STR_ARG(l->group), STR_ARG(l->addr),
		 (unsigned long long)l->snapshot, (unsigned long long)l->n,
		 l->score);
}

static void step(engine_t *e, event_t *ev)
{
	size_t i;

	e->acts.n = 0;
	core_step(e->core, ev, clock_now(), &e->acts);
	for (i = 0; i < e->acts.n; i++)
		act_fns[e->acts.v[i].kind](e, &e->acts.v[i]);
}

/* Passes the event to the core, then the events its actions produced. */
static void step_all(engine_t *e, event_t *ev)
{
	size_t i;

	step(e, ev);
	for (i = 0; i < e->npending; i++) {
		event_t next = e->pending[i];

		step(e, &next);
	}
	e->npending = 0;
}

static void handle_msg(engine_t *e, msg_t *m)
{
	if (m->job)
		pools_job_done(e->pools, m->job);
	if (m->has_event)
		step_all(e, &m->ev);
	if (m->admin_req) {
		admin_view_t v = {
			.core = e->core,
			.counts = peers_counts(e->peers),
			.now = clock_now(),
			.ready = engine_ready(e),
		};

		admin_answer(m->admin_req, &v);
		MHD_resume_connection(m->admin_req->conn);
	}
	arena_free(&m->mem);
	free(m);
}

/* Copies a request's text into a body that outlives the message. */
static void attach_body(event_t *ev)
{
	const peer_msg_t *m = ev->peer.msg;

	if (m->kind != PEER_KEY_REQUEST && m->kind != PEER_FORWARD)
		return;
	ev->peer.body = body_new(g_memdup2(m->text.s, m->text.sz), m->text.sz);
	ev->peer.body_hash = str_hash(m->text, 0);
}

static void handle_peer_msgs(engine_t *e)
{
	peer_msg_t m;
	unsigned i;

	for (i = 0; i < PEER_BATCH_MSGS; i++) {
		event_t ev = { .kind = EV_PEER };
		arena_t mem = { 0 };

		if (!peers_receive(e->peers, &m, &mem)) {
			arena_free(&mem);
			return;
		}
		if (m.kind == PEER_DELTA)
			loader_load_delta(e->loader, m.text);
		ev.peer.msg = &m;
		attach_body(&ev);
		step_all(e, &ev);
		wire_free_group_hits(&m);
		arena_free(&mem);
	}
}

static msg_t *dequeue_msg(engine_t *e)
{
	struct cds_wfcq_node *n;

	msg_t *m;

	n = __cds_wfcq_dequeue_blocking(&e->head, &e->tail);
	if (!n)
		return NULL;
	m = caa_container_of(n, msg_t, node);
	TSAN_ACQUIRE(m);
	return m;
}

static void wait_for_events(engine_t *e, usec_t at)
{
	zmq_pollitem_t items[] = {
		{ .fd = e->wake_fd, .events = ZMQ_POLLIN },
		{ .socket = peers_socket(e->peers), .events = ZMQ_POLLIN },
	};
	usec_t timeout = at - clock_now();
	uint64_t n;
	ssize_t got;

	if (timeout < 0)
		timeout = 0;
	/* Rounded up, so that the next timer is due when the poll returns. */
	if (zmq_poll(items, 2, (long)((timeout + 999) / 1000)) > 0 &&
	    items[0].revents) {
		got = read(e->wake_fd, &n, sizeof(n));
		(void)got;
	}
}

static void enter_phase(engine_t *e, stop_phase_t phase)
{
	e->phase = phase;
	e->phase_start = clock_now();
	log_json(G_LOG_LEVEL_MESSAGE, "stop", "\"phase\":%d", (int)phase);
}

/*
 * Advances a planned stop: the daemon reports not ready, then closes its
 * listener, then waits until open requests have ended.
 */
static void advance_stop(engine_t *e)
{
	event_t ev = { .kind = EV_STOP };
	usec_t elapsed = clock_now() - e->phase_start;

	switch (e->phase) {
	case STOP_NONE:
		if (!atomic_load(&e->stop_requested))
			return;
		atomic_store(&e->ready, false);
		enter_phase(e, STOP_GRACE);
		break;
	case STOP_GRACE:
		if (elapsed < settings_usec(e->settings.stop_grace_ms))
			return;
		front_quiesce(e->front);
		enter_phase(e, STOP_DRAIN);
		break;
	case STOP_DRAIN:
		if (front_open_requests(e->front) &&
		    elapsed < settings_usec(e->settings.stop_limit_ms))
			return;
		step_all(e, &ev);
		enter_phase(e, STOP_DONE);
		break;
	case STOP_DONE:
		break;
	}
}

static void update_ready(engine_t *e)
{
	core_report_t r;

	if (e->phase != STOP_NONE || engine_ready(e))
		return;
	core_report(e->core, clock_now(), &r);
	if (!r.ready)
		return;
	atomic_store(&e->ready, true);
	log_json(G_LOG_LEVEL_MESSAGE, "ready", "\"revision\":%llu",
		 (unsigned long long)r.revision);
}

static usec_t next_wake_time(const engine_t *e)
{
	usec_t at = core_next_tick(e->core);
	usec_t next_poll = clock_now() + STOP_POLL_PERIOD;

	return e->phase != STOP_NONE && next_poll < at ? next_poll : at;
}

static void loop(engine_t *e)
{
	event_t tick = { .kind = EV_TICK };
	msg_t *m;

	while (e->phase != STOP_DONE) {
		while ((m = dequeue_msg(e)))
			handle_msg(e, m);
		handle_peer_msgs(e);
		if (core_next_tick(e->core) <= clock_now())
			step_all(e, &tick);
		update_ready(e);
		advance_stop(e);
		if (cds_wfcq_empty(&e->head, &e->tail))
			wait_for_events(e, next_wake_time(e));
	}
}

void engine_bind_source_addr(const engine_t *e, void *session)
{
	ne_set_localaddr(session, e->source_addr);
}

engine_t *engine_new(const settings_t *s)
{
	engine_t *e = xcalloc(1, sizeof(*e));
	core_params_t p;
	char host[ADDR_HOST_MAX];
	struct in_addr in;
	unsigned port;
	size_t i;

	e->settings = *s;
	addr_split(str_of(s->peer), host, &port);
	inet_pton(AF_INET, host, &in);
	e->source_addr = ne_iaddr_make(ne_iaddr_ipv4, (unsigned char *)&in);
	core_params_init(&p);
	p.name = str_of(s->name);
	p.dc = str_of(s->dc);
	p.peer = str_of(s->peer_advertise ? s->peer_advertise : s->peer);
	p.nseeds = s->seeds ? g_strv_length(s->seeds) : 0;
	p.seeds = xcalloc(p.nseeds, sizeof(*p.seeds));
	for (i = 0; i < p.nseeds; i++)
		p.seeds[i] = str_of(s->seeds[i]);
	p.seed = s->seed ? s->seed : str_hash(p.name, (uint64_t)clock_now());
	if (s->policy)
		p.policy = policy_by_name(str_of(s->policy));
	if (s->hedge_percentile != UINT32_MAX)
		p.hedge_quantile = s->hedge_percentile / 100.0;
	if (s->hedge_budget_percent != UINT32_MAX)
		p.hedge_budget = s->hedge_budget_percent / 100.0;
	if (s->retry_budget_percent != UINT32_MAX)
		p.retry_budget = s->retry_budget_percent / 100.0;
	e->core = core_new(&p, clock_now());
	free(p.seeds);
	e->wake_fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
	cds_wfcq_init(&e->head, &e->tail);
	e->pools = pools_new(e);
	return e;
}

daemon_err_t engine_run(engine_t *e)
{
	const settings_t *s = &e->settings;

	e->peers = peers_new(s);
	if (!e->peers)
		return DAEMON_E_PEER;
	e->loader = loader_start(e);
	if (!e->loader)
		return DAEMON_E_THREAD;
	e->front = front_start(e, s->listen);
	if (!e->front)
		return DAEMON_E_LISTEN;
	e->admin = admin_start(e, s);
	if (!e->admin)
		return DAEMON_E_LISTEN;
	e->platform = platform_start(e, e->loader, s);
	if (!e->platform)
		return DAEMON_E_THREAD;
	loop(e);
	return DAEMON_OK;
}

static void discard_msgs(engine_t *e)
{
	msg_t *m;

	while ((m = dequeue_msg(e))) {
		if (m->job)
			pools_job_done(e->pools, m->job);
		if (m->has_event && m->ev.kind == EV_ATTEMPT_ENDED)
			group_hits_free(m->ev.attempt.group_hits);
		if (m->has_event && m->ev.kind == EV_CONF)
			conf_free(m->ev.conf);
		if (m->admin_req)
			MHD_resume_connection(m->admin_req->conn);
		arena_free(&m->mem);
		free(m);
	}
}

void engine_free(engine_t *e)
{
	if (!e)
		return;
	if (e->platform)
		platform_stop(e->platform);
	loader_stop(e->loader);
	discard_msgs(e);
	if (e->admin)
		admin_stop(e->admin);
	front_stop(e->front);
	pools_close(e->pools);
	discard_msgs(e);
	pools_free(e->pools);
	core_free(e->core);
	peers_free(e->peers);
	acts_free(&e->acts);
	free(e->pending);
	close(e->wake_fd);
	ne_iaddr_free(e->source_addr);
	free(e);
}
