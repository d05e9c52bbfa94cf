/** @file pick.c Chooses the server of a group for an attempt, by policy. */
#include "libcore.h"

/* Weights of the resources in the score of the packing policy. */
#define PACK_SLOTS 5.0
#define PACK_CONNECTIONS 2.0

typedef struct candidate {
	upstream_t *u;
	unsigned index;
} candidate_t;

/** Chooses one of n candidates, n above 0; returns its index. */
typedef size_t (*pick_fn_t)(core_t *c, group_t *g, const candidate_t *v,
			    size_t n, usec_t now);

static size_t pick_expected(core_t *c, group_t *g, const candidate_t *v,
			    size_t n, usec_t now);
static size_t pick_random(core_t *c, group_t *g, const candidate_t *v, size_t n,
			  usec_t now);
static size_t pick_pack(core_t *c, group_t *g, const candidate_t *v, size_t n,
			usec_t now);
static size_t pick_round_robin(core_t *c, group_t *g, const candidate_t *v,
			       size_t n, usec_t now);
static size_t pick_least(core_t *c, group_t *g, const candidate_t *v, size_t n,
			 usec_t now);
static size_t pick_two_choices(core_t *c, group_t *g, const candidate_t *v,
			       size_t n, usec_t now);

static const pick_fn_t picks[POLICY_MAX] = {
	[POLICY_EXPECTED] = pick_expected,	 [POLICY_RANDOM] = pick_random,
	[POLICY_ROUND_ROBIN] = pick_round_robin, [POLICY_LEAST] = pick_least,
	[POLICY_TWO_CHOICES] = pick_two_choices, [POLICY_PACK] = pick_pack,
};

static size_t pick_expected(core_t *c, group_t *g, const candidate_t *v,
			    size_t n, usec_t now)
{
	size_t first = rng_below(&c->rng, n);
	size_t best = first;
	double low = 0, score;
	size_t i, at;

	(void)g;
	for (i = 0; i < n; i++) {
		at = (first + i) % n;
		score = upstream_expected(v[at].u, now);
		if (!v[at].u->same_dc && c->state.conf.view)
			score += 2.0 *
				 (double)c->state.conf.view->conf->link_delay;
		if (i == 0 || score < low) {
			low = score;
			best = at;
		}
	}
	return best;
}

static size_t pick_random(core_t *c, group_t *g, const candidate_t *v, size_t n,
			  usec_t now)
{
	(void)g;
	(void)v;
	(void)now;
	return rng_below(&c->rng, n);
}

static size_t pick_round_robin(core_t *c, group_t *g, const candidate_t *v,
			       size_t n, usec_t now)
{
	(void)c;
	(void)v;
	(void)now;
	return g->next_server++ % n;
}

static size_t pick_least(core_t *c, group_t *g, const candidate_t *v, size_t n,
			 usec_t now)
{
	size_t first = rng_below(&c->rng, n);
	size_t best = first;
	size_t i, at;

	(void)g;
	(void)now;
	for (i = 1; i < n; i++) {
		at = (first + i) % n;
		if (v[at].u->inflight < v[best].u->inflight)
			best = at;
	}
	return best;
}

static size_t pick_two_choices(core_t *c, group_t *g, const candidate_t *v,
			       size_t n, usec_t now)
{
	size_t a = rng_below(&c->rng, n);
	size_t b = rng_below(&c->rng, n);

	(void)g;
	(void)now;
	return v[b].u->inflight < v[a].u->inflight ? b : a;
}

/* Weighted utilization of slots and connections after one more request. */
static double pack_score(const upstream_t *u)
{
	double slots = (u->inflight + 1.0) / (u->slots ? u->slots : 1);
	double connections = (u->inflight + 1.0) /
			     (u->max_connections ? u->max_connections : 1);

	if (slots > 1)
		slots = 1;
	return (PACK_SLOTS * slots + PACK_CONNECTIONS * connections) /
	       (PACK_SLOTS + PACK_CONNECTIONS);
}

/*
 * The score of KEP-964, (requested + request) / allocatable weighted over
 * resources, with the shape that prefers the most utilized server.
 */
static size_t pick_pack(core_t *c, group_t *g, const candidate_t *v, size_t n,
			usec_t now)
{
	size_t best = rng_below(&c->rng, n);
	size_t i;

	(void)g;
	(void)now;
	for (i = 0; i < n; i++)
		if (pack_score(v[i].u) > pack_score(v[best].u))
			best = i;
	return best;
}

/* Ranks of servers, best first; the best rank with a server is used. */
typedef enum rank {
	RANK_READY,
	RANK_SUSPECT,  /* refused requests or is overdue */
	RANK_MAY_LACK, /* lacked the snapshot before the query */
	RANK_MAX,      /* servers of the ranks below are not chosen */
	RANK_LACKS,
	RANK_EXCLUDED, /* tried, leaving or unreachable */
} rank_t;

static rank_t rank_of(const core_t *c, const shard_t *sh, size_t i, usec_t now)
{
	const upstream_t *u = sh->group->ups[i];
	uint64_t snapshot = sh->q->snapshot;
	uint32_t map = sh->q->svc->conf->map_version;

	/* Evidence from before the query may be outdated. */
	if (sh->lacking_mask >> i & 1 || (upstream_lacks(u, snapshot, map) &&
					  u->evidence_at > sh->q->arrived_at))
		return RANK_LACKS;
	if (sh->tried_mask >> i & 1 || !upstream_usable(c, u, now))
		return RANK_EXCLUDED;
	if (upstream_lacks(u, snapshot, map))
		return RANK_MAY_LACK;
	return upstream_suspect(u, now) ? RANK_SUSPECT : RANK_READY;
}

/* Collects servers of one rank that have room; counts all in usable. */
static size_t find_candidates(const shard_t *sh, const rank_t *ranks,
			      rank_t rank, candidate_t *v, size_t *usable)
{
	bool urgent = sh->q->class->kind == CONF_URGENT;
	size_t n = 0, i;

	for (i = 0; i < sh->group->nups; i++) {
		if (ranks[i] != rank)
			continue;
		(*usable)++;
		if (upstream_has_room(sh->group->ups[i], urgent))
			v[n++] =
				(candidate_t){ sh->group->ups[i], (unsigned)i };
	}
	return n;
}

void pick_replica(core_t *c, const shard_t *sh, usec_t now, pick_t *p)
{
	rank_t ranks[CONF_MAX_SERVERS];
	candidate_t v[CONF_MAX_SERVERS];
	rank_t rank;
	size_t i, at;

	*p = (pick_t){ 0 };
	for (i = 0; i < sh->group->nups; i++) {
		ranks[i] = rank_of(c, sh, i, now);
		p->lacking += ranks[i] == RANK_LACKS;
	}
	/* Waits for a busy server of a better rank instead of a worse one. */
	for (rank = RANK_READY; rank < RANK_MAX && p->usable == 0; rank++)
		p->candidates = find_candidates(sh, ranks, rank, v, &p->usable);
	if (p->candidates == 0)
		return;
	at = picks[c->params.policy](c, sh->group, v, p->candidates, now);
	p->u = v[at].u;
	p->index = v[at].index;
	p->score = upstream_expected(p->u, now);
}
