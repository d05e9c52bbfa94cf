/**
 * @file rt_delay.c
 * How late this host itself acts: the time from the moment at which an
 * incomplete answer was due to the moment at which it was written. Such answers
 * are made that much earlier, or they would miss the objective.
 *
 * Load pattern: a host with a small share of a core, or one that turns slow,
 * has many parts of queries to send, to read and to merge at the same moment.
 */
#include "libroute.h"

/* Parts of the difference by which a sample raises or lowers the estimate. A
 * host of a large fleet makes few such answers, so it must learn from each; and
 * a late answer is worth less than one that lacks a part. */
#define RISE_DIVISOR 2
#define FALL_DIVISOR 8
/* Parts that this host does not see, as the caller's own loop. */
#define DELAY_MIN (4 * USEC_PER_MSEC)
/* Beyond it, answers would lack parts for a delay that may be over soon. */
#define DELAY_MAX (20 * USEC_PER_MSEC)

usec_t rt_own_time(const rt_t *rt)
{
	/* The time for which the request waited to be read is told with it. */
	return rt->own_delay;
}

void rt_answer_written(rt_t *rt, usec_t due_at, usec_t now)
{
	usec_t diff = now - due_at - rt->own_delay;

	rt->own_delay += diff / (diff > 0 ? RISE_DIVISOR : FALL_DIVISOR);
	if (rt->own_delay < DELAY_MIN)
		rt->own_delay = DELAY_MIN;
	if (rt->own_delay > DELAY_MAX)
		rt->own_delay = DELAY_MAX;
}
