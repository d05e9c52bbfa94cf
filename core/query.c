/** @file query.c A query from its request to its single answer. */
#include <stdlib.h>

#include "libcore.h"

#define DEFAULT_LIMIT 10

static void query_answer(core_t *c, query_t *q, why_t why, usec_t now);
static void query_end(core_t *c, query_t *q);

void query_reject(core_t *c, const request_t *r, why_t why)
{
	act_t *a = act_add(c, ACT_ANSWER);

	c->counters[CNT_ANSWERED_NOT_RUN]++;
	a->answer.caller = r->caller;
	a->answer.outcome = OUT_NOT_RUN;
	a->answer.why = why;
	a->answer.service = r->service;
	a->answer.class_name = r->class_name;
	act_log(c, &(decision_line_t){ .decision = DEC_ANSWER,
				       .why = why,
				       .service = r->service });
}

static const svc_t *find_svc(const core_t *c, str_t name)
{
	const view_t *v = c->state.conf.view;
	size_t i;

	for (i = 0; i < v->nsvcs; i++)
		if (str_eq(v->svcs[i].conf->name, name))
			return &v->svcs[i];
	return NULL;
}

why_t query_admit(const core_t *c, const request_t *r, const svc_t **svc,
		  const conf_class_t **class)
{
	if (c->stopping)
		return WHY_STOPPING;
	if (!c->state.conf.view)
		return WHY_NO_CONFIG;
	*svc = find_svc(c, r->service);
	if (!*svc)
		return WHY_NO_SERVICE;
	*class = conf_class((*svc)->conf, r->class_name);
	if (!*class)
		return WHY_NO_CLASS;
	if ((*class)->scope == CONF_ONE && r->route.sz == 0 &&
	    (*svc)->ngroups > 1)
		return WHY_NO_ROUTE;
	return WHY_NONE;
}

static void add_shards(query_t *q, group_t *const *groups, size_t n)
{
	size_t i, j;

	q->nshards = n;
	q->ndone = 0;
	q->nfailed = 0;
	q->shards = xcalloc(n, sizeof(*q->shards));
	for (i = 0, j = 0; i < n; i++) {
		q->shards[i].q = q;
		q->shards[i].group = groups[i];
		/* The next group of the service is the likely one. */
		if (i == 0 || q->svc->groups[j] != groups[i])
			for (j = 0; q->svc->groups[j] != groups[i]; j++)
				;
		q->shards[i].block = j++ / HOLDER_BLOCK;
		if (j == q->svc->ngroups)
			j = 0;
	}
}

static void log_pin(core_t *c, const query_t *q)
{
	act_log(c, &(decision_line_t){ .decision = DEC_PIN,
				       .why = WHY_CHOSEN,
				       .qid = q->id,
				       .service = q->svc->conf->name,
				       .snapshot = q->snapshot,
				       .n = q->nshards });
}

/* Creates the shards of the query's groups and chooses the snapshot. */
static void create_shards(core_t *c, query_t *q)
{
	group_t *const *groups = q->svc->groups;
	size_t n = q->svc->ngroups;

	if (q->class->scope == CONF_ONE) {
		groups += str_hash(q->route, 0) % n;
		n = 1;
	}
	add_shards(q, groups, n);
	q->snapshot = snapshot_pin(q);
	log_pin(c, q);
}

static void arm_timer(core_t *c, const query_t *q, timer_kind_t kind, usec_t at)
{
	timer_arm(c, (timer_entry_t){ .at = at, .kind = kind, .qid = q->id });
}

/* No snapshot is left: searches again later, with newer evidence. */
static void retry_without_snapshot(core_t *c, query_t *q, usec_t now)
{
	bool first = q->epoch == 0;

	if (q->epoch >= QUERY_MAX_RESTARTS) {
		query_answer(c, q, WHY_NO_COMMON_SNAPSHOT, now);
		return;
	}
	q->epoch++;
	q->nabandoned = 0;
	if (!forward_discover(c, q, now) && first)
		query_answer(c, q, WHY_NO_COMMON_SNAPSHOT, now);
	else
		arm_timer(c, q, TM_REPIN, now + REPIN_WAIT);
}

