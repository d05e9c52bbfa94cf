/** @file conf_member.c Type-checked access to members of JSON objects. */
#include "member.h"

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
