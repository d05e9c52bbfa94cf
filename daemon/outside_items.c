/**
 * @file outside_items.c
 * Parses published state for all JSON protocols. Values come from any writer:
 * only the members that the registry itself sets must be valid.
 */
#include <string.h>

#include "member.h"
#include "outside.h"
#include "slice.h"

/* Parses a member of an object's text; the caller drops the reference. */
static json_t *load(str_t object, const char *key)
{
	str_t text;

	return slice_member(object, key, &text) ? member_load(text) : NULL;
}

static bool read_str(str_t object, const char *key, str_t *v, arena_t *mem)
{
	json_t *o = load(object, key);
	bool ok = json_is_string(o);

	if (ok)
		*v = arena_str(mem, (str_t){ json_string_value(o),
					     json_string_length(o) });
	json_decref(o);
	return ok;
}

static bool read_uint64(str_t object, const char *key, uint64_t *v)
{
	json_t *o = load(object, key);
	bool ok = json_is_integer(o) && json_integer_value(o) >= 0;

	if (ok)
		*v = (uint64_t)json_integer_value(o);
	json_decref(o);
	return ok;
}

static bool is_true(str_t object, const char *key)
{
	str_t text;

	return slice_member(object, key, &text) && str_eq(text, STR("true"));
}

/* Whether the text begins with a quote: a JSON string, readable or not. */
static bool is_string(str_t object, const char *key)
{
	str_t text;

	return slice_member(object, key, &text) && text.sz && text.s[0] == '"';
}

static bool read_item(const outside_json_names_t *names, str_t object,
		      outside_items_t *items, arena_t *mem)
{
	outside_item_t *to = &items->v[items->n];
	str_t text;

	*to = (outside_item_t){ 0 };
	if (!read_uint64(object, "revision", &to->revision))
		return false;
	if (!read_str(object, "key", &to->key, mem)) {
		/* Its writer chose the key, such as one with a NUL. */
		items->unreadable++;
		return is_string(object, "key");
	}
	items->n++;
	to->deleted = is_true(object, names->deleted);
	/* An unreadable value replaces the known one, like an invalid value. */
	if (!to->deleted && (!slice_member(object, "value", &text) ||
			     !names->value(text, &to->value, mem)))
		to->value = (str_t){ 0 };
	return true;
}

static size_t count_elements(str_t rest)
{
	size_t n = 0;
	str_t element;

	while (slice_next(&rest, &element))
		n++;
	return n;
}

void outside_append_key(GString *path, str_t key)
{
	char *escaped = g_uri_escape_bytes((const guint8 *)key.s, key.sz, "/");

	g_string_append(path, escaped);
	g_free(escaped);
}

bool outside_read_items(const outside_json_names_t *names, str_t body,
			outside_items_t *items, arena_t *mem)
{
	str_t array, rest, element;

	*items = (outside_items_t){ 0 };
	if (!slice_member(body, names->list, &array) &&
	    !slice_member(body, names->changes, &array))
		return false;
	if (!slice_array(array, &rest) ||
	    !read_uint64(body, names->revision, &items->revision))
		return false;
	items->more = is_true(body, names->more);
	items->v = arena_alloc(mem, count_elements(rest) * sizeof(*items->v));
	while (slice_next(&rest, &element))
		if (!read_item(names, element, items, mem))
			return false;
	return rest.s == NULL;
}

/* Whether a key begins with a prefix; sets the rest. */
static bool after_prefix(str_t key, str_t prefix, str_t *rest)
{
	if (key.sz < prefix.sz || memcmp(key.s, prefix.s, prefix.sz) != 0)
		return false;
	*rest = (str_t){ key.s + prefix.sz, key.sz - prefix.sz };
	return true;
}

outside_kind_t outside_key_kind(const outside_json_names_t *names, str_t key,
				str_t *id)
{
	if (str_eq(key, str_of(names->config_key)))
		return OUTSIDE_CONFIG;
	if (after_prefix(key, str_of(names->evacuate_prefix), id))
		return OUTSIDE_EVACUATE;
	if (after_prefix(key, str_of(names->server_prefix), id) && id->sz)
		return OUTSIDE_SERVER;
	return OUTSIDE_OTHER;
}

bool outside_check_evacuation(str_t value, char fault[OUTSIDE_FAULT_MAX])
{
	json_t *o = member_load(value);
	bool ok = json_is_object(o);

	json_decref(o);
	if (!ok)
		g_strlcpy(fault, "the value is not a JSON object",
			  OUTSIDE_FAULT_MAX);
	return ok;
}

bool outside_is_server_id(str_t id)
{
	size_t i;

	for (i = 0; i < id.sz; i++)
		if (id.s[i] <= ' ' || id.s[i] > '~')
			return false;
	return id.sz > 0;
}
