/**
 * @file edge.c
 * The loop of routed requests: hands events to the decisions, carries their
 * actions out, and takes the process through its stop.
 */
#include <event2/http.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/stat.h>

#include "libedge.h"

#define KEEPALIVE_IDLE_S 1 /* a peer that is gone is noticed in about 3 s */
#define KEEPALIVE_PROBE_S 1
#define KEEPALIVE_PROBES 2
#define UNSENT_TIME_MS 3000 /* the same for bytes that are not confirmed */
#define STOP_POLL_MS 50
#define SETTINGS_LOOK_S 2 /* the file may change without a signal */
#define PULSE_MS 250	  /* between turns of the loop: a quarter of a sleep */
/* Before the process is killed what is open is given up. */
#define STOP_MARGIN (300 * USEC_PER_MSEC)

typedef void (*act_fn_t)(edge_t *e, const rt_act_t *act);

static void act_send(edge_t *e, const rt_act_t *act);
static void act_cancel(edge_t *e, const rt_act_t *act);
static void act_answer(edge_t *e, const rt_act_t *act);
static void act_open(edge_t *e, const rt_act_t *act);
static void act_close(edge_t *e, const rt_act_t *act);
static void act_tell(edge_t *e, const rt_act_t *act);
static void act_confirm(edge_t *e, const rt_act_t *act);
static void act_log(edge_t *e, const rt_act_t *act);

static const act_fn_t act_fns[RT_ACT_MAX] = {
	[RT_ACT_SEND] = act_send,	[RT_ACT_CANCEL] = act_cancel,
	[RT_ACT_ANSWER] = act_answer,	[RT_ACT_OPEN] = act_open,
	[RT_ACT_CLOSE] = act_close,	[RT_ACT_TELL] = act_tell,
	[RT_ACT_CONFIRM] = act_confirm, [RT_ACT_LOG] = act_log,
};

/* What belongs to the run and not to the loop. */
typedef struct run {
	edge_t edge;
	const char *file; /* of the settings */
	settings_t settings;
	struct timespec read_at; /* the file's time when it was read */
	struct event *signals[3];
	struct event *stop_timer;
	struct event *look;
	struct event *pulse;
	struct evhttp *ready;
	struct evhttp *metrics;
	usec_t stop_at;
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
	links_open(e->links, act->server.server, act->server.addr,
		   act->server.warm, act->server.keep);
}

static void act_close(edge_t *e, const rt_act_t *act)
{
	links_close(e->links, act->server.server);
}

static void act_tell(edge_t *e, const rt_act_t *act)
{
	fleet_peers_tell(e, act->tell.server_id, act->tell.pace,
			 act->tell.failing);
}

static void act_confirm(edge_t *e, const rt_act_t *act)
{
	(void)act;
	store_confirm(e->store);
}

static void act_log(edge_t *e, const rt_act_t *act)
{
	edge_log(e, &act->line, clock_now());
}

static void set_tick(edge_t *e)
{
	usec_t in = rt_next(e->rt) - clock_now();
	struct timeval tv;

	if (in < 0)
		in = 0;
	tv = (struct timeval){ in / USEC_PER_SEC, in % USEC_PER_SEC };
	evtimer_add(e->tick, &tv);
}

void edge_step(edge_t *e)
{
	rt_act_t act;

	/* An action may lead here again: the loop below goes on with it. */
	if (e->running_acts)
		return;
	e->running_acts = true;
	while (rt_next_act(e->rt, &act))
		act_fns[act.kind](e, &act);
	e->running_acts = false;
	set_tick(e);
}

static void on_pulse(evutil_socket_t fd, short what, void *arg)
{
	edge_t *e = arg;

	(void)fd;
	(void)what;
	rt_awake(e->rt, clock_now());
	edge_step(e);
}

static void on_tick(evutil_socket_t fd, short what, void *arg)
{
	edge_t *e = arg;

	(void)fd;
	(void)what;
	rt_awake(e->rt, clock_now());
	rt_tick(e->rt, clock_now());
	edge_step(e);
}

void edge_socket_options(int fd)
{
	int one = 1, idle = KEEPALIVE_IDLE_S, probe = KEEPALIVE_PROBE_S;
	int probes = KEEPALIVE_PROBES;
	unsigned unsent = UNSENT_TIME_MS;

	/* A socket without one of these still works: no error to tell. */
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &one, sizeof(one));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof(idle));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &probe, sizeof(probe));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unsent, sizeof(unsent));
}

