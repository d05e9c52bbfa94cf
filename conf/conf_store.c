/**
 * @file conf_store.c
 * A configuration as a list of sections, each with the revision that changed
 * it last. Updates transfer an index and only the sections that changed.
 */
#include <stdlib.h>
#include <string.h>

#include "libconf.h"

#define SERVICE_PREFIX "service/"
#define JSON_OVERHEAD_BYTES 64 /* keys and punctuation around sections */

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
		conf_store_set(to, s->v[i].name, s->v[i].revision,
			       s->v[i].text);
	return to;
}

/* Binary search: the index of a section, or the index to insert it at. */
static size_t find_section(const conf_store_t *s, str_t name, bool *found)
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
	/* Copied first: text may point into the section that is replaced. */
	str_t copy = str_dup(text);
	conf_section_t *v;
	bool found;
	size_t i = find_section(s, name, &found);

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
	v->revision = rev;
	v->text = copy;
}

static void set_from_json(conf_store_t *s, str_t name, uint64_t rev, json_t *o)
{
	char *text = json_dumps(o, JSON_COMPACT | JSON_SORT_KEYS);

	conf_store_set(s, name, rev, str_of(text));
	free(text);
}

conf_store_t *conf_store_from_conf(const conf_t *c)
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

static bool section_name_is_valid(const char *name)
{
	return strcmp(name, "fleet") == 0 ||
	       strncmp(name, SERVICE_PREFIX, strlen(SERVICE_PREFIX)) == 0;
}

/* Removes the sections whose names are not keys of the JSON object sections. */
static void remove_unlisted(conf_store_t *s, json_t *sections)
{
	size_t i = 0;

	while (i < s->n) {
		if (json_object_getn(sections, s->v[i].name.s,
				     s->v[i].name.sz)) {
			i++;
			continue;
		}
		section_clear(&s->v[i]);
		s->n--;
		memmove(&s->v[i], &s->v[i + 1], (s->n - i) * sizeof(*s->v));
	}
}

/*
 * Writes the names of the sections that are missing from the store, or of
 * another revision than listed, to need. Returns their number, or -1 if
 * sections is malformed or there are more than max.
 */
static int list_outdated(const conf_store_t *s, json_t *sections, str_t *need,
			 size_t max, arena_t *mem)
{
	const char *key;
	size_t n = 0, i;
	bool found;
	json_t *v;

	json_object_foreach(sections, key, v) {
		if (!json_is_integer(v) || !section_name_is_valid(key))
			return -1;
		i = find_section(s, str_of(key), &found);
		if (found &&
		    s->v[i].revision == (uint64_t)json_integer_value(v))
			continue;
		if (n == max)
			return -1;
		need[n++] = arena_str(mem, str_of(key));
	}
	return (int)n;
}

int conf_store_apply_index(conf_store_t *s, str_t index, str_t *need,
			   size_t max, arena_t *mem)
{
	json_t *root =
		json_loadb(index.s, index.sz, JSON_REJECT_DUPLICATES, NULL);
	json_t *sections = json_object_get(root, "sections");
	json_t *rev = json_object_get(root, "revision");
	int n = -1;

	if (!json_is_object(sections) || !json_is_integer(rev))
		goto out;
	n = list_outdated(s, sections, need, max, mem);
	if (n < 0)
		goto out;
	remove_unlisted(s, sections);
	s->revision = (uint64_t)json_integer_value(rev);
out:
	json_decref(root);
	return n;
}

static json_t *section_revisions_json(const conf_store_t *s)
{
	json_t *sections = json_object();
	size_t i;

	for (i = 0; i < s->n; i++)
		json_object_setn_new(
			sections, s->v[i].name.s, s->v[i].name.sz,
			json_integer((json_int_t)s->v[i].revision));
	return sections;
}

char *conf_store_index_text(const conf_store_t *s)
{
	json_t *o = json_pack("{sI so}", "revision", (json_int_t)s->revision,
			      "sections", section_revisions_json(s));
	char *text = json_dumps(o, JSON_COMPACT);

	json_decref(o);
	return text;
}

char *conf_store_delta_text(const conf_store_t *s, uint64_t since)
{
	json_t *changed = json_object();
	json_t *o;
	char *text;
	size_t i;

	for (i = 0; i < s->n; i++)
		if (s->v[i].revision > since)
			json_object_setn_new(
				changed, s->v[i].name.s, s->v[i].name.sz,
				json_stringn(s->v[i].text.s, s->v[i].text.sz));
	o = json_pack("{sI sI so so}", "since", (json_int_t)since, "revision",
		      (json_int_t)s->revision, "sections",
		      section_revisions_json(s), "changed", changed);
	text = json_dumps(o, JSON_COMPACT);
	json_decref(o);
	return text;
}

/* Whether the delta has the text of every section with a new revision. */
static bool delta_is_complete(const conf_store_t *s, json_t *sections,
			      json_t *changed)
{
	const char *key;
	json_t *v;
	bool found;
	size_t i;

	json_object_foreach(sections, key, v) {
		if (!json_is_integer(v) || !section_name_is_valid(key))
			return false;
		i = find_section(s, str_of(key), &found);
		if (found &&
		    s->v[i].revision == (uint64_t)json_integer_value(v))
			continue;
		if (!json_is_string(json_object_get(changed, key)))
			return false;
	}
	return true;
}

bool conf_store_apply_delta(conf_store_t *s, str_t delta)
{
	json_t *root =
		json_loadb(delta.s, delta.sz, JSON_REJECT_DUPLICATES, NULL);
	json_t *sections = json_object_get(root, "sections");
	json_t *changed = json_object_get(root, "changed");
	json_t *rev = json_object_get(root, "revision");
	const char *key;
	json_t *v;
	bool ok;

	ok = json_is_object(sections) && json_is_object(changed) &&
	     json_is_integer(rev) && delta_is_complete(s, sections, changed);
	if (!ok)
		goto out;
	remove_unlisted(s, sections);
	json_object_foreach(changed, key, v) {
		json_t *section_rev = json_object_get(sections, key);

		if (!json_is_integer(section_rev) || !json_is_string(v))
			continue;
		conf_store_set(
			s, str_of(key),
			(uint64_t)json_integer_value(section_rev),
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

/* Joins the sections into one JSON document; free it with str_free(). */
static str_t join_sections(const conf_store_t *s)
{
	static const str_t prefix = STR(SERVICE_PREFIX);
	size_t sz = JSON_OVERHEAD_BYTES, i;
	bool first = true;
	char *text, *p;

	for (i = 0; i < s->n; i++)
		sz += s->v[i].name.sz + s->v[i].text.sz + JSON_OVERHEAD_BYTES;
	text = xmalloc(sz);
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
	str_t text = join_sections(s);
	conf_t *c = conf_parse(text, f);

	str_free(text);
	return c;
}
