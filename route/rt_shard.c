/**
 * @file rt_shard.c
 * The part of a request that one service answers: the choice of a server or the
 * wait for one, retries after failures, hedges of late sends, and the final
 * failure.
 */
#include <stdlib.h>

#include "libroute.h"

/* Sends allowed beyond the route's attempts, if servers refused to run some. */
#define REFUSED_SENDS_MAX 2
/* Extra sends that probes leave in the budget for hedges and retries. */
#define PROBE_RESERVE 3.0
/* Extra sends that hedges leave in the budget for retries: without a retry a
 * shard fails. */
#define HEDGE_RESERVE 1.5
/* Earliest hedge after a first send, in mean latencies: 3 of 4 answers have
 * arrived by then. */
#define HEDGE_DELAY_MEANS 1.5
/* Share of the allowed extra sends that early hedges leave in the budget: it
 * is kept for servers that fail or become slow within the window. */
#define HEDGE_EARLY_SHARE 0.5
/* Least delay of a retry after all servers refused: about the time of one
 * request. */
#define RETRY_DELAY_MIN (10 * USEC_PER_MSEC)

static void log_shard(rt_t *rt, const rt_shard_t *sh, const char *event,
		      const rt_pick_t *p, rt_why_t why)
{
	rt_log(rt, &(rt_log_line_t){ .event = event,
				     .why = why,
				     .id = sh->q->id,
				     .service = sh->svc->name,
				     .server = p && p->s ? p->s->id : STR(""),
				     .n = p ? p->candidates : sh->sends,
				     .result = RT_RESULT_MAX,
				     .value = p ? p->expected : 0,
				     .age = p && p->s ? p->age : -1,
				     .version = sh->q->view->conf->revision,
				     .info = !p || why != RT_WHY_FIRST });
}

void rt_shard_fail(rt_t *rt, rt_shard_t *sh, rt_why_t why, usec_t now)
{
	sh->state = RT_SH_FAILED;
	sh->why = why;
	sh->hedge_at = 0;
	sh->retry_at = 0;
	sh->q->nfailed++;
	log_shard(rt, sh, "shard_failed", NULL, why);
	rt_query_try_answer(rt, sh->q, now);
}

static void add_tried(rt_shard_t *sh, const rt_server_t *s)
{
	unsigned max = sizeof(sh->tried) / sizeof(sh->tried[0]);

	sh->tried[sh->ntried % max] = s->num;
	if (sh->ntried < max)
		sh->ntried++;
}

/*
 * The latest time at which a hedge can be sent and is likely to be answered
 * before the soft deadline. If the first send is answered by then, the
 * service is spared a request.
 */
static usec_t latest_hedge(const rt_shard_t *sh)
{
	return sh->q->soft_deadline -
	       (usec_t)((double)rt_stat_hedge_latency(sh->q->stat) *
			sh->q->cost);
}

/*
 * Sets the hedge timer to the late limit of the route. If enough of the budget
 * remains, the hedge is sent earlier, so that its answer is still in time.
 */
static void set_hedge_timer(rt_t *rt, rt_shard_t *sh, usec_t now)
{
	rt_query_t *q = sh->q;
	/* A costly request is not late when most others would be. */
	double cost = q->cost > 1 ? q->cost : 1;
	double mean = (double)rt_stat_mean(q->stat) * cost;
	usec_t early = now + (usec_t)(HEDGE_DELAY_MEANS * mean);

	sh->hedge_at = 0;
	if (!q->route->idempotent)
		return;
	sh->hedge_at =
		now + (usec_t)((double)rt_stat_late_limit(q->stat) * cost);
	if (early < latest_hedge(sh))
		early = latest_hedge(sh);
	if (early < sh->hedge_at &&
	    rt_budget_above_share(&sh->svc->budget, &rt->p, HEDGE_EARLY_SHARE,
				  now))
		sh->hedge_at = early;
	rt_query_schedule(q, sh->hedge_at);
}

static void count_send(rt_t *rt, rt_shard_t *sh, rt_why_t why, usec_t now)
{
	static const rt_counter_t counters[RT_WHY_MAX] = {
		[RT_WHY_FIRST] = RT_CNT_FIRST_SENDS,
		[RT_WHY_PROBE] = RT_CNT_PROBES,
		[RT_WHY_RETRY] = RT_CNT_RETRIES,
		[RT_WHY_HEDGE] = RT_CNT_HEDGES,
	};

	rt->counters[counters[why]]++;
	if (!sh->in_budget)
		rt_budget_add_first(&sh->svc->budget, &rt->p, now);
	sh->in_budget = true;
	sh->first_sent = true;
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
	a->extra = sh->first_sent;
	a->sent_at = now;
	a->deadline = q->deadline;
	rt_load_sent(a, now);
	rt_work_sent(rt, a, q, now);
	rt_server_add_attempt(p->s, a);
	rt_warmup_take(rt, p->s, now);
	rt->counters[RT_CNT_LEAVING_SENDS] += p->s->draining;
	sh->inflight[sh->ninflight++] = a->id;
	sh->sends++;
	sh->may_have_run++;
	sh->state = RT_SH_SENT;
	sh->retry_at = 0;
	add_tried(sh, p->s);
	count_send(rt, sh, p->why, now);
	act = rt_act_add(rt, RT_ACT_SEND);
	act->send.aid = a->id;
	act->send.server = p->s->num;
	act->send.server_id = arena_str(&rt->scratch, p->s->id);
	act->send.addr = arena_str(&rt->scratch, p->s->addr);
	act->send.caller = q->caller;
	act->send.deadline = a->deadline;
	act->send.non_idempotent = !q->route->idempotent;
	act->send.keep_idle = rt_keeps_idle(rt, p->s, now);
	log_shard(rt, sh, "send", p, p->why);
	set_hedge_timer(rt, sh, now);
}

