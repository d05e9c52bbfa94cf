/**
 * @file scenario.h
 * Reads and runs scenario scripts: each describes a deployment, timed actions
 * on it and the expected results. docs/SCENARIOS.md describes the language.
 */
#ifndef SCENARIO_H
#define SCENARIO_H

#include <glib.h>

#include "lab.h"

#define SCRIPT_MAX_ARGS 32
#define RUN_MAX_DAEMONS 64

/** The verbs of script lines, grouped by the kind of line. */
typedef enum verb {
	/* Lines that describe the deployment. */
	VERB_DEPLOYMENT,
	VERB_DAEMONS,
	VERB_DATA_CENTRES,
	VERB_SERVICE,
	VERB_CLASS,
	VERB_SERVERS,
	VERB_OPTION,
	VERB_COMPARE,
	/* Actions, after "at MS". */
	VERB_QUERY,
	VERB_LOAD,
	VERB_KILL,
	VERB_FREEZE,
	VERB_THAW,
	VERB_TERM,
	VERB_START,
	VERB_SET,
	VERB_LEAVING,
	VERB_LIVE,
	VERB_PUBLISH,
	VERB_CUT,
	VERB_HEAL,
	VERB_CHECK,
	VERB_HTTP,
	/* Expectations, after "expect SUBJECT". */
	VERB_OUTCOME,
	VERB_SHARE,
	VERB_COVERAGE,
	VERB_SNAPSHOT,
	VERB_REASON,
	VERB_RUNS,
	VERB_TOOK,
	VERB_QUANTILE,
	VERB_IDLE_AFTER,
	VERB_RAN,
	VERB_EXIT,
	VERB_STATUS,
	VERB_NUMBER,
	VERB_MAX,
} verb_t;

/** One line of a script. */
typedef struct step {
	unsigned line;
	char *text; /**< the line without its newline */
	verb_t verb;
	long at_ms;    /**< time of an action since the start of the run */
	char *subject; /**< of an expectation: a request or a node, else NULL */
	char *args[SCRIPT_MAX_ARGS];
	unsigned nargs;
} step_t;

/** A parsed script. */
typedef struct script {
	char *name;
	GPtrArray *steps; /**< step_t, in the order of the file */
} script_t;

/**
 * Parses a file. Prints each faulty line with its number to stderr and returns
 * NULL if the file cannot be read or has errors. The caller frees the script
 * with script_free().
 */
script_t *script_read(const char *path);
/** Frees a script and its steps. */
void script_free(script_t *s);
/** Returns the argument after a given word, or NULL if there is none. */
const char *step_arg(const step_t *s, const char *word);
/** Returns the number after a given word, or dflt if there is none. */
long step_num(const step_t *s, const char *word, long dflt);
/** Returns true if a word is one of the arguments. */
bool step_has(const step_t *s, const char *word);

/** What differs between the compared runs of a script. */
typedef struct variant {
	const char *name;
	const char *settings; /**< more settings of daemons, JSON, or NULL */
	const char *holders;  /**< holders of each group, or NULL */
} variant_t;

/** A run of a script. */
typedef struct scenario_run {
	const script_t *script;
	lab_t *lab;
	usec_t started_at;  /**< time 0 of the script, on the boot clock */
	GPtrArray *calls;   /**< lab_call_t that have ended */
	GMutex lock;	    /**< protects calls */
	GPtrArray *threads; /**< threads that send requests */
	/** Calls and loads, freed by scenario_run_clear(). */
	GPtrArray *allocations;
	GThread *balancer; /**< polls the daemons' readiness, or NULL */
	gint ready[RUN_MAX_DAEMONS]; /**< readiness of each daemon: 0 or 1 */
	gint ready_changes[RUN_MAX_DAEMONS]; /**< changes of readiness so far */
	gint finished; /**< set when all requests have ended */
	/** lab_journal_entry_t, read when the run has ended. */
	GArray *journal;
	GHashTable *runs_by_tag; /**< request tag to number of runs */
	unsigned failures;	 /**< failed checks and actions */
	bool verbose;		 /**< print actions, and answers to queries */
	variant_t variant;
} scenario_run_t;

/**
 * Counts a failed check or action and prints it to stderr, but only the first
 * 20 of a run. line is the line of the script, or 0 for a check that applies to
 * every script.
 */
void scenario_run_fail(scenario_run_t *r, unsigned line, const char *fmt, ...)
	G_GNUC_PRINTF(3, 4);
/**
 * Runs a script and returns the number of failures. keep: leave the files of
 * the lab in place if the script fails.
 */
unsigned scenario_run_script(const script_t *s, bool verbose, bool keep);
/**
 * Starts the lab, performs the actions and waits until all requests have ended;
 * false if the lab does not start.
 */
bool scenario_run_execute(scenario_run_t *r);
/** Prepares a run, to be freed by scenario_run_clear(); s must outlive it. */
void scenario_run_init(scenario_run_t *r, const script_t *s);
/** Stops the lab and frees the run's members. keep: leave the lab's files. */
void scenario_run_clear(scenario_run_t *r, bool keep);
/**
 * Builds the configuration of a script as JSON: the revision that a "publish"
 * step describes, or the first one if publish is NULL. Returns NULL on errors;
 * the caller calls free() on the result.
 */
char *scenario_run_conf_text(const scenario_run_t *r, const step_t *publish);
/** Starts the threads that send a query or a load. */
void scenario_run_start_requests(scenario_run_t *r, const step_t *s);
/** Checks the invariants of all requests, then the script's expectations. */
void scenario_run_check(scenario_run_t *r);

#endif
