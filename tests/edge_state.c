/**
 * @file edge_state.c
 * Tests of the routed path: published state, and the registry and neighbours
 * that it comes from.
 */
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>

#include "edge_rig.h"

/* A new version takes effect in time; an older or faulty one is ignored. */
static void test_configuration(void)
{
	setup_t r = setup_new();

	CU_ASSERT_EQUAL(request_status(&r, GET("/one/x", "v")), 200);
	publish_conf(r.w, CONF_HEAD CONF_ALL CONF_TAIL, 9);
	world_run_loop(r.w, 1500);
	CU_ASSERT_EQUAL(request_status(&r, GET("/one/x", "v")), 404);
	publish_conf(r.w, CONF_HEAD CONF_ALL CONF_ONE CONF_TAIL, 8);
	world_publish_config(r.w, "{\"version\":10,");
	world_put(r.w, "servers/i-junk", "not an entry");
	world_run_loop(r.w, 1500);
	CU_ASSERT_EQUAL(request_status(&r, GET("/one/x", "v")), 404);
	CU_ASSERT_EQUAL(request_status(&r, GET("/all/x", "v")), 200);
	world_free(r.w);
}

/* A draining server gets no new requests; a new server gets requests. */
static void test_servers_change(void)
{
	setup_t r = setup_new();
	unsigned before;
	size_t i;

	CU_ASSERT_EQUAL(request_status(&r, GET("/one/x", "s")), 200);
	world_publish_server(r.a[0], "draining");
	world_run_loop(r.w, 1500);
	before = r.a[0]->runs;
	for (i = 0; i < 5; i++)
		CU_ASSERT_EQUAL(request_status(&r, GET("/one/x", "s")), 200);
	CU_ASSERT_EQUAL(r.a[0]->runs, before);
	world_publish_server(r.a[1], NULL);
	world_run_loop(r.w, 1500);
	CU_ASSERT_EQUAL(request_status(&r, GET("/one/x", "s")), 503);
	world_start_server(r.w, "a", "x");
	world_run_loop(r.w, 1500);
	CU_ASSERT_EQUAL(request_status(&r, GET("/one/x", "s")), 200);
	world_free(r.w);
}

/* While the registry is down, the daemon goes on with the last published state,
 * and a daemon that starts gets that state from it. */
static void test_registry_down(void)
{
	setup_t r = setup_new();
	world_daemon_t *late;
	world_answer_t a;

	wait_confirmed(&r);
	CU_ASSERT_EQUAL(request_status(&r, GET("/nowhere/x", "d")), 404);
	r.w->store_down = true;
	world_run_loop(r.w, 300);
	CU_ASSERT_EQUAL(request_status(&r, GET("/all/x", "d")), 200);
	late = world_start_daemon(r.w, "x");
	CU_ASSERT(world_wait_ready(r.w, late, true, READY_TIMEOUT_MS));
	world_request(r.w, late->listen, GET("/all/x", "d2"), ANSWER_TIMEOUT_MS,
		      &a);
	CU_ASSERT_EQUAL(a.status, 200);
	answer_clear(&a);
	/* After apply_limit_ms a route may have been added unnoticed. */
	world_run_loop(r.w, 3500);
	CU_ASSERT_EQUAL(request_status(&r, GET("/nowhere/x", "d3")), 503);
	CU_ASSERT_EQUAL(request_status(&r, GET("/all/x", "d3")), 200);
	r.w->store_down = false;
	world_run_loop(r.w, 2500);
	CU_ASSERT_EQUAL(request_status(&r, GET("/nowhere/x", "d4")), 404);
	world_free(r.w);
}

/*
 * The registry is replaced by a copy that lacks the latest changes; what was
 * written since is written again. Guards against a daemon that goes on from a
 * revision which the copy has not given out or gives out again, and so misses
 * later changes, and against one that goes back to the copy's configuration.
 */
