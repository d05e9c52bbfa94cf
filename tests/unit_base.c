/** @file unit_base.c Unit tests of the basic types in base/. */
#include <CUnit/CUnit.h>

#include "base.h"
#include "unit.h"

static void test_addr(void)
{
	static const struct {
		const char *text;
		bool ok;
		unsigned port;
	} cases[] = {
		{ "127.0.0.1:80", true, 80 },
		{ "255.255.255.255:65535", true, 65535 },
		{ "127.0.0.1:0", false, 0 },
		{ "127.0.0.1:65536", false, 0 },
		{ "127.0.0.1", false, 0 },
		{ "127.0.0.1:", false, 0 },
		{ "127.0.0.1:8x", false, 0 },
		{ "host:80", false, 0 },
		{ "", false, 0 },
		{ "1111111111111111111111111111111111111:1", false, 0 },
	};
	char host[ADDR_HOST_MAX];
	unsigned port;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		bool ok = addr_split(str_of(cases[i].text), host, &port);

		CU_ASSERT_EQUAL(ok, cases[i].ok);
		if (ok)
			CU_ASSERT_EQUAL(port, cases[i].port);
	}
}

/* A quantile is at most 1/32 above the exact value, and never below it. */
static void test_hist_error(void)
{
	static const usec_t values[] = { 0,   1,   31,	  32,	  33,
					 100, 999, 12345, 999999, 70000000 };
	size_t i;

	for (i = 0; i < sizeof(values) / sizeof(values[0]); i++) {
		static hist_t h;
		usec_t quantile;

		h = (hist_t){ 0 };
		hist_add(&h, values[i]);
		quantile = hist_quantile(&h, 0.5);
		CU_ASSERT(quantile >= values[i]);
		CU_ASSERT(quantile <= values[i] + values[i] / 32);
	}
}

static void test_hist_quantile(void)
{
	static hist_t h;
	usec_t i;

	h = (hist_t){ 0 };
	for (i = 1; i <= 1000; i++)
		hist_add(&h, i);
	CU_ASSERT(hist_quantile(&h, 0.5) >= 500);
	CU_ASSERT(hist_quantile(&h, 0.5) <= 516);
	CU_ASSERT(hist_quantile(&h, 0.99) >= 990);
	CU_ASSERT(hist_quantile(&h, 0.99) <= 1023);
}

static void test_rng(void)
{
	rng_t a = { 7 }, b = { 7 };
	int i;

	for (i = 0; i < 100; i++)
		CU_ASSERT_EQUAL(rng_next(&a), rng_next(&b));
	for (i = 0; i < 1000; i++)
		CU_ASSERT(rng_below(&a, 3) < 3);
}

static void test_arena(void)
{
	arena_t a = { 0 };
	str_t s = arena_str(&a, STR("text"));
	char *big = arena_alloc(&a, 100000);

	CU_ASSERT(str_eq(s, STR("text")));
	CU_ASSERT_EQUAL(big[99999], 0);
	CU_ASSERT_EQUAL((uintptr_t)big % 16, 0);
	arena_free(&a);
	CU_ASSERT_PTR_NULL(a.head);
}

void unit_base(void)
{
	CU_pSuite s = CU_add_suite("base", NULL, NULL);

	CU_add_test(s, "addr", test_addr);
	CU_add_test(s, "hist error", test_hist_error);
	CU_add_test(s, "hist quantile", test_hist_quantile);
	CU_add_test(s, "rng", test_rng);
	CU_add_test(s, "arena", test_arena);
}
