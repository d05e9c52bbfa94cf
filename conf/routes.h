/**
 * @file routes.h
 * The configuration of routes: its data model, which is the same for all
 * formats in which routes are published, and the parser and printer of the
 * project's own JSON format. docs/CONFIGURATION.md describes that format.
 */
#ifndef ROUTES_H
#define ROUTES_H

#include "conf.h"

#define RT_MAX_ROUTES 100000	     /**< per configuration */
#define RT_MAX_MERGED_RECORDS 100000 /**< records in a merged answer */
#define RT_MAX_RECORD_BYTES 65536    /**< bytes of one record */
#define RT_MAX_WARMUP_PER_S 1e6	     /**< rt_service_t.warmup_per_s */
/** Sends of one shard that may be in flight at the same time. */
#define RT_MAX_INFLIGHT 3
/** Most bytes of answers that a daemon receives or holds for merging. */
#define RT_MAX_RECEIVED_BYTES ((size_t)32 << 20)

/** A service that a route forwards requests to. */
typedef struct rt_target {
	size_t service_index; /**< index in rt_conf_t.services */
	/** Share of the requests, relative to the sum of the route's weights;
	 * at least 0; only for RT_ONE_SERVICE. */
	double weight;
} rt_target_t;

/** How a route uses its targets. */
typedef enum rt_mode {
	RT_ONE_SERVICE, /**< sends a request to one service, chosen by weight */
	RT_SHARDS /**< sends it to every service and merges their answers */
} rt_mode_t;

/** A rule that selects requests and the services that answer them. */
typedef struct rt_route {
	str_t name;
	str_t host;   /**< lower case, without a port */
	str_t prefix; /**< begins and ends with a slash */
	rt_mode_t mode;
	bool idempotent;
	usec_t deadline;   /**< deadline of a request, from its arrival */
	usec_t objective;  /**< target latency; later answers have less value */
	unsigned attempts; /**< most servers tried per request and shard */
	unsigned priority; /**< 0 is the highest */
	rt_target_t *targets;
	size_t ntargets;
	size_t max_records;  /**< most records in a merged answer */
	size_t record_bytes; /**< size of one record */
	double min_coverage; /**< least fraction of shards to answer, 0 to 1 */
} rt_route_t;

/** A service: a set of equivalent servers. */
typedef struct rt_service {
	str_t name;
	unsigned connections; /**< limit per server, for all hosts together */
	/**
	 * Requests a second that a cold server takes from all hosts together;
	 * 0: no limit, a cold server is only slower.
	 */
	double warmup_per_s;
} rt_service_t;

/** Limits on the requests and connections of callers. */
typedef struct rt_limits {
	size_t header_bytes;
	size_t body_bytes;
	usec_t header_timeout; /**< timeout to receive a whole request header */
	usec_t idle_timeout;   /**< timeout between requests on a connection */
} rt_limits_t;

/** One revision of the routes; immutable once the daemon uses it. */
typedef struct rt_conf {
	arena_t mem;
	unsigned refs; /**< reference count, not atomic */
	uint64_t revision;
	rt_route_t *routes;
	size_t nroutes;
	rt_service_t *services;
	size_t nservices;
	rt_limits_t limits;
} rt_conf_t;

/** Allocates an empty configuration with one reference. */
rt_conf_t *rt_conf_new(void);
/** Adds a reference and returns c. */
rt_conf_t *rt_conf_ref(rt_conf_t *c);
/** Releases a reference and frees c after the last one; NULL is allowed. */
void rt_conf_unref(rt_conf_t *c);
/** Validates all routes and adds a fault for each violated rule. */
void rt_conf_validate(const rt_conf_t *c, conf_faults_t *f);
/**
 * Finds the route with the longest prefix of a path (with or without a query)
 * for a host in lower case without a port; NULL if there is none.
 */
