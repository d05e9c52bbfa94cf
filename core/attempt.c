/** @file attempt.c An attempt (one request to one server): send and result. */
#include <stdlib.h>

#include "libcore.h"

static void log_route(core_t *c, const shard_t *sh, const attempt_t *a,
		      const pick_t *p, why_t why)
{
	act_log(c, &(decision_line_t){
			   .decision = DEC_ROUTE,
			   .why = why,
			   .qid = a->qid,
			   .aid = a->id,
			   .service = sh->group->service,
			   .group = sh->group->name,
			   .addr = a->u->addr,
			   .snapshot = sh->q->snapshot,
			   .n = p->candidates,
			   .score = p->score,
		   });
}

static void act_send(core_t *c, const shard_t *sh, const attempt_t *a,
		     usec_t now)
{
	const query_t *q = sh->q;
	usec_t until = upstream_send_until(c, a->u, now);
	act_t *act = act_add(c, ACT_SEND);

	act->send.aid = a->id;
	act->send.addr = a->u->addr;
	act->send.service = sh->group->service;
	act->send.group = sh->group->name;
	act->send.class_name = q->class->name;
	act->send.snapshot = q->snapshot;
	act->send.map_version = q->svc->conf->map_version;
	act->send.deadline = q->deadline;
	act->send.send_by = until < q->deadline ? until : q->deadline;
	act->send.limit = q->limit;
	act->send.idempotent = q->class->idempotent;
	act->send.body = q->body;
}

static usec_t hedge_delay(const core_t *c, const group_t *g)
{
	usec_t median = hist_quantile(g->latency, 0.5);
	usec_t high = hist_quantile(g->latency, c->params.hedge_quantile);

	/* A slow server with a third of the samples must not set the delay. */
	if (high > HEDGE_MAX_MEDIANS * median)
		high = HEDGE_MAX_MEDIANS * median;
	return high > HEDGE_MIN_DELAY ? high : HEDGE_MIN_DELAY;
}

static void arm_hedge(core_t *c, const shard_t *sh, uint64_t aid, usec_t now)
{
	const query_t *q = sh->q;
	usec_t at;

	if (c->params.hedge_quantile <= 0 || !q->class->idempotent)
		return;
	if (!sh->group->latency ||
	    sh->group->latency->total < HEDGE_MIN_SAMPLES)
		at = now + (q->deadline - now) / HEDGE_DEFAULT_DIVISOR;
	else
		at = now + hedge_delay(c, sh->group);
	if (at >= q->deadline)
		return;
	timer_arm(c, (timer_entry_t){ .at = at,
				      .kind = TM_HEDGE,
				      .qid = q->id,
				      .aid = aid,
				      .shard = (size_t)(sh - q->shards),
				      .epoch = q->epoch });
}

static void count_sent(core_t *c, const shard_t *sh, why_t why)
{
	svc_state_t *s = sh->q->svc->state;

	if (why == WHY_HEDGE) {
		c->counters[CNT_HEDGES]++;
	} else if (sh->tries > 1) {
		c->counters[CNT_RETRIES]++;
	} else {
		c->counters[CNT_FIRST_ATTEMPTS]++;
		budget_earn(&s->retry, c->params.retry_budget);
		budget_earn(&s->hedge, c->params.hedge_budget);
	}
}

void attempt_send(core_t *c, shard_t *sh, const pick_t *p, why_t why,
		  usec_t now)
{
	query_t *q = sh->q;
	attempt_t *a = xcalloc(1, sizeof(*a));

	a->id = idmap_add(&c->attempts, a);
	a->qid = q->id;
	a->shard = (size_t)(sh - q->shards);
	a->epoch = q->epoch;
	a->u = p->u;
	a->sent_at = now;
	a->hedge = why == WHY_HEDGE;
	a->urgent = q->class->kind == CONF_URGENT;
	upstream_add(p->u, a);
	q->noutstanding++;
	q->sent++;
	sh->tries++;
	sh->tried_mask |= 1ULL << p->index;
	sh->pending[sh->npending++] = a->id;
	sh->state = SH_SENT;
	count_sent(c, sh, why);
	act_send(c, sh, a, now);
	log_route(c, sh, a, p, why);
	if (!a->hedge)
		arm_hedge(c, sh, a->id, now);
}

static void count_latency(group_t *g, usec_t elapsed)
{
	if (!g->latency)
		g->latency = xcalloc(1, sizeof(*g->latency));
	hist_add(g->latency, elapsed);
	if (g->latency->total > HIST_DECAY_COUNT)
		hist_decay(g->latency);
	if (g->latency->total % MEDIAN_UPDATE_COUNT == 0)
		g->median = hist_quantile(g->latency, 0.5);
}

static void record_result(core_t *c, const attempt_t *a, result_t r,
			  const event_t *ev, usec_t now)
{
	static const counter_t counters[RES_MAX] = {
		[RES_OK] = CNT_MAX,
		[RES_NOT_SENT] = CNT_NOT_SENT,
		[RES_SHED] = CNT_SHED,
		[RES_SNAPSHOT_MISSING] = CNT_SNAPSHOT_MISSING,
		[RES_LOST] = CNT_LOST,
		[RES_MISMATCH] = CNT_MISMATCH,
		[RES_ERROR] = CNT_LOST,
		[RES_CANCELLED] = CNT_MAX,
	};
	upstream_t *u = a->u;

	if (counters[r] != CNT_MAX)
		c->counters[counters[r]]++;
	upstream_evidence(c, u, &ev->attempt.evidence, a->sent_at, now);
	upstream_result(u, r, now - a->sent_at, now);
	if (r == RES_NOT_SENT && ev->attempt.connect_failed)
		upstream_unreachable(u, now);
	if (r == RES_OK && u->group)
		count_latency(u->group, now - a->sent_at);
}

static bool is_not_run(result_t r)
{
	return r == RES_NOT_SENT || r == RES_SHED || r == RES_SNAPSHOT_MISSING;
}

void attempt_ended(core_t *c, event_t *ev, usec_t now)
{
	attempt_t *a = idmap_get(&c->attempts, ev->attempt.aid);
	result_t r = ev->attempt.result;
	group_hits_t *hits = ev->attempt.group_hits;
	group_t *drain;
	query_t *q;

	if (!a) {
		group_hits_free(hits);
		return;
	}
	idmap_del(&c->attempts, a->id);
	upstream_remove(a->u, a);
	record_result(c, a, r, ev, now);
	drain = a->u->group;
	q = idmap_get(&c->queries, a->qid);
	if (q && !q->ended) {
		q->noutstanding--;
		if (!is_not_run(r))
			q->may_have_run = true;
	}
	if (q && !q->ended && a->epoch == q->epoch && !a->dropped) {
		shard_result(c, &q->shards[a->shard], a, r, hits, now);
	} else {
		c->counters[CNT_LATE_RESULTS]++;
		group_hits_free(hits);
	}
	free(a);
	if (drain && drain->nwaiting)
		queue_drain(c, drain, now);
}

void attempt_withdrawn(core_t *c, uint64_t aid, bool ok, usec_t now)
{
	event_t ev = { .kind = EV_ATTEMPT_ENDED };

	/* The attempt was sent already: its result arrives later or never. */
	if (!ok)
		return;
	ev.attempt.aid = aid;
	ev.attempt.result = RES_NOT_SENT;
	attempt_ended(c, &ev, now);
}
