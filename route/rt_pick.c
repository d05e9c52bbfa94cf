/**
 * @file rt_pick.c
 * Chooses the server for a send: among the servers of the best available rank,
 * the one with the lowest expected latency. A server in this host's data centre
 * is preferred unless it is slower than a remote one by more than the penalty
 * for remote servers.
 *
 * Load patterns: the servers of a service differ in speed, pause, become slow
 * or fail; the clients of a data centre load its own servers most.
 */
#include "libroute.h"

#define WARMUP_FACTOR 1.6 /* latency factor while a server warms up */
/* Latency added when this host's requests fill all slots of a server, as a
 * multiple of the latency. */
#define LOAD_FACTOR 0.7
/* Latency penalty of a server in another data centre: traffic between data
 * centres is expensive. */
#define REMOTE_FACTOR 1.3
/* Random part of the expected latency, so that hosts don't all choose the same
 * server. */
#define NOISE 0.04
/* Latency penalty of a server other than the one that this host prefers. */
#define OTHER_FACTOR 1.25

/** Preference among servers; only those of the best rank are considered. */
typedef enum rank {
	RANK_GOOD,
	RANK_LATE,   /* a send in flight to it is over the late limit */
	RANK_AVOID,  /* it failed recently */
	RANK_LAPSED, /* its lease expired in an outage of the registry */
	RANK_TRIED,  /* the shard was sent to it before */
	RANK_UNUSABLE,
} rank_t;

typedef struct cand {
	rt_server_t *s;
	rank_t rank;
	bool has_capacity;
} cand_t;

/** Chooses one of n candidates, n above 0; returns its index. */
typedef size_t (*choose_fn_t)(rt_t *rt, rt_svc_t *svc, const cand_t *v,
			      size_t n, usec_t mean, usec_t now);

static size_t choose_expected(rt_t *rt, rt_svc_t *svc, const cand_t *v,
			      size_t n, usec_t mean, usec_t now);
static size_t choose_random(rt_t *rt, rt_svc_t *svc, const cand_t *v, size_t n,
			    usec_t mean, usec_t now);
static size_t choose_round_robin(rt_t *rt, rt_svc_t *svc, const cand_t *v,
				 size_t n, usec_t mean, usec_t now);
static size_t choose_least(rt_t *rt, rt_svc_t *svc, const cand_t *v, size_t n,
			   usec_t mean, usec_t now);
static size_t choose_two(rt_t *rt, rt_svc_t *svc, const cand_t *v, size_t n,
			 usec_t mean, usec_t now);

static size_t choose_work(rt_t *rt, rt_svc_t *svc, const cand_t *v, size_t n,
			  usec_t mean, usec_t now);

static const struct {
	const char *name;
	choose_fn_t choose;
} policies[RT_POLICY_MAX] = {
	[RT_POLICY_EXPECTED] = { "expected", choose_expected },
	[RT_POLICY_RANDOM] = { "random", choose_random },
	[RT_POLICY_ROUND_ROBIN] = { "round_robin", choose_round_robin },
	[RT_POLICY_LEAST] = { "least", choose_least },
	[RT_POLICY_TWO] = { "two", choose_two },
	[RT_POLICY_WORK] = { "work", choose_work },
};

rt_policy_t rt_policy_by_name(str_t name)
{
	rt_policy_t p;

	for (p = 0; p < RT_POLICY_MAX; p++)
		if (str_eq(name, str_of(policies[p].name)))
			break;
	return p;
}

/* Remote servers get a penalty while a local one is reliable. When the local
 * ones refuse or fail requests, the extra sends cost more than the traffic. */
static double remote_factor(const rt_svc_t *svc)
{
	size_t i;

	for (i = 0; i < svc->n; i++)
		if (svc->v[i]->same_dc && rt_server_usable(svc->v[i]) &&
		    rt_server_is_reliable(svc->v[i]))
			return REMOTE_FACTOR;
	return 1;
}

/* Factors on the time of a request that don't depend on its work. */
static double place_factor(const rt_server_t *s, usec_t now)
{
	double f = s->same_dc ? 1 : remote_factor(s->svc);

	return rt_server_is_cold(s, now) ? f * WARMUP_FACTOR : f;
}

static double expected(const rt_server_t *s, double best, usec_t mean,
		       usec_t now)
{
	double t = (double)mean * rt_server_current_cost(s, best, now);

	t *= 1 + LOAD_FACTOR * (s->inflight + rt_load_others(s, now)) /
			 rt_load_slots(s, now);
	return t * place_factor(s, now);
}

/* Time until a request is answered, after the work that the server has left. */
static double completion(const rt_server_t *s, double best, usec_t mean,
			 usec_t now)
{
	double t = (double)mean +
		   rt_work_left(s, mean, now) / rt_load_slots(s, now);

	t *= rt_server_current_cost(s, best, now) * rt_load_speed(s, now);
	return t * place_factor(s, now);
}

/** Estimates the time of a request of that mean latency at a server. */
typedef double (*time_fn_t)(const rt_server_t *s, double best, usec_t mean,
			    usec_t now);

static size_t choose_least_time(rt_t *rt, rt_svc_t *svc, const cand_t *v,
				size_t n, usec_t mean, usec_t now,
				time_fn_t time)
{
	const rt_server_t *preferred = rt_preferred_server(svc, now);
	double best_cost = rt_svc_best_cost(svc), lowest = 0, t;
	size_t best = 0, i;

	for (i = 0; i < n; i++) {
		t = time(v[i].s, best_cost, mean, now);
		t *= 1 + NOISE * rng_unit(&rt->rng);
		if (v[i].s != preferred && preferred &&
		    v[i].s->same_dc == preferred->same_dc)
			t *= OTHER_FACTOR;
		if (i == 0 || t < lowest) {
			lowest = t;
			best = i;
		}
	}
	return best;
}

