/**
 * @file peer.c
 * Gossip between daemons: digests to random peers spread the versions of list
 * and configuration and the age of the list. Also chooses which daemons read
 * the platform.
 */
#include <stdlib.h>
#include <string.h>

#include "libcore.h"

typedef void (*peer_fn_t)(core_t *c, event_t *ev, usec_t now);

static void on_digest(core_t *c, event_t *ev, usec_t now);
static void on_digest_reply(core_t *c, event_t *ev, usec_t now);
static void on_pull(core_t *c, event_t *ev, usec_t now);
static void on_list_pull(core_t *c, event_t *ev, usec_t now);
static void on_list(core_t *c, event_t *ev, usec_t now);
static void on_key_answer(core_t *c, event_t *ev, usec_t now);
static void on_forward_results(core_t *c, event_t *ev, usec_t now);

/* PEER_DELTA has no handler: the caller of the core sends EV_CONF. */
static const peer_fn_t handlers[PEER_MAX] = {
	[PEER_DIGEST] = on_digest,
	[PEER_DIGEST_REPLY] = on_digest_reply,
	[PEER_PULL] = on_pull,
	[PEER_LIST_PULL] = on_list_pull,
	[PEER_LIST] = on_list,
	[PEER_KEY_REQUEST] = key_request,
	[PEER_KEY_ANSWER] = on_key_answer,
	[PEER_FORWARD] = forward_request,
	[PEER_FORWARD_RESULTS] = on_forward_results,
};

static size_t lower_bound(const peers_state_t *b, str_t addr, bool *found)
{
	size_t lo = 0, hi = b->n, mid;
	int r;

	*found = false;
	while (lo < hi) {
		mid = (lo + hi) / 2;
		r = str_cmp(b->v[mid].addr, addr);
		if (r == 0) {
			*found = true;
			return mid;
		}
		if (r < 0)
			lo = mid + 1;
		else
			hi = mid;
	}
	return lo;
}

static peer_t *peer_get(core_t *c, str_t addr)
{
	peers_state_t *b = &c->state.peers;
	bool found;
	size_t i = lower_bound(b, addr, &found);

	if (found)
		return &b->v[i];
	b->v = xrealloc(b->v, (b->n + 1) * sizeof(*b->v));
	memmove(&b->v[i + 1], &b->v[i], (b->n - i) * sizeof(*b->v));
	b->n++;
	b->v[i] = (peer_t){ .addr = str_dup(addr) };
	return &b->v[i];
}

static const peer_t *peer_find(const core_t *c, str_t addr)
{
	bool found;
	size_t i = lower_bound(&c->state.peers, addr, &found);

	return found ? &c->state.peers.v[i] : NULL;
}

const peer_t *peer_with_clock(const core_t *c, str_t addr)
{
	const peer_t *p = peer_find(c, addr);

	return p && p->incarnation ? p : NULL;
}

static uint64_t revision_of(const core_t *c)
{
	const view_t *v = c->state.conf.view;

	return v ? v->conf->revision : 0;
}

peer_msg_t *peer_send(core_t *c, str_t to, peer_kind_t kind)
{
	act_t *a = act_add(c, ACT_PEER);

	c->counters[CNT_PEER_SENT]++;
	a->peer.to = to;
	a->peer.msg.kind = kind;
	a->peer.msg.from = c->name;
	a->peer.msg.reply_to = c->params.peer;
	return &a->peer.msg;
}

void peer_expect_reply(core_t *c, str_t addr, usec_t now)
{
	peer_t *p = peer_get(c, addr);

	if (p->awaiting_since == 0)
		p->awaiting_since = now;
}

bool peer_suspect(const core_t *c, str_t addr, usec_t now)
{
	const peer_t *p = peer_find(c, addr);

	return p && p->awaiting_since &&
	       now - p->awaiting_since > PEER_SUSPECT_AFTER;
}

size_t peer_count_suspects(const core_t *c, usec_t now)
{
	size_t n = 0, i;

	for (i = 0; i < c->state.peers.n; i++)
		n += peer_suspect(c, c->state.peers.v[i].addr, now);
	return n;
}

bool peer_majority_responds(const core_t *c, usec_t now)
{
	const peers_state_t *b = &c->state.peers;
	usec_t since = now - PEER_SUSPECT_AFTER;
	size_t responding = 0, overdue = 0, i;

	for (i = 0; i < b->n; i++) {
		responding +=
			b->v[i].received_at > since && b->v[i].received_at;
		overdue += b->v[i].awaiting_since &&
			   now - b->v[i].awaiting_since > GOSSIP_PERIOD;
	}
	return responding > overdue;
}

