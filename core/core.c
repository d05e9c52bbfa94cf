/** @file core.c Creates the core, dispatches events and returns actions. */
#include <stdlib.h>

#include "libcore.h"

typedef void (*handler_t)(core_t *c, event_t *ev, usec_t now);

static void on_request(core_t *c, event_t *ev, usec_t now);
static void on_attempt_ended(core_t *c, event_t *ev, usec_t now);
static void on_withdraw_ended(core_t *c, event_t *ev, usec_t now);
static void on_probe_ended(core_t *c, event_t *ev, usec_t now);
static void on_list(core_t *c, event_t *ev, usec_t now);
static void on_list_unchanged(core_t *c, event_t *ev, usec_t now);
static void on_list_failed(core_t *c, event_t *ev, usec_t now);
static void on_conf(core_t *c, event_t *ev, usec_t now);
static void on_tick(core_t *c, event_t *ev, usec_t now);
static void on_stop(core_t *c, event_t *ev, usec_t now);
static void on_peer(core_t *c, event_t *ev, usec_t now);
static void on_peer_not_sent(core_t *c, event_t *ev, usec_t now);

static const handler_t handlers[EV_MAX] = {
	[EV_REQUEST] = on_request,
	[EV_ATTEMPT_ENDED] = on_attempt_ended,
	[EV_WITHDRAW_ENDED] = on_withdraw_ended,
	[EV_PROBE_ENDED] = on_probe_ended,
	[EV_LIST] = on_list,
	[EV_LIST_UNCHANGED] = on_list_unchanged,
	[EV_LIST_FAILED] = on_list_failed,
	[EV_CONF] = on_conf,
	[EV_TICK] = on_tick,
	[EV_STOP] = on_stop,
	[EV_PEER] = on_peer,
	[EV_PEER_NOT_SENT] = on_peer_not_sent,
};

void core_params_init(core_params_t *p)
{
	*p = (core_params_t){
		.policy = POLICY_EXPECTED,
		.hedge_quantile = 0.95,
		.hedge_budget = 0.05,
		.retry_budget = 0.1,
		.require_list_lease = true,
	};
}

core_t *core_new(const core_params_t *p, usec_t now)
{
	core_t *c = xcalloc(1, sizeof(*c));
	size_t i;

	c->params = *p;
	c->name = str_dup(p->name);
	c->dc = str_dup(p->dc);
	c->params.peer = str_dup(p->peer);
	c->params.seeds = xcalloc(p->nseeds, sizeof(*p->seeds));
	for (i = 0; i < p->nseeds; i++)
		c->params.seeds[i] = str_dup(p->seeds[i]);
	c->state.keys.started_at = now;
	c->incarnation = rng_next(&c->rng) | 1;
	peer_start(c, now);
	c->params.name = c->name;
	c->params.dc = c->dc;
	c->rng.state = p->seed;
	c->last_step = now;
	return c;
}

static void on_request(core_t *c, event_t *ev, usec_t now)
{
	query_start(c, &ev->request, now);
}

static void on_attempt_ended(core_t *c, event_t *ev, usec_t now)
{
	attempt_ended(c, ev, now);
}

static void on_withdraw_ended(core_t *c, event_t *ev, usec_t now)
{
	attempt_withdrawn(c, ev->withdrawn.aid, ev->withdrawn.ok, now);
}

static void on_probe_ended(core_t *c, event_t *ev, usec_t now)
{
	upstream_t *u = upstream_find(c, ev->probe.addr);

	if (!u)
		return;
	if (!ev->probe.ok) {
		upstream_unreachable(u, now);
		return;
	}
	u->consecutive_failures = 0;
	u->blocked_until = 0;
	upstream_evidence(c, u, &ev->probe.evidence, ev->probe.at, now);
	if (u->group && u->group->nwaiting)
		queue_drain(c, u->group, now);
}

static void on_list(core_t *c, event_t *ev, usec_t now)
{
	list_update(c, ev->list.list, ev->list.at, now);
	queue_drain_all(c, now);
}

static void on_list_unchanged(core_t *c, event_t *ev, usec_t now)
{
	list_confirm(c, ev->list.version, ev->list.at);
	queue_drain_all(c, now);
}

