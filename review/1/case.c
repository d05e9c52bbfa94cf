/**
 * @file case.c
 * Three servers are full for a moment, again and again, and say so: other
 * daemons, which the case doesn't start, use them too. One of the servers sends
 * a few of its answers twice, the second copy at the point where the next
 * answer on the connection is expected.
 */
#include <stdlib.h>
#include <string.h>

#include "../common/rig.h"

#define RUN_MS 50000
#define POLL_MS 1
#define FULL_PERIOD_MS 400
#define FULL_MS 40
#define WORK_MS 60
/* The fault is on for 5 s, then off for 5 s, and touches 3 in 100 of the
 * answers of one server of three. */
#define FAULT_PERIOD_MS 10000
#define FAULT_MS 5000
#define ANSWERS_PER_COPY 34
#define LIMIT_MS 8000
#define DRAIN_MS 1000

/* The copy that is to follow an answer on a connection. */
static GHashTable *copies; /* world_conn_t to its text */

static bool is_full(const rig_t *r)
{
	return rig_ms(r) % FULL_PERIOD_MS < FULL_MS;
}

static bool fault_is_on(const rig_t *r)
{
	return r->trouble && rig_ms(r) % FAULT_PERIOD_MS >= FAULT_MS;
}

/* The same server has the fault each time: the one that the daemon has used
 * most when the fault first begins. */
static bool has_fault(const rig_server_t *s)
{
	static const rig_server_t *faulty;
	const rig_t *r = s->arg;
	guint i;

	if (!fault_is_on(r))
		return false;
	for (i = 0; !faulty && i < r->servers->len; i++) {
		const rig_server_t *other = r->servers->pdata[i];

		if (other->ws.runs > s->ws.runs)
			return false;
	}
	faulty = faulty ? faulty : s;
	return s == faulty;
}

static void write_copy(rig_server_t *s, world_conn_t *c)
{
	char *text = g_hash_table_lookup(copies, c);

	if (!text)
		return;
	rig_write(c, text, strlen(text));
	rig_note(s->arg, "%s writes the second copy of its last answer",
		 s->ws.id);
	g_hash_table_remove(copies, c);
}

static void refuse(rig_server_t *s, world_conn_t *c, const char *id)
{
	rig_t *r = s->arg;
	char *text = g_strdup_printf("HTTP/1.1 503 Service Unavailable\r\n"
				     "%s: %s\r\n%s: 1\r\n"
				     "Content-Length: 0\r\n\r\n",
				     rig_name(r, OUTSIDE_REQUEST_ID), id,
				     rig_name(r, OUTSIDE_NOT_RUN));

	rig_note(r, "%s is full and refuses %s", s->ws.id, id);
	rig_write(c, text, strlen(text));
	if (has_fault(s) && s->n >= ANSWERS_PER_COPY) {
		s->n = 0;
		rig_note(r, "%s will answer %s twice", s->ws.id, id);
		g_hash_table_insert(copies, c, g_strdup(text));
	}
	g_free(text);
	world_conn_read_next(c);
}

static void on_work_done(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	rig_answer(arg, "200 OK", "");
}

static void handle(rig_server_t *s, world_conn_t *c)
{
	char id[64];

	rig_id(c, id, sizeof(id));
	s->n += has_fault(s);
	write_copy(s, c);
	if (is_full(s->arg)) {
		refuse(s, c, id);
		return;
	}
	rig_ran(s, id);
	world_conn_set_timer(c, WORK_MS, on_work_done);
}

int main(int argc, char **argv)
{
	rig_t *r = rig_new(argc > 1 ? argv[1] : "review/1");
	unsigned broken, i;
	rig_call_t *c;
	char id[8];

	copies = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	for (i = 0; i < 3; i++) {
		g_snprintf(id, sizeof(id), "i-%u", i);
		rig_server(r, id, "statement-mail", "almaty-a", handle);
	}
	if (!rig_start_daemon(r)) {
		rig_free(r);
		return 2;
	}
	while (rig_ms(r) < RUN_MS) {
		c = rig_call(r, "POST /audit/2f", "account=7", LIMIT_MS);
		while (!c->done)
			world_run_loop(r->w, POLL_MS);
	}
	world_run_loop(r->w, DRAIN_MS);
	broken = rig_judge_once(r);
	printf("%u broken\n", broken);
	rig_free(r);
	g_hash_table_destroy(copies);
	return broken ? 1 : 0;
}
