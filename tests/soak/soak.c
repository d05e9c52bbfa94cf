/**
 * @file soak.c
 * Randomized test of real daemons against stand-ins: callers send requests all
 * the time while servers fail, leave and return, configurations change, the
 * store is unreachable and daemons are paused, killed, stopped, reloaded and
 * restarted. Checks what callers and servers receive throughout. The seed
 * determines the order of faults.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#include "standin.h"
#include "world.h"

/* Each daemon has a connection to each other daemon, and each connection uses a
 * local port; 160 daemons use up the ports of one address. */
#define MAX_DAEMONS 140
#define MAX_CALLERS 560
#define CALLERS_PER_DAEMON 4
#define EVENT_PERIOD_MS 40 /* between two faults or changes */
/* Longer than daemons may take to stop sending to a draining server, and to the
 * servers of an evacuated data centre. */
#define DRAIN_CHECK_MS 5000
/* Longer than the pause of daemons between two watches. */
#define SILENCE_MS 1500
#define SETTLE_MS 4000	 /* a stop takes 3 s, and a start less than 1 s */
#define RECOVERY_MS 4000 /* from the last fault to the final checks */
/* The routes' deadline of 1000 ms, and scheduling delays of the machine. */
#define ANSWER_LIMIT_MS 1300
#define READY_LIMIT_MS 4000

typedef struct run run_t;

/* A caller that sends one request after the other. */
typedef struct caller {
	run_t *r;
	struct bufferevent *bev;
	http_msg_t msg;
	struct event *timer;
	usec_t started_at; /* time of sending; 0: no request is open */
	unsigned daemon;
	unsigned epoch; /* epoch of the daemon when the request was sent */
	char id[24];
	char path[8];
} caller_t;

struct run {
	world_t *w;
	unsigned ndaemons;
	rng_t rng;
	world_daemon_t *daemons[MAX_DAEMONS];
	/* Incremented by each pause, resume, SIGKILL and exit. */
	unsigned epoch[MAX_DAEMONS];
	usec_t resume_at[MAX_DAEMONS]; /* end of the pause; 0: not paused */
	bool stopping[MAX_DAEMONS];    /* SIGTERM was sent */
	caller_t callers[MAX_CALLERS];
	GHashTable *not_run; /* ids of requests answered with status 503 */
	unsigned version;    /* of the configuration published last */
	bool has_route_one;  /* the configuration has the route "one" */
	bool silence;	     /* the option --silence */
	bool restore;	     /* the option --restore */
	bool reports;	     /* the option --reports */
	bool finished;	     /* send no more requests */
	uint64_t sent;	     /* requests */
	uint64_t answered;   /* requests, with any status */
	unsigned failures;   /* checks that failed */
};

static void send_next(caller_t *c);

static void fail(run_t *r, const char *what, const char *id)
{
	printf("broken: %s (request %s)\n", what, id);
	r->failures++;
}

static unsigned random_below(run_t *r, unsigned n)
{
	return (unsigned)rng_below(&r->rng, n);
}

static void publish_config(run_t *r)
{
	static const char route[] =
		"{\"name\":\"%s\",\"host\":\"h\",\"prefix\":\"/%s/\","
		"\"routeType\":\"%s\",\"timeoutMs\":1000,"
		"\"targetLatencyMs\":300,\"priority\":1,%s,"
		"\"maxAttempts\":2}";
	GString *text = g_string_new(NULL);

	g_string_printf(text, "{\"version\":%u,\"routes\":[", ++r->version);
	g_string_append_printf(text, route, "all", "all", "idempotent",
			       "\"gather\":[\"a\",\"b\"],\"topK\":4,"
			       "\"oldestVersion\":0.5");
	g_string_append_c(text, ',');
	g_string_append_printf(text, route, "once", "once", "non_idempotent",
			       "\"service\":\"a\"");
	if (r->has_route_one) {
		g_string_append_c(text, ',');
		g_string_append_printf(text, route, "one", "one", "idempotent",
				       "\"service\":\"b\"");
	}
	g_string_append_printf(
		text,
		"],\"services\":[{\"name\":\"a\",\"maxConnections\":"
		"40%s},{\"name\":\"b\",\"maxConnections\":40}],"
		"\"limits\":{\"maxHeaderBytes\":4000,\"maxBodyBytes\":"
		"4000,\"headerTimeoutMs\":1000,\"idleTimeoutMs\":5000}}",
		r->reports ? ",\"warmupPerS\":20" : "");
	world_publish_config(r->w, text->str);
	g_string_free(text, TRUE);
}

