/**
 * @file conf.h
 * The configuration of searches: its data model, parser, validator and
 * printer, the store of its sections, and functions with which operators'
 * programs build one. docs/CONFIGURATION.md describes the format.
 */
#ifndef CONF_H
#define CONF_H

#include <stdio.h>

#include "base.h"

#define CONF_MAX_BYTES ((size_t)1000000) /**< bytes of a platform value */
#define CONF_MAX_DEPTH 16		 /**< levels of nested JSON */
#define CONF_MAX_SERVICES 4096
#define CONF_MAX_GROUPS 4096 /**< per service */
#define CONF_MAX_SERVERS 64  /**< per group */
#define CONF_MAX_NAME 64     /**< bytes of a name */
#define CONF_MAX_FAULTS 100  /**< faults kept in a conf_faults_t */

/** Whether a class prefers low latency or high coverage. */
typedef enum conf_kind {
	CONF_URGENT, /**< low tail latency: may answer at the soft deadline */
	CONF_BROAD,  /**< high coverage: waits until the deadline */
} conf_kind_t;

/** Which groups a request of a class goes to. */
typedef enum conf_scope {
	CONF_ALL, /**< every group of the service */
	CONF_ONE, /**< one group, chosen by the hash of the request's route */
} conf_scope_t;

/** Kinds of faults in a configuration, most severe first. */
typedef enum conf_err {
	CONF_E_OK,
	CONF_E_JSON, /**< syntax error */
	CONF_E_SIZE, /**< more items than allowed */
	CONF_E_TYPE,
	CONF_E_MISSING,
	CONF_E_UNKNOWN_KEY,
	CONF_E_RANGE,
	CONF_E_NAME, /**< invalid characters or length */
	CONF_E_ADDR,
	CONF_E_DUPLICATE,
	CONF_E_REFERENCE,   /**< refers to an undeclared item */
	CONF_E_CONNECTIONS, /**< fewer connections per server than daemons */
	CONF_E_NONIDEMPOTENT_SCOPE,
	CONF_E_MAX, /**< number of kinds */
} conf_err_t;

/** A data centre. */
typedef struct conf_dc {
	str_t name;
	str_t region; /**< free text; the daemons do not use it */
} conf_dc_t;

/** A team that runs classes of requests on the shared daemons. */
typedef struct conf_team {
	str_t name;
	unsigned weight; /**< weight of its requests under load, 1 to 1000 */
	str_t token;	 /**< administration token; empty: none */
} conf_team_t;

/** A server of a group. */
typedef struct conf_server {
	str_t addr; /**< IP:PORT */
	str_t dc;   /**< name of its data centre */
} conf_server_t;

/** A group of servers that hold the same part of the data. */
typedef struct conf_group {
	str_t name;
	conf_server_t *servers;
	size_t nservers;
} conf_group_t;

/** A class of requests. */
typedef struct conf_class {
	str_t name;
	str_t team; /**< name of its team; empty: none */
	conf_kind_t kind;
	conf_scope_t scope;
	bool idempotent;
	usec_t deadline;
	/** Time from arrival at which an urgent class may answer early. */
	usec_t soft_deadline;
	/** Least part of the groups that must answer, in 1/1000. */
	unsigned min_coverage_permille;
} conf_class_t;

/** A service: its groups and its classes. */
typedef struct conf_service {
	str_t name;
	uint32_t map_version; /**< version of the partition map */
	unsigned slots;	      /**< requests that each server runs at once */
	unsigned connections; /**< limit per server, for all daemons together */
	unsigned holders;     /**< daemons that connect to a group; 0: all */
	conf_group_t *groups;
	size_t ngroups;
	conf_class_t *classes;
	size_t nclasses;
} conf_service_t;

/** One revision of the configuration; immutable after parsing. */
typedef struct conf {
	arena_t mem;
	uint64_t revision;
	uint64_t hash;	      /**< of the canonical text with revision 0 */
	unsigned max_daemons; /**< most daemons that run at one time */
	usec_t link_delay;    /**< one-way delay between data centres */
	conf_dc_t *dcs;
	size_t ndcs;
	conf_team_t *teams;
	size_t nteams;
	conf_service_t *services;
	size_t nservices;
} conf_t;

/** One fault. */
typedef struct conf_fault {
	conf_err_t err;
	char path[160];	  /**< JSON path, truncated to fit */
	char detail[160]; /**< text, truncated to fit; may be empty */
} conf_fault_t;

/** The faults of one configuration. */
typedef struct conf_faults {
	conf_fault_t v[CONF_MAX_FAULTS];
	size_t n; /**< number of all faults; v has the first CONF_MAX_FAULTS */
} conf_faults_t;

/** The text of a kind of fault, a static string. */
const char *conf_strerror(conf_err_t err);
/** Adds a fault at a JSON path; fmt and its arguments give the detail. */
void conf_fault(conf_faults_t *f, conf_err_t err, const char *path,
		const char *fmt, ...) __attribute__((format(printf, 4, 5)));
/** Prints each fault on a line, and the number of those that are not in v. */
void conf_print_faults(FILE *out, const conf_faults_t *f);

/**
 * Formats the path, kind and detail of the first fault into buf of sz bytes,
 * truncated to fit; f must have a fault.
 */
void conf_format_first_fault(const conf_faults_t *f, char *buf, size_t sz);

/**
 * Parses and validates a JSON document. Returns NULL if f has any fault. The
 * result depends on the text only, so all daemons accept or refuse the same
 * configurations. Free the result with conf_free().
 */
