/**
 * @file rt_work.c
 * Work of a request, and work that is left at a server. The work is learned per
 * route and per visible property: method, size of the body, first segments of
 * the path. It is learned from answers of servers that had a free slot as far
 * as this host knows, so that time in their queues does not count as work. Only
 * the policy "work" uses it.
 *
 * Load patterns: requests that look alike cost servers amounts of work that
 * differ by a factor of 3 or 24, so that the number of requests in flight does
 * not tell how long a server is busy; costs that change; paths with ids, of
 * which hardly any is seen twice.
 */
#include <math.h>

#include "libroute.h"

#define MIN_SAMPLES 4 /* answers needed for an estimate */
/* Weight of a new answer: 1/6 in the mean of a class, of logarithms, so that an
 * answer of a server that pauses counts little and a cost that rises or falls
 * 24-fold is learned within ten answers; 1/32 in that of the route. */
#define CLASS_DIVISOR 6
#define ROUTE_DIVISOR 32
#define OUTLIER_FACTOR 16 /* cap of an answer, in means of the route */
#define COST_MAX                                                               \
	32.0 /* most that a cost differs from the mean of its route            \
	      */
/* Differences up to this factor may be chance. */
#define COST_NEGLIGIBLE 1.25
/* Half-life of a difference from the route's mean without new answers. */
#define COST_HALF_LIFE (60.0 * USEC_PER_SEC)
/* Share of its work that a send has left once it takes longer than estimated.
 */
#define RESIDUAL_SHARE 0.3
/* Work that is left of a send whose work was not learned, in mean latencies:
 * on average a part of it is done. */
#define LOAD_FACTOR 0.7
#define SERVICE_DIVISOR 16 /* weight of a send in a service's mean work */
/* Cost of a server, as a multiple of the best one's, from which on nothing is
 * learned of its answers. That all of them seem slow may be a new cost. */
#define SLOW_FACTOR 1.8

/* Finds the entry of a key, or NULL. */
static rt_class_t *find_class(rt_t *rt, uint64_t key)
{
	rt_class_t *set = rt->classes[key % RT_CLASS_SETS];
	size_t i;

	for (i = 0; i < RT_CLASS_WAYS; i++)
		if (set[i].key == key && set[i].n)
			return &set[i];
	return NULL;
}

/* Finds or makes the entry of a key. Keys that are seen often stay: each new
 * one reduces the count of the rarest entry, and replaces it at 0. */
static rt_class_t *get_class(rt_t *rt, uint64_t key)
{
	rt_class_t *set = rt->classes[key % RT_CLASS_SETS], *rarest = set;
	rt_class_t *c = find_class(rt, key);
	size_t i;

	if (c)
		return c;
	for (i = 1; i < RT_CLASS_WAYS; i++)
		if (set[i].n < rarest->n)
			rarest = &set[i];
	if (rarest->n && --rarest->n)
		return NULL;
	*rarest = (rt_class_t){ .key = key };
	return rarest;
}

static void add_to_class(rt_class_t *c, double work, usec_t now)
{
	if (c->n < UINT32_MAX)
		c->n++;
	c->log_work += ((float)log2(work) - c->log_work) /
		       (float)(c->n < CLASS_DIVISOR ? c->n : CLASS_DIVISOR);
	c->at = now;
}

static void add_to_route(rt_stat_t *s, double work)
{
	if (s->nwork && work > s->work * OUTLIER_FACTOR)
		work = s->work * OUTLIER_FACTOR;
	if (s->nwork < ROUTE_DIVISOR)
		s->nwork++;
	s->work += (work - s->work) / s->nwork;
}

/* Splits the first segment off a path. */
static str_t next_segment(str_t *path)
{
	str_t s = *path;

	for (s.sz = 0; s.sz < path->sz && path->s[s.sz] != '/'; s.sz++)
		;
	path->s += s.sz;
	path->sz -= s.sz;
	if (path->sz) {
		path->s++;
		path->sz--;
	}
	return s;
}

/* Bodies whose sizes differ by less than a factor of 4 are alike. */
static unsigned size_class(size_t body_sz)
{
	unsigned bits = 0;

	for (; body_sz; body_sz >>= 2)
		bits++;
	return bits;
}

/* The keys of a request, from the least to the most specific. */
static void set_keys(rt_query_t *q, const rt_request_t *r)
{
	str_t path = r->path;
	size_t i;

	for (i = 0; i < path.sz && path.s[i] != '?'; i++)
		;
	path.sz = i;
	i = q->route->prefix.sz < path.sz ? q->route->prefix.sz : path.sz;
	path.s += i;
	path.sz -= i;
	q->keys[0] = str_hash(r->method, size_class(r->body_sz)) ^
		     str_hash(q->route->name, 0);
	for (i = 1; i < RT_CLASS_KEYS; i++)
		q->keys[i] = str_hash(next_segment(&path), q->keys[i - 1] + i);
}

