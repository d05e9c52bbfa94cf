/** @file shard.c One group's part of a query: choose, wait, retry, hedge. */
#include "libcore.h"

bool shard_over(const shard_t *sh)
{
	return sh->state == SH_DONE || sh->state == SH_FAILED;
}

static void log_shard(core_t *c, const shard_t *sh, decision_t what, why_t why,
		      uint64_t n)
{
	act_log(c, &(decision_line_t){ .what = what,
				       .why = why,
				       .qid = sh->q->id,
				       .service = sh->group->service,
				       .group = sh->group->name,
				       .snapshot = sh->q->snapshot,
				       .n = n });
}

void shard_give_up(core_t *c, shard_t *sh, why_t why, usec_t now)
{
	sh->state = SH_FAILED;
	sh->why = why;
	sh->q->nfailed++;
	log_shard(c, sh, DEC_SHARD_FAILED, why, sh->tries);
	query_check(c, sh->q, now);
}

static void backoff(core_t *c, shard_t *sh, usec_t now)
{
	usec_t wait = BACKOFF_MIN << (sh->backoffs < 10 ? sh->backoffs : 10);

	if (wait > BACKOFF_MAX)
		wait = BACKOFF_MAX;
	wait = wait / 2 + (usec_t)rng_below(&c->rng, (uint64_t)wait / 2 + 1);
	sh->backoffs++;
	sh->tried = 0;
	sh->state = SH_BACKOFF;
	timer_arm(c, (timer_entry_t){ .at = now + wait,
				      .kind = TM_BACKOFF,
				      .qid = sh->q->id,
				      .shard = (size_t)(sh - sh->q->shards),
				      .epoch = sh->q->epoch });
}

/* No server of the group will take work before long. */
static bool group_down(const core_t *c, const shard_t *sh)
{
	const upstream_t *u;
	size_t i;

	(void)c;
	for (i = 0; i < sh->group->nups; i++) {
		u = sh->group->ups[i];
		if (sh->missed >> i & 1 || u->leaving || !u->group)
			continue;
		if (u->failures < DOWN_AFTER_FAILURES)
			return false;
	}
	return true;
}

/* Nothing to choose from: wait, start over elsewhere, or give up. */
static void no_candidate(core_t *c, shard_t *sh, const pick_t *p, usec_t now)
{
	bool urgent = sh->q->class->kind == CONF_URGENT;

	if (p->usable) {
		if (!urgent && sh->group->nwaiting >=
				       sh->group->nups * QUEUE_MAX_PER_SERVER) {
			shard_give_up(c, sh, WHY_OVERLOAD, now);
			return;
		}
		log_shard(c, sh, DEC_WAIT, WHY_BUSY, sh->group->nwaiting);
		queue_push(sh);
		return;
	}
	if (p->lacking == sh->group->nups) {
		if (!query_restart(c, sh->q, now))
			shard_give_up(c, sh, WHY_NO_SNAPSHOT, now);
		return;
	}
	if (sh->tries >= SHARD_MAX_TRIES || group_down(c, sh)) {
		shard_give_up(c, sh, WHY_NO_SERVER, now);
		return;
	}
	backoff(c, sh, now);
}

void shard_start(core_t *c, shard_t *sh, why_t why, usec_t now)
{
	pick_t p;

	if (sh->q->deadline <= now) {
		shard_give_up(c, sh, WHY_DEADLINE, now);
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

	if (sh->state != SH_OUT || sh->nlive != 1)
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

static void forget_live(shard_t *sh, uint64_t aid)
{
	unsigned i;

	for (i = 0; i < sh->nlive; i++)
		if (sh->live[i] == aid) {
			sh->live[i] = sh->live[--sh->nlive];
			return;
		}
}

static void cancel_live(core_t *c, shard_t *sh)
{
	attempt_t *a;
	unsigned i;

	for (i = 0; i < sh->nlive; i++) {
		a = idmap_get(&c->attempts, sh->live[i]);
		if (!a)
			continue;
		a->dropped = true;
		act_add(c, ACT_CANCEL)->aid = a->id;
	}
	sh->nlive = 0;
}

void shard_detach(core_t *c, shard_t *sh)
{
	if (sh->state == SH_WAITING)
		queue_remove(sh);
	cancel_live(c, sh);
}

void shard_drop(core_t *c, shard_t *sh)
{
	shard_detach(c, sh);
	part_free(sh->part);
	sh->part = NULL;
}

void shard_take(core_t *c, shard_t *sh, part_t *part, usec_t now)
{
	cancel_live(c, sh);
	sh->part = part;
	sh->state = SH_DONE;
	sh->q->ndone++;
	query_check(c, sh->q, now);
}

void shard_resume(core_t *c, shard_t *sh, usec_t now)
{
	sh->state = SH_IDLE;
	if (sh->owes && !budget_take(&sh->q->svc->state->retry)) {
		c->counters[CNT_BUDGET_DENIED]++;
		backoff(c, sh, now);
		return;
	}
	sh->owes = false;
	shard_start(c, sh, WHY_RETRY, now);
}

/* An extra attempt that loads a server again is paid from the budget. */
static void retry(core_t *c, shard_t *sh, result_t r, usec_t now)
{
	sh->owes = r != RES_NOT_SENT && r != RES_MISS;
	shard_resume(c, sh, now);
}

static why_t why_of(result_t r)
{
	static const why_t whys[RES_MAX] = {
		[RES_OK] = WHY_NONE,	 [RES_NOT_SENT] = WHY_NOT_SENT,
		[RES_SHED] = WHY_SHED,	 [RES_MISS] = WHY_MISS,
		[RES_LOST] = WHY_LOST,	 [RES_CROSSED] = WHY_CROSSED,
		[RES_ERROR] = WHY_ERROR, [RES_CANCELLED] = WHY_LOST,
	};

	return whys[r];
}

static void note_miss(shard_t *sh, const upstream_t *u)
{
	size_t i;

	for (i = 0; i < sh->group->nups; i++)
		if (sh->group->ups[i] == u)
			sh->missed |= 1ULL << i;
}

void shard_result(core_t *c, shard_t *sh, attempt_t *a, result_t r,
		  part_t *part, usec_t now)
{
	forget_live(sh, a->id);
	if (shard_over(sh)) {
		part_free(part);
		return;
	}
	if (r == RES_OK) {
		if (a->hedge)
			c->counters[CNT_HEDGES_WON]++;
		shard_take(c, sh, part, now);
		return;
	}
	part_free(part);
	if (r == RES_MISS)
		note_miss(sh, a->u);
	/* Its hedge, or what it hedged, is still out. */
	if (sh->nlive)
		return;
	if (!sh->q->class->idempotent && sh->q->ran) {
		shard_give_up(c, sh, why_of(r), now);
		return;
	}
	if (now >= sh->q->deadline - WITHDRAW_MARGIN) {
		shard_give_up(c, sh, WHY_DEADLINE, now);
		return;
	}
	retry(c, sh, r, now);
}
