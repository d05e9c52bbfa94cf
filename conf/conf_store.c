/**
 * @file conf_store.c
 * A configuration as sections with the revision that changed each last, so
 * that what travels is an index and the sections that changed.
 */
#include <stdlib.h>
#include <string.h>

#include "libconf.h"

#define SERVICE_PREFIX "service/"
#define DOCUMENT_EXTRA 64 /* bytes around the sections */

conf_store_t *conf_store_new(void)
{
	return xcalloc(1, sizeof(conf_store_t));
}

static void section_clear(conf_section_t *v)
{
	str_free(v->name);
	str_free(v->text);
}

void conf_store_free(conf_store_t *s)
{
	size_t i;

	if (!s)
		return;
	for (i = 0; i < s->n; i++)
		section_clear(&s->v[i]);
	free(s->v);
	free(s);
}

conf_store_t *conf_store_copy(const conf_store_t *s)
{
	conf_store_t *to = conf_store_new();
	size_t i;

	to->revision = s->revision;
	for (i = 0; i < s->n; i++)
		conf_store_set(to, s->v[i].name, s->v[i].rev, s->v[i].text);
	return to;
}

/* The place of a name, or where it would go. */
static size_t place(const conf_store_t *s, str_t name, bool *found)
{
	size_t lo = 0, hi = s->n, mid;
	int r;

	*found = false;
	while (lo < hi) {
		mid = (lo + hi) / 2;
		r = str_cmp(s->v[mid].name, name);
		if (r == 0) {
			*found = true;
			return mid;
		}
		if (r < 0)
			lo = mid + 1;
		else
			hi = mid;
	}
	return lo;
}

void conf_store_set(conf_store_t *s, str_t name, uint64_t rev, str_t text)
{
	/* Copied first: the text may be the one that is replaced. */
	str_t copy = str_dup(text);
	conf_section_t *v;
	bool found;
	size_t i = place(s, name, &found);

	if (found) {
		v = &s->v[i];
		str_free(v->text);
	} else {
		s->v = xrealloc(s->v, (s->n + 1) * sizeof(*s->v));
		v = &s->v[i];
		memmove(v + 1, v, (s->n - i) * sizeof(*v));
		s->n++;
		v->name = str_dup(name);
	}
	v->rev = rev;
	v->text = copy;
}

static void set_from_json(conf_store_t *s, str_t name, uint64_t rev, json_t *o)
{
	char *text = json_dumps(o, JSON_COMPACT | JSON_SORT_KEYS);

	conf_store_set(s, name, rev, str_of(text));
	free(text);
}

conf_store_t *conf_store_of(const conf_t *c)
{
	conf_store_t *s = conf_store_new();
	char name[sizeof(SERVICE_PREFIX) + CONF_MAX_NAME];
	json_t *o = conf_fleet_json(c);
	size_t i;

	s->revision = c->revision;
	set_from_json(s, STR("fleet"), c->revision, o);
	json_decref(o);
	for (i = 0; i < c->nservices; i++) {
		snprintf(name, sizeof(name), SERVICE_PREFIX "%.*s",
			 STR_ARG(c->services[i].name));
		o = conf_service_json(&c->services[i]);
		set_from_json(s, str_of(name), c->revision, o);
		json_decref(o);
	}
	return s;
}

static bool section_name_ok(const char *name)
{
	return strcmp(name, "fleet") == 0 ||
	       strncmp(name, SERVICE_PREFIX, strlen(SERVICE_PREFIX)) == 0;
}

/* Removes the sections that an object of names lacks. */
static void prune(conf_store_t *s, json_t *names)
{
	size_t i = 0;

	while (i < s->n) {
		if (json_object_getn(names, s->v[i].name.s, s->v[i].name.sz)) {
			i++;
			continue;
		}
		section_clear(&s->v[i]);
		s->n--;
		memmove(&s->v[i], &s->v[i + 1], (s->n - i) * sizeof(*s->v));
	}
}

static int needed(const conf_store_t *s, json_t *names, str_t *need, size_t max,
		  arena_t *mem)
{
	const char *key;
	size_t n = 0, i;
	bool found;
	json_t *v;

	json_object_foreach(names, key, v) {
		if (!json_is_integer(v) || !section_name_ok(key))
			return -1;
		i = place(s, str_of(key), &found);
		if (found && s->v[i].rev == (uint64_t)json_integer_value(v))
			continue;
		if (n == max)
			return -1;
		need[n++] = arena_str(mem, str_of(key));
	}
	return (int)n;
}

