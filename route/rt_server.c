/**
 * @file rt_server.c
 * What is believed of each server: how fast it answers and what share of
 * requests it refuses or fails. Evidence are this host's own sends, and the
 * words of neighbours where there is no fresh own one.
 *
 * Load patterns: servers that pause for a moment, that turn slow or silent,
 * that refuse or fail a part of their requests.
 */
#include <stdlib.h>

#include "libroute.h"

#define PACE_WEIGHT 0.2 /* of one answer in the pace */
#define PACE_MAX 6.0	/* times the usual time; what is longer counts so */
#define PACE_NEAR 1.0	/* before the first answer */
#define PACE_FAR 1.3	/* the same, in another data centre */
#define PACE_HALF_LIFE USEC_PER_SEC /* of what is off, without answers */
#define PACE_NONE 0.01		    /* off by so little is not off */
#define PACE_SLOW 1.8		    /* times the best: it gets probes only */
#define FAIL_WEIGHT 0.1		    /* of one send in the share of failures */
#define FAIL_COST 6.0		    /* usual times that a failed send costs */
#define FAIL_NONE 0.02		    /* a share that counts as none */
#define FAIL_TOO_MANY 0.2	    /* share of failures to be avoided */
/* Doubled with each failure in a row: from a server's short pause to the time
 * in which a lost server is published as gone. */
#define AVOID_MIN (150 * USEC_PER_MSEC)
#define AVOID_MAX (2 * USEC_PER_SEC)
/* A server gets some eight probes a second from all hosts together. */
#define PROBE_PERIOD_PER_HOST (120 * USEC_PER_MSEC)
#define PROBE_PERIOD_MIN (500 * USEC_PER_MSEC)
#define RECOVERY_WEIGHT 0.75 /* of a probe's answer in a slow server's pace */
/* An answer that is out for so long, and so many usual times, is late for
 * more than a pause of the server. */
#define SILENT_TIME (300 * USEC_PER_MSEC)
#define SILENT_FACTOR 6
/* What others tell does not stand against an own answer since then. */
#define OWN_WORD (1 * USEC_PER_SEC)
#define LATE_GRACE (40 * USEC_PER_MSEC) /* past a send's deadline */
/* Part of a server's connections that is used: hosts come and go. */
#define CONNECTIONS_USED 0.95

bool rt_server_usable(const rt_server_t *s)
{
	return !s->draining && !s->gone;
}

unsigned rt_server_cap(const rt_t *rt, const rt_server_t *s)
{
	double share = CONNECTIONS_USED * s->svc->connections / rt->p.fleet;

	return share < 1 ? 1 : (unsigned)share;
}

void rt_server_sent(rt_server_t *s, rt_attempt_t *a)
{
	a->prev = NULL;
	a->next = s->out;
	if (a->next)
		a->next->prev = a;
	s->out = a;
	s->inflight++;
}

void rt_server_late(rt_attempt_t *a)
{
	if (a->late)
		return;
	a->late = true;
	a->server->nlate++;
}

static void unlink_attempt(rt_attempt_t *a)
{
	rt_server_t *s = a->server;

	if (a->prev)
		a->prev->next = a->next;
	else
		s->out = a->next;
	if (a->next)
		a->next->prev = a->prev;
	s->inflight--;
	if (a->late)
		s->nlate--;
}

void rt_server_log(rt_t *rt, const rt_server_t *s, rt_why_t why, usec_t value)
{
	rt_log(rt, &(rt_line_t){ .what = "server",
				 .why = why,
				 .service = s->svc->name,
				 .server = s->id,
				 .result = RT_RESULT_MAX,
				 .value = value,
				 .age = -1,
				 .failure = true });
}

double rt_server_first_pace(const rt_server_t *s)
{
	return s->near ? PACE_NEAR : PACE_FAR;
}

double rt_server_cost(const rt_server_t *s)
{
	return s->pace * (1 + FAIL_COST * s->failing);
}

