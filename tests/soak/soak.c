/**
 * @file soak.c
 * A randomized run of real daemons against stand-ins: callers ask all the
 * time while servers fail, come and go, configurations change, the store goes
 * away and daemons are paused, killed, stopped, reloaded and started again.
 * What callers and servers see is checked all along. The order of faults
 * follows from the seed.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#include "standin.h"
#include "world.h"

/* Each has a connection to each, from a port of its own: 160 use up the ports
 * of one address. */
#define MAX_DAEMONS 140
#define MAX_CALLERS 560
#define CALLERS_PER_DAEMON 4
#define STEP_MS 40 /* between two faults */
/* Past the time after which a draining server gets nothing new. */
#define DRAIN_WATCH_MS 5000
#define QUIET_MS 4000  /* at the end, for all to be well again */
#define ANSWER_MS 1300 /* the routes' deadline, and slack for the machine */
#define READY_MS 4000

typedef struct run run_t;

/* A caller that asks one request after the other. */
typedef struct asker {
	run_t *r;
	struct bufferevent *bev;
	http_msg_t msg;
	struct event *timer;
	usec_t began;
	unsigned daemon;
	unsigned epoch; /* of the daemon, when it was asked */
	char id[24];
	char path[8];
} asker_t;

struct run {
	world_t *w;
	unsigned ndaemons;
	rng_t rng;
	world_daemon_t *d[MAX_DAEMONS];
	unsigned epoch[MAX_DAEMONS]; /* rises with each fault of the daemon */
	usec_t resume[MAX_DAEMONS];  /* a paused one goes on then; 0: runs */
	bool stopping[MAX_DAEMONS];
	asker_t askers[MAX_CALLERS];
	GHashTable *refused; /* ids that were told not to have run */
	unsigned version;
	bool has_one;
	bool over; /* no new requests */
	uint64_t asked;
	uint64_t answered;
	unsigned faults;
};

static void ask_next(asker_t *k);

static void broken(run_t *r, const char *what, const char *id)
{
	printf("broken: %s (request %s)\n", what, id);
	r->faults++;
}

static unsigned roll(run_t *r, unsigned n)
{
	return (unsigned)rng_below(&r->rng, n);
}

static void put_conf(run_t *r)
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
	if (r->has_one) {
		g_string_append_c(text, ',');
		g_string_append_printf(text, route, "one", "one", "idempotent",
				       "\"service\":\"b\"");
	}
	g_string_append(
		text, "],\"services\":[{\"name\":\"a\",\"maxConnections\":"
		      "40},{\"name\":\"b\",\"maxConnections\":40}],"
		      "\"limits\":{\"maxHeaderBytes\":4000,\"maxBodyBytes\":"
		      "4000,\"headerTimeoutMs\":1000,\"idleTimeoutMs\":5000}}");
	world_put_config(r->w, text->str);
	g_string_free(text, TRUE);
}

/* Distinct parts, each of this request, and the right number of them. */
static void check_merged(asker_t *k)
{
	const outside_t *o = k->r->w->outside;
	char stamps[256], missing[16], tail[32];
	char **parts;
	guint n, i;

	str_copy(stamps, sizeof(stamps),
		 http_msg_get(&k->msg, o->headers[OUTSIDE_STAMPS]));
	str_copy(missing, sizeof(missing),
		 http_msg_get(&k->msg, o->headers[OUTSIDE_MISSING]));
	snprintf(tail, sizeof(tail), ".%s", k->id);
	parts = g_strsplit(stamps, ", ", -1);
	n = g_strv_length(parts);
	for (i = 0; i < n; i++)
		if (!g_str_has_suffix(parts[i], tail))
			broken(k->r, "a part of another request", k->id);
	if (n == 2 && parts[0][2] == parts[1][2])
		broken(k->r, "two parts of one shard", k->id);
	if (n == 0 || n + strtoul(missing, NULL, 10) != 2)
		broken(k->r, "wrong coverage", k->id);
	if (k->msg.body->len != (n == 2 ? 4 : 3) * 16)
		broken(k->r, "not the greatest records", k->id);
	g_strfreev(parts);
}

static void check_answer(asker_t *k)
{
	unsigned status = k->msg.parser.status_code;
	run_t *r = k->r;

	r->answered++;
	if (status == 503)
		g_hash_table_add(r->refused, g_strdup(k->id));
	if (status == 200 && strcmp(k->path, "all") == 0)
		check_merged(k);
	if (status == 200 && strcmp(k->path, "all") != 0 &&
	    (!str_eq(http_msg_get(&k->msg, r->w->outside->headers[OUTSIDE_ID]),
		     str_of(k->id)) ||
	     k->msg.body->len != 48))
		broken(r, "not its own whole answer", k->id);
	/* A process that was paused or ended meanwhile may be late. */
	if (k->epoch == r->epoch[k->daemon] &&
	    standin_now() - k->began > ANSWER_MS * USEC_PER_MSEC)
		broken(r, "no answer in time", k->id);
}

