/**
 * @file upstream.c
 * State of each server: evidence and its age, limits of requests in flight,
 * latency, failures, and whether the server is leaving.
 */
#include <stdlib.h>

#include "libcore.h"

#define LATENCY_WEIGHT 8 /* a new sample has a weight of 1/8 in the mean */
#define LATENCY_FIRST (5 * USEC_PER_MSEC) /* before the first result */
#define LIMIT_DECREASE 0.7
#define BROAD_DECREASE 0.9
#define BROAD_INCREASE 0.1
/* The limit decreases at most once per period. */
#define LIMIT_DECREASE_PERIOD (50 * USEC_PER_MSEC)

upstream_t *upstream_find(core_t *c, str_t addr)
{
	return strmap_get(&c->state.upstreams.by_addr, addr);
}

upstream_t *upstream_get(core_t *c, str_t addr)
{
	upstreams_state_t *b = &c->state.upstreams;
	upstream_t *u = upstream_find(c, addr);

	if (u)
		return u;
	u = xcalloc(1, sizeof(*u));
	u->addr = str_dup(addr);
	if (b->n == b->capacity) {
		b->capacity = b->capacity ? b->capacity * 2 : 64;
		b->v = xrealloc(b->v, b->capacity * sizeof(*b->v));
	}
	b->v[b->n++] = u;
	strmap_put(&b->by_addr, u->addr, u);
	return u;
}

/* Withdraws attempts that were not sent yet; they go to other servers. */
static void withdraw_unsent(core_t *c, const upstream_t *u)
{
	const attempt_t *a;
	uint32_t i;

	for (i = 0; i < c->attempts.nslots; i++) {
		a = idmap_at(&c->attempts, i);
		if (a && a->u == u)
			act_add(c, ACT_WITHDRAW)->aid = a->id;
	}
}

void upstream_leave(core_t *c, upstream_t *u, why_t why, usec_t now)
{
	if (u->leaving)
		return;
	u->leaving = true;
	u->leaving_since = now;
	withdraw_unsent(c, u);
	act_log(c, &(decision_line_t){ .decision = DEC_LEAVING,
				       .why = why,
				       .addr = u->addr });
}

void upstream_evidence(core_t *c, upstream_t *u, const evidence_t *e, usec_t at,
		       usec_t now)
{
	if (!e->valid || at < u->evidence_at)
		return;
	u->evidence = *e;
	u->evidence_at = at;
	if (e->slots)
		u->slots = e->slots;
	if (e->draining)
		upstream_leave(c, u, WHY_LEAVING, now);
}

static void limit_increase(upstream_t *u)
{
	u->limit += 1.0 / u->limit;
	if (u->limit > u->max_connections)
		u->limit = u->max_connections;
}

/*
 * Broad requests may fill a server's slots but not its queue, where urgent
 * requests would wait behind them. The limit shrinks when the server reports a
 * queue or is slow, and grows otherwise.
 */
static void update_broad_limit(upstream_t *u, const evidence_t *e,
			       usec_t elapsed)
{
	usec_t median = u->group ? u->group->median : 0;
	bool overloaded = e->valid && e->queued > 0;

	if (median && elapsed > SLOW_MEDIAN_FACTOR * median)
		overloaded = true;
	if (overloaded)
		u->broad_limit *= BROAD_DECREASE;
	else
		u->broad_limit += BROAD_INCREASE / u->broad_limit;
	if (u->broad_limit > u->max_connections)
		u->broad_limit = u->max_connections;
	if (u->broad_limit < UPSTREAM_MIN_LIMIT)
		u->broad_limit = UPSTREAM_MIN_LIMIT;
}

static void limit_decrease(upstream_t *u, usec_t now)
{
	uint64_t period = (uint64_t)(now / LIMIT_DECREASE_PERIOD);

	if (period == u->last_decrease_period)
		return;
	u->last_decrease_period = period;
	u->limit *= LIMIT_DECREASE;
	if (u->limit < UPSTREAM_MIN_LIMIT)
		u->limit = UPSTREAM_MIN_LIMIT;
}

static void update_latency(upstream_t *u, usec_t elapsed, usec_t now)
{
	u->latency_at = now;
	if (u->latency == 0)
		u->latency = elapsed;
	else
		u->latency += (elapsed - u->latency) / LATENCY_WEIGHT;
	if (u->latency < 1)
		u->latency = 1;
}

/* Doubles low up to the given number of times, while it is below high. */
static usec_t exponential_delay(usec_t low, usec_t high, unsigned times)
{
	while (times-- && low < high)
		low *= 2;
	return low;
}

static void count_failure(upstream_t *u, usec_t now)
{
	u->blocked_until = now + exponential_delay(CONNECT_BACKOFF_MIN,
						   CONNECT_BACKOFF_MAX,
						   u->consecutive_failures++);
}

/* A refusal is quick: as a latency it would make the server look fast. */
static void count_shed(upstream_t *u, usec_t now)
{
	u->shed_until =
		now + exponential_delay(SHED_BACKOFF_MIN, SHED_BACKOFF_MAX,
					u->consecutive_sheds++);
}

void upstream_unreachable(upstream_t *u, usec_t now)
{
	count_failure(u, now);
}

