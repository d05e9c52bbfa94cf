/**
 * @file key.c
 * Requests with an idempotency key. The list of hosts determines one daemon,
 * the home of the key, which runs the request and answers resent requests from
 * memory. docs/DESIGN.md has the reasons.
 */
#include <stdlib.h>
#include <string.h>

#include "libcore.h"

/* Recipient of an answer: a caller of this daemon, or another daemon. */
typedef struct waiter {
	void *caller;
	str_t reply_to; /* owned */
	uint64_t token;
} waiter_t;

/* A key whose request runs here, or its stored answer. */
typedef struct key_entry {
	uint64_t hash;
	uint64_t body_hash;
	bool done;
	bool not_run;	   /* did not run; a resent request may run */
	usec_t expires_at; /* when a stored answer is dropped */
	waiter_t *waiters;
	size_t nwaiters;
	arena_t mem; /* strings and hits of the answer */
	answer_t answer;
} key_entry_t;

/* A caller's request that goes to its key's home. */
typedef struct remote_request {
	uint64_t id;
	void *caller;
	void *body;
	str_t home;	  /* owned; its peer address */
	str_t service;	  /* owned */
	str_t class_name; /* owned */
	str_t route;	  /* owned */
	str_t key;	  /* owned */
	unsigned limit;
	usec_t arrived_at;
	usec_t deadline;
	bool sent;
} remote_request_t;

static uint64_t key_hash(str_t service, str_t key)
{
	return str_hash(key, str_hash(service, 0));
}

static key_entry_t *find_entry(const core_t *c, uint64_t hash)
{
	size_t i;

	for (i = 0; i < c->state.keys.n; i++)
		if (c->state.keys.v[i]->hash == hash &&
		    !c->state.keys.v[i]->not_run)
			return c->state.keys.v[i];
	return NULL;
}

static void log_home(core_t *c, str_t service, str_t home, why_t why)
{
	act_log(c, &(decision_line_t){ .decision = DEC_KEY_HOME,
				       .why = why,
				       .service = service,
				       .addr = home });
}

static void answer_caller(core_t *c, void *caller, const answer_t *a)
{
	answer_t *to = &act_add(c, ACT_ANSWER)->answer;

	*to = *a;
	to->caller = caller;
}

static void answer_peer(core_t *c, const waiter_t *w, const answer_t *a)
{
	peer_msg_t *m = peer_send(c, w->reply_to, PEER_KEY_ANSWER);

	m->token = w->token;
	m->outcome = a->outcome;
	m->why = a->why;
	m->snapshot = a->snapshot;
	m->map_version = a->map_version;
	m->total = a->total;
	m->groups = (str_t *)a->missing;
	m->ngroups = a->total - a->answered;
	m->hits = a->hits;
	m->nhits = a->nhits;
}

static void answer_waiter(core_t *c, const waiter_t *w, const answer_t *a)
{
	if (w->caller)
		answer_caller(c, w->caller, a);
	else
		answer_peer(c, w, a);
}

static void refuse_request(core_t *c, const request_t *r, const waiter_t *w,
			   why_t why)
{
	answer_t a = { .outcome = OUT_NOT_RUN,
		       .why = why,
		       .service = r->service,
		       .class_name = r->class_name };

	c->counters[CNT_ANSWERED_NOT_RUN]++;
	answer_waiter(c, w, &a);
	log_home(c, r->service, c->name, why);
}

static void add_waiter(key_entry_t *k, const waiter_t *w)
{
	waiter_t *to;

	k->waiters =
		xrealloc(k->waiters, (k->nwaiters + 1) * sizeof(*k->waiters));
	to = &k->waiters[k->nwaiters++];
	*to = *w;
	to->reply_to = str_dup(w->reply_to);
}

static key_entry_t *add_entry(core_t *c, uint64_t hash, uint64_t body_hash)
{
	keys_state_t *b = &c->state.keys;
	key_entry_t *k = xcalloc(1, sizeof(*k));

	k->hash = hash;
	k->body_hash = body_hash;
	b->v = xrealloc(b->v, (b->n + 1) * sizeof(*b->v));
	b->v[b->n++] = k;
	return k;
}

/* Returns the index of the home in ids, n if there is none. */
static size_t best_id(const uint64_t *ids, size_t n, uint64_t hash)
{
	uint64_t high = 0, score;
	size_t best = n, i;

	for (i = 0; i < n; i++) {
		score = holder_score(ids[i], hash);
		if (best == n || score > high) {
			high = score;
			best = i;
		}
	}
	return best;
}

