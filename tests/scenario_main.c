/** @file scenario_main.c Runs scripts as the tests of a CUnit suite. */
#include <CUnit/Basic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "scenario.h"
#include "standin.h"

static char **paths;
static int next_path;
static gboolean verbose;
static gboolean keep;

/* CUnit runs the tests in the order of paths; each call runs the next one. */
static void test_script(void)
{
	script_t *s = script_read(paths[next_path++]);

	CU_ASSERT_PTR_NOT_NULL_FATAL(s);
	CU_ASSERT_EQUAL(scenario_run_script(s, verbose, keep), 0);
	script_free(s);
}

/* Returns true, and prints that the script is skipped, if the list of known
 * failures has a line that begins with the script's name. */
static bool is_known_red(const char *list, const char *path)
{
	char *name = g_path_get_basename(path);
	char *mark = g_strdup_printf("\n%s:", name);
	bool known = list && strstr(list, mark);

	if (known)
		printf("KNOWN RED, passed over: %s\n", name);
	g_free(mark);
	g_free(name);
	return known;
}

static char *read_known_red(const char *path)
{
	char *text = NULL;
	char *list;

	if (!path || !g_file_get_contents(path, &text, NULL, NULL))
		return NULL;
	list = g_strconcat("\n", text, NULL);
	g_free(text);
	return list;
}

int main(int argc, char **argv)
{
	gchar *known_red = NULL;
	const GOptionEntry entries[] = {
		{ "verbose", 'v', 0, G_OPTION_ARG_NONE, &verbose,
		  "Print each step and answer", NULL },
		{ "keep", 'k', 0, G_OPTION_ARG_NONE, &keep,
		  "Keep the files of scripts that fail", NULL },
		{ "known-red", 'r', 0, G_OPTION_ARG_FILENAME, &known_red,
		  "Skip the scripts that FILE lists as known failures",
		  "FILE" },
		G_OPTION_ENTRY_NULL
	};
	GOptionContext *ctx = g_option_context_new("FILE...");
	GError *error = NULL;
	CU_pSuite suite;
	char *list;
	int i, n = 0;

	g_option_context_add_main_entries(ctx, entries, NULL);
	if (!g_option_context_parse(ctx, &argc, &argv, &error) || argc < 2) {
		fprintf(stderr, "scenario: %s\n",
			error ? error->message : "no FILE given");
		return EXIT_FAILURE;
	}
	signal(SIGPIPE, SIG_IGN);
	setvbuf(stdout, NULL, _IOLBF, 0);
	list = read_known_red(known_red);
	paths = g_new0(char *, argc);
	CU_initialize_registry();
	suite = CU_add_suite("scenarios", NULL, NULL);
	for (i = 1; i < argc; i++) {
		if (is_known_red(list, argv[i]))
			continue;
		paths[n++] = argv[i];
		CU_add_test(suite, argv[i], test_script);
	}
	CU_basic_set_mode(CU_BRM_VERBOSE);
	CU_basic_run_tests();
	n = (int)CU_get_number_of_failures();
	CU_cleanup_registry();
	g_free(list);
	return n ? EXIT_FAILURE : EXIT_SUCCESS;
}
