/** @file conf_parse.c Turns JSON text into the model. */
#include <string.h>

#include "libconf.h"

/* The place of the value being read, and where its faults go. */
typedef struct cursor {
	conf_t *c;
	conf_faults_t *f;
	char path[128];
} cursor_t;

static json_t *need(cursor_t *cu, json_t *o, const char *key, json_type type);
static str_t get_str(cursor_t *cu, json_t *o, const char *key, bool optional);
static uint64_t get_num(cursor_t *cu, json_t *o, const char *key, uint64_t dflt,
			uint64_t min, uint64_t max);
static void check_keys(cursor_t *cu, json_t *o, const char *const *keys);
static void parse_fleet(cursor_t *cu, json_t *o);
static void parse_services(cursor_t *cu, json_t *o);
static void parse_service(cursor_t *cu, json_t *o, conf_service_t *s);
static void parse_groups(cursor_t *cu, json_t *a, conf_service_t *s);
static void parse_class(cursor_t *cu, json_t *o, conf_class_t *k);

/* Appends to the path and returns its old length, for leave(). */
static size_t enter(cursor_t *cu, const char *key)
{
	size_t n = strlen(cu->path);

	snprintf(cu->path + n, sizeof(cu->path) - n, "/%s", key);
	return n;
}

static size_t enter_index(cursor_t *cu, size_t i)
{
	char num[24];

	snprintf(num, sizeof(num), "%zu", i);
	return enter(cu, num);
}

static void leave(cursor_t *cu, size_t n)
{
	cu->path[n] = '\0';
}

static void fault(cursor_t *cu, conf_err_t err, const char *key,
		  const char *detail)
{
	size_t n = enter(cu, key);

	conf_fault(cu->f, err, cu->path, "%s", detail);
	leave(cu, n);
}

static json_t *need(cursor_t *cu, json_t *o, const char *key, json_type type)
{
	json_t *v = json_object_get(o, key);

	if (!v) {
		fault(cu, CONF_E_MISSING, key, "");
		return NULL;
	}
	if (json_typeof(v) != type) {
		fault(cu, CONF_E_TYPE, key, "");
		return NULL;
	}
	return v;
}

static str_t get_str(cursor_t *cu, json_t *o, const char *key, bool optional)
{
	json_t *v;

	if (optional && !json_object_get(o, key))
		return STR("");
	v = need(cu, o, key, JSON_STRING);
	if (!v)
		return STR("");
	return arena_str(&cu->c->mem, (str_t){ json_string_value(v),
					       json_string_length(v) });
}

static uint64_t get_num(cursor_t *cu, json_t *o, const char *key, uint64_t dflt,
			uint64_t min, uint64_t max)
{
	json_t *v = json_object_get(o, key);
	json_int_t n;
	char detail[96];

	if (!v && dflt != UINT64_MAX)
		return dflt;
	v = need(cu, o, key, JSON_INTEGER);
	if (!v)
		return min;
	n = json_integer_value(v);
	if (n < 0 || (uint64_t)n < min || (uint64_t)n > max) {
		snprintf(detail, sizeof(detail),
			 "%lld is not from %llu to %llu", (long long)n,
			 (unsigned long long)min, (unsigned long long)max);
		fault(cu, CONF_E_RANGE, key, detail);
		return min;
	}
	return (uint64_t)n;
}

static void check_keys(cursor_t *cu, json_t *o, const char *const *keys)
{
	const char *const *k;
	const char *key;
	json_t *v;

	json_object_foreach(o, key, v) {
		for (k = keys; *k && strcmp(*k, key) != 0; k++)
			;
		if (!*k)
			fault(cu, CONF_E_UNKNOWN_KEY, key, "");
	}
}

/* Allocates the model's array for a JSON array of objects. */
static void *array_of(cursor_t *cu, json_t *a, size_t max, size_t sz, size_t *n)
{
	*n = a ? json_array_size(a) : 0;
	if (*n > max) {
		conf_fault(cu->f, CONF_E_SIZE, cu->path, "at most %zu", max);
		*n = 0;
	}
	return arena_alloc(&cu->c->mem, *n * sz);
}

static bool is_object(cursor_t *cu, json_t *o)
{
	if (json_is_object(o))
		return true;
	conf_fault(cu->f, CONF_E_TYPE, cu->path, "an object is needed");
	return false;
}

