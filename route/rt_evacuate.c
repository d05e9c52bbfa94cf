/**
 * @file rt_evacuate.c
 * Data centres that operators evacuate: while the evacuation is published, no
 * server there gets a send of any kind. It may be published before the servers
 * of the data centre are, so it is kept by name and applied to servers that
 * become known later.
 *
 * Load pattern: a data centre is taken out of service while it works, so that a
 * third of the servers of each shard gets no requests from one moment to the
 * next; some requests are queued for them, on the way, or wait for a connection
 * to open.
 */
#include <stdlib.h>

#include "libroute.h"

/* Time after which a data centre without a server counts as unknown. A list of
 * published state has the keys of evacuations before those of servers, and is
 * applied within this time. */
#define UNKNOWN_AFTER (1 * USEC_PER_SEC)
/* Time after which an evacuation is over that the copy lacks from which the
 * registry was restored. Operators write what was lost again; a longer
 * evacuation does less harm than one that is interrupted. */
#define RESTORE_HOLD (5 * USEC_PER_SEC)

static rt_evacuation_t *find_evacuation(const rt_t *rt, str_t dc)
{
	size_t i;

	for (i = 0; i < rt->nevacuations; i++)
		if (str_eq(rt->evacuations[i].dc, dc))
			return &rt->evacuations[i];
	return NULL;
}

static void log_evacuation(rt_t *rt, str_t dc, rt_why_t why, size_t nservers)
{
	rt_log(rt, &(rt_log_line_t){ .event = "evacuate",
				     .why = why,
				     .dc = dc,
				     .n = nservers,
				     .result = RT_RESULT_MAX,
				     .age = -1,
				     .info = true });
}

/* Ends the sends that wait for a connection to open, too: rt_send_ended()
 * redirects them to other servers. */
static void close_connections(rt_t *rt, const rt_server_t *s)
{
	rt_act_t *a = rt_act_add(rt, RT_ACT_CLOSE);

	a->server.server = s->num;
	a->server.end_opening = true;
}

/* Marks the servers of a data centre; returns their number. */
static size_t mark_servers(rt_t *rt, str_t dc, bool evacuated)
{
	rt_server_t *s;
	size_t n = 0;
	uint32_t i;

	for (i = 0; i < rt->server_nums.nslots; i++) {
		s = idmap_at(&rt->server_nums, i);
		if (!s || !str_eq(s->dc, dc))
			continue;
		s->evacuated = evacuated;
		n += !s->removed;
		if (evacuated)
			close_connections(rt, s);
		else if (rt_server_usable(s))
			rt_server_open(rt, s);
	}
	return n;
}

static void begin_evacuation(rt_t *rt, str_t dc, usec_t now)
{
	rt_evacuation_t *e;
	size_t n;

	rt->evacuations =
		xrealloc(rt->evacuations, (rt->nevacuations + 1) * sizeof(*e));
	e = &rt->evacuations[rt->nevacuations++];
	*e = (rt_evacuation_t){ .dc = str_dup(dc) };
	n = mark_servers(rt, dc, true);
	e->known = n > 0 || str_eq(dc, rt->dc);
	if (e->known)
		log_evacuation(rt, dc, RT_WHY_EVACUATED, n);
	else
		e->check_at = now + UNKNOWN_AFTER;
	/* Refuses at once what waits for a service without other servers. */
	rt_waits_sweep(rt, now);
}

static void withdraw_evacuation(rt_t *rt, rt_evacuation_t *e, usec_t now)
{
	str_t dc = e->dc;
	size_t i;

	*e = rt->evacuations[--rt->nevacuations];
	log_evacuation(rt, dc, RT_WHY_WITHDRAWN, mark_servers(rt, dc, false));
	str_free(dc);
	for (i = 0; i < rt->nsvcs; i++)
		if (rt->all_svcs[i]->nwaiting)
			rt_wait_drain(rt, rt->all_svcs[i], now);
}

static bool was_restored(const rt_t *rt, usec_t now)
{
	return rt->registry_restored_at &&
	       now - rt->registry_restored_at < RESTORE_HOLD;
}

void rt_set_evacuated(rt_t *rt, str_t dc, bool evacuated, usec_t now)
{
	rt_evacuation_t *e = find_evacuation(rt, dc);

	if (evacuated && !e)
		begin_evacuation(rt, dc, now);
	else if (evacuated)
		e->withdraw_at = 0;
	else if (e && was_restored(rt, now))
		e->withdraw_at = rt->registry_restored_at + RESTORE_HOLD;
	else if (e)
		withdraw_evacuation(rt, e, now);
}

size_t rt_evacuated_count(const rt_t *rt)
{
	size_t n = 0, i;

	for (i = 0; i < rt->nevacuations; i++)
		n += rt->evacuations[i].known;
	return n;
}

void rt_evacuate_new_server(rt_t *rt, rt_server_t *s)
{
	rt_evacuation_t *e = find_evacuation(rt, s->dc);

	s->evacuated = e != NULL;
	if (!e || e->known)
		return;
	e->known = true;
	e->check_at = 0;
	log_evacuation(rt, s->dc, RT_WHY_EVACUATED, 1);
}

void rt_evacuations_sweep(rt_t *rt, usec_t now)
{
	rt_evacuation_t *e;
	size_t i;

	for (i = rt->nevacuations; i > 0; i--) {
		e = &rt->evacuations[i - 1];
		if (e->withdraw_at && now >= e->withdraw_at) {
			withdraw_evacuation(rt, e, now);
			continue;
		}
		if (!e->check_at || now < e->check_at)
			continue;
		e->check_at = 0;
		log_evacuation(rt, e->dc, RT_WHY_UNKNOWN_DC, 0);
	}
}

void rt_evacuations_free(rt_t *rt)
{
	size_t i;

	for (i = 0; i < rt->nevacuations; i++)
		str_free(rt->evacuations[i].dc);
	free(rt->evacuations);
}
