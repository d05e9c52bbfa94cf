/** @file clock.c The daemon's only reader of the boot clock; units of time. */
#include <time.h>

#include "libcommon.h"

usec_t clock_now(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (usec_t)ts.tv_sec * USEC_PER_SEC + ts.tv_nsec / 1000;
}

double age_seconds(usec_t age)
{
	return age < 0 ? -1.0 : (double)age / (double)USEC_PER_SEC;
}
