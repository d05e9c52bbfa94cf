/**
 * @file rt_query.c
 * A caller's request from its arrival to its only answer.
 *
 * Load patterns: one of many shards is late in most requests (answer in time
 * without it, but never with less than the minimum coverage); all servers of a
 * shard are removed, or more requests arrive than can be served (refuse at once
 * those that cannot be served, with a time to retry after).
 */
#include <stdlib.h>

#include "libroute.h"

/* Time before the caller's deadline at which the final answer is sent. */
#define DEADLINE_MARGIN (5 * USEC_PER_MSEC)
/* Tolerance for rounding errors in a share of shards. */
#define SHARE_EPSILON 1e-9
/* Retry-after time without a server: the typical time until servers return or
 * others are found. */
#define RETRY_AFTER_NO_SERVER (400 * USEC_PER_MSEC)
/* Retry-after time without a configuration: the host is starting, and the first
 * read of the registry takes 0.12 to 0.28 s. */
#define RETRY_AFTER_NO_CONFIG (200 * USEC_PER_MSEC)
/* Retry-after time if the state is old: a takeover and a read of the registry
 * take about half a limit of 3 s, and another host may know more at once. */
#define RETRY_AFTER_STATE_OLD (400 * USEC_PER_MSEC)
/* Least retry-after time: the load hardly changes within the time that one
 * request takes. */
#define RETRY_AFTER_MIN (20 * USEC_PER_MSEC)

static const rt_counter_t counters[RT_OUT_MAX] = {
	[RT_OUT_PASS] = RT_CNT_PASSED,	   [RT_OUT_MERGED] = RT_CNT_COMPLETE,
	[RT_OUT_NOT_RUN] = RT_CNT_REFUSED, [RT_OUT_UNKNOWN] = RT_CNT_UNKNOWN,
	[RT_OUT_TIMEOUT] = RT_CNT_UNKNOWN, [RT_OUT_NO_ROUTE] = RT_CNT_NO_ROUTE,
};

static void query_answer(rt_t *rt, rt_query_t *q, const rt_answer_t *a,
			 usec_t now);

void rt_query_schedule(rt_query_t *q, usec_t at)
{
	if (at < q->next_at)
		q->next_at = at;
}

void rt_query_limit(rt_query_t *q, usec_t at)
{
	if (at >= q->deadline)
		return;
	q->deadline = at;
	if (q->soft_deadline > at)
		q->soft_deadline = at;
	rt_query_schedule(q, q->soft_deadline);
}

/* Refuses a request before a query is created for it. */
static void refuse(rt_t *rt, const rt_request_t *r, rt_outcome_t out,
		   rt_why_t why, usec_t retry_after)
{
	rt_answer_t *a = &rt_act_add(rt, RT_ACT_ANSWER)->answer;

	a->caller = r->caller;
	a->outcome = out;
	a->why = why;
	a->retry_after = retry_after;
	rt->counters[counters[out]]++;
	rt_log(rt, &(rt_log_line_t){ .event = "answer",
				     .why = why,
				     .id = r->id,
				     .result = RT_RESULT_MAX,
				     .age = -1,
				     .info = true });
}

static size_t min_shards(const rt_query_t *q)
{
	size_t n;

	if (q->route->mode == RT_ONE_SERVICE)
		return 1;
	for (n = 1; n < q->nshards; n++)
		if ((double)n / (double)q->nshards >=
		    q->route->min_coverage - SHARE_EPSILON)
			break;
	return n;
}

static bool nothing_may_have_run(const rt_query_t *q)
{
	size_t i;

	for (i = 0; i < q->nshards; i++)
		if (q->shards[i].may_have_run)
			return false;
	return true;
}

/* Counts the shards that can answer before the deadline. Stores in q->shortfall
 * the longest time by which any other shard would miss it. */
static size_t count_answerable(const rt_t *rt, rt_query_t *q, usec_t now)
{
	size_t n = 0, i;
	usec_t shortfall;

	for (i = 0; i < q->nshards; i++) {
		if (rt_svc_pause(q->shards[i].svc, now) != 0)
			continue;
		shortfall = now +
			    rt_wait_expected(rt, q->shards[i].svc, q, now) -
			    q->deadline;
		if (shortfall <= 0)
			n++;
		else if (shortfall > q->shortfall)
			q->shortfall = shortfall;
	}
	return n;
}

static void init_shards(rt_query_t *q)
{
	const rt_route_t *r = q->route;
	size_t i, at;

	q->nshards = r->mode == RT_SHARDS ? r->ntargets : 1;
	q->shards = xcalloc(q->nshards, sizeof(*q->shards));
	for (i = 0; i < q->nshards; i++) {
		at = r->mode == RT_SHARDS ? i : rt_view_next_target(q->view, r);
		q->shards[i].q = q;
		q->shards[i].svc = q->view->svcs[r->targets[at].service_index];
	}
}

