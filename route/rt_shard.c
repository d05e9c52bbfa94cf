/**
 * @file rt_shard.c
 * One service's part of a request: choose a server, wait for one, send once
 * more after a failure or when an answer is late, and give up.
 */
#include <stdlib.h>

#include "libroute.h"

/* Sends beyond the route's attempts, for those that were not run. */
#define REFUSED_SENDS 2
/* Further sends that must be left for hedges and retries. */
#define PROBE_RESERVE 3.0
/* Further sends that must be left for retries: without one a shard fails. */
#define HEDGE_RESERVE 1.5
/* Usual times that the first send is given at least: 3 of 4 answers are in. */
#define HEDGE_FIRST 1.5
/* Share of the allowed further sends from which on they are not saved up: the
 * other half is kept for servers that fail or turn slow within the window. */
#define HEDGE_PLENTY 0.5
/* Before a server is asked again that refused: about one request's work. */
#define AGAIN_MIN (10 * USEC_PER_MSEC)

static void log_shard(rt_t *rt, const rt_shard_t *sh, const char *what,
		      const rt_pick_t *p, rt_why_t why)
{
	rt_log(rt, &(rt_line_t){ .what = what,
				 .why = why,
				 .id = sh->q->id,
				 .service = sh->svc->name,
				 .server = p && p->s ? p->s->id : STR(""),
				 .n = p ? p->candidates : sh->sends,
				 .result = RT_RESULT_MAX,
				 .value = p ? p->expected : 0,
				 .age = p && p->s ? p->age : -1,
				 .version = sh->q->view->conf->version,
				 .failure = !p || why != RT_WHY_FIRST });
}

void rt_shard_fail(rt_t *rt, rt_shard_t *sh, rt_why_t why, usec_t now)
{
	sh->state = RT_SH_FAILED;
	sh->why = why;
	sh->hedge_at = 0;
	sh->again_at = 0;
	sh->q->nfailed++;
	log_shard(rt, sh, "shard_failed", NULL, why);
	rt_query_check(rt, sh->q, now);
}

static void note_tried(rt_shard_t *sh, const rt_server_t *s)
{
	unsigned room = sizeof(sh->tried) / sizeof(sh->tried[0]);

	sh->tried[sh->ntried % room] = s->num;
	if (sh->ntried < room)
		sh->ntried++;
}

/*
 * The last moment at which a second send is likely to be in time. Until then
 * the first one may still come, which saves the service a request.
 */
static usec_t hedge_time(const rt_shard_t *sh)
{
	return sh->q->soft - rt_stat_second(sh->q->stat);
}

/*
 * When the first send counts as late: few answers take so long. Where further
 * sends are plenty, also when a second one would come too late otherwise.
 */
static void arm_hedge(rt_t *rt, rt_shard_t *sh, usec_t now)
{
	rt_query_t *q = sh->q;
	usec_t usual = rt_stat_usual(q->stat);
	usec_t early = now + (usec_t)(HEDGE_FIRST * (double)usual);

	sh->hedge_at = 0;
	if (!q->route->idempotent)
		return;
	sh->hedge_at = now + rt_stat_late(q->stat);
	if (early < hedge_time(sh))
		early = hedge_time(sh);
	if (early < sh->hedge_at &&
	    rt_budget_plenty(&sh->svc->budget, &rt->p, HEDGE_PLENTY, now))
		sh->hedge_at = early;
	rt_query_wake(q, sh->hedge_at);
}

static void count_send(rt_t *rt, rt_shard_t *sh, rt_why_t why, usec_t now)
{
	static const rt_counter_t counters[RT_WHY_MAX] = {
		[RT_WHY_FIRST] = RT_CNT_FIRST,
		[RT_WHY_PROBE] = RT_CNT_PROBES,
		[RT_WHY_RETRY] = RT_CNT_RETRIES,
		[RT_WHY_HEDGE] = RT_CNT_HEDGES,
	};

	rt->counters[counters[why]]++;
	if (!sh->arrived)
		rt_budget_first(&sh->svc->budget, &rt->p, now);
	sh->arrived = true;
}