static void test_restored_registry(void)
{
	enum { LOST = 5 };
	static const struct {
		unsigned rewritten; /* keys written again, of LOST */
		bool watching;	    /* a watch is open meanwhile */
	} cases[] = {
		{ 0, false }, { LOST - 2, false }, { 2 * LOST, false },
		{ 0, true },  { 2 * LOST, true },
	};
	uint64_t copy;
	char key[32];
	setup_t r;
	size_t i;
	unsigned k;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		r = setup_new();
		r.w->store_era = 1;
		world_run_loop(r.w, 1500);
		copy = r.w->revision;
		for (k = 0; k < LOST; k++) {
			snprintf(key, sizeof(key), "other/%u", k);
			world_put(r.w, key, "lost");
		}
		publish_conf(r.w, CONF_HEAD CONF_ALL CONF_TAIL, 9);
		world_run_loop(r.w, 1500);
		CU_ASSERT_EQUAL(request_status(&r, GET("/one/x", "e")), 404);
		r.w->store_down = true;
		if (!cases[i].watching)
			world_run_loop(r.w, 1500);
		world_restore(r.w, copy);
		r.w->store_down = false;
		if (cases[i].watching)
			world_run_loop(r.w, 1500);
		CU_ASSERT_NOT_EQUAL(request_status(&r, GET("/one/x", "e")),
				    200);
		publish_conf(r.w, CONF_HEAD CONF_ALL CONF_TAIL, 9);
		publish_conf(r.w, CONF_HEAD CONF_ALL CONF_ONE CONF_TAIL, 10);
		for (k = 0; k < cases[i].rewritten; k++) {
			snprintf(key, sizeof(key), "other/%u", k);
			world_put(r.w, key, "written again");
		}
		world_run_loop(r.w, 3000);
		CU_ASSERT_EQUAL(request_status(&r, GET("/one/x", "e")), 200);
		CU_ASSERT_EQUAL(request_status(&r, GET("/all/x", "e")), 200);
		world_free(r.w);
	}
}

/*
 * A change has ended the watches of all daemons at the same moment, and the
 * registry never answers the next ones, or never ends its answers, though it
 * answers later requests. What is published then must be in force within
 * apply_limit_ms, which is 3 s.
 */
static void test_lost_watches(void)
{
	enum { MAX_HOSTS = 8, LOST_MS = 1500, APPLY_MS = 3000, SLACK_MS = 500 };
	static const struct {
		size_t hosts;
		bool same_dc; /* else each daemon is alone in its data centre */
		bool trickles;
	} cases[] = {
		{ 4, true, false },
		{ 4, false, false },
		{ MAX_HOSTS, true, false }, /* most daemons follow one */
		{ 4, true, true },
	};
	world_daemon_t *d[MAX_HOSTS];
	char dc[2] = "x";
	size_t i, j;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		setup_t r = setup_new();

		d[0] = r.d;
		for (j = 1; j < cases[i].hosts; j++) {
			dc[0] = (char)(cases[i].same_dc ? 'x' : 'a' + j);
			d[j] = world_start_daemon(r.w, dc);
		}
		for (j = 1; j < cases[i].hosts; j++)
			CU_ASSERT(world_wait_ready(r.w, d[j], true,
						   READY_TIMEOUT_MS));
		world_run_loop(r.w, 1500);
		world_put(r.w, "op/other", "a change ends the watches");
		world_run_loop(r.w, 50);
		r.w->store_trickles = cases[i].trickles;
		r.w->store_silent = !cases[i].trickles;
		world_run_loop(r.w, LOST_MS);
		r.w->store_trickles = false;
		r.w->store_silent = false;
		publish_conf(r.w, CONF_HEAD CONF_ALL CONF_TAIL, 9);
		world_publish_server(r.a[0], "draining");
		world_run_loop(r.w, APPLY_MS + SLACK_MS);
		for (j = 0; j < cases[i].hosts; j++)
			check_new_state(&r, d[j]);
		world_free(r.w);
	}
}

/* The registry answers each request later than the daemon expects at first: the
 * daemon allows more time, and new state gets into force. */
static void test_slow_registry(void)
{
	enum { DELAY_MS = 900, SETTLE_MS = 6000 };
	setup_t r = setup_new();

	r.w->store_delay_ms = DELAY_MS;
	publish_conf(r.w, CONF_HEAD CONF_ALL CONF_TAIL, 9);
	world_publish_server(r.a[0], "draining");
	world_run_loop(r.w, SETTLE_MS);
	check_new_state(&r, r.d);
	world_free(r.w);
}

/*
 * Guards against bytes behind an answer of the registry that are taken for the
 * next one: it writes each answer twice, and new state gets into force.
 */
static void test_copying_registry(void)
{
	setup_t r = setup_new();
	unsigned i;

	r.w->store_copies = true;
	for (i = 0; i < 4; i++) {
		world_put(r.w, "op/other", "a change ends the watch");
		world_run_loop(r.w, 1200);
	}
	publish_conf(r.w, CONF_HEAD CONF_ALL CONF_TAIL, 9);
	world_publish_server(r.a[0], "draining");
	world_run_loop(r.w, 3500);
	check_new_state(&r, r.d);
	world_free(r.w);
}

/* The registry answers one daemon and not another one in another data centre.
 * The latter gets the changes from its neighbour, and is told when there are
 * none: its state does not grow old. */