int conf_store_index(conf_store_t *s, str_t index, str_t *need, size_t max,
		     arena_t *mem)
{
	json_t *root =
		json_loadb(index.s, index.sz, JSON_REJECT_DUPLICATES, NULL);
	json_t *names = json_object_get(root, "sections");
	json_t *rev = json_object_get(root, "revision");
	int n = -1;

	if (!json_is_object(names) || !json_is_integer(rev))
		goto out;
	n = needed(s, names, need, max, mem);
	if (n < 0)
		goto out;
	prune(s, names);
	s->revision = (uint64_t)json_integer_value(rev);
out:
	json_decref(root);
	return n;
}

static json_t *index_json(const conf_store_t *s)
{
	json_t *names = json_object();
	size_t i;

	for (i = 0; i < s->n; i++)
		json_object_setn_new(names, s->v[i].name.s, s->v[i].name.sz,
				     json_integer((json_int_t)s->v[i].rev));
	return names;
}

char *conf_store_index_text(const conf_store_t *s)
{
	json_t *o = json_pack("{sI so}", "revision", (json_int_t)s->revision,
			      "sections", index_json(s));
	char *text = json_dumps(o, JSON_COMPACT);

	json_decref(o);
	return text;
}

char *conf_store_delta(const conf_store_t *s, uint64_t since)
{
	json_t *changed = json_object();
	json_t *o;
	char *text;
	size_t i;

	for (i = 0; i < s->n; i++)
		if (s->v[i].rev > since)
			json_object_setn_new(
				changed, s->v[i].name.s, s->v[i].name.sz,
				json_stringn(s->v[i].text.s, s->v[i].text.sz));
	o = json_pack("{sI sI so so}", "since", (json_int_t)since, "revision",
		      (json_int_t)s->revision, "sections", index_json(s),
		      "changed", changed);
	text = json_dumps(o, JSON_COMPACT);
	json_decref(o);
	return text;
}

/* Whether every section that changed is in the delta. */
static bool is_whole(const conf_store_t *s, json_t *names, json_t *changed)
{
	const char *key;
	json_t *v;
	bool found;
	size_t i;

	json_object_foreach(names, key, v) {
		if (!json_is_integer(v) || !section_name_ok(key))
			return false;
		i = place(s, str_of(key), &found);
		if (found && s->v[i].rev == (uint64_t)json_integer_value(v))
			continue;
		if (!json_is_string(json_object_get(changed, key)))
			return false;
	}
	return true;
}

bool conf_store_apply(conf_store_t *s, str_t delta)
{
	json_t *root =
		json_loadb(delta.s, delta.sz, JSON_REJECT_DUPLICATES, NULL);
	json_t *names = json_object_get(root, "sections");
	json_t *changed = json_object_get(root, "changed");
	json_t *rev = json_object_get(root, "revision");
	const char *key;
	json_t *v;
	bool ok;

	ok = json_is_object(names) && json_is_object(changed) &&
	     json_is_integer(rev) && is_whole(s, names, changed);
	if (!ok)
		goto out;
	prune(s, names);
	json_object_foreach(changed, key, v) {
		json_t *at = json_object_get(names, key);

		if (!json_is_integer(at) || !json_is_string(v))
			continue;
		conf_store_set(
			s, str_of(key), (uint64_t)json_integer_value(at),
			(str_t){ json_string_value(v), json_string_length(v) });
	}
	s->revision = (uint64_t)json_integer_value(rev);
out:
	json_decref(root);
	return ok;
}

static char *append(char *p, str_t v)
{
	memcpy(p, v.s, v.sz);
	return p + v.sz;
}

/* Strings the sections together as one document. */
static str_t document(const conf_store_t *s)
{
	static const str_t prefix = STR(SERVICE_PREFIX);
	size_t room = DOCUMENT_EXTRA, i;
	bool first = true;
	char *text, *p;

	for (i = 0; i < s->n; i++)
		room += s->v[i].name.sz + s->v[i].text.sz + DOCUMENT_EXTRA;
	text = xmalloc(room);
	p = text + sprintf(text, "{\"revision\":%llu",
			   (unsigned long long)s->revision);
	for (i = 0; i < s->n; i++)
		if (str_eq(s->v[i].name, STR("fleet"))) {
			p = append(p, STR(",\"fleet\":"));
			p = append(p, s->v[i].text);
		}
	p = append(p, STR(",\"services\":{"));
	for (i = 0; i < s->n; i++) {
		if (str_eq(s->v[i].name, STR("fleet")))
			continue;
		if (!first)
			*p++ = ',';
		first = false;
		*p++ = '"';
		p = append(p, (str_t){ s->v[i].name.s + prefix.sz,
				       s->v[i].name.sz - prefix.sz });
		p = append(p, STR("\":"));
		p = append(p, s->v[i].text);
	}
	p = append(p, STR("}}"));
	return (str_t){ text, (size_t)(p - text) };
}

conf_t *conf_store_parse(const conf_store_t *s, conf_faults_t *f)
{
	str_t text = document(s);
	conf_t *c = conf_parse(text, f);

	str_free(text);
	return c;
}
