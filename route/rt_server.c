/**
 * @file rt_server.c
 * Estimates for each server how fast it answers (its pace) and what share of
 * requests it refuses or fails. The sources are this host's own sends and,
 * where those are not recent, reports of other hosts.
 *
 * Load patterns: servers that pause for a moment, become slow, stop answering,
 * or refuse or fail some of their requests; full servers that ask for a time
 * without requests, of which probes, hedges and retries would make it more.
 */
#include <stdlib.h>

#include "libroute.h"

/* A pace is a latency as a multiple of the route's mean latency. */
#define PACE_WEIGHT 0.2		/* weight of a new answer in the pace */
#define PACE_MAX 6.0		/* cap of samples; higher reports are ignored */
#define PACE_INITIAL_LOCAL 1.0	/* before the first answer */
#define PACE_INITIAL_REMOTE 1.3 /* the same, in another data centre */
/* Half-life of the deviation from the best cost while there are no answers. */
#define COST_HALF_LIFE USEC_PER_SEC
#define COST_EPSILON 0.01 /* deviations up to this one stop decaying */
/* Cost above which a server counts as slow. A server whose cost is above
 * this multiple of the best one gets probes, but hardly any other requests. */
#define COST_SLOW 1.8
#define FAIL_WEIGHT 0.1	     /* weight of a new send in the failure share */
#define FAIL_COST 6.0	     /* cost of a failed send, in mean latencies */
#define FAIL_NEGLIGIBLE 0.02 /* failure shares below it are ignored */
#define FAIL_AVOID 0.2	     /* failure share above which a server is avoided */
/* Time for which a server is avoided, doubled with each failure in a row. The
 * least time covers a short pause of a server, the greatest one the time until
 * the registry removes a server that stopped. */
#define AVOID_MIN (150 * USEC_PER_MSEC)
#define AVOID_MAX (2 * USEC_PER_SEC)
/* A server gets at most about eight probes a second from all hosts together. */
#define PROBE_PERIOD_PER_HOST (120 * USEC_PER_MSEC)
#define PROBE_PERIOD_MIN (500 * USEC_PER_MSEC)
/* Weight of a faster answer in the pace of a slow server. */
#define RECOVERY_WEIGHT 0.75
/* A send without an answer for SILENT_MIN, and for SILENT_FACTOR mean
 * latencies, means a slow server rather than one in a short pause. */
#define SILENT_MIN (300 * USEC_PER_MSEC)
#define SILENT_FACTOR 6
/* Time after an own sample in which reports of other hosts are ignored, unless
 * the server counts as slow. */
#define OWN_SAMPLE_FRESH (1 * USEC_PER_SEC)
/* Time from the deadline of a send until it counts as lost. */
#define DEADLINE_GRACE (40 * USEC_PER_MSEC)
/* Fraction of a server's connections that is used; the rest covers changes of
 * the number of hosts. */
#define CONNECTIONS_USED 0.95

bool rt_server_usable(const rt_server_t *s)
{
	return !s->draining && !s->removed && !s->evacuated;
}

bool rt_server_accepts(const rt_server_t *s, usec_t now)
{
	return rt_server_usable(s) && now >= s->paused_until;
}

usec_t rt_svc_pause(const rt_svc_t *svc, usec_t now)
{
	usec_t least = -1, pause;
	size_t i;

	for (i = 0; i < svc->n; i++) {
		if (rt_server_stands_in(svc->v[i], now))
			return 0;
		if (!rt_server_usable(svc->v[i]))
			continue;
		pause = svc->v[i]->paused_until - now;
		if (pause < 0)
			pause = 0;
		if (least < 0 || pause < least)
			least = pause;
	}
	return least;
}

void rt_on_server_pause(rt_t *rt, uint64_t server, usec_t pause, usec_t now)
{
	rt_server_t *s = idmap_get(&rt->server_nums, server);

	if (!s || pause <= 0)
		return;
	if (pause > RT_MAX_PAUSE)
		pause = RT_MAX_PAUSE;
	rt->counters[RT_CNT_PAUSES]++;
	if (now + pause <= s->paused_until)
		return;
	s->paused_until = now + pause;
	rt_server_log(rt, s, RT_WHY_PAUSED, pause);
}

unsigned rt_server_max_inflight(const rt_t *rt, const rt_server_t *s)
{
	double share = CONNECTIONS_USED * s->svc->connections / rt->p.hosts;

	return share < 1 ? 1 : (unsigned)share;
}

void rt_server_add_attempt(rt_server_t *s, rt_attempt_t *a)
{
	a->prev = NULL;
	a->next = s->attempts;
	if (a->next)
		a->next->prev = a;
	s->attempts = a;
	s->inflight++;
}

void rt_server_mark_late(rt_attempt_t *a)
{
	if (a->counted_late)
		return;
	a->counted_late = true;
	a->server->nlate++;
}

static void unlink_attempt(rt_attempt_t *a)
{
	rt_server_t *s = a->server;

	if (a->prev)
		a->prev->next = a->next;
	else
		s->attempts = a->next;
	if (a->next)
		a->next->prev = a->prev;
	s->inflight--;
	if (a->counted_late)
		s->nlate--;
}