static void test_confirmed_by_neighbour(void)
{
	enum { HOSTS = 2, SILENT_MS = 8000, STEP_MS = 200 };
	const double max_age_s = 3.0, slack_s = 0.5;
	setup_t r = setup_new();
	world_daemon_t *d[HOSTS] = { r.d };
	double age;
	unsigned ms;

	r.w->use_proxies = true;
	d[1] = world_start_daemon(r.w, "y");
	CU_ASSERT(world_wait_ready(r.w, d[1], true, READY_TIMEOUT_MS));
	world_run_loop(r.w, 1500);
	world_proxy_set(r.w->proxies->pdata[0], WORLD_PROXY_DROP);
	for (ms = 0; ms < SILENT_MS; ms += STEP_MS) {
		world_run_loop(r.w, STEP_MS);
		age = metric(r.w, d[1], "geraniumslip_state_age_seconds");
		if (age < 0 || age > max_age_s + slack_s)
			printf("\n  age %g at %u ms\n", age, ms);
		CU_ASSERT(age >= 0 && age <= max_age_s + slack_s);
	}
	CU_ASSERT(metric(r.w, d[1],
			 "geraniumslip_registry_requests_total{"
			 "result=\"no answer in time\"}") > 0);
	publish_conf(r.w, CONF_HEAD CONF_ALL CONF_TAIL, 9);
	world_publish_server(r.a[0], "draining");
	world_run_loop(r.w, 3500);
	check_new_state(&r, d[1]);
	world_free(r.w);
}

/* Makes the text of an odd value: nested deeply, or with a part of a server's
 * entry replaced. The caller frees it. */
static char *odd_value(const world_server_t *s, const char *replaced,
		       const char *by)
{
	enum { DEPTH = 100000 };
	GString *text = g_string_new(NULL);
	char *entry;
	unsigned i;

	if (!replaced) {
		g_string_append(text, "{\"service\":");
		for (i = 0; i < DEPTH; i++)
			g_string_append_c(text, '[');
		for (i = 0; i < DEPTH; i++)
			g_string_append_c(text, ']');
		g_string_append_c(text, '}');
		return g_string_free(text, FALSE);
	}
	entry = s->w->protocol->format_entry(s, "ready");
	g_string_append(text, entry);
	CU_ASSERT(g_string_replace(text, replaced, by, 1) == 1);
	g_free(entry);
	return g_string_free(text, FALSE);
}

/*
 * Another writer leaves one odd entry, of a server or as the configuration. It
 * names no server and no configuration; all else that is published, before and
 * after it, is followed, also by a daemon that starts later.
 */
static void test_odd_entries(void)
{
	static const struct {
		const char *key;      /* NULL: that of the configuration */
		const char *replaced; /* NULL: the value is deeply nested */
		const char *by;
	} cases[] = {
		{ "servers/i-odd", NULL, NULL },
		{
			"servers/i-odd",
			":3,",
			":99999999999999999999999,",
		},
		{
			"servers/i-odd",
			":3,",
			":1e999,",
		},
		{ "servers/i-odd", "127.0.0.1:", "127.0.0.1:70000" },
		{ "servers/i-odd", "127.0.0.1:", "127.0.0.1:9999999999999999" },
		{ "servers/i-odd\\r\\nX: y", ":3,", ":3 ," },
		{ "servers/i-odd\\u0000", ":3,", ":3 ," },
		{ "servers/i-odd\\ud800", ":3,", ":3 ," },
		{ "servers/i-a-0", NULL, NULL },
		{
			"servers/i-a-0",
			":3,",
			":99999999999999999999999,",
		},
		{ NULL, NULL, NULL },
		{
			NULL,
			":3,",
			":99999999999999999999999,",
		},
	};
	world_daemon_t *late;
	char *value;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		setup_t r = setup_new();
		const char *key =
			cases[i].key ? cases[i].key : r.w->protocol->config_key;

		wait_confirmed(&r);
		value = odd_value(r.a[0], cases[i].replaced, cases[i].by);
		world_put(r.w, key, value);
		g_free(value);
		world_run_loop(r.w, 200);
		publish_conf(r.w, CONF_HEAD CONF_ALL CONF_TAIL, 9);
		world_publish_server(r.a[0], "draining");
		late = world_start_daemon(r.w, "x");
		CU_ASSERT(world_wait_ready(r.w, late, true, READY_TIMEOUT_MS));
		world_run_loop(r.w, 3000);
		check_new_state(&r, r.d);
		check_new_state(&r, late);
		CU_ASSERT_EQUAL(waitpid(r.d->pid, NULL, WNOHANG), 0);
		world_free(r.w);
	}
}

