/** @file unit_daemon.c Tests of the states of a job, and of the host list. */
#include <CUnit/CUnit.h>

#include "libdaemon.h"
#include "unit.h"

/* A job must not be sent after send_by, nor if it is not queued. */
static void test_claim(void)
{
	static const struct {
		usec_t now;
		int state;
		bool claimed;
	} cases[] = {
		{ 99, JOB_QUEUED, true },   { 100, JOB_QUEUED, true },
		{ 101, JOB_QUEUED, false }, { 99, JOB_WITHDRAWN, false },
		{ 99, JOB_SENDING, false },
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		job_t j = { .send_by = 100 };

		atomic_init(&j.state, cases[i].state);
		CU_ASSERT_EQUAL(job_claim(&j, cases[i].now), cases[i].claimed);
	}
}

/* A job is either claimed for sending or withdrawn, never both. */
static void test_withdraw(void)
{
	job_t j = { .send_by = 100 };

	CU_ASSERT(job_withdraw(&j));
	CU_ASSERT(!job_claim(&j, 1));
	CU_ASSERT(!job_withdraw(&j));
	atomic_store(&j.state, JOB_QUEUED);
	CU_ASSERT(job_claim(&j, 1));
	CU_ASSERT(!job_withdraw(&j));
}

/* One entry that cannot be read leaves the others. */
static void test_host_list(void)
{
#define GOOD "{\"name\":\"d1\",\"dc\":\"a\",\"peer\":\"10.0.0.1:7\"}"
#define LIST(daemons, leaving)                                                 \
	"{\"version\":7,\"daemons\":[" daemons "],\"leaving\":[" leaving "]}"
	static const struct {
		const char *text;
		bool ok;
		size_t ndaemons;
		size_t nleaving;
		size_t bad;
	} cases[] = {
		{ LIST(GOOD, "\"10.0.0.2:80\""), true, 1, 1, 0 },
		{ LIST(GOOD ",7", "\"10.0.0.2:80\",7"), true, 1, 1, 2 },
		{ LIST("{\"name\":\"x\",\"dc\":\"a\",\"peer\":\"10.0.0.1:"
		       "70000\"}"
		       "," GOOD,
		       "\"10.0.0.2:70000\",\"10.0.0.2:80\""),
		  true, 1, 1, 2 },
		{ LIST("{\"name\":\"x\",\"n\":1e999}," GOOD, "1e999"), true, 1,
		  0, 2 },
		{ LIST("{\"name\":\"x\",\"n\":99999999999999999999}," GOOD, ""),
		  true, 1, 0, 1 },
		{ "{\"version\":7}", true, 0, 0, 0 },
		{ "{\"version\":0}", false, 0, 0, 0 },
		{ "{\"version\":-1}", false, 0, 0, 0 },
		{ "{\"version\":99999999999999999999}", false, 0, 0, 0 },
		{ "[]", false, 0, 0, 0 },
	};
	arena_t mem = { 0 };
	host_list_t l;
	size_t i, bad;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		bad = 0;
		CU_ASSERT_EQUAL(
			host_list_parse(str_of(cases[i].text), &l, &bad, &mem),
			cases[i].ok);
		CU_ASSERT_EQUAL(l.ndaemons, cases[i].ndaemons);
		CU_ASSERT_EQUAL(l.nleaving_upstreams, cases[i].nleaving);
		CU_ASSERT_EQUAL(bad, cases[i].bad);
	}
	arena_free(&mem);
}

void unit_daemon(void)
{
	CU_pSuite s = CU_add_suite("daemon", NULL, NULL);

	CU_add_test(s, "claim", test_claim);
	CU_add_test(s, "withdraw", test_withdraw);
	CU_add_test(s, "list of hosts", test_host_list);
}
