/**
 * @file scenario.h
 * Scripts that start a deployment, work on it, and say what must hold.
 * docs/SCENARIOS.md describes the language.
 */
#ifndef SCENARIO_H
#define SCENARIO_H

#include <glib.h>

#include "lab.h"

#define SCRIPT_MAX_ARGS 32
#define RUN_MAX_DAEMONS 64

/** Words that may begin a line, in three kinds of lines. */
typedef enum verb {
	/* Of the deployment. */
	VERB_DEPLOYMENT,
	VERB_DAEMONS,
	VERB_DATA_CENTRES,
	VERB_SERVICE,
	VERB_CLASS,
	VERB_SERVERS,
	VERB_OPTION,
	VERB_COMPARE,
	/* After "at TIME". */
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
	/* After "expect SUBJECT". */
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
	char *text; /**< the line as written */
	verb_t verb;
	long at;       /**< milliseconds, of lines after "at" */
	char *subject; /**< of lines after "expect" */
	char *args[SCRIPT_MAX_ARGS];
	unsigned nargs;
} step_t;

/** A script that has been read. */
typedef struct script {
	char *name;
	GPtrArray *steps; /**< step_t, in order of the file */
} script_t;

/** Reads a file; NULL with the place printed if it is not a script. */
script_t *script_read(const char *path);
/** Frees a script. */
void script_free(script_t *s);
/** The word after a given word, or NULL. */
const char *step_arg(const step_t *s, const char *word);
/** The number after a given word, or dflt. */
long step_num(const step_t *s, const char *word, long dflt);
/** Whether a word stands among the arguments. */
bool step_has(const step_t *s, const char *word);

/** What differs between runs of a script that are compared. */
typedef struct variant {
	const char *name;
	const char *settings; /**< members of JSON, or NULL */
	const char *holders;  /**< of all services, or NULL */
} variant_t;

/** A run of a script. */
typedef struct run {
	const script_t *script;
	lab_t *lab;
	usec_t began;	  /**< time 0 of the script */
	GPtrArray *calls; /**< lab_call_t of all queries and loads */
	GMutex lock;	  /**< of calls */
	GPtrArray *threads;
	GPtrArray *blocks; /**< memory of calls and loads, freed at the end */
	GThread *balancer; /**< asks the daemons whether they are ready */
	gint ready[RUN_MAX_DAEMONS];
	gint turns[RUN_MAX_DAEMONS]; /**< how often readiness changed */
	gint over;		     /**< set when all requests have ended */
	GArray *journal;	     /**< lab_run_t, read at the end */
	GHashTable *runs;	     /**< tag to number of runs */
	unsigned faults;
	bool verbose;
	variant_t variant;
} run_t;

/** Notes that something does not hold, and prints it. */
void run_fault(run_t *r, unsigned line, const char *fmt, ...)
	G_GNUC_PRINTF(3, 4);
/** Runs a script and returns the number of faults. */
unsigned run_script(const script_t *s, bool verbose, bool keep);
/** Starts the lab and plays the script; false if it does not start. */
bool run_play(run_t *r);
/** Makes a run of a script. */
void run_init(run_t *r, const script_t *s);
/** Ends the lab and frees what the run has. */
void run_clear(run_t *r, bool keep);
/** Builds the configuration of a script as published by a step, or NULL. */
char *run_conf_text(const run_t *r, const step_t *publish);
/** Begins a query or a load in threads of its own. */
void run_ask(run_t *r, const step_t *s);
/** Checks what always holds, then what the script expects. */
void run_check(run_t *r);

#endif
