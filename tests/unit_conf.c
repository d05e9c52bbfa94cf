/** @file unit_conf.c Unit tests of conf/: configurations and their store. */
#include <CUnit/CUnit.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "routes.h"
#include "unit.h"

#define FLEET                                                                  \
	"\"fleet\":{\"max_daemons\":3,\"data_centres\":"                       \
	"[{\"name\":\"a\",\"region\":\"r\"}]}"
#define GROUP                                                                  \
	"{\"name\":\"g0\",\"servers\":[{\"addr\":\"127.0.0.1:1\","             \
	"\"dc\":\"a\"}]}"
#define CLASS "\"c\":{\"kind\":\"urgent\",\"deadline_ms\":100}"
/* A document with one service, "s", in the data centre "a". */
#define SERVICE_DOC(groups, classes)                                           \
	"{\"revision\":1," FLEET ",\"services\":{\"s\":{\"slots\":3,"          \
	"\"connections\":9,\"groups\":[" groups "],\"classes\":{" classes      \
	"}}}}"

static void test_faults(void)
{
	static const struct {
		const char *text;
		conf_err_t err; /* of the first fault */
	} cases[] = {
		{ SERVICE_DOC(GROUP, CLASS), CONF_E_OK },
		{ "", CONF_E_JSON },
		{ "[]", CONF_E_TYPE },
		{ "{\"revision\":1}", CONF_E_MISSING },
		{ "{\"revision\":0," FLEET ",\"services\":{}}", CONF_E_RANGE },
		{ "{\"revision\":1," FLEET ",\"services\":{},\"x\":1}",
		  CONF_E_UNKNOWN_KEY },
		{ SERVICE_DOC(GROUP "," GROUP, CLASS), CONF_E_DUPLICATE },
		{ SERVICE_DOC("", CLASS), CONF_E_MISSING },
		{ SERVICE_DOC("{\"name\":\"g\",\"servers\":[]}", CLASS),
		  CONF_E_MISSING },
		{ SERVICE_DOC("{\"name\":\"g\",\"servers\":[{\"addr\":\"x\","
			      "\"dc\":\"a\"}]}",
			      CLASS),
		  CONF_E_ADDR },
		{ SERVICE_DOC("{\"name\":\"g\",\"servers\":[{\"addr\":"
			      "\"1.1.1.1:1\",\"dc\":\"b\"}]}",
			      CLASS),
		  CONF_E_REFERENCE },
		{ SERVICE_DOC(GROUP, "\"c\":{\"kind\":\"slow\","
				     "\"deadline_ms\":1}"),
		  CONF_E_RANGE },
		{ SERVICE_DOC(GROUP, "\"c\":{\"kind\":\"urgent\"}"),
		  CONF_E_MISSING },
		{ SERVICE_DOC(GROUP, "\"c\":{\"kind\":\"urgent\","
				     "\"deadline_ms\":1,\"idempotent\":false}"),
		  CONF_E_NONIDEMPOTENT_SCOPE },
		{ SERVICE_DOC(GROUP, "\"c\":{\"kind\":\"urgent\","
				     "\"deadline_ms\":1,\"team\":\"t\"}"),
		  CONF_E_REFERENCE },
	};
	static conf_faults_t f;
	conf_t *c;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		f = (conf_faults_t){ 0 };
		c = conf_parse(str_of(cases[i].text), &f);
		CU_ASSERT_EQUAL(c == NULL, cases[i].err != CONF_E_OK);
		CU_ASSERT_EQUAL(f.n ? f.v[0].err : CONF_E_OK, cases[i].err);
		conf_free(c);
	}
}

/* Parsing a canonical text and formatting the result gives the same text. */
static void test_canonical(void)
{
	static conf_faults_t f;
	conf_t *a = conf_parse(str_of(SERVICE_DOC(GROUP, CLASS)), &f);
	char *text, *reformatted;
	conf_t *b;

	CU_ASSERT_PTR_NOT_NULL(a);
	if (!a)
		return;
	text = conf_text(a);
	b = conf_parse(str_of(text), &f);
	CU_ASSERT_PTR_NOT_NULL(b);
	if (!b)
		return;
	reformatted = conf_text(b);
	CU_ASSERT_STRING_EQUAL(text, reformatted);
	CU_ASSERT_EQUAL(a->hash, b->hash);
	free(text);
	free(reformatted);
	conf_free(a);
	conf_free(b);
}

