/**
 * @file edge_main.c
 * Tests of the routed path with a daemon as a process, against stand-ins.
 */
#include <CUnit/Basic.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#include "standin.h"
#include "world.h"

#define READY_MS 3000
#define ASK_MS 3000

/* Routes of host h: /all/ over a and b, /one/ and /once/ to a. */
#define CONF_HEAD "\"routes\":["
#define CONF_ALL                                                               \
	"{\"name\":\"all\",\"host\":\"h\",\"prefix\":\"/all/\","               \
	"\"routeType\":\"idempotent\",\"timeoutMs\":1000,"                     \
	"\"targetLatencyMs\":300,\"priority\":1,\"gather\":[\"a\",\"b\"],"     \
	"\"maxAttempts\":2,\"topK\":4,\"oldestVersion\":0.5}"
#define CONF_ONE                                                               \
	",{\"name\":\"one\",\"host\":\"h\",\"prefix\":\"/one/\","              \
	"\"routeType\":\"idempotent\",\"timeoutMs\":1000,"                     \
	"\"targetLatencyMs\":300,\"priority\":1,\"service\":\"a\","            \
	"\"maxAttempts\":2}"
#define CONF_ONCE                                                              \
	",{\"name\":\"once\",\"host\":\"h\",\"prefix\":\"/once/\","            \
	"\"routeType\":\"non_idempotent\",\"timeoutMs\":1000,"                 \
	"\"targetLatencyMs\":300,\"priority\":1,\"service\":\"a\","            \
	"\"maxAttempts\":2}"
#define CONF_TAIL                                                              \
	"],\"services\":[{\"name\":\"a\",\"maxConnections\":30},"              \
	"{\"name\":\"b\",\"maxConnections\":30}],"                             \
	"\"limits\":{\"maxHeaderBytes\":1000,\"maxBodyBytes\":1000,"           \
	"\"headerTimeoutMs\":300,\"idleTimeoutMs\":5000}}"

#define HEAD(path, id)                                                         \
	"GET " path " HTTP/1.1\r\nHost: h\r\nRequest-Id: " id                  \
	"\r\nDeadline-Ms: 1000\r\n"
#define GET(path, id)                                                          \
	"GET " path " HTTP/1.1\r\nHost: h\r\nRequest-Id: " id                  \
	"\r\nDeadline-Ms: 1000\r\n\r\n"

/* The way of speaking of the suite that runs. */
static const char *speech;

/* One daemon, two servers of a, one of b. */
typedef struct rig {
	world_t *w;
	world_daemon_t *d;
	world_server_t *a[2];
	world_server_t *b;
} rig_t;

static void put_conf(world_t *w, const char *rest, unsigned version)
{
	char *text = g_strdup_printf("{\"version\":%u,%s", version, rest);

	world_put_config(w, text);
	g_free(text);
}

static rig_t rig_new(void)
{
	rig_t r = { .w = world_new(speech) };

	put_conf(r.w, CONF_HEAD CONF_ALL CONF_ONE CONF_ONCE CONF_TAIL, 3);
	r.a[0] = world_server(r.w, "a", "x");
	r.a[1] = world_server(r.w, "a", "y");
	r.b = world_server(r.w, "b", "x");
	r.d = world_daemon(r.w, "x");
	CU_ASSERT_FATAL(world_wait_ready(r.w, r.d, true, READY_MS));
	return r;
}

static void clear(world_answer_t *a)
{
	g_string_free(a->body, TRUE);
	a->body = NULL;
}

/* Asks and gives the status; the rest of the answer is dropped. */
static unsigned status_of(rig_t *r, const char *bytes)
{
	world_answer_t a;
	unsigned status;

	world_ask(r->w, r->d->listen, bytes, ASK_MS, &a);
	status = a.status;
	clear(&a);
	return status;
}

