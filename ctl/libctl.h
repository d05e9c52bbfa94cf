/** @file libctl.h Shared by the files of the command only. */
#ifndef LIBCTL_H
#define LIBCTL_H

#include <glib.h>
#include <jansson.h>

#include "routes.h"

#define VERSION "0.1.0"

/** Exit statuses; the manual page lists them. */
typedef enum ctl_exit {
	CTL_OK = 0,
	CTL_FAULTS = 1,	   /**< the configuration has faults, or they differ */
	CTL_USAGE = 2,	   /**< the command line or a file is wrong */
	CTL_WARNINGS = 3,  /**< a change drops capacity or coverage */
	CTL_UNREACHED = 4, /**< a daemon does not answer or refuses */
} ctl_exit_t;

/** What all commands are given. */
typedef struct ctl {
	gchar **daemons; /**< IP:PORT of administration listeners */
	gchar *token_file;
	char *token;
	gboolean json;
	gint rounds; /**< of top; 0 for no end */
	char **args;
	int nargs;
} ctl_t;

/** A command; returns the exit status. */
typedef ctl_exit_t (*command_fn_t)(ctl_t *c);

ctl_exit_t command_check(ctl_t *c);
ctl_exit_t command_diff(ctl_t *c);
ctl_exit_t command_status(ctl_t *c);
ctl_exit_t command_upstreams(ctl_t *c);
ctl_exit_t command_explain(ctl_t *c);
ctl_exit_t command_top(ctl_t *c);
ctl_exit_t command_drain(ctl_t *c);
ctl_exit_t command_trace(ctl_t *c);

/** The differences of two configurations, as they are found. */
typedef struct ctl_diff {
	json_t *rows;
	bool warned; /**< one drops capacity or coverage */
} ctl_diff_t;

ctl_exit_t command_route(ctl_t *c);

/* ctl_routes.c: check and diff of configurations of routes. */
/** Whether the file is such a configuration, faulty or not. */
bool ctl_has_routes(const char *file);
ctl_exit_t routes_check(ctl_t *c, const char *file);
ctl_exit_t routes_diff(ctl_t *c, const char *before, const char *after);

/* ctl_conf.c */
/** Reads a whole file; false after printing why not. */
bool ctl_read_file(const char *file, str_t *text, ctl_exit_t *status);
/** Prints JSON and frees it. */
void ctl_print_json(json_t *o);
/** The faults as an array of objects. */
json_t *ctl_faults_json(const conf_faults_t *f);
/** Prints what check found. */
void ctl_print_check(const ctl_t *c, const char *file, const conf_faults_t *f,
		     uint64_t revision);
/** Notes a difference; warn if it drops capacity or coverage. */
void ctl_note(ctl_diff_t *d, bool warn, const char *fmt, ...)
	G_GNUC_PRINTF(3, 4);
/** Prints the differences and frees them; the exit status that follows. */
ctl_exit_t ctl_print_diff(const ctl_t *c, ctl_diff_t *d);
/** Reads a configuration; prints what is wrong and returns NULL. */
conf_t *ctl_read_conf(const char *file, ctl_exit_t *status);
/** Asks a daemon; the text, or NULL with the reason printed. */
char *ctl_ask(const ctl_t *c, const char *daemon, const char *method,
	      const char *path);
/** Asks for JSON; NULL with the reason printed. */
json_t *ctl_ask_json(const ctl_t *c, const char *daemon, const char *path);
/** Prints an array of objects, as a table of the named members or as JSON. */
void ctl_print(const ctl_t *c, json_t *rows, const char *const *columns);

#endif
