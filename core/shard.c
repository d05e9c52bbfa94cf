/** @file shard.c A query's shard of one group: wait, send, retry, hedge. */
#include "libcore.h"

bool shard_ended(const shard_t *sh)
{
	return sh->state == SH_DONE || sh->state == SH_FAILED;
}

static void log_shard(core_t *c, const shard_t *sh, decision_t what, why_t why,
		      uint64_t n)
{
	act_log(c, &(decision_line_t){ .decision = what,
				       .why = why,
				       .qid = sh->q->id,
				       .service = sh->group->service,
				       .group = sh->group->name,
				       .snapshot = sh->q->snapshot,
				       .n = n });
}

void shard_fail(core_t *c, shard_t *sh, why_t why, usec_t now)
{
	sh->state = SH_FAILED;
	sh->why = why;
	sh->q->nfailed++;
	log_shard(c, sh, DEC_SHARD_FAILED, why, sh->tries);
	query_check(c, sh->q, now);
}

static void start_backoff(core_t *c, shard_t *sh, usec_t now)
{
	usec_t wait = BACKOFF_MIN << (sh->backoffs < 10 ? sh->backoffs : 10);

	if (wait > BACKOFF_MAX)
		wait = BACKOFF_MAX;
	wait = wait / 2 + (usec_t)rng_below(&c->rng, (uint64_t)wait / 2 + 1);
	sh->backoffs++;
	sh->tried_mask = 0;
	sh->state = SH_BACKOFF;
	timer_arm(c, (timer_entry_t){ .at = now + wait,
				      .kind = TM_BACKOFF,
				      .qid = sh->q->id,
				      .shard = (size_t)(sh - sh->q->shards),
				      .epoch = sh->q->epoch });
}

/* Whether no server of the group is expected to accept work soon. */
static bool group_down(const core_t *c, const shard_t *sh)
{
	const upstream_t *u;
	size_t i;

	(void)c;
	for (i = 0; i < sh->group->nups; i++) {
		u = sh->group->ups[i];
		if (sh->lacking_mask >> i & 1 || u->leaving || !u->group)
			continue;
		if (u->consecutive_failures < DOWN_AFTER_FAILURES)
			return false;
	}
	return true;
}

/* No server has room: wait, restart the query, back off or fail. */
static void no_candidate(core_t *c, shard_t *sh, const pick_t *p, usec_t now)
{
	bool urgent = sh->q->class->kind == CONF_URGENT;

	if (p->usable) {
		if (!urgent && sh->group->nwaiting >=
				       sh->group->nups * QUEUE_MAX_PER_SERVER) {
			shard_fail(c, sh, WHY_OVERLOAD, now);
			return;
		}
		log_shard(c, sh, DEC_WAIT, WHY_BUSY, sh->group->nwaiting);
		queue_push(sh);
		return;
	}
	if (p->lacking == sh->group->nups) {
		if (!query_restart(c, sh->q, now))
			shard_fail(c, sh, WHY_NO_COMMON_SNAPSHOT, now);
		return;
	}
	if (sh->tries >= SHARD_MAX_TRIES || group_down(c, sh)) {
		shard_fail(c, sh, WHY_NO_SERVER, now);
		return;
	}
	start_backoff(c, sh, now);
}

void shard_start(core_t *c, shard_t *sh, why_t why, usec_t now)
{
	pick_t p;

	if (sh->q->deadline <= now) {
		shard_fail(c, sh, WHY_DEADLINE, now);
		return;
	}
	pick_replica(c, sh, now, &p);
	if (!p.u) {
		no_candidate(c, sh, &p, now);
		return;
	}
	if (p.candidates == 1 && why == WHY_CHOSEN)
		why = WHY_ONLY_ONE;
	attempt_send(c, sh, &p, why, now);
}

void shard_hedge(core_t *c, shard_t *sh, usec_t now)
{
	svc_state_t *s = sh->q->svc->state;
	pick_t p;

	if (sh->state != SH_SENT || sh->npending != 1)
		return;
	pick_replica(c, sh, now, &p);
	if (!p.u)
		return;
	if (!budget_take(&s->hedge)) {
		c->counters[CNT_BUDGET_DENIED]++;
		return;
	}
	attempt_send(c, sh, &p, WHY_HEDGE, now);
}

