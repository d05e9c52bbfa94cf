/** @file unit_slice.c Tests of JSON text that is split without being parsed. */
#include <CUnit/CUnit.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "member.h"
#include "slice.h"
#include "unit.h"

static void test_members(void)
{
	static const struct {
		const char *object;
		const char *key;
		const char *value; /* NULL: not found */
	} cases[] = {
		{ "{\"a\":1,\"b\":2}", "b", "2" },
		{ " { \"a\" : [1, {\"b\":3}] , \"b\" : \"x\" } ", "b",
		  "\"x\"" },
		{ "{\"a\":\"}\\\"{\",\"b\":{\"c\":[]}}", "b", "{\"c\":[]}" },
		{ "{\"a\":\"\\\\\",\"b\":2}", "b", "2" },
		{ "{\"a\":\"\\\\\\\"\",\"b\":2}", "b", "2" },
		{ "{\"a\":\"\\\"", "b", NULL },
		{ "{\"a\":\"\\", "b", NULL },
		{ "{\"a\":\"b\",\"c\":true}", "b", NULL },
		{ "{\"a\":99999999999999999999999,\"b\":1e999}", "b", "1e999" },
		{ "{\"a\":[[[[,\"b\":2}", "b", NULL },
		{ "{\"a\":1", "b", NULL },
		{ "{\"b\":", "b", NULL },
		{ "{\"b\":\"x", "b", NULL },
		{ "{\"b\" 1}", "b", NULL },
		{ "{b:1}", "b", NULL },
		{ "[\"b\",1]", "b", NULL },
		{ "{}", "b", NULL },
		{ "", "b", NULL },
	};
	str_t v;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		bool found =
			slice_member(str_of(cases[i].object), cases[i].key, &v);

		CU_ASSERT_EQUAL(found, cases[i].value != NULL);
		if (found && cases[i].value)
			CU_ASSERT(str_eq(v, str_of(cases[i].value)));
	}
}

/* Guards against a search whose time grows with the square of the escapes:
 * megabytes of them would stop the daemon for minutes. */
static void test_escapes(void)
{
	static const char *const units[] = { "\\\\", "\\\"", "\\n" };
	const size_t n = 1000000;
	size_t i, k;

	for (i = 0; i < sizeof(units) / sizeof(units[0]); i++) {
		char *text = xmalloc(2 * n + 16);
		char *at = text + sprintf(text, "{\"a\":\"");
		str_t v;

		for (k = 0; k < n; k++, at += 2)
			memcpy(at, units[i], 2);
		at += sprintf(at, "\",\"b\":2}");
		CU_ASSERT(slice_member((str_t){ text, (size_t)(at - text) },
				       "b", &v));
		CU_ASSERT(str_eq(v, STR("2")));
		free(text);
	}
}

static void test_elements(void)
{
	static const struct {
		const char *array;
		size_t n;
		bool ok; /* the array ends properly */
	} cases[] = {
		{ "[]", 0, true },
		{ " [ 1 , [2,3] , {\"a\":[4]} ] ", 3, true },
		{ "[\"],[\",1]", 2, true },
		{ "[1e999,99999999999999999999]", 2, true },
		{ "[1", 0, false },
		{ "[1,2", 1, false },
		{ "[1 2]", 0, false },
		{ "[[1]", 0, false },
		{ "[,]", 0, false },
	};
	str_t rest, e;
	size_t i, n;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		CU_ASSERT(slice_array(str_of(cases[i].array), &rest));
		for (n = 0; slice_next(&rest, &e); n++)
			;
		CU_ASSERT_EQUAL(n, cases[i].n);
		CU_ASSERT_EQUAL(rest.s == NULL, cases[i].ok);
	}
	CU_ASSERT_FALSE(slice_array(STR("{}"), &rest));
}

/* Nesting up to the limit is parsed; brackets in strings don't count. */
static void test_nesting(void)
{
	static const struct {
		size_t depth;
		const char *inner;
		bool ok;
	} cases[] = {
		{ 1, "7", true },
		{ MEMBER_MAX_DEPTH, "7", true },
		{ MEMBER_MAX_DEPTH, "\"[[{\\\"[\"", true },
		{ MEMBER_MAX_DEPTH + 1, "7", false },
		{ 100000, "7", false },
		{ 1, "1e999", false },
		{ 1, "99999999999999999999999", false },
		{ 1, "\"", false },
	};
	size_t i, n;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		size_t depth = cases[i].depth;
		char *text = xmalloc(2 * depth + strlen(cases[i].inner) + 1);
		json_t *o;

		memset(text, '[', depth);
		n = depth + strlen(strcpy(text + depth, cases[i].inner));
		memset(text + n, ']', depth);
		o = member_load((str_t){ text, n + depth });
		CU_ASSERT_EQUAL(o != NULL, cases[i].ok);
		json_decref(o);
		free(text);
	}
}

void unit_slice(void)
{
	CU_pSuite s = CU_add_suite("slices of JSON text", NULL, NULL);

	CU_add_test(s, "members of an object", test_members);
	CU_add_test(s, "strings of many escapes", test_escapes);
	CU_add_test(s, "elements of an array", test_elements);
	CU_add_test(s, "nesting", test_nesting);
}