/* Whether each list of the last KEY_HANDOVER_WAIT made this daemon the home. */
static bool was_home(const core_t *c, uint64_t hash, usec_t now)
{
	const keys_state_t *b = &c->state.keys;
	uint64_t mine = str_hash(c->name, 0);
	const old_list_t *o;
	size_t i, best;

	if (now - b->started_at < KEY_HANDOVER_WAIT)
		return false;
	for (i = 0; i < b->nold; i++) {
		o = &b->old[i];
		if (now - o->replaced_at >= KEY_HANDOVER_WAIT)
			continue;
		best = best_id(o->ids, o->n, hash);
		if (best == o->n || o->ids[best] != mine)
			return false;
	}
	return true;
}

/* The list is recent, or the platform is down and most peers respond. */
static bool list_is_current(const core_t *c, usec_t now)
{
	const list_state_t *l = &c->state.list;

	if (l->confirmed_at && now - l->confirmed_at < KEY_LIST_AGE_MAX)
		return true;
	return l->platform_down && !l->paused && peer_majority_responds(c, now);
}

static why_t check_may_run(const core_t *c, uint64_t hash, usec_t now)
{
	if (!list_is_current(c, now))
		return WHY_STALE_LIST;
	return was_home(c, hash, now) ? WHY_NONE : WHY_KEY_HOME_CHANGED;
}

/* Runs a request, or answers from the entry of its key; true if it runs. */
static bool run_once(core_t *c, const request_t *r, const waiter_t *w,
		     const svc_t *svc, const conf_class_t *class,
		     bool owns_body, usec_t now)
{
	uint64_t hash = key_hash(r->service, r->key);
	key_entry_t *k = find_entry(c, hash);
	query_t *q;
	why_t why;

	if (k) {
		c->counters[CNT_KEY_DUPLICATES]++;
		log_home(c, r->service, c->name, WHY_DUPLICATE);
		if (k->body_hash != r->body_hash)
			refuse_request(c, r, w, WHY_KEY_REUSED);
		else if (k->done)
			answer_waiter(c, w, &k->answer);
		else
			add_waiter(k, w);
		return false;
	}
	why = check_may_run(c, hash, now);
	if (why != WHY_NONE) {
		refuse_request(c, r, w, why);
		return false;
	}
	k = add_entry(c, hash, r->body_hash);
	add_waiter(k, w);
	log_home(c, r->service, c->name, WHY_CHOSEN);
	q = query_new(c, r, svc, class, now);
	q->origin = FROM_KEY;
	q->key_entry = k;
	q->owns_body = owns_body;
	query_run(c, q, now);
	return true;
}

static usec_t time_left(const request_t *r, const conf_class_t *class)
{
	if (r->deadline && r->deadline < class->deadline)
		return r->deadline;
	return class->deadline;
}

static remote_request_t *remote_new(core_t *c, const request_t *r,
				    const listed_daemon_t *home,
				    const conf_class_t *class, usec_t now)
{
	remote_request_t *a = xcalloc(1, sizeof(*a));

	a->id = idmap_add(&c->remote_requests, a);
	a->caller = r->caller;
	a->body = r->body;
	a->home = str_dup(home->peer);
	a->service = str_dup(r->service);
	a->class_name = str_dup(r->class_name);
	a->route = str_dup(r->route);
	a->key = str_dup(r->key);
	a->limit = r->limit;
	a->arrived_at = now;
	a->deadline = now + time_left(r, class);
	return a;
}

static void remote_free(remote_request_t *a)
{
	str_free(a->home);
	str_free(a->service);
	str_free(a->class_name);
	str_free(a->route);
	str_free(a->key);
	free(a);
}

/* Sends the request if the home's clock is known, else a digest first. */
static void remote_send(core_t *c, remote_request_t *a, usec_t now)
{
	const peer_t *p = peer_with_clock(c, a->home);
	usec_t remaining = a->deadline - now - LINK_ALLOWANCE;
	peer_msg_t *m;

	if (!p) {
		peer_send_digest(c, arena_str(&c->scratch, a->home), now);
		return;
	}
	if (remaining <= 0)
		return;
	a->sent = true;
	m = peer_send(c, arena_str(&c->scratch, a->home), PEER_KEY_REQUEST);
	c->acts->v[c->acts->n - 1].peer.body = a->body;
	m->token = a->id;
	m->service = a->service;
	m->class_name = a->class_name;
	m->route = a->route;
	m->key = a->key;
	m->time_left = remaining;
	m->limit = a->limit;
	m->incarnation = p->incarnation;
	m->expires_at = now + p->clock_offset_max + remaining;
	peer_expect_reply(c, a->home, now);
}

