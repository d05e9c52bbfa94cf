/**
 * @file case.c
 * One server of seven fails some of the requests that it has begun to run, with
 * status 503, and doesn't say that they were not run.
 */
#include <stdlib.h>
#include <string.h>

#include "../common/rig.h"

#define RUN_MS 15000
#define REQUEST_PERIOD_MS 40
#define WORK_MS 30
/* The fault is on from then on, and touches 2 in 5 of the requests of the
 * server that the daemon uses most. */
#define FAULT_AT_MS 5000
#define FAULT_MS 5000
#define LIMIT_MS 4000
#define SERVERS 7

static rig_server_t *faulty;

/* Chooses the server when the fault begins. */
static void choose_faulty(rig_t *r)
{
	guint i;

	for (i = 0; i < r->servers->len; i++) {
		rig_server_t *s = r->servers->pdata[i];

		if (!faulty || s->ws.runs > faulty->ws.runs)
			faulty = s;
	}
	rig_note(r, "%s fails 2 in 5 of its requests from now on",
		 faulty->ws.id);
}

static bool fails(rig_server_t *s)
{
	unsigned ms = rig_ms(s->arg);

	if (s != faulty || ms >= FAULT_AT_MS + FAULT_MS)
		return false;
	s->n++;
	return s->n % 5 == 2 || s->n % 5 == 4;
}

static void on_work_done(evutil_socket_t fd, short what, void *arg)
{
	world_conn_t *c = arg;
	rig_server_t *s = (rig_server_t *)c->server;
	bool failed = fails(s);
	char id[64], text[300];

	(void)fd;
	(void)what;
	str_copy(id, sizeof(id),
		 rig_header(s->arg, &c->msg, OUTSIDE_REQUEST_ID));
	if (failed)
		rig_note(s->arg, "%s fails %s, which it ran, with 503",
			 s->ws.id, id);
	g_snprintf(text, sizeof(text),
		   "HTTP/1.1 %s\r\n%s: %s\r\n%s: %s.%s\r\n"
		   "Content-Length: 2\r\n\r\nok",
		   failed ? "503 Service Unavailable" : "200 OK",
		   rig_name(s->arg, OUTSIDE_REQUEST_ID), id,
		   rig_name(s->arg, OUTSIDE_SERVER_STAMP), s->ws.id, id);
	rig_write(c, text, strlen(text));
	world_conn_read_next(c);
}

static void handle(rig_server_t *s, world_conn_t *c)
{
	char id[64];

	str_copy(id, sizeof(id),
		 rig_header(s->arg, &c->msg, OUTSIDE_REQUEST_ID));
	s->ws.runs++;
	rig_ran(s, id);
	world_conn_set_timer(c, WORK_MS, on_work_done);
}

/* Counts requests that must run once at most and broke a promise. */
static unsigned judge(rig_t *r)
{
	unsigned broken = 0, refused = 0, served = 0;
	guint i;

	for (i = 0; i < r->calls->len; i++) {
		const rig_call_t *c = r->calls->pdata[i];

		served += c->status == 200;
		refused += c->status == 503;
		if (c->runs > 1 || (c->status == 503 && c->runs)) {
			broken++;
			rig_note(r, "BROKEN: %s was answered %u and ran %u x",
				 c->id, c->status, c->runs);
		}
	}
	rig_note(r, "%u requests, %u served, %u refused, %u broken",
		 r->calls->len, served, refused, broken);
	return broken;
}

int main(int argc, char **argv)
{
	rig_t *r = rig_new(argc > 1 ? argv[1] : "review/3");
	unsigned broken, i;
	char id[8];

	for (i = 0; i < SERVERS; i++) {
		g_snprintf(id, sizeof(id), "i-%u", i);
		rig_server(r, id, "compliance-desk", "almaty-a", handle);
	}
	if (!rig_start_daemon(r)) {
		rig_free(r);
		return 2;
	}
	while (rig_ms(r) < RUN_MS) {
		rig_call(r, "POST /audit/2f", "account=7", LIMIT_MS);
		world_run_loop(r->w, REQUEST_PERIOD_MS);
		if (r->trouble && !faulty && rig_ms(r) >= FAULT_AT_MS)
			choose_faulty(r);
	}
	world_run_loop(r->w, LIMIT_MS);
	broken = judge(r);
	rig_free(r);
	return broken ? 1 : 0;
}
