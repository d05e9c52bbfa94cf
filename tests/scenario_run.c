/** @file scenario_run.c Runs a script on a lab and counts its failures. */
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "scenario.h"
#include "standin.h"

/* Delay before the checks: servers may still run requests and journal them. */
#define SETTLE_US (300 * USEC_PER_MSEC)
#define NAMES_MAX 128
#define MAX_PRINTED_FAILURES 20

typedef void (*action_fn_t)(scenario_run_t *r, const step_t *s);

static void act_signal(scenario_run_t *r, const step_t *s);
static void act_start(scenario_run_t *r, const step_t *s);
static void act_set(scenario_run_t *r, const step_t *s);
static void act_leaving(scenario_run_t *r, const step_t *s);
static void act_publish(scenario_run_t *r, const step_t *s);
static void act_cut(scenario_run_t *r, const step_t *s);
static void act_heal(scenario_run_t *r, const step_t *s);
static void act_check(scenario_run_t *r, const step_t *s);
static void act_http(scenario_run_t *r, const step_t *s);

static const action_fn_t actions[VERB_MAX] = {
	[VERB_QUERY] = scenario_run_start_requests,
	[VERB_LOAD] = scenario_run_start_requests,
	[VERB_KILL] = act_signal,
	[VERB_FREEZE] = act_signal,
	[VERB_THAW] = act_signal,
	[VERB_TERM] = act_signal,
	[VERB_START] = act_start,
	[VERB_SET] = act_set,
	[VERB_LEAVING] = act_leaving,
	[VERB_LIVE] = act_leaving,
	[VERB_PUBLISH] = act_publish,
	[VERB_CUT] = act_cut,
	[VERB_HEAL] = act_heal,
	[VERB_CHECK] = act_check,
	[VERB_HTTP] = act_http,
};

static const int signals[VERB_MAX] = {
	[VERB_KILL] = SIGKILL,
	[VERB_FREEZE] = SIGSTOP,
	[VERB_THAW] = SIGCONT,
	[VERB_TERM] = SIGTERM,
};

void scenario_run_fail(scenario_run_t *r, unsigned line, const char *fmt, ...)
{
	va_list ap;

	r->failures++;
	if (r->failures > MAX_PRINTED_FAILURES)
		return;
	fprintf(stderr, "  %s:%u: ", r->script->name, line);
	va_start(ap, fmt);
	vfprintf(stderr, fmt, ap);
	va_end(ap);
	fputc('\n', stderr);
}

typedef void (*node_fn_t)(scenario_run_t *r, const step_t *s, lab_node_t *n);

/* Calls fn for each node whose name matches the first argument. */
static void for_each_node(scenario_run_t *r, const step_t *s, node_fn_t fn)
{
	unsigned found = 0;
	guint i;

	for (i = 0; i < r->lab->nodes->len; i++) {
		lab_node_t *n = r->lab->nodes->pdata[i];

		if (!g_pattern_match_simple(s->args[0], n->name))
			continue;
		found++;
		fn(r, s, n);
	}
	if (found == 0)
		scenario_run_fail(r, s->line, "no node is named %s",
				  s->args[0]);
}

static void signal_node(scenario_run_t *r, const step_t *s, lab_node_t *n)
{
	(void)r;
	lab_signal(n, signals[s->verb]);
}

static void act_signal(scenario_run_t *r, const step_t *s)
{
	for_each_node(r, s, signal_node);
}

static void start_node(scenario_run_t *r, const step_t *s, lab_node_t *n)
{
	if (!lab_wait_exit(n, 10 * USEC_PER_SEC) || !lab_spawn(r->lab, n))
		scenario_run_fail(r, s->line, "%s cannot be started", n->name);
}

static void act_start(scenario_run_t *r, const step_t *s)
{
	for_each_node(r, s, start_node);
}

static void set_node(scenario_run_t *r, const step_t *s, lab_node_t *n)
{
	unsigned i;

	for (i = 1; i < s->nargs; i++)
		if (!lab_control(n, s->args[i]))
			scenario_run_fail(r, s->line,
					  "%s rejects the command %s", n->name,
					  s->args[i]);
}

static void act_set(scenario_run_t *r, const step_t *s)
{
	for_each_node(r, s, set_node);
}

