/**
 * @file ctl_check_routes.c
 * Command check-routes: faults and probable mistakes of a configuration of
 * routes, and its differences from the version in force.
 */
#include <stdio.h>

#include "libctl.h"

/* What the command prints. */
typedef struct report {
	const char *file;
	const char *against; /* NULL if not given */
	conf_faults_t faults, against_faults;
	rt_findings_t findings;
	rt_changes_t changes;
	uint64_t revision;
} report_t;

static json_t *findings_json(const rt_findings_t *f)
{
	json_t *a = json_array();
	size_t i;

	for (i = 0; i < f->n; i++)
		json_array_append_new(
			a, json_pack("{ss ss% ss%}", "kind",
				     rt_finding_name(f->v[i].kind), "path",
				     f->v[i].path.s, f->v[i].path.sz, "text",
				     f->v[i].text.s, f->v[i].text.sz));
	return a;
}

static json_t *changes_json(const rt_changes_t *d)
{
	json_t *a = json_array();
	size_t i;

	for (i = 0; i < d->n; i++) {
		const rt_change_t *v = &d->v[i];

		json_array_append_new(
			a, json_pack("{ss ss% ss% ss%}", "kind",
				     rt_change_name(v->kind), "path", v->path.s,
				     v->path.sz, "before", v->before.s,
				     v->before.sz, "after", v->after.s,
				     v->after.sz));
	}
	return a;
}

static void print_json(const report_t *r)
{
	json_t *o = json_pack("{sb so so}", "valid", r->faults.n == 0, "faults",
			      ctl_faults_json(&r->faults), "findings",
			      findings_json(&r->findings));

	if (r->against) {
		json_object_set_new(o, "against_faults",
				    ctl_faults_json(&r->against_faults));
		json_object_set_new(o, "changes", changes_json(&r->changes));
	}
	ctl_print_json(o);
}

static void print_faults(const char *file, const conf_faults_t *f)
{
	if (f->n == 0)
		return;
	printf("%s: errors:\n", file);
	conf_print_faults(stdout, f);
}

static void print_change(const rt_change_t *v)
{
	printf("%s %.*s", rt_change_name(v->kind), STR_ARG(v->path));
	if (v->kind == RT_CHANGE_CHANGED)
		printf(": %.*s becomes %.*s", STR_ARG(v->before),
		       STR_ARG(v->after));
	else if (v->before.sz || v->after.sz)
		printf(": %.*s%.*s", STR_ARG(v->before), STR_ARG(v->after));
	putchar('\n');
}

static void print_text(const report_t *r)
{
	size_t i;

	print_faults(r->file, &r->faults);
	if (r->against)
		print_faults(r->against, &r->against_faults);
	if (r->faults.n || r->against_faults.n)
		return;
	for (i = 0; i < r->changes.n; i++)
		print_change(&r->changes.v[i]);
	for (i = 0; i < r->findings.n; i++)
		printf("finding %.*s: %.*s\n", STR_ARG(r->findings.v[i].path),
		       STR_ARG(r->findings.v[i].text));
	printf("%s: revision %llu, findings: %zu", r->file,
	       (unsigned long long)r->revision, r->findings.n);
	if (r->against)
		printf(", differences from %s: %zu", r->against, r->changes.n);
	putchar('\n');
}

/* Returns NULL if the file cannot be read, after printing an error, or has
 * faults, which are added to f. */
static rt_conf_t *read_conf(const char *file, conf_faults_t *f)
{
	ctl_exit_t status;
	rt_conf_t *c;
	str_t text;

	if (!ctl_read_file(file, &text, &status))
		return NULL;
	c = rt_conf_parse(text, f);
	str_free(text);
	return c;
}

ctl_exit_t command_check_routes(ctl_t *c)
{
	rt_conf_t *conf, *before = NULL;
	ctl_exit_t status = CTL_USAGE;
	report_t *r;

	if (c->nargs > 1) {
		fputs("geraniumslip: check-routes takes one file; name the "
		      "version in force with --against FILE\n",
		      stderr);
		return CTL_USAGE;
	}
	r = g_new0(report_t, 1);
	r->file = c->args[0];
	r->against = c->against;
	conf = read_conf(r->file, &r->faults);
	if (r->against)
		before = read_conf(r->against, &r->against_faults);
	if (conf && (before || !r->against)) {
		r->revision = conf->revision;
		rt_conf_check(conf, &r->findings);
		if (before)
			rt_conf_diff(before, conf, &r->changes, &r->findings);
		status = r->findings.n ? CTL_FAULTS : CTL_OK;
	}
	/* A file that cannot be read has no faults and no result. */
	if (status != CTL_USAGE || r->faults.n || r->against_faults.n) {
		if (c->json)
			print_json(r);
		else
			print_text(r);
	}
	rt_conf_unref(conf);
	rt_conf_unref(before);
	rt_findings_free(&r->findings);
	rt_changes_free(&r->changes);
	g_free(r);
	return status;
}
