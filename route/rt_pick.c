/**
 * @file rt_pick.c
 * Which server gets a send: the one expected to answer first among those in
 * the best state. A server in the own data centre is nearer and so wins
 * unless it is slower by more than the way to another.
 *
 * Load patterns: servers of one service differ in speed, pause, turn slow,
 * or fail; clients of one data centre load its servers most.
 */
#include "libroute.h"

#define COLD_FACTOR 1.6 /* a server is so much slower while it warms up */
#define LOAD_FACTOR 0.7 /* of a full set of own requests in flight */
/* Of a server in another data centre: bytes between them are dear. */
#define FAR_FACTOR 1.3
#define NOISE 0.04 /* keeps hosts from choosing alike */

/** How much a server is wanted; the best kind that there is, is used. */
typedef enum rank {
	RANK_GOOD,
	RANK_LATE,   /* a request is out to it for long */
	RANK_AVOID,  /* it failed lately */
	RANK_LAPSED, /* the registry lost it */
	RANK_TRIED,  /* this shard was there already */
	RANK_OUT,
} rank_t;

typedef struct cand {
	rt_server_t *s;
	rank_t rank;
	bool room;
} cand_t;

/** Chooses one of n candidates, n above 0; returns its place. */
typedef size_t (*choose_fn_t)(rt_t *rt, rt_svc_t *svc, const cand_t *v,
			      size_t n, usec_t usual, usec_t now);

static size_t choose_expected(rt_t *rt, rt_svc_t *svc, const cand_t *v,
			      size_t n, usec_t usual, usec_t now);
static size_t choose_random(rt_t *rt, rt_svc_t *svc, const cand_t *v, size_t n,
			    usec_t usual, usec_t now);
static size_t choose_turn(rt_t *rt, rt_svc_t *svc, const cand_t *v, size_t n,
			  usec_t usual, usec_t now);
static size_t choose_least(rt_t *rt, rt_svc_t *svc, const cand_t *v, size_t n,
			   usec_t usual, usec_t now);
static size_t choose_two(rt_t *rt, rt_svc_t *svc, const cand_t *v, size_t n,
			 usec_t usual, usec_t now);

static const struct {
	const char *name;
	choose_fn_t choose;
} policies[RT_POLICY_MAX] = {
	[RT_POLICY_EXPECTED] = { "expected", choose_expected },
	[RT_POLICY_RANDOM] = { "random", choose_random },
	[RT_POLICY_ROUND_ROBIN] = { "round_robin", choose_turn },
	[RT_POLICY_LEAST] = { "least", choose_least },
	[RT_POLICY_TWO] = { "two", choose_two },
};

rt_policy_t rt_policy_by_name(str_t name)
{
	rt_policy_t p;

	for (p = 0; p < RT_POLICY_MAX; p++)
		if (str_eq(name, str_of(policies[p].name)))
			break;
	return p;
}

/* While a near server is well the others are dear; when it refuses or fails a
 * part, each further send that this costs is dearer. */
static double far_factor(const rt_svc_t *svc)
{
	size_t i;

	for (i = 0; i < svc->n; i++)
		if (svc->v[i]->near && rt_server_usable(svc->v[i]) &&
		    rt_server_is_sound(svc->v[i]))
			return FAR_FACTOR;
	return 1;
}

static double expected(const rt_server_t *s, double best, usec_t usual,
		       usec_t now)
{
	double t = (double)usual * rt_server_pace(s, best, now);

	t *= 1 + LOAD_FACTOR * s->inflight / s->slots;
	if (!s->near)
		t *= far_factor(s->svc);
	return now < s->warm_at ? t * COLD_FACTOR : t;
}

static size_t choose_expected(rt_t *rt, rt_svc_t *svc, const cand_t *v,
			      size_t n, usec_t usual, usec_t now)
{
	double pace = rt_svc_best_pace(svc), low = 0, t;
	size_t best = 0, i;

	for (i = 0; i < n; i++) {
		t = expected(v[i].s, pace, usual, now);
		t *= 1 + NOISE * rng_unit(&rt->rng);
		if (i == 0 || t < low) {
			low = t;
			best = i;
		}
	}
	return best;
}

static size_t choose_random(rt_t *rt, rt_svc_t *svc, const cand_t *v, size_t n,
			    usec_t usual, usec_t now)
{
	(void)svc;
	(void)v;
	(void)usual;
	(void)now;
	return rng_below(&rt->rng, n);
}

static size_t choose_turn(rt_t *rt, rt_svc_t *svc, const cand_t *v, size_t n,
			  usec_t usual, usec_t now)
{
	(void)rt;
	(void)v;
	(void)usual;
	(void)now;
	return svc->turn++ % n;
}