void upstream_result(upstream_t *u, result_t r, usec_t elapsed, usec_t now)
{
	switch (r) {
	case RES_OK:
		u->consecutive_failures = 0;
		u->blocked_until = 0;
		u->consecutive_sheds = 0;
		update_latency(u, elapsed, now);
		limit_increase(u);
		update_broad_limit(u, &u->evidence, elapsed);
		break;
	case RES_SHED:
		u->consecutive_failures = 0;
		count_shed(u, now);
		limit_decrease(u, now);
		break;
	case RES_LOST:
	case RES_MISMATCH:
	case RES_ERROR:
		update_latency(u, elapsed > u->latency ? elapsed : u->latency,
			       now);
		limit_decrease(u, now);
		if (r == RES_LOST)
			count_failure(u, now);
		break;
	case RES_CANCELLED:
		update_latency(u, elapsed > u->latency ? elapsed : u->latency,
			       now);
		break;
	case RES_NOT_SENT:
	case RES_SNAPSHOT_MISSING:
	case RES_MAX:
		break;
	}
}

usec_t upstream_send_until(const core_t *c, const upstream_t *u, usec_t now)
{
	const list_state_t *l = &c->state.list;
	usec_t until = 0;

	if (!c->params.require_list_lease)
		return INT64_MAX;
	if (l->confirmed_at)
		until = l->confirmed_at + LIST_LEASE;
	if (!l->platform_down)
		return until;
	/* While the platform is down, a daemon that did not pause may send. */
	if (!l->paused && now + EVIDENCE_LEASE > until)
		until = now + EVIDENCE_LEASE;
	/* After a pause, sending requires evidence received since then. */
	if (u->evidence_at > l->resumed_at &&
	    u->evidence_at + EVIDENCE_LEASE > until)
		until = u->evidence_at + EVIDENCE_LEASE;
	return until;
}

bool upstream_alive(const upstream_t *u)
{
	return u->group && u->max_connections && !u->leaving &&
	       u->consecutive_failures < DOWN_AFTER_FAILURES;
}

bool upstream_usable(const core_t *c, const upstream_t *u, usec_t now)
{
	return u->group && u->max_connections && !u->leaving &&
	       u->blocked_until <= now && upstream_send_until(c, u, now) > now;
}

bool upstream_has_room(const upstream_t *u, bool urgent)
{
	unsigned limit = (unsigned)u->limit;

	if (limit > u->max_connections)
		limit = u->max_connections;
	if (urgent)
		return u->inflight < limit;
	/* One request in flight is reserved for urgent requests. */
	if (limit > 1)
		limit--;
	return u->inflight < limit &&
	       u->broad_inflight < (unsigned)u->broad_limit;
}

bool upstream_lacks(const upstream_t *u, uint64_t snapshot, uint32_t map)
{
	size_t i;

	if (!u->evidence.valid)
		return false;
	for (i = 0; i < u->evidence.nheld; i++)
		if (u->evidence.held[i].snapshot == snapshot &&
		    u->evidence.held[i].map_version == map)
			return false;
	return u->evidence.nheld > 0;
}

void upstream_add(upstream_t *u, attempt_t *a)
{
	a->prev = u->newest;
	a->next = NULL;
	if (u->newest)
		u->newest->next = a;
	else
		u->oldest = a;
	u->newest = a;
	u->inflight++;
	u->broad_inflight += !a->urgent;
}

void upstream_remove(upstream_t *u, attempt_t *a)
{
	if (a->prev)
		a->prev->next = a->next;
	else
		u->oldest = a->next;
	if (a->next)
		a->next->prev = a->prev;
	else
		u->newest = a->prev;
	u->inflight--;
	u->broad_inflight -= !a->urgent;
}

static usec_t oldest_age(const upstream_t *u, usec_t now)
{
	return u->oldest ? now - u->oldest->sent_at : 0;
}

bool upstream_suspect(const upstream_t *u, usec_t now)
{
	usec_t limit = SUSPECT_LATENCY_FACTOR *
		       (u->latency ? u->latency : LATENCY_FIRST);

	if (limit < SUSPECT_AGE_MIN)
		limit = SUSPECT_AGE_MIN;
	/* After refusals, one request at a time tests the server. */
	if (u->shed_until > now || (u->consecutive_sheds && u->inflight))
		return true;
	return oldest_age(u, now) > limit;
}

/*
 * Without new results the latency decays towards half of the group's median,
 * so that a server that was slow is tried again.
 */
static double latency_now(const upstream_t *u, usec_t now)
{
	double latency = u->latency ? (double)u->latency : LATENCY_FIRST;
	usec_t age = now - u->latency_at;
	double half_median;

	if (!u->group || u->latency == 0 || age < LATENCY_HALF_LIFE)
		return latency;
	half_median = (double)u->group->median / 2;
	for (; age >= LATENCY_HALF_LIFE && latency > half_median + 1;
	     age -= LATENCY_HALF_LIFE)
		latency = half_median + (latency - half_median) / 2;
	return latency;
}

double upstream_expected(const upstream_t *u, usec_t now)
{
	double latency = latency_now(u, now);
	usec_t oldest = oldest_age(u, now);
	double slots = u->slots ? u->slots : 1;
	usec_t age = now - u->evidence_at;
	double reported = 0;
	double load;

	/* The weight of the reported load decays with its age. */
	if (u->evidence.valid && age < 8 * EVIDENCE_HALF_LIFE) {
		reported = u->evidence.busy + u->evidence.queued;
		for (; age >= EVIDENCE_HALF_LIFE; age -= EVIDENCE_HALF_LIFE)
			reported /= 2;
	}
	/* The latency is at least the age of the oldest pending request. */
	if (oldest > latency)
		latency = (double)oldest;
	load = u->inflight > reported ? u->inflight : reported;
	return latency * (1.0 + load / slots);
}

void upstreams_free(core_t *c)
{
	upstreams_state_t *b = &c->state.upstreams;
	size_t i;

	for (i = 0; i < b->n; i++) {
		str_free(b->v[i]->addr);
		str_free(b->v[i]->dc);
		free(b->v[i]);
	}
	free(b->v);
	strmap_free(&b->by_addr);
}
