/**
 * @file rt_leaving.c
 * Draining servers as a last choice: a server that the registry lists as
 * draining still serves for a known time, and gets requests during a part of it
 * while the other servers of its shard cannot carry the load.
 *
 * Load pattern: two of three servers of a shard drain while the third is
 * several times slower than usual.
 */
#include "libroute.h"

/* Share of the drain limit that is used. The rest is for a registry whose watch
 * lags behind what it has accepted (1.05 s was seen), for a connection that
 * opens, and for a host that is late itself. */
#define DRAIN_SHARE_USED 0.6

void rt_leaving_begin(const rt_t *rt, rt_server_t *s)
{
	s->serves_until = 0;
	if (rt->p.drain_limit <= 0 || rt->state_as_of == 0)
		return;
	/* All changes up to state_as_of are applied: the registry got the
	 * notice later. */
	s->serves_until = rt->state_as_of + (usec_t)(DRAIN_SHARE_USED *
						     (double)rt->p.drain_limit);
}

bool rt_server_stands_in(const rt_server_t *s, usec_t now)
{
	return s->draining && !s->removed && !s->evacuated &&
	       now < s->serves_until && now >= s->paused_until;
}

void rt_leaving_end_all(rt_t *rt)
{
	uint32_t i;
	rt_server_t *s;

	for (i = 0; i < rt->server_nums.nslots; i++) {
		s = idmap_at(&rt->server_nums, i);
		if (s)
			s->serves_until = 0;
	}
}
