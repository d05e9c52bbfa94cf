/** @file job.c The last look before a request is sent. */
#include "libdaemon.h"

bool job_last_look(job_t *j, usec_t now)
{
	int want = JOB_QUEUED;

	if (now > j->send_by)
		return false;
	return atomic_compare_exchange_strong(&j->state, &want, JOB_SENDING);
}

bool job_withdraw(job_t *j)
{
	int want = JOB_QUEUED;

	return atomic_compare_exchange_strong(&j->state, &want, JOB_WITHDRAWN);
}