int edge_socket(void)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd >= 0)
		edge_socket_options(fd);
	return fd;
}

bool edge_is_ready(const edge_t *e)
{
	return !e->stopping && rt_conf(e->rt) &&
	       fleet_state_revision(e->state) > 0;
}

static void on_ready(struct evhttp_request *req, void *arg)
{
	edge_t *e = arg;

	if (edge_is_ready(e))
		evhttp_send_reply(req, 200, "OK", NULL);
	else
		evhttp_send_reply(req, 503, "Service Unavailable", NULL);
}

static struct evhttp *serve(edge_t *e, const char *addr, const char *path,
			    void (*fn)(struct evhttp_request *, void *))
{
	struct evhttp *h = evhttp_new(e->base);
	char host[ADDR_HOST_MAX];
	unsigned port;

	addr_split(str_of(addr), host, &port);
	evhttp_set_cb(h, path, fn, e);
	if (evhttp_bind_socket(h, host, (ev_uint16_t)port) == 0)
		return h;
	evhttp_free(h);
	return NULL;
}

/*
 * A planned stop: not ready at once; what still comes is taken for as long
 * as the balancer may lag; then no new connections, and what is open ends.
 */
static void on_stop_timer(evutil_socket_t fd, short what, void *arg)
{
	run_t *r = arg;
	edge_t *e = &r->edge;
	const settings_t *s = e->settings;
	usec_t since = clock_now() - r->stop_at;

	(void)fd;
	(void)what;
	if (!e->closed && since >= s->stop_grace_ms * USEC_PER_MSEC) {
		e->closed = true;
		callers_close_listener(e);
		callers_close_idle(e);
		log_json(G_LOG_LEVEL_MESSAGE, "listener closed", "\"open\":%zu",
			 rt_open(e->rt));
	}
	if (e->closed &&
	    (callers_open(e) == 0 ||
	     since >= s->stop_limit_ms * USEC_PER_MSEC - STOP_MARGIN))
		event_base_loopbreak(e->base);
}

static void on_stop(evutil_socket_t sig, short what, void *arg)
{
	struct timeval tv = { 0, STOP_POLL_MS * 1000 };
	run_t *r = arg;

	(void)what;
	if (r->edge.stopping)
		return;
	r->edge.stopping = true;
	r->stop_at = clock_now();
	log_json(G_LOG_LEVEL_MESSAGE, "stop", "\"signal\":%d,\"open\":%zu",
		 (int)sig, rt_open(r->edge.rt));
	evtimer_add(r->stop_timer, &tv);
	fleet_peers_leave(&r->edge);
}

static void set_params(const settings_t *s, rt_params_t *p)
{
	rt_params_init(p);
	p->dc = str_of(s->dc);
	p->seed = s->seed ? s->seed
			  : str_hash(str_of(s->name), (uint64_t)clock_now());
	if (s->policy)
		p->policy = rt_policy_by_name(str_of(s->policy));
	p->fleet = s->fleet;
	p->extra_share = s->extra_share;
	p->extra_fixed = s->extra_fixed;
	p->extra_window = (usec_t)(s->extra_window_s * (double)USEC_PER_SEC);
}

static void note_file_time(run_t *r)
{
	struct stat st;

	if (stat(r->file, &st) == 0)
		r->read_at = st.st_mtim;
}

/*
 * Takes new settings in force. Addresses to listen at stay until the next
 * start; settings with a fault leave the old ones in force.
 */
static void reload(run_t *r, const char *why)
{
	edge_t *e = &r->edge;
	settings_t s, old;
	rt_params_t p;

	note_file_time(r);
	if (settings_read(r->file, &s) != DAEMON_OK || !s.outside) {
		log_json(G_LOG_LEVEL_WARNING, "settings refused",
			 "\"why\":\"%s\"", why);
		settings_free(&s);
		return;
	}
	old = r->settings;
	r->settings = s;
	settings_free(&old);
	set_params(&r->settings, &p);
	rt_set_params(e->rt, &p);
	log_set_level(s.log_level);
	if (!store_is_at(e->store, s.registry)) {
		store_free(e->store);
		e->store = store_start(e, s.registry);
	}
	log_json(G_LOG_LEVEL_MESSAGE, "reload", "\"why\":\"%s\"", why);
	edge_step(e);
}