/* Cost of the query, as a multiple of the mean of its route. */
static double cost_of(rt_t *rt, const rt_query_t *q, usec_t now)
{
	const rt_class_t *c = NULL;
	double cost;
	size_t i;

	if (q->stat->nwork < MIN_SAMPLES || q->stat->work <= 0)
		return 1;
	for (i = RT_CLASS_KEYS; i-- > 0;) {
		c = find_class(rt, q->keys[i]);
		if (c && c->n >= MIN_SAMPLES)
			break;
		c = NULL;
	}
	if (!c)
		return 1;
	cost = exp2(c->log_work) / q->stat->work;
	if (cost < COST_NEGLIGIBLE && cost > 1 / COST_NEGLIGIBLE)
		return 1;
	if (cost > COST_MAX)
		cost = COST_MAX;
	if (cost < 1 / COST_MAX)
		cost = 1 / COST_MAX;
	return 1 + (cost - 1) * exp2(-(double)(now - c->at) / COST_HALF_LIFE);
}

void rt_work_classify(rt_t *rt, rt_query_t *q, const rt_request_t *r,
		      usec_t now)
{
	q->cost = 1;
	if (rt->p.policy != RT_POLICY_WORK)
		return;
	set_keys(q, r);
	q->cost = cost_of(rt, q, now);
}

usec_t rt_work_latency(const rt_query_t *q)
{
	usec_t t = (usec_t)((double)rt_stat_mean(q->stat) * q->cost);

	return t > 0 ? t : 1;
}

void rt_work_sent(const rt_t *rt, rt_attempt_t *a, const rt_query_t *q,
		  usec_t now)
{
	rt_svc_t *svc = a->server->svc;

	a->cost = q->cost;
	if (rt->p.policy != RT_POLICY_WORK)
		return;
	a->alone =
		a->server->inflight == 0 && a->why == RT_WHY_FIRST &&
		rt_load_others(a->server, now) < rt_load_slots(a->server, now);
	if (q->stat->nwork < MIN_SAMPLES)
		return;
	a->work = q->stat->work * q->cost;
	if (svc->work > 0)
		svc->work += (a->work - svc->work) / SERVICE_DIVISOR;
	else
		svc->work = a->work;
}

void rt_work_answered(rt_t *rt, const rt_attempt_t *a, usec_t now)
{
	const rt_query_t *q = idmap_get(&rt->queries, a->query);
	double slower =
		rt_server_cost(a->server) / rt_svc_best_cost(a->server->svc);
	double work = (double)(now - a->sent_at) / slower;
	rt_class_t *c;
	size_t i;

	if (!a->alone || !q || !q->keys[0] || !(slower < SLOW_FACTOR))
		return;
	if (work < 1)
		work = 1;
	add_to_route(a->stat, work);
	for (i = 0; i < RT_CLASS_KEYS; i++) {
		c = get_class(rt, q->keys[i]);
		if (c)
			add_to_class(c, work, now);
	}
}

/* Work of a send that is left, at a server of usual speed. */
static double left_of(const rt_attempt_t *a, bool runs, usec_t mean, usec_t now)
{
	double passed = (double)(now - a->sent_at) / a->server->pace;
	double left = a->work - passed;

	if (a->work <= 0)
		return LOAD_FACTOR * (double)mean;
	/* A send that waits in the server's queue has all its work left, as has
	 * one that should be answered: it waits, or the server is slow. */
	if (!runs || left <= 0)
		return a->work;
	return left > RESIDUAL_SHARE * a->work ? left
					       : RESIDUAL_SHARE * a->work;
}

double rt_work_left(const rt_server_t *s, usec_t mean, usec_t now)
{
	double others = rt_load_others(s, now);
	double sum = others * (s->svc->work > 0 ? s->svc->work
						: LOAD_FACTOR * (double)mean);
	bool run = s->inflight + others <= rt_load_slots(s, now);
	const rt_attempt_t *a;

	for (a = s->attempts; a; a = a->next)
		sum += left_of(a, run, mean, now);
	return sum;
}

usec_t rt_work_queue_time(const rt_t *rt, const rt_svc_t *svc, usec_t now)
{
	double least = -1, t, slots;
	const rt_server_t *s;
	size_t i;

	if (rt->p.policy != RT_POLICY_WORK || svc->work <= 0)
		return 0;
	for (i = 0; i < svc->n; i++) {
		s = svc->v[i];
		if (!rt_server_accepts(s, now))
			continue;
		if (!rt_load_is_known(s, now))
			return 0;
		slots = rt_load_slots(s, now);
		t = (rt_load_others(s, now) + s->inflight - slots) / slots *
		    svc->work * s->pace;
		if (least < 0 || t < least)
			least = t;
	}
	return least > 0 ? (usec_t)least : 0;
}
