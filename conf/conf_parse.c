/** @file conf_parse.c Parses the JSON text of a configuration of searches. */
#include <string.h>

#include "libconf.h"

static void parse_fleet(conf_cursor_t *cu, json_t *o);
static void parse_services(conf_cursor_t *cu, json_t *o);
static void parse_service(conf_cursor_t *cu, json_t *o, conf_service_t *s);
static void parse_groups(conf_cursor_t *cu, json_t *a, conf_service_t *s);
static void parse_class(conf_cursor_t *cu, json_t *o, conf_class_t *k);

static void parse_dcs(conf_cursor_t *cu, json_t *a)
{
	static const char *const keys[] = { "name", "region", NULL };
	size_t n = cur_push_key(cu, "data_centres");
	size_t i, m;
	json_t *o;

	cu->c->dcs = cur_alloc_array(cu, a, CONF_MAX_DATA_CENTRES,
				     sizeof(conf_dc_t), &cu->c->ndcs);
	for (i = 0; i < cu->c->ndcs; i++) {
		m = cur_push_index(cu, i);
		o = json_array_get(a, i);
		if (cur_require_object(cu, o)) {
			cur_check_keys(cu, o, keys);
			cu->c->dcs[i].name = cur_str(cu, o, "name", false);
			cu->c->dcs[i].region = cur_str(cu, o, "region", false);
		}
		cur_pop(cu, m);
	}
	cur_pop(cu, n);
}

static void parse_teams(conf_cursor_t *cu, json_t *a)
{
	static const char *const keys[] = { "name", "share", "token", NULL };
	size_t n = cur_push_key(cu, "teams");
	size_t i, m;
	conf_team_t *t;
	json_t *o;

	cu->c->teams = cur_alloc_array(cu, a, CONF_MAX_TEAMS, sizeof(*t),
				       &cu->c->nteams);
	for (i = 0; i < cu->c->nteams; i++) {
		t = &cu->c->teams[i];
		m = cur_push_index(cu, i);
		o = json_array_get(a, i);
		if (cur_require_object(cu, o)) {
			cur_check_keys(cu, o, keys);
			t->name = cur_str(cu, o, "name", false);
			t->token = cur_str(cu, o, "token", true);
			t->weight = (unsigned)cur_uint(cu, o, "share", 1, 1,
						       CONF_MAX_WEIGHT);
		}
		cur_pop(cu, m);
	}
	cur_pop(cu, n);
}

static void parse_fleet(conf_cursor_t *cu, json_t *o)
{
	static const char *const keys[] = { "data_centres", "teams", "link_us",
					    "max_daemons", NULL };
	size_t n = cur_push_key(cu, "fleet");

	cur_check_keys(cu, o, keys);
	cu->c->max_daemons = (unsigned)cur_uint(
		cu, o, "max_daemons", UINT64_MAX, 1, CONF_MAX_DAEMONS);
	cu->c->link_delay =
		(usec_t)cur_uint(cu, o, "link_us", 0, 0, CONF_MAX_LINK_US);
	parse_dcs(cu, cur_require(cu, o, "data_centres", JSON_ARRAY));
	if (json_object_get(o, "teams"))
		parse_teams(cu, cur_require(cu, o, "teams", JSON_ARRAY));
	cur_pop(cu, n);
}

static void parse_servers(conf_cursor_t *cu, json_t *a, conf_group_t *g)
{
	static const char *const keys[] = { "addr", "dc", NULL };
	size_t n = cur_push_key(cu, "servers");
	size_t i, m;
	json_t *o;

	g->servers = cur_alloc_array(cu, a, CONF_MAX_SERVERS,
				     sizeof(*g->servers), &g->nservers);
	for (i = 0; i < g->nservers; i++) {
		m = cur_push_index(cu, i);
		o = json_array_get(a, i);
		if (cur_require_object(cu, o)) {
			cur_check_keys(cu, o, keys);
			g->servers[i].addr = cur_str(cu, o, "addr", false);
			g->servers[i].dc = cur_str(cu, o, "dc", false);
		}
		cur_pop(cu, m);
	}
	cur_pop(cu, n);
}

static void parse_groups(conf_cursor_t *cu, json_t *a, conf_service_t *s)
{
	static const char *const keys[] = { "name", "servers", NULL };
	size_t n = cur_push_key(cu, "groups");
	size_t i, m;
	json_t *o;

	s->groups = cur_alloc_array(cu, a, CONF_MAX_GROUPS, sizeof(*s->groups),
				    &s->ngroups);
	for (i = 0; i < s->ngroups; i++) {
		m = cur_push_index(cu, i);
		o = json_array_get(a, i);
		if (cur_require_object(cu, o)) {
			cur_check_keys(cu, o, keys);
			s->groups[i].name = cur_str(cu, o, "name", false);
			parse_servers(cu,
				      cur_require(cu, o, "servers", JSON_ARRAY),
				      &s->groups[i]);
		}
		cur_pop(cu, m);
	}
	cur_pop(cu, n);
}

/*
 * Reads a string that must be one of values, and returns its index; 0 if an
 * optional member is missing, and after a fault.
 */
static unsigned get_enum(conf_cursor_t *cu, json_t *o, const char *key,
			 const char *const *values, bool optional)
{
	str_t v = cur_str(cu, o, key, optional);
	unsigned i;

	if (v.sz == 0)
		return 0;
	for (i = 0; values[i]; i++)
		if (str_eq(v, str_of(values[i])))
			return i;
	cur_add_fault(cu, CONF_E_RANGE, key, v.s);
	return 0;
}

