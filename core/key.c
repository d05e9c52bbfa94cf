/**
 * @file key.c
 * Requests with an idempotency key: one daemon, the key's home by the list,
 * runs them and answers a resent one from memory. docs/DESIGN.md tells why.
 */
#include <stdlib.h>
#include <string.h>

#include "libcore.h"

/* Someone who waits for the answer: a caller here, or another daemon. */
typedef struct waiter {
	void *caller;
	str_t reply_to; /* owned */
	uint64_t token;
} waiter_t;

/* A key that is being run here, or was. */
typedef struct keyed {
	uint64_t hash;
	uint64_t body_hash;
	bool done;
	bool forgotten; /* it did not run: a resent one may */
	usec_t until;	/* when a finished one is forgotten */
	waiter_t *waiters;
	size_t nwaiters;
	arena_t mem; /* of the answer */
	answer_t answer;
} keyed_t;

/* A caller whose request went to the key's home. */
typedef struct away {
	uint64_t id;
	void *caller;
	void *body;
	str_t home;	  /* owned; its peer address */
	str_t service;	  /* owned */
	str_t class_name; /* owned */
	str_t route;	  /* owned */
	str_t key;	  /* owned */
	unsigned limit;
	usec_t arrived;
	usec_t deadline;
	bool sent;
} away_t;

static uint64_t key_hash(str_t service, str_t key)
{
	return str_hash(key, str_hash(service, 0));
}

static keyed_t *find(const core_t *c, uint64_t hash)
{
	size_t i;

	for (i = 0; i < c->board.keys.n; i++)
		if (c->board.keys.v[i]->hash == hash &&
		    !c->board.keys.v[i]->forgotten)
			return c->board.keys.v[i];
	return NULL;
}