static rt_stat_t *stat_of(const rt_view_t *v, const rt_route_t *route)
{
	return v->stats[route - v->conf->routes];
}

/* Time until the deadline, below 0 if it passed while the request waited
 * unread: its caller has counted since it sent the request. */
static usec_t time_left_of(const rt_request_t *r, const rt_route_t *route)
{
	if (r->time_left > 0 && r->time_left < route->deadline)
		return r->time_left - r->unread;
	return route->deadline - r->unread;
}

static rt_query_t *query_new(rt_t *rt, const rt_request_t *r,
			     const rt_route_t *route, usec_t now)
{
	rt_query_t *q = xcalloc(1, sizeof(*q));

	q->num = idmap_add(&rt->queries, q);
	q->caller = r->caller;
	q->id = str_dup(r->id);
	q->view = rt->view;
	q->view->refs++;
	q->route = route;
	q->stat = stat_of(q->view, route);
	rt_work_classify(rt, q, r, now);
	q->arrived_at = now;
	q->deadline = now + time_left_of(r, route) - DEADLINE_MARGIN;
	q->soft_deadline = now + route->objective - r->unread -
			   r->network_time - rt_own_time(rt);
	if (q->soft_deadline > q->deadline || route->objective <= 0)
		q->soft_deadline = q->deadline;
	q->next_at = q->soft_deadline;
	if (rt->stop.step != RT_STOP_NONE)
		rt_query_limit(q, rt->stop.answer_by);
	init_shards(q);
	q->next = rt->open;
	if (q->next)
		q->next->prev = q;
	rt->open = q;
	rt->nopen++;
	return q;
}

void rt_query_free(rt_t *rt, rt_query_t *q)
{
	size_t i;

	for (i = 0; i < q->nshards; i++)
		rt_reply_unref(q->shards[i].reply);
	if (q->prev)
		q->prev->next = q->next;
	else
		rt->open = q->next;
	if (q->next)
		q->next->prev = q->prev;
	rt->nopen--;
	idmap_del(&rt->queries, q->num);
	rt_view_unref(q->view);
	str_free(q->id);
	free(q->shards);
	free(q);
}

static void detach_shards(rt_t *rt, rt_query_t *q, bool cancel)
{
	size_t i;

	for (i = 0; i < q->nshards; i++)
		rt_shard_detach(rt, &q->shards[i], cancel);
}

static void query_answer(rt_t *rt, rt_query_t *q, const rt_answer_t *a,
			 usec_t now)
{
	rt_answer_t *to;

	if (q->finished)
		return;
	q->finished = true;
	rt->counters[counters[a->outcome]]++;
	rt_hist_add(&rt->requests[a->outcome], now - q->arrived_at);
	if (a->outcome == RT_OUT_MERGED && a->missing) {
		rt->counters[RT_CNT_COMPLETE]--;
		rt->counters[RT_CNT_PARTIAL]++;
	}
	rt_log(rt, &(rt_log_line_t){ .event = "answer",
				     .why = a->why,
				     .id = q->id,
				     .n = q->ndone,
				     .result = RT_RESULT_MAX,
				     .value = now - q->arrived_at,
				     .age = -1,
				     .version = q->view->conf->revision,
				     .info = a->outcome > RT_OUT_MERGED ||
					     a->missing });
	to = &rt_act_add(rt, RT_ACT_ANSWER)->answer;
	*to = *a;
	to->caller = q->caller;
	/* Cancels the sends of a failed request: their work would be wasted. */
	detach_shards(rt, q,
		      a->outcome == RT_OUT_UNKNOWN ||
			      a->outcome == RT_OUT_NOT_RUN);
	q->next_at = now;
}

/* Time until each shard has a server that accepts requests: the longest, over
 * the shards, of the least pauses of their servers. */
static usec_t longest_pause(const rt_query_t *q, usec_t now)
{
	usec_t longest = RETRY_AFTER_MIN, pause;
	size_t i;

	for (i = 0; i < q->nshards; i++) {
		pause = rt_svc_pause(q->shards[i].svc, now);
		if (pause > longest)
			longest = pause;
	}
	return longest;
}

/* Time after which the caller should retry. By then the queue is short enough
 * for one more request to be answered before its deadline. */
static usec_t retry_after_time(const rt_query_t *q, rt_why_t why, usec_t now)
{
	usec_t t = rt_stat_mean(q->stat);

	if (why == RT_WHY_PAUSED)
		return longest_pause(q, now);
	if (why == RT_WHY_NO_SERVER)
		return RETRY_AFTER_NO_SERVER;
	if (why == RT_WHY_SCARCE)
		return q->shortfall;
	if (t < q->shortfall)
		t = q->shortfall;
	return t > RETRY_AFTER_MIN ? t : RETRY_AFTER_MIN;
}