static void start_shards(core_t *c, query_t *q, usec_t now)
{
	unsigned epoch = q->epoch;
	size_t i;

	if (q->snapshot == 0) {
		retry_without_snapshot(c, q, now);
		return;
	}
	forward_start(c, q, now);
	/* Starting a shard may end or restart the query. */
	for (i = 0; !q->ended && q->epoch == epoch && i < q->nshards; i++)
		if (q->svc->blocks[q->shards[i].block].held_here)
			shard_start(c, &q->shards[i], WHY_CHOSEN, now);
}

static void arm_timers(core_t *c, const query_t *q)
{
	arm_timer(c, q, TM_DEADLINE, q->deadline);
	if (q->class->kind == CONF_URGENT && q->soft_deadline < q->deadline)
		arm_timer(c, q, TM_SOFT, q->soft_deadline);
	if (!q->class->idempotent)
		arm_timer(c, q, TM_WITHDRAW, q->deadline - WITHDRAW_MARGIN);
}

query_t *query_new(core_t *c, const request_t *r, const svc_t *svc,
		   const conf_class_t *class, usec_t now)
{
	query_t *q = xcalloc(1, sizeof(*q));
	usec_t remaining = class->deadline;
	usec_t soft = class->soft_deadline;

	if (r->deadline && r->deadline < remaining)
		remaining = r->deadline;
	q->id = idmap_add(&c->queries, q);
	q->view = c->state.conf.view;
	q->view->refs++;
	q->svc = svc;
	q->class = class;
	q->body = r->body;
	q->caller = r->caller;
	q->limit = r->limit ? r->limit : DEFAULT_LIMIT;
	q->route = str_dup(r->route);
	q->arrived_at = now;
	q->deadline = now + remaining;
	q->soft_deadline = now + (soft < remaining ? soft : remaining);
	return q;
}

void query_run(core_t *c, query_t *q, usec_t now)
{
	arm_timers(c, q);
	create_shards(c, q);
	start_shards(c, q, now);
}

void query_run_groups(core_t *c, query_t *q, group_t **groups, size_t n,
		      usec_t now)
{
	usec_t spent = q->class->deadline - (q->deadline - now);

	/* Results must arrive before the other daemon's soft deadline. */
	q->soft_deadline =
		now + q->class->soft_deadline - spent - LINK_ALLOWANCE;
	arm_timers(c, q);
	add_shards(q, groups, n);
	log_pin(c, q);
	for (n = 0; !q->ended && n < q->nshards; n++)
		shard_start(c, &q->shards[n], WHY_CHOSEN, now);
}

void query_start(core_t *c, const request_t *r, usec_t now)
{
	const conf_class_t *class = NULL;
	const svc_t *svc = NULL;
	why_t why;

	c->counters[CNT_QUERIES]++;
	why = query_admit(c, r, &svc, &class);
	if (why != WHY_NONE)
		query_reject(c, r, why);
	else if (!class->idempotent && r->key.sz)
		key_start(c, r, svc, class, now);
	else
		query_run(c, query_new(c, r, svc, class, now), now);
}

static void drop_shards(core_t *c, query_t *q)
{
	size_t i;

	for (i = 0; i < q->nshards; i++)
		shard_drop(c, &q->shards[i]);
	free(q->shards);
	q->shards = NULL;
	q->nshards = 0;
	forward_drop(c, q);
}

