/** @file conf_print.c Formats a configuration of searches as canonical JSON. */
#include <string.h>

#include "libconf.h"

#define PRINT_FLAGS (JSON_INDENT(1) | JSON_SORT_KEYS)

static json_t *jstr(str_t v)
{
	return json_stringn(v.s ? v.s : "", v.sz);
}

json_t *conf_fleet_json(const conf_t *c)
{
	json_t *dcs = json_array();
	json_t *teams = json_array();
	json_t *o;
	size_t i;

	for (i = 0; i < c->ndcs; i++) {
		o = json_pack("{so so}", "name", jstr(c->dcs[i].name), "region",
			      jstr(c->dcs[i].region));
		json_array_append_new(dcs, o);
	}
	for (i = 0; i < c->nteams; i++) {
		o = json_pack("{so sI}", "name", jstr(c->teams[i].name),
			      "share", (json_int_t)c->teams[i].weight);
		if (c->teams[i].token.sz)
			json_object_set_new(o, "token",
					    jstr(c->teams[i].token));
		json_array_append_new(teams, o);
	}
	return json_pack("{sI sI so so}", "max_daemons",
			 (json_int_t)c->max_daemons, "link_us",
			 (json_int_t)c->link_delay, "data_centres", dcs,
			 "teams", teams);
}

static json_t *class_json(const conf_class_t *k)
{
	json_t *o;

	o = json_pack("{ss ss sb sI sI sf}", "kind",
		      k->kind == CONF_URGENT ? "urgent" : "broad", "scope",
		      k->scope == CONF_ALL ? "all" : "one", "idempotent",
		      k->idempotent, "deadline_ms",
		      (json_int_t)(k->deadline / USEC_PER_MSEC), "soft_ms",
		      (json_int_t)(k->soft_deadline / USEC_PER_MSEC),
		      "min_coverage",
		      k->min_coverage_permille / (double)CONF_PERMILLE);
	if (k->team.sz)
		json_object_set_new(o, "team", jstr(k->team));
	return o;
}

static json_t *group_json(const conf_group_t *g)
{
	json_t *servers = json_array();
	size_t i;

	for (i = 0; i < g->nservers; i++)
		json_array_append_new(servers,
				      json_pack("{so so}", "addr",
						jstr(g->servers[i].addr), "dc",
						jstr(g->servers[i].dc)));
	return json_pack("{so so}", "name", jstr(g->name), "servers", servers);
}

json_t *conf_service_json(const conf_service_t *s)
{
	json_t *groups = json_array();
	json_t *classes = json_object();
	size_t i;

	for (i = 0; i < s->ngroups; i++)
		json_array_append_new(groups, group_json(&s->groups[i]));
	for (i = 0; i < s->nclasses; i++)
		json_object_setn_new(classes, s->classes[i].name.s,
				     s->classes[i].name.sz,
				     class_json(&s->classes[i]));
	return json_pack(
		"{sI sI sI sI so so}", "map", (json_int_t)s->map_version,
		"slots", (json_int_t)s->slots, "connections",
		(json_int_t)s->connections, "holders", (json_int_t)s->holders,
		"groups", groups, "classes", classes);
}

static char *dump(json_t *o)
{
	char *text = json_dumps(o, PRINT_FLAGS);

	json_decref(o);
	return text;
}

char *conf_text(const conf_t *c)
{
	json_t *services = json_object();
	size_t i;

	for (i = 0; i < c->nservices; i++)
		json_object_setn_new(services, c->services[i].name.s,
				     c->services[i].name.sz,
				     conf_service_json(&c->services[i]));
	return dump(json_pack("{sI so so}", "revision", (json_int_t)c->revision,
			      "fleet", conf_fleet_json(c), "services",
			      services));
}

char *conf_section_text(const conf_t *c, str_t section)
{
	static const str_t prefix = STR("service/");
	const conf_service_t *s;

	if (str_eq(section, STR("fleet")))
		return dump(conf_fleet_json(c));
	if (section.sz <= prefix.sz ||
	    memcmp(section.s, prefix.s, prefix.sz) != 0)
		return NULL;
	s = conf_service(
		c, (str_t){ section.s + prefix.sz, section.sz - prefix.sz });
	return s ? dump(conf_service_json(s)) : NULL;
}
