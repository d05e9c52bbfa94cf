/** @file settings.c Reads the settings of a process and checks them. */
#include <jansson.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "libdaemon.h"
#include "outside.h"

/* Several calls of the registry must fit into it. */
#define APPLY_LIMIT_MIN_MS 200

typedef enum kind { K_STRING, K_ADDR, K_ADDRS, K_NUMBER, K_REAL, K_MAX } kind_t;

typedef struct field {
	const char *key;
	kind_t kind;
	size_t at;
	bool needed;
	unsigned max; /* of a number */
} field_t;

#define AT(member) offsetof(settings_t, member)

static const field_t fields[] = {
	{ "name", K_STRING, AT(name), true, 0 },
	{ "data_centre", K_STRING, AT(dc), true, 0 },
	{ "listen", K_ADDR, AT(listen), true, 0 },
	{ "admin", K_ADDR, AT(admin), true, 0 },
	{ "peer", K_ADDR, AT(peer), true, 0 },
	{ "peer_advertise", K_ADDR, AT(peer_advertise), false, 0 },
	{ "platform", K_ADDRS, AT(platform), false, 0 },
	{ "seeds", K_ADDRS, AT(seeds), false, 0 },
	{ "admin_token", K_STRING, AT(admin_token), false, 0 },
	{ "peer_secret_key", K_STRING, AT(peer_secret), false, 0 },
	{ "peer_public_key", K_STRING, AT(peer_public), false, 0 },
	{ "policy", K_STRING, AT(policy), false, 0 },
	{ "log_level", K_STRING, AT(log_level), false, 0 },
	{ "stop_grace_ms", K_NUMBER, AT(stop_grace_ms), false, 600000 },
	{ "stop_limit_ms", K_NUMBER, AT(stop_limit_ms), false, 600000 },
	{ "hedge_percentile", K_NUMBER, AT(hedge_percentile), false, 99 },
	{ "hedge_budget_percent", K_NUMBER, AT(hedge_budget), false, 100 },
	{ "retry_budget_percent", K_NUMBER, AT(retry_budget), false, 100 },
	{ "seed", K_NUMBER, AT(seed), false, UINT32_MAX },
	{ "outside", K_STRING, AT(outside), false, 0 },
	{ "registry", K_ADDR, AT(registry), false, 0 },
	{ "ready", K_ADDR, AT(ready), false, 0 },
	{ "apply_limit_ms", K_NUMBER, AT(apply_limit_ms), false, 600000 },
	{ "fleet", K_NUMBER, AT(fleet), false, 100000 },
	{ "extra_fixed", K_NUMBER, AT(extra_fixed), false, 1000000 },
	{ "extra_share", K_REAL, AT(extra_share), false, 10 },
	{ "extra_window_s", K_REAL, AT(extra_window_s), false, 3600 },
};

#define NFIELDS (sizeof(fields) / sizeof(fields[0]))

typedef bool (*reader_t)(const field_t *f, json_t *v, void *to);

static bool read_string(const field_t *f, json_t *v, void *to);
static bool read_addr(const field_t *f, json_t *v, void *to);
static bool read_addrs(const field_t *f, json_t *v, void *to);
static bool read_number(const field_t *f, json_t *v, void *to);
static bool read_real(const field_t *f, json_t *v, void *to);

static const reader_t readers[K_MAX] = {
	[K_STRING] = read_string, [K_ADDR] = read_addr, [K_ADDRS] = read_addrs,
	[K_NUMBER] = read_number, [K_REAL] = read_real,
};

static bool is_addr(json_t *v)
{
	char host[ADDR_HOST_MAX];
	unsigned port;

	return json_is_string(v) &&
	       addr_split(str_of(json_string_value(v)), host, &port);
}

static bool read_string(const field_t *f, json_t *v, void *to)
{
	(void)f;
	if (!json_is_string(v) || json_string_length(v) == 0)
		return false;
	*(char **)to = strdup(json_string_value(v));
	return true;
}

static bool read_addr(const field_t *f, json_t *v, void *to)
{
	return is_addr(v) && read_string(f, v, to);
}

static bool read_addrs(const field_t *f, json_t *v, void *to)
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
	*(char ***)to = list;
	return true;
}

static bool read_number(const field_t *f, json_t *v, void *to)
{
	json_int_t n = json_integer_value(v);

	if (!json_is_integer(v) || n < 0 || n > f->max)
		return false;
	*(unsigned *)to = (unsigned)n;
	return true;
}

static bool read_real(const field_t *f, json_t *v, void *to)
{
	double n = json_number_value(v);

	if (!json_is_number(v) || !(n >= 0) || n > f->max)
		return false;
	*(double *)to = n;
	return true;
}

/* Prints the fault with its place and value. */
static void complain(const char *file, const char *key, const char *what,
		     json_t *v)
{
	char *text = v ? json_dumps(v, JSON_ENCODE_ANY | JSON_COMPACT) : NULL;

	fprintf(stderr, "%s: /%s: %s%s%s\n", file, key, what, text ? ": " : "",
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
		if (!v && !f->needed)
			continue;
		if (!v) {
			complain(file, f->key, "missing", NULL);
			faults++;
		} else if (!readers[f->kind](f, v, (char *)s + f->at)) {
			complain(file, f->key, "bad value", v);
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
		complain(file, key, "unknown key", v);
		faults++;
	}
	return faults;
}

/* Members that only one of the two ways of running needs. */
static unsigned check_mode(const char *file, const settings_t *s)
{
	unsigned faults = 0;

	if (s->outside && !outside_by_name(s->outside)) {
		fprintf(stderr, "%s: /outside: no such way of speaking: %s\n",
			file, s->outside);
		faults++;
	}
	if (s->outside && (!s->registry || !s->ready)) {
		complain(file, s->registry ? "ready" : "registry",
			 "missing, needed with /outside", NULL);
		faults++;
	}
	if (s->outside && s->apply_limit_ms < APPLY_LIMIT_MIN_MS) {
		fprintf(stderr, "%s: /apply_limit_ms: below %d: %u\n", file,
			APPLY_LIMIT_MIN_MS, s->apply_limit_ms);
		faults++;
	}
	if (!s->outside && (!s->platform || !s->admin_token)) {
		complain(file, s->platform ? "admin_token" : "platform",
			 "missing", NULL);
		faults++;
	}
	return faults;
}

static bool has_policy(const settings_t *s)
{
	if (s->outside)
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
	if (!s->peer_secret != !s->peer_public) {
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
			   .hedge_budget = UINT32_MAX,
			   .retry_budget = UINT32_MAX,
			   .apply_limit_ms = 3000,
			   .fleet = 12,
			   .extra_fixed = 10,
			   .extra_share = 0.1,
			   .extra_window_s = 10 };
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
		void *at = (char *)s + fields[i].at;

		if (fields[i].kind == K_ADDRS)
			free_list(*(char ***)at);
		else if (fields[i].kind < K_NUMBER)
			free(*(char **)at);
	}
}
