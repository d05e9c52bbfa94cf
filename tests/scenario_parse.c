/** @file scenario_parse.c Reads the scenario language. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "scenario.h"

#define WORD_CHARS G_CSET_a_2_z G_CSET_A_2_Z G_CSET_DIGITS "_-./:=<>,*+{}"

/** The kinds of lines. */
typedef enum form { FORM_DEPLOYMENT, FORM_AT, FORM_EXPECT } form_t;

static const struct {
	const char *word;
	form_t form;
	unsigned least; /* arguments */
} verbs[VERB_MAX] = {
	[VERB_DEPLOYMENT] = { "deployment", FORM_DEPLOYMENT, 1 },
	[VERB_DAEMONS] = { "daemons", FORM_DEPLOYMENT, 1 },
	[VERB_DATA_CENTRES] = { "data_centres", FORM_DEPLOYMENT, 1 },
	[VERB_SERVICE] = { "service", FORM_DEPLOYMENT, 5 },
	[VERB_CLASS] = { "class", FORM_DEPLOYMENT, 5 },
	[VERB_SERVERS] = { "servers", FORM_DEPLOYMENT, 2 },
	[VERB_OPTION] = { "option", FORM_DEPLOYMENT, 1 },
	[VERB_COMPARE] = { "compare", FORM_DEPLOYMENT, 1 },
	[VERB_QUERY] = { "query", FORM_AT, 3 },
	[VERB_LOAD] = { "load", FORM_AT, 7 },
	[VERB_KILL] = { "kill", FORM_AT, 1 },
	[VERB_FREEZE] = { "freeze", FORM_AT, 1 },
	[VERB_THAW] = { "thaw", FORM_AT, 1 },
	[VERB_TERM] = { "term", FORM_AT, 1 },
	[VERB_START] = { "start", FORM_AT, 1 },
	[VERB_SET] = { "set", FORM_AT, 2 },
	[VERB_LEAVING] = { "leaving", FORM_AT, 1 },
	[VERB_LIVE] = { "live", FORM_AT, 1 },
	[VERB_PUBLISH] = { "publish", FORM_AT, 2 },
	[VERB_CUT] = { "cut", FORM_AT, 2 },
	[VERB_HEAL] = { "heal", FORM_AT, 0 },
	[VERB_CHECK] = { "check", FORM_AT, 3 },
	[VERB_HTTP] = { "http", FORM_AT, 5 },
	[VERB_OUTCOME] = { "outcome", FORM_EXPECT, 1 },
	[VERB_SHARE] = { "share", FORM_EXPECT, 3 },
	[VERB_COVERAGE] = { "coverage", FORM_EXPECT, 1 },
	[VERB_SNAPSHOT] = { "snapshot", FORM_EXPECT, 1 },
	[VERB_REASON] = { "reason", FORM_EXPECT, 1 },
	[VERB_RUNS] = { "runs", FORM_EXPECT, 2 },
	[VERB_TOOK] = { "took", FORM_EXPECT, 2 },
	[VERB_QUANTILE] = { "quantile", FORM_EXPECT, 3 },
	[VERB_IDLE_AFTER] = { "idle_after", FORM_EXPECT, 1 },
	[VERB_RAN] = { "ran", FORM_EXPECT, 0 },
	[VERB_EXIT] = { "exit", FORM_EXPECT, 1 },
	[VERB_STATUS] = { "status", FORM_EXPECT, 2 },
	[VERB_NUMBER] = { "number", FORM_EXPECT, 3 },
};

static void step_free(gpointer p)
{
	step_t *s = p;
	unsigned i;

	for (i = 0; i < s->nargs; i++)
		g_free(s->args[i]);
	g_free(s->subject);
	g_free(s->text);
	g_free(s);
}