/*
 * Checks that a merged answer has at most one part of each of the two shards,
 * only parts of this request, the right coverage and the greatest records.
 */
static void check_merged(caller_t *c)
{
	const outside_protocol_t *o = c->r->w->daemon_protocol;
	char stamps[256], missing[16], tail[32];
	char **parts;
	guint n, i;

	str_copy(stamps, sizeof(stamps),
		 http_msg_get(&c->msg, o->headers[OUTSIDE_PART_STAMPS]));
	str_copy(missing, sizeof(missing),
		 http_msg_get(&c->msg, o->headers[OUTSIDE_MISSING_SHARDS]));
	snprintf(tail, sizeof(tail), ".%s", c->id);
	parts = g_strsplit(stamps, ", ", -1);
	n = g_strv_length(parts);
	for (i = 0; i < n; i++)
		if (!g_str_has_suffix(parts[i], tail))
			fail(c->r, "a part of another request", c->id);
	if (n == 2 && parts[0][2] == parts[1][2])
		fail(c->r, "two parts of one shard", c->id);
	if (n == 0 || n + strtoul(missing, NULL, 10) != 2)
		fail(c->r, "wrong coverage", c->id);
	if (c->msg.body->len != (n == 2 ? 4 : 3) * 16)
		fail(c->r, "the merged records are not the greatest", c->id);
	g_strfreev(parts);
}

static void check_answer(caller_t *c)
{
	unsigned status = c->msg.parser.status_code;
	run_t *r = c->r;

	r->answered++;
	if (status == 503)
		g_hash_table_add(r->not_run, g_strdup(c->id));
	if (status == 200 && strcmp(c->path, "all") == 0)
		check_merged(c);
	if (status == 200 && strcmp(c->path, "all") != 0 &&
	    (!str_eq(http_msg_get(&c->msg,
				  r->w->daemon_protocol
					  ->headers[OUTSIDE_REQUEST_ID]),
		     str_of(c->id)) ||
	     c->msg.body->len != 48))
		fail(r, "an incomplete answer, or of another request", c->id);
	/* A daemon that was paused or ended meanwhile may answer late. */
	if (c->epoch == r->epoch[c->daemon] &&
	    standin_now() - c->started_at > ANSWER_LIMIT_MS * USEC_PER_MSEC)
		fail(r, "no answer in time", c->id);
}

static void schedule_next(caller_t *c)
{
	struct timeval soon = { 0, 5000 };

	if (!c->r->finished)
		evtimer_add(c->timer, &soon);
}

static void disconnect(caller_t *c)
{
	if (c->bev)
		bufferevent_free(c->bev);
	c->bev = NULL;
}

static void on_read(struct bufferevent *bev, void *arg)
{
	caller_t *c = arg;

	if (!http_msg_feed(&c->msg, bufferevent_get_input(bev))) {
		fail(c->r, "bytes that are not an answer", c->id);
		disconnect(c);
		schedule_next(c);
		return;
	}
	if (!c->msg.done)
		return;
	check_answer(c);
	if (!c->msg.keep_alive || random_below(c->r, 4) == 0)
		disconnect(c);
	c->started_at = 0;
	schedule_next(c);
}

static void on_event(struct bufferevent *bev, short what, void *arg)
{
	caller_t *c = arg;

	(void)bev;
	if (what & BEV_EVENT_CONNECTED)
		return;
	/* Only a kill, which changes the epoch, may cut off an answer. */
	if (c->started_at && c->msg.started &&
	    c->epoch == c->r->epoch[c->daemon])
		fail(c->r, "an answer was cut off", c->id);
	disconnect(c);
	c->started_at = 0;
	schedule_next(c);
}

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	send_next(arg);
}