static void test_path(void)
{
	rig_t r = rig_new();
	world_answer_t a;

	world_ask(r.w, r.d->listen, GET("/all/x?y=1", "q1"), ASK_MS, &a);
	CU_ASSERT_EQUAL(a.status, 200);
	CU_ASSERT_EQUAL(a.missing, 0);
	CU_ASSERT_STRING_EQUAL(a.stamps, "i-a-0.q1, i-b-2.q1");
	CU_ASSERT_EQUAL(a.body->len, 64);
	CU_ASSERT_EQUAL(memcmp(a.body->str, "9i-b", 4), 0);
	CU_ASSERT_EQUAL(memcmp(a.body->str + 16, "9i-a", 4), 0);
	CU_ASSERT_EQUAL(memcmp(a.body->str + 32, "5i-b", 4), 0);
	clear(&a);
	world_ask(r.w, r.d->listen, GET("/one/x", "q2"), ASK_MS, &a);
	CU_ASSERT_EQUAL(a.status, 200);
	CU_ASSERT_EQUAL(a.body->len, 48);
	clear(&a);
	world_free(r.w);
}

/* Each fault of a server on each kind of route. */
static void test_faults(void)
{
	static const struct {
		fault_t fault;
		const char *path;
		unsigned status;
		unsigned runs;
	} cases[] = {
		{ FAULT_NO_LENGTH, "/one/", 200, 1 },
		{ FAULT_NO_LENGTH, "/once/", 200, 1 },
		{ FAULT_CUT, "/one/", 200, 2 },
		{ FAULT_CUT, "/once/", 502, 1 },
		{ FAULT_EXTRA, "/one/", 200, 1 },
		{ FAULT_EXTRA, "/once/", 200, 1 },
		{ FAULT_STRAY, "/one/", 200, 1 },
		{ FAULT_STRAY, "/once/", 200, 1 },
		{ FAULT_LATE_SECOND, "/one/", 200, 1 },
		{ FAULT_RESET, "/one/", 200, 2 },
		{ FAULT_RESET, "/once/", 502, 1 },
		{ FAULT_SILENT, "/one/", 200, 2 },
		{ FAULT_SILENT, "/once/", 504, 1 },
		{ FAULT_REFUSE, "/one/", 200, 1 },
		{ FAULT_REFUSE, "/once/", 200, 1 },
		{ FAULT_ERROR, "/one/", 200, 2 },
		{ FAULT_ERROR, "/once/", 500, 1 },
		{ FAULT_OTHER, "/one/", 200, 1 },
		{ FAULT_OTHER, "/once/", 200, 1 },
	};
	char bytes[256], id[32];
	unsigned status;
	size_t i, j;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		rig_t r = rig_new();

		r.a[0]->fault = cases[i].fault;
		r.a[0]->nfaults = 1;
		snprintf(id, sizeof(id), "f%zu", i);
		snprintf(bytes, sizeof(bytes),
			 "GET %sx HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\n"
			 "Deadline-Ms: 900\r\n\r\n",
			 cases[i].path, id);
		status = status_of(&r, bytes);
		if (status != cases[i].status ||
		    world_runs(r.w, id) != cases[i].runs)
			printf("\n  case %zu: status %u, runs %u\n", i, status,
			       world_runs(r.w, id));
		CU_ASSERT_EQUAL(status, cases[i].status);
		CU_ASSERT_EQUAL(world_runs(r.w, id), cases[i].runs);
		/* What comes after a fault is whole and its own. */
		world_pass(r.w, 100);
		for (j = 0; j < 3; j++)
			CU_ASSERT_EQUAL(status_of(&r, GET("/all/x", "after")),
					200);
		world_free(r.w);
	}
}

