/** @file conf_build.c Functions that build a configuration in a C program. */
#include <stdlib.h>
#include <string.h>

#include "libconf.h"

struct conf_builder {
	conf_t *c;
	conf_faults_t faults;
};

/* Extends the array v of n items by a zeroed item and yields its address. */
#define APPEND_ITEM(v, n)                                                      \
	((v) = xrealloc((v), ((n) + 1) * sizeof(*(v))),                        \
	 memset(&(v)[n], 0, sizeof(*(v))), &(v)[(n)++])

static str_t copy_string(conf_builder_t *b, const char *s)
{
	return arena_str(&b->c->mem, str_of(s));
}

/* The service added last; NULL, with a fault for item, if there is none. */
static conf_service_t *last_service(conf_builder_t *b, const char *item)
{
	if (b->c->nservices)
		return &b->c->services[b->c->nservices - 1];
	conf_fault(&b->faults, CONF_E_MISSING, "/services",
		   "%s before any service", item);
	return NULL;
}

conf_builder_t *conf_new(uint64_t revision, unsigned max_daemons)
{
	conf_builder_t *b = xcalloc(1, sizeof(*b));

	b->c = xcalloc(1, sizeof(*b->c));
	b->c->revision = revision;
	b->c->max_daemons = max_daemons;
	return b;
}

void conf_add_dc(conf_builder_t *b, const char *name, const char *region)
{
	conf_dc_t *dc = APPEND_ITEM(b->c->dcs, b->c->ndcs);

	dc->name = copy_string(b, name);
	dc->region = copy_string(b, region);
}

const char *conf_dc_name(const conf_builder_t *b, unsigned i)
{
	return i < b->c->ndcs ? b->c->dcs[i].name.s : "";
}

void conf_add_team(conf_builder_t *b, const char *name, unsigned weight)
{
	conf_team_t *t = APPEND_ITEM(b->c->teams, b->c->nteams);

	t->name = copy_string(b, name);
	t->weight = weight;
}

void conf_set_link(conf_builder_t *b, unsigned usec)
{
	b->c->link_delay = usec;
}

void conf_add_service(conf_builder_t *b, const char *name, unsigned slots,
		      unsigned connections)
{
	conf_service_t *s = APPEND_ITEM(b->c->services, b->c->nservices);

	s->name = copy_string(b, name);
	s->map_version = 1;
	s->slots = slots;
	s->connections = connections;
}

void conf_set_map(conf_builder_t *b, uint32_t map)
{
	conf_service_t *s = last_service(b, "map");

	if (s)
		s->map_version = map;
}

void conf_set_holders(conf_builder_t *b, unsigned holders)
{
	conf_service_t *s = last_service(b, "holders");

	if (s)
		s->holders = holders;
}

void conf_add_group(conf_builder_t *b, const char *name)
{
	conf_service_t *s = last_service(b, "group");
	conf_group_t *g;

	if (!s)
		return;
	g = APPEND_ITEM(s->groups, s->ngroups);
	g->name = copy_string(b, name);
}

void conf_add_server(conf_builder_t *b, const char *dc, const char *ip,
		     unsigned port)
{
	conf_service_t *s = last_service(b, "server");
	conf_group_t *g;
	conf_server_t *v;
	char addr[64];

	if (!s)
		return;
	if (s->ngroups == 0) {
		conf_fault(&b->faults, CONF_E_MISSING, "/services",
			   "%.*s: server before any group", STR_ARG(s->name));
		return;
	}
	g = &s->groups[s->ngroups - 1];
	snprintf(addr, sizeof(addr), "%s:%u", ip, port);
	v = APPEND_ITEM(g->servers, g->nservers);
	v->addr = copy_string(b, addr);
	v->dc = copy_string(b, dc);
}

void conf_add_class(conf_builder_t *b, const conf_class_spec_t *spec)
{
	conf_service_t *s = last_service(b, "class");
	unsigned soft = spec->soft_ms ? spec->soft_ms : spec->deadline_ms;
	conf_class_t *k;

	if (!s)
		return;
	k = APPEND_ITEM(s->classes, s->nclasses);
	k->name = copy_string(b, spec->name);
	k->team = copy_string(b, spec->team);
	k->kind = spec->kind;
	k->scope = spec->scope;
	k->idempotent = spec->idempotent;
	k->deadline = spec->deadline_ms * USEC_PER_MSEC;
	k->soft_deadline = soft * USEC_PER_MSEC;
	k->min_coverage_permille =
		(unsigned)(spec->min_coverage * CONF_PERMILLE + 0.5);
}

/* Frees a configuration with its arrays from APPEND_ITEM(), which are not in
 * the arena that conf_free() frees. */
static void free_model(conf_t *c)
{
	size_t i, j;

	for (i = 0; i < c->nservices; i++) {
		for (j = 0; j < c->services[i].ngroups; j++)
			free(c->services[i].groups[j].servers);
		free(c->services[i].groups);
		free(c->services[i].classes);
	}
	free(c->services);
	free(c->dcs);
	free(c->teams);
	conf_free(c);
}

int conf_emit(conf_builder_t *b, FILE *out, FILE *err)
{
	conf_t *parsed = NULL;
	char *text = conf_text(b->c);
	int rc = 1;

	/* Parsing the text applies the checks that the daemons apply. */
	if (b->faults.n == 0)
		parsed = conf_parse(str_of(text), &b->faults);
	if (parsed) {
		fprintf(out, "%s\n", text);
		rc = 0;
	} else {
		conf_print_faults(err, &b->faults);
	}
	conf_free(parsed);
	free(text);
	free_model(b->c);
	free(b);
	return rc;
}
