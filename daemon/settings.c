/** @file settings.c Reads and checks the settings file of the daemon. */
#include <jansson.h>
#include <math.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core.h"
#include "libcommon.h"
#include "outside.h"

/* The time must suffice for several requests to the registry. */
#define APPLY_LIMIT_MIN_MS 200
#define EXTRA_WINDOW_MIN_S 0.1
#define MAX_MS 600000

/* The types before TYPE_COUNT are heap strings or lists of them, the others are
 * figures. */
typedef enum value_type {
	TYPE_STRING,
	TYPE_ADDR,
	TYPE_ADDRS,
	TYPE_COUNT, /* unsigned */
	TYPE_REAL,  /* double */
	TYPE_MAX
} value_type_t;

typedef struct field {
	const char *key;
	value_type_t type;
	bool required;
	size_t offset;
	double min; /* of a figure, in the unit of the member */
	double max;
	double scale; /* of a figure: from its unit to that of the member */
} field_t;

#define OFFSET(member) offsetof(settings_t, member)

static const field_t fields[] = {
	{ "name", TYPE_STRING, true, OFFSET(name), 0, 0, 0 },
	{ "data_centre", TYPE_STRING, true, OFFSET(dc), 0, 0, 0 },
	{ "listen", TYPE_ADDR, true, OFFSET(listen), 0, 0, 0 },
	{ "admin", TYPE_ADDR, true, OFFSET(admin), 0, 0, 0 },
	{ "peer", TYPE_ADDR, true, OFFSET(peer), 0, 0, 0 },
	{ "peer_advertise", TYPE_ADDR, false, OFFSET(peer_advertise), 0, 0, 0 },
	{ "platform", TYPE_ADDRS, false, OFFSET(platform), 0, 0, 0 },
	{ "seeds", TYPE_ADDRS, false, OFFSET(seeds), 0, 0, 0 },
	{ "admin_token", TYPE_STRING, false, OFFSET(admin_token), 0, 0, 0 },
	{ "peer_secret_key", TYPE_STRING, false, OFFSET(peer_secret_key), 0, 0,
	  0 },
	{ "peer_public_key", TYPE_STRING, false, OFFSET(peer_public_key), 0, 0,
	  0 },
	{ "policy", TYPE_STRING, false, OFFSET(policy), 0, 0, 0 },
	{ "log_level", TYPE_STRING, false, OFFSET(log_level), 0, 0, 0 },
	{ "stop_grace_ms", TYPE_REAL, false, OFFSET(stop_grace_ms), 0, MAX_MS,
	  1 },
	{ "stop_limit_ms", TYPE_REAL, false, OFFSET(stop_limit_ms), 0, MAX_MS,
	  1 },
	/* After stop_limit_ms, which it replaces. */
	{ "stop_limit_s", TYPE_REAL, false, OFFSET(stop_limit_ms), 0, MAX_MS,
	  1000 },
	{ "hedge_percentile", TYPE_COUNT, false, OFFSET(hedge_percentile), 0,
	  99, 1 },
	{ "hedge_budget_percent", TYPE_COUNT, false,
	  OFFSET(hedge_budget_percent), 0, 100, 1 },
	{ "retry_budget_percent", TYPE_COUNT, false,
	  OFFSET(retry_budget_percent), 0, 100, 1 },
	{ "seed", TYPE_COUNT, false, OFFSET(seed), 0, UINT32_MAX, 1 },
	{ "outside", TYPE_STRING, false, OFFSET(protocol), 0, 0, 0 },
	{ "registry", TYPE_ADDR, false, OFFSET(registry_addr), 0, 0, 0 },
	{ "ready", TYPE_ADDR, false, OFFSET(ready_listen), 0, 0, 0 },
	{ "apply_limit_ms", TYPE_REAL, false, OFFSET(apply_limit_ms),
	  APPLY_LIMIT_MIN_MS, MAX_MS, 1 },
	{ "fleet", TYPE_COUNT, false, OFFSET(fleet_hosts), 1, 100000, 1 },
	{ "extra_fixed", TYPE_REAL, false, OFFSET(extra_sends_fixed), 0,
	  1000000, 1 },
	{ "extra_share", TYPE_REAL, false, OFFSET(extra_sends_share), 0, 10,
	  1 },
	{ "drain_limit_ms", TYPE_REAL, false, OFFSET(drain_limit_ms), 0, MAX_MS,
	  1 },
	{ "evacuate_limit_ms", TYPE_REAL, false, OFFSET(evacuate_limit_ms), 0,
	  MAX_MS, 1 },
	{ "warmup_overage", TYPE_REAL, false, OFFSET(warmup_overage), 0, 1000,
	  1 },
	{ "warmup_slack", TYPE_REAL, false, OFFSET(warmup_slack), 0, 1000000,
	  1 },
	{ "extra_window_s", TYPE_REAL, false, OFFSET(extra_sends_window_s),
	  EXTRA_WINDOW_MIN_S, 3600, 1 },
};