static void send_next(caller_t *c)
{
	static const char *const paths[] = { "all", "one", "once" };
	run_t *r = c->r;
	char bytes[256];

	if (!c->bev) {
		c->daemon = random_below(r, r->ndaemons);
		c->bev = world_connect(r->w, r->daemons[c->daemon]->listen);
		bufferevent_setcb(c->bev, on_read, NULL, on_event, c);
	}
	c->epoch = r->epoch[c->daemon];
	c->started_at = standin_now();
	snprintf(c->path, sizeof(c->path), "%s", paths[random_below(r, 3)]);
	snprintf(c->id, sizeof(c->id), "r%llu", (unsigned long long)++r->sent);
	http_msg_reset(&c->msg, HTTP_RESPONSE);
	snprintf(bytes, sizeof(bytes),
		 "GET /%s/x HTTP/1.1\r\nHost: h\r\nRequest-Id: %s"
		 "\r\nDeadline-Ms: 900\r\n\r\n",
		 c->path, c->id);
	world_write(r->w, c->bev, bytes);
}

/* Changes the state, work time or fault of a random server. */
static void server_event(run_t *r)
{
	world_server_t *s =
		r->w->servers->pdata[random_below(r, r->w->servers->len)];

	switch (random_below(r, 5)) {
	case 0:
		world_publish_server(s, "draining");
		break;
	case 1:
		world_publish_server(s, NULL);
		break;
	case 2:
		world_publish_server(s, "ready");
		break;
	case 3:
		s->work_ms = random_below(r, 3) ? 2 : 60 + random_below(r, 300);
		break;
	default:
		s->fault = (server_fault_t)random_below(
			r, r->silence ? FAULT_MAX : FAULT_CUT_HEAD);
		s->faulty_requests = 1 + random_below(r, 6);
		break;
	}
}

/* Pauses, kills, stops or reloads a random daemon. */
static void daemon_event(run_t *r)
{
	unsigned i = random_below(r, r->ndaemons), j;

	/* Only one daemon is paused at a time, so that others can serve. */
	for (j = 0; j < r->ndaemons; j++)
		if (r->resume_at[j])
			return;
	if (r->stopping[i])
		return;
	switch (random_below(r, 4)) {
	case 0:
		r->epoch[i]++;
		kill(r->daemons[i]->pid, SIGSTOP);
		r->resume_at[i] = standin_now() +
				  (50 + random_below(r, 500)) * USEC_PER_MSEC;
		break;
	case 1:
		r->epoch[i]++;
		kill(r->daemons[i]->pid, SIGKILL);
		break;
	case 2:
		r->stopping[i] = true;
		world_signal(r->daemons[i], SIGTERM);
		break;
	default:
		world_signal(r->daemons[i], SIGHUP);
		break;
	}
}

/* Resumes paused daemons that are due and restarts those that have ended. */
static void supervise_daemons(run_t *r)
{
	int status;
	unsigned i;

	for (i = 0; i < r->ndaemons; i++) {
		if (r->resume_at[i] && standin_now() >= r->resume_at[i]) {
			kill(r->daemons[i]->pid, SIGCONT);
			r->epoch[i]++;
			r->resume_at[i] = 0;
		}
		if (waitpid(r->daemons[i]->pid, &status, WNOHANG) !=
		    r->daemons[i]->pid)
			continue;
		if (!WIFSIGNALED(status) && WEXITSTATUS(status)) {
			printf("exit status %d, stopping %d\n",
			       WEXITSTATUS(status), r->stopping[i]);
			fail(r, "a daemon exited with an error",
			     r->daemons[i]->name);
		}
		if (WIFSIGNALED(status) && WTERMSIG(status) != SIGKILL)
			fail(r, "a daemon crashed", r->daemons[i]->name);
		r->stopping[i] = false;
		r->epoch[i]++;
		world_restart(r->daemons[i]);
	}
}

/* Makes the proxy of the store or of a server pass or disturb connections. */
static void proxy_event(run_t *r)
{
	GPtrArray *all = r->w->proxies;

	world_proxy_set(all->pdata[random_below(r, all->len)],
			random_below(r, 2) ? WORLD_PROXY_PASS
					   : (world_proxy_mode_t)random_below(
						     r, WORLD_PROXY_MODES));
	/* A daemon may be unable to reach the store, and thus miss changes. */
	r->w->store_reachable_since = standin_now();
}