bool query_restart(core_t *c, query_t *q, usec_t now)
{
	const conf_class_t *class;
	const svc_t *svc;
	view_t *old = q->view;

	if (q->origin == FROM_PEER || q->epoch >= QUERY_MAX_RESTARTS ||
	    now >= q->deadline)
		return false;
	if (!q->class->idempotent && (q->may_have_run || q->noutstanding))
		return false;
	svc = find_svc(c, q->svc->conf->name);
	class = svc ? conf_class(svc->conf, q->class->name) : NULL;
	if (!class || class->idempotent != q->class->idempotent)
		return false;
	c->counters[CNT_RESTARTS]++;
	drop_shards(c, q);
	q->epoch++;
	q->abandoned[q->nabandoned++] = q->snapshot;
	q->view = c->state.conf.view;
	q->view->refs++;
	q->svc = svc;
	q->class = class;
	view_unref_later(c, old);
	act_log(c, &(decision_line_t){ .decision = DEC_RESTART,
				       .why = WHY_SNAPSHOT_MISSING,
				       .qid = q->id,
				       .service = svc->conf->name,
				       .snapshot = q->snapshot });
	create_shards(c, q);
	start_shards(c, q, now);
	return true;
}

static unsigned coverage(const query_t *q)
{
	return q->nshards ? (unsigned)(q->ndone * 1000 / q->nshards) : 0;
}

static outcome_t outcome_of(const query_t *q)
{
	if (q->nshards && q->ndone == q->nshards)
		return OUT_COMPLETE;
	if (q->ndone && coverage(q) >= q->class->min_coverage_permille)
		return OUT_PARTIAL;
	return q->may_have_run || q->noutstanding ? OUT_UNKNOWN : OUT_NOT_RUN;
}

static void fill_missing(query_t *q, answer_t *a)
{
	size_t n = 0, i;

	q->missing = xcalloc(q->nshards, sizeof(*q->missing));
	for (i = 0; i < q->nshards; i++)
		if (q->shards[i].state != SH_DONE)
			q->missing[n++] = q->shards[i].group->name;
	a->missing = q->missing;
}

/* Returns why, or the first failed shard's reason if why is WHY_NONE. */
static why_t failure_of(const query_t *q, why_t why)
{
	size_t i;

	for (i = 0; why == WHY_NONE && i < q->nshards; i++)
		if (q->shards[i].state == SH_FAILED)
			why = q->shards[i].why;
	return why;
}

static void send_answer(core_t *c, query_t *q, const answer_t *a, usec_t now)
{
	switch (q->origin) {
	case FROM_CALLER:
		act_add(c, ACT_ANSWER)->answer = *a;
		break;
	case FROM_KEY:
		key_done(c, q, a, now);
		break;
	case FROM_PEER:
		forward_report(c, q, true);
		break;
	}
}

static void query_answer(core_t *c, query_t *q, why_t why, usec_t now)
{
	static const counter_t counters[OUT_MAX] = {
		[OUT_COMPLETE] = CNT_ANSWERED_COMPLETE,
		[OUT_PARTIAL] = CNT_ANSWERED_PARTIAL,
		[OUT_NOT_RUN] = CNT_ANSWERED_NOT_RUN,
		[OUT_UNKNOWN] = CNT_ANSWERED_UNKNOWN,
	};
	outcome_t out = outcome_of(q);
	answer_t a = {
		.qid = q->id,
		.caller = q->caller,
		.outcome = out,
		.why = out == OUT_COMPLETE ? WHY_NONE : failure_of(q, why),
		.service = q->svc->conf->name,
		.class_name = q->class->name,
		.snapshot = q->snapshot,
		.map_version = q->svc->conf->map_version,
		.total = q->nshards,
		.answered = q->ndone,
		.sent = q->sent,
		.restarts = q->epoch,
		.elapsed = now - q->arrived_at,
	};

	c->counters[counters[out]]++;
	fill_missing(q, &a);
	if (out == OUT_COMPLETE || out == OUT_PARTIAL) {
		a.nhits = merge_group_hits(q);
		a.hits = q->merged;
	}
	send_answer(c, q, &a, now);
	act_log(c, &(decision_line_t){ .decision = DEC_ANSWER,
				       .why = a.why,
				       .qid = q->id,
				       .service = a.service,
				       .snapshot = q->snapshot,
				       .n = q->ndone });
	query_end(c, q);
}

