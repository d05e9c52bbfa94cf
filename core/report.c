/** @file report.c What the state looks like to an operator. */
#include "libcore.h"

uint64_t core_counter(const core_t *c, counter_t k)
{
	return c->counters[k];
}

void core_report(const core_t *c, usec_t now, core_report_t *r)
{
	const board_t *b = &c->board;

	*r = (core_report_t){
		.list_version = b->list.list.version,
		.list_age =
			b->list.confirmed_at ? now - b->list.confirmed_at : -1,
		.ready = b->conf.view && b->list.list.version && !c->stopping,
		.stopping = c->stopping,
		.open_queries = c->queries.used - c->nover,
		.open_attempts = c->attempts.used,
		.nupstreams = b->upstreams.n,
		.nmembers = b->list.list.ndaemons,
		.nsuspected = peer_count_suspects(c, now),
		.read = b->peers.read,
	};
	if (b->conf.view) {
		r->revision = b->conf.view->conf->revision;
		r->conf_hash = b->conf.view->conf->hash;
	}
}

static uint64_t newest(const evidence_t *e)
{
	uint64_t n = 0;
	size_t i;

	for (i = 0; e->valid && i < e->nheld; i++)
		if (e->held[i].snapshot > n)
			n = e->held[i].snapshot;
	return n;
}

bool core_report_upstream(const core_t *c, size_t i, usec_t now,
			  upstream_report_t *r)
{
	const upstream_t *u;

	if (i >= c->board.upstreams.n)
		return false;
	u = c->board.upstreams.v[i];
	*r = (upstream_report_t){
		.addr = u->addr,
		.dc = u->dc,
		.leaving = u->leaving,
		.inflight = u->inflight,
		.cap = u->cap,
		.limit = u->limit,
		.latency = u->latency,
		.evidence_age = u->heard_at ? now - u->heard_at : -1,
		.newest = newest(&u->evidence),
	};
	if (u->group) {
		r->service = u->group->service;
		r->group = u->group->name;
	}
	return true;
}
