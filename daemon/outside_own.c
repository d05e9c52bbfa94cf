/**
 * @file outside_own.c
 * The project's own protocol with callers and servers of routes and with the
 * registry that publishes them; docs/PROTOCOLS.md describes it.
 */
#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "member.h"
#include "outside_own.h"

#define MAX_SLOTS 100000 /* a larger value is a fault of the entry */
#define MAX_WARMUP_MS ((uint64_t)3600000)

static void list_path(GString *path, str_t after, bool allow_stale);
static void watch_path(GString *path, uint64_t after, usec_t wait);
static bool item_value(str_t text, str_t *value, arena_t *mem);
static bool read_items(str_t body, outside_items_t *items, arena_t *mem);
static outside_kind_t kind(str_t key, str_t *id);
static rt_conf_t *read_config(str_t value, char fault[OUTSIDE_FAULT_MAX]);
static bool read_server(str_t id, str_t value, rt_entry_t *e, arena_t *mem,
			char fault[OUTSIDE_FAULT_MAX]);

static const outside_json_names_t json_names = {
	.list = "items",
	.changes = "items",
	.revision = "revision",
	.more = "more",
	.deleted = "deleted",
	.config_key = "routes",
	.server_prefix = "servers/",
	.evacuate_prefix = "evacuate/",
	.value = item_value,
};

const outside_protocol_t own_outside_protocol = {
	.name = "own",
	.headers = {
		[OUTSIDE_REQUEST_ID] = "Gs-Request",
		[OUTSIDE_TIME_LEFT] = "Gs-Deadline-Ms",
		[OUTSIDE_SERVER_ID] = "Gs-Server",
		[OUTSIDE_SERVER_STAMP] = "Gs-Stamp",
		[OUTSIDE_NOT_RUN] = "Gs-Refused",
		[OUTSIDE_PART_STAMPS] = "Gs-Stamps",
		[OUTSIDE_MISSING_SHARDS] = "Gs-Missing",
		[OUTSIDE_RETRY_AFTER] = "Retry-After",
		[OUTSIDE_LEAVING] = "Gs-Leaving",
		[OUTSIDE_LOAD] = "Gs-Load",
		[OUTSIDE_WARMUP] = "Gs-Warmup-Ms",
		[OUTSIDE_ERA] = "Gs-Era",
	},
	.ready_path = "/ready",
	.misdirected_status = 421,
	.list_path = list_path,
	.watch_path = watch_path,
	.read_items = read_items,
	.kind = kind,
	.read_config = read_config,
	.read_server = read_server,
	.check_evacuation = outside_check_evacuation,
};

static void list_path(GString *path, str_t after, bool allow_stale)
{
	g_string_append(path, "/v1/published?after=");
	outside_append_key(path, after);
	g_string_append(path, allow_stale ? "&stale=1" : "");
}

static void watch_path(GString *path, uint64_t after, usec_t wait)
{
	g_string_append_printf(
		path, "/v1/published/changes?since=%" PRIu64 "&wait_ms=%lld",
		after, (long long)(wait / USEC_PER_MSEC));
}

/* The value is any JSON value; it is returned as JSON text. */
static bool item_value(str_t text, str_t *value, arena_t *mem)
{
	*value = arena_str(mem, text);
	return true;
}

static bool read_items(str_t body, outside_items_t *items, arena_t *mem)
{
	return outside_read_items(&json_names, body, items, mem);
}

static outside_kind_t kind(str_t key, str_t *id)
{
	return outside_key_kind(&json_names, key, id);
}

static rt_conf_t *read_config(str_t value, char fault[OUTSIDE_FAULT_MAX])
{
	conf_faults_t *f = xcalloc(1, sizeof(*f));
	rt_conf_t *c = rt_conf_parse(value, f);

	if (!c)
		conf_format_first_fault(f, fault, OUTSIDE_FAULT_MAX);
	free(f);
	return c;
}

/* Returns the name of the first invalid or missing member, or NULL. */
static const char *read_members(json_t *o, rt_entry_t *e, arena_t *mem)
{
	char host[ADDR_HOST_MAX];
	str_t service, addr, dc;
	uint64_t slots, warm_ms;
	json_t *leaving = json_object_get(o, "leaving");
	unsigned port;

	if (!member_str(o, "service", &service) || service.sz == 0)
		return "service";
	if (!member_str(o, "addr", &addr) || !addr_split(addr, host, &port))
		return "addr";
	if (!member_str(o, "data_centre", &dc))
		return "data_centre";
	if (!member_uint64(o, "slots", &slots) || slots == 0 ||
	    slots > MAX_SLOTS)
		return "slots";
	if (!json_is_boolean(leaving))
		return "leaving";
	if (!member_uint64(o, "warm_ms", &warm_ms) || warm_ms > MAX_WARMUP_MS)
		return "warm_ms";
	if (!member_uint64(o, "incarnation", &e->incarnation))
		return "incarnation";
	if (!member_uint64(o, "report", &e->report))
		return "report";
	e->service = arena_str(mem, service);
	e->addr = arena_str(mem, addr);
	e->dc = arena_str(mem, dc);
	e->slots = (unsigned)slots;
	e->draining = json_is_true(leaving);
	e->warmup_left = (usec_t)warm_ms * USEC_PER_MSEC;
	return NULL;
}

static bool read_server(str_t id, str_t value, rt_entry_t *e, arena_t *mem,
			char fault[OUTSIDE_FAULT_MAX])
{
	json_t *o = member_load(value);
	const char *bad = "the entry is not a JSON object";

	*e = (rt_entry_t){ 0 };
	if (json_is_object(o))
		bad = read_members(o, e, mem);
	json_decref(o);
	if (bad)
		snprintf(fault, OUTSIDE_FAULT_MAX, "bad or missing: %s", bad);
	else
		e->id = arena_str(mem, id);
	return !bad;
}
