/**
 * @file rt_query.c
 * A caller's request from its arrival to its one answer.
 *
 * Load patterns: one of many shards is late in most requests (answer in time
 * with what there is, never below the least share); all servers of a shard
 * are gone, or more comes than can be served (refuse at once what cannot be
 * served, and say when to come back).
 */
#include <stdlib.h>

#include "libroute.h"

/* The final answer is on its way so long before the time ends. */
#define DEADLINE_MARGIN (5 * USEC_PER_MSEC)
/* Rounding of a share of shards. */
#define SHARE_EPSILON 1e-9
/* Without a server: they are back, or others found, about so much later. */
#define RETRY_NO_SERVER (400 * USEC_PER_MSEC)
/* A host without one is starting: its first list takes 0.12 to 0.28 s. */
#define RETRY_NO_CONFIG (200 * USEC_PER_MSEC)
/* Sooner than one request usually takes, nothing has changed. */
#define RETRY_MIN (20 * USEC_PER_MSEC)

static const rt_counter_t counters[RT_OUT_MAX] = {
	[RT_OUT_PASS] = RT_CNT_PASSED,	   [RT_OUT_MERGED] = RT_CNT_COMPLETE,
	[RT_OUT_NOT_RUN] = RT_CNT_REFUSED, [RT_OUT_UNKNOWN] = RT_CNT_UNKNOWN,
	[RT_OUT_TIMEOUT] = RT_CNT_UNKNOWN, [RT_OUT_NO_ROUTE] = RT_CNT_NO_ROUTE,
};

static void query_answer(rt_t *rt, rt_query_t *q, const rt_answer_t *a,
			 usec_t now);

void rt_query_wake(rt_query_t *q, usec_t at)
{
	if (at < q->next_at)
		q->next_at = at;
}

/* Refuses a request that no state was made for. */
static void refuse(rt_t *rt, const rt_request_t *r, rt_outcome_t out,
		   rt_why_t why, usec_t retry_after)
{
	rt_answer_t *a = &rt_act_add(rt, RT_ACT_ANSWER)->answer;

	a->caller = r->caller;
	a->outcome = out;
	a->why = why;
	a->retry_after = retry_after;
	rt->counters[counters[out]]++;
	rt_log(rt, &(rt_line_t){ .what = "answer",
				 .why = why,
				 .id = r->id,
				 .result = RT_RESULT_MAX,
				 .age = -1,
				 .failure = true });
}

static size_t least_shards(const rt_query_t *q)
{
	size_t n;

	if (q->route->mode == RT_ONE)
		return 1;
	for (n = 1; n < q->nshards; n++)
		if ((double)n / (double)q->nshards >=
		    q->route->least - SHARE_EPSILON)
			break;
	return n;
}

static bool nothing_ran(const rt_query_t *q)
{
	size_t i;

	for (i = 0; i < q->nshards; i++)
		if (q->shards[i].ran)
			return false;
	return true;
}

static bool service_alive(const rt_svc_t *svc)
{
	size_t i;

	for (i = 0; i < svc->n; i++)
		if (rt_server_usable(svc->v[i]))
			return true;
	return false;
}

/* Shards that can answer in time; notes the most time that one lacks. */
static size_t can_answer(const rt_t *rt, rt_query_t *q, usec_t now)
{
	size_t n = 0, i;
	usec_t lacks;

	for (i = 0; i < q->nshards; i++) {
		if (!service_alive(q->shards[i].svc))
			continue;
		lacks = now + rt_wait_expected(rt, q->shards[i].svc, q, now) -
			q->deadline;
		if (lacks <= 0)
			n++;
		else if (lacks > q->lacks)
			q->lacks = lacks;
	}
	return n;
}

static void lay_out(rt_query_t *q)
{
	const rt_route_t *r = q->route;
	size_t i, at;

	q->nshards = r->mode == RT_SHARDS ? r->ntargets : 1;
	q->shards = xcalloc(q->nshards, sizeof(*q->shards));
	for (i = 0; i < q->nshards; i++) {
		at = r->mode == RT_SHARDS ? i : rt_view_turn(q->view, r);
		q->shards[i].q = q;
		q->shards[i].svc = q->view->svcs[r->targets[at].service];
	}
}

