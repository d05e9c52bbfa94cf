/**
 * @file edge.c
 * The event loop of routed requests: passes events to route/, executes the
 * resulting actions, reloads settings, and runs the planned stop.
 */
#include <errno.h>
#include <event2/http.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/stat.h>

#include "libedge.h"

#define KEEPALIVE_IDLE_S 1 /* a lost peer is detected in about 3 s */
#define KEEPALIVE_PROBE_S 1
#define KEEPALIVE_PROBES 2
/* Detects a lost peer while sent data is unacknowledged. */
#define UNACKED_TIMEOUT_MS 3000
#define STOP_POLL_MS 50
#define LAST_TURNS 3	   /* of the loop: to accept, to read and to answer */
#define SETTINGS_CHECK_S 2 /* the file may change without a SIGHUP */
/* Period of the calls of rt_check_suspension(): a quarter of the shortest
 * suspension that it detects. */
#define SUSPEND_CHECK_MS 250
/* Limits of the headers and of the body of a readiness check, or of a request
 * for metrics. */
#define MAX_CHECK_BYTES 16384

typedef void (*act_fn_t)(edge_t *e, const rt_act_t *act);

static void act_send(edge_t *e, const rt_act_t *act);
static void act_cancel(edge_t *e, const rt_act_t *act);
static void act_answer(edge_t *e, const rt_act_t *act);
static void act_open(edge_t *e, const rt_act_t *act);
static void act_close(edge_t *e, const rt_act_t *act);
static void act_report_pace(edge_t *e, const rt_act_t *act);
static void act_read_registry(edge_t *e, const rt_act_t *act);
static void act_log(edge_t *e, const rt_act_t *act);

static const act_fn_t act_fns[RT_ACT_MAX] = {
	[RT_ACT_SEND] = act_send,
	[RT_ACT_CANCEL] = act_cancel,
	[RT_ACT_ANSWER] = act_answer,
	[RT_ACT_OPEN] = act_open,
	[RT_ACT_CLOSE] = act_close,
	[RT_ACT_REPORT_PACE] = act_report_pace,
	[RT_ACT_READ_REGISTRY] = act_read_registry,
	[RT_ACT_LOG] = act_log,
};

/* State of the process that only this file uses. */
typedef struct run {
	edge_t edge;
	const char *settings_file;
	settings_t settings;
	struct timespec settings_mtime; /* at the last read */
	struct event *signals[3];
	struct event *stop_timer;
	bool callers_closed;
	struct event *settings_check;
	struct event *suspend_check;
	struct evhttp *ready;	/* readiness check of the load balancer */
	struct evhttp *metrics; /* metrics and status, for operators */
} run_t;

static void act_send(edge_t *e, const rt_act_t *act)
{
	links_send(e->links, act);
}

static void act_cancel(edge_t *e, const rt_act_t *act)
{
	links_cancel(e->links, act->aid);
}

static void act_answer(edge_t *e, const rt_act_t *act)
{
	(void)e;
	caller_answer(act->answer.caller, &act->answer);
}

static void act_open(edge_t *e, const rt_act_t *act)
{
	links_prepare(e->links, act->server.server, act->server.addr,
		      act->server.preconnect, act->server.keep_idle);
}

static void act_close(edge_t *e, const rt_act_t *act)
{
	links_close(e->links, act->server.server, act->server.end_opening);
}

static void act_report_pace(edge_t *e, const rt_act_t *act)
{
	fleet_peers_send_pace(e, act->pace_report.server_id,
			      act->pace_report.pace, act->pace_report.failing);
}

static void act_read_registry(edge_t *e, const rt_act_t *act)
{
	(void)act;
	registry_refresh(e->registry);
}

static void act_log(edge_t *e, const rt_act_t *act)
{
	edge_log_decision(e, &act->line, clock_now());
}

void edge_run_actions(edge_t *e)
{
	rt_act_t act;

	edge_turn_mark(e);
	/* An action may call this again; the loop below runs what it adds. */
	if (e->running_actions)
		return;
	e->running_actions = true;
	while (rt_next_act(e->rt, &act))
		act_fns[act.kind](e, &act);
	e->running_actions = false;
}

static void set_tick_timer(edge_t *e, usec_t at, usec_t now)
{
	usec_t in = at > now ? at - now : 0;
	struct timeval tv = { in / USEC_PER_SEC, in % USEC_PER_SEC };

	e->tick_at = at;
	evtimer_add(e->tick_timer, &tv);
}

/*
 * Runs rt_tick() if it is due and sets the timer that ends the wait of a later
 * turn. Doing the former here rather than in the timer's callback, and the
 * latter only when the time changes, keeps deadlines in time while events never
 * stop: a timer that is set anew after each event never runs.
 */