/* What a caller may not send, and what it may. */
static void test_callers(void)
{
	static const struct {
		const char *bytes;
		unsigned status;
	} cases[] = {
		{ "GET /one/ HTTP/1.1\r\nRequest-Id: c\r\n\r\n", 400 },
		{ "nonsense\r\n\r\n", 400 },
		{ HEAD("/one/", "c") "Transfer-Encoding: chunked\r\n"
				     "Content-Length: 3\r\n\r\n0\r\n\r\n",
		  400 },
		{ "GET /one/ HTTP/1.1\r\nHost: h\r\nRequest-Id: c\r\n"
		  "Deadline-Ms: soon\r\n\r\n",
		  400 },
		{ HEAD("/one/", "c") "Content-Length: 1001\r\n\r\n", 413 },
		{ HEAD("/one/", "c") "Content-Length: 3\r\n\r\nabc", 200 },
		{ HEAD("/one/", "c") "Transfer-Encoding: chunked\r\n\r\n"
				     "3\r\nabc\r\n0\r\n\r\n",
		  200 },
		{ GET("/nowhere/", "c"), 404 },
		{ "GET /one/ HTTP/1.1\r\nHost: H:80\r\nRequest-Id: c\r\n\r\n",
		  200 },
		{ HEAD("/one/", "c"), 408 }, /* the rest never comes */
	};
	GString *large = g_string_new(HEAD("/one/", "c") "X: ");
	rig_t r = rig_new();
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		CU_ASSERT_EQUAL(status_of(&r, cases[i].bytes), cases[i].status);
	for (i = 0; i < 1000; i++)
		g_string_append_c(large, 'x');
	g_string_append(large, "\r\n\r\n");
	CU_ASSERT_EQUAL(status_of(&r, large->str), 431);
	g_string_free(large, TRUE);
	world_free(r.w);
}

/* Requests sent ahead on one connection get their answers in order. */
static void test_pipeline(void)
{
	rig_t r = rig_new();
	struct bufferevent *bev = world_connect(r.w, r.d->listen);
	static const char *const want[] = { "i-a-0.p1, i-b-2.p1",
					    "i-a-0.p2, i-b-2.p2" };
	world_answer_t a;
	size_t i;

	for (i = 0; i < 2; i++) {
		world_ask_on(r.w, bev,
			     i ? "" : GET("/all/x", "p1") GET("/all/x", "p2"),
			     ASK_MS, &a);
		CU_ASSERT_EQUAL(a.status, 200);
		CU_ASSERT_STRING_EQUAL(a.stamps, want[i]);
		clear(&a);
	}
	bufferevent_free(bev);
	world_free(r.w);
}

/* A caller that leaves: its servers' connections are closed at once. */
static void test_caller_leaves(void)
{
	rig_t r = rig_new();
	struct bufferevent *bev;

	r.a[0]->work_ms = 500;
	r.b->work_ms = 500;
	bev = world_connect(r.w, r.d->listen);
	world_write(r.w, bev, GET("/all/x", "gone"));
	world_pass(r.w, 100);
	bufferevent_free(bev);
	world_pass(r.w, 150);
	CU_ASSERT_EQUAL(r.a[0]->broken, 1);
	CU_ASSERT_EQUAL(r.b->broken, 1);
	CU_ASSERT_EQUAL(world_runs(r.w, "gone"), 0);
	world_free(r.w);
}

/* A new version is in force in time; an older one never is again. */
static void test_configuration(void)
{
	rig_t r = rig_new();

	CU_ASSERT_EQUAL(status_of(&r, GET("/one/x", "v")), 200);
	put_conf(r.w, CONF_HEAD CONF_ALL CONF_TAIL, 9);
	world_pass(r.w, 1500);
	CU_ASSERT_EQUAL(status_of(&r, GET("/one/x", "v")), 404);
	put_conf(r.w, CONF_HEAD CONF_ALL CONF_ONE CONF_TAIL, 8);
	world_put_config(r.w, "{\"version\":10,");
	world_put(r.w, "servers/i-junk", "not an entry");
	world_pass(r.w, 1500);
	CU_ASSERT_EQUAL(status_of(&r, GET("/one/x", "v")), 404);
	CU_ASSERT_EQUAL(status_of(&r, GET("/all/x", "v")), 200);
	world_free(r.w);
}

