/** @file scenario_parse.c Parses the scenario language. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "scenario.h"

#define WORD_CHARS G_CSET_a_2_z G_CSET_A_2_Z G_CSET_DIGITS "_-./:=<>,*+{}"

typedef enum line_kind {
	LINE_DEPLOYMENT,
	LINE_ACTION,
	LINE_EXPECTATION
} line_kind_t;

static const struct {
	const char *word;
	line_kind_t kind;
	unsigned min_args;
} verbs[VERB_MAX] = {
	[VERB_DEPLOYMENT] = { "deployment", LINE_DEPLOYMENT, 1 },
	[VERB_DAEMONS] = { "daemons", LINE_DEPLOYMENT, 1 },
	[VERB_DATA_CENTRES] = { "data_centres", LINE_DEPLOYMENT, 1 },
	[VERB_SERVICE] = { "service", LINE_DEPLOYMENT, 5 },
	[VERB_CLASS] = { "class", LINE_DEPLOYMENT, 5 },
	[VERB_SERVERS] = { "servers", LINE_DEPLOYMENT, 2 },
	[VERB_OPTION] = { "option", LINE_DEPLOYMENT, 1 },
	[VERB_COMPARE] = { "compare", LINE_DEPLOYMENT, 1 },
	[VERB_QUERY] = { "query", LINE_ACTION, 3 },
	[VERB_LOAD] = { "load", LINE_ACTION, 7 },
	[VERB_KILL] = { "kill", LINE_ACTION, 1 },
	[VERB_FREEZE] = { "freeze", LINE_ACTION, 1 },
	[VERB_THAW] = { "thaw", LINE_ACTION, 1 },
	[VERB_TERM] = { "term", LINE_ACTION, 1 },
	[VERB_START] = { "start", LINE_ACTION, 1 },
	[VERB_SET] = { "set", LINE_ACTION, 2 },
	[VERB_LEAVING] = { "leaving", LINE_ACTION, 1 },
	[VERB_LIVE] = { "live", LINE_ACTION, 1 },
	[VERB_PUBLISH] = { "publish", LINE_ACTION, 2 },
	[VERB_CUT] = { "cut", LINE_ACTION, 2 },
	[VERB_HEAL] = { "heal", LINE_ACTION, 0 },
	[VERB_CHECK] = { "check", LINE_ACTION, 3 },
	[VERB_HTTP] = { "http", LINE_ACTION, 5 },
	[VERB_OUTCOME] = { "outcome", LINE_EXPECTATION, 1 },
	[VERB_SHARE] = { "share", LINE_EXPECTATION, 3 },
	[VERB_COVERAGE] = { "coverage", LINE_EXPECTATION, 1 },
	[VERB_SNAPSHOT] = { "snapshot", LINE_EXPECTATION, 1 },
	[VERB_REASON] = { "reason", LINE_EXPECTATION, 1 },
	[VERB_RUNS] = { "runs", LINE_EXPECTATION, 2 },
	[VERB_TOOK] = { "took", LINE_EXPECTATION, 2 },
	[VERB_QUANTILE] = { "quantile", LINE_EXPECTATION, 3 },
	[VERB_IDLE_AFTER] = { "idle_after", LINE_EXPECTATION, 1 },
	[VERB_RAN] = { "ran", LINE_EXPECTATION, 0 },
	[VERB_EXIT] = { "exit", LINE_EXPECTATION, 1 },
	[VERB_STATUS] = { "status", LINE_EXPECTATION, 2 },
	[VERB_NUMBER] = { "number", LINE_EXPECTATION, 3 },
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

/* Splits a line into words; NULL if it has a character outside WORD_CHARS. */
static GPtrArray *split_words(const char *line)
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

static verb_t find_verb(const char *word, line_kind_t kind)
{
	verb_t v;

	for (v = 0; v < VERB_MAX; v++)
		if (verbs[v].kind == kind && strcmp(verbs[v].word, word) == 0)
			break;
	return v;
}

/* Fills in a step from its words; returns an error message, or NULL. */
static const char *parse_step(const GPtrArray *words, step_t *s)
{
	line_kind_t kind = LINE_DEPLOYMENT;
	guint i = 0;
	char *end;

	if (strcmp(words->pdata[0], "at") == 0) {
		kind = LINE_ACTION;
		i = 2;
	} else if (strcmp(words->pdata[0], "expect") == 0) {
		kind = LINE_EXPECTATION;
		i = 2;
	}
	if (words->len <= i)
		return "too few words";
	if (kind == LINE_ACTION) {
		s->at_ms = strtol(words->pdata[1], &end, 10);
		if (*end || s->at_ms < 0)
			return "the time is not a number of milliseconds";
	}
	if (kind == LINE_EXPECTATION)
		s->subject = g_strdup(words->pdata[1]);
	s->verb = find_verb(words->pdata[i], kind);
	if (s->verb == VERB_MAX)
		return "unknown verb for this kind of line";
	for (i++; i < words->len && s->nargs < SCRIPT_MAX_ARGS; i++)
		s->args[s->nargs++] = g_strdup(words->pdata[i]);
	if (s->nargs < verbs[s->verb].min_args)
		return "too few arguments";
	return NULL;
}

static bool parse_line(script_t *s, const char *path, const char *line,
		       unsigned n)
{
	GPtrArray *words = split_words(line);
	const char *error = "a character is not allowed";
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
		error = parse_step(words, step);
		g_ptr_array_free(words, TRUE);
	}
	if (!error)
		return true;
	fprintf(stderr, "%s:%u: %s: %s\n", path, n, error, line);
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
		fprintf(stderr, "%s: cannot read the file\n", path);
		script_free(s);
		return NULL;
	}
	lines = g_strsplit(text, "\n", -1);
	for (l = lines; *l; l++)
		ok = parse_line(s, path, *l, (unsigned)(l - lines) + 1) && ok;
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
