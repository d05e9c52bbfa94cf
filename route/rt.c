/** @file rt.c State of the router: its parameters, configuration and timers. */
#include <stdlib.h>

#include "libroute.h"

#define SWEEP_PERIOD (25 * USEC_PER_MSEC) /* while sends are in flight */
/* Added to the sweep period while no sends are in flight: then only lapsed
 * servers need the sweep, and half a second is soon enough. */
#define IDLE_SWEEP_DELAY (500 * USEC_PER_MSEC)
/* Least pause of the event loop that counts as a frozen or suspended host. Such
 * a host may have missed the report that a server is draining; from some
 * seconds after that report on, the server must get no new requests. */
#define SUSPEND_MIN (1 * USEC_PER_SEC)
/* Longest time for which requests wait for the registry after a suspension;
 * registries answer in milliseconds. */
#define HOLD_MAX (200 * USEC_PER_MSEC)
#define HOSTS_DEFAULT 12 /* until the actual number of hosts is known */

void rt_params_init(rt_params_t *p)
{
	*p = (rt_params_t){
		.policy = RT_POLICY_EXPECTED,
		.hosts = HOSTS_DEFAULT,
		.extra_sends_share = 0.1,
		.extra_sends_fixed = 10,
		.extra_sends_window = 10 * USEC_PER_SEC,
		.debug_lines = true,
		.warmup_overage = 1,
	};
}

rt_t *rt_new(const rt_params_t *p, usec_t now)
{
	rt_t *rt = xcalloc(1, sizeof(*rt));

	rt->p = *p;
	if (rt->p.hosts == 0)
		rt->p.hosts = 1;
	rt->dc = str_dup(p->dc);
	rt->p.dc = rt->dc;
	rt->rng.state = p->seed;
	rt->own_delay = RT_OWN_DELAY_INITIAL;
	rt->registry_up = true;
	rt->last_turn_at = now;
	rt->next_sweep = now + SWEEP_PERIOD;
	return rt;
}

static void services_and_stats_free(rt_t *rt)
{
	uint32_t i;

	/* The servers of all services are freed already. */
	for (i = 0; i < rt->nsvcs; i++) {
		str_free(rt->all_svcs[i]->name);
		free(rt->all_svcs[i]->v);
		free(rt->all_svcs[i]);
	}
	free(rt->all_svcs);
	for (i = 0; i < rt->nstats; i++) {
		str_free(rt->all_stats[i]->name);
		free(rt->all_stats[i]);
	}
	free(rt->all_stats);
}

void rt_free(rt_t *rt)
{
	rt_query_t *q, *next;
	uint32_t i;

	if (!rt)
		return;
	for (q = rt->open; q; q = next) {
		next = q->next;
		rt_query_free(rt, q);
	}
	for (i = 0; i < rt->attempts.nslots; i++)
		free(idmap_at(&rt->attempts, i));
	if (rt->view)
		rt_view_unref(rt->view);
	rt_servers_free(rt);
	for (i = 0; i < rt->nremoved; i++)
		str_free(rt->removed[i].id);
	free(rt->removed);
	rt_evacuations_free(rt);
	services_and_stats_free(rt);
	strmap_free(&rt->svcs);
	strmap_free(&rt->stats);
	strmap_free(&rt->servers);
	idmap_free(&rt->server_nums);
	idmap_free(&rt->attempts);
	idmap_free(&rt->queries);
	arena_free(&rt->scratch);
	free(rt->acts);
	str_free(rt->dc);
	free(rt);
}

void rt_set_hosts(rt_t *rt, unsigned hosts)
{
	if (hosts)
		rt->p.hosts = hosts;
}

void rt_set_params(rt_t *rt, const rt_params_t *p)
{
	rt->p.policy = p->policy;
	rt->p.extra_sends_share = p->extra_sends_share;
	rt->p.extra_sends_fixed = p->extra_sends_fixed;
	rt->p.extra_sends_window = p->extra_sends_window;
	rt->p.max_state_age = p->max_state_age;
	rt->p.drain_limit = p->drain_limit;
	rt->p.debug_lines = p->debug_lines;
	rt->p.warmup_overage = p->warmup_overage;
	rt->p.warmup_slack = p->warmup_slack;
	rt_set_hosts(rt, p->hosts);
}