static rt_query_t *query_new(rt_t *rt, const rt_request_t *r,
			     const rt_route_t *route, usec_t now)
{
	rt_query_t *q = xcalloc(1, sizeof(*q));
	usec_t left = route->timeout;

	if (r->left > 0 && r->left < left)
		left = r->left;
	q->num = idmap_add(&rt->queries, q);
	q->caller = r->caller;
	q->id = str_dup(r->id);
	q->view = rt->view;
	q->view->refs++;
	q->route = route;
	q->stat = q->view->stats[route - q->view->conf->routes];
	q->arrived = now;
	q->deadline = now + left - DEADLINE_MARGIN;
	q->soft = now + route->objective - rt->p.caller_link;
	if (q->soft > q->deadline || route->objective <= 0)
		q->soft = q->deadline;
	q->next_at = q->soft;
	lay_out(q);
	q->next = rt->open;
	if (q->next)
		q->next->prev = q;
	rt->open = q;
	rt->nopen++;
	return q;
}

void rt_query_end(rt_t *rt, rt_query_t *q)
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

static void detach(rt_t *rt, rt_query_t *q, bool break_off)
{
	size_t i;

	for (i = 0; i < q->nshards; i++)
		rt_shard_detach(rt, &q->shards[i], break_off);
}

static void query_answer(rt_t *rt, rt_query_t *q, const rt_answer_t *a,
			 usec_t now)
{
	rt_answer_t *to;

	if (q->over)
		return;
	q->over = true;
	rt->counters[counters[a->outcome]]++;
	rt_hist_add(&rt->requests[a->outcome], now - q->arrived);
	if (a->outcome == RT_OUT_MERGED && a->missing) {
		rt->counters[RT_CNT_COMPLETE]--;
		rt->counters[RT_CNT_PARTIAL]++;
	}
	rt_log(rt, &(rt_line_t){ .what = "answer",
				 .why = a->why,
				 .id = q->id,
				 .n = q->ndone,
				 .result = RT_RESULT_MAX,
				 .value = now - q->arrived,
				 .age = -1,
				 .version = q->view->conf->version,
				 .failure = a->outcome > RT_OUT_MERGED ||
					    a->missing });
	to = &rt_act_add(rt, RT_ACT_ANSWER)->answer;
	*to = *a;
	to->caller = q->caller;
	/* A request that was given up is not worth its servers' work. */
	detach(rt, q,
	       a->outcome == RT_OUT_UNKNOWN || a->outcome == RT_OUT_NOT_RUN);
	q->next_at = now;
}

/* When it is worth while to come back. What waits now has gone so far by then
 * that there is time enough for one more. */
static usec_t retry_time(const rt_query_t *q, rt_why_t why)
{
	usec_t t = rt_stat_usual(q->stat);

	if (why == RT_WHY_NO_SERVER)
		return RETRY_NO_SERVER;
	if (t < q->lacks)
		t = q->lacks;
	return t > RETRY_MIN ? t : RETRY_MIN;
}

