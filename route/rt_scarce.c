/**
 * @file rt_scarce.c
 * Admission control for shards that cannot carry the demand. A shard is scarce
 * if its servers are slow and have less room than all hosts together ask for.
 * Each query gets a lot, a hash of its id. The lot decides which scarce shards
 * the query leaves out, as far as its minimum coverage allows, and whether it
 * is rejected on arrival because it would need more of them. So the room of
 * scarce shards goes to whole queries.
 *
 * Load patterns: the only server that remains of a shard is several times
 * slower than usual, so that all parts arrive late and every query over that
 * shard and a second one misses its minimum coverage; all servers of some
 * shards are silent.
 */
#include <math.h>
#include <stdlib.h>

#include "libroute.h"

/* Time constant of the demand. A host of a large fleet sees one query a
 * second, and the demand of a burst should be known within seconds. */
#define DEMAND_TIME (6.0 * USEC_PER_SEC)
/* Utilization of a scarce shard up to which queries are admitted: beyond it,
 * parts wait too long for the objective. */
#define TARGET_UTILIZATION 0.8
/* Least share of a shard's room that a route gets beside more urgent ones. */
#define MIN_ROUTE_SHARE 0.1
/* Least cost of a server in an estimate of the room. */
#define MIN_COST 0.2
/* Queries that are admitted whatever their lots, about eight a second from all
 * hosts: they detect that a shard has recovered. */
#define TRIAL_PERIOD_PER_HOST (120 * USEC_PER_MSEC)
#define TRIAL_PERIOD_MIN (500 * USEC_PER_MSEC)
/* Least admitted share in the weights of the selection. */
#define MIN_ADMITTED 0.05
/* Factor of the lot of a caller that was refused before: it should not be
 * refused again. */
#define RETURN_FACTOR 0.5
/* A caller that has less than this share of the route's time left has been
 * refused before. */
#define RETURN_TIME_SHARE 0.95
/* Part of the time that a caller has left by which it may be told to retry. */
#define RETRY_TIME_SHARE (1.0 / 3)
#define RETRY_AFTER_MIN (20 * USEC_PER_MSEC)

static unsigned level_of(const rt_route_t *r)
{
	return r->priority < RT_DEMAND_LEVELS ? r->priority
					      : RT_DEMAND_LEVELS - 1;
}

static void decay_demand(rt_svc_t *svc, usec_t now)
{
	double factor = exp(-(double)(now - svc->demand_at) / DEMAND_TIME);
	unsigned i;

	for (i = 0; i < RT_DEMAND_LEVELS; i++)
		svc->demand[i] *= factor;
	svc->demand_at = now;
}

void rt_scarce_count(rt_query_t *q, usec_t now)
{
	double work = (double)rt_stat_mean(q->stat) / DEMAND_TIME;
	size_t i;

	for (i = 0; i < q->nshards; i++) {
		decay_demand(q->shards[i].svc, now);
		q->shards[i].svc->demand[level_of(q->route)] += work;
	}
}

/* A cold server has the room that its rate limit leaves. */
static double room_of_server(const rt_t *rt, const rt_server_t *s, double cost,
			     usec_t now)
{
	double room = s->slots / cost, cold;

	if (!rt_warmup_limits(s, now))
		return room;
	cold = rt_warmup_rate(rt, s) * (double)s->svc->mean_latency /
	       (double)USEC_PER_SEC;
	return cold < room ? cold : room;
}

/* Slots of the servers that answer, each divided by its cost: the work, in mean
 * latencies, that they do at the same time. */
static double room_of(const rt_t *rt, const rt_svc_t *svc, bool leaving,
		      usec_t now)
{
	double best = rt_svc_best_cost(svc), room = 0, cost;
	const rt_server_t *s;
	size_t i;

	for (i = 0; i < svc->n; i++) {
		s = svc->v[i];
		if (!rt_server_accepts(s, now) &&
		    !(leaving && rt_server_stands_in(s, now)))
			continue;
		if (now < s->avoid_until || s->fail_streak > 1)
			continue;
		cost = best > 0 ? rt_server_current_cost(s, best, now)
				: rt_server_cost(s);
		if (cost < MIN_COST)
			cost = MIN_COST;
		room += room_of_server(rt, s, cost, now);
	}
	return room;
}