/* A server that leaves gets nothing new; a new one gets work. */
static void test_servers_change(void)
{
	rig_t r = rig_new();
	unsigned before;
	size_t i;

	CU_ASSERT_EQUAL(status_of(&r, GET("/one/x", "s")), 200);
	world_publish(r.a[0], "draining");
	world_pass(r.w, 1500);
	before = r.a[0]->runs;
	for (i = 0; i < 5; i++)
		CU_ASSERT_EQUAL(status_of(&r, GET("/one/x", "s")), 200);
	CU_ASSERT_EQUAL(r.a[0]->runs, before);
	world_publish(r.a[1], NULL);
	world_pass(r.w, 1500);
	CU_ASSERT_EQUAL(status_of(&r, GET("/one/x", "s")), 503);
	world_server(r.w, "a", "x");
	world_pass(r.w, 1500);
	CU_ASSERT_EQUAL(status_of(&r, GET("/one/x", "s")), 200);
	world_free(r.w);
}

/* The store is away: what is known goes on; a daemon that starts meanwhile
 * learns it from the other. */
static void test_store_away(void)
{
	rig_t r = rig_new();
	world_daemon_t *late;
	world_answer_t a;

	r.w->store_down = true;
	world_pass(r.w, 300);
	CU_ASSERT_EQUAL(status_of(&r, GET("/all/x", "d")), 200);
	late = world_daemon(r.w, "x");
	CU_ASSERT(world_wait_ready(r.w, late, true, READY_MS));
	world_ask(r.w, late->listen, GET("/all/x", "d2"), ASK_MS, &a);
	CU_ASSERT_EQUAL(a.status, 200);
	clear(&a);
	world_free(r.w);
}

/* Without a configuration: not ready, and nothing is said to be missing. */
static void test_no_configuration(void)
{
	rig_t r = { .w = world_new(speech) };

	r.d = world_daemon(r.w, "x");
	world_pass(r.w, 300);
	CU_ASSERT_FALSE(world_wait_ready(r.w, r.d, true, 200));
	CU_ASSERT_EQUAL(status_of(&r, GET("/one/x", "n")), 503);
	world_free(r.w);
}

/* A planned stop cuts nothing: what is open ends, callers are sent away. */
static void test_stop(void)
{
	rig_t r = rig_new();
	struct bufferevent *bev = world_connect(r.w, r.d->listen);
	world_answer_t a;
	int status = 0;

	r.a[0]->work_ms = 250;
	r.a[1]->work_ms = 250;
	world_write(r.w, bev, GET("/once/x", "stop"));
	world_pass(r.w, 80);
	kill(r.d->pid, SIGTERM);
	CU_ASSERT(world_wait_ready(r.w, r.d, false, 500));
	world_ask_on(r.w, bev, "", ASK_MS, &a);
	CU_ASSERT_EQUAL(a.status, 200);
	CU_ASSERT_EQUAL(world_runs(r.w, "stop"), 1);
	clear(&a);
	bufferevent_free(bev);
	/* The balancer lags: what still comes is served. */
	CU_ASSERT_EQUAL(status_of(&r, GET("/once/x", "lag")), 200);
	world_pass(r.w, 1200);
	CU_ASSERT_EQUAL(waitpid(r.d->pid, &status, WNOHANG), r.d->pid);
	CU_ASSERT(WIFEXITED(status) && WEXITSTATUS(status) == 0);
	r.d->pid = 0;
	world_free(r.w);
}

/*
 * A daemon stands still between two watches of the store while a server
 * begins to drain, then wakes with a request in its socket: it asks the store
 * before it believes what it knew. Without the store it serves all the same.
 */
static void test_freeze(void)
{
	static const struct {
		bool store_away;
		unsigned sleep_ms;
		unsigned draining_runs;
	} cases[] = {
		{ false, 1600, 0 },
		{ true, 1600, 1 },
	};
	struct bufferevent *bev;
	world_answer_t a;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		rig_t r = rig_new();

		world_put(r.w, "op/other", "a change ends the watch");
		world_pass(r.w, 100);
		kill(r.d->pid, SIGSTOP);
		world_publish(r.a[0], "draining");
		r.w->store_down = cases[i].store_away;
		bev = world_connect(r.w, r.d->listen);
		world_write(r.w, bev, GET("/one/x", "frozen"));
		world_pass(r.w, cases[i].sleep_ms);
		kill(r.d->pid, SIGCONT);
		world_ask_on(r.w, bev, "", ASK_MS, &a);
		CU_ASSERT_EQUAL(a.status, 200);
		CU_ASSERT_EQUAL(r.a[0]->runs, cases[i].draining_runs);
		clear(&a);
		bufferevent_free(bev);
		world_free(r.w);
	}
}