/* Makes the store swallow requests, mostly just after a change that ended the
 * watches of all daemons, or answer again. */
static void silence_event(run_t *r)
{
	if (random_below(r, 3))
		world_put(r->w, "op/other", "a change ends the watches");
	r->w->store_silent = random_below(r, 2);
	r->w->store_reachable_since = standin_now();
}

/* Evacuates a data centre, or ends its evacuation. */
static void evacuate_event(run_t *r)
{
	static const char *const dcs[] = { "x", "y", "none" };
	const char *dc = dcs[random_below(r, 3)];

	world_evacuate(r->w, dc, random_below(r, 2));
}

/* Replaces the store by a copy that is up to 20 writes old. */
static void restore_event(run_t *r)
{
	uint64_t lost = random_below(r, 20);

	if (r->w->revision > lost)
		world_restore_rewritten(r->w, r->w->revision - lost);
	r->w->store_reachable_since = standin_now();
}

/* Changes what a random server says of its load, and how long it is cold. */
static void report_event(run_t *r)
{
	static const char *const loads[] = {
		"", "0,0,3", "3,40,3,900", "1,0,3,20", "x", "0,0,3|3,9,3",
	};
	static const char *const lefts[] = { "", "0", "1500", "-1" };
	world_server_t *s =
		r->w->servers->pdata[random_below(r, r->w->servers->len)];

	g_strlcpy(s->load, loads[random_below(r, G_N_ELEMENTS(loads))],
		  sizeof(s->load));
	g_strlcpy(s->warmup_left, lefts[random_below(r, G_N_ELEMENTS(lefts))],
		  sizeof(s->warmup_left));
}

static void end_evacuations(run_t *r)
{
	world_evacuate(r->w, "x", false);
	world_evacuate(r->w, "y", false);
	world_evacuate(r->w, "none", false);
}

static void random_event(run_t *r)
{
	unsigned nproxy = r->w->use_proxies ? 6 : 0;
	unsigned n = random_below(r, 21 + nproxy + (r->silence ? 2 : 0));

	/* Drawn apart, so that the seeds of known failures stay theirs. */
	if (r->restore && random_below(r, 20) == 0)
		restore_event(r);
	if (r->reports && random_below(r, 4) == 0)
		report_event(r);
	if (n < 12) {
		server_event(r);
	} else if (n < 16) {
		daemon_event(r);
	} else if (n < 18) {
		r->has_route_one = !r->has_route_one;
		publish_config(r);
	} else if (n < 20) {
		r->w->store_down = random_below(r, 2);
		r->w->store_reachable_since = standin_now();
	} else if (n < 20 + nproxy) {
		proxy_event(r);
	} else if (n < 21 + nproxy) {
		evacuate_event(r);
	} else {
		silence_event(r);
	}
	if (r->w->store_down || r->w->store_silent)
		r->w->store_reachable_since = standin_now();
	supervise_daemons(r);
}

static void run_supervised(run_t *r, unsigned ms)
{
	unsigned i;

	for (i = 0; i < ms / EVENT_PERIOD_MS; i++) {
		world_run_loop(r->w, EVENT_PERIOD_MS);
		supervise_daemons(r);
	}
}

/* The last fault: a change ends the watches of all daemons, and the store
 * swallows the next ones. Before that, daemons that stop or are paused return:
 * such a daemon reads the store and tells the others. */
static void lose_watches(run_t *r)
{
	r->w->store_silent = false;
	run_supervised(r, SETTLE_MS);
	world_put(r->w, "op/other", "a change ends the watches");
	world_run_loop(r->w, EVENT_PERIOD_MS);
	r->w->store_silent = true;
	run_supervised(r, SILENCE_MS);
}

/*
 * Checks that draining servers, and those of an evacuated data centre, receive
 * no new requests once daemons have had time to apply that state, while all
 * daemons reach the store. During the faults the store is never reachable for
 * long enough to check this.
 */