bool rt_svc_is_slow(const rt_svc_t *svc, usec_t now)
{
	size_t i;

	for (i = 0; i < svc->n; i++)
		if (rt_server_accepts(svc->v[i], now) &&
		    !rt_warmup_limits(svc->v[i], now) &&
		    now >= svc->v[i]->avoid_until &&
		    svc->v[i]->fail_streak <= 1 &&
		    !rt_server_is_slow(svc->v[i]))
			return false;
	return true;
}

/* Work that all hosts together ask of a service at the same time, on routes up
 * to that level. */
static double demand_up_to(const rt_t *rt, const rt_svc_t *svc, unsigned level,
			   usec_t now)
{
	double factor = exp(-(double)(now - svc->demand_at) / DEMAND_TIME);
	double sum = 0;
	unsigned i;

	for (i = 0; i <= level; i++)
		sum += svc->demand[i];
	return sum * factor * rt->p.hosts;
}

bool rt_svc_needs_leaving(const rt_t *rt, const rt_svc_t *svc, usec_t now)
{
	return rt_svc_is_slow(svc, now) &&
	       TARGET_UTILIZATION * room_of(rt, svc, false, now) <
		       demand_up_to(rt, svc, RT_DEMAND_LEVELS - 1, now);
}

/* Whether a leaving server that is not slow takes the load of the service. */
static bool leaving_helps(const rt_t *rt, const rt_svc_t *svc, usec_t now)
{
	size_t i;

	if (!rt_svc_needs_leaving(rt, svc, now))
		return false;
	for (i = 0; i < svc->n; i++)
		if (rt_server_stands_in(svc->v[i], now) &&
		    !rt_server_is_slow(svc->v[i]))
			return true;
	return false;
}

/* Share of the route's queries that the service has room for; 1 unless it is
 * scarce. */
static double share_of(const rt_t *rt, const rt_svc_t *svc,
		       const rt_route_t *route, usec_t now)
{
	unsigned level = level_of(route);
	double room, above, own, left;

	if (!rt_svc_is_slow(svc, now) || leaving_helps(rt, svc, now))
		return 1;
	/* Its rate limit alone decides which queries it gets. */
	if (rt_svc_all_cold(svc, now))
		return 1;
	room = TARGET_UTILIZATION * room_of(rt, svc, true, now);
	above = level ? demand_up_to(rt, svc, level - 1, now) : 0;
	own = demand_up_to(rt, svc, level, now) - above;
	left = room - above;
	if (left < MIN_ROUTE_SHARE * room)
		left = MIN_ROUTE_SHARE * room;
	return left < own ? left / own : 1;
}

/* A number from 0 to below 1. A request that a caller repeats with the same id
 * gets another one. */
static double lot_of(const rt_query_t *q, uint64_t purpose)
{
	return (double)(str_hash(q->id, q->num * 4 + purpose) >> 11) * 0x1p-53;
}

/* Whether the query is to find out if scarce shards have recovered. */
static bool is_trial(rt_t *rt, usec_t now)
{
	usec_t period = rt->p.hosts * TRIAL_PERIOD_PER_HOST;

	if (period < TRIAL_PERIOD_MIN)
		period = TRIAL_PERIOD_MIN;
	if (now < rt->next_trial_at)
		return false;
	rt->next_trial_at = now + period;
	return true;
}

static void log_change(rt_t *rt, rt_svc_t *svc, bool scarce, double share)
{
	if (scarce == svc->scarce)
		return;
	svc->scarce = scarce;
	rt_log(rt, &(rt_log_line_t){ .event = "scarce",
				     .why = scarce ? RT_WHY_SCARCE
						   : RT_WHY_RECOVERED,
				     .service = svc->name,
				     .result = RT_RESULT_MAX,
				     .n = (uint64_t)(share * 100),
				     .age = -1,
				     .info = true });
}