static void on_list_failed(core_t *c, event_t *ev, usec_t now)
{
	(void)now;
	list_read_failed(c, ev->list.at);
}

static void on_conf(core_t *c, event_t *ev, usec_t now)
{
	view_adopt(c, ev->conf, now);
}

static void on_peer(core_t *c, event_t *ev, usec_t now)
{
	peer_message(c, ev, now);
}

static void on_peer_not_sent(core_t *c, event_t *ev, usec_t now)
{
	if (ev->not_sent.kind == PEER_KEY_REQUEST)
		key_failed(c, ev->not_sent.token, now);
	if (ev->not_sent.kind == PEER_FORWARD)
		forward_failed(c, ev->not_sent.token, now);
}

static void on_tick(core_t *c, event_t *ev, usec_t now)
{
	(void)ev;
	peer_tick(c, now);
	key_tick(c, now);
	queue_drain_all(c, now);
}

static void on_stop(core_t *c, event_t *ev, usec_t now)
{
	(void)ev;
	(void)now;
	c->stopping = true;
}

/* A gap between steps means that the process did not run. */
static void check_pause(core_t *c, usec_t now)
{
	usec_t gap = now - c->last_step;

	c->last_step = now;
	if (gap < PAUSE_GAP)
		return;
	c->counters[CNT_PAUSES]++;
	list_resumed(c, now);
	act_log(c, &(decision_line_t){ .decision = DEC_PAUSE,
				       .why = WHY_PAUSED,
				       .n = (uint64_t)gap });
}

static void free_query(core_t *c, query_t *q)
{
	size_t i;

	for (i = 0; i < q->nshards; i++)
		shard_drop(c, &q->shards[i]);
	if (q->owns_body)
		act_add(c, ACT_BODY_RELEASE)->body = q->body;
	str_free(q->reply_to);
	free(q->forwards);
	free(q->shards);
	free(q->merged);
	free(q->missing);
	idmap_del(&c->queries, q->id);
	view_unref(c, q->view);
	str_free(q->route);
	free(q);
}

static void free_ended(core_t *c)
{
	size_t i;

	for (i = 0; i < c->nended; i++)
		free_query(c, c->ended[i]);
	c->nended = 0;
	for (i = 0; i < c->nold_views; i++)
		view_unref(c, c->old_views[i]);
	c->nold_views = 0;
}

void core_step(core_t *c, event_t *ev, usec_t now, acts_t *acts)
{
	timer_entry_t t;

	c->acts = acts;
	/* Frees data that the actions of the last step pointed to. */
	free_ended(c);
	arena_free(&c->scratch);
	check_pause(c, now);
	handlers[ev->kind](c, ev, now);
	while (timer_pop(c, now, &t))
		query_timer(c, &t, now);
	c->acts = NULL;
}

usec_t core_next_tick(const core_t *c)
{
	usec_t at = c->last_step + TICK_PERIOD;

	if (c->ntimers && c->timers[0].at < at)
		at = c->timers[0].at;
	return at;
}

void core_free(core_t *c)
{
	acts_t *acts;
	uint32_t i;
	size_t j;

	if (!c)
		return;
	acts = xcalloc(1, sizeof(*acts));
	c->acts = acts;
	free_ended(c);
	for (i = 0; i < c->queries.nslots; i++)
		if (idmap_at(&c->queries, i))
			free_query(c, idmap_at(&c->queries, i));
	for (i = 0; i < c->attempts.nslots; i++)
		free(idmap_at(&c->attempts, i));
	for (i = 0; i < c->forwards.nslots; i++)
		forward_free(idmap_at(&c->forwards, i));
	idmap_free(&c->forwards);
	key_free(c);
	peer_free(c);
	for (j = 0; j < c->params.nseeds; j++)
		str_free(c->params.seeds[j]);
	free(c->params.seeds);
	str_free(c->params.peer);
	arena_free(&c->scratch);
	view_free_all(c);
	upstreams_free(c);
	list_free(c);
	idmap_free(&c->queries);
	idmap_free(&c->attempts);
	acts_free(acts);
	free(acts);
	free(c->timers);
	free(c->ended);
	free(c->old_views);
	str_free(c->name);
	str_free(c->dc);
	free(c);
}