static void answer_failure(rt_t *rt, rt_query_t *q, rt_why_t why, usec_t now)
{
	rt_answer_t a = { .why = why, .outcome = RT_OUT_UNKNOWN };

	if (q->route->mode == RT_ONE_SERVICE && q->shards[0].reply) {
		a.outcome = RT_OUT_PASS;
		a.reply = q->shards[0].reply;
	} else if (nothing_may_have_run(q)) {
		a.outcome = RT_OUT_NOT_RUN;
		a.retry_after = retry_after_time(q, why, now);
	} else if (why == RT_WHY_DEADLINE) {
		a.outcome = RT_OUT_TIMEOUT;
	}
	query_answer(rt, q, &a, now);
}

static void answer_merged(rt_t *rt, rt_query_t *q, rt_why_t why, usec_t now)
{
	const rt_route_t *r = q->route;
	str_t *stamps = arena_alloc(&rt->scratch, q->ndone * sizeof(*stamps));
	str_t *bodies = arena_alloc(&rt->scratch, q->ndone * sizeof(*bodies));
	rt_answer_t a = { .outcome = RT_OUT_MERGED, .why = why };
	size_t n = 0, i, records;
	char *out;

	for (i = 0; i < q->nshards; i++) {
		const rt_reply_t *rep = q->shards[i].reply;

		if (q->shards[i].state != RT_SH_DONE)
			continue;
		stamps[n] = arena_str(&rt->scratch, rep->stamp);
		bodies[n++] = rep->body;
	}
	a.stamps = stamps;
	a.nstamps = n;
	a.missing = q->nshards - n;
	a.due_at = why == RT_WHY_OBJECTIVE ? q->soft_deadline : 0;
	records = rt_merged_records(bodies, n, r->record_bytes, r->max_records);
	out = arena_alloc(&rt->scratch, records * r->record_bytes);
	a.body = (str_t){ out, rt_merge(bodies, n, r->record_bytes,
					r->max_records, out) };
	query_answer(rt, q, &a, now);
}

static void answer_pass(rt_t *rt, rt_query_t *q, usec_t now)
{
	rt_answer_t a = { .outcome = RT_OUT_PASS, .why = RT_WHY_COMPLETE };

	a.reply = q->shards[0].reply;
	query_answer(rt, q, &a, now);
}

/* The reason of the first shard that failed. */
static rt_why_t first_failure(const rt_query_t *q)
{
	size_t i;

	for (i = 0; i < q->nshards; i++)
		if (q->shards[i].state == RT_SH_FAILED)
			return q->shards[i].why;
	return RT_WHY_COVERAGE;
}

void rt_query_try_answer(rt_t *rt, rt_query_t *q, usec_t now)
{
	size_t least = min_shards(q);
	bool all_ended = q->ndone + q->nfailed == q->nshards;

	if (q->finished)
		return;
	if (q->route->mode == RT_ONE_SERVICE) {
		if (q->ndone)
			answer_pass(rt, q, now);
		else if (q->nfailed)
			answer_failure(rt, q, first_failure(q), now);
		return;
	}
	if (q->ndone == q->nshards)
		answer_merged(rt, q, RT_WHY_COMPLETE, now);
	else if (q->ndone >= least && (all_ended || now >= q->soft_deadline))
		answer_merged(rt, q,
			      all_ended ? first_failure(q) : RT_WHY_OBJECTIVE,
			      now);
	else if (q->nshards - q->nfailed < least)
		answer_failure(rt, q, first_failure(q), now);
}

static void start_shards(rt_t *rt, rt_query_t *q, usec_t now)
{
	size_t i;

	for (i = 0; !q->finished && i < q->nshards; i++)
		if (q->shards[i].state == RT_SH_IDLE)
			rt_shard_start(rt, &q->shards[i], RT_WHY_FIRST, now);
}

static bool state_is_old(const rt_t *rt, usec_t now)
{
	usec_t max = rt->p.max_state_age;

	return max && (!rt->state_as_of || now - rt->state_as_of > max);
}

/* Refuses a request that matches no route. Callers don't repeat it after
 * RT_OUT_NO_ROUTE, so that must be certain. */
static void refuse_unknown(rt_t *rt, const rt_request_t *r, usec_t now)
{
	if (state_is_old(rt, now))
		refuse(rt, r, RT_OUT_NOT_RUN, RT_WHY_STATE_OLD,
		       RETRY_AFTER_STATE_OLD);
	else
		refuse(rt, r, RT_OUT_NO_ROUTE, RT_WHY_NO_ROUTE, 0);
}

