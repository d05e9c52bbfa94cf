/** @file rt_view.c Links a configuration to its services and statistics. */
#include <stdlib.h>

#include "libroute.h"

/* Range of the random start, in choices. Weights below 1 have a small sum and
 * may still take many choices for one turn. */
#define START_OFFSET_MIN 100
#define START_OFFSET_MAX 1000

rt_svc_t *rt_svc_get(rt_t *rt, str_t name)
{
	rt_svc_t *s = strmap_get(&rt->svcs, name);

	if (s)
		return s;
	s = xcalloc(1, sizeof(*s));
	s->name = str_dup(name);
	strmap_put(&rt->svcs, s->name, s);
	rt->all_svcs = xrealloc(rt->all_svcs, (rt->nsvcs + 1) * sizeof(s));
	rt->all_svcs[rt->nsvcs++] = s;
	return s;
}

static rt_stat_t *stat_get(rt_t *rt, str_t name)
{
	rt_stat_t *s = strmap_get(&rt->stats, name);

	if (s)
		return s;
	s = xcalloc(1, sizeof(*s));
	s->name = str_dup(name);
	strmap_put(&rt->stats, s->name, s);
	rt->all_stats = xrealloc(rt->all_stats, (rt->nstats + 1) * sizeof(s));
	rt->all_stats[rt->nstats++] = s;
	return s;
}

/*
 * Starts the weighted rotation of a route at a random point. Otherwise hosts
 * with few requests each would all send their first ones to the same service.
 */
static void randomize_start(rt_t *rt, rt_view_t *v, const rt_route_t *r)
{
	double sum = 0;
	uint64_t i;

	v->credit[r - v->conf->routes] =
		xcalloc(r->ntargets, sizeof(**v->credit));
	for (i = 0; i < r->ntargets; i++)
		sum += r->targets[i].weight;
	if (sum < START_OFFSET_MIN)
		sum = START_OFFSET_MIN;
	if (sum > START_OFFSET_MAX)
		sum = START_OFFSET_MAX;
	for (i = rng_below(&rt->rng, (uint64_t)sum); i > 0; i--)
		rt_view_next_target(v, r);
}

rt_view_t *rt_view_new(rt_t *rt, rt_conf_t *c)
{
	rt_view_t *v = xcalloc(1, sizeof(*v));
	size_t i;

	v->conf = c;
	v->refs = 1;
	v->svcs = xcalloc(c->nservices, sizeof(*v->svcs));
	v->stats = xcalloc(c->nroutes, sizeof(*v->stats));
	v->credit = xcalloc(c->nroutes, sizeof(*v->credit));
	for (i = 0; i < c->nservices; i++) {
		v->svcs[i] = rt_svc_get(rt, c->services[i].name);
		v->svcs[i]->connections = c->services[i].connections;
		v->svcs[i]->warmup_per_s = c->services[i].warmup_per_s;
	}
	for (i = 0; i < c->nroutes; i++) {
		v->stats[i] = stat_get(rt, c->routes[i].name);
		if (c->routes[i].mode == RT_ONE_SERVICE &&
		    c->routes[i].ntargets > 1)
			randomize_start(rt, v, &c->routes[i]);
	}
	return v;
}

void rt_view_unref(rt_view_t *v)
{
	size_t i;

	if (--v->refs)
		return;
	for (i = 0; i < v->conf->nroutes; i++)
		free(v->credit[i]);
	rt_conf_unref(v->conf);
	free(v->credit);
	free(v->stats);
	free(v->svcs);
	free(v);
}

/* Smooth weighted round robin: each target gains its weight as credit; the one
 * with the most credit is chosen and loses the sum of all weights. */
size_t rt_view_next_target(rt_view_t *v, const rt_route_t *r)
{
	double *credit = v->credit[r - v->conf->routes];
	size_t best = 0, i;
	double sum = 0;

	if (!credit)
		return 0;
	for (i = 0; i < r->ntargets; i++) {
		credit[i] += r->targets[i].weight;
		sum += r->targets[i].weight;
		if (credit[i] > credit[best])
			best = i;
	}
	credit[best] -= sum;
	return best;
}