void rt_server_log(rt_t *rt, const rt_server_t *s, rt_why_t why, usec_t value)
{
	rt_log(rt, &(rt_log_line_t){ .event = "server",
				     .why = why,
				     .service = s->svc->name,
				     .server = s->id,
				     .result = RT_RESULT_MAX,
				     .value = value,
				     .age = -1,
				     .info = true });
}

double rt_server_initial_pace(const rt_server_t *s)
{
	return s->same_dc ? PACE_INITIAL_LOCAL : PACE_INITIAL_REMOTE;
}

double rt_server_cost(const rt_server_t *s)
{
	return s->pace * (1 + FAIL_COST * s->failing);
}

bool rt_server_is_slow(const rt_server_t *s)
{
	return rt_server_cost(s) > COST_SLOW;
}

bool rt_server_is_reliable(const rt_server_t *s)
{
	return s->failing < FAIL_NEGLIGIBLE;
}

double rt_svc_best_cost(const rt_svc_t *svc)
{
	double best = 0;
	size_t i;

	for (i = 0; i < svc->n; i++)
		if (rt_server_usable(svc->v[i]) &&
		    (best == 0 || rt_server_cost(svc->v[i]) < best))
			best = rt_server_cost(svc->v[i]);
	return best;
}

double rt_server_current_cost(const rt_server_t *s, double best, usec_t now)
{
	double base = best * rt_server_initial_pace(s),
	       deviation = rt_server_cost(s) - base;
	usec_t age = now - s->evidence_at;

	/* Slow servers recover only by answers to probes, not over time. */
	if (rt_server_is_slow(s) || deviation <= 0)
		return rt_server_cost(s);
	for (; age >= COST_HALF_LIFE && deviation > COST_EPSILON;
	     age -= COST_HALF_LIFE)
		deviation /= 2;
	return base + deviation;
}

/* Logs a change between slow and not slow, and reports it to other hosts. */
static void report_if_changed(rt_t *rt, const rt_server_t *s, bool was_slow,
			      usec_t latency)
{
	rt_act_t *a;

	if (was_slow == rt_server_is_slow(s))
		return;
	rt_server_log(rt, s, was_slow ? RT_WHY_RECOVERED : RT_WHY_SLOW,
		      latency);
	a = rt_act_add(rt, RT_ACT_REPORT_PACE);
	a->pace_report.server_id = arena_str(&rt->scratch, s->id);
	a->pace_report.pace = s->pace;
	a->pace_report.failing = s->failing;
}

static void record_answer(rt_t *rt, rt_attempt_t *a, usec_t now)
{
	rt_server_t *s = a->server;
	usec_t latency = now - a->sent_at;
	/* As that of a request of mean cost: the means are of such. */
	usec_t usual = (usec_t)((double)latency / a->cost);
	double ratio = (double)usual / (double)rt_stat_mean(a->stat);
	double weight = PACE_WEIGHT, pace = s->pace;
	bool was_slow = rt_server_is_slow(s);

	if (ratio > PACE_MAX)
		ratio = PACE_MAX;
	if (was_slow && ratio < s->pace)
		weight = RECOVERY_WEIGHT;
	if (!was_slow && s->failing < FAIL_NEGLIGIBLE)
		pace = rt_server_current_cost(s, rt_svc_best_cost(s->svc), now);
	rt_load_answered(a, ratio / s->pace);
	s->evidence_at = now;
	rt_work_answered(rt, a, now);
	rt_stat_add(a->stat, usual, now);
	rt_wait_add_latency(s->svc, usual, now);
	if (a->why == RT_WHY_HEDGE)
		rt_stat_add_hedge(a->stat, usual);
	s->pace = pace + weight * (ratio - pace);
	s->failing -= FAIL_WEIGHT * s->failing;
	if (s->fail_streak > 1)
		rt_server_log(rt, s, RT_WHY_RECOVERED, 0);
	s->fail_streak = 0;
	report_if_changed(rt, s, was_slow, latency);
}

void rt_on_peer_report(rt_t *rt, str_t id, double pace, double failing,
		       usec_t now)
{
	rt_server_t *s = strmap_get(&rt->servers, id);

	if (!s || !(pace > 0) || pace > PACE_MAX || !(failing >= 0) ||
	    failing > 1)
		return;
	if (!rt_server_is_slow(s) && now - s->evidence_at < OWN_SAMPLE_FRESH)
		return;
	s->pace = pace;
	s->failing = failing;
	s->evidence_at = now;
}

/* Updates the estimate of a server that refused a request, for instance
 * because it is full. */
static void record_refusal(rt_t *rt, rt_server_t *s, usec_t now)
{
	bool was_slow = rt_server_is_slow(s);

	s->evidence_at = now;
	s->failing += FAIL_WEIGHT * (1 - s->failing);
	report_if_changed(rt, s, was_slow, 0);
}

