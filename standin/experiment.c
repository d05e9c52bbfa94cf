/**
 * @file experiment.c
 * Runs a script once for each variant that its "compare" lines name, one after
 * the other, and prints for each load: latency, coverage, and server runs
 * divided by the least number that the requests need. docs/SCENARIOS.md
 * describes the script language.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "scenario.h"
#include "standin.h"

#define MAX_VARIANTS 16

/* Totals of the requests of one load in one variant. */
typedef struct totals {
	char load[64];
	hist_t latencies;
	hist_t overhead; /* time before the first and after the last run */
	unsigned calls;
	unsigned complete;
	unsigned partial;
	unsigned not_run;
	unsigned unknown;
	double groups_answered;
	double groups_needed;
	double server_runs;
} totals_t;

/* Start of the first and end of the last run of a request on servers. */
typedef struct span {
	usec_t first_run;
	usec_t last_end;
} span_t;

/* Converts arguments such as "policy=two" to members of a JSON object;
 * "holders=3" is stored in the variant instead. */
static void read_variant(const step_t *s, variant_t *v)
{
	GString *json = g_string_new("{");
	unsigned i;

	v->name = s->args[0];
	for (i = 1; i < s->nargs; i++) {
		char **kv = g_strsplit(s->args[i], "=", 2);
		bool is_number = kv[1] && g_ascii_isdigit(*kv[1]);

		if (kv[1] && strcmp(kv[0], "holders") == 0)
			v->holders = g_strdup(kv[1]);
		else if (kv[1])
			g_string_append_printf(json, "%s\"%s\":%s%s%s",
					       json->len > 1 ? "," : "", kv[0],
					       is_number ? "" : "\"", kv[1],
					       is_number ? "" : "\"");
		g_strfreev(kv);
	}
	g_string_append(json, "}");
	v->settings = g_string_free(json, FALSE);
}

static unsigned read_variants(const script_t *s, variant_t *v)
{
	unsigned n = 0;
	guint i;

	for (i = 0; i < s->steps->len && n < MAX_VARIANTS; i++) {
		const step_t *step = s->steps->pdata[i];

		if (step->verb == VERB_COMPARE)
			read_variant(step, &v[n++]);
	}
	if (n == 0)
		v[n++].name = "default";
	return n;
}

static totals_t *totals_of(GPtrArray *all, const char *tag)
{
	const char *dot = strchr(tag, '.');
	char load[64];
	totals_t *t;
	guint i;

	g_strlcpy(load, tag, sizeof(load));
	if (dot)
		load[dot - tag] = '\0';
	for (i = 0; i < all->len; i++) {
		t = all->pdata[i];
		if (strcmp(t->load, load) == 0)
			return t;
	}
	t = g_new0(totals_t, 1);
	g_strlcpy(t->load, load, sizeof(t->load));
	g_ptr_array_add(all, t);
	return t;
}

static unsigned groups_needed(const scenario_run_t *r, const lab_call_t *c)
{
	const conf_service_t *s =
		conf_service(r->lab->conf, str_of(c->service));
	const conf_class_t *k = s ? conf_class(s, str_of(c->class_name)) : NULL;

	if (!k)
		return 0;
	return k->scope == CONF_ONE ? 1 : (unsigned)s->ngroups;
}

static void add_call(totals_t *t, const scenario_run_t *r, const lab_call_t *c)
{
	t->calls++;
	t->complete += strcmp(c->outcome, "complete") == 0;
	t->partial += strcmp(c->outcome, "partial") == 0;
	t->not_run += strcmp(c->outcome, "not_run") == 0;
	t->unknown += strcmp(c->outcome, "unknown") == 0;
	t->groups_answered +=
		c->status == 200 || c->status == 206 ? c->answered : 0;
	t->groups_needed += groups_needed(r, c);
	hist_add(&t->latencies, c->latency);
}

static span_t *span_of(GHashTable *spans, const char *tag)
{
	span_t *s = g_hash_table_lookup(spans, tag);

	if (s)
		return s;
	s = g_new0(span_t, 1);
	g_hash_table_insert(spans, (char *)tag, s);
	return s;
}

