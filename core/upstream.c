/**
 * @file upstream.c
 * What is believed of each server: its evidence with its age, the limit of
 * requests in flight to it, and whether it is leaving.
 */
#include <stdlib.h>

#include "libcore.h"

#define LATENCY_WEIGHT 8 /* an answer counts for an eighth of the mean */
#define LATENCY_FIRST (5 * USEC_PER_MSEC)
#define LIMIT_DECREASE 0.7
#define BROAD_DECREASE 0.9
#define BROAD_INCREASE 0.1
#define LIMIT_DECREASE_PERIOD (50 * USEC_PER_MSEC)

upstream_t *upstream_find(core_t *c, str_t addr)
{
	return strmap_get(&c->board.upstreams.by_addr, addr);
}

upstream_t *upstream_get(core_t *c, str_t addr)
{
	board_upstreams_t *b = &c->board.upstreams;
	upstream_t *u = upstream_find(c, addr);

	if (u)
		return u;
	u = xcalloc(1, sizeof(*u));
	u->addr = str_dup(addr);
	if (b->n == b->room) {
		b->room = b->room ? b->room * 2 : 64;
		b->v = xrealloc(b->v, b->room * sizeof(*b->v));
	}
	b->v[b->n++] = u;
	strmap_put(&b->by_addr, u->addr, u);
	return u;
}

/* Attempts that were handed out and not sent yet go elsewhere. */
static void call_back(core_t *c, const upstream_t *u)
{
	const attempt_t *a;
	uint32_t i;

	for (i = 0; i < c->attempts.n; i++) {
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
	u->leaving_at = now;
	call_back(c, u);
	act_log(c, &(decision_line_t){
			   .what = DEC_LEAVING, .why = why, .addr = u->addr });
}

void upstream_evidence(core_t *c, upstream_t *u, const evidence_t *e, usec_t at,
		       usec_t now)
{
	if (!e->valid || at < u->heard_at)
		return;
	u->evidence = *e;
	u->heard_at = at;
	if (e->slots)
		u->slots = e->slots;
	if (e->draining)
		upstream_leave(c, u, WHY_LEAVING, now);
}

static void limit_increase(upstream_t *u)
{
	u->limit += 1.0 / u->limit;
	if (u->limit > u->cap)
		u->limit = u->cap;
}

/*
 * Broad requests may fill a server's slots but not its queue, where urgent
 * ones would wait behind them: the limit follows the queue that it tells of.
 */
static void steer_broad(upstream_t *u, const evidence_t *e, usec_t took)
{
	usec_t usual = u->group ? u->group->usual : 0;
	bool full = e->valid && e->queued > 0;

	if (usual && took > SLOW_MEDIANS * usual)
		full = true;
	if (full)
		u->broad_limit *= BROAD_DECREASE;
	else
		u->broad_limit += BROAD_INCREASE / u->broad_limit;
	if (u->broad_limit > u->cap)
		u->broad_limit = u->cap;
	if (u->broad_limit < UPSTREAM_MIN_LIMIT)
		u->broad_limit = UPSTREAM_MIN_LIMIT;
}

static void limit_decrease(upstream_t *u, usec_t now)
{
	uint64_t epoch = (uint64_t)(now / LIMIT_DECREASE_PERIOD);

	if (epoch == u->decreased_epoch)
		return;
	u->decreased_epoch = epoch;
	u->limit *= LIMIT_DECREASE;
	if (u->limit < UPSTREAM_MIN_LIMIT)
		u->limit = UPSTREAM_MIN_LIMIT;
}

static void note_latency(upstream_t *u, usec_t took, usec_t now)
{
	u->latency_at = now;
	if (u->latency == 0)
		u->latency = took;
	else
		u->latency += (took - u->latency) / LATENCY_WEIGHT;
	if (u->latency < 1)
		u->latency = 1;
}

/* Doubles from low to high with each time in a row. */
static usec_t doubled(usec_t low, usec_t high, unsigned times)
{
	while (times-- && low < high)
		low *= 2;
	return low;
}

static void note_failure(upstream_t *u, usec_t now)
{
	u->blocked_until = now + doubled(CONNECT_BACKOFF_MIN,
					 CONNECT_BACKOFF_MAX, u->failures++);
}

/* A refusal is quick, so it must not make the server look fast. */
static void note_shed(upstream_t *u, usec_t now)
{
	u->shed_until =
		now + doubled(SHED_BACKOFF_MIN, SHED_BACKOFF_MAX, u->sheds++);
}

void upstream_unreachable(upstream_t *u, usec_t now)
{
	note_failure(u, now);
}

void upstream_result(upstream_t *u, result_t r, usec_t took, usec_t now)
{
	switch (r) {
	case RES_OK:
		u->failures = 0;
		u->blocked_until = 0;
		u->sheds = 0;
		note_latency(u, took, now);
		limit_increase(u);
		steer_broad(u, &u->evidence, took);
		break;
	case RES_SHED:
		u->failures = 0;
		note_shed(u, now);
		limit_decrease(u, now);
		break;
	case RES_LOST:
	case RES_CROSSED:
	case RES_ERROR:
		note_latency(u, took > u->latency ? took : u->latency, now);
		limit_decrease(u, now);
		if (r == RES_LOST)
			note_failure(u, now);
		break;
	case RES_CANCELLED:
		note_latency(u, took > u->latency ? took : u->latency, now);
		break;
	case RES_NOT_SENT:
	case RES_MISS:
	case RES_MAX:
		break;
	}
}

usec_t upstream_send_until(const core_t *c, const upstream_t *u, usec_t now)
{
	const board_list_t *l = &c->board.list;
	usec_t until = 0;

	if (!c->params.list_lease)
		return INT64_MAX;
	if (l->confirmed_at)
		until = l->confirmed_at + LIST_LEASE;
	if (!l->platform_down)
		return until;
	/* The list cannot be had: what this process knew, if it did not sleep.
	 */
	if (!l->slept && now + EVIDENCE_LEASE > until)
		until = now + EVIDENCE_LEASE;
	/* Else the server's own word, if it came after the sleep. */
	if (u->heard_at > l->woke_at && u->heard_at + EVIDENCE_LEASE > until)
		until = u->heard_at + EVIDENCE_LEASE;
	return until;
}

bool upstream_alive(const upstream_t *u)
{
	return u->group && u->cap && !u->leaving &&
	       u->failures < DOWN_AFTER_FAILURES;
}

bool upstream_usable(const core_t *c, const upstream_t *u, usec_t now)
{
	return u->group && u->cap && !u->leaving && u->blocked_until <= now &&
	       upstream_send_until(c, u, now) > now;
}

bool upstream_has_room(const upstream_t *u, bool urgent)
{
	unsigned limit = (unsigned)u->limit;

	if (limit > u->cap)
		limit = u->cap;
	if (urgent)
		return u->inflight < limit;
	/* One place in flight is kept for urgent requests. */
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
		    u->evidence.held[i].map == map)
			return false;
	return u->evidence.nheld > 0;
}