const rt_route_t *rt_conf_route(const rt_conf_t *c, str_t host, str_t path);
/** The index of a service by name; c->nservices if there is none. */
size_t rt_conf_service_index(const rt_conf_t *c, str_t name);

/**
 * Parses and validates a JSON document of the project's own format. Returns
 * NULL if f has any fault; otherwise free the result with rt_conf_unref().
 */
rt_conf_t *rt_conf_parse(str_t text, conf_faults_t *f);
/**
 * Formats the routes as canonical JSON: equal routes give equal bytes. The
 * caller frees the text.
 */
char *rt_conf_text(const rt_conf_t *c);

/** Kinds of mistakes in a valid configuration, or in a change of it. */
typedef enum rt_finding_kind {
	RT_FIND_NEVER_MATCHES,	   /**< a route that no request can take */
	RT_FIND_UNUSED_SERVICE,	   /**< no route names the service */
	RT_FIND_ZERO_WEIGHT,	   /**< a target that gets no requests */
	RT_FIND_DEADLINE,	   /**< the deadline is before the objective */
	RT_FIND_COVERAGE,	   /**< the shards cannot meet it as given */
	RT_FIND_ATTEMPTS,	   /**< more than fit into the deadline */
	RT_FIND_RECORDS,	   /**< limits on records contradict others */
	RT_FIND_CONNECTIONS,	   /**< fewer than one request may need */
	RT_FIND_REPEATED_SHARD,	   /**< a service is two shards of a route */
	RT_FIND_NO_ROUTES,	   /**< the configuration has no route */
	RT_FIND_REVISION,	   /**< a change does not raise the revision */
	RT_FIND_TRAFFIC_LOST,	   /**< a change takes all of a service's */
	RT_FIND_REQUESTS_UNROUTED, /**< a change leaves them without a route */
	RT_FIND_MAX,		   /**< number of kinds */
} rt_finding_kind_t;

/** A probable mistake. */
typedef struct rt_finding {
	rt_finding_kind_t kind;
	str_t path; /**< of the JSON member, for example /routes/a/attempts */
	str_t text;
} rt_finding_t;

/** A list of findings; zero-initialized: empty. */
typedef struct rt_findings {
	arena_t mem; /**< has the strings */
	rt_finding_t *v;
	size_t n;
	size_t capacity;
} rt_findings_t;

/** The name of a kind in JSON output, a static string. */
const char *rt_finding_name(rt_finding_kind_t kind);
/** Adds the probable mistakes of a valid configuration to f. */
void rt_conf_check(const rt_conf_t *c, rt_findings_t *f);
/** Frees the findings; the list is empty and usable after that. */
void rt_findings_free(rt_findings_t *f);

/** How a part of a configuration differs from its earlier version. */
typedef enum rt_change_kind {
	RT_CHANGE_ADDED,
	RT_CHANGE_REMOVED,
	RT_CHANGE_CHANGED,
	RT_CHANGE_MAX, /**< number of kinds */
} rt_change_kind_t;

/** A difference between two configurations. */
typedef struct rt_change {
	rt_change_kind_t kind;
	str_t path;   /**< of the JSON member, as in rt_finding_t */
	str_t before; /**< the old value; empty for an added member */
	str_t after;  /**< the new value; empty for a removed member */
} rt_change_t;

/** A list of differences; zero-initialized: empty. */
typedef struct rt_changes {
	arena_t mem; /**< has the strings */
	rt_change_t *v;
	size_t n;
	size_t capacity;
} rt_changes_t;

/** The name of a kind in JSON output, a static string. */
const char *rt_change_name(rt_change_kind_t kind);
/**
 * Adds the differences between two valid configurations to d, and the probable
 * mistakes that only a change can have to f.
 */
void rt_conf_diff(const rt_conf_t *before, const rt_conf_t *after,
		  rt_changes_t *d, rt_findings_t *f);
/** Frees the differences; the list is empty and usable after that. */
void rt_changes_free(rt_changes_t *d);

#endif
