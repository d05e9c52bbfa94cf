/**
 * @file scenario_check.c
 * Checks at the end of a script, against the servers' journals: first the
 * invariants of every request in every script, then the script's expectations.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "scenario.h"

typedef void (*check_fn_t)(scenario_run_t *r, const step_t *s);

static void check_outcome(scenario_run_t *r, const step_t *s);
static void check_share(scenario_run_t *r, const step_t *s);
static void check_coverage(scenario_run_t *r, const step_t *s);
static void check_snapshot(scenario_run_t *r, const step_t *s);
static void check_reason(scenario_run_t *r, const step_t *s);
static void check_runs(scenario_run_t *r, const step_t *s);
static void check_took(scenario_run_t *r, const step_t *s);
static void check_quantile(scenario_run_t *r, const step_t *s);
static void check_idle_after(scenario_run_t *r, const step_t *s);
static void check_ran(scenario_run_t *r, const step_t *s);
static void check_exit(scenario_run_t *r, const step_t *s);
static void check_status(scenario_run_t *r, const step_t *s);
static void check_number(scenario_run_t *r, const step_t *s);

static const check_fn_t checks[VERB_MAX] = {
	[VERB_OUTCOME] = check_outcome,
	[VERB_SHARE] = check_share,
	[VERB_COVERAGE] = check_coverage,
	[VERB_SNAPSHOT] = check_snapshot,
	[VERB_REASON] = check_reason,
	[VERB_RUNS] = check_runs,
	[VERB_TOOK] = check_took,
	[VERB_QUANTILE] = check_quantile,
	[VERB_IDLE_AFTER] = check_idle_after,
	[VERB_RAN] = check_ran,
	[VERB_EXIT] = check_exit,
	[VERB_STATUS] = check_status,
	[VERB_NUMBER] = check_number,
};

static unsigned run_count(const scenario_run_t *r, const char *tag)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(r->runs_by_tag, tag));
}

static void count_runs(scenario_run_t *r)
{
	guint i;

	r->runs_by_tag = g_hash_table_new(g_str_hash, g_str_equal);
	for (i = 0; i < r->journal->len; i++) {
		lab_journal_entry_t *j =
			&g_array_index(r->journal, lab_journal_entry_t, i);

		if (strcmp(j->event, "run") == 0)
			g_hash_table_insert(
				r->runs_by_tag, j->tag,
				GUINT_TO_POINTER(run_count(r, j->tag) + 1));
	}
}

static bool has_outcome(const lab_call_t *c, const char *outcome)
{
	return strcmp(c->outcome, outcome) == 0;
}

static bool has_answer(const lab_call_t *c)
{
	return has_outcome(c, "complete") || has_outcome(c, "partial");
}

/*
 * Checks that hits come from one snapshot and belong to the request, that the
 * reported coverage matches the hits, that a request without idempotency key
 * did not run if it was answered "not_run", and that a non-idempotent request
 * ran at most once, and exactly once if it was answered "complete".
 */
static void check_invariants(scenario_run_t *r, const lab_call_t *c)
{
	if (c->status == 0)
		return;
	if (c->has_other_snapshot)
		scenario_run_fail(r, 0, "%s: hits of another snapshot", c->tag);
	if (c->has_foreign_hit)
		scenario_run_fail(r, 0, "%s: hits of another request", c->tag);
	if (has_answer(c) && c->hit_groups != c->answered)
		scenario_run_fail(r, 0, "%s: reports %u groups, hits are of %u",
				  c->tag, c->answered, c->hit_groups);
	if (has_answer(c) && c->answered + c->missing != c->total)
		scenario_run_fail(r, 0, "%s: %u answered and %u missing of %u",
				  c->tag, c->answered, c->missing, c->total);
	if (has_outcome(c, "complete") && c->answered != c->total)
		scenario_run_fail(r, 0, "%s: complete with %u of %u", c->tag,
				  c->answered, c->total);
	if (has_outcome(c, "not_run") && *c->key == '\0' &&
	    run_count(r, c->tag))
		scenario_run_fail(r, 0,
				  "%s: answered not run, but ran %u times",
				  c->tag, run_count(r, c->tag));
	if (c->non_idempotent && run_count(r, c->tag) > 1)
		scenario_run_fail(r, 0, "%s: non-idempotent, ran %u times",
				  c->tag, run_count(r, c->tag));
	if (c->non_idempotent && has_outcome(c, "complete") &&
	    run_count(r, c->tag) != 1)
		scenario_run_fail(r, 0,
				  "%s: answered complete, but ran %u times",
				  c->tag, run_count(r, c->tag));
}

/* Returns true if a call is the query, or part of the load, of this name. */
static bool belongs_to(const lab_call_t *c, const char *subject)
{
	size_t n = strlen(subject);

	return strncmp(c->tag, subject, n) == 0 &&
	       (c->tag[n] == '\0' || c->tag[n] == '.');
}

