/** @file conf_cursor.c Reads members of JSON objects and records faults. */
#include <string.h>

#include "libconf.h"

size_t cur_push_key(conf_cursor_t *cu, const char *key)
{
	size_t n = strlen(cu->path);

	snprintf(cu->path + n, sizeof(cu->path) - n, "/%s", key);
	return n;
}

size_t cur_push_index(conf_cursor_t *cu, size_t i)
{
	char num[24];

	snprintf(num, sizeof(num), "%zu", i);
	return cur_push_key(cu, num);
}

void cur_pop(conf_cursor_t *cu, size_t n)
{
	cu->path[n] = '\0';
}

void cur_add_fault(conf_cursor_t *cu, conf_err_t err, const char *key,
		   const char *detail)
{
	size_t n = cur_push_key(cu, key);

	conf_fault(cu->f, err, cu->path, "%s", detail);
	cur_pop(cu, n);
}

json_t *cur_require(conf_cursor_t *cu, json_t *o, const char *key,
		    json_type type)
{
	json_t *v = json_object_get(o, key);

	if (!v) {
		cur_add_fault(cu, CONF_E_MISSING, key, "");
		return NULL;
	}
	if (json_typeof(v) != type) {
		cur_add_fault(cu, CONF_E_TYPE, key, "");
		return NULL;
	}
	return v;
}

str_t cur_str(conf_cursor_t *cu, json_t *o, const char *key, bool optional)
{
	json_t *v;

	if (optional && !json_object_get(o, key))
		return STR("");
	v = cur_require(cu, o, key, JSON_STRING);
	if (!v)
		return STR("");
	return arena_str(cu->mem, (str_t){ json_string_value(v),
					   json_string_length(v) });
}

uint64_t cur_uint(conf_cursor_t *cu, json_t *o, const char *key, uint64_t dflt,
		  uint64_t min, uint64_t max)
{
	json_t *v = json_object_get(o, key);
	json_int_t n;
	char detail[96];

	if (!v && dflt != UINT64_MAX)
		return dflt;
	v = cur_require(cu, o, key, JSON_INTEGER);
	if (!v)
		return min;
	n = json_integer_value(v);
	if (n < 0 || (uint64_t)n < min || (uint64_t)n > max) {
		snprintf(detail, sizeof(detail),
			 "%lld is not in the range %llu to %llu", (long long)n,
			 (unsigned long long)min, (unsigned long long)max);
		cur_add_fault(cu, CONF_E_RANGE, key, detail);
		return min;
	}
	return (uint64_t)n;
}

void cur_check_keys(conf_cursor_t *cu, json_t *o, const char *const *keys)
{
	const char *const *k;
	const char *key;
	json_t *v;

	json_object_foreach(o, key, v) {
		for (k = keys; *k && strcmp(*k, key) != 0; k++)
			;
		if (!*k)
			cur_add_fault(cu, CONF_E_UNKNOWN_KEY, key, "");
	}
}

void *cur_alloc_array(conf_cursor_t *cu, json_t *a, size_t max, size_t sz,
		      size_t *n)
{
	*n = a ? json_array_size(a) : 0;
	if (*n > max) {
		conf_fault(cu->f, CONF_E_SIZE, cu->path, "at most %zu", max);
		*n = 0;
	}
	return arena_alloc(cu->mem, *n * sz);
}

bool cur_require_object(conf_cursor_t *cu, json_t *o)
{
	if (json_is_object(o))
		return true;
	conf_fault(cu->f, CONF_E_TYPE, cu->path, "expected an object");
	return false;
}

double cur_fraction(conf_cursor_t *cu, json_t *o, const char *key)
{
	json_t *v = json_object_get(o, key);
	double d = v ? json_number_value(v) : 1.0;

	if (v && !json_is_number(v))
		cur_add_fault(cu, CONF_E_TYPE, key, "");
	if (d < 0 || d > 1) {
		cur_add_fault(cu, CONF_E_RANGE, key, "must be from 0 to 1");
		return 0;
	}
	return d;
}

bool cur_bool(conf_cursor_t *cu, json_t *o, const char *key, bool dflt)
{
	json_t *v = json_object_get(o, key);

	if (v && !json_is_boolean(v))
		cur_add_fault(cu, CONF_E_TYPE, key, "");
	return v ? json_is_true(v) : dflt;
}