static size_t choose_least(rt_t *rt, rt_svc_t *svc, const cand_t *v, size_t n,
			   usec_t usual, usec_t now)
{
	size_t first = rng_below(&rt->rng, n);
	size_t best = first, i, at;

	(void)svc;
	(void)usual;
	(void)now;
	for (i = 1; i < n; i++) {
		at = (first + i) % n;
		if (v[at].s->inflight < v[best].s->inflight)
			best = at;
	}
	return best;
}

static size_t choose_two(rt_t *rt, rt_svc_t *svc, const cand_t *v, size_t n,
			 usec_t usual, usec_t now)
{
	size_t a = rng_below(&rt->rng, n);
	size_t b = rng_below(&rt->rng, n);

	(void)svc;
	(void)usual;
	(void)now;
	return v[b].s->inflight < v[a].s->inflight ? b : a;
}

static bool was_tried(const rt_shard_t *sh, const rt_server_t *s)
{
	unsigned i;

	for (i = 0; i < sh->ntried; i++)
		if (sh->tried[i] == s->num)
			return true;
	return false;
}

static rank_t rank_of(const rt_shard_t *sh, const rt_server_t *s, usec_t now)
{
	if (!rt_server_usable(s))
		return RANK_OUT;
	if (was_tried(sh, s))
		return RANK_TRIED;
	if (s->lapsed_at)
		return RANK_LAPSED;
	if (now < s->avoid_until || s->fail_streak > 1)
		return RANK_AVOID;
	return s->nlate ? RANK_LATE : RANK_GOOD;
}

/* Looks at every server; returns how many may be used. */
static size_t look(const rt_t *rt, const rt_shard_t *sh, cand_t *v, usec_t now)
{
	const rt_svc_t *svc = sh->svc;
	size_t n = 0, i;

	for (i = 0; i < svc->n && n < RT_MAX_CANDIDATES; i++) {
		rt_server_t *s = svc->v[i];
		rank_t rank = rank_of(sh, s, now);

		if (rank == RANK_OUT)
			continue;
		v[n++] =
			(cand_t){ s, rank, s->inflight < rt_server_cap(rt, s) };
	}
	return n;
}

/* Moves candidates of one rank with room to the front; counts them. */
static size_t filter(const cand_t *from, size_t n, rank_t rank, cand_t *to,
		     size_t *usable)
{
	size_t found = 0, i;

	for (i = 0; i < n; i++) {
		if (from[i].rank != rank)
			continue;
		(*usable)++;
		if (from[i].room)
			to[found++] = from[i];
	}
	return found;
}

void rt_pick(rt_t *rt, const rt_shard_t *sh, rt_why_t why, usec_t now,
	     rt_pick_t *p)
{
	usec_t usual = rt_stat_usual(sh->q->stat);
	cand_t all[RT_MAX_CANDIDATES], v[RT_MAX_CANDIDATES];
	rank_t rank;
	size_t n;

	*p = (rt_pick_t){ .why = why };
	n = look(rt, sh, all, now);
	for (rank = RANK_GOOD; rank < RANK_OUT && p->candidates == 0; rank++) {
		/* A second send to a server that has the first is of no use. */
		if (rank == RANK_TRIED && (why == RT_WHY_HEDGE || sh->nlive))
			break;
		p->candidates = filter(all, n, rank, v, &p->usable);
	}
	if (p->candidates == 0)
		return;
	p->s = v[policies[rt->p.policy].choose(rt, sh->svc, v, p->candidates,
					       usual, now)]
		       .s;
	p->expected = (usec_t)expected(p->s, p->s->pace, usual, now);
	p->age = p->s->sampled_at ? now - p->s->sampled_at : -1;
}

void rt_pick_probe(rt_t *rt, const rt_shard_t *sh, usec_t now, rt_pick_t *p)
{
	double best = rt_svc_best_pace(sh->svc);
	rt_server_t *s;
	size_t i;

	*p = (rt_pick_t){ .why = RT_WHY_PROBE, .candidates = sh->svc->n };
	for (i = 0; i < sh->svc->n && !p->s; i++) {
		s = sh->svc->v[i];
		if (!was_tried(sh, s) &&
		    rt_server_wants_probe(rt, s, best, now))
			p->s = s;
	}
	if (!p->s)
		return;
	p->expected = (usec_t)expected(p->s, p->s->pace,
				       rt_stat_usual(sh->q->stat), now);
	p->age = p->s->sampled_at ? now - p->s->sampled_at : -1;
	p->s->probed_at = now;
}
