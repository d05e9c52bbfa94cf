/**
 * @file routes.h
 * The configuration of routes: its model, which every way of publishing it is
 * read into, and the project's own format. docs/CONFIGURATION.md describes
 * that.
 */
#ifndef ROUTES_H
#define ROUTES_H

#include "conf.h"

#define RT_MAX_ROUTES 100000 /**< of one configuration */
#define RT_MAX_TOP 100000    /**< records of a merged answer */
#define RT_MAX_RECORD 65536  /**< bytes of one record */

/** A service that a route may use, with its share of the requests. */
typedef struct rt_target {
	size_t service; /**< place in rt_conf_t.services */
	unsigned weight;
} rt_target_t;

/** What a route does with its targets. */
typedef enum rt_mode {
	RT_ONE,	  /**< one service answers, chosen by weight */
	RT_SHARDS /**< every service answers with a part; parts are merged */
} rt_mode_t;

/** A rule that says where requests go. */
typedef struct rt_route {
	str_t name;
	str_t host;   /**< lower case, without a port */
	str_t prefix; /**< begins and ends with a slash */
	rt_mode_t mode;
	bool idempotent;
	usec_t timeout;	   /**< longest time to the final answer */
	usec_t objective;  /**< time within which an answer has full value */
	unsigned attempts; /**< most servers per request and shard */
	unsigned priority; /**< 0 is the most urgent */
	rt_target_t *targets;
	size_t ntargets;
	size_t top;	     /**< records kept when merging */
	size_t record_bytes; /**< size of one record */
	double least;	     /**< least share of shards in an answer, 0 to 1 */
} rt_route_t;

/** A service: servers that answer equally well. */
typedef struct rt_service {
	str_t name;
	unsigned connections; /**< that one server takes from all hosts */
} rt_service_t;

/** What a caller may send, and how long it may take. */
typedef struct rt_limits {
	size_t header_bytes;
	size_t body_bytes;
	usec_t header_time; /**< for the whole head of a request */
	usec_t idle_time;   /**< between requests on one connection */
} rt_limits_t;

/** One version of the routes; not changed once it is in force. */
typedef struct rt_conf {
	arena_t mem;
	unsigned refs;
	uint64_t version;
	rt_route_t *routes;
	size_t nroutes;
	rt_service_t *services;
	size_t nservices;
	rt_limits_t limits;
} rt_conf_t;

/** An empty configuration with one reference. */
rt_conf_t *rt_conf_new(void);
/** Adds a reference. */
rt_conf_t *rt_conf_ref(rt_conf_t *c);
/** Drops a reference; the last one frees. NULL is allowed. */
void rt_conf_unref(rt_conf_t *c);
/** Checks what the parts say of each other. */
void rt_conf_check(const rt_conf_t *c, conf_faults_t *f);
/** The route of a host and a path (with or without query), or NULL. */
const rt_route_t *rt_conf_route(const rt_conf_t *c, str_t host, str_t path);
/** The place of a service by name; c->nservices if there is none. */
size_t rt_conf_service(const rt_conf_t *c, str_t name);

/**
 * Reads and checks a document of the project's own format. Returns NULL when
 * any fault was found.
 */
rt_conf_t *rt_conf_parse(str_t text, conf_faults_t *f);
/** Prints the canonical text: the same model, the same bytes. Caller frees. */
char *rt_conf_text(const rt_conf_t *c);

#endif
