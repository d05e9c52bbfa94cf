/**
 * @file rt_wait.c
 * Queues of shards that wait until a server of their service has capacity.
 * They are ordered by priority, then by deadline, so that callers that retry
 * are not queued behind new ones.
 *
 * Load patterns: more requests arrive at once than the servers can take, or
 * some servers are removed, so that a queue grows at this host. If this lasts,
 * the oldest shards become late. Shards that can still be in time are then
 * started before late ones; otherwise all of them would become late. If all
 * servers are removed, drained or in a pause that they asked for, the shards
 * that wait are failed at once, not at their deadlines. The last answers of a
 * route were slower than callers wait: its requests are refused, but only as
 * long as answers are recent.
 */
#include "libroute.h"

/* Age above which a service's mean latency no longer matches its load. */
#define LATENCY_FRESH (2 * USEC_PER_SEC)
#define LATENCY_DIVISOR 8 /* weight of a new answer in the mean: 1/8 */
/* Factor by which a shard must be shorter than one that it passes over: smaller
 * differences of the estimates may be chance. */
#define SHORTER_FACTOR 1.25

static bool is_before(const rt_shard_t *a, const rt_shard_t *b)
{
	if (a->q->route->priority != b->q->route->priority)
		return a->q->route->priority < b->q->route->priority;
	/* A caller that retries after a refusal has less time left. */
	return a->q->deadline < b->q->deadline;
}

void rt_wait_push(rt_t *rt, rt_shard_t *sh, usec_t now)
{
	rt_svc_t *svc = sh->svc;
	rt_shard_t *at = svc->wait_tail;

	while (at && is_before(sh, at))
		at = at->prev;
	sh->prev = at;
	sh->next = at ? at->next : svc->wait_head;
	if (sh->next)
		sh->next->prev = sh;
	else
		svc->wait_tail = sh;
	if (at)
		at->next = sh;
	else
		svc->wait_head = sh;
	svc->nwaiting++;
	rt->nwaiting++;
	rt->counters[RT_CNT_WAITED]++;
	sh->waiting_since = now;
	sh->state = RT_SH_WAITING;
}

void rt_wait_remove(rt_t *rt, rt_shard_t *sh)
{
	rt_svc_t *svc = sh->svc;

	if (sh->prev)
		sh->prev->next = sh->next;
	else
		svc->wait_head = sh->next;
	if (sh->next)
		sh->next->prev = sh->prev;
	else
		svc->wait_tail = sh->prev;
	sh->prev = NULL;
	sh->next = NULL;
	svc->nwaiting--;
	rt->nwaiting--;
	sh->state = RT_SH_IDLE;
}

/* Whether a choice considers the server: it accepts requests, or it is draining
 * and stands in. */
static bool is_candidate(const rt_t *rt, const rt_server_t *s, usec_t now)
{
	if (rt_server_accepts(s, now))
		return true;
	return rt_server_stands_in(s, now) &&
	       rt_svc_needs_leaving(rt, s->svc, now);
}

static bool has_capacity(const rt_t *rt, const rt_svc_t *svc, usec_t now)
{
	const rt_server_t *s;
	size_t i;

	for (i = 0; i < svc->n; i++) {
		s = svc->v[i];
		if (s->inflight < rt_server_max_inflight(rt, s) &&
		    rt_warmup_allows(rt, s, now) && is_candidate(rt, s, now))
			return true;
	}
	return false;
}

/* Of the shards of the same priority behind the given one, the one with the
 * least work, as far as all that it passes over can still be in time after it:
 * less work first shortens the mean wait. Returns sh if there is none. */
static rt_shard_t *shorter_one(rt_shard_t *sh, usec_t now)
{
	unsigned priority = sh->q->route->priority;
	rt_shard_t *best = sh, *at;
	usec_t slack = sh->q->soft_deadline - now - rt_work_latency(sh->q);
	usec_t work, left;

	for (at = sh->next; at && at->q->route->priority == priority;
	     at = at->next) {
		work = rt_work_latency(at->q);
		left = at->q->soft_deadline - now - work;
		if (left >= 0 && work <= slack &&
		    (double)work * SHORTER_FACTOR <
			    (double)rt_work_latency(best->q))
			best = at;
		if (left >= 0 && left < slack)
			slack = left;
	}
	return best;
}

/* Of the shards of the most urgent priority, the first that can be answered
 * before its soft deadline; if there is none, the first one. */
static rt_shard_t *next_to_start(const rt_t *rt, const rt_svc_t *svc,
				 usec_t now)
{
	rt_shard_t *sh = svc->wait_head;
	unsigned priority;

	if (!sh)
		return NULL;
	priority = sh->q->route->priority;
	for (; sh && sh->q->route->priority == priority; sh = sh->next)
		if (now + rt_work_latency(sh->q) <= sh->q->soft_deadline)
			return rt->p.policy == RT_POLICY_WORK
				       ? shorter_one(sh, now)
				       : sh;
	return svc->wait_head;
}

