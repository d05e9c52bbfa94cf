/** @file unit_daemon.c Tests of the state changes of a job. */
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

void unit_daemon(void)
{
	CU_pSuite s = CU_add_suite("daemon", NULL, NULL);

	CU_add_test(s, "claim", test_claim);
	CU_add_test(s, "withdraw", test_withdraw);
}