void upstream_add(upstream_t *u, attempt_t *a)
{
	a->prev = u->last;
	a->next = NULL;
	if (u->last)
		u->last->next = a;
	else
		u->first = a;
	u->last = a;
	u->inflight++;
	u->broad_inflight += !a->urgent;
}

void upstream_remove(upstream_t *u, attempt_t *a)
{
	if (a->prev)
		a->prev->next = a->next;
	else
		u->first = a->next;
	if (a->next)
		a->next->prev = a->prev;
	else
		u->last = a->prev;
	u->inflight--;
	u->broad_inflight -= !a->urgent;
}

static usec_t oldest_age(const upstream_t *u, usec_t now)
{
	return u->first ? now - u->first->sent_at : 0;
}

bool upstream_suspect(const upstream_t *u, usec_t now)
{
	usec_t limit =
		SUSPECT_LATENCIES * (u->latency ? u->latency : LATENCY_FIRST);

	if (limit < SUSPECT_MIN)
		limit = SUSPECT_MIN;
	/* After refusals one request at a time finds out whether it is well. */
	if (u->shed_until > now || (u->sheds && u->inflight))
		return true;
	return oldest_age(u, now) > limit;
}

/*
 * What it was slow at fades towards half of the group's usual time while it
 * is not used, so that one that is well again is tried again.
 */
static double latency_now(const upstream_t *u, usec_t now)
{
	double latency = u->latency ? (double)u->latency : LATENCY_FIRST;
	usec_t age = now - u->latency_at;
	double usual;

	if (!u->group || u->latency == 0 || age < LATENCY_HALF_LIFE)
		return latency;
	usual = (double)u->group->usual / 2;
	for (; age >= LATENCY_HALF_LIFE && latency > usual + 1;
	     age -= LATENCY_HALF_LIFE)
		latency = usual + (latency - usual) / 2;
	return latency;
}

double upstream_expected(const upstream_t *u, usec_t now)
{
	double latency = latency_now(u, now);
	usec_t oldest = oldest_age(u, now);
	double slots = u->slots ? u->slots : 1;
	usec_t age = now - u->heard_at;
	double others = 0;
	double load;

	/* What the server told of others' requests fades with its age. */
	if (u->evidence.valid && age < 8 * EVIDENCE_HALF_LIFE) {
		others = u->evidence.busy + u->evidence.queued;
		for (; age >= EVIDENCE_HALF_LIFE; age -= EVIDENCE_HALF_LIFE)
			others /= 2;
	}
	/* One that does not answer is at least as slow as that shows. */
	if (oldest > latency)
		latency = (double)oldest;
	load = u->inflight > others ? u->inflight : others;
	return latency * (1.0 + load / slots);
}

void upstreams_free(core_t *c)
{
	board_upstreams_t *b = &c->board.upstreams;
	size_t i;

	for (i = 0; i < b->n; i++) {
		str_free(b->v[i]->addr);
		str_free(b->v[i]->dc);
		free(b->v[i]);
	}
	free(b->v);
	strmap_free(&b->by_addr);
}
