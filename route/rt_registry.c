/**
 * @file rt_registry.c
 * Servers as the registry publishes them: who is there, who leaves, who
 * lapsed while the registry was away, and which words are old.
 *
 * Load patterns: releases, servers that are emptied or replaced, addresses and
 * ids that are used again, leases that run out in an outage.
 */
#include <stdlib.h>

#include "libroute.h"

#define DEPARTED_TIME (60 * USEC_PER_SEC) /* old words come within seconds */

static rt_departed_t *find_departed(const rt_t *rt, str_t id)
{
	size_t i;

	for (i = 0; i < rt->ndeparted; i++)
		if (str_eq(rt->departed[i].id, id))
			return &rt->departed[i];
	return NULL;
}

static void forget_departed(rt_t *rt, rt_departed_t *d)
{
	str_free(d->id);
	*d = rt->departed[--rt->ndeparted];
}

/* Remembers what a server that goes said last, for a time. */
static void note_departed(rt_t *rt, const rt_server_t *s, usec_t now)
{
	rt_departed_t *d;
	size_t i;

	for (i = 0; i < rt->ndeparted;)
		if (now - rt->departed[i].at > DEPARTED_TIME)
			forget_departed(rt, &rt->departed[i]);
		else
			i++;
	d = find_departed(rt, s->id);
	if (!d) {
		rt->departed = xrealloc(rt->departed,
					(rt->ndeparted + 1) * sizeof(*d));
		d = &rt->departed[rt->ndeparted++];
		d->id = str_dup(s->id);
	}
	d->incarnation = s->incarnation;
	d->report = s->report;
	d->at = now;
}

/*
 * A word that a process sent earlier may be written after a later one, even
 * after its entry was removed. It must not bring a leaving server back.
 */
static bool is_old_word(const rt_t *rt, const rt_server_t *s,
			const rt_entry_t *e)
{
	const rt_departed_t *d = find_departed(rt, e->id);
	uint64_t incarnation, report;

	if (!s && !d)
		return false;
	incarnation = s ? s->incarnation : d->incarnation;
	report = s ? s->report : d->report;
	if (e->incarnation != incarnation)
		return e->incarnation < incarnation;
	/* What changes may be told twice; what went must not be. */
	return s && !s->gone ? e->report < report : e->report <= report;
}

void rt_server_leave(rt_t *rt, rt_server_t *s, rt_why_t why, usec_t now)
{
	if (why == RT_WHY_DRAINING ? s->draining : s->gone)
		return;
	/* Its own word that it moved is no word of the registry. */
	if (why == RT_WHY_GONE)
		note_departed(rt, s, now);
	if (why == RT_WHY_DRAINING)
		s->draining = true;
	else
		s->gone = true;
	rt_server_log(rt, s, why, 0);
	if (s->gone)
		rt_act_add(rt, RT_ACT_CLOSE)->server.server = s->num;
}

static void remove_from_service(rt_server_t *s)
{
	rt_svc_t *svc = s->svc;
	size_t i;

	for (i = 0; i < svc->n; i++)
		if (svc->v[i] == s) {
			svc->v[i] = svc->v[--svc->n];
			return;
		}
}

static void server_free(rt_t *rt, rt_server_t *s)
{
	remove_from_service(s);
	/* Another process may have the id by now. */
	if (strmap_get(&rt->servers, s->id) == s)
		strmap_del(&rt->servers, s->id);
	idmap_del(&rt->server_nums, s->num);
	str_free(s->id);
	str_free(s->addr);
	str_free(s->dc);
	free(s);
}

void rt_server_release(rt_t *rt, rt_server_t *s)
{
	if (s->gone && s->inflight == 0)
		server_free(rt, s);
}

