/** @file scenario_main.c Runs scripts as the tests of a CUnit suite. */
#include <CUnit/Basic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "known_red.h"
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
	char *list, *name;
	bool skip;
	int i, n = 0;

	g_option_context_add_main_entries(ctx, entries, NULL);
	if (!g_option_context_parse(ctx, &argc, &argv, &error) || argc < 2) {
		fprintf(stderr, "scenario: %s\n",
			error ? error->message : "no FILE given");
		return EXIT_FAILURE;
	}
	signal(SIGPIPE, SIG_IGN);
	setvbuf(stdout, NULL, _IOLBF, 0);
	list = known_red_read(known_red);
	paths = g_new0(char *, argc);
	CU_initialize_registry();
	suite = CU_add_suite("scenarios", NULL, NULL);
	for (i = 1; i < argc; i++) {
		name = g_path_get_basename(argv[i]);
		skip = known_red_skip(list, name);
		g_free(name);
		if (skip)
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