static size_t choose_expected(rt_t *rt, rt_svc_t *svc, const cand_t *v,
			      size_t n, usec_t mean, usec_t now)
{
	return choose_least_time(rt, svc, v, n, mean, now, expected);
}

static size_t choose_work(rt_t *rt, rt_svc_t *svc, const cand_t *v, size_t n,
			  usec_t mean, usec_t now)
{
	return choose_least_time(rt, svc, v, n, mean, now, completion);
}

static size_t choose_random(rt_t *rt, rt_svc_t *svc, const cand_t *v, size_t n,
			    usec_t mean, usec_t now)
{
	(void)svc;
	(void)v;
	(void)mean;
	(void)now;
	return rng_below(&rt->rng, n);
}

static size_t choose_round_robin(rt_t *rt, rt_svc_t *svc, const cand_t *v,
				 size_t n, usec_t mean, usec_t now)
{
	(void)rt;
	(void)v;
	(void)mean;
	(void)now;
	return svc->next_turn++ % n;
}

static size_t choose_least(rt_t *rt, rt_svc_t *svc, const cand_t *v, size_t n,
			   usec_t mean, usec_t now)
{
	size_t first = rng_below(&rt->rng, n);
	size_t best = first, i, at;

	(void)svc;
	(void)mean;
	(void)now;
	for (i = 1; i < n; i++) {
		at = (first + i) % n;
		if (v[at].s->inflight < v[best].s->inflight)
			best = at;
	}
	return best;
}

static size_t choose_two(rt_t *rt, rt_svc_t *svc, const cand_t *v, size_t n,
			 usec_t mean, usec_t now)
{
	size_t a = rng_below(&rt->rng, n);
	size_t b = rng_below(&rt->rng, n);

	(void)svc;
	(void)mean;
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

static rank_t rank_server(const rt_shard_t *sh, const rt_server_t *s,
			  bool leaving, usec_t now)
{
	if (!rt_server_accepts(s, now) &&
	    !(leaving && rt_server_stands_in(s, now)))
		return RANK_UNUSABLE;
	if (was_tried(sh, s))
		return RANK_TRIED;
	if (s->lapsed_at)
		return RANK_LAPSED;
	if (now < s->avoid_until || s->fail_streak > 1)
		return RANK_AVOID;
	return s->nlate ? RANK_LATE : RANK_GOOD;
}

/* Ranks the usable servers of the shard's service; returns their number. */
static size_t collect_candidates(const rt_t *rt, const rt_shard_t *sh,
				 cand_t *v, usec_t now)
{
	const rt_svc_t *svc = sh->svc;
	bool leaving = rt_svc_needs_leaving(rt, svc, now);
	size_t n = 0, i;

	for (i = 0; i < svc->n && n < RT_MAX_CANDIDATES; i++) {
		rt_server_t *s = svc->v[i];
		rank_t rank = rank_server(sh, s, leaving, now);

		if (rank == RANK_UNUSABLE)
			continue;
		v[n++] =
			(cand_t){ s, rank,
				  s->inflight < rt_server_max_inflight(rt, s) &&
					  rt_warmup_allows(rt, s, now) };
	}
	return n;
}

/* Copies the candidates of a rank that have capacity; returns their number.
 * Adds all candidates of the rank to *usable. */
static size_t filter(const cand_t *from, size_t n, rank_t rank, cand_t *to,
		     size_t *usable)
{
	size_t found = 0, i;

	for (i = 0; i < n; i++) {
		if (from[i].rank != rank)
			continue;
		(*usable)++;
		if (from[i].has_capacity)
			to[found++] = from[i];
	}
	return found;
}

void rt_pick(rt_t *rt, const rt_shard_t *sh, rt_why_t why, usec_t now,
	     rt_pick_t *p)
{
	usec_t mean = rt_work_latency(sh->q);
	cand_t all[RT_MAX_CANDIDATES], v[RT_MAX_CANDIDATES];
	rank_t rank;
	size_t n;

	*p = (rt_pick_t){ .why = why };
	n = collect_candidates(rt, sh, all, now);
	for (rank = RANK_GOOD; rank < RANK_UNUSABLE && p->candidates == 0;
	     rank++) {
		/* While a send is in flight, another one to the same server is
		 * of no use. */
		if (rank == RANK_TRIED &&
		    (why == RT_WHY_HEDGE || sh->ninflight))
			break;
		p->candidates = filter(all, n, rank, v, &p->usable);
	}
	if (p->candidates == 0)
		return;
	p->s = v[policies[rt->p.policy].choose(rt, sh->svc, v, p->candidates,
					       mean, now)]
		       .s;
	p->expected = (usec_t)expected(p->s, p->s->pace, mean, now);
	p->age = p->s->evidence_at ? now - p->s->evidence_at : -1;
}

void rt_pick_probe(rt_t *rt, const rt_shard_t *sh, usec_t now, rt_pick_t *p)
{
	double best = rt_svc_best_cost(sh->svc);
	rt_server_t *s;
	size_t i;

	*p = (rt_pick_t){ .why = RT_WHY_PROBE, .candidates = sh->svc->n };
	for (i = 0; i < sh->svc->n && !p->s; i++) {
		s = sh->svc->v[i];
		if (!was_tried(sh, s) &&
		    rt_server_needs_probe(rt, s, best, now))
			p->s = s;
	}
	if (!p->s)
		return;
	p->expected =
		(usec_t)expected(p->s, p->s->pace, rt_work_latency(sh->q), now);
	p->age = p->s->evidence_at ? now - p->s->evidence_at : -1;
	p->s->probed_at = now;
}