bool rt_server_is_slow(const rt_server_t *s)
{
	return rt_server_cost(s) > PACE_SLOW;
}

bool rt_server_is_sound(const rt_server_t *s)
{
	return s->failing < FAIL_NONE;
}

double rt_svc_best_pace(const rt_svc_t *svc)
{
	double best = 0;
	size_t i;

	for (i = 0; i < svc->n; i++)
		if (rt_server_usable(svc->v[i]) &&
		    (best == 0 || rt_server_cost(svc->v[i]) < best))
			best = rt_server_cost(svc->v[i]);
	return best;
}

double rt_server_pace(const rt_server_t *s, double best, usec_t now)
{
	double base = best * rt_server_first_pace(s),
	       off = rt_server_cost(s) - base;
	usec_t age = now - s->sampled_at;

	/* What is known to be slow stays so until a probe tells otherwise. */
	if (rt_server_is_slow(s) || off <= 0)
		return rt_server_cost(s);
	for (; age >= PACE_HALF_LIFE && off > PACE_NONE; age -= PACE_HALF_LIFE)
		off /= 2;
	return base + off;
}

/* Crossing the line between well and slow is told to neighbours. */
static void tell_crossing(rt_t *rt, const rt_server_t *s, bool was_slow,
			  usec_t took)
{
	rt_act_t *a;

	if (was_slow == rt_server_is_slow(s))
		return;
	rt_server_log(rt, s, was_slow ? RT_WHY_WELL : RT_WHY_SLOW, took);
	a = rt_act_add(rt, RT_ACT_TELL);
	a->tell.server_id = arena_str(&rt->scratch, s->id);
	a->tell.pace = s->pace;
	a->tell.failing = s->failing;
}

static void note_answer(rt_t *rt, rt_attempt_t *a, usec_t now)
{
	rt_server_t *s = a->server;
	usec_t took = now - a->sent_at;
	double ratio = (double)took / (double)rt_stat_usual(a->stat);
	double weight = PACE_WEIGHT, pace = s->pace;
	bool was_slow = rt_server_is_slow(s);

	if (ratio > PACE_MAX)
		ratio = PACE_MAX;
	if (was_slow && ratio < s->pace)
		weight = RECOVERY_WEIGHT;
	if (!was_slow && s->failing < FAIL_NONE)
		pace = rt_server_pace(s, rt_svc_best_pace(s->svc), now);
	s->sampled_at = now;
	rt_stat_note(a->stat, took);
	rt_wait_note(s->svc, took, now);
	if (a->why == RT_WHY_HEDGE)
		rt_stat_note_second(a->stat, took);
	s->pace = pace + weight * (ratio - pace);
	s->failing -= FAIL_WEIGHT * s->failing;
	if (s->fail_streak > 1)
		rt_server_log(rt, s, RT_WHY_WELL, 0);
	s->fail_streak = 0;
	tell_crossing(rt, s, was_slow, took);
}

void rt_told(rt_t *rt, str_t id, double pace, double failing, usec_t now)
{
	rt_server_t *s = strmap_get(&rt->servers, id);

	if (!s || !(pace > 0) || pace > PACE_MAX || !(failing >= 0) ||
	    failing > 1)
		return;
	if (!rt_server_is_slow(s) && now - s->sampled_at < OWN_WORD)
		return;
	s->pace = pace;
	s->failing = failing;
	s->sampled_at = now;
}

/* It refused a request: it is full, or says so. */
static void note_refusal(rt_t *rt, rt_server_t *s, usec_t now)
{
	bool was_slow = rt_server_is_slow(s);

	s->sampled_at = now;
	s->failing += FAIL_WEIGHT * (1 - s->failing);
	tell_crossing(rt, s, was_slow, 0);
}