/* conf_emit() reports the faults of all earlier calls, not only the first. */
static void test_builder_faults(void)
{
	conf_builder_t *b = conf_new(1, 3);
	char *text = NULL;
	size_t sz = 0;
	FILE *err = open_memstream(&text, &sz);

	conf_add_group(b, "g");
	conf_add_class(b, &(conf_class_spec_t){ .name = "c" });
	CU_ASSERT_EQUAL(conf_emit(b, stdout, err), 1);
	fclose(err);
	CU_ASSERT_PTR_NOT_NULL(strstr(text, "group before any service"));
	CU_ASSERT_PTR_NOT_NULL(strstr(text, "class before any service"));
	free(text);
}

/*
 * A delta brings a store to the sender's revision, has only the sections that
 * changed, and is refused by a store that lacks the other sections.
 */
static void test_store_delta(void)
{
	static conf_faults_t f;
	conf_t *c = conf_parse(str_of(SERVICE_DOC(GROUP, CLASS)), &f);
	conf_store_t *a = conf_store_from_conf(c);
	conf_store_t *b = conf_store_new();
	conf_t *parsed;
	char *delta;

	delta = conf_store_delta_text(a, 0);
	CU_ASSERT(conf_store_apply_delta(b, str_of(delta)));
	free(delta);
	parsed = conf_store_parse(b, &f);
	CU_ASSERT_PTR_NOT_NULL(parsed);
	if (!parsed)
		return;
	CU_ASSERT_EQUAL(parsed->hash, c->hash);
	conf_free(parsed);

	/* The store of revision 1 accepts the delta; an empty one does not. */
	a->revision = 5;
	conf_store_set(a, STR("fleet"), 5, a->v[0].text);
	delta = conf_store_delta_text(a, 1);
	CU_ASSERT_PTR_NULL(strstr(delta, "127.0.0.1"));
	CU_ASSERT(conf_store_apply_delta(b, str_of(delta)));
	CU_ASSERT_EQUAL(b->revision, 5);
	conf_store_free(b);
	b = conf_store_new();
	CU_ASSERT(!conf_store_apply_delta(b, str_of(delta)));
	CU_ASSERT_EQUAL(b->revision, 0);
	free(delta);
	conf_store_free(a);
	conf_store_free(b);
	conf_free(c);
}

/*
 * A daemon may open at least one connection to a server. The limit of a server
 * also holds if its group has half as many holders again as configured, which
 * happens while the daemons have different lists of members.
 */
static void test_daemon_connections(void)
{
	conf_t c = { .max_daemons = 9 };
	conf_service_t s = { 0 };
	unsigned k, daemons;

	for (s.connections = 9; s.connections <= 110; s.connections++)
		for (k = 0; k <= 9; k++) {
			s.holders = k;
			daemons = k ? k + (k + 1) / 2 : c.max_daemons;
			if (daemons > c.max_daemons)
				daemons = c.max_daemons;
			CU_ASSERT(conf_daemon_connections(&c, &s) >= 1);
			CU_ASSERT(conf_daemon_connections(&c, &s) * daemons <=
				  s.connections);
		}
}

/* A document with one route, "r", and two services. */
#define ROUTE_DOC(route)                                                       \
	"{\"revision\":4,\"limits\":{\"header_bytes\":1000,"                   \
	"\"body_bytes\":0,\"header_ms\":300,\"idle_ms\":5000},"                \
	"\"services\":{\"a\":{\"connections\":30},"                            \
	"\"b\":{\"connections\":9}},\"routes\":{\"r\":{"                       \
	"\"host\":\"H.ex\",\"deadline_ms\":800," route "}}}"

