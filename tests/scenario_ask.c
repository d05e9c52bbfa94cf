/** @file scenario_ask.c Queries and loads of a script, in threads. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "scenario.h"
#include "standin.h"

#define LOAD_WORKERS 48
#define BALANCER_PERIOD (50 * USEC_PER_MSEC)

/* A load: requests at even times, whether or not earlier ones ended. */
typedef struct load {
	run_t *run;
	lab_call_t *calls;
	unsigned ncalls;
	unsigned next;
	bool spread; /* over all daemons */
	GMutex lock;
} load_t;

/* A worker's connection to a daemon, and its readiness count then. */
typedef struct session {
	void *session;
	gint turns;
} session_t;

static void keep(run_t *r, lab_call_t *call)
{
	g_mutex_lock(&r->lock);
	g_ptr_array_add(r->calls, call);
	g_mutex_unlock(&r->lock);
}

static bool class_is_once(const run_t *r, const char *service,
			  const char *class)
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

static void fill(const run_t *r, const step_t *s, lab_call_t *c)
{
	g_strlcpy(c->tag, s->args[0], sizeof(c->tag));
	g_strlcpy(c->service, s->args[1], sizeof(c->service));
	g_strlcpy(c->class_name, s->args[2], sizeof(c->class_name));
	copy_arg(c->route, sizeof(c->route), s, "route");
	copy_arg(c->key, sizeof(c->key), s, "key");
	c->deadline_ms = (unsigned)step_num(s, "deadline", 0);
	c->daemon = (unsigned)step_num(s, "via", 1) - 1;
	c->once = class_is_once(r, c->service, c->class_name);
}

typedef struct one {
	run_t *run;
	lab_call_t *call;
} one_t;

static gpointer query_thread(gpointer arg)
{
	one_t *o = arg;

	o->call->at = standin_now();
	lab_ask(o->run->lab, o->call);
	keep(o->run, o->call);
	if (o->run->verbose)
		printf("  %s: HTTP %u in %.1f ms: %.300s\n", o->call->tag,
		       o->call->status, (double)o->call->took / 1000,
		       o->call->text);
	g_free(o);
	return NULL;
}

/* Plays the balancer: which daemons say that they are ready. */
static gpointer balancer_thread(gpointer arg)
{
	run_t *r = arg;
	char name[16];
	unsigned i;
	gint ready;

	while (!g_atomic_int_get(&r->over)) {
		for (i = 0; i < r->lab->ndaemons; i++) {
			g_snprintf(name, sizeof(name), "d%u", i + 1);
			ready = lab_is_ready(lab_node(r->lab, name));
			if (ready != g_atomic_int_get(&r->ready[i]))
				g_atomic_int_inc(&r->turns[i]);
			g_atomic_int_set(&r->ready[i], ready);
		}
		g_usleep(BALANCER_PERIOD);
	}
	return NULL;
}

/* The daemon whose turn it is, or the next one that is ready. */
static unsigned choose(const run_t *r, unsigned turn)
{
	unsigned n = r->lab->ndaemons;
	unsigned i;

	if (n == 0)
		return 0;
	for (i = 0; i < n; i++)
		if (g_atomic_int_get(&r->ready[(turn + i) % n]))
			return (turn + i) % n;
	return turn % n;
}

/* A balancer keeps no connection to a daemon that was taken out. */
static void *session_for(const load_t *l, session_t *s, unsigned daemon)
{
	gint turns = g_atomic_int_get(&l->run->turns[daemon]);

	if (s[daemon].session && s[daemon].turns != turns) {
		lab_session_free(s[daemon].session);
		s[daemon].session = NULL;
	}
	if (!s[daemon].session)
		s[daemon].session = lab_session(l->run->lab, daemon);
	s[daemon].turns = turns;
	return s[daemon].session;
}

static void worker_ask(load_t *l, session_t *s, lab_call_t *c)
{
	usec_t now = standin_now();

	if (c->at > now)
		g_usleep((gulong)(c->at - now));
	if (l->spread)
		c->daemon = choose(l->run, c->daemon);
	lab_ask_on(session_for(l, s, c->daemon), c);
	/* From when it was due: a slow system does not slow the load. */
	c->took = standin_now() - c->at;
}

static gpointer worker_thread(gpointer arg)
{
	load_t *l = arg;
	session_t sessions[RUN_MAX_DAEMONS] = { 0 };
	unsigned i;

	for (;;) {
		g_mutex_lock(&l->lock);
		i = l->next++;
		g_mutex_unlock(&l->lock);
		if (i >= l->ncalls)
			break;
		worker_ask(l, sessions, &l->calls[i]);
		keep(l->run, &l->calls[i]);
	}
	for (i = 0; i < RUN_MAX_DAEMONS; i++)
		if (sessions[i].session)
			lab_session_free(sessions[i].session);
	return NULL;
}

static void start_load(run_t *r, const step_t *s)
{
	double rate = (double)step_num(s, "rate", 10);
	long ms = step_num(s, "for", 1000);
	load_t *l = g_new0(load_t, 1);
	usec_t now = standin_now();
	unsigned i;

	l->run = r;
	l->spread = !step_arg(s, "via");
	l->ncalls = (unsigned)(rate * (double)ms / 1000);
	l->calls = g_new0(lab_call_t, l->ncalls);
	g_ptr_array_add(r->blocks, l->calls);
	g_ptr_array_add(r->blocks, l);
	for (i = 0; i < l->ncalls; i++) {
		lab_call_t *c = &l->calls[i];

		fill(r, s, c);
		if (l->spread)
			c->daemon = i % r->lab->ndaemons;
		g_snprintf(c->tag, sizeof(c->tag), "%s.%u", s->args[0], i);
		if (*c->route == '\0')
			g_snprintf(c->route, sizeof(c->route), "r%u", i);
		c->at = now + (usec_t)((double)i / rate * 1e6);
	}
	if (!r->balancer)
		r->balancer = g_thread_new("balancer", balancer_thread, r);
	for (i = 0; i < LOAD_WORKERS; i++)
		g_ptr_array_add(r->threads,
				g_thread_new("load", worker_thread, l));
}

void run_ask(run_t *r, const step_t *s)
{
	one_t *o;

	if (s->verb == VERB_LOAD) {
		start_load(r, s);
		return;
	}
	o = g_new0(one_t, 1);
	o->run = r;
	o->call = g_new0(lab_call_t, 1);
	g_ptr_array_add(r->blocks, o->call);
	fill(r, s, o->call);
	g_ptr_array_add(r->threads, g_thread_new("query", query_thread, o));
}