bool peer_caught_up(const core_t *c, usec_t now)
{
	const peers_state_t *b = &c->state.peers;
	const host_list_t *l = &c->state.list.list;

	/* Without peers, or after the wait, only the platform can be read. */
	if ((l->ndaemons == 1 && c->params.nseeds == 0) ||
	    now - c->state.keys.started_at > START_WAIT_MAX)
		return true;
	return b->ndigest_replies && revision_of(c) >= b->highest_revision;
}

static void fill_digest(const core_t *c, peer_msg_t *m, usec_t now)
{
	const list_state_t *l = &c->state.list;

	m->revision = revision_of(c);
	m->conf_hash = c->state.conf.view ? c->state.conf.view->conf->hash : 0;
	m->list_version = l->list.version;
	m->list_age = l->confirmed_at ? now - l->confirmed_at : -1;
	m->clock = now;
	m->incarnation = c->incarnation;
}

void peer_send_digest(core_t *c, str_t to, usec_t now)
{
	peer_msg_t *m = peer_send(c, to, PEER_DIGEST);

	/* The reply repeats the token, so its content is no older than now. */
	m->token = (uint64_t)now;
	fill_digest(c, m, now);
	peer_expect_reply(c, to, now);
}

/* A random other daemon of the list, else a seed; empty if there is none. */
static str_t random_peer(core_t *c)
{
	const host_list_t *l = &c->state.list.list;
	size_t i;

	if (l->ndaemons > 1) {
		i = rng_below(&c->rng, l->ndaemons);
		if (str_eq(l->daemons[i].name, c->name))
			i = (i + 1) % l->ndaemons;
		return l->daemons[i].peer;
	}
	if (l->ndaemons == 0 && c->params.nseeds)
		return c->params.seeds[rng_below(&c->rng, c->params.nseeds)];
	return STR("");
}

static void gossip(core_t *c, unsigned fanout, usec_t now)
{
	str_t to;
	unsigned i;

	for (i = 0; i < fanout; i++) {
		to = random_peer(c);
		if (to.sz)
			peer_send_digest(c, to, now);
	}
}

void peer_announce(core_t *c)
{
	gossip(c, CHANGE_FANOUT, c->last_step);
}

static void on_digest(core_t *c, event_t *ev, usec_t now)
{
	const peer_msg_t *m = ev->peer.msg;
	peer_msg_t *r = peer_send(c, m->reply_to, PEER_DIGEST_REPLY);

	r->token = m->token;
	fill_digest(c, r, now);
	if (m->revision > revision_of(c))
		peer_send(c, m->reply_to, PEER_PULL)->revision = revision_of(c);
	if (m->list_version > c->state.list.list.version)
		peer_send(c, m->reply_to, PEER_LIST_PULL)->token =
			(uint64_t)now;
}

/* Logs a revision with two contents; each daemon keeps its own. */
static void check_conf_hash(core_t *c, const peer_msg_t *m)
{
	const view_t *v = c->state.conf.view;

	if (v && m->revision == v->conf->revision &&
	    m->conf_hash != v->conf->hash)
		act_log(c, &(decision_line_t){ .decision = DEC_CONFIG,
					       .why = WHY_SAME_REVISION,
					       .addr = m->from,
					       .n = m->revision });
}

/*
 * The peer read its clock after this daemon sent the digest, so the difference
 * is an upper bound of the clock offset: a time converted to the peer's clock
 * is never too early.
 */
static void update_clock_offset(core_t *c, const peer_msg_t *m, usec_t now)
{
	peer_t *p = peer_get(c, m->reply_to);
	usec_t clock_offset_max = m->clock - (usec_t)m->token;
	bool is_new = p->incarnation != m->incarnation;

	if (is_new || clock_offset_max < p->clock_offset_max)
		p->clock_offset_max = clock_offset_max;
	p->incarnation = m->incarnation;
	if (is_new)
		key_clock_known(c, m->reply_to, now);
}

static void on_digest_reply(core_t *c, event_t *ev, usec_t now)
{
	const peer_msg_t *m = ev->peer.msg;

	c->state.peers.ndigest_replies++;
	if (m->revision > c->state.peers.highest_revision)
		c->state.peers.highest_revision = m->revision;
	update_clock_offset(c, m, now);
	check_conf_hash(c, m);
	if (m->revision > revision_of(c))
		peer_send(c, m->reply_to, PEER_PULL)->revision = revision_of(c);
	if (m->list_version > c->state.list.list.version)
		peer_send(c, m->reply_to, PEER_LIST_PULL)->token =
			(uint64_t)now;
	else if (m->list_age >= 0)
		list_confirm(c, m->list_version,
			     (usec_t)m->token - m->list_age);
}