static void remove_pending(shard_t *sh, uint64_t aid)
{
	unsigned i;

	for (i = 0; i < sh->npending; i++)
		if (sh->pending[i] == aid) {
			sh->pending[i] = sh->pending[--sh->npending];
			return;
		}
}

static void cancel_pending(core_t *c, shard_t *sh)
{
	attempt_t *a;
	unsigned i;

	for (i = 0; i < sh->npending; i++) {
		a = idmap_get(&c->attempts, sh->pending[i]);
		if (!a)
			continue;
		a->dropped = true;
		act_add(c, ACT_CANCEL)->aid = a->id;
	}
	sh->npending = 0;
}

void shard_detach(core_t *c, shard_t *sh)
{
	if (sh->state == SH_WAITING)
		queue_remove(sh);
	cancel_pending(c, sh);
}

void shard_drop(core_t *c, shard_t *sh)
{
	shard_detach(c, sh);
	group_hits_free(sh->group_hits);
	sh->group_hits = NULL;
}

void shard_complete(core_t *c, shard_t *sh, group_hits_t *hits, usec_t now)
{
	cancel_pending(c, sh);
	sh->group_hits = hits;
	sh->state = SH_DONE;
	sh->q->ndone++;
	query_check(c, sh->q, now);
}

void shard_resume(core_t *c, shard_t *sh, usec_t now)
{
	sh->state = SH_IDLE;
	if (sh->needs_token && !budget_take(&sh->q->svc->state->retry)) {
		c->counters[CNT_BUDGET_DENIED]++;
		start_backoff(c, sh, now);
		return;
	}
	sh->needs_token = false;
	shard_start(c, sh, WHY_RETRY, now);
}

/* A retry takes a token unless the last attempt put no load on a server. */
static void retry(core_t *c, shard_t *sh, result_t r, usec_t now)
{
	sh->needs_token = r != RES_NOT_SENT && r != RES_SNAPSHOT_MISSING;
	shard_resume(c, sh, now);
}

static why_t why_of(result_t r)
{
	static const why_t whys[RES_MAX] = {
		[RES_OK] = WHY_NONE,
		[RES_NOT_SENT] = WHY_NOT_SENT,
		[RES_SHED] = WHY_SHED,
		[RES_SNAPSHOT_MISSING] = WHY_SNAPSHOT_MISSING,
		[RES_LOST] = WHY_LOST,
		[RES_MISMATCH] = WHY_MISMATCH,
		[RES_ERROR] = WHY_ERROR,
		[RES_CANCELLED] = WHY_LOST,
	};

	return whys[r];
}

static void mark_lacking(shard_t *sh, const upstream_t *u)
{
	size_t i;

	for (i = 0; i < sh->group->nups; i++)
		if (sh->group->ups[i] == u)
			sh->lacking_mask |= 1ULL << i;
}

void shard_result(core_t *c, shard_t *sh, attempt_t *a, result_t r,
		  group_hits_t *hits, usec_t now)
{
	remove_pending(sh, a->id);
	if (shard_ended(sh)) {
		group_hits_free(hits);
		return;
	}
	if (r == RES_OK) {
		if (a->hedge)
			c->counters[CNT_HEDGES_WON]++;
		shard_complete(c, sh, hits, now);
		return;
	}
	group_hits_free(hits);
	if (r == RES_SNAPSHOT_MISSING)
		mark_lacking(sh, a->u);
	/* The hedge, or the attempt that it hedges, is still pending. */
	if (sh->npending)
		return;
	if (!sh->q->class->idempotent && sh->q->may_have_run) {
		shard_fail(c, sh, why_of(r), now);
		return;
	}
	if (now >= sh->q->deadline - WITHDRAW_MARGIN) {
		shard_fail(c, sh, WHY_DEADLINE, now);
		return;
	}
	retry(c, sh, r, now);
}