static void parse_class(conf_cursor_t *cu, json_t *o, conf_class_t *k)
{
	static const char *const keys[] = { "kind",	    "scope",
					    "team",	    "idempotent",
					    "deadline_ms",  "soft_ms",
					    "min_coverage", NULL };
	static const char *const kinds[] = { "urgent", "broad", NULL };
	static const char *const scopes[] = { "all", "one", NULL };
	uint64_t ms;

	cur_check_keys(cu, o, keys);
	k->kind = get_enum(cu, o, "kind", kinds, false);
	k->scope = get_enum(cu, o, "scope", scopes, true);
	k->team = cur_str(cu, o, "team", true);
	k->idempotent = cur_bool(cu, o, "idempotent", true);
	ms = cur_uint(cu, o, "deadline_ms", UINT64_MAX, 1,
		      CONF_MAX_DEADLINE_MS);
	k->deadline = (usec_t)ms * USEC_PER_MSEC;
	ms = cur_uint(cu, o, "soft_ms", ms, 1, ms);
	k->soft_deadline = (usec_t)ms * USEC_PER_MSEC;
	k->min_coverage_permille =
		(unsigned)(cur_fraction(cu, o, "min_coverage") * CONF_PERMILLE +
			   0.5);
}

static void parse_classes(conf_cursor_t *cu, json_t *classes, conf_service_t *s)
{
	size_t n = cur_push_key(cu, "classes");
	size_t m;
	const char *key;
	json_t *o;

	s->classes = arena_alloc(&cu->c->mem, json_object_size(classes) *
						      sizeof(*s->classes));
	json_object_foreach(classes, key, o) {
		conf_class_t *k = &s->classes[s->nclasses++];

		m = cur_push_key(cu, key);
		k->name = arena_str(&cu->c->mem, str_of(key));
		if (cur_require_object(cu, o))
			parse_class(cu, o, k);
		cur_pop(cu, m);
	}
	cur_pop(cu, n);
}

static void parse_service(conf_cursor_t *cu, json_t *o, conf_service_t *s)
{
	static const char *const keys[] = { "map",     "slots",	 "connections",
					    "holders", "groups", "classes",
					    NULL };
	json_t *classes;

	cur_check_keys(cu, o, keys);
	s->map_version = (uint32_t)cur_uint(cu, o, "map", 1, 1, UINT32_MAX);
	s->slots = (unsigned)cur_uint(cu, o, "slots", UINT64_MAX, 1,
				      CONF_MAX_SLOTS);
	s->connections = (unsigned)cur_uint(cu, o, "connections", UINT64_MAX, 1,
					    CONF_MAX_CONNECTIONS);
	s->holders =
		(unsigned)cur_uint(cu, o, "holders", 0, 0, CONF_MAX_DAEMONS);
	parse_groups(cu, cur_require(cu, o, "groups", JSON_ARRAY), s);
	classes = cur_require(cu, o, "classes", JSON_OBJECT);
	if (classes)
		parse_classes(cu, classes, s);
}

static void parse_services(conf_cursor_t *cu, json_t *o)
{
	size_t n = cur_push_key(cu, "services");
	size_t m;
	const char *key;
	json_t *v;

	if (json_object_size(o) > CONF_MAX_SERVICES) {
		conf_fault(cu->f, CONF_E_SIZE, cu->path, "at most %d services",
			   CONF_MAX_SERVICES);
		goto out;
	}
	cu->c->services = arena_alloc(
		&cu->c->mem, json_object_size(o) * sizeof(conf_service_t));
	json_object_foreach(o, key, v) {
		conf_service_t *s = &cu->c->services[cu->c->nservices++];

		m = cur_push_key(cu, key);
		s->name = arena_str(&cu->c->mem, str_of(key));
		if (cur_require_object(cu, v))
			parse_service(cu, v, s);
		cur_pop(cu, m);
	}
out:
	cur_pop(cu, n);
}

static void parse_document(conf_cursor_t *cu, json_t *root)
{
	static const char *const keys[] = { "revision", "fleet", "services",
					    NULL };
	json_t *o;

	cur_check_keys(cu, root, keys);
	cu->c->revision =
		cur_uint(cu, root, "revision", UINT64_MAX, 1, INT64_MAX);
	o = cur_require(cu, root, "fleet", JSON_OBJECT);
	if (o)
		parse_fleet(cu, o);
	o = cur_require(cu, root, "services", JSON_OBJECT);
	if (o)
		parse_services(cu, o);
}

/* Hashes the canonical text with revision 0. */
static void set_hash(conf_t *c)
{
	uint64_t rev = c->revision;
	char *text;

	c->revision = 0;
	text = conf_text(c);
	c->hash = str_hash(str_of(text), 0);
	c->revision = rev;
	free(text);
}

conf_t *conf_parse(str_t text, conf_faults_t *f)
{
	conf_cursor_t cu = { .c = xcalloc(1, sizeof(conf_t)), .f = f };
	json_error_t err;
	json_t *root;

	cu.mem = &cu.c->mem;
	root = json_loadb(text.s, text.sz, JSON_REJECT_DUPLICATES, &err);
	if (!root) {
		conf_fault(f, CONF_E_JSON, "/", "line %d: %s", err.line,
			   err.text);
		goto out;
	}
	if (!cur_require_object(&cu, root))
		goto out;
	parse_document(&cu, root);
	if (f->n == 0)
		conf_validate(cu.c, f);
out:
	json_decref(root);
	if (f->n) {
		conf_free(cu.c);
		return NULL;
	}
	set_hash(cu.c);
	return cu.c;
}