/* The caller of the core fills in the sections of the delta. */
static void on_pull(core_t *c, event_t *ev, usec_t now)
{
	const peer_msg_t *m = ev->peer.msg;

	(void)now;
	if (m->revision < revision_of(c))
		peer_send(c, m->reply_to, PEER_DELTA)->revision = m->revision;
}

static void on_list_pull(core_t *c, event_t *ev, usec_t now)
{
	const peer_msg_t *m = ev->peer.msg;
	peer_msg_t *r;

	if (c->state.list.list.version == 0)
		return;
	r = peer_send(c, m->reply_to, PEER_LIST);
	r->token = m->token;
	fill_digest(c, r, now);
	r->list = c->state.list.list;
}

static void on_list(core_t *c, event_t *ev, usec_t now)
{
	const peer_msg_t *m = ev->peer.msg;

	if (m->list_age >= 0)
		list_update(c, &m->list, (usec_t)m->token - m->list_age, now);
	queue_drain_all(c, now);
}

static void on_key_answer(core_t *c, event_t *ev, usec_t now)
{
	key_answer(c, ev->peer.msg, now);
}

static void on_forward_results(core_t *c, event_t *ev, usec_t now)
{
	forward_results(c, ev->peer.msg, now);
}

static void drop_body(core_t *c, void *body)
{
	if (body)
		act_add(c, ACT_BODY_RELEASE)->body = body;
}

void peer_message(core_t *c, event_t *ev, usec_t now)
{
	peer_msg_t *m = ev->peer.msg;
	peer_t *p = peer_get(c, m->reply_to);

	c->counters[CNT_PEER_RECEIVED]++;
	p->received_at = now;
	p->awaiting_since = 0;
	if (handlers[m->kind])
		handlers[m->kind](c, ev, now);
	else
		drop_body(c, ev->peer.body);
}

/* The daemons with the highest scores of a data centre watch the platform. */
static bool is_reader(const core_t *c)
{
	const host_list_t *l = &c->state.list.list;
	uint64_t mine = holder_score(str_hash(c->name, 0), 0);
	size_t better = 0, i;

	for (i = 0; i < l->ndaemons; i++)
		if (!l->daemons[i].leaving && str_eq(l->daemons[i].dc, c->dc) &&
		    holder_score(l->daemons[i].id, 0) > mine)
			better++;
	return better < READERS_PER_DC;
}

/* Others read once if their list is old, at EXTRA_READS_PER_SEC in all. */
static bool should_read_once(core_t *c, usec_t now)
{
	const list_state_t *l = &c->state.list;
	double n = l->list.ndaemons ? (double)l->list.ndaemons : 1;
	double chance = EXTRA_READS_PER_SEC / n * TICK_PERIOD / USEC_PER_SEC;

	if (l->confirmed_at && revision_of(c) &&
	    now - l->confirmed_at < EXTRA_READ_LIST_AGE)
		return false;
	return rng_unit(&c->rng) < chance;
}

static void choose_read_mode(core_t *c, usec_t now)
{
	peers_state_t *b = &c->state.peers;
	read_mode_t want = READ_OFF;

	if (is_reader(c))
		want = READ_WATCH;
	else if (should_read_once(c, now))
		want = READ_ONCE;
	if (want == b->read_mode && want != READ_ONCE)
		return;
	b->read_mode = want;
	act_add(c, ACT_SET_READ_MODE)->read_mode = want;
	act_log(c, &(decision_line_t){ .decision = DEC_READ,
				       .why = WHY_CHOSEN,
				       .n = want });
}

void peer_start(core_t *c, usec_t now)
{
	c->state.peers.gossip_at = now;
}

void peer_tick(core_t *c, usec_t now)
{
	peers_state_t *b = &c->state.peers;

	choose_read_mode(c, now);
	if (now < b->gossip_at)
		return;
	b->gossip_at = now + GOSSIP_PERIOD / 2 +
		       (usec_t)rng_below(&c->rng, GOSSIP_PERIOD);
	gossip(c, GOSSIP_FANOUT, now);
}

void peer_free(core_t *c)
{
	size_t i;

	for (i = 0; i < c->state.peers.n; i++)
		str_free(c->state.peers.v[i].addr);
	free(c->state.peers.v);
}
