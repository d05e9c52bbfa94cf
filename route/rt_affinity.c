/**
 * @file rt_affinity.c
 * Which server of a shard this host prefers to other equal ones, and to which
 * servers it keeps connections. Each host chooses by a hash of its own and the
 * server's identity (rendezvous hashing), so that hosts are spread over the
 * servers, and only those of a server that comes or goes move.
 *
 * Load pattern: many hosts meet each server seldom, so that most sends would
 * need a new connection, and a query waits for the slowest of its shards.
 */
#include "libroute.h"

/* Share of a server's connections that all hosts together keep open; the rest
 * is for new ones, as when all hosts lose power and the old ones still count.
 */
#define KEPT_SHARE 0.6

const rt_server_t *rt_preferred_server(const rt_svc_t *svc, usec_t now)
{
	const rt_server_t *best = NULL, *s;
	size_t i;

	for (i = 0; i < svc->n; i++) {
		s = svc->v[i];
		if (!rt_server_accepts(s, now))
			continue;
		if (!best || s->same_dc > best->same_dc ||
		    (s->same_dc == best->same_dc &&
		     s->affinity > best->affinity))
			best = s;
	}
	return best;
}

static size_t count_usable(const rt_svc_t *svc)
{
	size_t n = 0, i;

	for (i = 0; i < svc->n; i++)
		n += rt_server_usable(svc->v[i]);
	return n;
}

bool rt_keeps_idle(const rt_t *rt, const rt_server_t *s, usec_t now)
{
	if (s->same_dc)
		return true;
	return s == rt_preferred_server(s->svc, now) &&
	       rt->p.hosts <= KEPT_SHARE * s->svc->connections *
				      (double)count_usable(s->svc);
}