static bool may_send(const rt_shard_t *sh);

/*
 * Sends a copy of the request to a slow or failing server, to detect whether it
 * has recovered. The request does not wait for the answer to the copy.
 */
static void send_probe(rt_t *rt, rt_shard_t *sh, usec_t now)
{
	rt_pick_t p;

	if (!sh->q->route->idempotent || !may_send(sh) ||
	    rt_budget_remaining(&sh->svc->budget, &rt->p, now) < PROBE_RESERVE)
		return;
	rt_pick_probe(rt, sh, now, &p);
	if (p.s && rt_budget_take(&sh->svc->budget, &rt->p, now))
		shard_send(rt, sh, &p, now);
}

void rt_shard_leave_out(rt_t *rt, rt_shard_t *sh, usec_t now)
{
	rt_pick_t p;

	sh->state = RT_SH_FAILED;
	sh->why = RT_WHY_SCARCE;
	sh->q->nfailed++;
	if (now < rt->hold_until)
		return;
	/* Without a probe nobody would notice that its servers recover. */
	rt_pick_probe(rt, sh, now, &p);
	if (!p.s)
		return;
	shard_send(rt, sh, &p, now);
	sh->state = RT_SH_FAILED;
	sh->hedge_at = 0;
}

/* Whether the shard may be sent once more. */
static bool may_send(const rt_shard_t *sh)
{
	return sh->ninflight < RT_MAX_INFLIGHT &&
	       sh->may_have_run < sh->q->route->attempts &&
	       sh->sends < sh->q->route->attempts + REFUSED_SENDS_MAX;
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
		sh->retry_at = rt->hold_until;
		rt_query_schedule(sh->q, sh->retry_at);
		return;
	}
	rt_pick(rt, sh, why, now, &p);
	if (!p.s && p.usable) {
		log_shard(rt, sh, "wait", &p, RT_WHY_OVERLOAD);
		rt_wait_push(rt, sh, now);
		return;
	}
	if (!p.s) {
		rt_shard_fail(rt, sh,
			      rt_svc_pause(sh->svc, now) > 0 ? RT_WHY_PAUSED
							     : RT_WHY_NO_SERVER,
			      now);
		return;
	}
	if (sh->first_sent && !rt_budget_take(&sh->svc->budget, &rt->p, now)) {
		rt->counters[RT_CNT_NO_BUDGET]++;
		rt_shard_fail(rt, sh, RT_WHY_BUDGET, now);
		return;
	}
	shard_send(rt, sh, &p, now);
	if (why == RT_WHY_FIRST)
		send_probe(rt, sh, now);
}

static void run_hedge_timer(rt_t *rt, rt_shard_t *sh, usec_t now)
{
	rt_attempt_t *a;
	rt_pick_t p;
	unsigned i;

	sh->hedge_at = 0;
	for (i = 0; i < sh->ninflight; i++) {
		a = idmap_get(&rt->attempts, sh->inflight[i]);
		if (a)
			rt_server_mark_late(a);
	}
	if (!may_send(sh) || sh->state != RT_SH_SENT || now < rt->hold_until)
		return;
	if (now < latest_hedge(sh)) {
		sh->hedge_at = latest_hedge(sh);
		rt_query_schedule(sh->q, sh->hedge_at);
		return;
	}
	rt_pick(rt, sh, RT_WHY_HEDGE, now, &p);
	if (!p.s || now + p.expected > sh->q->deadline)
		return;
	if (rt_budget_remaining(&sh->svc->budget, &rt->p, now) <
		    HEDGE_RESERVE ||
	    !rt_budget_take(&sh->svc->budget, &rt->p, now)) {
		rt->counters[RT_CNT_NO_BUDGET]++;
		return;
	}
	shard_send(rt, sh, &p, now);
}

void rt_shard_run_timers(rt_t *rt, rt_shard_t *sh, usec_t now)
{
	if (sh->hedge_at && sh->hedge_at <= now)
		run_hedge_timer(rt, sh, now);
	if (sh->retry_at && sh->retry_at <= now) {
		sh->retry_at = 0;
		sh->ntried = 0;
		rt_shard_start(rt, sh,
			       sh->first_sent ? RT_WHY_RETRY : RT_WHY_FIRST,
			       now);
	}
}

