/** @file conf_validate.c Checks names, addresses, references and limits. */
#include <ctype.h>
#include <stdlib.h>

#include "libconf.h"

static bool name_is_valid(str_t v)
{
	size_t i;

	if (v.sz == 0 || v.sz > CONF_MAX_NAME)
		return false;
	for (i = 0; i < v.sz; i++)
		if (!isalnum((unsigned char)v.s[i]) && v.s[i] != '-' &&
		    v.s[i] != '_')
			return false;
	return true;
}

static bool addr_is_valid(str_t v)
{
	char host[ADDR_HOST_MAX];
	unsigned port;

	return addr_split(v, host, &port);
}

static bool dc_is_declared(const conf_t *c, str_t name)
{
	size_t i;

	for (i = 0; i < c->ndcs; i++)
		if (str_eq(c->dcs[i].name, name))
			return true;
	return false;
}

static bool team_is_declared(const conf_t *c, str_t name)
{
	size_t i;

	for (i = 0; i < c->nteams; i++)
		if (str_eq(c->teams[i].name, name))
			return true;
	return false;
}

static int cmp_str(const void *a, const void *b)
{
	return str_cmp(*(const str_t *)a, *(const str_t *)b);
}

/* Adds a fault for each string that occurs again in v; sorts v. */
static void check_unique(str_t *v, size_t n, const char *path, conf_faults_t *f)
{
	size_t i;

	if (n == 0)
		return;
	qsort(v, n, sizeof(*v), cmp_str);
	for (i = 1; i < n; i++)
		if (str_eq(v[i - 1], v[i]))
			conf_fault(f, CONF_E_DUPLICATE, path, "%.*s",
				   STR_ARG(v[i]));
}

static void validate_server(const conf_t *c, const conf_server_t *s,
			    const char *path, conf_faults_t *f)
{
	if (!addr_is_valid(s->addr))
		conf_fault(f, CONF_E_ADDR, path, "%.*s", STR_ARG(s->addr));
	if (!dc_is_declared(c, s->dc))
		conf_fault(f, CONF_E_REFERENCE, path, "data centre %.*s",
			   STR_ARG(s->dc));
}

static void validate_groups(const conf_t *c, const conf_service_t *s,
			    const char *path, conf_faults_t *f)
{
	str_t *names = xcalloc(s->ngroups, sizeof(*names));
	char item_path[160];
	size_t i, j;

	for (i = 0; i < s->ngroups; i++) {
		const conf_group_t *g = &s->groups[i];

		names[i] = g->name;
		snprintf(item_path, sizeof(item_path), "%s/groups/%zu", path,
			 i);
		if (!name_is_valid(g->name))
			conf_fault(f, CONF_E_NAME, item_path, "%.*s",
				   STR_ARG(g->name));
		if (g->nservers == 0)
			conf_fault(f, CONF_E_MISSING, item_path, "servers");
		for (j = 0; j < g->nservers; j++)
			validate_server(c, &g->servers[j], item_path, f);
	}
	check_unique(names, s->ngroups, path, f);
	free(names);
}

static void validate_service(const conf_t *c, const conf_service_t *s,
			     conf_faults_t *f)
{
	char path[112], item_path[160];
	size_t i;

	snprintf(path, sizeof(path), "/services/%.*s", STR_ARG(s->name));
	if (!name_is_valid(s->name))
		conf_fault(f, CONF_E_NAME, path, "%.*s", STR_ARG(s->name));
	if (s->ngroups == 0)
		conf_fault(f, CONF_E_MISSING, path, "groups");
	if (c->max_daemons && conf_daemon_connections(c, s) == 0)
		conf_fault(f, CONF_E_CONNECTIONS, path, "%u for %u daemons",
			   s->connections, c->max_daemons);
	validate_groups(c, s, path, f);
	for (i = 0; i < s->nclasses; i++) {
		const conf_class_t *k = &s->classes[i];

		snprintf(item_path, sizeof(item_path), "%.80s/classes/%.*s",
			 path, STR_ARG(k->name));
		if (!name_is_valid(k->name))
			conf_fault(f, CONF_E_NAME, item_path, "%.*s",
				   STR_ARG(k->name));
		if (!k->idempotent && k->scope != CONF_ONE)
			conf_fault(f, CONF_E_NONIDEMPOTENT_SCOPE, item_path,
				   "%s", "");
		if (k->team.sz && !team_is_declared(c, k->team))
			conf_fault(f, CONF_E_REFERENCE, item_path, "team %.*s",
				   STR_ARG(k->team));
	}
}

/* Checks that no address occurs twice in the whole configuration. */
static void validate_addresses(const conf_t *c, conf_faults_t *f)
{
	size_t n = 0, i, j, k;
	str_t *v;

	for (i = 0; i < c->nservices; i++)
		for (j = 0; j < c->services[i].ngroups; j++)
			n += c->services[i].groups[j].nservers;
	v = xcalloc(n, sizeof(*v));
	n = 0;
	for (i = 0; i < c->nservices; i++)
		for (j = 0; j < c->services[i].ngroups; j++) {
			const conf_group_t *g = &c->services[i].groups[j];

			for (k = 0; k < g->nservers; k++)
				v[n++] = g->servers[k].addr;
		}
	check_unique(v, n, "/services", f);
	free(v);
}

void conf_validate(const conf_t *c, conf_faults_t *f)
{
	str_t *names = xcalloc(c->ndcs + c->nteams, sizeof(*names));
	size_t i;

	for (i = 0; i < c->ndcs; i++) {
		names[i] = c->dcs[i].name;
		if (!name_is_valid(names[i]))
			conf_fault(f, CONF_E_NAME, "/fleet/data_centres",
				   "%.*s", STR_ARG(names[i]));
	}
	check_unique(names, c->ndcs, "/fleet/data_centres", f);
	for (i = 0; i < c->nteams; i++) {
		names[i] = c->teams[i].name;
		if (!name_is_valid(names[i]))
			conf_fault(f, CONF_E_NAME, "/fleet/teams", "%.*s",
				   STR_ARG(names[i]));
	}
	check_unique(names, c->nteams, "/fleet/teams", f);
	free(names);
	for (i = 0; i < c->nservices; i++)
		validate_service(c, &c->services[i], f);
	validate_addresses(c, f);
}
