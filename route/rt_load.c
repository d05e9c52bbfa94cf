/**
 * @file rt_load.c
 * Load that servers report in their answers: requests that run and wait there,
 * of all hosts together. A host meets a server only once in some seconds, so
 * the figures of the last report soon give way to the mean of the earlier ones,
 * and that to nothing. What this host itself has in flight at the server is
 * counted apart, and left out of the figures.
 *
 * Load patterns: other hosts load the servers of a shard unevenly, which a host
 * with little traffic does not notice by its own sends; the speed of a machine
 * that is shared with others changes many times a second.
 */
#include <math.h>

#include "libroute.h"

/* Larger figures are a fault of the server. */
#define MAX_REQUESTS 100000
#define MAX_SLOTS 100000
#define MAX_SPEED 10000 /* work takes 100 times as long as usual */
/* A queue changes within a few requests: half-life of the last figures, in mean
 * latencies of the service, and its bounds. */
#define HALF_LIFE_MEANS 4
#define HALF_LIFE_MIN (50.0 * USEC_PER_MSEC)
#define HALF_LIFE_MAX (500.0 * USEC_PER_MSEC)
/* The mean tells which servers have more load than others for some seconds. */
#define MEAN_WEIGHT 0.2 /* weight of a new report in the mean */
#define MEAN_HALF_LIFE (5.0 * USEC_PER_SEC)
#define MAX_AGE (20 * USEC_PER_SEC) /* after it a report counts for nothing */
/* Most requests of other hosts that count, per slot: queues are not longer on
 * any deployment, and one wrong figure must not rule out a server. */
#define MAX_PER_SLOT 8.0
/* The speed changes many times a second. */
#define SPEED_TIME (30.0 * USEC_PER_MSEC)
/* Weight of an answer in the averages that tell how far reports can be trusted;
 * variance of others' requests per slot below which they tell nothing of that;
 * and cap of a latency, as a multiple of the expected one. */
#define TRUST_WEIGHT (1.0 / 32)
#define TRUST_PRIOR 0.05
#define RATIO_MAX 8.0
#define SPEED_FACTOR_MIN 0.5
#define SPEED_FACTOR_MAX 8.0

static bool is_plausible(const rt_load_t *l)
{
	return l->slots >= 1 && l->slots <= MAX_SLOTS &&
	       l->running <= MAX_REQUESTS && l->waiting <= MAX_REQUESTS &&
	       l->speed <= MAX_SPEED;
}

bool rt_on_server_load(rt_t *rt, uint64_t server, const rt_load_t *l,
		       usec_t now)
{
	rt_server_t *s = idmap_get(&rt->server_nums, server);
	double others, max = MAX_PER_SLOT * l->slots;

	if (!is_plausible(l))
		return false;
	rt->counters[RT_CNT_LOAD_REPORTS]++;
	if (!s)
		return true;
	/* The answered request is still counted in flight, but no longer by the
	 * server. */
	others = (double)l->running + l->waiting;
	if (s->inflight > 1)
		others -= s->inflight - 1;
	others = others < 0 ? 0 : others > max ? max : others;
	if (rt_load_is_known(s, now)) {
		s->others_mean += MEAN_WEIGHT * (others - s->others_mean);
	} else {
		s->others_mean = others;
		s->speed_mean = 0;
	}
	if (l->speed && s->speed_mean > 0)
		s->speed_mean += MEAN_WEIGHT * (l->speed - s->speed_mean);
	else if (l->speed)
		s->speed_mean = l->speed;
	s->others = others;
	s->load = *l;
	s->load_at = now;
	return true;
}

bool rt_load_is_known(const rt_server_t *s, usec_t now)
{
	return s->load_at && now - s->load_at <= MAX_AGE;
}

static double half_life(const rt_svc_t *svc)
{
	double t = HALF_LIFE_MEANS * (double)svc->mean_latency;

	if (t < HALF_LIFE_MIN)
		return HALF_LIFE_MIN;
	return t > HALF_LIFE_MAX ? HALF_LIFE_MAX : t;
}

/* Others' requests by the reports of the server alone. */
static double told_others(const rt_server_t *s, usec_t now)
{
	double age = (double)(now - s->load_at), last, mean;

	if (!rt_load_is_known(s, now))
		return 0;
	last = exp2(-age / half_life(s->svc));
	mean = exp2(-age / MEAN_HALF_LIFE);
	return last * s->others + (1 - last) * mean * s->others_mean;
}

/* How far latencies followed the reports: the slope of the regression line,
 * between 0 and 1. Before there are answers it is 1. */
static double trust(const rt_svc_t *svc)
{
	double cov = svc->told.xy - svc->told.x * svc->told.y;
	double var = svc->told.xx - svc->told.x * svc->told.x;
	double slope = (cov + TRUST_PRIOR) / (var + TRUST_PRIOR);

	return slope < 0 ? 0 : slope > 1 ? 1 : slope;
}

/* Most requests of other hosts that a reliable server of the service tells. */
static double most_told(const rt_svc_t *svc, usec_t now)
{
	double most = 0, told;
	size_t i;

	for (i = 0; i < svc->n; i++) {
		if (!rt_load_is_known(svc->v[i], now) ||
		    !rt_server_is_reliable(svc->v[i]))
			continue;
		told = told_others(svc->v[i], now);
		if (told > most)
			most = told;
	}
	return most;
}

double rt_load_others(const rt_server_t *s, usec_t now)
{
	double told, most;

	if (!rt_load_is_known(s, now))
		return 0;
	told = told_others(s, now);
	/* A server that refuses or fails requests has little load because of
	 * that. It must not attract more. */
	if (!rt_server_is_reliable(s)) {
		most = most_told(s->svc, now);
		told = most > told ? most : told;
	}
	return told * trust(s->svc);
}

void rt_load_sent(rt_attempt_t *a, usec_t now)
{
	const rt_server_t *s = a->server;

	a->told = rt_load_is_known(s, now)
			  ? told_others(s, now) / rt_load_slots(s, now)
			  : -1;
}

void rt_load_answered(const rt_attempt_t *a, double ratio)
{
	rt_svc_t *svc = a->server->svc;
	double x = a->told, y = ratio < RATIO_MAX ? ratio : RATIO_MAX;

	if (x < 0)
		return;
	svc->told.x += TRUST_WEIGHT * (x - svc->told.x);
	svc->told.y += TRUST_WEIGHT * (y - svc->told.y);
	svc->told.xx += TRUST_WEIGHT * (x * x - svc->told.xx);
	svc->told.xy += TRUST_WEIGHT * (x * y - svc->told.xy);
}

unsigned rt_load_slots(const rt_server_t *s, usec_t now)
{
	return rt_load_is_known(s, now) ? s->load.slots : s->slots;
}

double rt_load_speed(const rt_server_t *s, usec_t now)
{
	double age = (double)(now - s->load_at), factor;

	if (!s->load_at || !s->load.speed || age >= SPEED_TIME)
		return 1;
	/* The pace of the server has its mean speed in it. */
	factor = s->load.speed / s->speed_mean;
	if (factor < SPEED_FACTOR_MIN)
		factor = SPEED_FACTOR_MIN;
	if (factor > SPEED_FACTOR_MAX)
		factor = SPEED_FACTOR_MAX;
	return 1 + (1 - age / SPEED_TIME) * (factor - 1);
}