static void mark_node(scenario_run_t *r, const step_t *s, lab_node_t *n)
{
	(void)r;
	n->leaving = s->verb == VERB_LEAVING;
}

static void act_leaving(scenario_run_t *r, const step_t *s)
{
	for_each_node(r, s, mark_node);
	if (!lab_publish_hosts(r->lab))
		scenario_run_fail(r, s->line,
				  "the list of hosts cannot be published");
}

static void act_publish(scenario_run_t *r, const step_t *s)
{
	char *text = scenario_run_conf_text(r, s);

	if (!text || !lab_publish(r->lab, text))
		scenario_run_fail(r, s->line,
				  "cannot build or publish the configuration");
	free(text);
}

/* Cuts a daemon off from the nodes that match the second argument. */
static void act_cut(scenario_run_t *r, const step_t *s)
{
	lab_node_t *from = lab_find_node(r->lab, s->args[0]);
	guint i;

	if (!from) {
		scenario_run_fail(r, s->line, "no node is named %s",
				  s->args[0]);
		return;
	}
	for (i = 0; i < r->lab->nodes->len; i++) {
		lab_node_t *n = r->lab->nodes->pdata[i];

		if (n != from && g_pattern_match_simple(s->args[1], n->name) &&
		    !lab_partition(from, n))
			scenario_run_fail(r, s->line, "%s cannot be cut off",
					  n->name);
	}
}

static void act_heal(scenario_run_t *r, const step_t *s)
{
	(void)s;
	lab_end_partitions(r->lab);
}

/* http NODE front|admin METHOD PATH STATUS [class C] [token T] [body B] */
static void act_http(scenario_run_t *r, const step_t *s)
{
	const lab_node_t *n = lab_find_node(r->lab, s->args[0]);
	char addr[32];
	int status;

	if (!n) {
		scenario_run_fail(r, s->line, "no node is named %s",
				  s->args[0]);
		return;
	}
	g_snprintf(addr, sizeof(addr), "%s:%s", n->ip,
		   strcmp(s->args[1], "admin") == 0 ? "8001" : "8000");
	status = lab_http(addr, s->args[2], s->args[3], step_arg(s, "token"),
			  step_arg(s, "class"), step_arg(s, "body"));
	if (status != (int)strtol(s->args[4], NULL, 10))
		scenario_run_fail(r, s->line, "%s %s: HTTP status %d",
				  s->args[2], s->args[3], status);
}

static void check_node(scenario_run_t *r, const step_t *s, lab_node_t *n)
{
	double want = g_ascii_strtod(s->args[2], NULL);
	double got = lab_status_number(n, s->args[1]);

	if (got != want)
		scenario_run_fail(r, s->line, "%s: at %ld ms %s is %g", n->name,
				  s->at_ms, s->args[1], got);
}

static void act_check(scenario_run_t *r, const step_t *s)
{
	for_each_node(r, s, check_node);
}

static void set_options(scenario_run_t *r)
{
	lab_t *l = r->lab;
	const char *v;
	guint i;

	if (r->variant.settings)
		g_strlcpy(l->extra_settings, r->variant.settings,
			  sizeof(l->extra_settings));

	for (i = 0; i < r->script->steps->len; i++) {
		const step_t *s = r->script->steps->pdata[i];

		if (s->verb != VERB_SERVERS && s->verb != VERB_OPTION)
			continue;
		if ((v = step_arg(s, "held")))
			g_strlcpy(l->held_snapshots, v,
				  sizeof(l->held_snapshots));
		if ((v = step_arg(s, "policy")))
			g_strlcpy(l->policy, v, sizeof(l->policy));
		if ((v = step_arg(s, "log")))
			g_strlcpy(l->log_level, v, sizeof(l->log_level));
		l->peer_keys |= step_has(s, "peer_keys");
		l->wrong_key_daemon =
			(unsigned)step_num(s, "wrong_key", l->wrong_key_daemon);
		l->late_daemon = (unsigned)step_num(s, "late", l->late_daemon);
		l->service_us =
			(unsigned)step_num(s, "service_us", l->service_us);
		l->sigma_percent =
			(unsigned)step_num(s, "sigma", l->sigma_percent);
		l->connect_us =
			(unsigned)step_num(s, "connect_us", l->connect_us);
		l->stop_grace_ms = (unsigned)step_num(s, "stop_grace_ms",
						      l->stop_grace_ms);
	}
}