static void end_turn(edge_t *e)
{
	usec_t now = clock_now(), at = rt_next_tick(e->rt);

	if (at <= now) {
		rt_check_suspension(e->rt, now);
		rt_tick(e->rt, now);
		edge_run_actions(e);
		at = rt_next_tick(e->rt);
	}
	if (at != e->tick_at || !evtimer_pending(e->tick_timer, NULL))
		set_tick_timer(e, at, now);
}

static void on_suspend_check(evutil_socket_t fd, short what, void *arg)
{
	edge_t *e = arg;

	(void)fd;
	(void)what;
	rt_check_suspension(e->rt, clock_now());
	edge_run_actions(e);
}

/* Ends the wait for events; end_turn() runs what is due. */
static void on_tick(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	edge_turn_mark(arg);
}

void edge_set_socket_options(int fd)
{
	int one = 1, idle = KEEPALIVE_IDLE_S, probe = KEEPALIVE_PROBE_S;
	int probes = KEEPALIVE_PROBES;
	unsigned unacked = UNACKED_TIMEOUT_MS;

	/* A socket works without any of these options; ignore errors. */
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &one, sizeof(one));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof(idle));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &probe, sizeof(probe));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacked,
		   sizeof(unacked));
}

int edge_socket(void)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd >= 0)
		edge_set_socket_options(fd);
	return fd;
}

usec_t edge_apply_share(const edge_t *e, double share)
{
	return settings_usec(share * e->settings->apply_limit_ms);
}

bool edge_is_ready(const edge_t *e)
{
	return !e->stopping && rt_conf(e->rt) &&
	       fleet_state_revision(e->state) > 0;
}

static void on_ready(struct evhttp_request *req, void *arg)
{
	edge_t *e = arg;

	edge_turn_mark(e);
	if (edge_is_ready(e))
		evhttp_send_reply(req, 200, "OK", NULL);
	else
		evhttp_send_reply(req, 503, "Service Unavailable", NULL);
}

static struct evhttp *
start_http_server(edge_t *e, const char *addr, const char *path,
		  void (*fn)(struct evhttp_request *, void *))
{
	struct evhttp *h = evhttp_new(e->base);
	char host[ADDR_HOST_MAX];
	unsigned port;

	addr_split(str_of(addr), host, &port);
	evhttp_set_max_headers_size(h, MAX_CHECK_BYTES);
	evhttp_set_max_body_size(h, MAX_CHECK_BYTES);
	evhttp_set_cb(h, path, fn, e);
	if (evhttp_bind_socket(h, host, (ev_uint16_t)port) == 0)
		return h;
	evhttp_free(h);
	return NULL;
}

/*
 * A planned stop. The daemon is not ready from the signal on, but accepts
 * connections and answers requests until shortly before it ends, if only by a
 * refusal: callers learn late that it stops.
 */
static void on_stop_timer(evutil_socket_t fd, short what, void *arg)
{
	run_t *r = arg;
	edge_t *e = &r->edge;
	rt_stop_step_t step;

	(void)fd;
	(void)what;
	step = rt_advance_stop(e->rt, callers_count(e), clock_now());
	if (step >= RT_STOP_CLOSE && !r->callers_closed) {
		r->callers_closed = true;
		log_json(G_LOG_LEVEL_MESSAGE, "closing",
			 "\"open\":%zu,\"connections\":%zu",
			 rt_open_requests(e->rt), callers_count(e));
		callers_close(e);
	}
	if (step == RT_STOP_END)
		event_base_loopbreak(e->base);
}

static void on_stop(evutil_socket_t sig, short what, void *arg)
{
	struct timeval tv = { 0, STOP_POLL_MS * 1000 };
	run_t *r = arg;
	const settings_t *s = &r->settings;

	(void)what;
	if (r->edge.stopping)
		return;
	r->edge.stopping = true;
	rt_begin_stop(r->edge.rt, settings_usec(s->stop_grace_ms),
		      settings_usec(s->stop_limit_ms), clock_now());
	log_json(G_LOG_LEVEL_MESSAGE, "stop", "\"signal\":%d,\"open\":%zu",
		 (int)sig, rt_open_requests(r->edge.rt));
	evtimer_add(r->stop_timer, &tv);
	fleet_peers_send_leave(&r->edge);
	edge_run_actions(&r->edge);
}

