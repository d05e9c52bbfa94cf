/**
 * @file rt_registry.c
 * The list of servers from the registry: servers that are added, drained and
 * removed, leases that expire during an outage of the registry, and reports
 * that arrive out of order.
 *
 * Load patterns: servers that leave and say so in their answers before the
 * registry does, if it can be read at all; releases, servers that are drained
 * or replaced, addresses and ids that are used again, leases that expire in an
 * outage.
 */
#include <stdlib.h>

#include "libroute.h"

/* Time for which removed servers are remembered: stale reports arrive within
 * seconds. */
#define REMOVED_KEEP_TIME (60 * USEC_PER_SEC)

static rt_removed_t *find_removed(const rt_t *rt, str_t id)
{
	size_t i;

	for (i = 0; i < rt->nremoved; i++)
		if (str_eq(rt->removed[i].id, id))
			return &rt->removed[i];
	return NULL;
}

static void forget_removed(rt_t *rt, rt_removed_t *d)
{
	str_free(d->id);
	*d = rt->removed[--rt->nremoved];
}

/* Stores the last report of a removed server, and drops expired ones. */
static void remember_removed(rt_t *rt, const rt_server_t *s, usec_t now)
{
	rt_removed_t *d;
	size_t i;

	for (i = 0; i < rt->nremoved;)
		if (now - rt->removed[i].at > REMOVED_KEEP_TIME)
			forget_removed(rt, &rt->removed[i]);
		else
			i++;
	d = find_removed(rt, s->id);
	if (!d) {
		rt->removed =
			xrealloc(rt->removed, (rt->nremoved + 1) * sizeof(*d));
		d = &rt->removed[rt->nremoved++];
		d->id = str_dup(s->id);
	}
	d->incarnation = s->incarnation;
	d->report = s->report;
	d->draining = s->draining;
	d->paused_until = s->paused_until;
	d->at = now;
}

/*
 * Reports of a process may reach the registry out of order, even after its
 * entry was removed. A stale one must not bring a leaving server back.
 */
static bool is_stale_report(const rt_t *rt, const rt_server_t *s,
			    const rt_entry_t *e)
{
	const rt_removed_t *d = find_removed(rt, e->id);
	uint64_t incarnation, report;

	if (!s && !d)
		return false;
	incarnation = s ? s->incarnation : d->incarnation;
	report = s ? s->report : d->report;
	if (e->incarnation != incarnation)
		return e->incarnation < incarnation;
	/* The last report may be repeated, unless the server was removed. */
	return s && !s->removed ? e->report < report : e->report <= report;
}

void rt_server_mark_leaving(rt_t *rt, rt_server_t *s, rt_why_t why, usec_t now)
{
	bool drains = why == RT_WHY_DRAINING || why == RT_WHY_SAID_LEAVING;

	if (drains ? s->draining : s->removed)
		return;
	/* RT_WHY_MOVED comes from an answer, not from the registry, so the
	 * last report is not stored then. */
	if (why == RT_WHY_REMOVED)
		remember_removed(rt, s, now);
	if (drains)
		s->draining = true;
	else
		s->removed = true;
	s->serves_until = 0;
	if (why == RT_WHY_DRAINING)
		rt_leaving_begin(rt, s);
	rt_server_log(rt, s, why, 0);
	/* A server that may stand in keeps its connections for so long. */
	if (!s->serves_until)
		rt_act_add(rt, RT_ACT_CLOSE)->server.server = s->num;
}

void rt_on_server_leaving(rt_t *rt, uint64_t server, usec_t now)
{
	rt_server_t *s = idmap_get(&rt->server_nums, server);

	if (!s || (s->draining && !s->serves_until))
		return;
	rt->counters[RT_CNT_SAID_LEAVING]++;
	if (s->draining) {
		/* Its own word goes before the time that the registry's notice
		 * leaves. */
		s->serves_until = 0;
		rt_act_add(rt, RT_ACT_CLOSE)->server.server = s->num;
	}
	rt_server_mark_leaving(rt, s, RT_WHY_SAID_LEAVING, now);
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
	/* Another process may use the id by now. */
	if (strmap_get(&rt->servers, s->id) == s)
		strmap_del(&rt->servers, s->id);
	idmap_del(&rt->server_nums, s->num);
	str_free(s->id);
	str_free(s->addr);
	str_free(s->dc);
	free(s);
}

void rt_server_free_if_idle(rt_t *rt, rt_server_t *s)
{
	if (s->removed && s->inflight == 0)
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
	s->same_dc = str_eq(s->dc, rt->dc);
	s->affinity = str_hash(e->id, rt->p.seed);
	s->pace = rt_server_initial_pace(s);
	rt_evacuate_new_server(rt, s);
	if (svc->n == svc->capacity) {
		svc->capacity = svc->capacity ? svc->capacity * 2 : 8;
		svc->v = xrealloc(svc->v, svc->capacity * sizeof(s));
	}
	svc->v[svc->n++] = s;
	strmap_put(&rt->servers, s->id, s);
	return s;
}