static void log_home(core_t *c, str_t service, str_t home, why_t why)
{
	act_log(c, &(decision_line_t){ .what = DEC_KEY_HOME,
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
	peer_msg_t *m = peer_send(c, w->reply_to, PEER_ANSWER);

	m->token = w->token;
	m->outcome = a->outcome;
	m->why = a->why;
	m->snapshot = a->snapshot;
	m->map = a->map;
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

static void refuse(core_t *c, const request_t *r, const waiter_t *w, why_t why)
{
	answer_t a = { .outcome = OUT_NOT_RUN,
		       .why = why,
		       .service = r->service,
		       .class_name = r->class_name };

	c->counters[CNT_ANSWERED_NOT_RUN]++;
	answer_waiter(c, w, &a);
	log_home(c, r->service, c->name, why);
}

static void add_waiter(keyed_t *k, const waiter_t *w)
{
	waiter_t *to;

	k->waiters =
		xrealloc(k->waiters, (k->nwaiters + 1) * sizeof(*k->waiters));
	to = &k->waiters[k->nwaiters++];
	*to = *w;
	to->reply_to = str_dup(w->reply_to);
}

static keyed_t *add(core_t *c, uint64_t hash, uint64_t body_hash)
{
	board_keys_t *b = &c->board.keys;
	keyed_t *k = xcalloc(1, sizeof(*k));

	k->hash = hash;
	k->body_hash = body_hash;
	b->v = xrealloc(b->v, (b->n + 1) * sizeof(*b->v));
	b->v[b->n++] = k;
	return k;
}

/* The place of the home among ids; n if there is none. */
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

/* Whether this daemon was the home by each list of the last while. */
static bool was_home(const core_t *c, uint64_t hash, usec_t now)
{
	const board_keys_t *b = &c->board.keys;
	uint64_t mine = str_hash(c->name, 0);
	const old_list_t *o;
	size_t i, best;

	if (now - b->started_at < KEY_WAIT)
		return false;
	for (i = 0; i < b->nold; i++) {
		o = &b->old[i];
		if (now - o->until >= KEY_WAIT)
			continue;
		best = best_id(o->ids, o->n, hash);
		if (best == o->n || o->ids[best] != mine)
			return false;
	}
	return true;
}

/* The list must be recent, or the platform down and the peers agreed. */
static bool list_holds(const core_t *c, usec_t now)
{
	const board_list_t *l = &c->board.list;

	if (l->confirmed_at && now - l->confirmed_at < LIST_LAG)
		return true;
	return l->platform_down && !l->slept && peer_agreement(c, now);
}

static why_t may_run(const core_t *c, uint64_t hash, usec_t now)
{
	if (!list_holds(c, now))
		return WHY_STALE_LIST;
	return was_home(c, hash, now) ? WHY_NONE : WHY_KEY_HOME_NEW;
}

/* Runs it, or hands out what is known of an earlier one; true if it runs. */
static bool run(core_t *c, const request_t *r, const waiter_t *w,
		const svc_t *svc, const conf_class_t *class, bool owns_body,
		usec_t now)
{
	uint64_t hash = key_hash(r->service, r->key);
	keyed_t *k = find(c, hash);
	query_t *q;
	why_t why;

	if (k) {
		c->counters[CNT_KEY_DUPLICATES]++;
		log_home(c, r->service, c->name, WHY_DUPLICATE);
		if (k->body_hash != r->body_hash)
			refuse(c, r, w, WHY_KEY_REUSED);
		else if (k->done)
			answer_waiter(c, w, &k->answer);
		else
			add_waiter(k, w);
		return false;
	}
	why = may_run(c, hash, now);
	if (why != WHY_NONE) {
		refuse(c, r, w, why);
		return false;
	}
	k = add(c, hash, r->body_hash);
	add_waiter(k, w);
	log_home(c, r->service, c->name, WHY_CHOSEN);
	q = query_new(c, r, svc, class, now);
	q->origin = FROM_KEY;
	q->keyed = k;
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

static away_t *away_new(core_t *c, const request_t *r, const member_t *home,
			const conf_class_t *class, usec_t now)
{
	away_t *a = xcalloc(1, sizeof(*a));

	a->id = idmap_add(&c->waits, a);
	a->caller = r->caller;
	a->body = r->body;
	a->home = str_dup(home->peer);
	a->service = str_dup(r->service);
	a->class_name = str_dup(r->class_name);
	a->route = str_dup(r->route);
	a->key = str_dup(r->key);
	a->limit = r->limit;
	a->arrived = now;
	a->deadline = now + time_left(r, class);
	return a;
}

static void away_free(away_t *a)
{
	str_free(a->home);
	str_free(a->service);
	str_free(a->class_name);
	str_free(a->route);
	str_free(a->key);
	free(a);
}

/* Sends it if the home's clock is known; else asks for that first. */
static void send_away(core_t *c, away_t *a, usec_t now)
{
	const peer_t *p = peer_known(c, a->home);
	usec_t left = a->deadline - now - LINK_ALLOWANCE;
	peer_msg_t *m;

	if (!p) {
		peer_ask(c, arena_str(&c->scratch, a->home), now);
		return;
	}
	if (left <= 0)
		return;
	a->sent = true;
	m = peer_send(c, arena_str(&c->scratch, a->home), PEER_KEYED);
	c->acts->v[c->acts->n - 1].peer.body = a->body;
	m->token = a->id;
	m->service = a->service;
	m->class_name = a->class_name;
	m->route = a->route;
	m->key = a->key;
	m->left = left;
	m->limit = a->limit;
	m->incarnation = p->incarnation;
	m->expires = now + p->ahead + left;
	peer_asked(c, a->home, now);
}

void key_peer_known(core_t *c, str_t addr, usec_t now)
{
	away_t *a;
	uint32_t i;

	for (i = 0; i < c->waits.n; i++) {
		a = idmap_at(&c->waits, i);
		if (a && !a->sent && str_eq(a->home, addr))
			send_away(c, a, now);
	}
}

static void go_away(core_t *c, const request_t *r, const member_t *home,
		    const conf_class_t *class, usec_t now)
{
	away_t *a = away_new(c, r, home, class, now);

	c->counters[CNT_KEYED_AWAY]++;
	timer_arm(c, (timer_entry_t){ .at = a->deadline,
				      .kind = TM_KEY_AWAY,
				      .aid = a->id });
	log_home(c, r->service, home->name, WHY_FORWARDED);
	send_away(c, a, now);
}

void key_start(core_t *c, const request_t *r, const svc_t *svc,
	       const conf_class_t *class, usec_t now)
{
	waiter_t w = { .caller = r->caller };
	const member_t *home = holder_of_hash(&c->board.list.list,
					      key_hash(r->service, r->key));

	if (!home) {
		refuse(c, r, &w, WHY_STALE_LIST);
		return;
	}
	if (str_eq(home->name, c->name)) {
		run(c, r, &w, svc, class, false, now);
		return;
	}
	/* One that does not answer is not sent what could not be told. */
	if (peer_suspect(c, home->peer, now) ||
	    time_left(r, class) <= 2 * LINK_ALLOWANCE) {
		refuse(c, r, &w, WHY_KEY_HOME_AWAY);
		return;
	}
	go_away(c, r, home, class, now);
}

/* Another daemon sends a request whose key is this one's by its list. */
void key_request(core_t *c, event_t *ev, usec_t now)
{
	const peer_msg_t *m = ev->peer.msg;
	request_t r = { .service = m->service,
			.class_name = m->class_name,
			.route = m->route,
			.key = m->key,
			.deadline = m->left,
			.limit = (unsigned)m->limit,
			.body = ev->peer.body,
			.body_hash = ev->peer.body_hash };
	waiter_t w = { .reply_to = arena_str(&c->scratch, m->reply_to),
		       .token = m->token };
	const conf_class_t *class = NULL;
	const svc_t *svc = NULL;
	const member_t *home;
	why_t why = query_admit(c, &r, &svc, &class);

	home = holder_of_hash(&c->board.list.list, key_hash(r.service, r.key));
	if (why == WHY_NONE && (!home || !str_eq(home->name, c->name)))
		why = WHY_KEY_HOME_AWAY;
	/* Meant for a process before this one, or late on its way. */
	if (why == WHY_NONE && m->incarnation != c->incarnation)
		why = WHY_KEY_HOME_NEW;
	if (why == WHY_NONE &&
	    (class->idempotent || m->left <= 0 || m->expires < now))
		why = WHY_DEADLINE;
	if (why != WHY_NONE)
		refuse(c, &r, &w, why);
	else if (run(c, &r, &w, svc, class, true, now))
		return;
	act_add(c, ACT_BODY_DROP)->body = ev->peer.body;
}

/* The caller's answer, with strings that last as long as the actions. */
static void answer_away(core_t *c, uint64_t id, answer_t *a, usec_t now)
{
	away_t *w = idmap_get(&c->waits, id);

	idmap_del(&c->waits, id);
	a->service = arena_str(&c->scratch, w->service);
	a->class_name = arena_str(&c->scratch, w->class_name);
	a->took = now - w->arrived;
	answer_caller(c, w->caller, a);
	away_free(w);
}

void key_answer(core_t *c, peer_msg_t *m, usec_t now)
{
	answer_t a = { .outcome = (outcome_t)m->outcome,
		       .why = (why_t)m->why,
		       .snapshot = m->snapshot,
		       .map = (uint32_t)m->map,
		       .total = m->total,
		       .answered = m->total - m->ngroups,
		       .missing = m->groups,
		       .hits = m->hits,
		       .nhits = m->nhits };

	if (!idmap_get(&c->waits, m->token)) {
		c->counters[CNT_LATE]++;
		return;
	}
	if (m->outcome >= OUT_MAX || m->why >= WHY_MAX || m->ngroups > m->total)
		a = (answer_t){ .outcome = OUT_UNKNOWN, .why = WHY_ERROR };
	answer_away(c, m->token, &a, now);
}

/* The message was never handed to the network. */
void key_failed(core_t *c, uint64_t token, usec_t now)
{
	answer_t a = { .outcome = OUT_NOT_RUN, .why = WHY_KEY_HOME_AWAY };

	if (idmap_get(&c->waits, token))
		answer_away(c, token, &a, now);
}

void key_timer(core_t *c, const timer_entry_t *t, usec_t now)
{
	answer_t a = { .outcome = OUT_UNKNOWN, .why = WHY_DEADLINE };
	const away_t *w = idmap_get(&c->waits, t->aid);

	if (!w)
		return;
	if (!w->sent) {
		a.outcome = OUT_NOT_RUN;
		a.why = WHY_KEY_HOME_AWAY;
	}
	answer_away(c, t->aid, &a, now);
}

static void keep_answer(keyed_t *k, const answer_t *a)
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
	keyed_t *k = q->keyed;
	size_t i;

	keep_answer(k, a);
	k->done = true;
	k->until = now + KEY_LIFETIME;
	k->forgotten = a->outcome == OUT_NOT_RUN;
	for (i = 0; i < k->nwaiters; i++) {
		waiter_t w = k->waiters[i];

		w.reply_to = arena_str(&c->scratch, w.reply_to);
		answer_waiter(c, &w, &k->answer);
	}
}

static void keyed_free(keyed_t *k)
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
	board_keys_t *b = &c->board.keys;
	size_t i = 0;

	while (i < b->n) {
		if (!b->v[i]->done || now < b->v[i]->until) {
			i++;
			continue;
		}
		keyed_free(b->v[i]);
		b->v[i] = b->v[--b->n];
	}
}

/* Keeps the daemons of the list that is about to be replaced. */
void key_list_changes(core_t *c, usec_t now)
{
	const host_list_t *l = &c->board.list.list;
	board_keys_t *b = &c->board.keys;
	old_list_t *o;
	size_t i;

	if (l->version == 0)
		return;
	if (b->nold == LIST_HISTORY) {
		/* The two oldest count as if they had been one, later. */
		free(b->old[0].ids);
		memmove(&b->old[0], &b->old[1],
			(LIST_HISTORY - 1) * sizeof(b->old[0]));
		b->nold--;
	}
	o = &b->old[b->nold++];
	*o = (old_list_t){ .until = now };
	o->ids = xcalloc(l->ndaemons, sizeof(*o->ids));
	for (i = 0; i < l->ndaemons; i++)
		if (!l->daemons[i].leaving)
			o->ids[o->n++] = l->daemons[i].id;
}

void key_free(core_t *c)
{
	board_keys_t *b = &c->board.keys;
	away_t *a;
	size_t i;
	uint32_t j;

	for (i = 0; i < b->n; i++)
		keyed_free(b->v[i]);
	free(b->v);
	for (i = 0; i < b->nold; i++)
		free(b->old[i].ids);
	for (j = 0; j < c->waits.n; j++) {
		a = idmap_at(&c->waits, j);
		if (a)
			away_free(a);
	}
	idmap_free(&c->waits);
}