static rt_server_t *server_new(rt_t *rt, const rt_entry_t *e)
{
	rt_server_t *s = xcalloc(1, sizeof(*s));
	rt_svc_t *svc = rt_svc_get(rt, e->service);

	s->num = idmap_add(&rt->server_nums, s);
	s->id = str_dup(e->id);
	s->addr = str_dup(e->addr);
	s->dc = str_dup(e->dc);
	s->svc = svc;
	s->near = str_eq(s->dc, rt->dc);
	s->pace = rt_server_first_pace(s);
	if (svc->n == svc->room) {
		svc->room = svc->room ? svc->room * 2 : 8;
		svc->v = xrealloc(svc->v, svc->room * sizeof(s));
	}
	svc->v[svc->n++] = s;
	strmap_put(&rt->servers, s->id, s);
	return s;
}

/* A known id with another process, address or service is another server. */
static bool same_process(const rt_server_t *s, const rt_entry_t *e)
{
	return !s->gone && str_eq(s->addr, e->addr) &&
	       str_eq(s->svc->name, e->service) &&
	       s->incarnation == e->incarnation;
}

/* Makes room for a new server under the id; the old one runs out. */
static void retire(rt_t *rt, rt_server_t *s, usec_t now)
{
	rt_server_leave(rt, s, RT_WHY_GONE, now);
	strmap_del(&rt->servers, s->id);
	rt_server_release(rt, s);
}

void rt_entry(rt_t *rt, const rt_entry_t *e, usec_t now)
{
	rt_server_t *s = strmap_get(&rt->servers, e->id);
	rt_act_t *a;

	if (is_old_word(rt, s, e)) {
		if (s)
			rt_server_log(rt, s, RT_WHY_OLD_WORD, 0);
		return;
	}
	if (s && !same_process(s, e)) {
		retire(rt, s, now);
		s = NULL;
	}
	if (!s) {
		s = server_new(rt, e);
		rt_server_log(rt, s, RT_WHY_NEW, 0);
		s->incarnation = e->incarnation;
		a = rt_act_add(rt, RT_ACT_OPEN);
		a->server.server = s->num;
		a->server.addr = arena_str(&rt->scratch, s->addr);
		a->server.warm = s->near && !e->draining ? 1 : 0;
		a->server.keep = s->near;
	}
	s->report = e->report;
	s->slots = e->slots ? e->slots : 1;
	s->warm_at = e->warm_left > 0 ? now + e->warm_left : 0;
	s->lapsed_at = 0;
	if (e->draining)
		rt_server_leave(rt, s, RT_WHY_DRAINING, now);
	rt_wait_drain(rt, s->svc, now);
}

/*
 * Leases run out while the registry is away though their servers live. One
 * that lapsed so is kept as a last choice until it had time to register.
 */
static bool may_be_lapse(const rt_t *rt, usec_t now)
{
	return rt->registry_back_at &&
	       now - rt->registry_back_at < RT_LAPSE_WAIT;
}

void rt_gone(rt_t *rt, str_t id, usec_t now)
{
	rt_server_t *s = strmap_get(&rt->servers, id);

	if (!s || s->gone)
		return;
	if (may_be_lapse(rt, now)) {
		if (!s->lapsed_at)
			rt_server_log(rt, s, RT_WHY_LAPSED, RT_LAPSE_WAIT);
		s->lapsed_at = rt->registry_back_at;
		return;
	}
	rt_server_leave(rt, s, RT_WHY_GONE, now);
	rt_server_release(rt, s);
}

void rt_registry(rt_t *rt, bool up, usec_t now)
{
	if (up == rt->registry_up)
		return;
	rt->registry_up = up;
	if (up)
		rt->registry_back_at = now;
}

void rt_registry_was_back(rt_t *rt, usec_t at)
{
	if (at > rt->registry_back_at)
		rt->registry_back_at = at;
}

usec_t rt_registry_back(const rt_t *rt, usec_t now)
{
	return rt->registry_back_at ? now - rt->registry_back_at : -1;
}

void rt_servers_free(rt_t *rt)
{
	uint32_t i;
	rt_server_t *s;

	for (i = 0; i < rt->server_nums.n; i++) {
		s = idmap_at(&rt->server_nums, i);
		if (s)
			server_free(rt, s);
	}
}