/* SIGHUP cuts nothing, and settings with a fault change nothing. */
static void test_reload(void)
{
	rig_t r = rig_new();
	struct bufferevent *bev = world_connect(r.w, r.d->listen);
	world_answer_t a;

	r.a[0]->work_ms = 200;
	world_write(r.w, bev, GET("/once/x", "hup"));
	world_pass(r.w, 50);
	kill(r.d->pid, SIGHUP);
	g_file_set_contents(r.d->settings, "{\"name\":7}", -1, NULL);
	kill(r.d->pid, SIGHUP);
	world_ask_on(r.w, bev, "", ASK_MS, &a);
	CU_ASSERT_EQUAL(a.status, 200);
	clear(&a);
	bufferevent_free(bev);
	CU_ASSERT_EQUAL(status_of(&r, GET("/all/x", "hup2")), 200);
	world_free(r.w);
}

/* What cannot be served is refused at once, with a time to come back. */
static void test_refused(void)
{
	rig_t r = rig_new();
	world_answer_t a;

	world_publish(r.b, NULL);
	world_publish(r.a[0], NULL);
	world_publish(r.a[1], NULL);
	world_pass(r.w, 1500);
	world_ask(r.w, r.d->listen, GET("/all/x", "r"), ASK_MS, &a);
	CU_ASSERT_EQUAL(a.status, 503);
	CU_ASSERT(strtod(a.retry_after, NULL) > 0);
	CU_ASSERT(a.took < 100 * USEC_PER_MSEC);
	CU_ASSERT_EQUAL(world_runs(r.w, "r"), 0);
	clear(&a);
	world_free(r.w);
}

/* Nobody reads the log: its pipe fills, lines are dropped, and no request is
 * late for it. At level debug a request writes about 800 bytes. */
static void test_log_unread(void)
{
	enum { REQUESTS = 400 }; /* a pipe holds 64 kB, the queue 1 MB */
	rig_t r = { .w = world_new(speech) };
	struct bufferevent *bev;
	world_answer_t a;
	usec_t worst = 0;
	unsigned i;

	put_conf(r.w, CONF_HEAD CONF_ALL CONF_ONE CONF_TAIL, 3);
	world_server(r.w, "a", "x");
	world_server(r.w, "b", "x");
	r.d = world_daemon_unread(r.w, "x");
	CU_ASSERT_FATAL(world_wait_ready(r.w, r.d, true, READY_MS));
	bev = world_connect(r.w, r.d->listen);
	for (i = 0; i < REQUESTS; i++) {
		world_ask_on(r.w, bev, GET("/all/x", "log"), ASK_MS, &a);
		CU_ASSERT_EQUAL(a.status, 200);
		if (a.took > worst)
			worst = a.took;
		clear(&a);
	}
	/* The objective of the route is 300 ms. */
	CU_ASSERT(worst < 300 * USEC_PER_MSEC);
	bufferevent_free(bev);
	world_free(r.w);
}

/* The sum of all lines of a metric, whatever their labels. */
static double metric(const char *text, const char *name)
{
	char **lines = g_strsplit(text, "\n", -1);
	size_t n = strlen(name), i;
	double sum = 0;

	for (i = 0; lines[i]; i++)
		if (strncmp(lines[i], name, n) == 0 &&
		    (lines[i][n] == ' ' || lines[i][n] == '{'))
			sum += g_ascii_strtod(strrchr(lines[i], ' '), NULL);
	g_strfreev(lines);
	return sum;
}

