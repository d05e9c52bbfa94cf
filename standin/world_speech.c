/** @file world_speech.c Table of the protocols that the stand-ins implement. */
#include <string.h>

#include "libworld.h"

static void platform_item(GString *out, const char *key, const char *value,
			  uint64_t revision);
static char *platform_entry(const world_server_t *s, const char *state);
static char *platform_config(const char *text);
static void own_item(GString *out, const char *key, const char *value,
		     uint64_t revision);
static char *own_entry(const world_server_t *s, const char *state);
static char *own_config(const char *text);

static const world_protocol_t protocols[] = {
	{
		.name = "platform",
		.config_key = "op/config",
		.evacuate_prefix = "op/evacuate/",
		.list_path = "/kv-range",
		.after_arg = "after=",
		.wait_arg = "waitMs=",
		.list_frame = { "{\"items\":[",
				"],\"hasMore\":false,\"atRev\":" },
		.changes_frame = { "{\"events\":[", "],\"atRev\":" },
		.append_item = platform_item,
		.format_entry = platform_entry,
		.convert_config = platform_config,
	},
	{
		.name = "own",
		.config_key = "routes",
		.evacuate_prefix = "evacuate/",
		.list_path = "/v1/published?",
		.after_arg = "since=",
		.wait_arg = "wait_ms=",
		.list_frame = { "{\"items\":[",
				"],\"more\":false,\"revision\":" },
		.changes_frame = { "{\"items\":[", "],\"revision\":" },
		.append_item = own_item,
		.format_entry = own_entry,
		.convert_config = own_config,
	},
};

const world_protocol_t *world_protocol(const char *name)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(protocols); i++)
		if (strcmp(protocols[i].name, name) == 0)
			return &protocols[i];
	return NULL;
}

static void platform_item(GString *out, const char *key, const char *value,
			  uint64_t revision)
{
	char *text;

	if (!value) {
		g_string_append_printf(out,
				       "{\"key\":\"%s\",\"revision\":%llu,"
				       "\"tombstone\":true}",
				       key, (unsigned long long)revision);
		return;
	}
	text = g_base64_encode((const guchar *)value, strlen(value));
	g_string_append_printf(out,
			       "{\"key\":\"%s\",\"value\":\"%s\","
			       "\"revision\":%llu,\"created\":1,\"lease\":0}",
			       key, text, (unsigned long long)revision);
	g_free(text);
}

static char *platform_entry(const world_server_t *s, const char *state)
{
	return g_strdup_printf(
		"{\"service\":\"%s\",\"address\":\"%s\",\"zone\":"
		"\"%s\",\"version\":\"v1\",\"slots\":3,\"state\":"
		"\"%s\",\"warmupLeftMs\":%u,\"seq\":%u,\"born\":%u}",
		s->service, s->addr, s->dc, state, s->warmup_ms, s->report_seq,
		5 + s->incarnation);
}

static char *platform_config(const char *text)
{
	return g_strdup(text);
}

static void own_item(GString *out, const char *key, const char *value,
		     uint64_t revision)
{
	char *text;

	g_string_append_printf(out, "{\"key\":\"%s\",\"revision\":%llu,", key,
			       (unsigned long long)revision);
	if (!value) {
		g_string_append(out, "\"deleted\":true}");
		return;
	}
	/* A value that is not a JSON object is sent as a JSON string. */
	text = value[0] == '{' ? g_strdup(value)
			       : g_strdup_printf("\"%s\"", value);
	g_string_append_printf(out, "\"value\":%s}", text);
	g_free(text);
}

static char *own_entry(const world_server_t *s, const char *state)
{
	return g_strdup_printf(
		"{\"service\":\"%s\",\"addr\":\"%s\",\"data_centre\":\"%s\","
		"\"slots\":3,\"leaving\":%s,\"warm_ms\":%u,\"incarnation\":%u,"
		"\"report\":%u}",
		s->service, s->addr, s->dc,
		strcmp(state, "draining") == 0 ? "true" : "false", s->warmup_ms,
		5 + s->incarnation, s->report_seq);
}

/* Converts routes from the platform's format to the project's own. */
static char *own_config(const char *text)
{
	char fault[OUTSIDE_FAULT_MAX], *own, *copy;
	rt_conf_t *c = outside_protocol_by_name("platform")
			       ->read_config(str_of(text), fault);

	if (!c)
		return g_strdup("not a configuration");
	own = rt_conf_text(c);
	rt_conf_unref(c);
	copy = g_strdup(own);
	free(own);
	return copy;
}
