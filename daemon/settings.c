/** @file settings.c Reads and checks the settings file of the daemon. */
#include <jansson.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "libdaemon.h"
#include "outside.h"

/* The limit must leave time for several requests to the registry. */
#define APPLY_LIMIT_MIN_MS 200

/* The types before TYPE_NUMBER are heap strings or lists of them. */
typedef enum value_type {
	TYPE_STRING,
	TYPE_ADDR,
	TYPE_ADDRS,
	TYPE_NUMBER,
	TYPE_REAL,
	TYPE_MAX
} value_type_t;

typedef struct field {
	const char *key;
	value_type_t type;
	size_t offset;
	bool required;
	unsigned max_value; /* of TYPE_NUMBER and TYPE_REAL */
} field_t;

#define OFFSET(member) offsetof(settings_t, member)

static const field_t fields[] = {
	{ "name", TYPE_STRING, OFFSET(name), true, 0 },
	{ "data_centre", TYPE_STRING, OFFSET(dc), true, 0 },
	{ "listen", TYPE_ADDR, OFFSET(listen), true, 0 },
	{ "admin", TYPE_ADDR, OFFSET(admin), true, 0 },
	{ "peer", TYPE_ADDR, OFFSET(peer), true, 0 },
	{ "peer_advertise", TYPE_ADDR, OFFSET(peer_advertise), false, 0 },
	{ "platform", TYPE_ADDRS, OFFSET(platform), false, 0 },
	{ "seeds", TYPE_ADDRS, OFFSET(seeds), false, 0 },
	{ "admin_token", TYPE_STRING, OFFSET(admin_token), false, 0 },
	{ "peer_secret_key", TYPE_STRING, OFFSET(peer_secret_key), false, 0 },
	{ "peer_public_key", TYPE_STRING, OFFSET(peer_public_key), false, 0 },
	{ "policy", TYPE_STRING, OFFSET(policy), false, 0 },
	{ "log_level", TYPE_STRING, OFFSET(log_level), false, 0 },
	{ "stop_grace_ms", TYPE_NUMBER, OFFSET(stop_grace_ms), false, 600000 },
	{ "stop_limit_ms", TYPE_NUMBER, OFFSET(stop_limit_ms), false, 600000 },
	{ "hedge_percentile", TYPE_NUMBER, OFFSET(hedge_percentile), false,
	  99 },
	{ "hedge_budget_percent", TYPE_NUMBER, OFFSET(hedge_budget_percent),
	  false, 100 },
	{ "retry_budget_percent", TYPE_NUMBER, OFFSET(retry_budget_percent),
	  false, 100 },
	{ "seed", TYPE_NUMBER, OFFSET(seed), false, UINT32_MAX },
	{ "outside", TYPE_STRING, OFFSET(protocol), false, 0 },
	{ "registry", TYPE_ADDR, OFFSET(registry_addr), false, 0 },
	{ "ready", TYPE_ADDR, OFFSET(ready_listen), false, 0 },
	{ "apply_limit_ms", TYPE_NUMBER, OFFSET(apply_limit_ms), false,
	  600000 },
	{ "fleet", TYPE_NUMBER, OFFSET(fleet_hosts), false, 100000 },
	{ "extra_fixed", TYPE_NUMBER, OFFSET(extra_sends_fixed), false,
	  1000000 },
	{ "extra_share", TYPE_REAL, OFFSET(extra_sends_share), false, 10 },
	{ "extra_window_s", TYPE_REAL, OFFSET(extra_sends_window_s), false,
	  3600 },
};

#define NFIELDS (sizeof(fields) / sizeof(fields[0]))

typedef bool (*reader_t)(const field_t *f, json_t *v, void *dst);

static bool read_string(const field_t *f, json_t *v, void *dst);
static bool read_addr(const field_t *f, json_t *v, void *dst);
static bool read_addrs(const field_t *f, json_t *v, void *dst);
static bool read_number(const field_t *f, json_t *v, void *dst);
static bool read_real(const field_t *f, json_t *v, void *dst);

static const reader_t readers[TYPE_MAX] = {
	[TYPE_STRING] = read_string, [TYPE_ADDR] = read_addr,
	[TYPE_ADDRS] = read_addrs,   [TYPE_NUMBER] = read_number,
	[TYPE_REAL] = read_real,
};

static bool is_addr(json_t *v)
{
	char host[ADDR_HOST_MAX];
	unsigned port;

	return json_is_string(v) &&
	       addr_split(str_of(json_string_value(v)), host, &port);
}

static bool read_string(const field_t *f, json_t *v, void *dst)
{
	(void)f;
	if (!json_is_string(v) || json_string_length(v) == 0)
		return false;
	*(char **)dst = strdup(json_string_value(v));
	return true;
}

static bool read_addr(const field_t *f, json_t *v, void *dst)
{
	return is_addr(v) && read_string(f, v, dst);
}

static bool read_addrs(const field_t *f, json_t *v, void *dst)
{
	size_t n = json_array_size(v);
	char **list;
	size_t i;

	(void)f;
	if (!json_is_array(v))
		return false;
	for (i = 0; i < n; i++)
		if (!is_addr(json_array_get(v, i)))
			return false;
	list = xcalloc(n + 1, sizeof(*list));
	for (i = 0; i < n; i++)
		list[i] = strdup(json_string_value(json_array_get(v, i)));
	*(char ***)dst = list;
	return true;
}