/* The scarce shards of a query. */
typedef struct scarce {
	size_t *at; /* indices of the shards */
	double *share;
	bool *sent;
	size_t n;
	double room; /* sum of the shares */
} scarce_t;

/* Whether a part that is queued now is answered before the deadline. */
static bool can_answer(const rt_t *rt, const rt_svc_t *svc, const rt_query_t *q,
		       usec_t now)
{
	return rt_svc_pause(svc, now) == 0 &&
	       now + rt_wait_expected(rt, svc, q, now) <= q->deadline;
}

static void find_scarce(rt_t *rt, const rt_query_t *q, scarce_t *c, usec_t now)
{
	double share;
	size_t i;

	*c = (scarce_t){ 0 };
	for (i = 0; i < q->nshards; i++) {
		rt_svc_t *svc = q->shards[i].svc;

		share = share_of(rt, svc, q->route, now);
		log_change(rt, svc, share < 1, share);
		if (!can_answer(rt, svc, q, now))
			share = 0;
		if (share >= 1)
			continue;
		if (!c->at) {
			c->at = arena_alloc(&rt->scratch,
					    q->nshards * sizeof(*c->at));
			c->share = arena_alloc(&rt->scratch,
					       q->nshards * sizeof(*c->share));
			c->sent = arena_alloc(&rt->scratch,
					      q->nshards * sizeof(*c->sent));
		}
		c->at[c->n] = i;
		c->share[c->n] = share;
		c->sent[c->n++] = false;
		c->room += share;
	}
}

/* Selects each shard with a probability that is its share times a factor, by
 * systematic sampling, and at least need of them. */
static void select_shards(scarce_t *c, double factor, size_t need, double lot)
{
	size_t first = (size_t)(lot * (double)c->n), selected = 0, i, at, best;
	double next = lot, sum = 0, p;

	for (i = 0; i < c->n; i++) {
		p = c->share[i] * factor;
		sum += p < 1 ? p : 1;
		if (sum <= next)
			continue;
		c->sent[i] = true;
		selected++;
		next += 1;
	}
	for (; selected < need; selected++) {
		best = c->n;
		for (i = 0; i < c->n; i++) {
			at = (first + i) % c->n;
			if (!c->sent[at] &&
			    (best == c->n || c->share[at] > c->share[best]))
				best = at;
		}
		c->sent[best] = true;
	}
}

bool rt_scarce_admit(rt_t *rt, rt_query_t *q, size_t min_shards, usec_t now)
{
	usec_t left = q->deadline - now;
	double lot = lot_of(q, 1), admitted = 1;
	size_t slack = q->nshards - min_shards, need, i;
	scarce_t c;

	if (q->route->mode != RT_SHARDS)
		return true;
	find_scarce(rt, q, &c, now);
	if (c.n == 0)
		return true;
	need = c.n > slack ? c.n - slack : 0;
	if (c.room < (double)need)
		admitted = c.room / (double)need;
	if ((double)left < RETURN_TIME_SHARE * (double)q->route->deadline)
		lot *= RETURN_FACTOR;
	if (lot >= admitted && !is_trial(rt, now)) {
		rt->counters[RT_CNT_REFUSED_SCARCE]++;
		q->shortfall = RETRY_AFTER_MIN +
			       (usec_t)(lot_of(q, 2) * RETRY_TIME_SHARE *
					(double)left);
		return false;
	}
	if (admitted < MIN_ADMITTED)
		admitted = MIN_ADMITTED;
	select_shards(&c, 1 / admitted, need, lot_of(q, 3));
	for (i = 0; i < c.n; i++) {
		if (c.sent[i])
			continue;
		rt->counters[RT_CNT_PARTS_LEFT_OUT]++;
		rt_shard_leave_out(rt, &q->shards[c.at[i]], now);
	}
	return true;
}
