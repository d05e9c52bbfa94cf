/**
 * @file conf.h
 * The configuration: its model, reading, checking, printing, and the library
 * with which operators build it. docs/CONFIGURATION.md describes the format.
 */
#ifndef CONF_H
#define CONF_H

#include <stdio.h>

#include "base.h"

#define CONF_MAX_BYTES ((size_t)1000000) /**< of one platform value */
#define CONF_MAX_DEPTH 16
#define CONF_MAX_SERVICES 4096
#define CONF_MAX_GROUPS 4096 /**< of one service */
#define CONF_MAX_SERVERS 64  /**< of one group */
#define CONF_MAX_NAME 64     /**< bytes of a name */
#define CONF_MAX_FAULTS 100

/** What a class asks for first. */
typedef enum conf_kind {
	CONF_URGENT, /**< answer early: the tail counts */
	CONF_BROAD,  /**< use the whole deadline: coverage counts */
} conf_kind_t;

/** Which groups a request of a class goes to. */
typedef enum conf_scope {
	CONF_ALL, /**< every group of the service */
	CONF_ONE, /**< the one group that the request's route hashes to */
} conf_scope_t;

/** Faults in a configuration, the worst first. */
typedef enum conf_err {
	CONF_E_OK,
	CONF_E_JSON,
	CONF_E_SIZE,
	CONF_E_TYPE,
	CONF_E_MISSING,
	CONF_E_UNKNOWN_KEY,
	CONF_E_RANGE,
	CONF_E_NAME,
	CONF_E_ADDR,
	CONF_E_DUPLICATE,
	CONF_E_REFERENCE,
	CONF_E_SHARE,
	CONF_E_NONIDEMPOTENT_SCOPE,
	CONF_E_MAX,
} conf_err_t;

/** A data centre and what a message to the others costs. */
typedef struct conf_dc {
	str_t name;
	str_t region;
} conf_dc_t;

/** A team that shares the platform; share weighs its part under load. */
typedef struct conf_team {
	str_t name;
	unsigned share;
	str_t token; /**< the team's administration token, may be empty */
} conf_team_t;

/** A server of a group. */
typedef struct conf_server {
	str_t addr; /**< IP:PORT */
	str_t dc;
} conf_server_t;

/** Servers that hold the same part of the data. */
typedef struct conf_group {
	str_t name;
	conf_server_t *servers;
	size_t nservers;
} conf_group_t;

/** A class of requests. */
typedef struct conf_class {
	str_t name;
	str_t team; /**< empty for none */
	conf_kind_t kind;
	conf_scope_t scope;
	bool idempotent;
	usec_t deadline;
	usec_t soft;	       /**< when an urgent class answers early */
	unsigned min_coverage; /**< of 1000 groups */
} conf_class_t;

/** A service: its groups and its classes. */
typedef struct conf_service {
	str_t name;
	uint32_t map;	      /**< version of the partition map */
	unsigned slots;	      /**< of each server */
	unsigned connections; /**< limit of each server */
	unsigned holders;     /**< daemons that connect to a group, 0 for all */
	conf_group_t *groups;
	size_t ngroups;
	conf_class_t *classes;
	size_t nclasses;
} conf_service_t;

/** One revision of the configuration; never changed once read. */
typedef struct conf {
	arena_t mem;
	uint64_t revision;
	uint64_t hash;	      /**< of the canonical text without the revision */
	unsigned max_daemons; /**< that may run at one time */
	usec_t link;	      /**< one way between data centres */
	conf_dc_t *dcs;
	size_t ndcs;
	conf_team_t *teams;
	size_t nteams;
	conf_service_t *services;
	size_t nservices;
} conf_t;

/** One fault with its place. */
typedef struct conf_fault {
	conf_err_t err;
	char path[160];
	char detail[160];
} conf_fault_t;

/** All faults found in one pass; n counts those past the array's end too. */
typedef struct conf_faults {
	conf_fault_t v[CONF_MAX_FAULTS];
	size_t n;
} conf_faults_t;

/** The text of a fault kind. */
const char *conf_strerror(conf_err_t err);
/** Notes a fault at a JSON path. */
void conf_fault(conf_faults_t *f, conf_err_t err, const char *path,
		const char *fmt, ...) __attribute__((format(printf, 4, 5)));
/** Prints every fault, a line each. */
void conf_print_faults(FILE *out, const conf_faults_t *f);

/** Writes the first fault with its place and kind. */
void conf_first_fault(const conf_faults_t *f, char *to, size_t room);

/**
 * Reads and checks a document. Returns NULL when any fault was found; the
 * same text gives the same verdict everywhere.
 */