/* What the counters say agrees with what servers and callers saw. */
static void test_metrics(void)
{
	static const struct {
		const char *name;
		double want;
	} cases[] = {
		{ "geraniumslip_requests_total", 9 },
		{ "geraniumslip_complete_total", 5 },
		{ "geraniumslip_passed_total", 3 },
		{ "geraniumslip_no_route_total", 1 },
		{ "geraniumslip_refused_total", 0 },
		{ "geraniumslip_first_sends_total", 13 },
		{ "geraniumslip_request_seconds_count", 8 },
		{ "geraniumslip_configuration_version", 3 },
		{ "geraniumslip_open_requests", 0 },
	};
	rig_t r = rig_new();
	world_answer_t a;
	double sends;
	size_t i;

	for (i = 0; i < 5; i++)
		CU_ASSERT_EQUAL(status_of(&r, GET("/all/x", "m")), 200);
	r.a[0]->fault = FAULT_RESET;
	r.a[0]->nfaults = 1;
	for (i = 0; i < 3; i++)
		CU_ASSERT_EQUAL(status_of(&r, GET("/one/x", "n")), 200);
	CU_ASSERT_EQUAL(status_of(&r, GET("/nowhere/x", "o")), 404);
	world_ask(r.w, r.d->admin, "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n",
		  ASK_MS, &a);
	CU_ASSERT_EQUAL(a.status, 200);
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		double v = metric(a.body->str, cases[i].name);

		if (v != cases[i].want)
			printf("\n  %s is %g\n", cases[i].name, v);
		CU_ASSERT_EQUAL(v, cases[i].want);
	}
	/* How many second sends there are depends on the machine; each was
	 * counted by its reason, by its result, and by the server it ran on. */
	sends = metric(a.body->str, "geraniumslip_first_sends_total") +
		metric(a.body->str, "geraniumslip_retries_total") +
		metric(a.body->str, "geraniumslip_hedges_total") +
		metric(a.body->str, "geraniumslip_probes_total");
	CU_ASSERT(sends >= 14);
	CU_ASSERT_EQUAL(sends,
			metric(a.body->str, "geraniumslip_send_seconds_count"));
	CU_ASSERT_EQUAL(r.a[0]->runs + r.a[1]->runs + r.b->runs,
			metric(a.body->str, "geraniumslip_send_seconds_count"));
	clear(&a);
	world_free(r.w);
}

/* Runs the operators' command against the daemon; its output is freed by the
 * caller. The loop goes on meanwhile. */
static char *command(rig_t *r, const char *what, const char *arg)
{
	const char *dir = g_getenv("GERANIUMSLIP_BIN");
	char *line = g_strdup_printf(
		"%s/geraniumslip -d %s %s %s > %s/out 2>&1",
		dir ? dir : "build", r->d->admin, what, arg, r->w->dir);
	char *file = g_strdup_printf("%s/out", r->w->dir);
	char *out = NULL;

	/* NOLINTNEXTLINE(cert-env33-c): the words are the test's own */
	CU_ASSERT_EQUAL(system(line), 0);
	g_file_get_contents(file, &out, NULL, NULL);
	g_unlink(file);
	g_free(file);
	g_free(line);
	return out ? out : g_strdup("");
}

/* What operators are shown of a running daemon. */
static void test_operators(void)
{
	static const struct {
		const char *what;
		const char *arg;
		const char *says;
	} cases[] = {
		{ "status", "", "yes" },
		{ "-j status", "", "\"revision\": 3" },
		{ "-j status", "", "\"open_queries\": 0" },
		{ "upstreams", "", "i-b-2" },
		{ "explain", "a", "i-a-0" },
		{ "-j explain", "a", "\"state\": \"well\"" },
		{ "-j explain", "a", "\"state\": \"leaving\"" },
	};
	rig_t r = rig_new();
	char *out;
	size_t i;

	CU_ASSERT_EQUAL(status_of(&r, GET("/all/x", "o")), 200);
	world_publish(r.a[1], "draining");
	world_pass(r.w, 1500);
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		out = command(&r, cases[i].what, cases[i].arg);
		CU_ASSERT_PTR_NOT_NULL(strstr(out, cases[i].says));
		g_free(out);
	}
	world_free(r.w);
}

/*
 * Leases run out while the store is away, and the servers live: hosts that are
 * told by a neighbour what the store says go on using them like those that
 * read it, until they had time to register again.
 */
