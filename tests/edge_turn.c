/**
 * @file edge_turn.c
 * Tests of the routed path: time that requests wait before the daemon reads
 * them.
 */
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "edge_rig.h"
#include "standin.h"

/* When the request was written, and on which connection. */
typedef enum written {
	WRITTEN_OPEN,	 /* during the stop, on an open connection */
	WRITTEN_USED,	 /* the same, after a first request */
	WRITTEN_NEW,	 /* during the stop, on a new connection */
	WRITTEN_AHEAD,	 /* before the stop, behind a request that is open */
	WRITTEN_RUNNING, /* without a stop */
} written_t;

/* Checks the answer to the request "unread", whose caller waits until a time,
 * and the time limits that the servers got. */
static void check_unread(const setup_t *r, size_t i, unsigned status,
			 const world_answer_t *a, usec_t until)
{
	/* Time for the daemon's part and a busy machine's delays. */
	const usec_t tolerance = 60 * USEC_PER_MSEC;
	usec_t given = r->a[0]->given_until;

	if (given < r->a[1]->given_until)
		given = r->a[1]->given_until;
	given -= until;
	if (a->status != status || (a->status == 200 && given > tolerance))
		printf("\n  case %zu: status %u, %lld us too long\n", i,
		       a->status, (long long)given);
	CU_ASSERT_EQUAL(a->status, status);
	CU_ASSERT_EQUAL(world_run_count(r->w, "unread") > 0, status == 200);
	if (a->status == 200) {
		CU_ASSERT(given <= tolerance);
	} else {
		CU_ASSERT(g_ascii_strtod(a->retry_after, NULL) > 0);
	}
}

/*
 * Guards against servers that work for callers whose time is over: the daemon
 * is stopped for a time in which a caller writes a request. No server gets more
 * time than the caller has left, and a request whose time has passed reaches no
 * server.
 */
static void test_unread(void)
{
	enum { STOPPED_MS = 500 };
	static const struct {
		written_t written;
		unsigned limit_ms; /* of the caller */
		unsigned status;
	} cases[] = {
		{ WRITTEN_OPEN, 900, 200 },    { WRITTEN_OPEN, 400, 503 },
		{ WRITTEN_USED, 900, 200 },    { WRITTEN_USED, 400, 503 },
		{ WRITTEN_NEW, 900, 200 },     { WRITTEN_NEW, 400, 503 },
		{ WRITTEN_AHEAD, 900, 200 },   { WRITTEN_AHEAD, 250, 503 },
		{ WRITTEN_RUNNING, 900, 200 }, { WRITTEN_RUNNING, 60, 200 },
	};
	char bytes[160];
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		setup_t r = setup_new();
		bool stop = cases[i].written != WRITTEN_RUNNING;
		bool ahead = cases[i].written == WRITTEN_AHEAD;
		struct bufferevent *bev = NULL;
		usec_t written_at;
		world_answer_t a;

		snprintf(bytes, sizeof(bytes),
			 "GET /one/x HTTP/1.1\r\nHost: h\r\n"
			 "Request-Id: unread\r\nDeadline-Ms: %u\r\n\r\n",
			 cases[i].limit_ms);
		if (cases[i].written != WRITTEN_NEW)
			bev = world_connect(r.w, r.d->listen);
		if (cases[i].written == WRITTEN_USED) {
			world_request_on(r.w, bev, GET("/one/x", "first"),
					 ANSWER_TIMEOUT_MS, &a);
			answer_clear(&a);
		}
		if (ahead) {
			r.a[0]->work_ms = r.a[1]->work_ms = 300;
			world_write(r.w, bev, GET("/one/x", "first"));
		}
		world_run_loop(r.w, 100);
		written_at = standin_now();
		if (ahead)
			world_write(r.w, bev, bytes);
		world_run_loop(r.w, 50);
		if (stop && !ahead)
			kill(r.d->pid, SIGSTOP);
		if (!bev)
			bev = world_connect(r.w, r.d->listen);
		if (!ahead) {
			written_at = standin_now();
			world_write(r.w, bev, bytes);
		}
		if (stop && !ahead) {
			world_run_loop(r.w, STOPPED_MS);
			kill(r.d->pid, SIGCONT);
		}
		if (ahead) {
			world_request_on(r.w, bev, "", ANSWER_TIMEOUT_MS, &a);
			CU_ASSERT_EQUAL(a.status, 200);
			answer_clear(&a);
		}
		r.a[0]->work_ms = r.a[1]->work_ms = 0;
		world_request_on(r.w, bev, "", ANSWER_TIMEOUT_MS, &a);
		check_unread(&r, i, cases[i].status, &a,
			     written_at + cases[i].limit_ms * USEC_PER_MSEC);
		answer_clear(&a);
		bufferevent_free(bev);
		world_free(r.w);
	}
}