bool rt_set_conf(rt_t *rt, rt_conf_t *c, usec_t now)
{
	(void)now;
	/* A late or stale read must not restore an older configuration. */
	if (rt->view && c->revision <= rt->view->conf->revision) {
		rt_conf_unref(c);
		return false;
	}
	rt_log(rt, &(rt_log_line_t){ .event = "configuration",
				     .why = RT_WHY_NEW,
				     .result = RT_RESULT_MAX,
				     .age = -1,
				     .version = c->revision,
				     .info = true });
	if (rt->view)
		rt_view_unref(rt->view);
	rt->view = rt_view_new(rt, c);
	return true;
}

const rt_conf_t *rt_conf(const rt_t *rt)
{
	return rt->view ? rt->view->conf : NULL;
}

void rt_set_state_as_of(rt_t *rt, usec_t as_of)
{
	if (as_of > rt->state_as_of)
		rt->state_as_of = as_of;
}

void rt_check_suspension(rt_t *rt, usec_t now)
{
	usec_t paused = now - rt->last_turn_at;

	rt->last_turn_at = now;
	if (paused < SUSPEND_MIN)
		return;
	rt->hold_until = now + HOLD_MAX;
	rt_leaving_end_all(rt);
	rt_act_add(rt, RT_ACT_READ_REGISTRY);
	rt_log(rt, &(rt_log_line_t){ .event = "held",
				     .why = RT_WHY_HOST_SUSPENDED,
				     .result = RT_RESULT_MAX,
				     .value = paused,
				     .age = -1,
				     .info = true });
}

void rt_on_registry_read(rt_t *rt, usec_t now)
{
	if (now >= rt->hold_until)
		return;
	rt->hold_until = now;
	rt_queries_resume(rt, now);
}

void rt_send_ended(rt_t *rt, uint64_t aid, rt_result_t r, rt_reply_t *reply,
		   usec_t now)
{
	rt_attempt_t *a = idmap_get(&rt->attempts, aid);
	rt_server_t *s;
	rt_query_t *q;
	rt_svc_t *svc;

	if (!a) {
		rt_reply_unref(reply);
		return;
	}
	idmap_del(&rt->attempts, aid);
	s = a->server;
	svc = s->svc;
	rt_hist_add(&rt->sends[r], now - a->sent_at);
	rt_server_send_ended(rt, a, r, now);
	q = idmap_get(&rt->queries, a->query);
	rt_log(rt, &(rt_log_line_t){ .event = "reply",
				     .why = a->why,
				     .id = q ? q->id : STR(""),
				     .service = svc->name,
				     .server = s->id,
				     .result = r,
				     .value = now - a->sent_at,
				     .age = -1,
				     .version = q ? q->view->conf->revision : 0,
				     .info = r != RT_ANSWERED });
	if (q && !q->finished)
		rt_shard_result(rt, &q->shards[a->shard], a, r, reply, now);
	else
		rt_reply_unref(reply);
	free(a);
	rt_server_free_if_idle(rt, s);
	if (svc->nwaiting)
		rt_wait_drain(rt, svc, now);
}

void rt_tick(rt_t *rt, usec_t now)
{
	/* Answer actions point to replies of queries: finished queries are
	 * freed only here, after the actions were fetched. */
	rt_queries_sweep(rt);
	rt_queries_run_timers(rt, now);
	if (now >= rt->next_sweep) {
		rt_servers_sweep(rt, now);
		rt_waits_sweep(rt, now);
		rt_evacuations_sweep(rt, now);
		rt->next_sweep = now + SWEEP_PERIOD;
	}
}

usec_t rt_next_tick(const rt_t *rt)
{
	usec_t at = rt->next_sweep + IDLE_SWEEP_DELAY;
	const rt_query_t *q;

	if (rt->attempts.count || rt->nwaiting)
		at = rt->next_sweep;
	for (q = rt->open; q; q = q->next)
		if (q->next_at < at)
			at = q->next_at;
	return at;
}

size_t rt_open_requests(const rt_t *rt)
{
	const rt_query_t *q;
	size_t n = 0;

	for (q = rt->open; q; q = q->next)
		n += !q->finished;
	return n;
}