static unsigned daemon_count(const script_t *script)
{
	guint i;

	for (i = 0; i < script->steps->len; i++) {
		const step_t *s = script->steps->pdata[i];

		if (s->verb == VERB_DAEMONS)
			return (unsigned)strtoul(s->args[0], NULL, 10);
	}
	return 3;
}

static bool start_lab(scenario_run_t *r)
{
	conf_faults_t *f = g_new0(conf_faults_t, 1);
	char *text = scenario_run_conf_text(r, NULL);
	conf_t *conf = text ? conf_parse(str_of(text), f) : NULL;
	bool ok = conf && lab_start(r->lab, conf, daemon_count(r->script));

	g_free(f);
	free(text);
	return ok;
}

static gint cmp_time(gconstpointer x, gconstpointer y)
{
	const step_t *a = *(step_t *const *)x;
	const step_t *b = *(step_t *const *)y;

	if (a->at_ms != b->at_ms)
		return a->at_ms < b->at_ms ? -1 : 1;
	return a->line < b->line ? -1 : 1;
}

static void run_actions(scenario_run_t *r)
{
	GPtrArray *order = g_ptr_array_new();
	guint i;

	for (i = 0; i < r->script->steps->len; i++) {
		step_t *s = r->script->steps->pdata[i];

		if (actions[s->verb])
			g_ptr_array_add(order, s);
	}
	g_ptr_array_sort(order, cmp_time);
	r->started_at = standin_now();
	for (i = 0; i < order->len; i++) {
		const step_t *s = order->pdata[i];
		usec_t wait_us = r->started_at + s->at_ms * USEC_PER_MSEC -
				 standin_now();

		if (wait_us > 0)
			g_usleep((gulong)wait_us);
		if (r->verbose)
			printf("> %s\n", s->text);
		actions[s->verb](r, s);
	}
	g_ptr_array_free(order, TRUE);
	for (i = 0; i < r->threads->len; i++)
		g_thread_join(r->threads->pdata[i]);
	g_atomic_int_set(&r->finished, 1);
	if (r->balancer)
		g_thread_join(r->balancer);
	g_usleep((gulong)SETTLE_US);
}

void scenario_run_init(scenario_run_t *r, const script_t *s)
{
	guint i;

	*r = (scenario_run_t){ .script = s };
	g_mutex_init(&r->lock);
	for (i = 0; i < RUN_MAX_DAEMONS; i++)
		r->ready[i] = 1;
	r->calls = g_ptr_array_new();
	r->threads = g_ptr_array_new();
	r->allocations = g_ptr_array_new_with_free_func(g_free);
	r->lab = lab_new();
}

bool scenario_run_execute(scenario_run_t *r)
{
	set_options(r);
	if (!start_lab(r))
		return false;
	run_actions(r);
	return true;
}

void scenario_run_clear(scenario_run_t *r, bool keep)
{
	guint i;

	lab_free(r->lab, keep);
	for (i = 0; i < r->calls->len; i++)
		g_free(((lab_call_t *)r->calls->pdata[i])->body);
	if (r->runs_by_tag)
		g_hash_table_destroy(r->runs_by_tag);
	if (r->journal)
		g_array_free(r->journal, TRUE);
	g_ptr_array_free(r->allocations, TRUE);
	g_ptr_array_free(r->threads, TRUE);
	g_ptr_array_free(r->calls, TRUE);
}

unsigned scenario_run_script(const script_t *s, bool verbose, bool keep)
{
	scenario_run_t r;

	scenario_run_init(&r, s);
	r.verbose = verbose;
	if (scenario_run_execute(&r))
		scenario_run_check(&r);
	else
		scenario_run_fail(&r, 0, "the deployment does not start");
	if (r.failures)
		fprintf(stderr, "  %s: %u failures%s%s\n", s->name, r.failures,
			keep ? ", files in " : "", keep ? r.lab->dir : "");
	scenario_run_clear(&r, keep && r.failures);
	return r.failures;
}
