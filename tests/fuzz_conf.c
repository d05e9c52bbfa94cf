/** @file fuzz_conf.c libFuzzer's way into the configuration's reader. */
#include <stdlib.h>

#include "conf.h"

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
	conf_store_apply(s, text);
	conf_store_free(s);
	return 0;
}