static void again(asker_t *k)
{
	struct timeval soon = { 0, 5000 };

	if (!k->r->over)
		evtimer_add(k->timer, &soon);
}

static void hang_up(asker_t *k)
{
	if (k->bev)
		bufferevent_free(k->bev);
	k->bev = NULL;
}

static void on_read(struct bufferevent *bev, void *arg)
{
	asker_t *k = arg;

	if (!http_msg_feed(&k->msg, bufferevent_get_input(bev))) {
		broken(k->r, "bytes that are no answer", k->id);
		hang_up(k);
		again(k);
		return;
	}
	if (!k->msg.done)
		return;
	check_answer(k);
	if (!k->msg.keep || roll(k->r, 4) == 0)
		hang_up(k);
	k->began = 0;
	again(k);
}

static void on_event(struct bufferevent *bev, short what, void *arg)
{
	asker_t *k = arg;

	(void)bev;
	if (what & BEV_EVENT_CONNECTED)
		return;
	/* Nothing may be cut but by a kill. */
	if (k->began && k->msg.begun && k->epoch == k->r->epoch[k->daemon])
		broken(k->r, "an answer was cut", k->id);
	hang_up(k);
	k->began = 0;
	again(k);
}

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	ask_next(arg);
}

static void ask_next(asker_t *k)
{
	static const char *const paths[] = { "all", "one", "once" };
	run_t *r = k->r;
	char bytes[256];

	if (!k->bev) {
		k->daemon = roll(r, r->ndaemons);
		k->bev = world_connect(r->w, r->d[k->daemon]->listen);
		bufferevent_setcb(k->bev, on_read, NULL, on_event, k);
	}
	k->epoch = r->epoch[k->daemon];
	k->began = standin_now();
	snprintf(k->path, sizeof(k->path), "%s", paths[roll(r, 3)]);
	snprintf(k->id, sizeof(k->id), "r%llu", (unsigned long long)++r->asked);
	http_msg_reset(&k->msg, HTTP_RESPONSE);
	snprintf(bytes, sizeof(bytes),
		 "GET /%s/x HTTP/1.1\r\nHost: h\r\nRequest-Id: %s"
		 "\r\nDeadline-Ms: 900\r\n\r\n",
		 k->path, k->id);
	world_write(r->w, k->bev, bytes);
}

/* One fault or change, by the dice. */
static void server_event(run_t *r)
{
	world_server_t *s = r->w->servers->pdata[roll(r, r->w->servers->len)];

	switch (roll(r, 5)) {
	case 0:
		world_publish(s, "draining");
		break;
	case 1:
		world_publish(s, NULL);
		break;
	case 2:
		world_publish(s, "ready");
		break;
	case 3:
		s->work_ms = roll(r, 3) ? 2 : 60 + roll(r, 300);
		break;
	default:
		s->fault = (fault_t)roll(r, FAULT_MAX);
		s->nfaults = 1 + roll(r, 6);
		break;
	}
}

static void daemon_event(run_t *r)
{
	unsigned i = roll(r, r->ndaemons), j;

	/* One at a time is paused, so that some serve. */
	for (j = 0; j < r->ndaemons; j++)
		if (r->resume[j])
			return;
	if (r->stopping[i])
		return;
	switch (roll(r, 4)) {
	case 0:
		r->epoch[i]++;
		kill(r->d[i]->pid, SIGSTOP);
		r->resume[i] =
			standin_now() + (50 + roll(r, 500)) * USEC_PER_MSEC;
		break;
	case 1:
		r->epoch[i]++;
		kill(r->d[i]->pid, SIGKILL);
		break;
	case 2:
		r->stopping[i] = true;
		world_signal(r->d[i], SIGTERM);
		break;
	default:
		world_signal(r->d[i], SIGHUP);
		break;
	}
}

