/**
 * @file edge_evacuate.c
 * Tests of the routed path: data centres that are evacuated.
 */
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>

#include "edge_rig.h"

#define EVACUATED_METRIC "geraniumslip_evacuated_data_centres"

#define APPLY_MS 3000

static unsigned runs_in(const setup_t *r, const char *dc)
{
	unsigned n = 0;
	guint i;

	for (i = 0; i < r->w->servers->len; i++) {
		const world_server_t *s = r->w->servers->pdata[i];

		n += strcmp(s->dc, dc) == 0 ? s->runs : 0;
	}
	return n;
}

/* Asks a daemon; returns how many requests were answered with 200. */
static unsigned ask(setup_t *r, const world_daemon_t *d, const char *bytes,
		    unsigned n)
{
	unsigned ok = 0;
	world_answer_t a;

	while (n--) {
		world_request(r->w, d->listen, bytes, ANSWER_TIMEOUT_MS, &a);
		ok += a.status == 200;
		answer_clear(&a);
	}
	return ok;
}

/* Whether the daemon reports a state of some server. */
static bool has_state(setup_t *r, const char *state)
{
	char *text = g_strdup_printf("\"state\": \"%s\"", state);
	world_answer_t a;
	bool found;

	world_request(r->w, r->d->admin,
		      "GET /v1/upstreams HTTP/1.1\r\nHost: x\r\n\r\n",
		      ANSWER_TIMEOUT_MS, &a);
	found = strstr(a.body->str, text) != NULL;
	answer_clear(&a);
	g_free(text);
	return found;
}

/* What is published of the evacuation of a data centre. Guards against one that
 * has no effect, or that other items of its kind begin or end. */
static void test_published(void)
{
	static const struct {
		const char *dc;
		const char *value;
		bool x_used;   /* the servers of x */
		double number; /* of evacuated data centres */
	} steps[] = {
		{ "x", "not an object", true, 0 },
		{ "z", "{}", true, 0 }, /* no server is there */
		{ "", "{}", true, 0 },
		{ "x", "{}", false, 1 },
		{ "x", "not an object", false,
		  1 }, /* the last valid one holds */
		{ "x", "{\"more\":1}", false, 1 },
		{ "x", NULL, true, 0 },
		{ "x", "{}", false, 1 },
		{ "x", NULL, true, 0 },
	};
	setup_t r = setup_new();
	unsigned before;
	char *key;
	size_t i;

	for (i = 0; i < sizeof(steps) / sizeof(steps[0]); i++) {
		key = g_strconcat(r.w->protocol->evacuate_prefix, steps[i].dc,
				  NULL);
		world_put(r.w, key, steps[i].value);
		g_free(key);
		world_run_loop(r.w, 1500);
		before = runs_in(&r, "x");
		CU_ASSERT_EQUAL(ask(&r, r.d, GET("/one/x", "e"), 8), 8);
		CU_ASSERT_EQUAL(runs_in(&r, "x") > before, steps[i].x_used);
		CU_ASSERT_EQUAL(
			metric(r.w, r.d, "geraniumslip_evacuated_data_centres"),
			steps[i].number);
		CU_ASSERT_EQUAL(has_state(&r, "evacuated"), !steps[i].x_used);
	}
	/* All servers of b are in x. */
	world_evacuate(r.w, "x", true);
	world_run_loop(r.w, 1500);
	before = runs_in(&r, "x");
	CU_ASSERT_EQUAL(ask(&r, r.d, GET("/all/x", "e"), 4), 4);
	CU_ASSERT_EQUAL(runs_in(&r, "x"), before);
	world_evacuate(r.w, "y", true);
	world_run_loop(r.w, 1500);
	CU_ASSERT_EQUAL(request_status(&r, GET("/one/x", "e")), 503);
	world_free(r.w);
}

/*
 * Guards against hosts that forget an evacuation or never learn of it while the
 * registry is down: one that runs, one that is killed and starts again, and a
 * new one in another data centre. They learn the withdrawal afterwards.
 */