static GPtrArray *calls_of(scenario_run_t *r, const step_t *s)
{
	GPtrArray *a = g_ptr_array_new();
	guint i;

	for (i = 0; i < r->calls->len; i++)
		if (belongs_to(r->calls->pdata[i], s->subject))
			g_ptr_array_add(a, r->calls->pdata[i]);
	if (a->len == 0)
		scenario_run_fail(r, s->line, "no request is named %s",
				  s->subject);
	return a;
}

static bool is_expected(const step_t *s, const char *value)
{
	return step_has(s, value);
}

static void check_outcome(scenario_run_t *r, const step_t *s)
{
	GPtrArray *a = calls_of(r, s);
	guint i;

	for (i = 0; i < a->len; i++) {
		const lab_call_t *c = a->pdata[i];

		if (!is_expected(s, *c->outcome ? c->outcome : "none"))
			scenario_run_fail(
				r, s->line, "%s: outcome %s (%s), HTTP %u",
				c->tag, c->outcome, c->reason, c->status);
	}
	g_ptr_array_free(a, TRUE);
}

static bool compare(double value, const char *op, double bound)
{
	if (strcmp(op, "<=") == 0)
		return value <= bound;
	if (strcmp(op, ">=") == 0)
		return value >= bound;
	return strcmp(op, "=") == 0 && value == bound;
}

/* expect TAG share OUTCOME >= PERCENT */
static void check_share(scenario_run_t *r, const step_t *s)
{
	GPtrArray *a = calls_of(r, s);
	double n = 0, share;
	guint i;

	for (i = 0; i < a->len; i++)
		n += has_outcome(a->pdata[i], s->args[0]);
	share = a->len ? 100 * n / a->len : 0;
	if (s->nargs < 3 ||
	    !compare(share, s->args[1], g_ascii_strtod(s->args[2], NULL)))
		scenario_run_fail(r, s->line, "%s: %.2f%% of %u are %s",
				  s->subject, share, a->len, s->args[0]);
	g_ptr_array_free(a, TRUE);
}

static void check_coverage(scenario_run_t *r, const step_t *s)
{
	GPtrArray *a = calls_of(r, s);
	unsigned want = (unsigned)strtoul(s->args[0], NULL, 10);
	guint i;

	for (i = 0; i < a->len; i++) {
		const lab_call_t *c = a->pdata[i];

		if (c->answered != want)
			scenario_run_fail(r, s->line, "%s: coverage %u of %u",
					  c->tag, c->answered, c->total);
	}
	g_ptr_array_free(a, TRUE);
}

static void check_snapshot(scenario_run_t *r, const step_t *s)
{
	GPtrArray *a = calls_of(r, s);
	guint64 want = g_ascii_strtoull(s->args[0], NULL, 10);
	guint i;

	for (i = 0; i < a->len; i++) {
		const lab_call_t *c = a->pdata[i];

		if (c->snapshot != want)
			scenario_run_fail(r, s->line, "%s: snapshot %llu",
					  c->tag,
					  (unsigned long long)c->snapshot);
	}
	g_ptr_array_free(a, TRUE);
}

static void check_reason(scenario_run_t *r, const step_t *s)
{
	GPtrArray *a = calls_of(r, s);
	guint i;

	for (i = 0; i < a->len; i++) {
		const lab_call_t *c = a->pdata[i];

		if (!is_expected(s, c->reason))
			scenario_run_fail(r, s->line, "%s: reason %s", c->tag,
					  c->reason);
	}
	g_ptr_array_free(a, TRUE);
}

/* expect TAG runs OP N */
static void check_runs(scenario_run_t *r, const step_t *s)
{
	GPtrArray *a = calls_of(r, s);
	guint i;

	for (i = 0; i < a->len; i++) {
		const lab_call_t *c = a->pdata[i];

		if (!compare(run_count(r, c->tag), s->args[0],
			     g_ascii_strtod(s->args[1], NULL)))
			scenario_run_fail(r, s->line, "%s: ran %u times",
					  c->tag, run_count(r, c->tag));
	}
	g_ptr_array_free(a, TRUE);
}

static gint compare_latencies(gconstpointer x, gconstpointer y)
{
	const lab_call_t *a = *(lab_call_t *const *)x;
	const lab_call_t *b = *(lab_call_t *const *)y;

	return (a->latency > b->latency) - (a->latency < b->latency);
}

static void check_quantile_of(scenario_run_t *r, const step_t *s,
			      double percent, const char *op, const char *ms)
{
	GPtrArray *a = calls_of(r, s);
	const lab_call_t *c;
	guint i;

	if (a->len == 0)
		goto out;
	g_ptr_array_sort(a, compare_latencies);
	i = (guint)(percent / 100 * a->len);
	c = a->pdata[i < a->len ? i : a->len - 1];
	if (!compare((double)c->latency / 1000, op, g_ascii_strtod(ms, NULL)))
		scenario_run_fail(
			r, s->line, "%s: the %g%% quantile is %.1f ms (%s)",
			s->subject, percent, (double)c->latency / 1000, c->tag);
out:
	g_ptr_array_free(a, TRUE);
}