static void test_routes(void)
{
	static const struct {
		const char *text;
		conf_err_t err; /* of the first fault */
		const char *path;
	} cases[] = {
		{ ROUTE_DOC("\"prefix\":\"/\",\"service\":\"a\""), CONF_E_OK,
		  "" },
		{ ROUTE_DOC("\"prefix\":\"/\",\"split\":{\"a\":0.9,\"b\":0.1}"),
		  CONF_E_OK, "" },
		{ ROUTE_DOC("\"prefix\":\"/\",\"split\":{\"a\":true}"),
		  CONF_E_RANGE, "/routes/r/split" },
		{ ROUTE_DOC("\"prefix\":\"/\",\"split\":{\"a\":3,\"b\":1}"),
		  CONF_E_OK, "" },
		{ ROUTE_DOC("\"prefix\":\"/\",\"idempotent\":true,\"top\":5,"
			    "\"shards\":[\"a\",\"b\"]"),
		  CONF_E_OK, "" },
		{ "nothing", CONF_E_JSON, "/" },
		{ "[]", CONF_E_TYPE, "" },
		{ "{\"revision\":1}", CONF_E_MISSING, "/limits" },
		{ ROUTE_DOC("\"service\":\"a\""), CONF_E_MISSING,
		  "/routes/r/prefix" },
		{ ROUTE_DOC("\"prefix\":\"/x\",\"service\":\"a\""),
		  CONF_E_RANGE, "/routes/r/prefix" },
		{ ROUTE_DOC("\"prefix\":\"/\""), CONF_E_MISSING,
		  "/routes/r/service" },
		{ ROUTE_DOC("\"prefix\":\"/\",\"service\":\"a\","
			    "\"shards\":[\"a\"]"),
		  CONF_E_MISSING, "/routes/r/service" },
		{ ROUTE_DOC("\"prefix\":\"/\",\"service\":\"c\""),
		  CONF_E_REFERENCE, "/routes/r/service" },
		{ ROUTE_DOC("\"prefix\":\"/\",\"split\":{\"a\":-1}"),
		  CONF_E_RANGE, "/routes/r/split" },
		{ ROUTE_DOC("\"prefix\":\"/\",\"split\":{\"a\":0}"),
		  CONF_E_RANGE, "/routes/r/split" },
		{ ROUTE_DOC("\"prefix\":\"/\",\"top\":5,"
			    "\"shards\":[\"a\",\"b\"]"),
		  CONF_E_NONIDEMPOTENT_SCOPE, "/routes/r/idempotent" },
		{ ROUTE_DOC("\"prefix\":\"/\",\"idempotent\":true,"
			    "\"shards\":[\"a\",7]"),
		  CONF_E_REFERENCE, "/routes/r/shards" },
		{ ROUTE_DOC("\"prefix\":\"/\",\"service\":\"a\",\"x\":1"),
		  CONF_E_UNKNOWN_KEY, "/routes/r/x" },
		{ ROUTE_DOC("\"prefix\":\"/\",\"service\":\"a\","
			    "\"min_coverage\":2"),
		  CONF_E_RANGE, "/routes/r/min_coverage" },
	};
	static conf_faults_t f;
	rt_conf_t *c, *reparsed;
	char *text, *reformatted;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		f.n = 0;
		c = rt_conf_parse(str_of(cases[i].text), &f);
		CU_ASSERT_EQUAL(c == NULL, cases[i].err != CONF_E_OK);
		CU_ASSERT_EQUAL(f.n ? f.v[0].err : CONF_E_OK, cases[i].err);
		CU_ASSERT_STRING_EQUAL(f.n ? f.v[0].path : "", cases[i].path);
		if (!c)
			continue;
		CU_ASSERT(str_eq(c->routes[0].host, STR("h.ex")));
		text = rt_conf_text(c);
		reparsed = rt_conf_parse(str_of(text), &f);
		CU_ASSERT_PTR_NOT_NULL(reparsed);
		reformatted = reparsed ? rt_conf_text(reparsed) : strdup("");
		CU_ASSERT_STRING_EQUAL(text, reformatted);
		free(text);
		free(reformatted);
		rt_conf_unref(c);
		rt_conf_unref(reparsed);
	}
}

void unit_conf(void)
{
	CU_pSuite s = CU_add_suite("conf", NULL, NULL);

	CU_add_test(s, "faults", test_faults);
	CU_add_test(s, "canonical text", test_canonical);
	CU_add_test(s, "builder reports all faults", test_builder_faults);
	CU_add_test(s, "store delta", test_store_delta);
	CU_add_test(s, "connections per daemon", test_daemon_connections);
	CU_add_test(s, "routes", test_routes);
}
