/** @file libconf.h Declarations private to the files in conf/. */
#ifndef LIBCONF_H
#define LIBCONF_H

#include <jansson.h>

#include "routes.h"

/** Largest values that the parsers accept. */
#define CONF_MAX_DATA_CENTRES 1024
#define CONF_MAX_TEAMS CONF_MAX_SERVICES
#define CONF_MAX_WEIGHT 1000 /**< weight of a team */
#define CONF_MAX_LINK_US 1000000
#define CONF_MAX_SLOTS 1024	    /**< per server */
#define CONF_MAX_CONNECTIONS 100000 /**< per server */
#define CONF_MAX_DAEMONS 100000
#define CONF_MAX_DEADLINE_MS 600000

#define CONF_PERMILLE 1000 /**< parts of 1 in min_coverage_permille */

/* The state of a parser: the JSON path of the current value, and outputs. */
typedef struct conf_cursor {
	arena_t *mem;	  /* allocates the strings and arrays of the model */
	conf_t *c;	  /* the result of conf_parse(); NULL for routes */
	conf_faults_t *f; /* faults are added here */
	char path[128];	  /* truncated to fit */
} conf_cursor_t;

/* Append a key or an index to the path; return its old length for cur_pop(). */
size_t cur_push_key(conf_cursor_t *cu, const char *key);
size_t cur_push_index(conf_cursor_t *cu, size_t i);
/* Truncates the path to n bytes. */
void cur_pop(conf_cursor_t *cu, size_t n);
/* Adds a fault of a member of the current object. */
void cur_add_fault(conf_cursor_t *cu, conf_err_t err, const char *key,
		   const char *detail);
/*
 * A member, which must have the given type; borrowed. Adds a fault and returns
 * NULL if it is missing or of another type.
 */
json_t *cur_require(conf_cursor_t *cu, json_t *o, const char *key,
		    json_type type);
/*
 * A copy of a string in cu->mem. Returns an empty string if it is missing or of
 * another type, and adds a fault unless it is missing and optional.
 */
str_t cur_str(conf_cursor_t *cu, json_t *o, const char *key, bool optional);
/*
 * An integer from min to max; min on a fault. If the member is missing, returns
 * dflt, or adds a fault if dflt is UINT64_MAX.
 */
uint64_t cur_uint(conf_cursor_t *cu, json_t *o, const char *key, uint64_t dflt,
		  uint64_t min, uint64_t max);
/* A number from 0 to 1; 1 if the member is missing. */
double cur_fraction(conf_cursor_t *cu, json_t *o, const char *key);
/* A boolean; dflt if the member is missing. */
bool cur_bool(conf_cursor_t *cu, json_t *o, const char *key, bool dflt);
/* Adds a fault for each member that is not in keys; NULL ends keys. */
void cur_check_keys(conf_cursor_t *cu, json_t *o, const char *const *keys);
/*
 * Allocates an array with an item of sz bytes for each item of a JSON array,
 * which may be NULL, and sets *n to their number; 0 with a fault if there are
 * more than max.
 */
void *cur_alloc_array(conf_cursor_t *cu, json_t *a, size_t max, size_t sz,
		      size_t *n);
/* Whether o is an object; adds a fault if not. */
bool cur_require_object(conf_cursor_t *cu, json_t *o);

/** The section "fleet" as JSON; the caller owns the reference. */
json_t *conf_fleet_json(const conf_t *c);
/** The section of a service as JSON; the caller owns the reference. */
json_t *conf_service_json(const conf_service_t *s);

/* Formats a string like sprintf() and allocates it in the arena. */
__attribute__((format(printf, 2, 3))) str_t rt_format(arena_t *mem,
						      const char *fmt, ...);
/* Adds a finding; path and the formatted text are allocated in f->mem. */
__attribute__((format(printf, 4, 5))) void rt_find(rt_findings_t *f,
						   rt_finding_kind_t kind,
						   str_t path, const char *fmt,
						   ...);
/* Whether requests can take the route: those for its own prefix do. */
bool rt_route_reachable(const rt_conf_t *c, const rt_route_t *r);

#endif