static void parse_dcs(cursor_t *cu, json_t *a)
{
	static const char *const keys[] = { "name", "region", NULL };
	size_t n = enter(cu, "data_centres");
	size_t i, m;
	json_t *o;

	cu->c->dcs = array_of(cu, a, CONF_MAX_NAME * 16, sizeof(conf_dc_t),
			      &cu->c->ndcs);
	for (i = 0; i < cu->c->ndcs; i++) {
		m = enter_index(cu, i);
		o = json_array_get(a, i);
		if (is_object(cu, o)) {
			check_keys(cu, o, keys);
			cu->c->dcs[i].name = get_str(cu, o, "name", false);
			cu->c->dcs[i].region = get_str(cu, o, "region", false);
		}
		leave(cu, m);
	}
	leave(cu, n);
}

static void parse_teams(cursor_t *cu, json_t *a)
{
	static const char *const keys[] = { "name", "share", "token", NULL };
	size_t n = enter(cu, "teams");
	size_t i, m;
	conf_team_t *t;
	json_t *o;

	cu->c->teams =
		array_of(cu, a, CONF_MAX_SERVICES, sizeof(*t), &cu->c->nteams);
	for (i = 0; i < cu->c->nteams; i++) {
		t = &cu->c->teams[i];
		m = enter_index(cu, i);
		o = json_array_get(a, i);
		if (is_object(cu, o)) {
			check_keys(cu, o, keys);
			t->name = get_str(cu, o, "name", false);
			t->token = get_str(cu, o, "token", true);
			t->share =
				(unsigned)get_num(cu, o, "share", 1, 1, 1000);
		}
		leave(cu, m);
	}
	leave(cu, n);
}

static void parse_fleet(cursor_t *cu, json_t *o)
{
	static const char *const keys[] = { "data_centres", "teams", "link_us",
					    "max_daemons", NULL };
	size_t n = enter(cu, "fleet");

	check_keys(cu, o, keys);
	cu->c->max_daemons = (unsigned)get_num(cu, o, "max_daemons", UINT64_MAX,
					       1, CONF_MAX_DAEMONS);
	cu->c->link = (usec_t)get_num(cu, o, "link_us", 0, 0, 1000000);
	parse_dcs(cu, need(cu, o, "data_centres", JSON_ARRAY));
	if (json_object_get(o, "teams"))
		parse_teams(cu, need(cu, o, "teams", JSON_ARRAY));
	leave(cu, n);
}

static void parse_servers(cursor_t *cu, json_t *a, conf_group_t *g)
{
	static const char *const keys[] = { "addr", "dc", NULL };
	size_t n = enter(cu, "servers");
	size_t i, m;
	json_t *o;

	g->servers = array_of(cu, a, CONF_MAX_SERVERS, sizeof(*g->servers),
			      &g->nservers);
	for (i = 0; i < g->nservers; i++) {
		m = enter_index(cu, i);
		o = json_array_get(a, i);
		if (is_object(cu, o)) {
			check_keys(cu, o, keys);
			g->servers[i].addr = get_str(cu, o, "addr", false);
			g->servers[i].dc = get_str(cu, o, "dc", false);
		}
		leave(cu, m);
	}
	leave(cu, n);
}

static void parse_groups(cursor_t *cu, json_t *a, conf_service_t *s)
{
	static const char *const keys[] = { "name", "servers", NULL };
	size_t n = enter(cu, "groups");
	size_t i, m;
	json_t *o;

	s->groups = array_of(cu, a, CONF_MAX_GROUPS, sizeof(*s->groups),
			     &s->ngroups);
	for (i = 0; i < s->ngroups; i++) {
		m = enter_index(cu, i);
		o = json_array_get(a, i);
		if (is_object(cu, o)) {
			check_keys(cu, o, keys);
			s->groups[i].name = get_str(cu, o, "name", false);
			parse_servers(cu, need(cu, o, "servers", JSON_ARRAY),
				      &s->groups[i]);
		}
		leave(cu, m);
	}
	leave(cu, n);
}

/* Reads one of a few words; the first is the default of a missing key. */
static unsigned get_word(cursor_t *cu, json_t *o, const char *key,
			 const char *const *words, bool optional)
{
	str_t v = get_str(cu, o, key, optional);
	unsigned i;

	if (v.sz == 0)
		return 0;
	for (i = 0; words[i]; i++)
		if (str_eq(v, str_of(words[i])))
			return i;
	fault(cu, CONF_E_RANGE, key, v.s);
	return 0;
}

static unsigned get_coverage(cursor_t *cu, json_t *o)
{
	json_t *v = json_object_get(o, "min_coverage");
	double d = v ? json_number_value(v) : 1.0;

	if (v && !json_is_number(v))
		fault(cu, CONF_E_TYPE, "min_coverage", "");
	if (d < 0 || d > 1) {
		fault(cu, CONF_E_RANGE, "min_coverage", "from 0 to 1");
		return 0;
	}
	return (unsigned)(d * 1000 + 0.5);
}