static bool read_number(const field_t *f, json_t *v, void *dst)
{
	json_int_t n = json_integer_value(v);

	if (!json_is_integer(v) || n < 0 || n > f->max_value)
		return false;
	*(unsigned *)dst = (unsigned)n;
	return true;
}

static bool read_real(const field_t *f, json_t *v, void *dst)
{
	double n = json_number_value(v);

	if (!json_is_number(v) || !(n >= 0) || n > f->max_value)
		return false;
	*(double *)dst = n;
	return true;
}

/* Prints a fault of a key, with the value if there is one, to stderr. */
static void print_fault(const char *file, const char *key, const char *fault,
			json_t *v)
{
	char *text = v ? json_dumps(v, JSON_ENCODE_ANY | JSON_COMPACT) : NULL;

	fprintf(stderr, "%s: /%s: %s%s%s\n", file, key, fault, text ? ": " : "",
		text ? text : "");
	free(text);
}

static unsigned read_fields(const char *file, json_t *root, settings_t *s)
{
	unsigned faults = 0;
	const field_t *f;
	json_t *v;
	size_t i;

	for (i = 0; i < NFIELDS; i++) {
		f = &fields[i];
		v = json_object_get(root, f->key);
		if (!v && !f->required)
			continue;
		if (!v) {
			print_fault(file, f->key, "missing", NULL);
			faults++;
		} else if (!readers[f->type](f, v, (char *)s + f->offset)) {
			print_fault(file, f->key, "bad value", v);
			faults++;
		}
	}
	return faults;
}

static unsigned check_keys(const char *file, json_t *root)
{
	unsigned faults = 0;
	const char *key;
	json_t *v;
	size_t i;

	json_object_foreach(root, key, v) {
		for (i = 0; i < NFIELDS; i++)
			if (strcmp(fields[i].key, key) == 0)
				break;
		if (i < NFIELDS)
			continue;
		print_fault(file, key, "unknown key", v);
		faults++;
	}
	return faults;
}

/* Checks keys that only routed requests or only searches require. */
static unsigned check_mode(const char *file, const settings_t *s)
{
	unsigned faults = 0;

	if (s->protocol && !outside_protocol_by_name(s->protocol)) {
		fprintf(stderr, "%s: /outside: no such protocol: %s\n", file,
			s->protocol);
		faults++;
	}
	if (s->protocol && (!s->registry_addr || !s->ready_listen)) {
		print_fault(file, s->registry_addr ? "ready" : "registry",
			    "missing, needed with /outside", NULL);
		faults++;
	}
	if (s->protocol && s->apply_limit_ms < APPLY_LIMIT_MIN_MS) {
		fprintf(stderr, "%s: /apply_limit_ms: below %d: %u\n", file,
			APPLY_LIMIT_MIN_MS, s->apply_limit_ms);
		faults++;
	}
	if (!s->protocol && (!s->platform || !s->admin_token)) {
		print_fault(file, s->platform ? "admin_token" : "platform",
			    "missing", NULL);
		faults++;
	}
	return faults;
}

static bool has_policy(const settings_t *s)
{
	if (s->protocol)
		return rt_policy_by_name(str_of(s->policy)) != RT_POLICY_MAX;
	return policy_by_name(str_of(s->policy)) != POLICY_MAX;
}

static unsigned check_relations(const char *file, const settings_t *s)
{
	unsigned faults = check_mode(file, s);

	if (s->policy && !has_policy(s)) {
		fprintf(stderr, "%s: /policy: no such policy: %s\n", file,
			s->policy);
		faults++;
	}
	if (!s->peer_secret_key != !s->peer_public_key) {
		fprintf(stderr,
			"%s: /peer_secret_key: needs /peer_public_key too\n",
			file);
		faults++;
	}
	return faults;
}

daemon_err_t settings_read(const char *file, settings_t *s)
{
	json_error_t err;
	unsigned faults;
	json_t *root;

	*s = (settings_t){ .stop_grace_ms = 2000,
			   .stop_limit_ms = 30000,
			   .hedge_percentile = UINT32_MAX,
			   .hedge_budget_percent = UINT32_MAX,
			   .retry_budget_percent = UINT32_MAX,
			   .apply_limit_ms = 3000,
			   .fleet_hosts = 12,
			   .extra_sends_fixed = 10,
			   .extra_sends_share = 0.1,
			   .extra_sends_window_s = 10 };
	root = json_load_file(file, JSON_REJECT_DUPLICATES, &err);
	if (!root) {
		fprintf(stderr, "%s: line %d: %s\n", file, err.line, err.text);
		return DAEMON_E_SETTINGS;
	}
	if (!json_is_object(root)) {
		fprintf(stderr, "%s: /: an object is needed\n", file);
		json_decref(root);
		return DAEMON_E_SETTINGS;
	}
	faults = check_keys(file, root);
	faults += read_fields(file, root, s);
	faults += check_relations(file, s);
	json_decref(root);
	return faults ? DAEMON_E_SETTINGS : DAEMON_OK;
}

static void free_list(char **list)
{
	char **p;

	for (p = list; p && *p; p++)
		free(*p);
	free(list);
}

void settings_free(settings_t *s)
{
	size_t i;

	for (i = 0; i < NFIELDS; i++) {
		void *member = (char *)s + fields[i].offset;

		if (fields[i].type == TYPE_ADDRS)
			free_list(*(char ***)member);
		else if (fields[i].type < TYPE_NUMBER)
			free(*(char **)member);
	}
}