static void answer_failure(rt_t *rt, rt_query_t *q, rt_why_t why, usec_t now)
{
	rt_answer_t a = { .why = why, .outcome = RT_OUT_UNKNOWN };

	if (q->route->mode == RT_ONE && q->shards[0].reply) {
		a.outcome = RT_OUT_PASS;
		a.reply = q->shards[0].reply;
	} else if (nothing_ran(q)) {
		a.outcome = RT_OUT_NOT_RUN;
		a.retry_after = retry_time(q, why);
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
	char *out = arena_alloc(&rt->scratch, r->top * r->record_bytes);
	rt_answer_t a = { .outcome = RT_OUT_MERGED, .why = why };
	size_t n = 0, i;

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
	a.body = (str_t){ out,
			  rt_merge(bodies, n, r->record_bytes, r->top, out) };
	query_answer(rt, q, &a, now);
}

static void answer_pass(rt_t *rt, rt_query_t *q, usec_t now)
{
	rt_answer_t a = { .outcome = RT_OUT_PASS, .why = RT_WHY_COMPLETE };

	a.reply = q->shards[0].reply;
	query_answer(rt, q, &a, now);
}

/* The reason of the first shard that failed. */
static rt_why_t failure_of(const rt_query_t *q)
{
	size_t i;

	for (i = 0; i < q->nshards; i++)
		if (q->shards[i].state == RT_SH_FAILED)
			return q->shards[i].why;
	return RT_WHY_COVERAGE;
}

void rt_query_check(rt_t *rt, rt_query_t *q, usec_t now)
{
	size_t least = least_shards(q);
	bool all = q->ndone + q->nfailed == q->nshards;

	if (q->over)
		return;
	if (q->route->mode == RT_ONE) {
		if (q->ndone)
			answer_pass(rt, q, now);
		else if (q->nfailed)
			answer_failure(rt, q, failure_of(q), now);
		return;
	}
	if (q->ndone == q->nshards)
		answer_merged(rt, q, RT_WHY_COMPLETE, now);
	else if (q->ndone >= least && (all || now >= q->soft))
		answer_merged(rt, q, all ? failure_of(q) : RT_WHY_OBJECTIVE,
			      now);
	else if (q->nshards - q->nfailed < least)
		answer_failure(rt, q, failure_of(q), now);
}

static void start_shards(rt_t *rt, rt_query_t *q, usec_t now)
{
	size_t i;

	for (i = 0; !q->over && i < q->nshards; i++)
		if (q->shards[i].state == RT_SH_IDLE)
			rt_shard_start(rt, &q->shards[i], RT_WHY_FIRST, now);
}

void rt_request(rt_t *rt, const rt_request_t *r, usec_t now)
{
	const rt_route_t *route;
	rt_query_t *q;

	rt->counters[RT_CNT_REQUESTS]++;
	if (!rt->view) {
		refuse(rt, r, RT_OUT_NOT_RUN, RT_WHY_NO_CONFIG,
		       RETRY_NO_CONFIG);
		return;
	}
	route = rt_conf_route(rt->view->conf, r->host, r->path);
	if (!route) {
		refuse(rt, r, RT_OUT_NO_ROUTE, RT_WHY_NO_ROUTE, 0);
		return;
	}
	q = query_new(rt, r, route, now);
	if (now >= q->deadline)
		answer_failure(rt, q, RT_WHY_DEADLINE, now);
	else if (can_answer(rt, q, now) >= least_shards(q))
		start_shards(rt, q, now);
	else
		answer_failure(rt, q,
			       q->lacks ? RT_WHY_OVERLOAD : RT_WHY_NO_SERVER,
			       now);
}

static rt_query_t *find_caller(const rt_t *rt, const void *caller)
{
	rt_query_t *q;

	for (q = rt->open; q; q = q->next)
		if (q->caller == caller && !q->over)
			return q;
	return NULL;
}

void rt_left(rt_t *rt, void *caller, usec_t now)
{
	rt_query_t *q = find_caller(rt, caller);

	if (!q)
		return;
	rt->counters[RT_CNT_LEFT]++;
	rt_log(rt, &(rt_line_t){ .what = "answer",
				 .why = RT_WHY_LEFT,
				 .id = q->id,
				 .n = q->ndone,
				 .result = RT_RESULT_MAX,
				 .value = now - q->arrived,
				 .age = -1,
				 .version = q->view->conf->version });
	q->over = true;
	q->next_at = now;
	detach(rt, q, true);
}

static void query_deadline(rt_t *rt, rt_query_t *q, usec_t now)
{
	if (q->route->mode == RT_SHARDS && q->ndone >= least_shards(q))
		answer_merged(rt, q, RT_WHY_DEADLINE, now);
	else
		answer_failure(rt, q, RT_WHY_DEADLINE, now);
}

static void query_time(rt_t *rt, rt_query_t *q, usec_t now)
{
	size_t i;

	q->next_at = q->deadline;
	if (now < q->soft)
		rt_query_wake(q, q->soft);
	for (i = 0; !q->over && i < q->nshards; i++) {
		rt_shard_time(rt, &q->shards[i], now);
		if (!q->over && q->shards[i].hedge_at)
			rt_query_wake(q, q->shards[i].hedge_at);
		if (!q->over && q->shards[i].again_at)
			rt_query_wake(q, q->shards[i].again_at);
	}
	if (!q->over && now >= q->soft)
		rt_query_check(rt, q, now);
	if (!q->over && now >= q->deadline)
		query_deadline(rt, q, now);
}

void rt_queries_release(rt_t *rt, usec_t now)
{
	rt_query_t *q;
	size_t i;

	for (q = rt->open; q; q = q->next)
		for (i = 0; i < q->nshards; i++)
			if (q->shards[i].again_at) {
				q->shards[i].again_at = now;
				rt_query_wake(q, now);
			}
	rt_queries_time(rt, now);
}

void rt_queries_time(rt_t *rt, usec_t now)
{
	rt_query_t *q, *next;

	for (q = rt->open; q; q = next) {
		next = q->next;
		if (q->next_at <= now && !q->over)
			query_time(rt, q, now);
	}
}

void rt_queries_sweep(rt_t *rt)
{
	rt_query_t *q, *next;

	for (q = rt->open; q; q = next) {
		next = q->next;
		if (q->over)
			rt_query_end(rt, q);
	}
}