static void note_failure(rt_t *rt, rt_server_t *s, rt_result_t r, usec_t now)
{
	bool was_slow = rt_server_is_slow(s);
	usec_t wait = AVOID_MIN;
	unsigned i;

	s->sampled_at = now;
	s->failing += FAIL_WEIGHT * (1 - s->failing);
	for (i = 0; i < s->fail_streak && wait < AVOID_MAX; i++)
		wait *= 2;
	if (wait > AVOID_MAX)
		wait = AVOID_MAX;
	s->fail_streak++;
	/* One lost answer alone is no reason; no connection is. */
	if (s->fail_streak > 1 || s->failing > FAIL_TOO_MANY ||
	    r == RT_NOT_SENT)
		s->avoid_until = now + wait;
	if (s->fail_streak == 1 || s->avoid_until > now)
		rt_server_log(rt, s,
			      r == RT_NOT_SENT ? RT_WHY_NO_SERVER : RT_WHY_LOST,
			      s->avoid_until > now ? s->avoid_until - now : 0);
	tell_crossing(rt, s, was_slow, 0);
}

void rt_server_ended(rt_t *rt, rt_attempt_t *a, rt_result_t r, usec_t now)
{
	rt_server_t *s = a->server;

	unlink_attempt(a);
	switch (r) {
	case RT_ANSWERED:
		note_answer(rt, a, now);
		break;
	case RT_NOT_RUN:
		note_refusal(rt, s, now);
		break;
	case RT_MOVED:
		rt_server_leave(rt, s, RT_WHY_MOVED, now);
		break;
	default:
		note_failure(rt, s, r, now);
		break;
	}
}

void rt_server_dropped(rt_t *rt, rt_attempt_t *a)
{
	rt_server_t *s = a->server;

	unlink_attempt(a);
	idmap_del(&rt->attempts, a->id);
	free(a);
	rt_server_release(rt, s);
}

bool rt_server_wants_probe(const rt_t *rt, const rt_server_t *s, double best,
			   usec_t now)
{
	usec_t period = rt->p.fleet * PROBE_PERIOD_PER_HOST;
	bool fails = s->fail_streak > 1 || s->failing > FAIL_TOO_MANY;

	if (s->inflight || !rt_server_usable(s) || s->lapsed_at)
		return false;
	if (period < PROBE_PERIOD_MIN)
		period = PROBE_PERIOD_MIN;
	if (now - s->probed_at < period)
		return false;
	if (fails)
		return now >= s->avoid_until;
	return rt_server_cost(s) > PACE_SLOW * best &&
	       now - s->sampled_at >= period / 2;
}

/* No answer for so long says as much as a slow one. */
static void note_silence(rt_t *rt, rt_attempt_t *a, usec_t now)
{
	usec_t out = now - a->sent_at;
	bool was_slow;

	if (a->silent || out < SILENT_TIME ||
	    out < SILENT_FACTOR * rt_stat_usual(a->stat))
		return;
	a->silent = true;
	was_slow = rt_server_is_slow(a->server);
	a->server->sampled_at = now;
	a->server->pace = PACE_MAX;
	tell_crossing(rt, a->server, was_slow, out);
}

/* Sends whose time is over are lost; lapsed servers are gone in the end. */
static void sweep_server(rt_t *rt, rt_server_t *s, usec_t now)
{
	rt_attempt_t *a, *next;

	for (a = s->out; a; a = next) {
		next = a->next;
		note_silence(rt, a, now);
		if (now < a->deadline + LATE_GRACE)
			continue;
		rt_act_add(rt, RT_ACT_CANCEL)->aid = a->id;
		rt_ended(rt, a->id, RT_LOST, NULL, now);
		/* What follows may have been ended along with it. */
		return;
	}
	if (s->lapsed_at && now - s->lapsed_at >= RT_LAPSE_WAIT)
		rt_server_leave(rt, s, RT_WHY_GONE, now);
	rt_server_release(rt, s);
}

void rt_server_sweep(rt_t *rt, usec_t now)
{
	uint32_t i;
	rt_server_t *s;

	for (i = 0; i < rt->server_nums.n; i++) {
		s = idmap_at(&rt->server_nums, i);
		if (s && (s->out || s->lapsed_at || s->gone))
			sweep_server(rt, s, now);
	}
}