/* expect TAG took OP MS */
static void check_took(scenario_run_t *r, const step_t *s)
{
	check_quantile_of(r, s, 100, s->args[0], s->args[1]);
}

/* expect TAG quantile PERCENT OP MS */
static void check_quantile(scenario_run_t *r, const step_t *s)
{
	check_quantile_of(r, s, g_ascii_strtod(s->args[0], NULL), s->args[1],
			  s->args[2]);
}

/* Returns the node that listens on an address if its name matches a pattern,
 * else NULL. */
static const lab_node_t *node_at(const scenario_run_t *r, const char *pattern,
				 const char *addr)
{
	guint i;

	for (i = 0; i < r->lab->nodes->len; i++) {
		const lab_node_t *n = r->lab->nodes->pdata[i];

		if (strcmp(n->addr, addr) == 0 &&
		    g_pattern_match_simple(pattern, n->name))
			return n;
	}
	return NULL;
}

/*
 * Returns the number of requests, run or refused, that the servers matching a
 * pattern have received since a time, according to their journals.
 */
static unsigned requests_after(const scenario_run_t *r, const char *pattern,
			       usec_t after)
{
	unsigned n = 0;
	guint i;

	for (i = 0; i < r->journal->len; i++) {
		const lab_journal_entry_t *j =
			&g_array_index(r->journal, lab_journal_entry_t, i);

		if (j->time >= after && strcmp(j->event, "done") != 0 &&
		    strcmp(j->event, "cancel") != 0 &&
		    node_at(r, pattern, j->server))
			n++;
	}
	return n;
}

/* Refused requests count too: they should not have been sent. */
static void check_idle_after(scenario_run_t *r, const step_t *s)
{
	usec_t after = strtol(s->args[0], NULL, 10) * USEC_PER_MSEC;
	unsigned n = requests_after(r, s->subject, r->started_at + after);

	if (n)
		scenario_run_fail(r, s->line, "%s: %u requests after %s ms",
				  s->subject, n, s->args[0]);
}

static void check_ran(scenario_run_t *r, const step_t *s)
{
	if (requests_after(r, s->subject, 0) == 0)
		scenario_run_fail(r, s->line, "%s: received no request",
				  s->subject);
}

static void check_exit(scenario_run_t *r, const step_t *s)
{
	lab_node_t *n = lab_find_node(r->lab, s->subject);
	int want = (int)strtol(s->args[0], NULL, 10);

	if (!n || !lab_wait_exit(n, 10 * USEC_PER_SEC))
		scenario_run_fail(r, s->line, "%s: still running", s->subject);
	else if (n->exit_status != want)
		scenario_run_fail(r, s->line, "%s: wait status %d", s->subject,
				  n->exit_status);
}

/* expect NODE status MEMBER VALUE */
static void check_status(scenario_run_t *r, const step_t *s)
{
	double want = g_ascii_strtod(s->args[1], NULL);
	guint i;

	for (i = 0; i < r->lab->nodes->len; i++) {
		const lab_node_t *n = r->lab->nodes->pdata[i];
		double got;

		if (n->role != LAB_DAEMON || n->pid == 0 ||
		    !g_pattern_match_simple(s->subject, n->name))
			continue;
		got = lab_status_number(n, s->args[0]);
		if (got != want)
			scenario_run_fail(r, s->line, "%s: %s is %g", n->name,
					  s->args[0], got);
	}
}

/* expect NODE number MEMBER OP N: a number that a stand-in reports */
static void check_number(scenario_run_t *r, const step_t *s)
{
	double bound = g_ascii_strtod(s->args[2], NULL);
	guint i;

	for (i = 0; i < r->lab->nodes->len; i++) {
		const lab_node_t *n = r->lab->nodes->pdata[i];
		double got;

		if (n->role == LAB_DAEMON || n->pid == 0 ||
		    !g_pattern_match_simple(s->subject, n->name))
			continue;
		got = lab_control_number(n, s->args[0]);
		if (!compare(got, s->args[1], bound))
			scenario_run_fail(r, s->line, "%s: %s is %g", n->name,
					  s->args[0], got);
	}
}

void scenario_run_check(scenario_run_t *r)
{
	guint i;

	r->journal = lab_journal(r->lab);
	count_runs(r);
	for (i = 0; i < r->calls->len; i++)
		check_invariants(r, r->calls->pdata[i]);
	for (i = 0; i < r->script->steps->len; i++) {
		const step_t *s = r->script->steps->pdata[i];

		if (checks[s->verb])
			checks[s->verb](r, s);
	}
}
