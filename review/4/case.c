/**
 * @file case.c
 * A server spoils one of its answers: where the blank line after the head is
 * due, it goes on with short lines, about half a megabyte of them.
 */
#include <stdlib.h>
#include <string.h>

#include "../common/rig.h"

#define RUN_MS 20000
#define REQUEST_PERIOD_MS 15 /* half of the requests go to each service */
#define WORK_MS 20
/* The fault is on from then on and touches 1 in 50 of the answers that one
 * server of three gives meanwhile: the last of the 50. */
#define FAULT_AT_MS 3000
#define FAULT_MS 5500
#define ANSWERS_PER_FAULT 50
#define SPOILED_LINES 131000
#define TIMEOUT_MS 1000 /* of the routes */
#define SLACK_MS 500
#define LIMIT_MS 6000
#define SERVERS 3

static bool spoiled; /* one answer was */

static bool has_fault(rig_server_t *s)
{
	const rig_t *r = s->arg;
	unsigned ms = rig_ms(r);

	if (!r->trouble || strcmp(s->ws.service, "compliance-desk") != 0 ||
	    ms < FAULT_AT_MS || ms >= FAULT_AT_MS + FAULT_MS || spoiled)
		return false;
	return ++s->n >= ANSWERS_PER_FAULT;
}

static void on_work_done(evutil_socket_t fd, short what, void *arg)
{
	world_conn_t *c = arg;
	rig_server_t *s = (rig_server_t *)c->server;
	GString *lines = g_string_new(NULL);
	char id[64];
	unsigned i;

	(void)fd;
	(void)what;
	if (has_fault(s)) {
		spoiled = true;
		rig_id(c, id, sizeof(id));
		rig_note(s->arg, "%s spoils its answer to %s", s->ws.id, id);
		for (i = 0; i < SPOILED_LINES; i++)
			g_string_append(lines, "a:\r\n");
	}
	rig_answer(c, "200 OK", lines->str);
	g_string_free(lines, TRUE);
}

static void handle(rig_server_t *s, world_conn_t *c)
{
	char id[64];

	rig_id(c, id, sizeof(id));
	rig_ran(s, id);
	world_conn_set_timer(c, WORK_MS, on_work_done);
}

/* Writes to the record and returns whether the daemon answers /ready. */
static bool is_ready(rig_t *r)
{
	world_answer_t a;
	bool ready;

	world_request(r->w, r->ready, "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n",
		      500, &a);
	ready = a.status == 200;
	g_string_free(a.body, TRUE);
	rig_note(r, "the daemon %s", ready ? "is ready" : "doesn't answer");
	return ready;
}

/* Whether more than half of the requests that have no answer at the timeout of
 * their route have none half a second later. */
static bool judge(rig_t *r)
{
	unsigned late = 0, unanswered = 0, served = 0;
	guint i;

	for (i = 0; i < r->calls->len; i++) {
		const rig_call_t *c = r->calls->pdata[i];
		usec_t took = (c->ended_at - c->sent_at) / USEC_PER_MSEC;

		served += c->status == 200;
		if (c->status && took <= TIMEOUT_MS)
			continue;
		late++;
		if (!c->status || took > TIMEOUT_MS + SLACK_MS)
			unanswered++;
	}
	rig_note(r,
		 "%u requests, %u served, %u unanswered at the timeout, %u of "
		 "them half a second later",
		 r->calls->len, served, late, unanswered);
	return 2 * unanswered > late;
}

int main(int argc, char **argv)
{
	rig_t *r = rig_new(argc > 1 ? argv[1] : "review/4");
	bool broken;
	unsigned i;
	char id[8];

	for (i = 0; i < 2 * SERVERS; i++) {
		g_snprintf(id, sizeof(id), "i-%u", i);
		rig_server(r, id,
			   i < SERVERS ? "compliance-desk" : "statement-mail",
			   "almaty-a", handle);
	}
	if (!rig_start_daemon(r)) {
		rig_free(r);
		return 2;
	}
	for (i = 0; rig_ms(r) < RUN_MS; i++) {
		rig_call(r, i % 2 ? "GET /audit/2f" : "GET /statement/2f", "",
			 LIMIT_MS);
		world_run_loop(r->w, REQUEST_PERIOD_MS);
		if (i % 100 == 0)
			is_ready(r);
	}
	world_run_loop(r->w, LIMIT_MS);
	broken = judge(r);
	rig_free(r);
	return broken ? 1 : 0;
}