/* Why count_answerable() found too few shards. */
static rt_why_t why_not_answerable(const rt_query_t *q, usec_t now)
{
	size_t i;

	for (i = 0; i < q->nshards; i++)
		if (rt_svc_pause(q->shards[i].svc, now) > 0)
			return RT_WHY_PAUSED;
	return q->shortfall ? RT_WHY_OVERLOAD : RT_WHY_NO_SERVER;
}

void rt_request(rt_t *rt, const rt_request_t *r, usec_t now)
{
	const rt_route_t *route;
	rt_query_t *q;

	rt->counters[RT_CNT_REQUESTS]++;
	rt->stop.last_request_at = now;
	if (!rt->view) {
		refuse(rt, r, RT_OUT_NOT_RUN, RT_WHY_NO_CONFIG,
		       RETRY_AFTER_NO_CONFIG);
		return;
	}
	route = rt_conf_route(rt->view->conf, r->host, r->path);
	if (!route) {
		refuse_unknown(rt, r, now);
		return;
	}
	if (!rt_stop_takes(&rt->stop, route, stat_of(rt->view, route),
			   time_left_of(r, route), now)) {
		refuse(rt, r, RT_OUT_NOT_RUN, RT_WHY_STOPPING, RETRY_AFTER_MIN);
		return;
	}
	q = query_new(rt, r, route, now);
	rt_scarce_count(q, now);
	if (now >= q->deadline)
		answer_failure(rt, q, RT_WHY_DEADLINE, now);
	else if (count_answerable(rt, q, now) < min_shards(q))
		answer_failure(rt, q, why_not_answerable(q, now), now);
	else if (!rt_scarce_admit(rt, q, min_shards(q), now))
		answer_failure(rt, q, RT_WHY_SCARCE, now);
	else
		start_shards(rt, q, now);
}

static rt_query_t *find_open_query(const rt_t *rt, const void *caller)
{
	rt_query_t *q;

	for (q = rt->open; q; q = q->next)
		if (q->caller == caller && !q->finished)
			return q;
	return NULL;
}

void rt_caller_closed(rt_t *rt, void *caller, usec_t now)
{
	rt_query_t *q = find_open_query(rt, caller);

	if (!q)
		return;
	rt->counters[RT_CNT_CALLER_CLOSED]++;
	rt_log(rt, &(rt_log_line_t){ .event = "answer",
				     .why = RT_WHY_CALLER_CLOSED,
				     .id = q->id,
				     .n = q->ndone,
				     .result = RT_RESULT_MAX,
				     .value = now - q->arrived_at,
				     .age = -1,
				     .version = q->view->conf->revision });
	q->finished = true;
	q->next_at = now;
	detach_shards(rt, q, true);
}

static void answer_at_deadline(rt_t *rt, rt_query_t *q, usec_t now)
{
	if (q->route->mode == RT_SHARDS && q->ndone >= min_shards(q))
		answer_merged(rt, q, RT_WHY_DEADLINE, now);
	else
		answer_failure(rt, q, RT_WHY_DEADLINE, now);
}

static void query_run_timers(rt_t *rt, rt_query_t *q, usec_t now)
{
	size_t i;

	q->next_at = q->deadline;
	if (now < q->soft_deadline)
		rt_query_schedule(q, q->soft_deadline);
	for (i = 0; !q->finished && i < q->nshards; i++) {
		rt_shard_run_timers(rt, &q->shards[i], now);
		if (!q->finished && q->shards[i].hedge_at)
			rt_query_schedule(q, q->shards[i].hedge_at);
		if (!q->finished && q->shards[i].retry_at)
			rt_query_schedule(q, q->shards[i].retry_at);
	}
	if (!q->finished && now >= q->soft_deadline)
		rt_query_try_answer(rt, q, now);
	if (!q->finished && now >= q->deadline)
		answer_at_deadline(rt, q, now);
}

void rt_queries_resume(rt_t *rt, usec_t now)
{
	rt_query_t *q;
	size_t i;

	for (q = rt->open; q; q = q->next)
		for (i = 0; i < q->nshards; i++)
			if (q->shards[i].retry_at) {
				q->shards[i].retry_at = now;
				rt_query_schedule(q, now);
			}
	rt_queries_run_timers(rt, now);
}

void rt_queries_run_timers(rt_t *rt, usec_t now)
{
	rt_query_t *q, *next;

	for (q = rt->open; q; q = next) {
		next = q->next;
		if (q->next_at <= now && !q->finished)
			query_run_timers(rt, q, now);
	}
}

void rt_queries_sweep(rt_t *rt)
{
	rt_query_t *q, *next;

	for (q = rt->open; q; q = next) {
		next = q->next;
		if (q->finished)
			rt_query_free(rt, q);
	}
}