static void fill_params(const settings_t *s, rt_params_t *p)
{
	rt_params_init(p);
	p->dc = str_of(s->dc);
	p->seed = s->seed ? s->seed
			  : str_hash(str_of(s->name), (uint64_t)clock_now());
	if (s->policy)
		p->policy = rt_policy_by_name(str_of(s->policy));
	p->hosts = s->fleet_hosts;
	p->max_state_age = settings_usec(s->apply_limit_ms);
	p->drain_limit = settings_usec(s->drain_limit_ms);
	p->debug_lines = log_enabled(G_LOG_LEVEL_DEBUG);
	p->warmup_overage = s->warmup_overage;
	p->warmup_slack = s->warmup_slack;
	p->extra_sends_share = s->extra_sends_share;
	p->extra_sends_fixed = s->extra_sends_fixed;
	p->extra_sends_window =
		(usec_t)(s->extra_sends_window_s * (double)USEC_PER_SEC);
}

static void save_settings_mtime(run_t *r)
{
	struct stat st;

	if (stat(r->settings_file, &st) == 0)
		r->settings_mtime = st.st_mtim;
}

static void log_settings(const settings_t *s, const char *what, const char *why)
{
	log_json(s->nfaults ? G_LOG_LEVEL_WARNING : G_LOG_LEVEL_MESSAGE, what,
		 "\"why\":\"%s\",\"faults\":%u,\"stop_limit_ms\":%.15g,"
		 "\"apply_limit_ms\":%.15g,\"extra_share\":%.15g,"
		 "\"extra_fixed\":%.15g,\"extra_window_s\":%.15g",
		 why, s->nfaults, s->stop_limit_ms, s->apply_limit_ms,
		 s->extra_sends_share, s->extra_sends_fixed,
		 s->extra_sends_window_s);
}

/*
 * Applies new settings, or keeps the old ones if the new ones can't be read. A
 * change of a listening address takes effect at the next start of the process.
 */
static void reload(run_t *r, const char *why)
{
	edge_t *e = &r->edge;
	settings_t s, old;
	rt_params_t p;

	save_settings_mtime(r);
	e->settings_refused = settings_read(r->settings_file, &r->settings,
					    &s) != DAEMON_OK ||
			      !s.protocol || !edge_supports(e->transport, &s);
	if (e->settings_refused) {
		log_json(G_LOG_LEVEL_WARNING, "settings refused",
			 "\"why\":\"%s\"", why);
		settings_free(&s);
		return;
	}
	old = r->settings;
	r->settings = s;
	settings_free(&old);
	log_set_level(s.log_level);
	fill_params(&r->settings, &p);
	rt_set_params(e->rt, &p);
	fleet_set_apply_time(e->fleet,
			     settings_usec(r->settings.apply_limit_ms));
	if (!registry_has_addr(e->registry, s.registry_addr)) {
		registry_free(e->registry);
		e->registry = registry_start(e, s.registry_addr);
	}
	log_settings(&r->settings, "reload", why);
	edge_run_actions(e);
}

static void on_reload(evutil_socket_t sig, short what, void *arg)
{
	(void)sig;
	(void)what;
	reload(arg, "signal");
}

static void on_settings_check(evutil_socket_t fd, short what, void *arg)
{
	run_t *r = arg;
	struct stat st;

	(void)fd;
	(void)what;
	edge_turn_mark(&r->edge);
	if (stat(r->settings_file, &st) == 0 &&
	    (st.st_mtim.tv_sec != r->settings_mtime.tv_sec ||
	     st.st_mtim.tv_nsec != r->settings_mtime.tv_nsec))
		reload(r, "file changed");
}

static void watch_settings_and_signals(run_t *r)
{
	static const struct {
		int sig;
		event_callback_fn fn;
	} signals[] = {
		{ SIGTERM, on_stop },
		{ SIGINT, on_stop },
		{ SIGHUP, on_reload },
	};
	struct timeval period = { SETTINGS_CHECK_S, 0 };
	struct event_base *base = r->edge.base;
	size_t i;

	for (i = 0; i < sizeof(signals) / sizeof(signals[0]); i++) {
		r->signals[i] =
			evsignal_new(base, signals[i].sig, signals[i].fn, r);
		evsignal_add(r->signals[i], NULL);
	}
	r->settings_check =
		event_new(base, -1, EV_PERSIST, on_settings_check, r);
	evtimer_add(r->settings_check, &period);
}

static void start_fleet(edge_t *e)
{
	const settings_t *s = e->settings;
	size_t n = s->seeds ? g_strv_length(s->seeds) : 0, i;
	str_t *seeds = xcalloc(n, sizeof(*seeds));
	fleet_params_t p = {
		.addr = str_of(s->peer),
		.dc = str_of(s->dc),
		.seeds = seeds,
		.nseeds = n,
		.initial_hosts = s->fleet_hosts,
		.apply_time = settings_usec(s->apply_limit_ms),
		.seed = str_hash(str_of(s->name), (uint64_t)clock_now()),
	};

	for (i = 0; i < n; i++)
		seeds[i] = str_of(s->seeds[i]);
	e->fleet = fleet_new(&p, clock_now());
	free(seeds);
}