static void test_registry_down(void)
{
	enum { HOSTS = 3 };
	setup_t r = setup_new();
	world_daemon_t *d[HOSTS] = { r.d };
	unsigned before;
	size_t i;

	d[1] = world_start_daemon(r.w, "y");
	CU_ASSERT(world_wait_ready(r.w, d[1], true, READY_TIMEOUT_MS));
	world_evacuate(r.w, "x", true);
	world_run_loop(r.w, APPLY_MS);
	r.w->store_down = true;
	kill(d[1]->pid, SIGKILL);
	waitpid(d[1]->pid, NULL, 0);
	world_restart(d[1]);
	d[2] = world_start_daemon(r.w, "z");
	before = runs_in(&r, "x");
	for (i = 0; i < HOSTS; i++) {
		CU_ASSERT(world_wait_ready(r.w, d[i], true, READY_TIMEOUT_MS));
		CU_ASSERT_EQUAL(ask(&r, d[i], GET("/one/x", "e"), 8), 8);
	}
	/* The state is old by now, and still holds. */
	world_run_loop(r.w, APPLY_MS + 500);
	for (i = 0; i < HOSTS; i++)
		CU_ASSERT_EQUAL(ask(&r, d[i], GET("/one/x", "e"), 8), 8);
	CU_ASSERT_EQUAL(runs_in(&r, "x"), before);
	for (i = 0; i < HOSTS; i++)
		CU_ASSERT_EQUAL(metric(r.w, d[i], EVACUATED_METRIC), 1);
	/* It is withdrawn while no host can read it. */
	world_evacuate(r.w, "x", false);
	r.w->store_down = false;
	world_run_loop(r.w, APPLY_MS + 500);
	for (i = 0; i < HOSTS; i++) {
		before = runs_in(&r, "x");
		CU_ASSERT_EQUAL(ask(&r, d[i], GET("/one/x", "e"), 12), 12);
		CU_ASSERT_EQUAL(metric(r.w, d[i], EVACUATED_METRIC), 0);
		/* The others may prefer the server of y. */
		CU_ASSERT(runs_in(&r, "x") > before || i > 0);
	}
	world_free(r.w);
}

/* Waits until a daemon's watch of the store is open. */
static bool wait_watch(setup_t *r)
{
	unsigned ms;

	for (ms = 0; ms < READY_TIMEOUT_MS && !r->w->watches->len; ms += 5)
		world_run_loop(r->w, 5);
	return r->w->watches->len > 0;
}

/* Guards against a request that waits for a connection to an evacuated server
 * until that fails, 400 ms later, or that reaches it then. */
static void test_opening(void)
{
	setup_t r = setup_new();
	struct bufferevent *bev;
	world_answer_t a;

	wait_confirmed(&r);
	/* A request that must not run twice uses no old idle connection. */
	world_run_loop(r.w, 1500);
	world_stop_accepting(r.a[0]);
	CU_ASSERT(wait_watch(&r));
	bev = world_connect(r.w, r.d->listen);
	world_write(r.w, bev, GET("/once/x", "open"));
	world_run_loop(r.w, 50);
	CU_ASSERT_EQUAL(r.a[1]->runs, 0);
	world_evacuate(r.w, "x", true);
	world_request_on(r.w, bev, "", ANSWER_TIMEOUT_MS, &a);
	CU_ASSERT_EQUAL(a.status, 200);
	CU_ASSERT(a.latency < 200 * USEC_PER_MSEC);
	CU_ASSERT_EQUAL(r.a[1]->runs, 1);
	CU_ASSERT_EQUAL(r.a[0]->runs, 0);
	answer_clear(&a);
	bufferevent_free(bev);
	world_free(r.w);
}

/* Guards against idle connections that stay open to evacuated servers, and
 * against an answer of such a server that is cut off. */
static void test_in_flight(void)
{
	setup_t r = setup_new();
	struct bufferevent *bev;
	world_answer_t a;

	wait_confirmed(&r);
	CU_ASSERT_EQUAL(ask(&r, r.d, GET("/one/x", "i"), 2), 2);
	CU_ASSERT(r.a[0]->open > 0);
	r.a[0]->work_ms = 400;
	CU_ASSERT(wait_watch(&r));
	bev = world_connect(r.w, r.d->listen);
	world_write(r.w, bev, GET("/once/x", "run"));
	world_run_loop(r.w, 50);
	world_evacuate(r.w, "x", true);
	world_request_on(r.w, bev, "", ANSWER_TIMEOUT_MS, &a);
	CU_ASSERT_EQUAL(a.status, 200);
	CU_ASSERT_EQUAL(world_run_count(r.w, "run"), 1);
	CU_ASSERT_EQUAL(r.a[1]->runs, 0);
	answer_clear(&a);
	bufferevent_free(bev);
	world_run_loop(r.w, 100);
	CU_ASSERT_EQUAL(r.a[0]->open, 0);
	world_evacuate(r.w, "x", false);
	world_run_loop(r.w, 1500);
	CU_ASSERT(r.a[0]->open > 0);
	world_free(r.w);
}

const edge_test_t edge_evacuate_tests[] = {
	{ "evacuations as published", test_published },
	{ "evacuations while the registry is down", test_registry_down },
	{ "a connection opens to an evacuated server", test_opening },
	{ "a request runs on an evacuated server", test_in_flight },
	{ NULL, NULL },
};