static GHashTable *read_spans(scenario_run_t *r, GPtrArray *all)
{
	GHashTable *spans =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	guint i;

	for (i = 0; i < r->journal->len; i++) {
		const lab_journal_entry_t *j =
			&g_array_index(r->journal, lab_journal_entry_t, i);
		span_t *s = span_of(spans, j->tag);

		if (strcmp(j->event, "run") == 0) {
			totals_of(all, j->tag)->server_runs++;
			if (s->first_run == 0)
				s->first_run = j->time;
		}
		if (strcmp(j->event, "done") == 0)
			s->last_end = j->time;
	}
	return spans;
}

static GPtrArray *collect_totals(scenario_run_t *r)
{
	GPtrArray *all = g_ptr_array_new();
	GHashTable *spans;
	const span_t *s;
	guint i;

	r->journal = lab_journal(r->lab);
	spans = read_spans(r, all);
	for (i = 0; i < r->calls->len; i++) {
		const lab_call_t *c = r->calls->pdata[i];
		totals_t *t = totals_of(all, c->tag);

		add_call(t, r, c);
		s = g_hash_table_lookup(spans, c->tag);
		if (s && s->last_end)
			hist_add(&t->overhead,
				 c->latency - (s->last_end - s->first_run));
	}
	g_hash_table_destroy(spans);
	return all;
}

static double latency_ms(const totals_t *t, double q)
{
	return (double)hist_quantile(&t->latencies, q) / 1000;
}

static gint compare_loads(gconstpointer x, gconstpointer y)
{
	return strcmp((*(totals_t *const *)x)->load,
		      (*(totals_t *const *)y)->load);
}

static void print_totals(const variant_t *v, GPtrArray *all)
{
	guint i;

	g_ptr_array_sort(all, compare_loads);
	for (i = 0; i < all->len; i++) {
		const totals_t *t = all->pdata[i];

		/* These requests only give the daemons latency samples. */
		if (strcmp(t->load, "warm") == 0)
			continue;
		printf("%-14s %-13s %6u %7.1f %7.1f %7.1f %8.2f%% %7.3f "
		       "%5u %5u %5u %7.2f %7.2f\n",
		       v->name, t->load, t->calls, latency_ms(t, 0.5),
		       latency_ms(t, 0.99), latency_ms(t, 0.999),
		       t->groups_needed
			       ? 100 * t->groups_answered / t->groups_needed
			       : 0,
		       t->groups_needed ? t->server_runs / t->groups_needed : 0,
		       t->partial, t->not_run, t->unknown,
		       (double)hist_quantile(&t->overhead, 0.5) / 1000,
		       (double)hist_quantile(&t->overhead, 0.99) / 1000);
	}
	fflush(stdout);
}

static bool run_variant(const script_t *s, const variant_t *v)
{
	GPtrArray *all;
	scenario_run_t r;
	bool ok;

	scenario_run_init(&r, s);
	r.variant = *v;
	ok = scenario_run_execute(&r);
	if (ok) {
		all = collect_totals(&r);
		print_totals(v, all);
		g_ptr_array_free(all, TRUE);
	}
	scenario_run_clear(&r, false);
	return ok;
}

int main(int argc, char **argv)
{
	variant_t variants[MAX_VARIANTS] = { 0 };
	script_t *s;
	unsigned n, i;
	bool ok = true;

	if (argc != 2) {
		fputs("usage: experiment FILE\n", stderr);
		return EXIT_FAILURE;
	}
	signal(SIGPIPE, SIG_IGN);
	s = script_read(argv[1]);
	if (!s)
		return EXIT_FAILURE;
	n = read_variants(s, variants);
	printf("%-14s %-13s %6s %7s %7s %7s %9s %7s %5s %5s %5s %7s %7s\n",
	       "variant", "load", "calls", "p50 ms", "p99 ms", "p99.9",
	       "coverage", "load/1", "part", "notr", "unkn", "add p50",
	       "add p99");
	for (i = 0; ok && i < n; i++)
		ok = run_variant(s, &variants[i]);
	script_free(s);
	return ok ? EXIT_SUCCESS : EXIT_FAILURE;
}
