/** @file outside_items.c Parses published state for all JSON protocols. */
#include <string.h>

#include "member.h"
#include "outside.h"

static bool read_item(const outside_json_names_t *names, json_t *o,
		      outside_item_t *to, arena_t *mem)
{
	if (!member_str(o, "key", &to->key) ||
	    !member_uint64(o, "revision", &to->revision))
		return false;
	to->key = arena_str(mem, to->key);
	to->deleted = json_is_true(json_object_get(o, names->deleted));
	return to->deleted || names->value(o, &to->value, mem);
}

bool outside_read_items(const outside_json_names_t *names, str_t body,
			outside_items_t *items, arena_t *mem)
{
	json_t *o = member_load(body);
	json_t *a = json_object_get(o, names->list);
	bool ok = false;
	size_t i;
	json_t *v;

	*items = (outside_items_t){ 0 };
	if (!a)
		a = json_object_get(o, names->changes);
	if (!json_is_array(a) ||
	    !member_uint64(o, names->revision, &items->revision))
		goto out;
	items->more = json_is_true(json_object_get(o, names->more));
	items->v = arena_alloc(mem, json_array_size(a) * sizeof(*items->v));
	json_array_foreach(a, i, v)
		if (!read_item(names, v, &items->v[items->n++], mem))
			goto out;
	ok = true;
out:
	json_decref(o);
	return ok;
}

outside_kind_t outside_key_kind(const outside_json_names_t *names, str_t key,
				str_t *server_id)
{
	str_t prefix = str_of(names->server_prefix);

	if (str_eq(key, str_of(names->config_key)))
		return OUTSIDE_CONFIG;
	if (key.sz <= prefix.sz || memcmp(key.s, prefix.s, prefix.sz) != 0)
		return OUTSIDE_OTHER;
	*server_id = (str_t){ key.s + prefix.sz, key.sz - prefix.sz };
	return OUTSIDE_SERVER;
}