void key_clock_known(core_t *c, str_t addr, usec_t now)
{
	remote_request_t *a;
	uint32_t i;

	for (i = 0; i < c->remote_requests.nslots; i++) {
		a = idmap_at(&c->remote_requests, i);
		if (a && !a->sent && str_eq(a->home, addr))
			remote_send(c, a, now);
	}
}

static void remote_start(core_t *c, const request_t *r,
			 const listed_daemon_t *home, const conf_class_t *class,
			 usec_t now)
{
	remote_request_t *a = remote_new(c, r, home, class, now);

	c->counters[CNT_KEYS_FORWARDED]++;
	timer_arm(c, (timer_entry_t){ .at = a->deadline,
				      .kind = TM_KEY_REMOTE,
				      .aid = a->id });
	log_home(c, r->service, home->name, WHY_FORWARDED);
	remote_send(c, a, now);
}

void key_start(core_t *c, const request_t *r, const svc_t *svc,
	       const conf_class_t *class, usec_t now)
{
	waiter_t w = { .caller = r->caller };
	const listed_daemon_t *home = holder_of_hash(
		&c->state.list.list, key_hash(r->service, r->key));

	if (!home) {
		refuse_request(c, r, &w, WHY_STALE_LIST);
		return;
	}
	if (str_eq(home->name, c->name)) {
		run_once(c, r, &w, svc, class, false, now);
		return;
	}
	/* A suspect home gets no request: its outcome would remain unknown. */
	if (peer_suspect(c, home->peer, now) ||
	    time_left(r, class) <= 2 * LINK_ALLOWANCE) {
		refuse_request(c, r, &w, WHY_KEY_HOME_UNAVAILABLE);
		return;
	}
	remote_start(c, r, home, class, now);
}

/* Handles a request from a daemon whose list makes this one the home. */
void key_request(core_t *c, event_t *ev, usec_t now)
{
	const peer_msg_t *m = ev->peer.msg;
	request_t r = { .service = m->service,
			.class_name = m->class_name,
			.route = m->route,
			.key = m->key,
			.deadline = m->time_left,
			.limit = (unsigned)m->limit,
			.body = ev->peer.body,
			.body_hash = ev->peer.body_hash };
	waiter_t w = { .reply_to = arena_str(&c->scratch, m->reply_to),
		       .token = m->token };
	const conf_class_t *class = NULL;
	const svc_t *svc = NULL;
	const listed_daemon_t *home;
	why_t why = query_admit(c, &r, &svc, &class);

	home = holder_of_hash(&c->state.list.list, key_hash(r.service, r.key));
	if (why == WHY_NONE && (!home || !str_eq(home->name, c->name)))
		why = WHY_KEY_HOME_UNAVAILABLE;
	/* The request was sent to an earlier process, or expired on its way. */
	if (why == WHY_NONE && m->incarnation != c->incarnation)
		why = WHY_KEY_HOME_CHANGED;
	if (why == WHY_NONE &&
	    (class->idempotent || m->time_left <= 0 || m->expires_at < now))
		why = WHY_DEADLINE;
	if (why != WHY_NONE)
		refuse_request(c, &r, &w, why);
	else if (run_once(c, &r, &w, svc, class, true, now))
		return;
	act_add(c, ACT_BODY_RELEASE)->body = ev->peer.body;
}

/* Answers the caller, with strings that are valid until the next step. */
static void remote_answer(core_t *c, uint64_t id, answer_t *a, usec_t now)
{
	remote_request_t *w = idmap_get(&c->remote_requests, id);

	idmap_del(&c->remote_requests, id);
	a->service = arena_str(&c->scratch, w->service);
	a->class_name = arena_str(&c->scratch, w->class_name);
	a->elapsed = now - w->arrived_at;
	answer_caller(c, w->caller, a);
	remote_free(w);
}

void key_answer(core_t *c, peer_msg_t *m, usec_t now)
{
	answer_t a = { .outcome = (outcome_t)m->outcome,
		       .why = (why_t)m->why,
		       .snapshot = m->snapshot,
		       .map_version = (uint32_t)m->map_version,
		       .total = m->total,
		       .answered = m->total - m->ngroups,
		       .missing = m->groups,
		       .hits = m->hits,
		       .nhits = m->nhits };

	if (!idmap_get(&c->remote_requests, m->token)) {
		c->counters[CNT_LATE_RESULTS]++;
		return;
	}
	if (m->outcome >= OUT_MAX || m->why >= WHY_MAX || m->ngroups > m->total)
		a = (answer_t){ .outcome = OUT_UNKNOWN, .why = WHY_ERROR };
	remote_answer(c, m->token, &a, now);
}

