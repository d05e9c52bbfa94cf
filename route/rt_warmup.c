/**
 * @file rt_warmup.c
 * Rate limit of cold servers. A cold server crashes if all hosts together send
 * it more requests in a second than a limit. Hosts exchange no messages about
 * it: each draws lots for its share. Time is divided into slots, and a host may
 * send a server at most the number of requests in a slot that it drew for it. A
 * request that it does not send in its slot is lost, so hosts that were idle
 * have no more to send than others.
 *
 * Load patterns: servers that start, or become cold while they run, beside a
 * hundred hosts that each see one query a second; all servers of a service
 * start at once.
 */
#include <math.h>

#include "libroute.h"

/* Length of a slot. In longer slots a host that sees few queries uses more of
 * its requests, but more of them may fall into one second. With a query a
 * second at each of 91 hosts, slots of a quarter, a half, 1 and 2 s let 0.66,
 * 1, 1.23 and 1.13 times as many pass, as calculated. */
#define SLOT (1 * USEC_PER_SEC)
/* Requests of one host that were sent within this time may reach a server
 * within a second: it may be paused for a quarter of a second, and reads then
 * what arrived meanwhile. */
#define ARRIVAL_TIME (1250 * USEC_PER_MSEC)
/* Standard deviations by which the mean of all hosts stays below the limit. */
#define MARGIN 5.0
/* Slots within which a request is looked for; requests don't wait longer. */
#define MAX_SLOTS_AHEAD 16
/* Odd constant that separates the slots in the sequence of lots. */
#define SLOT_STEP 0x9e3779b97f4a7c15u

bool rt_server_is_cold(const rt_server_t *s, usec_t now)
{
	return now < s->warmup_until || now < s->said_cold_until;
}

bool rt_warmup_limits(const rt_server_t *s, usec_t now)
{
	return s->svc->warmup_per_s > 0 && rt_server_is_cold(s, now);
}

void rt_on_server_warmup(rt_t *rt, uint64_t server, usec_t left, usec_t now)
{
	rt_server_t *s = idmap_get(&rt->server_nums, server);
	bool was_cold;

	if (!s || left <= 0)
		return;
	if (left > RT_MAX_WARMUP)
		left = RT_MAX_WARMUP;
	was_cold = rt_server_is_cold(s, now);
	if (now + left > s->said_cold_until)
		s->said_cold_until = now + left;
	if (!was_cold)
		rt_server_log(rt, s, RT_WHY_COLD, left);
}

/*
 * Mean number of requests in ARRIVAL_TIME and a slot that all hosts together
 * may draw: the largest mean m with m + MARGIN * sqrt(m) <= limit, and at most
 * the rate of the service. Slots begin at different times at each host, so that
 * requests of a time belong to slots that begin up to a slot before it.
 */
static double mean_drawn(const rt_params_t *p, double per_s)
{
	double limit = per_s * p->warmup_overage + p->warmup_slack;
	double root = (sqrt(MARGIN * MARGIN + 4 * limit) - MARGIN) / 2;

	return root * root < per_s ? root * root : per_s;
}

/* Mean number of requests in a slot that all hosts together draw. */
static double mean_in_slot(const rt_t *rt, const rt_server_t *s)
{
	return mean_drawn(&rt->p, s->svc->warmup_per_s) * (double)SLOT /
	       (double)(ARRIVAL_TIME + SLOT);
}

double rt_warmup_rate(const rt_t *rt, const rt_server_t *s)
{
	return mean_in_slot(rt, s) * (double)USEC_PER_SEC / (double)SLOT;
}

/* The hash of the host and the server's data centre. Servers of a data centre
 * have the same lots: a query over many shards finds a request left at all of
 * them, or at none. */
static uint64_t lots_of(const rt_t *rt, const rt_server_t *s)
{
	return str_hash(s->dc, rt->p.seed);
}

static usec_t phase_of(uint64_t lots)
{
	return (usec_t)(lots % (uint64_t)SLOT);
}

static int64_t slot_of(uint64_t lots, usec_t now)
{
	return (now + phase_of(lots)) / SLOT;
}

/* Requests that this host drew for a server and slot. */
static unsigned drawn(const rt_t *rt, const rt_server_t *s, int64_t slot)
{
	rng_t r = { lots_of(rt, s) + (uint64_t)slot * SLOT_STEP };

	return (unsigned)(mean_in_slot(rt, s) / rt->p.hosts + rng_unit(&r));
}

/* Requests that this host may still send to a server in a slot. */
static unsigned left_in(const rt_t *rt, const rt_server_t *s, int64_t slot)
{
	unsigned n = drawn(rt, s, slot);
	unsigned taken = s->warmup_slot == slot ? s->warmup_taken : 0;

	return taken < n ? n - taken : 0;
}

bool rt_warmup_allows(const rt_t *rt, const rt_server_t *s, usec_t now)
{
	return !rt_warmup_limits(s, now) ||
	       left_in(rt, s, slot_of(lots_of(rt, s), now)) > 0;
}

void rt_warmup_take(rt_t *rt, rt_server_t *s, usec_t now)
{
	int64_t slot = slot_of(lots_of(rt, s), now);

	if (!rt_warmup_limits(s, now))
		return;
	if (s->warmup_slot != slot)
		s->warmup_taken = 0;
	s->warmup_slot = slot;
	s->warmup_taken++;
	rt->counters[RT_CNT_COLD_SENDS]++;
}

bool rt_svc_all_cold(const rt_svc_t *svc, usec_t now)
{
	bool found = false;
	size_t i;

	for (i = 0; i < svc->n; i++) {
		if (!rt_server_accepts(svc->v[i], now) &&
		    !rt_server_stands_in(svc->v[i], now))
			continue;
		if (!rt_warmup_limits(svc->v[i], now))
			return false;
		found = true;
	}
	return found;
}

/* Time until this host may have sent n requests more to a server; more than
 * MAX_SLOTS_AHEAD slots if it may not within these. */
static usec_t server_wait(const rt_t *rt, const rt_server_t *s, uint64_t n,
			  usec_t now)
{
	uint64_t lots = lots_of(rt, s), found = 0;
	int64_t first = slot_of(lots, now), i;
	usec_t begins;

	for (i = 0; i < MAX_SLOTS_AHEAD; i++) {
		found += left_in(rt, s, first + i);
		if (found < n)
			continue;
		begins = (first + i) * SLOT - phase_of(lots);
		return begins > now ? begins - now : 0;
	}
	return MAX_SLOTS_AHEAD * SLOT;
}

/* Each server is taken alone: a few requests wait, so that it hardly matters
 * that several servers may serve them. */
usec_t rt_svc_warmup_wait(const rt_t *rt, const rt_svc_t *svc, uint64_t n,
			  usec_t now)
{
	usec_t least = MAX_SLOTS_AHEAD * SLOT, wait;
	size_t i;

	for (i = 0; i < svc->n; i++) {
		if (!rt_server_accepts(svc->v[i], now))
			continue;
		wait = server_wait(rt, svc->v[i], n, now);
		if (wait < least)
			least = wait;
	}
	return least;
}