/* Whether an entry is about the known process. Another incarnation, address,
 * service or data centre means another server, even under the same id. */
static bool same_process(const rt_server_t *s, const rt_entry_t *e)
{
	return !s->removed && str_eq(s->addr, e->addr) &&
	       str_eq(s->svc->name, e->service) && str_eq(s->dc, e->dc) &&
	       s->incarnation == e->incarnation;
}

/* Restores what a process itself said before its entry was removed: an entry
 * that lapsed, or a late report, may come back as ready. */
static void restore_state(rt_t *rt, rt_server_t *s, usec_t now)
{
	const rt_removed_t *d = find_removed(rt, s->id);

	if (!d || d->incarnation != s->incarnation)
		return;
	s->paused_until = d->paused_until;
	if (d->draining)
		rt_server_mark_leaving(rt, s, RT_WHY_DRAINING, now);
	s->serves_until = 0; /* the notice was earlier */
}

/* Removes a server whose id another one takes over; sends in flight to the old
 * one continue. */
static void replace_server(rt_t *rt, rt_server_t *s, usec_t now)
{
	rt_server_mark_leaving(rt, s, RT_WHY_REMOVED, now);
	strmap_del(&rt->servers, s->id);
	rt_server_free_if_idle(rt, s);
}

void rt_server_open(rt_t *rt, rt_server_t *s)
{
	rt_act_t *a = rt_act_add(rt, RT_ACT_OPEN);

	a->server.server = s->num;
	a->server.addr = arena_str(&rt->scratch, s->addr);
	a->server.preconnect = s->same_dc && rt_server_usable(s) ? 1 : 0;
	a->server.keep_idle = s->same_dc;
}

void rt_server_published(rt_t *rt, const rt_entry_t *e, usec_t now)
{
	rt_server_t *s = strmap_get(&rt->servers, e->id);
	bool was_cold;

	if (is_stale_report(rt, s, e)) {
		if (s)
			rt_server_log(rt, s, RT_WHY_STALE_REPORT, 0);
		return;
	}
	if (s && !same_process(s, e)) {
		replace_server(rt, s, now);
		s = NULL;
	}
	if (!s) {
		s = server_new(rt, e);
		rt_server_log(rt, s, RT_WHY_NEW, 0);
		s->incarnation = e->incarnation;
		restore_state(rt, s, now);
		if (!e->draining)
			rt_server_open(rt, s);
	}
	s->report = e->report;
	s->slots = e->slots ? e->slots : 1;
	was_cold = rt_server_is_cold(s, now);
	s->warmup_until = e->warmup_left > 0 ? now + e->warmup_left : 0;
	if (!was_cold && rt_server_is_cold(s, now))
		rt_server_log(rt, s, RT_WHY_COLD, e->warmup_left);
	s->lapsed_at = 0;
	if (e->draining)
		rt_server_mark_leaving(rt, s, RT_WHY_DRAINING, now);
	rt_wait_drain(rt, s->svc, now);
}

/*
 * During an outage of the registry the leases of running servers expire. Such a
 * server stays usable, with a low rank, until it had time to register again.
 */
static bool may_have_lapsed(const rt_t *rt, usec_t now)
{
	return rt->registry_back_at &&
	       now - rt->registry_back_at < RT_LAPSE_GRACE;
}

void rt_server_removed(rt_t *rt, str_t id, usec_t now)
{
	rt_server_t *s = strmap_get(&rt->servers, id);

	if (!s || s->removed)
		return;
	if (may_have_lapsed(rt, now)) {
		if (!s->lapsed_at)
			rt_server_log(rt, s, RT_WHY_LAPSED, RT_LAPSE_GRACE);
		s->lapsed_at = rt->registry_back_at;
		return;
	}
	rt_server_mark_leaving(rt, s, RT_WHY_REMOVED, now);
	rt_server_free_if_idle(rt, s);
}

void rt_set_registry_up(rt_t *rt, bool up, usec_t now)
{
	if (up == rt->registry_up)
		return;
	rt->registry_up = up;
	if (up)
		rt->registry_back_at = now;
}

void rt_set_registry_back(rt_t *rt, usec_t at)
{
	if (at > rt->registry_back_at)
		rt->registry_back_at = at;
}

void rt_on_registry_restored(rt_t *rt, usec_t now)
{
	rt->registry_restored_at = now;
	rt_set_registry_back(rt, now);
}

usec_t rt_registry_back_age(const rt_t *rt, usec_t now)
{
	return rt->registry_back_at ? now - rt->registry_back_at : -1;
}

void rt_servers_free(rt_t *rt)
{
	uint32_t i;
	rt_server_t *s;

	for (i = 0; i < rt->server_nums.nslots; i++) {
		s = idmap_at(&rt->server_nums, i);
		if (s)
			server_free(rt, s);
	}
}