static void start_suspend_check(run_t *r)
{
	struct timeval period = { 0, SUSPEND_CHECK_MS * 1000 };
	edge_t *e = &r->edge;

	r->suspend_check =
		event_new(e->base, -1, EV_PERSIST, on_suspend_check, e);
	evtimer_add(r->suspend_check, &period);
}

static daemon_err_t run_start(run_t *r)
{
	const settings_t *s = &r->settings;
	edge_t *e = &r->edge;
	rt_params_t p;

	e->settings = s;
	e->protocol = outside_protocol_by_name(s->protocol);
	e->base = event_base_new();
	fill_params(s, &p);
	e->rt = rt_new(&p, clock_now());
	e->links = links_new(e);
	e->state = edge_state_new(e);
	start_fleet(e);
	e->tick_timer = evtimer_new(e->base, on_tick, e);
	r->stop_timer = event_new(e->base, -1, EV_PERSIST, on_stop_timer, r);
	watch_settings_and_signals(r);
	r->ready = start_http_server(e, s->ready_listen,
				     e->protocol->ready_path, on_ready);
	r->metrics = start_http_server(e, s->admin, "/metrics", edge_metrics);
	if (r->metrics) {
		evhttp_set_cb(r->metrics, "/v1/status", edge_status, e);
		evhttp_set_cb(r->metrics, "/v1/upstreams", edge_upstreams, e);
	}
	if (!r->ready || !r->metrics || !callers_start(e, s->listen))
		return DAEMON_E_LISTEN;
	if (!fleet_peers_start(e))
		return DAEMON_E_PEER;
	e->registry = registry_start(e, s->registry_addr);
	start_suspend_check(r);
	edge_run_actions(e);
	return DAEMON_OK;
}

static void run_free(run_t *r)
{
	edge_t *e = &r->edge;
	size_t i;

	callers_free(e);
	registry_free(e->registry);
	fleet_peers_free(e);
	links_free(e->links);
	fleet_free(e->fleet);
	fleet_state_free(e->state);
	rt_free(e->rt);
	if (r->ready)
		evhttp_free(r->ready);
	if (r->metrics)
		evhttp_free(r->metrics);
	for (i = 0; i < sizeof(r->signals) / sizeof(r->signals[0]); i++)
		event_free(r->signals[i]);
	event_free(r->stop_timer);
	event_free(r->settings_check);
	if (r->suspend_check)
		event_free(r->suspend_check);
	event_free(e->tick_timer);
	event_base_free(e->base);
}

/* Runs the event loop until event_base_loopbreak(). */
static void run_turns(edge_t *e)
{
	usec_t due;

	end_turn(e);
	do {
		due = clock_now() + SUSPEND_CHECK_MS * USEC_PER_MSEC;
		if (e->tick_at < due)
			due = e->tick_at;
		if (edge_turn_run(e, EVLOOP_ONCE, due) != 0) {
			log_json(G_LOG_LEVEL_CRITICAL, "event loop failed",
				 "\"errno\":%d", errno);
			return;
		}
		end_turn(e);
	} while (!event_base_got_break(e->base));
}

/* Answers the requests that arrived during the last turn of the loop. */
static void answer_last_requests(edge_t *e)
{
	int turn;

	for (turn = 0; turn < LAST_TURNS; turn++) {
		edge_turn_run(e, EVLOOP_NONBLOCK, clock_now());
		end_turn(e);
	}
}

bool edge_supports(const peer_transport_t *t, const settings_t *s)
{
	return t->has_keys || !s->peer_secret_key;
}

daemon_err_t edge_run(const char *file, settings_t *s,
		      const peer_transport_t *t)
{
	run_t *r = xcalloc(1, sizeof(*r));
	daemon_err_t err;

	r->settings_file = file;
	r->settings = *s;
	r->edge.transport = t;
	*s = (settings_t){ 0 };
	save_settings_mtime(r);
	signal(SIGPIPE, SIG_IGN);
	err = run_start(r);
	if (err == DAEMON_OK) {
		log_json(G_LOG_LEVEL_MESSAGE, "start",
			 "\"name\":\"%s\",\"listen\":\"%s\"", r->settings.name,
			 r->settings.listen);
		log_settings(&r->settings, "settings", "start");
		run_turns(&r->edge);
		answer_last_requests(&r->edge);
		log_json(G_LOG_LEVEL_MESSAGE, "end",
			 "\"open\":%zu,\"connections\":%zu",
			 rt_open_requests(r->edge.rt), callers_count(&r->edge));
	}
	run_free(r);
	settings_free(&r->settings);
	free(r);
	return err;
}