static void check_drain(run_t *r)
{
	guint j;

	r->w->store_down = false;
	for (j = 0; j < r->w->proxies->len; j++)
		world_proxy_set(r->w->proxies->pdata[j], WORLD_PROXY_PASS);
	if (r->silence)
		lose_watches(r);
	r->w->store_silent = false;
	r->w->store_reachable_since = standin_now();
	end_evacuations(r);
	/* One server of each service drains, one is evacuated, and the last one
	 * serves the requests. */
	world_evacuate(r->w, "x", true);
	for (j = 0; j < r->w->servers->len; j++) {
		world_server_t *s = r->w->servers->pdata[j];

		s->faulty_requests = 0;
		s->work_ms = 2;
		world_publish_server(s, j >= 4 ? "draining" : "ready");
	}
	run_supervised(r, DRAIN_CHECK_MS);
	for (j = 0; j < r->w->servers->len; j++) {
		world_server_t *s = r->w->servers->pdata[j];

		if (s->runs_after_drain)
			fail(r, "new work long after it drained", s->id);
		if (s->runs_after_evacuation)
			fail(r, "new work long after its evacuation", s->id);
	}
}

/*
 * Checks after the last fault: every daemon serves with the newest
 * configuration, no request that was answered "not run" ran, and none on a
 * non-idempotent route ran twice.
 */
static void check_end(run_t *r)
{
	world_answer_t a;
	unsigned i;
	guint j;
	GHashTableIter it;
	gpointer id, n;
	char want[64];

	r->w->store_down = false;
	r->w->store_silent = false;
	for (j = 0; j < r->w->proxies->len; j++)
		world_proxy_set(r->w->proxies->pdata[j], WORLD_PROXY_PASS);
	end_evacuations(r);
	r->has_route_one = true;
	publish_config(r);
	for (j = 0; j < r->w->servers->len; j++) {
		world_server_t *s = r->w->servers->pdata[j];

		s->faulty_requests = 0;
		s->work_ms = 2;
		world_publish_server(s, "ready");
	}
	run_supervised(r, RECOVERY_MS);
	r->finished = true;
	world_run_loop(r->w, ANSWER_LIMIT_MS);
	snprintf(want, sizeof(want), "geraniumslip_configuration_version %u\n",
		 r->version);
	for (i = 0; i < r->ndaemons; i++) {
		if (!world_wait_ready(r->w, r->daemons[i], true,
				      READY_LIMIT_MS))
			fail(r, "not ready in the end", r->daemons[i]->name);
		world_request(r->w, r->daemons[i]->listen,
			      "GET /one/x HTTP/1.1\r\nHost: h\r\n"
			      "Request-Id: end\r\n\r\n",
			      ANSWER_LIMIT_MS, &a);
		if (a.status != 200)
			fail(r, "does not serve in the end",
			     r->daemons[i]->name);
		g_string_free(a.body, TRUE);
		world_request(r->w, r->daemons[i]->admin,
			      "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n",
			      ANSWER_LIMIT_MS, &a);
		if (!strstr(a.body->str, want))
			fail(r, "not the newest version", r->daemons[i]->name);
		g_string_free(a.body, TRUE);
	}
	g_hash_table_iter_init(&it, r->not_run);
	while (g_hash_table_iter_next(&it, &id, NULL))
		if (world_run_count(r->w, id))
			fail(r, "answered not run, but ran", id);
	g_hash_table_iter_init(&it, r->w->runs);
	while (g_hash_table_iter_next(&it, &id, &n))
		if (GPOINTER_TO_UINT(n) > 1 &&
		    g_hash_table_contains(r->w->non_idempotent_ids, id))
			fail(r, "ran twice", id);
}

typedef struct options {
	gint first_seed;
	gint seed_count;
	gint fault_ms; /* time with faults, of each seed */
	gint daemons;
	gboolean proxies;
	gboolean silence;
	gboolean restore;
	gboolean reports;
	gchar *protocol; /* how stand-ins encode messages: platform or own */
} options_t;