void query_check(core_t *c, query_t *q, usec_t now)
{
	if (q->ended)
		return;
	if (q->ndone + q->nfailed == q->nshards)
		query_answer(c, q, WHY_NONE, now);
	else if (q->soft_passed && q->ndone && q->origin != FROM_PEER &&
		 coverage(q) >= q->class->min_coverage_permille)
		query_answer(c, q, WHY_SOFT_DEADLINE, now);
}

static void withdraw_unsent(core_t *c, query_t *q)
{
	size_t i;
	unsigned j;

	q->withdrawn = true;
	for (i = 0; i < q->nshards; i++)
		for (j = 0; j < q->shards[i].npending; j++)
			act_add(c, ACT_WITHDRAW)->aid = q->shards[i].pending[j];
}

static void shard_timer(core_t *c, query_t *q, const timer_entry_t *t,
			usec_t now)
{
	shard_t *sh;

	if (t->epoch != q->epoch)
		return;
	sh = &q->shards[t->shard];
	if (t->kind == TM_HEDGE && sh->npending == 1 &&
	    sh->pending[0] == t->aid)
		shard_hedge(c, sh, now);
	if (t->kind == TM_BACKOFF && sh->state == SH_BACKOFF)
		shard_resume(c, sh, now);
}

/* After a pause the deadline may pass before attempts were withdrawn. */
static void deadline_reached(core_t *c, query_t *q, usec_t now)
{
	if (q->class->idempotent || q->withdrawn || q->noutstanding == 0) {
		query_answer(c, q, WHY_DEADLINE, now);
		return;
	}
	withdraw_unsent(c, q);
	arm_timer(c, q, TM_DEADLINE, now + WITHDRAW_MARGIN);
}

void query_repin(core_t *c, query_t *q, usec_t now)
{
	if (q->snapshot)
		return;
	drop_shards(c, q);
	create_shards(c, q);
	start_shards(c, q, now);
}

void query_timer(core_t *c, const timer_entry_t *t, usec_t now)
{
	query_t *q = idmap_get(&c->queries, t->qid);

	if (t->kind == TM_KEY_REMOTE) {
		key_timer(c, t, now);
		return;
	}
	if (!q || q->ended)
		return;
	switch (t->kind) {
	case TM_DEADLINE:
		deadline_reached(c, q, now);
		break;
	case TM_SOFT:
		q->soft_passed = true;
		if (q->origin == FROM_PEER)
			forward_report(c, q, false);
		query_check(c, q, now);
		break;
	case TM_WITHDRAW:
		withdraw_unsent(c, q);
		break;
	case TM_REPIN:
		/* The reply of a holder may take longer than REPIN_WAIT. */
		if (q->ndiscoveries && now - q->arrived_at < q->deadline - now)
			arm_timer(c, q, TM_REPIN, now + REPIN_WAIT);
		else
			query_repin(c, q, now);
		break;
	case TM_FORWARD:
		forward_timer(c, t, now);
		break;
	case TM_HEDGE:
	case TM_BACKOFF:
		shard_timer(c, q, t, now);
		break;
	case TM_KEY_REMOTE:
		break;
	}
}

/* Marks the query ended; the next step frees it. */
static void query_end(core_t *c, query_t *q)
{
	size_t i;

	q->ended = true;
	for (i = 0; i < q->nshards; i++)
		shard_detach(c, &q->shards[i]);
	forward_drop(c, q);
	if (c->nended == c->ended_capacity) {
		c->ended_capacity =
			c->ended_capacity ? c->ended_capacity * 2 : 16;
		c->ended = xrealloc(c->ended,
				    c->ended_capacity * sizeof(*c->ended));
	}
	c->ended[c->nended++] = q;
}