conf_t *conf_parse(str_t text, conf_faults_t *f);
/** Checks the relations between parts, after parsing or building. */
void conf_validate(const conf_t *c, conf_faults_t *f);
/** Prints the canonical text: the same model, the same bytes. Caller frees. */
char *conf_text(const conf_t *c);
/** The text of one section, "fleet" or "service/NAME"; NULL if none. */
char *conf_section_text(const conf_t *c, str_t section);
/** Frees a configuration; NULL is allowed. */
void conf_free(conf_t *c);

/** Finds a service by name; NULL if there is none. */
const conf_service_t *conf_service(const conf_t *c, str_t name);
/** Finds a class of a service by name; NULL if there is none. */
const conf_class_t *conf_class(const conf_service_t *s, str_t name);
/** Connections to one server of the service that one daemon may hold. */
unsigned conf_share(const conf_t *c, const conf_service_t *s);

/** Sections as texts, by which a configuration travels. */
typedef struct conf_store {
	uint64_t revision;
	struct conf_section *v; /**< ordered by name */
	size_t n;
} conf_store_t;

/** One section: "fleet" or "service/NAME". */
typedef struct conf_section {
	str_t name;   /**< owned */
	str_t text;   /**< owned; JSON */
	uint64_t rev; /**< revision that changed it last */
} conf_section_t;

/** An empty store. */
conf_store_t *conf_store_new(void);
/** A copy that shares nothing. */
conf_store_t *conf_store_copy(const conf_store_t *s);
/** Frees a store; NULL is allowed. */
void conf_store_free(conf_store_t *s);
/** Cuts a checked configuration into sections, all of its revision. */
conf_store_t *conf_store_of(const conf_t *c);
/**
 * Brings the store to what an index names: removes sections that it lacks
 * and sets its revision. Writes the names of sections to be fetched to need
 * (at most max, pointing into the index) and returns their number, or -1 if
 * the index is not sound.
 */
int conf_store_index(conf_store_t *s, str_t index, str_t *need, size_t max,
		     arena_t *mem);
/** Sets a section. */
void conf_store_set(conf_store_t *s, str_t name, uint64_t rev, str_t text);
/** The index of the store as JSON; the caller frees it. */
char *conf_store_index_text(const conf_store_t *s);
/** What changed after a revision as JSON; the caller frees it. */
char *conf_store_delta(const conf_store_t *s, uint64_t since);
/**
 * Applies a delta; false, with the store as it was, if the delta is not
 * sound or does not follow from the store's revision.
 */
bool conf_store_apply(conf_store_t *s, str_t delta);
/** Reads and checks the whole as one configuration; NULL on faults. */
conf_t *conf_store_parse(const conf_store_t *s, conf_faults_t *f);

/* The operator library: mistakes are collected and reported by conf_emit. */

/** A configuration being built. */
typedef struct conf_builder conf_builder_t;
/** What the builder's classes are made of; zero fields take the defaults. */
typedef struct conf_class_spec {
	const char *name;
	const char *team;
	conf_kind_t kind;
	conf_scope_t scope;
	bool idempotent;
	unsigned deadline_ms;
	unsigned soft_ms;
	double min_coverage;
} conf_class_spec_t;

/** Starts a configuration of the given revision. */
conf_builder_t *conf_new(uint64_t revision, unsigned max_daemons);
/** Declares a data centre. */
void conf_add_dc(conf_builder_t *b, const char *name, const char *region);
/** The name of the i-th data centre declared; "" past the end. */
const char *conf_dc_name(const conf_builder_t *b, unsigned i);
/** Declares a team and its weight under load. */
void conf_add_team(conf_builder_t *b, const char *name, unsigned share);
/** One-way delay between data centres. */
void conf_set_link(conf_builder_t *b, unsigned usec);
/** Declares a service; what follows belongs to it. */
void conf_add_service(conf_builder_t *b, const char *name, unsigned slots,
		      unsigned connections);
/** Sets the partition map's version of the last service. */
void conf_set_map(conf_builder_t *b, uint32_t map);
/** Sets how many daemons hold connections to a group of the last service. */
void conf_set_holders(conf_builder_t *b, unsigned holders);
/** Adds a group to the last service. */
void conf_add_group(conf_builder_t *b, const char *name);
/** Adds a server to the last group. */
void conf_add_server(conf_builder_t *b, const char *dc, const char *ip,
		     unsigned port);
/** Adds a class to the last service. */
void conf_add_class(conf_builder_t *b, const conf_class_spec_t *spec);
/**
 * Checks and prints the configuration, frees the builder. Returns 0, or 1
 * after printing the faults to err.
 */
int conf_emit(conf_builder_t *b, FILE *out, FILE *err);

#endif