static unsigned run_seed(uint64_t seed, const options_t *o)
{
	run_t r = { .w = world_new(o->protocol),
		    .ndaemons = (unsigned)o->daemons,
		    .rng = { seed },
		    .has_route_one = true };
	usec_t until;
	unsigned i;

	r.w->use_proxies = o->proxies;
	r.silence = o->silence;
	r.restore = o->restore;
	r.reports = o->reports;
	r.not_run =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	publish_config(&r);
	for (i = 0; i < 3; i++) {
		world_start_server(r.w, "a", i ? "y" : "x");
		world_start_server(r.w, "b", i ? "y" : "x");
	}
	for (i = 0; i < r.ndaemons; i++)
		r.daemons[i] = world_start_daemon(r.w, i ? "x" : "y");
	for (i = 0; i < r.ndaemons; i++)
		if (!world_wait_ready(r.w, r.daemons[i], true, READY_LIMIT_MS))
			fail(&r, "not ready at the start", r.daemons[i]->name);
	for (i = 0; i < r.ndaemons * CALLERS_PER_DAEMON; i++) {
		caller_t *c = &r.callers[i];

		c->r = &r;
		http_msg_init(&c->msg, HTTP_RESPONSE);
		c->timer = evtimer_new(r.w->base, on_timer, c);
		send_next(c);
	}
	until = standin_now() + o->fault_ms * USEC_PER_MSEC;
	while (standin_now() < until) {
		world_run_loop(r.w, EVENT_PERIOD_MS);
		random_event(&r);
	}
	check_drain(&r);
	check_end(&r);
	for (i = 0; i < r.ndaemons * CALLERS_PER_DAEMON; i++) {
		disconnect(&r.callers[i]);
		event_free(r.callers[i].timer);
		http_msg_clear(&r.callers[i].msg);
	}
	printf("seed %llu: %llu asked, %llu answered, %u broken\n",
	       (unsigned long long)seed, (unsigned long long)r.sent,
	       (unsigned long long)r.answered, r.failures);
	if (r.failures)
		world_keep_logs(r.w);
	g_hash_table_destroy(r.not_run);
	world_free(r.w);
	return r.failures;
}

int main(int argc, char **argv)
{
	options_t o = {
		.first_seed = 1, .seed_count = 1, .fault_ms = 5000, .daemons = 3
	};
	const GOptionEntry entries[] = {
		{ "seed", 's', 0, G_OPTION_ARG_INT, &o.first_seed, "First seed",
		  "N" },
		{ "count", 'c', 0, G_OPTION_ARG_INT, &o.seed_count,
		  "Number of seeds to run", "N" },
		{ "ms", 'm', 0, G_OPTION_ARG_INT, &o.fault_ms,
		  "Time with faults for each seed", "MS" },
		{ "daemons", 'd', 0, G_OPTION_ARG_INT, &o.daemons,
		  "Number of daemons, 1 to 140", "N" },
		{ "proxies", 'p', 0, G_OPTION_ARG_NONE, &o.proxies,
		  "Disturb connections to the store and to servers", NULL },
		{ "silence", 0, 0, G_OPTION_ARG_NONE, &o.silence,
		  "Let the store swallow requests, and servers break off in "
		  "the "
		  "head of an answer or never end one",
		  NULL },
		{ "restore", 0, 0, G_OPTION_ARG_NONE, &o.restore,
		  "Restore the store from copies of it", NULL },
		{ "reports", 0, 0, G_OPTION_ARG_NONE, &o.reports,
		  "Let servers report loads and that they are cold", NULL },
		{ "speech", 0, 0, G_OPTION_ARG_STRING, &o.protocol,
		  "Protocol of the stand-ins: platform or own", "NAME" },
		G_OPTION_ENTRY_NULL
	};
	GOptionContext *ctx = g_option_context_new(NULL);
	unsigned failures = 0;
	gint i;

	g_option_context_add_main_entries(ctx, entries, NULL);
	if (!g_option_context_parse(ctx, &argc, &argv, NULL))
		return EXIT_FAILURE;
	g_option_context_free(ctx);
	if (!o.protocol)
		o.protocol = g_strdup("platform");
	if (!world_protocol(o.protocol) || o.daemons < 1 ||
	    o.daemons > MAX_DAEMONS) {
		fputs("soak: unknown --speech, or --daemons not 1..140\n",
		      stderr);
		return EXIT_FAILURE;
	}
	setvbuf(stdout, NULL, _IOLBF, 0);
	for (i = 0; i < o.seed_count; i++)
		failures += run_seed((uint64_t)o.first_seed + (uint64_t)i, &o);
	g_free(o.protocol);
	return failures ? EXIT_FAILURE : EXIT_SUCCESS;
}