/* Answers the caller of a request that could not be sent to the home. */
void key_failed(core_t *c, uint64_t token, usec_t now)
{
	answer_t a = { .outcome = OUT_NOT_RUN,
		       .why = WHY_KEY_HOME_UNAVAILABLE };

	if (idmap_get(&c->remote_requests, token))
		remote_answer(c, token, &a, now);
}

void key_timer(core_t *c, const timer_entry_t *t, usec_t now)
{
	answer_t a = { .outcome = OUT_UNKNOWN, .why = WHY_DEADLINE };
	const remote_request_t *w = idmap_get(&c->remote_requests, t->aid);

	if (!w)
		return;
	if (!w->sent) {
		a.outcome = OUT_NOT_RUN;
		a.why = WHY_KEY_HOME_UNAVAILABLE;
	}
	remote_answer(c, t->aid, &a, now);
}

static void store_answer(key_entry_t *k, const answer_t *a)
{
	size_t nmissing = a->total - a->answered;
	str_t *missing = arena_alloc(&k->mem, nmissing * sizeof(*missing));
	hit_t *hits = arena_alloc(&k->mem, a->nhits * sizeof(*hits));
	size_t i;

	k->answer = *a;
	k->answer.service = arena_str(&k->mem, a->service);
	k->answer.class_name = arena_str(&k->mem, a->class_name);
	for (i = 0; i < nmissing; i++)
		missing[i] = arena_str(&k->mem, a->missing[i]);
	for (i = 0; i < a->nhits; i++) {
		hits[i].score = a->hits[i].score;
		hits[i].id = arena_str(&k->mem, a->hits[i].id);
		hits[i].text = arena_str(&k->mem, a->hits[i].text);
	}
	k->answer.missing = missing;
	k->answer.hits = hits;
}

void key_done(core_t *c, query_t *q, const answer_t *a, usec_t now)
{
	key_entry_t *k = q->key_entry;
	size_t i;

	store_answer(k, a);
	k->done = true;
	k->expires_at = now + KEY_LIFETIME;
	k->not_run = a->outcome == OUT_NOT_RUN;
	for (i = 0; i < k->nwaiters; i++) {
		waiter_t w = k->waiters[i];

		w.reply_to = arena_str(&c->scratch, w.reply_to);
		answer_waiter(c, &w, &k->answer);
	}
}

static void key_entry_free(key_entry_t *k)
{
	size_t i;

	for (i = 0; i < k->nwaiters; i++)
		str_free(k->waiters[i].reply_to);
	free(k->waiters);
	arena_free(&k->mem);
	free(k);
}

void key_tick(core_t *c, usec_t now)
{
	keys_state_t *b = &c->state.keys;
	size_t i = 0;

	while (i < b->n) {
		if (!b->v[i]->done || now < b->v[i]->expires_at) {
			i++;
			continue;
		}
		key_entry_free(b->v[i]);
		b->v[i] = b->v[--b->n];
	}
}

/* Stores the daemons of the list that is about to be replaced. */
void key_list_replaced(core_t *c, usec_t now)
{
	const host_list_t *l = &c->state.list.list;
	keys_state_t *b = &c->state.keys;
	old_list_t *o;
	size_t i;

	if (l->version == 0)
		return;
	if (b->nold == LIST_HISTORY) {
		/* Drops the oldest; the next one covers its time. */
		free(b->old[0].ids);
		memmove(&b->old[0], &b->old[1],
			(LIST_HISTORY - 1) * sizeof(b->old[0]));
		b->nold--;
	}
	o = &b->old[b->nold++];
	*o = (old_list_t){ .replaced_at = now };
	o->ids = xcalloc(l->ndaemons, sizeof(*o->ids));
	for (i = 0; i < l->ndaemons; i++)
		if (!l->daemons[i].leaving)
			o->ids[o->n++] = l->daemons[i].id;
}

void key_free(core_t *c)
{
	keys_state_t *b = &c->state.keys;
	remote_request_t *a;
	size_t i;
	uint32_t j;

	for (i = 0; i < b->n; i++)
		key_entry_free(b->v[i]);
	free(b->v);
	for (i = 0; i < b->nold; i++)
		free(b->old[i].ids);
	for (j = 0; j < c->remote_requests.nslots; j++) {
		a = idmap_at(&c->remote_requests, j);
		if (a)
			remote_free(a);
	}
	idmap_free(&c->remote_requests);
}
