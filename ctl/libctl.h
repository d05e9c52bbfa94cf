/** @file libctl.h Shared by the files of the operators' command only. */
#ifndef LIBCTL_H
#define LIBCTL_H

#include <glib.h>
#include <jansson.h>

#include "routes.h"

#define VERSION "0.1.0"

/** Exit statuses, as geraniumslip(1) lists them. */
typedef enum ctl_exit {
	CTL_OK = 0,
	/** there are faults or differences, or no route or log line matches */
	CTL_FAULTS = 1,
	CTL_USAGE = 2,	     /**< bad command line, or a file cannot be read */
	CTL_WARNINGS = 3,    /**< a difference is a warning */
	CTL_UNREACHABLE = 4, /**< a request to a daemon failed */
} ctl_exit_t;

/** Options and arguments of the command line. */
typedef struct ctl {
	gchar **daemons;   /**< IP:PORT of administration listeners */
	gchar *token_file; /**< NULL if not given */
	char *token;	   /**< for the administration API; NULL if not given */
	gboolean json;	   /**< print JSON instead of tables */
	gchar *against;	   /**< file with the version in force; NULL: none */
	gint rounds;	   /**< tables that top prints; 0 for no limit */
	char **args;	   /**< arguments after the command's name */
	int nargs;
} ctl_t;

/** A command; returns the exit status. */
typedef ctl_exit_t (*command_fn_t)(ctl_t *c);

ctl_exit_t command_check(ctl_t *c);
ctl_exit_t command_check_routes(ctl_t *c);
ctl_exit_t command_diff(ctl_t *c);
ctl_exit_t command_status(ctl_t *c);
ctl_exit_t command_upstreams(ctl_t *c);
ctl_exit_t command_explain(ctl_t *c);
ctl_exit_t command_top(ctl_t *c);
ctl_exit_t command_drain(ctl_t *c);
ctl_exit_t command_trace(ctl_t *c);

/** Differences between two configurations. */
typedef struct ctl_diff {
	json_t *rows;	   /**< array of objects with "warning" and "change" */
	bool has_warnings; /**< at least one difference is a warning */
} ctl_diff_t;

ctl_exit_t command_route(ctl_t *c);

/* ctl_routes.c */
/**
 * Whether the file is a JSON object with the member "routes"; does not check
 * it any further.
 */
bool ctl_has_routes(const char *file);
/** Prints the faults of a configuration of routes. */
ctl_exit_t ctl_check_routes(ctl_t *c, const char *file);
/** Prints the differences between two configurations of routes. */
ctl_exit_t ctl_diff_routes(ctl_t *c, const char *before, const char *after);

/* ctl_conf.c */
/**
 * Reads a whole file. The caller frees text with str_free(). If the file
 * cannot be read, prints an error, sets status to CTL_USAGE, returns false.
 */
bool ctl_read_file(const char *file, str_t *text, ctl_exit_t *status);
/** Prints a JSON value and drops the caller's reference to it. */
void ctl_print_json(json_t *o);
/** The faults as an array of objects with "path", "fault" and "detail". */
json_t *ctl_faults_json(const conf_faults_t *f);
/**
 * Prints the result of the command check: the faults, or the revision of a
 * configuration without faults.
 */
void ctl_print_check(const ctl_t *c, const char *file, const conf_faults_t *f,
		     uint64_t revision);
/**
 * Adds a difference. warn marks it as a warning, for example because it reduces
 * capacity or coverage.
 */
void ctl_diff_add(ctl_diff_t *d, bool warn, const char *fmt, ...)
	G_GNUC_PRINTF(3, 4);
/**
 * Prints the differences and frees d->rows. Returns CTL_OK if there are none,
 * CTL_WARNINGS if one is a warning, CTL_FAULTS otherwise.
 */
ctl_exit_t ctl_print_diff(const ctl_t *c, ctl_diff_t *d);
/**
 * Reads a configuration of searches. On faults, prints them to standard error,
 * sets status and returns NULL.
 */
conf_t *ctl_read_conf(const char *file, ctl_exit_t *status);
/**
 * Sends a request to a daemon's administration API. Returns the body of the
 * answer, to be freed with g_free(), or NULL after printing an error.
 */
char *ctl_request(const ctl_t *c, const char *daemon, const char *method,
		  const char *path);
/** Gets a JSON document from a daemon; NULL after printing an error. */
json_t *ctl_get_json(const ctl_t *c, const char *daemon, const char *path);
/**
 * Prints an array of objects as JSON, or as a table of the members that columns
 * names (NULL-terminated). Drops the caller's reference to rows.
 */
void ctl_print_rows(const ctl_t *c, json_t *rows, const char *const *columns);

#endif