static void test_lapse_told(void)
{
	enum { HOSTS = 8, ROUNDS = 8, DOWN_MS = 1600 };
	world_daemon_t *d[HOSTS];
	world_answer_t a;
	size_t i, j;
	rig_t r = rig_new();

	d[0] = r.d;
	for (i = 1; i < HOSTS; i++)
		d[i] = world_daemon(r.w, "x");
	for (i = 1; i < HOSTS; i++)
		CU_ASSERT(world_wait_ready(r.w, d[i], true, READY_MS));
	/* Until one reads for all. */
	world_pass(r.w, 4000);
	r.w->store_down = true;
	world_pass(r.w, DOWN_MS);
	world_publish(r.a[0], NULL);
	world_publish(r.a[1], NULL);
	r.w->store_down = false;
	for (j = 0; j < ROUNDS; j++) {
		for (i = 0; i < HOSTS; i++) {
			world_ask(r.w, d[i]->listen, GET("/all/x", "lapse"),
				  ASK_MS, &a);
			if (a.status != 200)
				printf("\n  host %zu, round %zu: %u\n", i, j,
				       a.status);
			CU_ASSERT_EQUAL(a.status, 200);
			if (a.missing)
				printf("\n  host %zu, round %zu: missing\n", i,
				       j);
			CU_ASSERT_EQUAL(a.missing, 0);
			clear(&a);
		}
		world_pass(r.w, 200);
		if (j == ROUNDS / 2) {
			world_publish(r.a[0], "ready");
			world_publish(r.a[1], "ready");
		}
	}
	world_free(r.w);
}

/* Connections to near servers stay open; those to others close soon, so that
 * servers have room when all hosts come back at once. */
static void test_spare_connections(void)
{
	rig_t r = rig_new();

	r.a[0]->fault = FAULT_REFUSE;
	r.a[0]->nfaults = 1;
	CU_ASSERT_EQUAL(status_of(&r, GET("/one/x", "near")), 200);
	CU_ASSERT_EQUAL(r.a[1]->runs, 1);
	CU_ASSERT_EQUAL(r.a[0]->open, 1);
	CU_ASSERT_EQUAL(r.a[1]->open, 1);
	world_pass(r.w, 1500);
	CU_ASSERT_EQUAL(r.a[0]->open, 1);
	CU_ASSERT_EQUAL(r.a[1]->open, 0);
	world_free(r.w);
}

static int speak_platform(void)
{
	speech = "platform";
	return 0;
}

static int speak_own(void)
{
	speech = "own";
	return 0;
}

int main(void)
{
	static const struct {
		const char *name;
		CU_InitializeFunc start;
	} suites[] = {
		{ "routed path, the platform's words", speak_platform },
		{ "routed path, own words", speak_own },
	};
	static const struct {
		const char *name;
		CU_TestFunc fn;
	} tests[] = {
		{ "whole path", test_path },
		{ "faults of servers", test_faults },
		{ "what callers send", test_callers },
		{ "requests sent ahead", test_pipeline },
		{ "a caller leaves", test_caller_leaves },
		{ "configurations", test_configuration },
		{ "servers come and go", test_servers_change },
		{ "the store is away", test_store_away },
		{ "no configuration", test_no_configuration },
		{ "planned stop", test_stop },
		{ "a daemon that stood still", test_freeze },
		{ "reload", test_reload },
		{ "refused at once", test_refused },
		{ "the log is not read", test_log_unread },
		{ "leases that run out, as neighbours tell", test_lapse_told },
		{ "connections that are not kept", test_spare_connections },
		{ "metrics", test_metrics },
		{ "operators", test_operators },
	};
	unsigned failures;
	CU_pSuite s;
	size_t i, j;

	setvbuf(stdout, NULL, _IOLBF, 0);
	CU_initialize_registry();
	for (j = 0; j < sizeof(suites) / sizeof(suites[0]); j++) {
		s = CU_add_suite(suites[j].name, suites[j].start, NULL);
		for (i = 0; i < sizeof(tests) / sizeof(tests[0]); i++)
			CU_add_test(s, tests[i].name, tests[i].fn);
	}
	CU_basic_set_mode(CU_BRM_VERBOSE);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures ? EXIT_FAILURE : EXIT_SUCCESS;
}