static void fail_waiting(rt_t *rt, rt_svc_t *svc, rt_why_t why, usec_t now)
{
	rt_shard_t *sh;

	while ((sh = svc->wait_head)) {
		rt_wait_remove(rt, sh);
		rt_hist_add(&rt->waits, now - sh->waiting_since);
		rt_shard_fail(rt, sh, why, now);
	}
}

void rt_waits_sweep(rt_t *rt, usec_t now)
{
	usec_t pause;
	size_t i;

	for (i = 0; rt->nwaiting && i < rt->nsvcs; i++) {
		if (rt->all_svcs[i]->nwaiting == 0)
			continue;
		pause = rt_svc_pause(rt->all_svcs[i], now);
		if (pause != 0)
			fail_waiting(rt, rt->all_svcs[i],
				     pause > 0 ? RT_WHY_PAUSED
					       : RT_WHY_NO_SERVER,
				     now);
		/* A cold server may get a request after some time. */
		else if (rt->all_svcs[i]->warmup_per_s > 0)
			rt_wait_drain(rt, rt->all_svcs[i], now);
	}
}

void rt_wait_drain(rt_t *rt, rt_svc_t *svc, usec_t now)
{
	size_t n = svc->nwaiting;
	rt_shard_t *sh;

	/* At most one try per shard, as it may be queued again. */
	while (n-- && (sh = next_to_start(rt, svc, now)) &&
	       has_capacity(rt, svc, now)) {
		rt_wait_remove(rt, sh);
		rt_hist_add(&rt->waits, now - sh->waiting_since);
		rt_shard_start(rt, sh, RT_WHY_FIRST, now);
	}
}

void rt_wait_add_latency(rt_svc_t *svc, usec_t latency, usec_t now)
{
	if (now - svc->latency_at > LATENCY_FRESH)
		svc->mean_latency = latency;
	svc->mean_latency += (latency - svc->mean_latency) / LATENCY_DIVISOR;
	svc->latency_at = now;
}

/* Present latency of one request: a service with few, fully loaded servers is
 * slower than the mean of the route. If all its servers are slow, an old answer
 * still tells: they recover only by a new one. */
static usec_t expected_latency(const rt_svc_t *svc, const rt_query_t *q,
			       usec_t now)
{
	usec_t mean = rt_work_latency(q);
	usec_t latency = (usec_t)((double)svc->mean_latency * q->cost);

	bool fresh = now - svc->latency_at <= LATENCY_FRESH;

	if ((!fresh && !rt_svc_is_slow(svc, now)) || latency < mean)
		return mean;
	return latency;
}

/* Time that one slot takes for the shards before a new one of the query. */
static usec_t work_ahead(const rt_t *rt, const rt_svc_t *svc,
			 const rt_query_t *q, usec_t latency)
{
	double slower = (double)latency / (double)rt_work_latency(q);
	const rt_shard_t *sh;
	usec_t sum = 0;

	for (sh = svc->wait_head; sh; sh = sh->next) {
		if (sh->q->route->priority > q->route->priority)
			continue;
		sum += rt->p.policy == RT_POLICY_WORK
			       ? (usec_t)((double)rt_work_latency(sh->q) *
					  slower)
			       : latency;
	}
	return sum;
}

static uint64_t count_ahead(const rt_svc_t *svc, const rt_query_t *q)
{
	const rt_shard_t *sh;
	uint64_t n = 0;

	for (sh = svc->wait_head; sh; sh = sh->next)
		n += sh->q->route->priority <= q->route->priority;
	return n;
}

usec_t rt_wait_expected(const rt_t *rt, const rt_svc_t *svc,
			const rt_query_t *q, usec_t now)
{
	usec_t latency = expected_latency(svc, q, now);
	usec_t ahead = work_ahead(rt, svc, q, latency);
	uint64_t capacity = 0;
	size_t i;

	if (rt_svc_all_cold(svc, now))
		return rt_svc_warmup_wait(rt, svc, count_ahead(svc, q) + 1,
					  now) +
		       latency;
	if (ahead == 0)
		return (usec_t)((double)rt_stat_expected(q->stat, now) *
				q->cost) +
		       rt_work_queue_time(rt, svc, now);
	for (i = 0; i < svc->n; i++)
		if (!rt_warmup_limits(svc->v[i], now) &&
		    is_candidate(rt, svc->v[i], now))
			capacity += rt_server_max_inflight(rt, svc->v[i]);
	if (capacity == 0)
		return q->deadline - q->arrived_at + latency;
	return ahead / (usec_t)capacity + latency;
}