#define NFIELDS (sizeof(fields) / sizeof(fields[0]))

typedef bool (*reader_t)(json_t *v, void *dst);

static bool read_string(json_t *v, void *dst);
static bool read_addr(json_t *v, void *dst);
static bool read_addrs(json_t *v, void *dst);

static const reader_t readers[TYPE_COUNT] = {
	[TYPE_STRING] = read_string,
	[TYPE_ADDR] = read_addr,
	[TYPE_ADDRS] = read_addrs,
};

static bool is_addr(json_t *v)
{
	char host[ADDR_HOST_MAX];
	unsigned port;

	return json_is_string(v) &&
	       addr_split(str_of(json_string_value(v)), host, &port);
}

static bool read_string(json_t *v, void *dst)
{
	if (!json_is_string(v) || json_string_length(v) == 0)
		return false;
	*(char **)dst = strdup(json_string_value(v));
	return true;
}

static bool read_addr(json_t *v, void *dst)
{
	return is_addr(v) && read_string(v, dst);
}

static bool read_addrs(json_t *v, void *dst)
{
	size_t n = json_array_size(v);
	char **list;
	size_t i;

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

/* Prints a fault of a key, with the value if there is one, to stderr. */
static void print_fault(const char *file, const char *key, const char *fault,
			json_t *v)
{
	char *text = v ? json_dumps(v, JSON_ENCODE_ANY | JSON_COMPACT) : NULL;

	fprintf(stderr, "%s: /%s: %s%s%s\n", file, key, fault, text ? ": " : "",
		text ? text : "");
	free(text);
}

static double get_figure(const field_t *f, const settings_t *s)
{
	const void *member = (const char *)s + f->offset;

	return f->type == TYPE_COUNT ? *(const unsigned *)member
				     : *(const double *)member;
}

static void set_figure(const field_t *f, settings_t *s, double n)
{
	void *member = (char *)s + f->offset;

	if (f->type == TYPE_COUNT)
		*(unsigned *)member = (unsigned)n;
	else
		*(double *)member = n;
}

/* A template may give a figure as text, empty if it has none. */
static bool is_empty(json_t *v)
{
	return json_is_null(v) ||
	       (json_is_string(v) && json_string_length(v) == 0);
}

/* Reads a number, or text that is one. */
static bool parse_figure(json_t *v, double *n)
{
	const char *text = json_string_value(v);
	char *end;

	*n = json_number_value(v);
	if (text)
		*n = strtod(text, &end);
	return text ? end != text && !*end && isfinite(*n) : json_is_number(v);
}

static unsigned read_figure(const char *file, const field_t *f, json_t *v,
			    const settings_t *in_force, settings_t *s)
{
	double n, used;

	if (is_empty(v))
		return 0;
	if (!parse_figure(v, &n) || (f->type == TYPE_COUNT && n != floor(n))) {
		print_fault(file, f->key, "not a number, ignored", v);
		if (in_force)
			set_figure(f, s, get_figure(f, in_force));
		return 1;
	}
	n *= f->scale;
	used = n < f->min ? f->min : n > f->max ? f->max : n;
	set_figure(f, s, used);
	if (used == n)
		return 0;
	print_fault(file, f->key,
		    n < f->min ? "too small, the least is used"
			       : "too large, the most is used",
		    v);
	return 1;
}

static unsigned read_fields(const char *file, json_t *root,
			    const settings_t *in_force, settings_t *s)
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
		} else if (f->type >= TYPE_COUNT) {
			s->nfaults += read_figure(file, f, v, in_force, s);
		} else if (!readers[f->type](v, (char *)s + f->offset)) {
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

/* Evacuations are published state too: the least time limit of any published
 * change holds for all of them. */
static void limit_apply_time(settings_t *s)
{
	if (s->evacuate_limit_ms > 0 &&
	    s->evacuate_limit_ms < s->apply_limit_ms)
		s->apply_limit_ms = s->evacuate_limit_ms;
	if (s->apply_limit_ms < APPLY_LIMIT_MIN_MS)
		s->apply_limit_ms = APPLY_LIMIT_MIN_MS;
}

usec_t settings_usec(double ms)
{
	return (usec_t)(ms * (double)USEC_PER_MSEC);
}

daemon_err_t settings_read(const char *file, const settings_t *in_force,
			   settings_t *s)
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
			   .extra_sends_window_s = 10,
			   .warmup_overage = 1 };
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
	faults += read_fields(file, root, in_force, s);
	limit_apply_time(s);
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
		else if (fields[i].type < TYPE_COUNT)
			free(*(char **)member);
	}
}
