/** @file scenario_conf.c Builds the configuration that a script describes. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "scenario.h"

#define DEFAULT_DCS 3
#define DEFAULT_SLOTS 3
#define DEFAULT_CONNECTIONS 30
#define DEFAULT_DEADLINE_MS 1000

static const step_t *find_step(const scenario_run_t *r, verb_t verb)
{
	guint i;

	for (i = 0; i < r->script->steps->len; i++) {
		const step_t *s = r->script->steps->pdata[i];

		if (s->verb == verb)
			return s;
	}
	return NULL;
}

/* Returns the number after "WORD NAME" in a publish step, or dflt if there is
 * none. */
static long published_number(const step_t *p, const char *word,
			     const char *name, long dflt)
{
	unsigned i;

	for (i = 0; p && i + 2 < p->nargs; i++)
		if (strcmp(p->args[i], word) == 0 &&
		    strcmp(p->args[i + 1], name) == 0)
			return strtol(p->args[i + 2], NULL, 10);
	return dflt;
}

static void add_group(const scenario_run_t *r, conf_builder_t *b,
		      const char *name, unsigned replicas,
		      unsigned *next_server)
{
	const step_t *dcs = find_step(r, VERB_DATA_CENTRES);
	unsigned ndcs =
		dcs ? (unsigned)strtol(dcs->args[0], NULL, 10) : DEFAULT_DCS;
	char ip[ADDR_HOST_MAX];
	unsigned i, port;

	conf_add_group(b, name);
	for (i = 0; i < replicas; i++) {
		lab_server_addr(r->lab, (*next_server)++, ip, &port);
		conf_add_server(b, conf_dc_name(b, i % ndcs), ip, port);
	}
}

static void add_service(const scenario_run_t *r, conf_builder_t *b,
			const step_t *s, const step_t *p, unsigned *next_server)
{
	unsigned groups = (unsigned)step_num(s, "groups", 1);
	unsigned replicas = (unsigned)step_num(s, "replicas", 3);
	long map =
		published_number(p, "map", s->args[0], step_num(s, "map", 1));
	long holders;
	char name[16];
	unsigned i;

	conf_add_service(
		b, s->args[0], (unsigned)step_num(s, "slots", DEFAULT_SLOTS),
		(unsigned)step_num(s, "connections", DEFAULT_CONNECTIONS));
	conf_set_map(b, (uint32_t)map);
	holders = published_number(p, "holders", s->args[0],
				   step_num(s, "holders", 0));
	if (r->variant.holders)
		holders = strtol(r->variant.holders, NULL, 10);
	conf_set_holders(b, (unsigned)holders);
	for (i = 0; i < groups; i++) {
		snprintf(name, sizeof(name), "g%02u", i);
		add_group(r, b, name, replicas, next_server);
	}
}

static void add_class(conf_builder_t *b, const step_t *s, const step_t *p)
{
	long deadline = step_num(s, "deadline", DEFAULT_DEADLINE_MS);
	const char *min = step_arg(s, "min");

	deadline = published_number(p, "deadline", s->args[1], deadline);
	conf_add_class(
		b, &(conf_class_spec_t){
			   .name = s->args[1],
			   .kind = step_has(s, "urgent") ? CONF_URGENT
							 : CONF_BROAD,
			   .scope = step_has(s, "one") ? CONF_ONE : CONF_ALL,
			   .idempotent = !step_has(s, "once"),
			   .deadline_ms = (unsigned)deadline,
			   .soft_ms = (unsigned)step_num(s, "soft", 0),
			   .min_coverage = min ? g_ascii_strtod(min, NULL) : 1,
		   });
}

/* Adds the classes that a script declares for a service. */
static void add_classes(const scenario_run_t *r, conf_builder_t *b,
			const char *service, const step_t *p)
{
	guint i;

	for (i = 0; i < r->script->steps->len; i++) {
		const step_t *s = r->script->steps->pdata[i];

		if (s->verb == VERB_CLASS && strcmp(s->args[0], service) == 0)
			add_class(b, s, p);
	}
}

static char *emit(conf_builder_t *b)
{
	char *text = NULL;
	size_t sz = 0;
	FILE *out = open_memstream(&text, &sz);
	int rc = conf_emit(b, out, stderr);

	fclose(out);
	if (rc == 0)
		return text;
	free(text);
	return NULL;
}

/* Runs deploy-NAME, which prints a configuration for the lab's network. */
static char *deployment_text(const scenario_run_t *r, const char *name,
			     long revision)
{
	const char *bin = g_getenv("GERANIUMSLIP_BIN");
	char *program =
		g_strdup_printf("%s/deploy-%s", bin ? bin : "build", name);
	char *net = g_strdup_printf("127.%u.%u", r->lab->net_octet2,
				    r->lab->net_octet3);
	char *rev = g_strdup_printf("%ld", revision);
	char *argv[] = { program, net, rev, NULL };
	char *text = NULL;

	if (!g_spawn_sync(NULL, argv, NULL, G_SPAWN_DEFAULT, NULL, NULL, &text,
			  NULL, NULL, NULL))
		text = NULL;
	g_free(program);
	g_free(net);
	g_free(rev);
	return text;
}

char *scenario_run_conf_text(const scenario_run_t *r, const step_t *publish)
{
	const step_t *deployment = find_step(r, VERB_DEPLOYMENT);
	const step_t *daemons = find_step(r, VERB_DAEMONS);
	const step_t *dcs = find_step(r, VERB_DATA_CENTRES);
	long ndcs = dcs ? strtol(dcs->args[0], NULL, 10) : DEFAULT_DCS;
	unsigned max =
		daemons ? (unsigned)step_num(daemons, "max",
					     strtol(daemons->args[0], NULL, 10))
			: 3;
	long rev = publish ? step_num(publish, "revision", 2) : 1;
	conf_builder_t *b;
	unsigned next_server = 0;
	char name[16];
	guint i;

	if (deployment)
		return deployment_text(r, deployment->args[0], rev);
	if (publish && step_has(publish, "bad"))
		return strdup("{\"revision\":9,\"fleet\":{},\"services\":{}}");
	b = conf_new((uint64_t)rev, max);
	conf_set_link(b, dcs ? (unsigned)step_num(dcs, "link_us", 0) : 0);
	for (i = 0; i < (guint)ndcs; i++) {
		snprintf(name, sizeof(name), "dc%u", i + 1);
		conf_add_dc(b, name, "r1");
	}
	for (i = 0; i < r->script->steps->len; i++) {
		const step_t *s = r->script->steps->pdata[i];

		if (s->verb != VERB_SERVICE)
			continue;
		add_service(r, b, s, publish, &next_server);
		add_classes(r, b, s->args[0], publish);
	}
	return emit(b);
}