/*
 * Guards against a list that never ends: keys of 200 bytes, which need up to
 * 600 bytes in a path, are the last ones of the list's pages. A daemon that
 * starts, without a neighbour, reads the whole list and then follows what is
 * published.
 */
static void test_long_keys(void)
{
	enum { KEYS = 20, PAGE = 7, KEY_BYTES = 200 };
	static const char *const letters[] = { "x", "&", "+%", "\xd1\x8f" };
	world_daemon_t *late;
	size_t i, j;

	for (i = 0; i < sizeof(letters) / sizeof(letters[0]); i++) {
		setup_t r = setup_new();

		for (j = 0; j < KEYS; j++) {
			GString *key = g_string_new("servers/");

			while (key->len < KEY_BYTES - 2)
				g_string_append(key, letters[i]);
			g_string_append_printf(key, "%02zu", j);
			world_put(r.w, key->str, "{}");
			g_string_free(key, TRUE);
		}
		r.w->list_page = PAGE;
		kill(r.d->pid, SIGKILL);
		waitpid(r.d->pid, NULL, 0);
		r.d->pid = 0;
		late = world_start_daemon(r.w, "x");
		CU_ASSERT(world_wait_ready(r.w, late, true, READY_TIMEOUT_MS));
		publish_conf(r.w, CONF_HEAD CONF_ALL CONF_TAIL, 9);
		world_publish_server(r.a[0], "draining");
		world_run_loop(r.w, 3000);
		check_new_state(&r, late);
		world_free(r.w);
	}
}

/* Without a configuration the daemon isn't ready, and answers 503 rather than
 * 404. */
static void test_no_configuration(void)
{
	setup_t r = { .w = world_new(edge_protocol) };

	r.d = world_start_daemon(r.w, "x");
	world_run_loop(r.w, 300);
	CU_ASSERT_FALSE(world_wait_ready(r.w, r.d, true, 200));
	CU_ASSERT_EQUAL(request_status(&r, GET("/one/x", "n")), 503);
	world_free(r.w);
}

/*
 * Servers' leases expire while the registry is down, though the servers run.
 * Daemons that get published state from a neighbour must go on using these
 * servers, as the daemon that reads the registry does, until the servers had
 * time to register again.
 */
static void test_expired_leases_of_followers(void)
{
	enum { HOSTS = 8, ROUNDS = 8, DOWN_MS = 1600 };
	world_daemon_t *d[HOSTS];
	world_answer_t a;
	size_t i, j;
	setup_t r = setup_new();

	d[0] = r.d;
	for (i = 1; i < HOSTS; i++)
		d[i] = world_start_daemon(r.w, "x");
	for (i = 1; i < HOSTS; i++)
		CU_ASSERT(world_wait_ready(r.w, d[i], true, READY_TIMEOUT_MS));
	/* Wait until one daemon reads the registry for all. */
	world_run_loop(r.w, 4000);
	r.w->store_down = true;
	world_run_loop(r.w, DOWN_MS);
	world_publish_server(r.a[0], NULL);
	world_publish_server(r.a[1], NULL);
	r.w->store_down = false;
	for (j = 0; j < ROUNDS; j++) {
		for (i = 0; i < HOSTS; i++) {
			world_request(r.w, d[i]->listen, GET("/all/x", "lapse"),
				      ANSWER_TIMEOUT_MS, &a);
			if (a.status != 200)
				printf("\n  host %zu, round %zu: %u\n", i, j,
				       a.status);
			CU_ASSERT_EQUAL(a.status, 200);
			if (a.missing)
				printf("\n  host %zu, round %zu: missing\n", i,
				       j);
			CU_ASSERT_EQUAL(a.missing, 0);
			answer_clear(&a);
		}
		world_run_loop(r.w, 200);
		if (j == ROUNDS / 2) {
			world_publish_server(r.a[0], "ready");
			world_publish_server(r.a[1], "ready");
		}
	}
	world_free(r.w);
}

const edge_test_t edge_state_tests[] = {
	{ "configurations", test_configuration },
	{ "draining and new servers", test_servers_change },
	{ "the registry is down", test_registry_down },
	{ "a registry restored from a copy", test_restored_registry },
	{ "watches that the registry never answers", test_lost_watches },
	{ "a slow registry", test_slow_registry },
	{ "bytes after the registry's answers", test_copying_registry },
	{ "the state is confirmed by a neighbour",
	  test_confirmed_by_neighbour },
	{ "odd entries of another writer", test_odd_entries },
	{ "long keys between pages of the list", test_long_keys },
	{ "no configuration", test_no_configuration },
	{ "expired leases reported by a neighbour",
	  test_expired_leases_of_followers },
	{ NULL, NULL },
};
