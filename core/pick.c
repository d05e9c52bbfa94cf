/** @file pick.c Which server of a group an attempt goes to, by policy. */
#include "libcore.h"

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

void pick_replica(core_t *c, const shard_t *sh, usec_t now, pick_t *p)
{
	const query_t *q = sh->q;
	bool urgent = q->class->kind == CONF_URGENT;
	cand_t v[CONF_MAX_SERVERS];
	upstream_t *u;
	size_t i, at;

	*p = (pick_t){ 0 };
	for (i = 0; i < sh->group->nups; i++) {
		u = sh->group->ups[i];
		if (upstream_lacks(u, q->snapshot, q->svc->conf->map) ||
		    sh->missed >> i & 1) {
			p->lacking++;
			continue;
		}
		if (sh->tried >> i & 1 || !upstream_usable(c, u, now))
			continue;
		p->usable++;
		if (upstream_has_room(u, urgent))
			v[p->candidates++] = (cand_t){ u, (unsigned)i };
	}
	if (p->candidates == 0)
		return;
	at = policies[c->params.policy].pick(c, sh->group, v, p->candidates,
					     now);
	p->u = v[at].u;
	p->index = v[at].index;
	p->score = upstream_expected(p->u, now);
}