static void shard_send(rt_t *rt, rt_shard_t *sh, const rt_pick_t *p, usec_t now)
{
	rt_attempt_t *a = xcalloc(1, sizeof(*a));
	rt_query_t *q = sh->q;
	rt_act_t *act;

	a->id = idmap_add(&rt->attempts, a);
	a->query = q->num;
	a->shard = (size_t)(sh - q->shards);
	a->server = p->s;
	a->stat = q->stat;
	a->why = p->why;
	a->sent_at = now;
	a->deadline = q->deadline;
	rt_server_sent(p->s, a);
	sh->live[sh->nlive++] = a->id;
	sh->sends++;
	sh->ran++;
	sh->state = RT_SH_OUT;
	sh->again_at = 0;
	note_tried(sh, p->s);
	count_send(rt, sh, p->why, now);
	act = rt_act_add(rt, RT_ACT_SEND);
	act->send.aid = a->id;
	act->send.server = p->s->num;
	act->send.server_id = arena_str(&rt->scratch, p->s->id);
	act->send.addr = arena_str(&rt->scratch, p->s->addr);
	act->send.caller = q->caller;
	act->send.deadline = a->deadline;
	act->send.once = !q->route->idempotent;
	log_shard(rt, sh, "send", p, p->why);
	arm_hedge(rt, sh, now);
}

static bool may_send(const rt_shard_t *sh);

/*
 * A copy goes to a server that was slow or failed, to learn whether it is
 * well again; the request itself does not wait for it.
 */
static void probe(rt_t *rt, rt_shard_t *sh, usec_t now)
{
	rt_pick_t p;

	if (!sh->q->route->idempotent || !may_send(sh) ||
	    rt_budget_left(&sh->svc->budget, &rt->p, now) < PROBE_RESERVE)
		return;
	rt_pick_probe(rt, sh, now, &p);
	if (p.s && rt_budget_take(&sh->svc->budget, &rt->p, now))
		shard_send(rt, sh, &p, now);
}

/* Whether the route allows one more server. */
static bool may_send(const rt_shard_t *sh)
{
	return sh->nlive < RT_MAX_LIVE && sh->ran < sh->q->route->attempts &&
	       sh->sends < sh->q->route->attempts + REFUSED_SENDS;
}

void rt_shard_start(rt_t *rt, rt_shard_t *sh, rt_why_t why, usec_t now)
{
	rt_pick_t p;

	if (now >= sh->q->deadline) {
		rt_shard_fail(rt, sh, RT_WHY_DEADLINE, now);
		return;
	}
	if (now < rt->hold_until) {
		sh->state = RT_SH_IDLE;
		sh->again_at = rt->hold_until;
		rt_query_wake(sh->q, sh->again_at);
		return;
	}
	rt_pick(rt, sh, why, now, &p);
	if (!p.s && p.usable) {
		log_shard(rt, sh, "wait", &p, RT_WHY_OVERLOAD);
		rt_wait_push(rt, sh, now);
		return;
	}
	if (!p.s) {
		rt_shard_fail(rt, sh, RT_WHY_NO_SERVER, now);
		return;
	}
	if (sh->arrived && !rt_budget_take(&sh->svc->budget, &rt->p, now)) {
		rt->counters[RT_CNT_NO_BUDGET]++;
		rt_shard_fail(rt, sh, RT_WHY_BUDGET, now);
		return;
	}
	shard_send(rt, sh, &p, now);
	if (why == RT_WHY_FIRST)
		probe(rt, sh, now);
}

static void hedge(rt_t *rt, rt_shard_t *sh, usec_t now)
{
	rt_attempt_t *a;
	rt_pick_t p;
	unsigned i;

	sh->hedge_at = 0;
	for (i = 0; i < sh->nlive; i++) {
		a = idmap_get(&rt->attempts, sh->live[i]);
		if (a)
			rt_server_late(a);
	}
	if (!may_send(sh) || sh->state != RT_SH_OUT || now < rt->hold_until)
		return;
	if (now < hedge_time(sh)) {
		sh->hedge_at = hedge_time(sh);
		rt_query_wake(sh->q, sh->hedge_at);
		return;
	}
	rt_pick(rt, sh, RT_WHY_HEDGE, now, &p);
	if (!p.s || now + p.expected > sh->q->deadline)
		return;
	if (rt_budget_left(&sh->svc->budget, &rt->p, now) < HEDGE_RESERVE ||
	    !rt_budget_take(&sh->svc->budget, &rt->p, now)) {
		rt->counters[RT_CNT_NO_BUDGET]++;
		return;
	}
	shard_send(rt, sh, &p, now);
}

void rt_shard_time(rt_t *rt, rt_shard_t *sh, usec_t now)
{
	if (sh->hedge_at && sh->hedge_at <= now)
		hedge(rt, sh, now);
	if (sh->again_at && sh->again_at <= now) {
		sh->again_at = 0;
		sh->ntried = 0;
		rt_shard_start(rt, sh,
			       sh->arrived ? RT_WHY_RETRY : RT_WHY_FIRST, now);
	}
}