static void look_after(run_t *r)
{
	int status;
	unsigned i;

	for (i = 0; i < r->ndaemons; i++) {
		if (r->resume[i] && standin_now() >= r->resume[i]) {
			kill(r->d[i]->pid, SIGCONT);
			r->epoch[i]++;
			r->resume[i] = 0;
		}
		if (waitpid(r->d[i]->pid, &status, WNOHANG) != r->d[i]->pid)
			continue;
		if (!WIFSIGNALED(status) && WEXITSTATUS(status)) {
			printf("status %d, stopping %d\n", WEXITSTATUS(status),
			       r->stopping[i]);
			broken(r, "a daemon ended by itself", r->d[i]->name);
		}
		if (WIFSIGNALED(status) && WTERMSIG(status) != SIGKILL)
			broken(r, "a daemon crashed", r->d[i]->name);
		r->stopping[i] = false;
		r->epoch[i]++;
		world_restart(r->d[i]);
	}
}

/* Connections to the store or a server are harmed, or are well again. */
static void proxy_event(run_t *r)
{
	GPtrArray *all = r->w->proxies;

	world_proxy_set(
		all->pdata[roll(r, all->len)],
		roll(r, 2) ? WORLD_PROXY_PASS
			   : (world_proxy_mode_t)roll(r, WORLD_PROXY_MODES));
	/* Who does not reach the store cannot know what it publishes. */
	r->w->calm_at = standin_now();
}

static void event(run_t *r)
{
	unsigned n = roll(r, r->w->use_proxies ? 26 : 20);

	if (n < 12) {
		server_event(r);
	} else if (n < 16) {
		daemon_event(r);
	} else if (n < 18) {
		r->has_one = !r->has_one;
		put_conf(r);
	} else if (n < 20) {
		r->w->store_down = roll(r, 2);
		r->w->calm_at = standin_now();
	} else {
		proxy_event(r);
	}
	if (r->w->store_down)
		r->w->calm_at = standin_now();
	look_after(r);
}

/*
 * The store is reached by all, and servers drain: after the time in which that
 * must be known they get nothing new. Among faults the store is never calm for
 * long enough to tell.
 */
static void check_drain(run_t *r)
{
	unsigned i;
	guint j;

	r->w->store_down = false;
	for (j = 0; j < r->w->proxies->len; j++)
		world_proxy_set(r->w->proxies->pdata[j], WORLD_PROXY_PASS);
	r->w->calm_at = standin_now();
	/* One of each service; the others take over. */
	for (j = 0; j < r->w->servers->len; j++) {
		world_server_t *s = r->w->servers->pdata[j];

		s->nfaults = 0;
		s->work_ms = 2;
		world_publish(s, j < 2 ? "draining" : "ready");
	}
	for (i = 0; i < DRAIN_WATCH_MS / STEP_MS; i++) {
		world_pass(r->w, STEP_MS);
		look_after(r);
	}
	for (j = 0; j < r->w->servers->len; j++) {
		world_server_t *s = r->w->servers->pdata[j];

		if (s->late_runs)
			broken(r, "new work long after it drained", s->id);
	}
}

/* All is well again: every daemon serves, by the newest version. */
static void check_end(run_t *r)
{
	world_answer_t a;
	unsigned i;
	guint j;
	GHashTableIter it;
	gpointer id, n;
	char want[64];

	r->w->store_down = false;
	for (j = 0; j < r->w->proxies->len; j++)
		world_proxy_set(r->w->proxies->pdata[j], WORLD_PROXY_PASS);
	r->has_one = true;
	put_conf(r);
	for (j = 0; j < r->w->servers->len; j++) {
		world_server_t *s = r->w->servers->pdata[j];

		s->nfaults = 0;
		s->work_ms = 2;
		world_publish(s, "ready");
	}
	for (i = 0; i < QUIET_MS / STEP_MS; i++) {
		world_pass(r->w, STEP_MS);
		look_after(r);
	}
	r->over = true;
	world_pass(r->w, ANSWER_MS);
	snprintf(want, sizeof(want), "geraniumslip_configuration_version %u\n",
		 r->version);
	for (i = 0; i < r->ndaemons; i++) {
		if (!world_wait_ready(r->w, r->d[i], true, READY_MS))
			broken(r, "not ready in the end", r->d[i]->name);
		world_ask(r->w, r->d[i]->listen,
			  "GET /one/x HTTP/1.1\r\nHost: h\r\n"
			  "Request-Id: end\r\n\r\n",
			  ANSWER_MS, &a);
		if (a.status != 200)
			broken(r, "does not serve in the end", r->d[i]->name);
		g_string_free(a.body, TRUE);
		world_ask(r->w, r->d[i]->admin,
			  "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n", ANSWER_MS,
			  &a);
		if (!strstr(a.body->str, want))
			broken(r, "not the newest version", r->d[i]->name);
		g_string_free(a.body, TRUE);
	}
	g_hash_table_iter_init(&it, r->refused);
	while (g_hash_table_iter_next(&it, &id, NULL))
		if (world_runs(r->w, id))
			broken(r, "told not run, and ran", id);
	g_hash_table_iter_init(&it, r->w->runs);
	while (g_hash_table_iter_next(&it, &id, &n))
		if (GPOINTER_TO_UINT(n) > 1 &&
		    g_hash_table_contains(r->w->once, id))
			broken(r, "ran twice", id);
}

