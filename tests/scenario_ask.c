/** @file scenario_ask.c Threads that send the queries and loads of a script. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "scenario.h"
#include "standin.h"

#define LOAD_THREADS 48
#define BALANCER_PERIOD_US (50 * USEC_PER_MSEC)

/* Requests at a fixed rate, whether or not earlier ones have ended. */
typedef struct load {
	scenario_run_t *run;
	lab_call_t *calls;
	unsigned ncalls;
	unsigned next_call; /* index of the next call to send */
	bool any_daemon;    /* round robin over the daemons that are ready */
	GMutex lock;	    /* protects next_call */
} load_t;

/* A thread's connection to a daemon; closed when ready_changes changes. */
typedef struct session {
	void *session;
	gint ready_changes;
} session_t;

static void add_call(scenario_run_t *r, lab_call_t *call)
{
	g_mutex_lock(&r->lock);
	g_ptr_array_add(r->calls, call);
	g_mutex_unlock(&r->lock);
}

static bool class_is_non_idempotent(const scenario_run_t *r,
				    const char *service, const char *class)
{
	const conf_service_t *s = conf_service(r->lab->conf, str_of(service));
	const conf_class_t *k = s ? conf_class(s, str_of(class)) : NULL;

	return k && !k->idempotent;
}

static void copy_arg(char *to, size_t sz, const step_t *s, const char *word)
{
	const char *v = step_arg(s, word);

	g_strlcpy(to, v ? v : "", sz);
}

static void fill_call(const scenario_run_t *r, const step_t *s, lab_call_t *c)
{
	g_strlcpy(c->tag, s->args[0], sizeof(c->tag));
	g_strlcpy(c->service, s->args[1], sizeof(c->service));
	g_strlcpy(c->class_name, s->args[2], sizeof(c->class_name));
	copy_arg(c->route, sizeof(c->route), s, "route");
	copy_arg(c->key, sizeof(c->key), s, "key");
	c->deadline_ms = (unsigned)step_num(s, "deadline", 0);
	c->daemon_index = (unsigned)step_num(s, "via", 1) - 1;
	c->non_idempotent =
		class_is_non_idempotent(r, c->service, c->class_name);
}

typedef struct query {
	scenario_run_t *run;
	lab_call_t *call;
} query_t;

static gpointer query_thread(gpointer arg)
{
	query_t *q = arg;

	q->call->scheduled_at = standin_now();
	lab_send_call(q->run->lab, q->call);
	add_call(q->run, q->call);
	if (q->run->verbose)
		printf("  %s: HTTP %u in %.1f ms: %.300s\n", q->call->tag,
		       q->call->status, (double)q->call->latency / 1000,
		       q->call->body);
	g_free(q);
	return NULL;
}

/* Polls the readiness of all daemons, as a load balancer does. */
static gpointer balancer_thread(gpointer arg)
{
	scenario_run_t *r = arg;
	char name[16];
	unsigned i;
	gint ready;

	while (!g_atomic_int_get(&r->finished)) {
		for (i = 0; i < r->lab->ndaemons; i++) {
			g_snprintf(name, sizeof(name), "d%u", i + 1);
			ready = lab_is_ready(lab_find_node(r->lab, name));
			if (ready != g_atomic_int_get(&r->ready[i]))
				g_atomic_int_inc(&r->ready_changes[i]);
			g_atomic_int_set(&r->ready[i], ready);
		}
		g_usleep(BALANCER_PERIOD_US);
	}
	return NULL;
}

/* Returns the index of the first ready daemon, searching from index first on,
 * or first if no daemon is ready. */
static unsigned choose_daemon(const scenario_run_t *r, unsigned first)
{
	unsigned n = r->lab->ndaemons;
	unsigned i;

	if (n == 0)
		return 0;
	for (i = 0; i < n; i++)
		if (g_atomic_int_get(&r->ready[(first + i) % n]))
			return (first + i) % n;
	return first % n;
}

/* Returns an open session with a daemon. Replaces a session if the daemon's
 * readiness has changed since it was opened, as a load balancer closes its
 * connections to a daemon that is no longer ready. */
static void *get_session(const load_t *l, session_t *s, unsigned daemon)
{
	gint ready_changes = g_atomic_int_get(&l->run->ready_changes[daemon]);

	if (s[daemon].session && s[daemon].ready_changes != ready_changes) {
		lab_client_free(s[daemon].session);
		s[daemon].session = NULL;
	}
	if (!s[daemon].session)
		s[daemon].session = lab_client_open(l->run->lab, daemon);
	s[daemon].ready_changes = ready_changes;
	return s[daemon].session;
}

static void send_call(load_t *l, session_t *s, lab_call_t *c)
{
	usec_t now = standin_now();

	if (c->scheduled_at > now)
		g_usleep((gulong)(c->scheduled_at - now));
	if (l->any_daemon)
		c->daemon_index = choose_daemon(l->run, c->daemon_index);
	lab_send_call_on(get_session(l, s, c->daemon_index), c);
	/* Measured from the scheduled time, to include the delay in sending. */
	c->latency = standin_now() - c->scheduled_at;
}

static gpointer worker_thread(gpointer arg)
{
	load_t *l = arg;
	session_t sessions[RUN_MAX_DAEMONS] = { 0 };
	unsigned i;

	for (;;) {
		g_mutex_lock(&l->lock);
		i = l->next_call++;
		g_mutex_unlock(&l->lock);
		if (i >= l->ncalls)
			break;
		send_call(l, sessions, &l->calls[i]);
		add_call(l->run, &l->calls[i]);
	}
	for (i = 0; i < RUN_MAX_DAEMONS; i++)
		if (sessions[i].session)
			lab_client_free(sessions[i].session);
	return NULL;
}

static void start_load(scenario_run_t *r, const step_t *s)
{
	double rate = (double)step_num(s, "rate", 10);
	long ms = step_num(s, "for", 1000);
	load_t *l = g_new0(load_t, 1);
	usec_t now = standin_now();
	unsigned i;

	l->run = r;
	l->any_daemon = !step_arg(s, "via");
	l->ncalls = (unsigned)(rate * (double)ms / 1000);
	l->calls = g_new0(lab_call_t, l->ncalls);
	g_ptr_array_add(r->allocations, l->calls);
	g_ptr_array_add(r->allocations, l);
	for (i = 0; i < l->ncalls; i++) {
		lab_call_t *c = &l->calls[i];

		fill_call(r, s, c);
		if (l->any_daemon)
			c->daemon_index = i % r->lab->ndaemons;
		g_snprintf(c->tag, sizeof(c->tag), "%s.%u", s->args[0], i);
		if (*c->route == '\0')
			g_snprintf(c->route, sizeof(c->route), "r%u", i);
		c->scheduled_at = now + (usec_t)((double)i / rate * 1e6);
	}
	if (!r->balancer)
		r->balancer = g_thread_new("balancer", balancer_thread, r);
	for (i = 0; i < LOAD_THREADS; i++)
		g_ptr_array_add(r->threads,
				g_thread_new("load", worker_thread, l));
}

void scenario_run_start_requests(scenario_run_t *r, const step_t *s)
{
	query_t *q;

	if (s->verb == VERB_LOAD) {
		start_load(r, s);
		return;
	}
	q = g_new0(query_t, 1);
	q->run = r;
	q->call = g_new0(lab_call_t, 1);
	g_ptr_array_add(r->allocations, q->call);
	fill_call(r, s, q->call);
	g_ptr_array_add(r->threads, g_thread_new("query", query_thread, q));
}
