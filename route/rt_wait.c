/**
 * @file rt_wait.c
 * Shards that wait until a server of their service has room. The more
 * urgent go first; among equals the one whose caller's time ends first, so
 * that those who come back are not put behind newcomers.
 *
 * Load patterns: more requests come at once than the servers take, or some
 * of the servers are gone, so that a queue grows at this host; that lasts so
 * long that whoever has waited most is late already (what can still be in time
 * goes before what is late, or all of it would be).
 */
#include "libroute.h"

/* A mean that is older tells of another load. */
#define TOOK_FRESH (2 * USEC_PER_SEC)
#define TOOK_WEIGHT 8 /* an answer counts for an eighth of the mean */

static bool goes_before(const rt_shard_t *a, const rt_shard_t *b)
{
	if (a->q->route->priority != b->q->route->priority)
		return a->q->route->priority < b->q->route->priority;
	/* Who comes back after a refusal has less time left than newcomers. */
	return a->q->deadline < b->q->deadline;
}

void rt_wait_push(rt_t *rt, rt_shard_t *sh, usec_t now)
{
	rt_svc_t *svc = sh->svc;
	rt_shard_t *at = svc->tail;

	while (at && goes_before(sh, at))
		at = at->prev;
	sh->prev = at;
	sh->next = at ? at->next : svc->head;
	if (sh->next)
		sh->next->prev = sh;
	else
		svc->tail = sh;
	if (at)
		at->next = sh;
	else
		svc->head = sh;
	svc->nwaiting++;
	rt->nwaiting++;
	rt->counters[RT_CNT_WAITED]++;
	sh->waits_from = now;
	sh->state = RT_SH_WAITING;
}

void rt_wait_remove(rt_t *rt, rt_shard_t *sh)
{
	rt_svc_t *svc = sh->svc;

	if (sh->prev)
		sh->prev->next = sh->next;
	else
		svc->head = sh->next;
	if (sh->next)
		sh->next->prev = sh->prev;
	else
		svc->tail = sh->prev;
	sh->prev = NULL;
	sh->next = NULL;
	svc->nwaiting--;
	rt->nwaiting--;
	sh->state = RT_SH_IDLE;
}

static bool has_room(const rt_t *rt, const rt_svc_t *svc)
{
	size_t i;

	for (i = 0; i < svc->n; i++)
		if (rt_server_usable(svc->v[i]) &&
		    svc->v[i]->inflight < rt_server_cap(rt, svc->v[i]))
			return true;
	return false;
}

/* Of the most urgent, the first that can still be in time, else the first. */
static rt_shard_t *first_to_go(const rt_svc_t *svc, usec_t now)
{
	rt_shard_t *sh = svc->head;
	unsigned priority;

	if (!sh)
		return NULL;
	priority = sh->q->route->priority;
	for (; sh && sh->q->route->priority == priority; sh = sh->next)
		if (now + rt_stat_usual(sh->q->stat) <= sh->q->soft)
			return sh;
	return svc->head;
}

void rt_wait_drain(rt_t *rt, rt_svc_t *svc, usec_t now)
{
	size_t n = svc->nwaiting;
	rt_shard_t *sh;

	/* Each is looked at once: one that cannot go queues again. */
	while (n-- && (sh = first_to_go(svc, now)) && has_room(rt, svc)) {
		rt_wait_remove(rt, sh);
		rt_hist_add(&rt->waits, now - sh->waits_from);
		rt_shard_start(rt, sh, RT_WHY_FIRST, now);
	}
}

void rt_wait_note(rt_svc_t *svc, usec_t took, usec_t now)
{
	if (now - svc->took_at > TOOK_FRESH)
		svc->took = took;
	svc->took += (took - svc->took) / TOOK_WEIGHT;
	svc->took_at = now;
}

/* What one request takes now: servers that are few, and full, take longer than
 * the route's usual time. */
static usec_t time_of_one(const rt_svc_t *svc, const rt_query_t *q, usec_t now)
{
	usec_t usual = rt_stat_usual(q->stat);

	if (now - svc->took_at > TOOK_FRESH || svc->took < usual)
		return usual;
	return svc->took;
}

usec_t rt_wait_expected(const rt_t *rt, const rt_svc_t *svc,
			const rt_query_t *q, usec_t now)
{
	usec_t one = time_of_one(svc, q, now);
	const rt_shard_t *sh;
	uint64_t ahead = 0, room = 0;
	size_t i;

	for (sh = svc->head; sh; sh = sh->next)
		if (sh->q->route->priority <= q->route->priority)
			ahead++;
	if (ahead == 0)
		return rt_stat_usual(q->stat);
	for (i = 0; i < svc->n; i++)
		if (rt_server_usable(svc->v[i]))
			room += rt_server_cap(rt, svc->v[i]);
	if (room == 0)
		return q->deadline - q->arrived + one;
	return (usec_t)(ahead * (uint64_t)one / room) + one;
}
