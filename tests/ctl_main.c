/** @file ctl_main.c Tests of the operators' commands check, diff and route. */
#include <CUnit/Basic.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#define MAX_ARGS 6

/* Runs geraniumslip in tests/ctl. Returns its standard output, to be freed with
 * g_free(), and its wait status. */
static char *run_command(const char *const *args, int *status)
{
	const char *bin_dir = g_getenv("GERANIUMSLIP_BIN");
	char *cwd = g_get_current_dir();
	char *program = g_build_filename(cwd, bin_dir ? bin_dir : "build",
					 "geraniumslip", NULL);
	const char *argv[MAX_ARGS + 2] = { program };
	char *out = NULL;
	size_t i;

	for (i = 0; args[i]; i++)
		argv[i + 1] = args[i];
	if (!g_spawn_sync("tests/ctl", (char **)argv, NULL,
			  G_SPAWN_STDERR_TO_DEV_NULL, NULL, NULL, &out, NULL,
			  status, NULL))
		out = g_strdup("");
	g_free(program);
	g_free(cwd);
	return out;
}

static void test_commands(void)
{
	static const struct {
		const char *args[MAX_ARGS];
		int exit_status;
		const char *output; /* expected substring */
	} cases[] = {
		{ { "check", "routes.json" }, 0, "valid, revision 4" },
		{ { "-j", "check", "routes.json" }, 0, "\"valid\": true" },
		{ { "check", "routes-faulty.json" },
		  1,
		  "/routes/history/deadline_ms: missing" },
		{ { "check", "routes-faulty.json" },
		  1,
		  "/routes/history/shards: not declared: ledger-9" },
		{ { "check", "nowhere.json" }, 2, "" },
		{ { "check" }, 2, "" },
		{ { "diff", "routes.json", "routes-less.json" },
		  3,
		  "WARNING history: least coverage in 1/1000 890 becomes 500" },
		{ { "diff", "routes.json", "routes-less.json" },
		  3,
		  "statement: weight of mail-b 1 becomes 0" },
		{ { "diff", "routes-less.json", "routes.json" },
		  3,
		  "no daemon will take it" },
		{ { "diff", "routes.json", "routes-faulty.json" }, 1, "" },
		{ { "route", "routes.json", "desk.example", "/history/x?y" },
		  0,
		  "all of 2 services, at least 89% of them, 20 records" },
		{ { "route", "routes.json", "desk.example", "/statement/1" },
		  0,
		  "mail, weight 3" },
		{ { "route", "routes.json", "desk.example", "/x/" }, 1, "" },
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		int status = -1;
		char *out = run_command(cases[i].args, &status);

		CU_ASSERT(WIFEXITED(status));
		CU_ASSERT_EQUAL(WEXITSTATUS(status), cases[i].exit_status);
		CU_ASSERT_PTR_NOT_NULL(strstr(out, cases[i].output));
		g_free(out);
	}
}

int main(void)
{
	unsigned failures;
	CU_pSuite s;

	CU_initialize_registry();
	s = CU_add_suite("command", NULL, NULL);
	CU_add_test(s, "check, diff and route", test_commands);
	CU_basic_set_mode(CU_BRM_NORMAL);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures ? EXIT_FAILURE : EXIT_SUCCESS;
}
