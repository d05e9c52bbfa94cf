/** @file conf_build.c The operator library: builds a configuration in code. */
#include <stdlib.h>
#include <string.h>

#include "libconf.h"

struct conf_builder {
	conf_t *c;
	conf_faults_t faults;
};

/* Grows an array of the model by one zeroed item and returns that item. */
#define GROW(v, n)                                                             \
	((v) = xrealloc((v), ((n) + 1) * sizeof(*(v))),                        \
	 memset(&(v)[n], 0, sizeof(*(v))), &(v)[(n)++])

static str_t keep(conf_builder_t *b, const char *s)
{
	return arena_str(&b->c->mem, str_of(s));
}

/* The last service, or NULL with a fault noted. */
static conf_service_t *last_service(conf_builder_t *b, const char *what)
{
	if (b->c->nservices)
		return &b->c->services[b->c->nservices - 1];
	conf_fault(&b->faults, CONF_E_MISSING, "/services",
		   "%s before any service", what);
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
	conf_dc_t *dc = GROW(b->c->dcs, b->c->ndcs);

	dc->name = keep(b, name);
	dc->region = keep(b, region);
}

const char *conf_dc_name(const conf_builder_t *b, unsigned i)
{
	return i < b->c->ndcs ? b->c->dcs[i].name.s : "";
}

void conf_add_team(conf_builder_t *b, const char *name, unsigned share)
{
	conf_team_t *t = GROW(b->c->teams, b->c->nteams);

	t->name = keep(b, name);
	t->share = share;
}

void conf_set_link(conf_builder_t *b, unsigned usec)
{
	b->c->link = usec;
}

void conf_add_service(conf_builder_t *b, const char *name, unsigned slots,
		      unsigned connections)
{
	conf_service_t *s = GROW(b->c->services, b->c->nservices);

	s->name = keep(b, name);
	s->map = 1;
	s->slots = slots;
	s->connections = connections;
}

void conf_set_map(conf_builder_t *b, uint32_t map)
{
	conf_service_t *s = last_service(b, "map");

	if (s)
		s->map = map;
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
	g = GROW(s->groups, s->ngroups);
	g->name = keep(b, name);
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
	v = GROW(g->servers, g->nservers);
	v->addr = keep(b, addr);
	v->dc = keep(b, dc);
}

void conf_add_class(conf_builder_t *b, const conf_class_spec_t *spec)
{
	conf_service_t *s = last_service(b, "class");
	unsigned soft = spec->soft_ms ? spec->soft_ms : spec->deadline_ms;
	conf_class_t *k;

	if (!s)
		return;
	k = GROW(s->classes, s->nclasses);
	k->name = keep(b, spec->name);
	k->team = keep(b, spec->team);
	k->kind = spec->kind;
	k->scope = spec->scope;
	k->idempotent = spec->idempotent;
	k->deadline = spec->deadline_ms * USEC_PER_MSEC;
	k->soft = soft * USEC_PER_MSEC;
	k->min_coverage = (unsigned)(spec->min_coverage * 1000 + 0.5);
}

/* What was grown here lies outside the arena. */
static void free_grown(conf_t *c)
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
	conf_t *read_back = NULL;
	char *text = conf_text(b->c);
	int rc = 1;

	/* Reading the text back applies every check that daemons apply. */
	if (b->faults.n == 0)
		read_back = conf_parse(str_of(text), &b->faults);
	if (read_back) {
		fprintf(out, "%s\n", text);
		rc = 0;
	} else {
		conf_print_faults(err, &b->faults);
	}
	conf_free(read_back);
	free(text);
	free_grown(b->c);
	free(b);
	return rc;
}
