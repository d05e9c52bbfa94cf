/**
 * @file forward.c
 * Forwards groups of a query to the daemons that hold them, one message per
 * holder, and serves such messages from other daemons.
 */
#include <stdlib.h>
#include <string.h>

#include "libcore.h"

/* A message to one holder with groups of a query. */
struct forward {
	uint64_t id;
	uint64_t qid;
	unsigned epoch;
	str_t addr;	/* owned */
	size_t *shards; /* indexes of shards of the query */
	size_t n;
	size_t npending; /* groups without a result */
	bool discovery;	 /* requests only the snapshots of the groups */
};

void forward_free(forward_t *f)
{
	if (!f)
		return;
	str_free(f->addr);
	free(f->shards);
	free(f);
}

static void log_holder(core_t *c, const query_t *q, str_t addr, size_t n)
{
	act_log(c, &(decision_line_t){ .decision = DEC_HOLDER,
				       .why = WHY_FORWARDED,
				       .qid = q->id,
				       .service = q->svc->conf->name,
				       .addr = addr,
				       .snapshot = q->snapshot,
				       .n = n });
}

/* Cost of choosing a holder; the lowest is chosen. */
static unsigned holder_cost(const core_t *c, const holder_t *h, uint64_t tried,
			    size_t i, usec_t now)
{
	unsigned cost = h->same_dc ? 0 : 1;

	if (peer_suspect(c, h->addr, now))
		cost += 2;
	if (tried >> i & 1)
		cost += 4;
	return cost;
}

/* Returns the index of a holder in the block, n if there is none. */
static size_t choose_holder(core_t *c, const block_t *b, uint64_t tried,
			    usec_t now)
{
	unsigned low = 0, cost;
	size_t best = b->n;
	size_t first, at, i;

	if (b->n == 0)
		return 0;
	first = rng_below(&c->rng, b->n);
	for (i = 0; i < b->n; i++) {
		at = (first + i) % b->n;
		cost = holder_cost(c, &b->v[at], tried, at, now);
		if (best == b->n || cost < low) {
			low = cost;
			best = at;
		}
	}
	return best;
}

static void send_forward(core_t *c, query_t *q, forward_t *f, usec_t now)
{
	peer_msg_t *m =
		peer_send(c, arena_str(&c->scratch, f->addr), PEER_FORWARD);
	act_t *act = &c->acts->v[c->acts->n - 1];
	size_t i;

	act->peer.body = q->body;
	m->token = f->id;
	m->service = q->svc->conf->name;
	m->class_name = q->class->name;
	m->time_left = q->deadline - now - LINK_ALLOWANCE;
	m->limit = q->limit;
	m->map_version = q->svc->conf->map_version;
	m->snapshot = q->snapshot;
	m->groups = arena_alloc(&c->scratch, f->n * sizeof(*m->groups));
	m->ngroups = f->n;
	for (i = 0; i < f->n; i++)
		m->groups[i] = q->shards[f->shards[i]].group->name;
	c->counters[CNT_FORWARDS]++;
	c->counters[CNT_FORWARDED_GROUPS] += f->n;
	peer_expect_reply(c, f->addr, now);
	log_holder(c, q, m->service, f->n);
}

/* Forwards the idle shards of a block to one of its holders. */
static void forward_block(core_t *c, query_t *q, size_t block, usec_t now)
{
	const block_t *b = &q->svc->blocks[block];
	forward_t *f = xcalloc(1, sizeof(*f));
	uint64_t tried = 0;
	size_t at, i;

	f->shards = xcalloc(q->nshards, sizeof(*f->shards));
	for (i = 0; i < q->nshards; i++)
		if (q->shards[i].block == block &&
		    q->shards[i].state == SH_IDLE) {
			tried |= q->shards[i].holders_tried_mask;
			f->shards[f->n++] = i;
		}
	at = choose_holder(c, b, tried, now);
	if (f->n == 0 || at == b->n) {
		forward_free(f);
		return;
	}
	f->id = idmap_add(&c->forwards, f);
	f->qid = q->id;
	f->epoch = q->epoch;
	f->addr = str_dup(b->v[at].addr);
	f->npending = f->n;
	for (i = 0; i < f->n; i++) {
		q->shards[f->shards[i]].state = SH_FORWARDED;
		q->shards[f->shards[i]].holders_tried_mask |= 1ULL << at;
	}
	f->discovery = q->snapshot == 0;
	if (f->discovery)
		q->ndiscoveries++;
	else
		q->noutstanding++;
	q->forwards = xrealloc(q->forwards,
			       (q->nforwards + 1) * sizeof(*q->forwards));
	q->forwards[q->nforwards++] = f->id;
	send_forward(c, q, f, now);
	if (q->class->idempotent && !f->discovery)
		timer_arm(c,
			  (timer_entry_t){ .at = now + (q->deadline - now) / 2,
					   .kind = TM_FORWARD,
					   .qid = q->id,
					   .aid = f->id,
					   .epoch = q->epoch });
}

