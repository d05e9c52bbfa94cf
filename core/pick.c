/** @file pick.c Which server of a group an attempt goes to, by policy. */
#include "libcore.h"

/* Weights of the resources that packing looks at. */
#define PACK_SLOTS 5.0
#define PACK_CONNECTIONS 2.0

typedef struct cand {
	upstream_t *u;
	unsigned index;
} cand_t;

/** Chooses one of n candidates, n above 0; returns its place. */
typedef size_t (*pick_fn_t)(core_t *c, group_t *g, const cand_t *v, size_t n,
			    usec_t now);

static size_t pick_expected(core_t *c, group_t *g, const cand_t *v, size_t n,
			    usec_t now);
static size_t pick_random(core_t *c, group_t *g, const cand_t *v, size_t n,
			  usec_t now);
static size_t pick_pack(core_t *c, group_t *g, const cand_t *v, size_t n,
			usec_t now);
static size_t pick_round_robin(core_t *c, group_t *g, const cand_t *v, size_t n,
			       usec_t now);
static size_t pick_least(core_t *c, group_t *g, const cand_t *v, size_t n,
			 usec_t now);
static size_t pick_two(core_t *c, group_t *g, const cand_t *v, size_t n,
		       usec_t now);

static const struct {
	const char *name;
	pick_fn_t pick;
} policies[POLICY_MAX] = {
	[POLICY_EXPECTED] = { "expected", pick_expected },
	[POLICY_RANDOM] = { "random", pick_random },
	[POLICY_ROUND_ROBIN] = { "round_robin", pick_round_robin },
	[POLICY_LEAST] = { "least", pick_least },
	[POLICY_TWO] = { "two", pick_two },
	[POLICY_PACK] = { "pack", pick_pack },
};

policy_t policy_by_name(str_t name)
{
	policy_t p;

	for (p = 0; p < POLICY_MAX; p++)
		if (str_eq(name, str_of(policies[p].name)))
			break;
	return p;
}

const char *policy_name(policy_t p)
{
	return p < POLICY_MAX ? policies[p].name : "?";
}

static size_t pick_expected(core_t *c, group_t *g, const cand_t *v, size_t n,
			    usec_t now)
{
	size_t first = rng_below(&c->rng, n);
	size_t best = first;
	double low = 0, score;
	size_t i, at;

	(void)g;
	for (i = 0; i < n; i++) {
		at = (first + i) % n;
		score = upstream_expected(v[at].u, now);
		if (!v[at].u->near && c->board.conf.view)
			score += 2.0 * (double)c->board.conf.view->conf->link;
		if (i == 0 || score < low) {
			low = score;
			best = at;
		}
	}
	return best;
}

static size_t pick_random(core_t *c, group_t *g, const cand_t *v, size_t n,
			  usec_t now)
{
	(void)g;
	(void)v;
	(void)now;
	return rng_below(&c->rng, n);
}

static size_t pick_round_robin(core_t *c, group_t *g, const cand_t *v, size_t n,
			       usec_t now)
{
	(void)c;
	(void)v;
	(void)now;
	return g->turn++ % n;
}

static size_t pick_least(core_t *c, group_t *g, const cand_t *v, size_t n,
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

static size_t pick_two(core_t *c, group_t *g, const cand_t *v, size_t n,
		       usec_t now)
{
	size_t a = rng_below(&c->rng, n);
	size_t b = rng_below(&c->rng, n);

	(void)g;
	(void)now;
	return v[b].u->inflight < v[a].u->inflight ? b : a;
}

/* Use of slots and connections after one more request, by weight. */
static double used(const upstream_t *u)
{
	double slots = (u->inflight + 1.0) / (u->slots ? u->slots : 1);
	double connections = (u->inflight + 1.0) / (u->cap ? u->cap : 1);

	if (slots > 1)
		slots = 1;
	return (PACK_SLOTS * slots + PACK_CONNECTIONS * connections) /
	       (PACK_SLOTS + PACK_CONNECTIONS);
}

/*
 * KEP-964's score of a node, (requested + request) / allocatable weighted
 * over resources, with the shape that fills the most used one first.
 */
static size_t pick_pack(core_t *c, group_t *g, const cand_t *v, size_t n,
			usec_t now)
{
	size_t best = rng_below(&c->rng, n);
	size_t i;

	(void)g;
	(void)now;
	for (i = 0; i < n; i++)
		if (used(v[i].u) > used(v[best].u))
			best = i;
	return best;
}

/* How much a server is wanted; the first kind that there is, is used. */
typedef enum rank {
	RANK_GOOD,
	RANK_SUSPECT,  /* it does not answer */
	RANK_MAY_LACK, /* it lacked the snapshot some time ago */
	RANK_MAX,
	RANK_LACKS,
	RANK_OUT, /* tried, leaving, or not reached */
} rank_t;

static rank_t rank_of(const core_t *c, const shard_t *sh, size_t i, usec_t now)
{
	const upstream_t *u = sh->group->ups[i];
	uint64_t snapshot = sh->q->snapshot;
	uint32_t map = sh->q->svc->conf->map;

	/* What it told before the query came is a hint only. */
	if (sh->missed >> i & 1 ||
	    (upstream_lacks(u, snapshot, map) && u->heard_at > sh->q->arrived))
		return RANK_LACKS;
	if (sh->tried >> i & 1 || !upstream_usable(c, u, now))
		return RANK_OUT;
	if (upstream_lacks(u, snapshot, map))
		return RANK_MAY_LACK;
	return upstream_suspect(u, now) ? RANK_SUSPECT : RANK_GOOD;
}

/* Looks for servers of one rank; counts those that have room. */
static size_t gather(const shard_t *sh, const rank_t *ranks, rank_t rank,
		     cand_t *v, size_t *usable)
{
	bool urgent = sh->q->class->kind == CONF_URGENT;
	size_t n = 0, i;

	for (i = 0; i < sh->group->nups; i++) {
		if (ranks[i] != rank)
			continue;
		(*usable)++;
		if (upstream_has_room(sh->group->ups[i], urgent))
			v[n++] = (cand_t){ sh->group->ups[i], (unsigned)i };
	}
	return n;
}

void pick_replica(core_t *c, const shard_t *sh, usec_t now, pick_t *p)
{
	rank_t ranks[CONF_MAX_SERVERS];
	cand_t v[CONF_MAX_SERVERS];
	rank_t rank;
	size_t i, at;

	*p = (pick_t){ 0 };
	for (i = 0; i < sh->group->nups; i++) {
		ranks[i] = rank_of(c, sh, i, now);
		p->lacking += ranks[i] == RANK_LACKS;
	}
	/* One that is only busy is waited for rather than a worse one. */
	for (rank = RANK_GOOD; rank < RANK_MAX && p->usable == 0; rank++)
		p->candidates = gather(sh, ranks, rank, v, &p->usable);
	if (p->candidates == 0)
		return;
	at = policies[c->params.policy].pick(c, sh->group, v, p->candidates,
					     now);
	p->u = v[at].u;
	p->index = v[at].index;
	p->score = upstream_expected(p->u, now);
}