/* Splits a line into words. */
static GPtrArray *words_of(const char *line)
{
	GScannerConfig config = {
		.cset_skip_characters = " \t\r",
		.cset_identifier_first = WORD_CHARS,
		.cset_identifier_nth = WORD_CHARS,
		.cpair_comment_single = "#\n",
		.case_sensitive = TRUE,
		.skip_comment_single = TRUE,
		.scan_identifier = TRUE,
		.scan_identifier_1char = TRUE,
	};
	GPtrArray *words = g_ptr_array_new_with_free_func(g_free);
	GScanner *sc = g_scanner_new(&config);
	GTokenType t;

	g_scanner_input_text(sc, line, (guint)strlen(line));
	while ((t = g_scanner_get_next_token(sc)) == G_TOKEN_IDENTIFIER)
		g_ptr_array_add(words, g_strdup(sc->value.v_identifier));
	if (t != G_TOKEN_EOF) {
		g_ptr_array_free(words, TRUE);
		words = NULL;
	}
	g_scanner_destroy(sc);
	return words;
}

static verb_t verb_of(const char *word, form_t form)
{
	verb_t v;

	for (v = 0; v < VERB_MAX; v++)
		if (verbs[v].form == form && strcmp(verbs[v].word, word) == 0)
			break;
	return v;
}

/* Fills in a step from its words; a text says what is wrong with them. */
static const char *read_step(const GPtrArray *words, step_t *s)
{
	form_t form = FORM_DEPLOYMENT;
	guint i = 0;
	char *end;

	if (strcmp(words->pdata[0], "at") == 0) {
		form = FORM_AT;
		i = 2;
	} else if (strcmp(words->pdata[0], "expect") == 0) {
		form = FORM_EXPECT;
		i = 2;
	}
	if (words->len <= i)
		return "too few words";
	if (form == FORM_AT) {
		s->at = strtol(words->pdata[1], &end, 10);
		if (*end || s->at < 0)
			return "the time is not a number of milliseconds";
	}
	if (form == FORM_EXPECT)
		s->subject = g_strdup(words->pdata[1]);
	s->verb = verb_of(words->pdata[i], form);
	if (s->verb == VERB_MAX)
		return "no such verb here";
	for (i++; i < words->len && s->nargs < SCRIPT_MAX_ARGS; i++)
		s->args[s->nargs++] = g_strdup(words->pdata[i]);
	if (s->nargs < verbs[s->verb].least)
		return "too few arguments";
	return NULL;
}

static bool read_line(script_t *s, const char *path, const char *line,
		      unsigned n)
{
	GPtrArray *words = words_of(line);
	const char *wrong = "not words";
	step_t *step;

	if (words && words->len == 0) {
		g_ptr_array_free(words, TRUE);
		return true;
	}
	step = g_new0(step_t, 1);
	step->line = n;
	step->text = g_strdup(line);
	g_ptr_array_add(s->steps, step);
	if (words) {
		wrong = read_step(words, step);
		g_ptr_array_free(words, TRUE);
	}
	if (!wrong)
		return true;
	fprintf(stderr, "%s:%u: %s: %s\n", path, n, wrong, line);
	return false;
}

script_t *script_read(const char *path)
{
	script_t *s = g_new0(script_t, 1);
	char *text = NULL;
	char **lines, **l;
	bool ok = true;

	s->name = g_path_get_basename(path);
	s->steps = g_ptr_array_new_with_free_func(step_free);
	if (!g_file_get_contents(path, &text, NULL, NULL)) {
		fprintf(stderr, "%s: cannot be read\n", path);
		script_free(s);
		return NULL;
	}
	lines = g_strsplit(text, "\n", -1);
	for (l = lines; *l; l++)
		ok = read_line(s, path, *l, (unsigned)(l - lines) + 1) && ok;
	g_strfreev(lines);
	g_free(text);
	if (ok)
		return s;
	script_free(s);
	return NULL;
}

void script_free(script_t *s)
{
	g_ptr_array_free(s->steps, TRUE);
	g_free(s->name);
	g_free(s);
}

const char *step_arg(const step_t *s, const char *word)
{
	unsigned i;

	for (i = 0; i + 1 < s->nargs; i++)
		if (strcmp(s->args[i], word) == 0)
			return s->args[i + 1];
	return NULL;
}

long step_num(const step_t *s, const char *word, long dflt)
{
	const char *v = step_arg(s, word);

	return v ? strtol(v, NULL, 10) : dflt;
}

bool step_has(const step_t *s, const char *word)
{
	unsigned i;

	for (i = 0; i < s->nargs; i++)
		if (strcmp(s->args[i], word) == 0)
			return true;
	return false;
}