static void on_reload(evutil_socket_t sig, short what, void *arg)
{
	(void)sig;
	(void)what;
	reload(arg, "signal");
}

static void on_look(evutil_socket_t fd, short what, void *arg)
{
	run_t *r = arg;
	struct stat st;

	(void)fd;
	(void)what;
	if (stat(r->file, &st) == 0 &&
	    (st.st_mtim.tv_sec != r->read_at.tv_sec ||
	     st.st_mtim.tv_nsec != r->read_at.tv_nsec))
		reload(r, "file changed");
}

static void watch_signals(run_t *r)
{
	static const struct {
		int sig;
		event_callback_fn fn;
	} signals[] = {
		{ SIGTERM, on_stop },
		{ SIGINT, on_stop },
		{ SIGHUP, on_reload },
	};
	struct timeval period = { SETTINGS_LOOK_S, 0 };
	struct event_base *base = r->edge.base;
	size_t i;

	for (i = 0; i < sizeof(signals) / sizeof(signals[0]); i++) {
		r->signals[i] =
			evsignal_new(base, signals[i].sig, signals[i].fn, r);
		evsignal_add(r->signals[i], NULL);
	}
	r->look = event_new(base, -1, EV_PERSIST, on_look, r);
	evtimer_add(r->look, &period);
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
		.hosts = s->fleet,
		.apply_time = s->apply_limit_ms * USEC_PER_MSEC,
		.seed = str_hash(str_of(s->name), (uint64_t)clock_now()),
	};

	for (i = 0; i < n; i++)
		seeds[i] = str_of(s->seeds[i]);
	e->fleet = fleet_new(&p, clock_now());
	free(seeds);
}

static void start_pulse(run_t *r)
{
	struct timeval period = { 0, PULSE_MS * 1000 };
	edge_t *e = &r->edge;

	r->pulse = event_new(e->base, -1, EV_PERSIST, on_pulse, e);
	evtimer_add(r->pulse, &period);
}

static daemon_err_t start(run_t *r)
{
	const settings_t *s = &r->settings;
	edge_t *e = &r->edge;
	rt_params_t p;

	e->settings = s;
	e->outside = outside_by_name(s->outside);
	e->base = event_base_new();
	set_params(s, &p);
	e->rt = rt_new(&p, clock_now());
	e->links = links_new(e);
	e->state = edge_state_new(e);
	start_fleet(e);
	e->tick = evtimer_new(e->base, on_tick, e);
	r->stop_timer = event_new(e->base, -1, EV_PERSIST, on_stop_timer, r);
	watch_signals(r);
	r->ready = serve(e, s->ready, e->outside->ready_path, on_ready);
	r->metrics = serve(e, s->admin, "/metrics", edge_metrics);
	if (r->metrics) {
		evhttp_set_cb(r->metrics, "/v1/status", edge_status, e);
		evhttp_set_cb(r->metrics, "/v1/upstreams", edge_upstreams, e);
	}
	if (!r->ready || !r->metrics || !callers_start(e, s->listen))
		return DAEMON_E_LISTEN;
	if (!fleet_peers_start(e))
		return DAEMON_E_PEER;
	e->store = store_start(e, s->registry);
	start_pulse(r);
	edge_step(e);
	return DAEMON_OK;
}

static void finish(run_t *r)
{
	edge_t *e = &r->edge;
	size_t i;

	callers_free(e);
	store_free(e->store);
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
	event_free(r->look);
	if (r->pulse)
		event_free(r->pulse);
	event_free(e->tick);
	event_base_free(e->base);
}

daemon_err_t edge_run(const char *file, settings_t *s)
{
	run_t *r = xcalloc(1, sizeof(*r));
	daemon_err_t err;

	r->file = file;
	r->settings = *s;
	*s = (settings_t){ 0 };
	note_file_time(r);
	signal(SIGPIPE, SIG_IGN);
	err = start(r);
	if (err == DAEMON_OK) {
		log_json(G_LOG_LEVEL_MESSAGE, "start",
			 "\"name\":\"%s\",\"listen\":\"%s\"", r->settings.name,
			 r->settings.listen);
		event_base_dispatch(r->edge.base);
		log_json(G_LOG_LEVEL_MESSAGE, "end", "\"open\":%zu",
			 rt_open(r->edge.rt));
	}
	finish(r);
	settings_free(&r->settings);
	free(r);
	return err;
}