conf_t *conf_parse(str_t text, conf_faults_t *f);
/** Checks names, addresses, references and limits of a parsed configuration. */
void conf_validate(const conf_t *c, conf_faults_t *f);
/**
 * Formats a configuration as canonical JSON: equal configurations give equal
 * bytes. The caller frees the text.
 */
char *conf_text(const conf_t *c);
/**
 * Formats one section, "fleet" or "service/NAME", as JSON. Returns NULL if
 * there is no such section; the caller frees the text.
 */
char *conf_section_text(const conf_t *c, str_t section);
/** Frees a configuration from conf_parse(); NULL is allowed. */
void conf_free(conf_t *c);

/** Finds a service by name; NULL if there is none. */
const conf_service_t *conf_service(const conf_t *c, str_t name);
/** Finds a class of a service by name; NULL if there is none. */
const conf_class_t *conf_class(const conf_service_t *s, str_t name);
/** Most connections that one daemon may open to one server of the service. */
unsigned conf_daemon_connections(const conf_t *c, const conf_service_t *s);

/** A configuration as sections of text, the units of a transfer. */
typedef struct conf_store {
	uint64_t revision;
	struct conf_section *v; /**< sorted by name */
	size_t n;
} conf_store_t;

/** One section: "fleet" or "service/NAME". */
typedef struct conf_section {
	str_t name;	   /**< owned */
	str_t text;	   /**< owned; JSON */
	uint64_t revision; /**< revision that last changed it */
} conf_section_t;

/** Allocates an empty store; free it with conf_store_free(). */
conf_store_t *conf_store_new(void);
/** A deep copy of a store; free it with conf_store_free(). */
conf_store_t *conf_store_copy(const conf_store_t *s);
/** Frees a store; NULL is allowed. */
void conf_store_free(conf_store_t *s);
/**
 * Splits a valid configuration into sections, which all get its revision. Free
 * the store with conf_store_free().
 */
conf_store_t *conf_store_from_conf(const conf_t *c);
/**
 * Applies a JSON index: removes the sections that it does not list and sets
 * the revision. Writes the names of the sections that are missing, or of
 * another revision than listed, to need (at most max, allocated in mem) and
 * returns their number. Returns -1, with the store unchanged, if the index is
 * malformed or there are more than max.
 */
int conf_store_apply_index(conf_store_t *s, str_t index, str_t *need,
			   size_t max, arena_t *mem);
/** Adds or replaces a section; copies name and text. */
void conf_store_set(conf_store_t *s, str_t name, uint64_t rev, str_t text);
/** Formats the index of a store as JSON; the caller frees the text. */
char *conf_store_index_text(const conf_store_t *s);
/**
 * Formats a delta as JSON: the index and the text of each section that changed
 * after revision since. The caller frees the text.
 */
char *conf_store_delta_text(const conf_store_t *s, uint64_t since);
/**
 * Applies a delta. Returns false, with the store unchanged, if the delta is
 * malformed or lacks the text of a section that the store does not have in the
 * revision that the delta lists.
 */
bool conf_store_apply_delta(conf_store_t *s, str_t delta);
/** Joins the sections and parses them as conf_parse() does; NULL on faults. */
conf_t *conf_store_parse(const conf_store_t *s, conf_faults_t *f);

/*
 * Functions that build a configuration. They return no errors: conf_emit()
 * reports all faults. They copy the strings that they are given.
 */

/** A configuration under construction, from conf_new() to conf_emit(). */
typedef struct conf_builder conf_builder_t;
/** The parameters of conf_add_class(). */
typedef struct conf_class_spec {
	const char *name;
	const char *team; /**< NULL: none */
	conf_kind_t kind;
	conf_scope_t scope;
	bool idempotent;
	unsigned deadline_ms; /**< 1 to 600000 */
	unsigned soft_ms;     /**< up to deadline_ms; 0: deadline_ms */
	double min_coverage;  /**< least fraction of the groups, 0 to 1 */
} conf_class_spec_t;

/**
 * Starts a configuration; revision and max_daemons are at least 1. conf_emit()
 * frees the result.
 */
conf_builder_t *conf_new(uint64_t revision, unsigned max_daemons);
/** Declares a data centre. */
void conf_add_dc(conf_builder_t *b, const char *name, const char *region);
/** The name of the data centre declared as number i, from 0; "" if none. */
const char *conf_dc_name(const conf_builder_t *b, unsigned i);
/** Declares a team and its weight under load, from 1 to 1000. */
void conf_add_team(conf_builder_t *b, const char *name, unsigned weight);
/** Sets the one-way delay between data centres, 0 to 1000000 us. */
void conf_set_link(conf_builder_t *b, unsigned usec);
/**
 * Adds a service. Each server runs as many requests at once as it has slots,
 * and connections limits the connections to it of all daemons together.
 */
void conf_add_service(conf_builder_t *b, const char *name, unsigned slots,
		      unsigned connections);
/** Sets the version of the last service's partition map; it is 1 if not set. */
void conf_set_map(conf_builder_t *b, uint32_t map);
/** Sets how many daemons connect to each group of the last service; 0: all. */
void conf_set_holders(conf_builder_t *b, unsigned holders);
/** Adds a group to the last service. */
void conf_add_group(conf_builder_t *b, const char *name);
/** Adds a server to the last group. */
void conf_add_server(conf_builder_t *b, const char *dc, const char *ip,
		     unsigned port);
/** Adds a class to the last service. */
void conf_add_class(conf_builder_t *b, const conf_class_spec_t *spec);
/**
 * Validates the configuration and frees the builder. Prints the configuration
 * as JSON to out and returns 0, or prints the faults to err and returns 1.
 */
int conf_emit(conf_builder_t *b, FILE *out, FILE *err);

#endif