void forward_start(core_t *c, query_t *q, usec_t now)
{
	size_t b;

	for (b = 0; b < q->svc->nblocks; b++)
		if (!q->svc->blocks[b].held_here)
			forward_block(c, q, b, now);
}

/* A forward without a snapshot requests only the snapshots held. */
bool forward_discover(core_t *c, query_t *q, usec_t now)
{
	size_t i;
	bool any = false;

	for (i = 0; i < q->nshards; i++) {
		shard_t *sh = &q->shards[i];

		if (q->svc->blocks[sh->block].held_here || sh->state != SH_IDLE)
			continue;
		any = true;
	}
	if (any)
		forward_start(c, q, now);
	return any;
}

static group_t *find_group(const svc_t *s, str_t name)
{
	size_t i;

	for (i = 0; i < s->ngroups; i++)
		if (str_eq(s->groups[i]->name, name))
			return s->groups[i];
	return NULL;
}

static bool all_holders_tried(const query_t *q, const shard_t *sh)
{
	size_t n = q->svc->blocks[sh->block].n;

	return (size_t)__builtin_popcountll(sh->holders_tried_mask) >= n;
}

static void return_shard(core_t *c, query_t *q, shard_t *sh, usec_t now)
{
	if (all_holders_tried(q, sh)) {
		shard_fail(c, sh, WHY_NO_SERVER, now);
		return;
	}
	if (now >= q->deadline - LINK_ALLOWANCE) {
		shard_fail(c, sh, WHY_DEADLINE, now);
		return;
	}
	sh->state = SH_IDLE;
}

static bool is_not_run(result_t r)
{
	return r == RES_NOT_SENT || r == RES_SHED || r == RES_SNAPSHOT_MISSING;
}

static void store_held(group_t *g, const group_result_t *p)
{
	size_t i;

	if (!g || p->nheld == 0)
		return;
	g->nheld = p->nheld;
	for (i = 0; i < p->nheld; i++)
		g->held[i] = p->held[i];
}

/* Applies a group's result; true if the query restarted or ended. */
static bool apply_group_result(core_t *c, query_t *q, shard_t *sh,
			       group_result_t *p, usec_t now)
{
	unsigned epoch = q->epoch;
	result_t r = (result_t)p->result;

	if (!is_not_run(r))
		q->may_have_run = true;
	if (shard_ended(sh))
		return false;
	if (r == RES_OK && p->group_hits) {
		shard_complete(c, sh, p->group_hits, now);
		p->group_hits = NULL;
	} else if (r == RES_SNAPSHOT_MISSING) {
		if (!query_restart(c, q, now))
			shard_fail(c, sh, WHY_NO_COMMON_SNAPSHOT, now);
	} else if (is_not_run(r) || q->class->idempotent) {
		return_shard(c, q, sh, now);
	} else {
		shard_fail(c, sh, WHY_LOST, now);
	}
	return q->ended || q->epoch != epoch;
}

static shard_t *shard_of(query_t *q, const forward_t *f, str_t group)
{
	size_t i;

	for (i = 0; i < f->n; i++)
		if (str_eq(q->shards[f->shards[i]].group->name, group))
			return &q->shards[f->shards[i]];
	return NULL;
}

static void apply_group_results(core_t *c, query_t *q, forward_t *f,
				peer_msg_t *m, usec_t now)
{
	unsigned epoch = f->epoch;
	shard_t *sh;
	size_t i;

	for (i = 0; i < m->ngroup_results; i++) {
		sh = shard_of(q, f, m->group_results[i].group);
		if (sh &&
		    apply_group_result(c, q, sh, &m->group_results[i], now))
			return;
	}
	/* Shards returned without a result go to another holder. */
	if (!q->ended && q->epoch == epoch && q->snapshot)
		forward_start(c, q, now);
}