static void remove_inflight(rt_shard_t *sh, uint64_t aid)
{
	unsigned i;

	for (i = 0; i < sh->ninflight; i++)
		if (sh->inflight[i] == aid) {
			sh->inflight[i] = sh->inflight[--sh->ninflight];
			return;
		}
}

static bool did_not_run(rt_result_t r)
{
	return r == RT_NOT_RUN || r == RT_MOVED || r == RT_NOT_SENT ||
	       r == RT_EXPIRED;
}

static rt_why_t why_of(rt_result_t r)
{
	static const rt_why_t whys[RT_RESULT_MAX] = {
		[RT_ANSWERED] = RT_WHY_COMPLETE,  [RT_FAILED] = RT_WHY_FAILED,
		[RT_NOT_RUN] = RT_WHY_NOT_RUN,	  [RT_MOVED] = RT_WHY_MOVED,
		[RT_NOT_SENT] = RT_WHY_NO_SERVER, [RT_LOST] = RT_WHY_LOST,
		[RT_EXPIRED] = RT_WHY_DEADLINE,
	};

	return whys[r];
}

static void accept_reply(rt_t *rt, rt_shard_t *sh, rt_attempt_t *a,
			 rt_reply_t *reply, usec_t now)
{
	if (a->why == RT_WHY_HEDGE)
		rt->counters[RT_CNT_HEDGES_WON]++;
	rt_reply_unref(sh->reply);
	sh->reply = reply;
	sh->state = RT_SH_DONE;
	sh->hedge_at = 0;
	sh->retry_at = 0;
	sh->q->ndone++;
	rt_query_try_answer(rt, sh->q, now);
}

/* Delays the retry after all servers refused: one of them may have capacity
 * after about half the mean latency. */
static void schedule_retry(rt_shard_t *sh, usec_t now)
{
	usec_t delay = rt_stat_mean(sh->q->stat) / 2;

	if (delay < RETRY_DELAY_MIN)
		delay = RETRY_DELAY_MIN;
	sh->retry_at = now + delay;
	rt_query_schedule(sh->q, sh->retry_at);
}

static bool has_untried_server(const rt_shard_t *sh, usec_t now)
{
	size_t i;
	unsigned j;

	for (i = 0; i < sh->svc->n; i++) {
		if (!rt_server_accepts(sh->svc->v[i], now))
			continue;
		for (j = 0; j < sh->ntried; j++)
			if (sh->tried[j] == sh->svc->v[i]->num)
				break;
		if (j == sh->ntried)
			return true;
	}
	return false;
}

static void handle_failure(rt_t *rt, rt_shard_t *sh, rt_result_t r, usec_t now)
{
	sh->why = why_of(r);
	if (sh->ninflight)
		return;
	sh->state = RT_SH_IDLE;
	if (!may_send(sh) || (!sh->q->route->idempotent && !did_not_run(r))) {
		rt_shard_fail(rt, sh, sh->why, now);
	} else if (r == RT_NOT_RUN && rt_svc_pause(sh->svc, now) > 0) {
		rt_shard_fail(rt, sh, RT_WHY_PAUSED, now);
	} else if (r == RT_NOT_RUN && !has_untried_server(sh, now)) {
		schedule_retry(sh, now);
	} else {
		rt_shard_start(rt, sh, RT_WHY_RETRY, now);
	}
}

void rt_shard_result(rt_t *rt, rt_shard_t *sh, rt_attempt_t *a, rt_result_t r,
		     rt_reply_t *reply, usec_t now)
{
	bool unsent = r == RT_NOT_SENT || r == RT_EXPIRED;

	remove_inflight(sh, a->id);
	if (did_not_run(r))
		sh->may_have_run--;
	if (unsent && a->extra)
		rt_budget_put_back(&sh->svc->budget, &rt->p, a->sent_at, now);
	if (unsent && sh->ninflight == 0 && sh->may_have_run == 0)
		sh->first_sent = false;
	if (sh->state == RT_SH_DONE || sh->state == RT_SH_FAILED) {
		rt_reply_unref(reply);
		return;
	}
	if (r == RT_ANSWERED) {
		accept_reply(rt, sh, a, reply, now);
		return;
	}
	/* An error answer is passed on if no later send succeeds. */
	if (r == RT_FAILED && sh->q->route->mode == RT_ONE_SERVICE &&
	    !sh->reply)
		sh->reply = reply;
	else
		rt_reply_unref(reply);
	handle_failure(rt, sh, r, now);
}

void rt_shard_detach(rt_t *rt, rt_shard_t *sh, bool cancel)
{
	rt_attempt_t *a;
	unsigned i;

	if (sh->state == RT_SH_WAITING)
		rt_wait_remove(rt, sh);
	for (i = 0; cancel && i < sh->ninflight; i++) {
		a = idmap_get(&rt->attempts, sh->inflight[i]);
		if (!a)
			continue;
		rt_act_add(rt, RT_ACT_CANCEL)->aid = a->id;
		rt_server_drop_attempt(rt, a);
	}
	sh->ninflight = 0;
}
