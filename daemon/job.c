/** @file job.c State changes of a job: claimed for sending, or withdrawn. */
#include "libdaemon.h"

bool job_claim(job_t *j, usec_t now)
{
	int expected = JOB_QUEUED;

	if (now > j->send_by)
		return false;
	return atomic_compare_exchange_strong(&j->state, &expected,
					      JOB_SENDING);
}

bool job_withdraw(job_t *j)
{
	int expected = JOB_QUEUED;

	return atomic_compare_exchange_strong(&j->state, &expected,
					      JOB_WITHDRAWN);
}
