/** @file rt_stat.c Latency statistics of a route: mean and quantiles. */
#include "libroute.h"

#define MEAN_DIVISOR 32 /* weight of a new answer in the mean: 1/32 */
#define LATE_SHARE 0.92 /* share of latencies below the late limit */
/* Step of a quantile: 1/16 of the mean. */
#define QUANTILE_STEP_DIVISOR 16
#define MEAN_DEFAULT (15 * USEC_PER_MSEC) /* before the first answer */
/* Age of the last answer above which the mean refuses no request. */
#define MEAN_FRESH (2 * USEC_PER_SEC)
#define MIN_SAMPLES 20	  /* answers needed for the late limit */
#define HEDGE_SHARE 0.85  /* share of hedged sends below their quantile */
#define HEDGE_MIN_MEANS 3 /* least hedge latency, in mean latencies */
/* Cap of a sample in the mean, in mean latencies: slow servers must not raise
 * the mean latency of the route. */
#define OUTLIER_MEANS 2

usec_t rt_stat_mean(const rt_stat_t *s)
{
	return s->nsamples ? s->mean : MEAN_DEFAULT;
}

usec_t rt_stat_expected(const rt_stat_t *s, usec_t now)
{
	usec_t mean = rt_stat_mean(s);

	if (now - s->answered_at > MEAN_FRESH && mean > MEAN_DEFAULT)
		return MEAN_DEFAULT;
	return mean;
}

usec_t rt_stat_late_limit(const rt_stat_t *s)
{
	usec_t mean = rt_stat_mean(s);

	if (s->nsamples < MIN_SAMPLES || s->late_limit < mean * 3 / 2)
		return mean * 2;
	return s->late_limit;
}

/* Moves an estimated quantile one step, so that in the long run that share of
 * the values (0 to 1) is below it. */
static void move_quantile(usec_t *quantile, usec_t value, usec_t step,
			  double share)
{
	if (value > *quantile)
		*quantile += (usec_t)((double)step * share);
	else
		*quantile -= (usec_t)((double)step * (1 - share));
}

usec_t rt_stat_hedge_latency(const rt_stat_t *s)
{
	usec_t least = HEDGE_MIN_MEANS * rt_stat_mean(s);

	return s->hedge_latency > least ? s->hedge_latency : least;
}

void rt_stat_add_hedge(rt_stat_t *s, usec_t latency)
{
	if (s->hedge_latency == 0)
		s->hedge_latency = rt_stat_hedge_latency(s);
	move_quantile(&s->hedge_latency, latency,
		      rt_stat_mean(s) / QUANTILE_STEP_DIVISOR, HEDGE_SHARE);
}

void rt_stat_add(rt_stat_t *s, usec_t latency, usec_t now)
{
	usec_t capped;

	s->answered_at = now;
	if (s->nsamples == 0) {
		s->mean = latency;
		s->late_limit = latency * 2;
	}
	s->nsamples++;
	capped = latency > s->mean * OUTLIER_MEANS ? s->mean * OUTLIER_MEANS
						   : latency;
	s->mean += (capped - s->mean) / (s->nsamples < MEAN_DIVISOR
						 ? (int64_t)s->nsamples
						 : MEAN_DIVISOR);
	if (s->mean < 1)
		s->mean = 1;
	move_quantile(&s->late_limit, latency, s->mean / QUANTILE_STEP_DIVISOR,
		      LATE_SHARE);
}