static void forget_live(rt_shard_t *sh, uint64_t aid)
{
	unsigned i;

	for (i = 0; i < sh->nlive; i++)
		if (sh->live[i] == aid) {
			sh->live[i] = sh->live[--sh->nlive];
			return;
		}
}

static bool did_not_run(rt_result_t r)
{
	return r == RT_NOT_RUN || r == RT_MOVED || r == RT_NOT_SENT;
}

static rt_why_t why_of(rt_result_t r)
{
	static const rt_why_t whys[RT_RESULT_MAX] = {
		[RT_ANSWERED] = RT_WHY_COMPLETE,  [RT_FAILED] = RT_WHY_FAILED,
		[RT_NOT_RUN] = RT_WHY_NOT_RUN,	  [RT_MOVED] = RT_WHY_MOVED,
		[RT_NOT_SENT] = RT_WHY_NO_SERVER, [RT_LOST] = RT_WHY_LOST,
	};

	return whys[r];
}

static void take_reply(rt_t *rt, rt_shard_t *sh, rt_attempt_t *a,
		       rt_reply_t *reply, usec_t now)
{
	if (a->why == RT_WHY_HEDGE)
		rt->counters[RT_CNT_HEDGES_WON]++;
	rt_reply_unref(sh->reply);
	sh->reply = reply;
	sh->state = RT_SH_DONE;
	sh->hedge_at = 0;
	sh->again_at = 0;
	sh->q->ndone++;
	rt_query_check(rt, sh->q, now);
}

/* Every server refused: the work of one request later there may be room. */
static void again(rt_shard_t *sh, usec_t now)
{
	usec_t wait = rt_stat_usual(sh->q->stat) / 2;

	if (wait < AGAIN_MIN)
		wait = AGAIN_MIN;
	sh->again_at = now + wait;
	rt_query_wake(sh->q, sh->again_at);
}

static bool untried_left(const rt_shard_t *sh)
{
	size_t i;
	unsigned j;

	for (i = 0; i < sh->svc->n; i++) {
		if (!rt_server_usable(sh->svc->v[i]))
			continue;
		for (j = 0; j < sh->ntried; j++)
			if (sh->tried[j] == sh->svc->v[i]->num)
				break;
		if (j == sh->ntried)
			return true;
	}
	return false;
}

static void after_failure(rt_t *rt, rt_shard_t *sh, rt_result_t r, usec_t now)
{
	sh->why = why_of(r);
	if (sh->nlive)
		return;
	sh->state = RT_SH_IDLE;
	if (!may_send(sh) || (!sh->q->route->idempotent && !did_not_run(r))) {
		rt_shard_fail(rt, sh, sh->why, now);
	} else if (r == RT_NOT_RUN && !untried_left(sh)) {
		again(sh, now);
	} else {
		rt_shard_start(rt, sh, RT_WHY_RETRY, now);
	}
}

void rt_shard_result(rt_t *rt, rt_shard_t *sh, rt_attempt_t *a, rt_result_t r,
		     rt_reply_t *reply, usec_t now)
{
	forget_live(sh, a->id);
	if (did_not_run(r))
		sh->ran--;
	if (r == RT_NOT_SENT && sh->nlive == 0 && sh->ran == 0)
		sh->arrived = false;
	if (sh->state == RT_SH_DONE || sh->state == RT_SH_FAILED) {
		rt_reply_unref(reply);
		return;
	}
	if (r == RT_ANSWERED) {
		take_reply(rt, sh, a, reply, now);
		return;
	}
	/* A server's own failure is told if nothing better comes. */
	if (r == RT_FAILED && sh->q->route->mode == RT_ONE && !sh->reply)
		sh->reply = reply;
	else
		rt_reply_unref(reply);
	after_failure(rt, sh, r, now);
}

void rt_shard_detach(rt_t *rt, rt_shard_t *sh, bool break_off)
{
	rt_attempt_t *a;
	unsigned i;

	if (sh->state == RT_SH_WAITING)
		rt_wait_remove(rt, sh);
	for (i = 0; break_off && i < sh->nlive; i++) {
		a = idmap_get(&rt->attempts, sh->live[i]);
		if (!a)
			continue;
		rt_act_add(rt, RT_ACT_CANCEL)->aid = a->id;
		rt_server_dropped(rt, a);
	}
	sh->nlive = 0;
}
