/**
 * @file rt_stop.c
 * The planned stop of a host: which requests it still takes, by when all of
 * them are answered, and when the process ends.
 *
 * Load pattern: hosts are stopped in turn under load. The load balancer learns
 * late that a host stops, and callers keep using their open connections, so
 * that requests arrive until the process is gone. What cannot end before the
 * process must does not start here: it is refused as not run, which sends its
 * caller to another host.
 */
#include "libroute.h"

/* Steps of the end, before the time at which the process is killed: answers,
 * and then the end itself, after a time for them to be written. */
#define STEP_MAX (300 * USEC_PER_MSEC)
#define STEPS_PER_LIMIT 20 /* a step takes at most this part of the limit */
#define ANSWER_STEPS 2	   /* from the last answers to the kill */
/* Connections without a request are closed after this many grace times in which
 * no request came on any of them: callers that are active have come by then. */
#define IDLE_GRACES 2
/* A request whose deadline is later than the last answers is taken if this many
 * times the latency that few answers exceed is left. Its deadline becomes the
 * time of the last answers; one that must not run twice should hardly ever meet
 * it, since its caller could not repeat it. */
#define LATENCIES_LEFT 2
#define ONCE_LATENCIES_LEFT 10

void rt_begin_stop(rt_t *rt, usec_t grace, usec_t limit, usec_t now)
{
	usec_t step = limit / STEPS_PER_LIMIT;
	rt_stop_t *s = &rt->stop;
	rt_query_t *q;

	if (s->step != RT_STOP_NONE)
		return;
	if (step > STEP_MAX)
		step = STEP_MAX;
	*s = (rt_stop_t){
		.step = RT_STOP_ACCEPT,
		.grace = grace,
		.grace_ends_at = now + grace,
		.answer_by = now + limit - ANSWER_STEPS * step,
		.end_at = now + limit - step,
		.last_request_at = now,
	};
	for (q = rt->open; q; q = q->next)
		rt_query_limit(q, s->answer_by);
}

bool rt_stop_takes(const rt_stop_t *s, const rt_route_t *route,
		   const rt_stat_t *stat, usec_t time_left, usec_t now)
{
	usec_t needed;

	if (s->step >= RT_STOP_CLOSE)
		return false;
	if (s->step == RT_STOP_NONE)
		return true;
	needed = rt_stat_late_limit(stat) *
		 (route->idempotent ? LATENCIES_LEFT : ONCE_LATENCIES_LEFT);
	if (needed > time_left)
		needed = time_left;
	return now + needed <= s->answer_by;
}

static bool must_close(const rt_t *rt, size_t connections, usec_t now)
{
	const rt_stop_t *s = &rt->stop;

	if (now >= s->answer_by)
		return true;
	if (now < s->grace_ends_at || rt_open_requests(rt))
		return false;
	return connections == 0 ||
	       now - s->last_request_at >= IDLE_GRACES * s->grace;
}

rt_stop_step_t rt_advance_stop(rt_t *rt, size_t connections, usec_t now)
{
	rt_stop_t *s = &rt->stop;

	if (s->step == RT_STOP_ACCEPT && must_close(rt, connections, now))
		s->step = RT_STOP_CLOSE;
	if (s->step == RT_STOP_CLOSE && (connections == 0 || now >= s->end_at))
		s->step = RT_STOP_END;
	return s->step;
}
