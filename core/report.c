/** @file report.c Reports of the state, for operators. */
#include "libcore.h"

uint64_t core_counter(const core_t *c, counter_t k)
{
	return c->counters[k];
}

void core_report(const core_t *c, usec_t now, core_report_t *r)
{
	const core_state_t *b = &c->state;

	*r = (core_report_t){
		.list_version = b->list.list.version,
		.list_age =
			b->list.confirmed_at ? now - b->list.confirmed_at : -1,
		.ready = b->conf.view && b->list.list.version && !c->stopping &&
			 peer_caught_up(c, now) && view_has_evidence(c, now),
		.stopping = c->stopping,
		.open_queries = c->queries.count - c->nended,
		.open_attempts = c->attempts.count,
		.nupstreams = b->upstreams.n,
		.ndaemons = b->list.list.ndaemons,
		.nsuspected = peer_count_suspects(c, now),
		.read_mode = b->peers.read_mode,
	};
	if (b->conf.view) {
		r->revision = b->conf.view->conf->revision;
		r->conf_hash = b->conf.view->conf->hash;
	}
}

static uint64_t newest_snapshot(const evidence_t *e)
{
	uint64_t n = 0;
	size_t i;

	for (i = 0; e->valid && i < e->nheld; i++)
		if (e->held[i].snapshot > n)
			n = e->held[i].snapshot;
	return n;
}

static why_t state_of(const core_t *c, const upstream_t *u, usec_t now)
{
	if (u->leaving)
		return WHY_LEAVING;
	if (!u->group || u->max_connections == 0)
		return WHY_NO_CONFIG;
	if (u->blocked_until > now)
		return WHY_LOST;
	if (upstream_send_until(c, u, now) <= now)
		return WHY_STALE_LIST;
	if (upstream_suspect(u, now))
		return WHY_DEADLINE;
	return upstream_has_room(u, true) ? WHY_CHOSEN : WHY_BUSY;
}

/* Rank by expected time among the servers of its group, from 1. */
static unsigned order_of(const upstream_t *u, usec_t now)
{
	unsigned n = 1;
	size_t i;

	for (i = 0; u->group && i < u->group->nups; i++)
		if (upstream_expected(u->group->ups[i], now) <
		    upstream_expected(u, now))
			n++;
	return n;
}

bool core_report_upstream(const core_t *c, size_t i, usec_t now,
			  upstream_report_t *r)
{
	const upstream_t *u;

	if (i >= c->state.upstreams.n)
		return false;
	u = c->state.upstreams.v[i];
	*r = (upstream_report_t){
		.addr = u->addr,
		.dc = u->dc,
		.leaving = u->leaving,
		.inflight = u->inflight,
		.max_connections = u->max_connections,
		.limit = u->limit,
		.latency = u->latency,
		.evidence_age = u->evidence_at ? now - u->evidence_at : -1,
		.newest_snapshot = newest_snapshot(&u->evidence),
		.state = state_of(c, u, now),
		.expected = (usec_t)upstream_expected(u, now),
		.rank = order_of(u, now),
	};
	if (u->group) {
		r->service = u->group->service;
		r->group = u->group->name;
	}
	return true;
}