/* Counts the requests whose senders wait beyond a time, on connections that
 * were accepted at a time or later, or before it. */
static unsigned count_given_beyond(const world_t *w, usec_t time,
				   usec_t accepted, bool later)
{
	unsigned n = 0;
	guint i, j;

	for (i = 0; i < w->servers->len; i++) {
		const world_server_t *s = w->servers->pdata[i];

		for (j = 0; j < s->given_times->len; j++) {
			const world_given_t *g = &g_array_index(
				s->given_times, world_given_t, j);

			n += g->until > time &&
			     (g->accepted_at >= accepted) == later;
		}
	}
	return n;
}

/*
 * Guards against a time limit that was computed before its request waited for a
 * connection to open: the daemon reads many requests in one turn of its loop,
 * and is stopped once while their connections open. No server gets more time
 * than the caller has. One request may, on a connection that was open before:
 * that which the daemon writes when it is stopped, between its look at the
 * clock and the write (9 of 49 stops in a trace).
 */
static void test_wait_for_connection(void)
{
	enum {
		SERVERS = 12,
		CALLERS = 40,
		TOLERANCE_MS = 60,
		STOPPED_MS = 300
	};
	/* About half the stops come while a connection opens: try some times.
	 */
	static const unsigned limits_ms[] = { 700, 200, 700, 200, 700, 200 };
	struct bufferevent *callers[CALLERS];
	char bytes[160];
	size_t i, j;

	for (i = 0; i < sizeof(limits_ms) / sizeof(limits_ms[0]); i++) {
		setup_t r = setup_new();
		unsigned opened, open;
		usec_t written_at, limit;

		for (j = 3; j < SERVERS; j++)
			world_start_server(r.w, "a", "x");
		world_run_loop(r.w, 500);
		for (j = 0; j < SERVERS; j++)
			((world_server_t *)r.w->servers->pdata[j])
				->stop_at_accept = r.d->pid;
		for (j = 0; j < CALLERS; j++)
			callers[j] = world_connect(r.w, r.d->listen);
		world_run_loop(r.w, 100);
		kill(r.d->pid, SIGSTOP);
		written_at = standin_now();
		for (j = 0; j < CALLERS; j++) {
			snprintf(bytes, sizeof(bytes),
				 "GET /one/x HTTP/1.1\r\nHost: h\r\n"
				 "Request-Id: w%zu\r\nDeadline-Ms: %u\r\n\r\n",
				 j, limits_ms[i]);
			world_write(r.w, callers[j], bytes);
		}
		world_run_loop(r.w, 20);
		kill(r.d->pid, SIGCONT);
		world_run_loop(r.w, STOPPED_MS);
		for (j = 0; j < SERVERS; j++)
			((world_server_t *)r.w->servers->pdata[j])
				->stop_at_accept = 0;
		kill(r.d->pid, SIGCONT);
		world_run_loop(r.w, 300);
		limit = written_at +
			(limits_ms[i] + TOLERANCE_MS) * USEC_PER_MSEC;
		opened = count_given_beyond(r.w, limit, written_at, true);
		open = count_given_beyond(r.w, limit, written_at, false);
		if (opened || open > 1)
			printf("\n  case %zu: %u and %u got too much time\n", i,
			       opened, open);
		CU_ASSERT_EQUAL(opened, 0);
		CU_ASSERT(open <= 1);
		for (j = 0; j < CALLERS; j++)
			bufferevent_free(callers[j]);
		world_free(r.w);
	}
}

const edge_test_t edge_turn_tests[] = {
	{ "time limits of sends that wait", test_wait_for_connection },
	{ "requests that wait unread", test_unread },
	{ NULL, NULL },
};
