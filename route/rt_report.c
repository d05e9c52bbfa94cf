/** @file rt_report.c Reports the state of servers to operators. */
#include "libroute.h"

static const char *state_of(const rt_server_t *s, usec_t now)
{
	if (s->draining || s->removed)
		return "leaving";
	if (s->evacuated)
		return "evacuated";
	if (now < s->paused_until)
		return "paused";
	if (s->lapsed_at)
		return "lapsed";
	if (now < s->avoid_until || s->fail_streak > 1)
		return "avoided";
	if (rt_server_is_slow(s))
		return "slow";
	if (rt_server_is_cold(s, now))
		return "cold";
	return s->nlate ? "late" : "well";
}

static unsigned cost_rank(const rt_server_t *s)
{
	unsigned rank = 1;
	size_t i;

	for (i = 0; i < s->svc->n; i++)
		rank += rt_server_usable(s->svc->v[i]) &&
			rt_server_cost(s->svc->v[i]) < rt_server_cost(s);
	return rank;
}

bool rt_report_server(const rt_t *rt, size_t i, usec_t now,
		      rt_server_report_t *r)
{
	const rt_server_t *s = NULL;
	uint32_t at;

	for (at = 0; at < rt->server_nums.nslots && !s; at++) {
		const rt_server_t *v = idmap_at(&rt->server_nums, at);

		if (v && i-- == 0)
			s = v;
	}
	if (!s)
		return false;
	*r = (rt_server_report_t){
		.id = s->id,
		.service = s->svc->name,
		.addr = s->addr,
		.dc = s->dc,
		.state = state_of(s, now),
		.leaving = s->draining || s->removed,
		.inflight = s->inflight,
		.max_connections = rt_server_max_inflight(rt, s),
		.pace = s->pace,
		.failing = s->failing,
		.age = s->evidence_at ? now - s->evidence_at : -1,
		.rank = cost_rank(s),
		.load = s->load,
		.load_age = s->load_at ? now - s->load_at : -1,
	};
	return true;
}