static void free_group_hits(peer_msg_t *m)
{
	size_t i;

	for (i = 0; i < m->ngroup_results; i++) {
		group_hits_free(m->group_results[i].group_hits);
		m->group_results[i].group_hits = NULL;
	}
}

static void forward_end(core_t *c, query_t *q, forward_t *f)
{
	if (q && f->discovery)
		q->ndiscoveries--;
	else if (q)
		q->noutstanding--;
	idmap_del(&c->forwards, f->id);
	forward_free(f);
}

/* Counts the group results of a message; true if none is pending after it. */
static bool count_group_results(forward_t *f, const peer_msg_t *m)
{
	bool last = m->ngroup_results >= f->npending;

	f->npending -= last ? f->npending : m->ngroup_results;
	return last;
}

static void discovery_end(core_t *c, query_t *q, forward_t *f, usec_t now)
{
	forward_end(c, q, f);
	if (q->ndiscoveries == 0)
		query_repin(c, q, now);
}

static bool is_current(const query_t *q, const forward_t *f,
		       const peer_msg_t *m)
{
	return f->epoch == q->epoch && m->snapshot == q->snapshot &&
	       m->map_version == q->svc->conf->map_version;
}

void forward_results(core_t *c, peer_msg_t *m, usec_t now)
{
	forward_t *f = idmap_get(&c->forwards, m->token);
	query_t *q = f ? idmap_get(&c->queries, f->qid) : NULL;
	forward_t copy;
	bool last;
	size_t i;

	if (!f || !q || q->ended) {
		c->counters[CNT_LATE_RESULTS]++;
		goto out;
	}
	for (i = 0; i < m->ngroup_results; i++)
		store_held(find_group(q->svc, m->group_results[i].group),
			   &m->group_results[i]);
	last = count_group_results(f, m);
	if (f->discovery) {
		if (last)
			discovery_end(c, q, f, now);
		goto out;
	}
	/* Applying results may end the query and free its forwards. */
	copy = *f;
	copy.shards = arena_alloc(&c->scratch, f->n * sizeof(*f->shards));
	memcpy(copy.shards, f->shards, f->n * sizeof(*f->shards));
	if (last)
		forward_end(c, q, f);
	if (is_current(q, &copy, m))
		apply_group_results(c, q, &copy, m, now);
out:
	free_group_hits(m);
}

void forward_failed(core_t *c, uint64_t token, usec_t now)
{
	forward_t *f = idmap_get(&c->forwards, token);
	query_t *q = f ? idmap_get(&c->queries, f->qid) : NULL;
	size_t i;

	if (!q || q->ended)
		return;
	for (i = 0; f->epoch == q->epoch && i < f->n; i++)
		if (q->shards[f->shards[i]].state == SH_FORWARDED)
			return_shard(c, q, &q->shards[f->shards[i]], now);
	f = idmap_get(&c->forwards, token);
	if (f)
		forward_end(c, q, f);
	if (!q->ended && q->snapshot)
		forward_start(c, q, now);
}

/* A holder is overdue: another one also gets its shards, within the budget. */
void forward_timer(core_t *c, const timer_entry_t *t, usec_t now)
{
	forward_t *f = idmap_get(&c->forwards, t->aid);
	query_t *q = f ? idmap_get(&c->queries, f->qid) : NULL;
	size_t i;

	if (!q || q->ended || f->epoch != q->epoch || q->snapshot == 0)
		return;
	if (!budget_take(&q->svc->state->retry)) {
		c->counters[CNT_BUDGET_DENIED]++;
		return;
	}
	for (i = 0; i < f->n; i++)
		if (q->shards[f->shards[i]].state == SH_FORWARDED)
			q->shards[f->shards[i]].state = SH_IDLE;
	forward_start(c, q, now);
}

void forward_drop(core_t *c, query_t *q)
{
	forward_t *f;
	size_t i;

	for (i = 0; i < q->nforwards; i++) {
		f = idmap_get(&c->forwards, q->forwards[i]);
		if (!f)
			continue;
		/* The holder may run the groups; the result is ignored. */
		q->may_have_run |= !f->discovery;
		forward_end(c, q, f);
	}
	free(q->forwards);
	q->forwards = NULL;
	q->nforwards = 0;
}

/* Requests that other daemons forward to this one. */

