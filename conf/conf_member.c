/** @file conf_member.c Type-checked access to members of JSON objects. */
#include "member.h"
#include "slice.h"

static bool is_too_deep(str_t text)
{
	const char *p = text.s, *end = text.s + text.sz;
	size_t depth = 0;

	for (; p < end; p++) {
		if (*p == '"')
			p = slice_string_end(p + 1, end);
		else if (*p == '[' || *p == '{')
			depth++;
		else if ((*p == ']' || *p == '}') && depth)
			depth--;
		if (depth > MEMBER_MAX_DEPTH)
			return true;
	}
	return false;
}

json_t *member_load(str_t text)
{
	if (text.sz == 0 || is_too_deep(text))
		return NULL;
	return json_loadb(text.s, text.sz, JSON_DECODE_ANY, NULL);
}

bool member_str(json_t *o, const char *key, str_t *v)
{
	json_t *j = json_object_get(o, key);

	if (!json_is_string(j))
		return false;
	*v = (str_t){ json_string_value(j), json_string_length(j) };
	return true;
}

bool member_nonnegative(json_t *o, const char *key, double *v)
{
	json_t *j = json_object_get(o, key);

	if (!json_is_number(j) || json_number_value(j) < 0)
		return false;
	*v = json_number_value(j);
	return true;
}

bool member_uint64(json_t *o, const char *key, uint64_t *v)
{
	json_t *j = json_object_get(o, key);

	if (!json_is_integer(j) || json_integer_value(j) < 0)
		return false;
	*v = (uint64_t)json_integer_value(j);
	return true;
}