/* What the command line asks for. */
typedef struct options {
	gint first;
	gint count;
	gint ms;
	gint daemons;
	gboolean proxies;
	gchar *speech;
} options_t;

static unsigned soak(uint64_t seed, const options_t *o)
{
	run_t r = { .w = world_new(o->speech),
		    .ndaemons = (unsigned)o->daemons,
		    .rng = { seed },
		    .has_one = true };
	usec_t until;
	unsigned i;

	r.w->use_proxies = o->proxies;
	r.refused =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	put_conf(&r);
	for (i = 0; i < 3; i++) {
		world_server(r.w, "a", i ? "y" : "x");
		world_server(r.w, "b", i ? "y" : "x");
	}
	for (i = 0; i < r.ndaemons; i++)
		r.d[i] = world_daemon(r.w, i ? "x" : "y");
	for (i = 0; i < r.ndaemons; i++)
		if (!world_wait_ready(r.w, r.d[i], true, READY_MS))
			broken(&r, "not ready at the start", r.d[i]->name);
	for (i = 0; i < r.ndaemons * CALLERS_PER_DAEMON; i++) {
		asker_t *k = &r.askers[i];

		k->r = &r;
		http_msg_init(&k->msg, HTTP_RESPONSE);
		k->timer = evtimer_new(r.w->base, on_timer, k);
		ask_next(k);
	}
	until = standin_now() + o->ms * USEC_PER_MSEC;
	while (standin_now() < until) {
		world_pass(r.w, STEP_MS);
		event(&r);
	}
	check_drain(&r);
	check_end(&r);
	for (i = 0; i < r.ndaemons * CALLERS_PER_DAEMON; i++) {
		hang_up(&r.askers[i]);
		event_free(r.askers[i].timer);
		http_msg_clear(&r.askers[i].msg);
	}
	printf("seed %llu: %llu asked, %llu answered, %u broken\n",
	       (unsigned long long)seed, (unsigned long long)r.asked,
	       (unsigned long long)r.answered, r.faults);
	if (r.faults)
		world_keep_logs(r.w);
	g_hash_table_destroy(r.refused);
	world_free(r.w);
	return r.faults;
}

int main(int argc, char **argv)
{
	options_t o = { .first = 1, .count = 1, .ms = 5000, .daemons = 3 };
	const GOptionEntry entries[] = {
		{ "seed", 's', 0, G_OPTION_ARG_INT, &o.first, "First seed",
		  "N" },
		{ "count", 'c', 0, G_OPTION_ARG_INT, &o.count, "Seeds to play",
		  "N" },
		{ "ms", 'm', 0, G_OPTION_ARG_INT, &o.ms,
		  "Time with faults, of each seed", "MS" },
		{ "daemons", 'd', 0, G_OPTION_ARG_INT, &o.daemons,
		  "Daemons that run, 1 to 140", "N" },
		{ "proxies", 'p', 0, G_OPTION_ARG_NONE, &o.proxies,
		  "Harm connections to the store and to servers", NULL },
		{ "speech", 0, 0, G_OPTION_ARG_STRING, &o.speech,
		  "How stand-ins speak: platform or own", "NAME" },
		G_OPTION_ENTRY_NULL
	};
	GOptionContext *ctx = g_option_context_new(NULL);
	unsigned faults = 0;
	gint i;

	g_option_context_add_main_entries(ctx, entries, NULL);
	if (!g_option_context_parse(ctx, &argc, &argv, NULL))
		return EXIT_FAILURE;
	g_option_context_free(ctx);
	if (!o.speech)
		o.speech = g_strdup("platform");
	if (!world_speech(o.speech) || o.daemons < 1 ||
	    o.daemons > MAX_DAEMONS) {
		fputs("soak: no such way of speaking, or bad --daemons\n",
		      stderr);
		return EXIT_FAILURE;
	}
	setvbuf(stdout, NULL, _IOLBF, 0);
	for (i = 0; i < o.count; i++)
		faults += soak((uint64_t)o.first + (uint64_t)i, &o);
	g_free(o.speech);
	return faults ? EXIT_FAILURE : EXIT_SUCCESS;
}