static void record_failure(rt_t *rt, rt_server_t *s, rt_result_t r, usec_t now)
{
	bool was_slow = rt_server_is_slow(s);
	usec_t avoid_time = AVOID_MIN;
	unsigned i;

	s->evidence_at = now;
	s->failing += FAIL_WEIGHT * (1 - s->failing);
	for (i = 0; i < s->fail_streak && avoid_time < AVOID_MAX; i++)
		avoid_time *= 2;
	if (avoid_time > AVOID_MAX)
		avoid_time = AVOID_MAX;
	s->fail_streak++;
	/* One lost answer is not enough to avoid the server; a failed
	 * connection is. */
	if (s->fail_streak > 1 || s->failing > FAIL_AVOID || r == RT_NOT_SENT)
		s->avoid_until = now + avoid_time;
	if (s->fail_streak == 1 || s->avoid_until > now)
		rt_server_log(rt, s,
			      r == RT_NOT_SENT ? RT_WHY_NO_SERVER : RT_WHY_LOST,
			      s->avoid_until > now ? s->avoid_until - now : 0);
	report_if_changed(rt, s, was_slow, 0);
}

void rt_server_send_ended(rt_t *rt, rt_attempt_t *a, rt_result_t r, usec_t now)
{
	rt_server_t *s = a->server;

	unlink_attempt(a);
	switch (r) {
	case RT_ANSWERED:
		record_answer(rt, a, now);
		break;
	case RT_NOT_RUN:
		record_refusal(rt, s, now);
		break;
	case RT_MOVED:
		rt_server_mark_leaving(rt, s, RT_WHY_MOVED, now);
		break;
	case RT_EXPIRED: /* says nothing about the server */
		break;
	case RT_NOT_SENT:
		/* This host ended the send itself: that says nothing about the
		 * server. */
		if (!s->evacuated)
			record_failure(rt, s, r, now);
		break;
	default:
		record_failure(rt, s, r, now);
		break;
	}
}

void rt_server_drop_attempt(rt_t *rt, rt_attempt_t *a)
{
	rt_server_t *s = a->server;

	unlink_attempt(a);
	idmap_del(&rt->attempts, a->id);
	free(a);
	rt_server_free_if_idle(rt, s);
}

bool rt_server_needs_probe(const rt_t *rt, const rt_server_t *s, double best,
			   usec_t now)
{
	usec_t period = rt->p.hosts * PROBE_PERIOD_PER_HOST;
	bool fails = s->fail_streak > 1 || s->failing > FAIL_AVOID;

	if (s->inflight || !rt_server_accepts(s, now) || s->lapsed_at ||
	    !rt_warmup_allows(rt, s, now))
		return false;
	if (period < PROBE_PERIOD_MIN)
		period = PROBE_PERIOD_MIN;
	if (now - s->probed_at < period)
		return false;
	if (fails)
		return now >= s->avoid_until;
	return rt_server_cost(s) > COST_SLOW * best &&
	       now - s->evidence_at >= period / 2;
}

/* Treats a long time without an answer like a slow answer. */
static void record_silence(rt_t *rt, rt_attempt_t *a, usec_t now)
{
	usec_t elapsed = now - a->sent_at;
	bool was_slow;

	if (a->counted_slow || elapsed < SILENT_MIN ||
	    elapsed < SILENT_FACTOR * rt_stat_mean(a->stat) *
			      (a->cost > 1 ? a->cost : 1))
		return;
	a->counted_slow = true;
	was_slow = rt_server_is_slow(a->server);
	a->server->evidence_at = now;
	a->server->pace = PACE_MAX;
	report_if_changed(rt, a->server, was_slow, elapsed);
}

/* Ends as lost a send whose deadline has passed; removes the server if its
 * lease lapsed and it did not register again in time. */
static void sweep_server(rt_t *rt, rt_server_t *s, usec_t now)
{
	rt_attempt_t *a, *next;

	for (a = s->attempts; a; a = next) {
		next = a->next;
		record_silence(rt, a, now);
		if (now < a->deadline + DEADLINE_GRACE)
			continue;
		rt_act_add(rt, RT_ACT_CANCEL)->aid = a->id;
		rt_send_ended(rt, a->id, RT_LOST, NULL, now);
		/* rt_send_ended() may have freed the next attempts or the
		 * server. */
		return;
	}
	if (s->serves_until && now >= s->serves_until) {
		s->serves_until = 0;
		rt_act_add(rt, RT_ACT_CLOSE)->server.server = s->num;
	}
	if (s->lapsed_at && now - s->lapsed_at >= RT_LAPSE_GRACE)
		rt_server_mark_leaving(rt, s, RT_WHY_REMOVED, now);
	rt_server_free_if_idle(rt, s);
}

void rt_servers_sweep(rt_t *rt, usec_t now)
{
	uint32_t i;
	rt_server_t *s;

	for (i = 0; i < rt->server_nums.nslots; i++) {
		s = idmap_at(&rt->server_nums, i);
		if (s && (s->attempts || s->lapsed_at || s->removed ||
			  s->serves_until))
			sweep_server(rt, s, now);
	}
}