static void parse_class(cursor_t *cu, json_t *o, conf_class_t *k)
{
	static const char *const keys[] = { "kind",	    "scope",
					    "team",	    "idempotent",
					    "deadline_ms",  "soft_ms",
					    "min_coverage", NULL };
	static const char *const kinds[] = { "urgent", "broad", NULL };
	static const char *const scopes[] = { "all", "one", NULL };
	json_t *v;
	uint64_t ms;

	check_keys(cu, o, keys);
	k->kind = get_word(cu, o, "kind", kinds, false);
	k->scope = get_word(cu, o, "scope", scopes, true);
	k->team = get_str(cu, o, "team", true);
	v = json_object_get(o, "idempotent");
	if (v && !json_is_boolean(v))
		fault(cu, CONF_E_TYPE, "idempotent", "");
	k->idempotent = !v || json_is_true(v);
	ms = get_num(cu, o, "deadline_ms", UINT64_MAX, 1, CONF_MAX_DEADLINE_MS);
	k->deadline = (usec_t)ms * USEC_PER_MSEC;
	ms = get_num(cu, o, "soft_ms", ms, 1, ms);
	k->soft = (usec_t)ms * USEC_PER_MSEC;
	k->min_coverage = get_coverage(cu, o);
}

static void parse_classes(cursor_t *cu, json_t *classes, conf_service_t *s)
{
	size_t n = enter(cu, "classes");
	size_t m;
	const char *key;
	json_t *o;

	s->classes = arena_alloc(&cu->c->mem, json_object_size(classes) *
						      sizeof(*s->classes));
	json_object_foreach(classes, key, o) {
		conf_class_t *k = &s->classes[s->nclasses++];

		m = enter(cu, key);
		k->name = arena_str(&cu->c->mem, str_of(key));
		if (is_object(cu, o))
			parse_class(cu, o, k);
		leave(cu, m);
	}
	leave(cu, n);
}

static void parse_service(cursor_t *cu, json_t *o, conf_service_t *s)
{
	static const char *const keys[] = { "map",     "slots",	 "connections",
					    "holders", "groups", "classes",
					    NULL };
	json_t *classes;

	check_keys(cu, o, keys);
	s->map = (uint32_t)get_num(cu, o, "map", 1, 1, UINT32_MAX);
	s->slots = (unsigned)get_num(cu, o, "slots", UINT64_MAX, 1,
				     CONF_MAX_SLOTS);
	s->connections = (unsigned)get_num(cu, o, "connections", UINT64_MAX, 1,
					   CONF_MAX_CONNECTIONS);
	s->holders =
		(unsigned)get_num(cu, o, "holders", 0, 0, CONF_MAX_DAEMONS);
	parse_groups(cu, need(cu, o, "groups", JSON_ARRAY), s);
	classes = need(cu, o, "classes", JSON_OBJECT);
	if (classes)
		parse_classes(cu, classes, s);
}

static void parse_services(cursor_t *cu, json_t *o)
{
	size_t n = enter(cu, "services");
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

		m = enter(cu, key);
		s->name = arena_str(&cu->c->mem, str_of(key));
		if (is_object(cu, v))
			parse_service(cu, v, s);
		leave(cu, m);
	}
out:
	leave(cu, n);
}

static void parse_document(cursor_t *cu, json_t *root)
{
	static const char *const keys[] = { "revision", "fleet", "services",
					    NULL };
	json_t *o;

	check_keys(cu, root, keys);
	cu->c->revision =
		get_num(cu, root, "revision", UINT64_MAX, 1, INT64_MAX);
	o = need(cu, root, "fleet", JSON_OBJECT);
	if (o)
		parse_fleet(cu, o);
	o = need(cu, root, "services", JSON_OBJECT);
	if (o)
		parse_services(cu, o);
}

static void note_hash(conf_t *c)
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
	cursor_t cu = { .c = xcalloc(1, sizeof(conf_t)), .f = f };
	json_error_t err;
	json_t *root;

	root = json_loadb(text.s, text.sz, JSON_REJECT_DUPLICATES, &err);
	if (!root) {
		conf_fault(f, CONF_E_JSON, "/", "line %d: %s", err.line,
			   err.text);
		goto out;
	}
	if (!is_object(&cu, root))
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
	note_hash(cu.c);
	return cu.c;
}
