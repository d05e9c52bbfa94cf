/** @file fuzz_conf.c libFuzzer target for the parsers of configurations. */
#include <stdlib.h>

#include "member.h"
#include "routes.h"
#include "slice.h"

static void fuzz_routes(str_t text)
{
	static conf_faults_t f;
	rt_conf_t *c, *reparsed;
	char *canonical;

	f.n = 0;
	c = rt_conf_parse(text, &f);
	if (!c)
		return;
	canonical = rt_conf_text(c);
	reparsed = rt_conf_parse(str_of(canonical), &f);
	if (!reparsed)
		abort();
	free(canonical);
	rt_conf_unref(c);
	rt_conf_unref(reparsed);
}

/* The slices of valid JSON are valid JSON. */
static void fuzz_slices(str_t text)
{
	json_t *o = member_load(text), *part;
	str_t rest, v;

	slice_member(text, "revision", &v);
	if (slice_array(text, &rest))
		while (slice_next(&rest, &v)) {
			part = o ? member_load(v) : NULL;
			if (o && !part)
				abort();
			json_decref(part);
		}
	json_decref(o);
}

/* libFuzzer requires this name. NOLINTNEXTLINE */
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
	/* The canonical text of a valid configuration must parse to an equal
	 * configuration. */
	if (c) {
		char *canonical = conf_text(c);
		conf_t *reparsed = conf_parse(str_of(canonical), &f);

		if (!reparsed || reparsed->hash != c->hash)
			abort();
		conf_free(reparsed);
		free(canonical);
	}
	conf_free(c);
	fuzz_routes(text);
	fuzz_slices(text);
	conf_store_apply_delta(s, text);
	conf_store_free(s);
	return 0;
}
