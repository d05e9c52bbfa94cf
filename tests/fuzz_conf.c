/** @file fuzz_conf.c libFuzzer's way into the configuration's reader. */
#include <stdlib.h>

#include "routes.h"

static void fuzz_routes(str_t text)
{
	static conf_faults_t f;
	rt_conf_t *c, *again;
	char *canonical;

	f.n = 0;
	c = rt_conf_parse(text, &f);
	if (!c)
		return;
	canonical = rt_conf_text(c);
	again = rt_conf_parse(str_of(canonical), &f);
	if (!again)
		abort();
	free(canonical);
	rt_conf_unref(c);
	rt_conf_unref(again);
}

/* The name is libFuzzer's. NOLINTNEXTLINE */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t sz);

/* NOLINTNEXTLINE */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t sz)
{
	static conf_faults_t f;
	str_t text = { (const char *)data, sz };
	conf_store_t *s = conf_store_new();
	conf_t *c;

	f.n = 0;
	c = conf_parse(text, &f);
	/* What is valid prints as something that is valid. */
	if (c) {
		char *canonical = conf_text(c);
		conf_t *again = conf_parse(str_of(canonical), &f);

		if (!again || again->hash != c->hash)
			abort();
		conf_free(again);
		free(canonical);
	}
	conf_free(c);
	fuzz_routes(text);
	conf_store_apply(s, text);
	conf_store_free(s);
	return 0;
}