/* Adds the snapshots that the alive servers of a group report. */
static void fill_held(const group_t *g, uint32_t map, group_result_t *p)
{
	const evidence_t *e;
	size_t i, j, k;

	for (i = 0; i < g->nups; i++) {
		e = &g->ups[i]->evidence;
		if (!upstream_alive(g->ups[i]) || !e->valid)
			continue;
		for (j = 0; j < e->nheld; j++) {
			for (k = 0; k < p->nheld; k++)
				if (p->held[k].snapshot == e->held[j].snapshot)
					break;
			if (k < p->nheld ||
			    p->nheld == CORE_MAX_HELD_SNAPSHOTS ||
			    e->held[j].map_version != map)
				continue;
			p->held[p->nheld++] = e->held[j];
		}
	}
}

static void refuse_forward(core_t *c, const peer_msg_t *m, const svc_t *s)
{
	peer_msg_t *r = peer_send(c, arena_str(&c->scratch, m->reply_to),
				  PEER_FORWARD_RESULTS);
	const group_t *g;
	size_t i;

	r->token = m->token;
	r->map_version = m->map_version;
	r->snapshot = m->snapshot;
	r->ngroup_results = m->ngroups;
	r->group_results = arena_alloc(&c->scratch,
				       m->ngroups * sizeof(*r->group_results));
	for (i = 0; i < m->ngroups; i++) {
		r->group_results[i].group =
			arena_str(&c->scratch, m->groups[i]);
		r->group_results[i].result = RES_SNAPSHOT_MISSING;
		g = s ? find_group(s, m->groups[i]) : NULL;
		if (g)
			fill_held(g, s->conf->map_version,
				  &r->group_results[i]);
	}
}

static bool find_groups(const svc_t *s, const peer_msg_t *m, group_t **groups)
{
	size_t i;

	for (i = 0; i < m->ngroups; i++) {
		groups[i] = find_group(s, m->groups[i]);
		if (!groups[i])
			return false;
	}
	return m->ngroups > 0;
}

void forward_request(core_t *c, event_t *ev, usec_t now)
{
	const peer_msg_t *m = ev->peer.msg;
	request_t r = { .service = m->service,
			.class_name = m->class_name,
			.route = STR("forwarded"),
			.deadline = m->time_left > 0 ? m->time_left : 1,
			.limit = (unsigned)m->limit,
			.body = ev->peer.body };
	group_t **groups = xcalloc(m->ngroups, sizeof(*groups));
	const conf_class_t *class = NULL;
	const svc_t *svc = NULL;
	query_t *q;

	if (query_admit(c, &r, &svc, &class) != WHY_NONE || m->snapshot == 0 ||
	    svc->conf->map_version != m->map_version ||
	    !find_groups(svc, m, groups)) {
		refuse_forward(c, m, svc);
		act_add(c, ACT_BODY_RELEASE)->body = ev->peer.body;
		goto out;
	}
	q = query_new(c, &r, svc, class, now);
	q->origin = FROM_PEER;
	q->owns_body = true;
	q->reply_to = str_dup(m->reply_to);
	q->token = m->token;
	q->snapshot = m->snapshot;
	query_run_groups(c, q, groups, m->ngroups, now);
out:
	free(groups);
}

static result_t result_of(const query_t *q, const shard_t *sh)
{
	if (sh->state == SH_DONE)
		return RES_OK;
	if (sh->state == SH_FAILED && sh->why == WHY_NO_COMMON_SNAPSHOT)
		return RES_SNAPSHOT_MISSING;
	return q->may_have_run || q->noutstanding ? RES_LOST : RES_NOT_SENT;
}

void forward_report(core_t *c, query_t *q, bool last)
{
	peer_msg_t *m;
	size_t i;

	m = peer_send(c, arena_str(&c->scratch, q->reply_to),
		      PEER_FORWARD_RESULTS);
	m->token = q->token;
	m->map_version = q->svc->conf->map_version;
	m->snapshot = q->snapshot;
	m->group_results = arena_alloc(&c->scratch,
				       q->nshards * sizeof(*m->group_results));
	for (i = 0; i < q->nshards; i++) {
		shard_t *sh = &q->shards[i];
		group_result_t *p = &m->group_results[m->ngroup_results];

		if (sh->reported || (!last && sh->state != SH_DONE))
			continue;
		sh->reported = true;
		p->group = sh->group->name;
		p->result = result_of(q, sh);
		p->group_hits = sh->group_hits;
		fill_held(sh->group, q->svc->conf->map_version, p);
		m->ngroup_results++;
	}
}
