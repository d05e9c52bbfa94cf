/** @file rt_stat.c How long the answers of a route usually take. */
#include "libroute.h"

#define MEAN_WEIGHT 32	/* an answer counts for a 32nd of the mean */
#define LATE_SHARE 0.92 /* of answers are faster than the late time */
#define LATE_STEP 16	/* the quantile moves by a 16th of the mean */
#define FIRST_USUAL (15 * USEC_PER_MSEC) /* until anything was measured */
#define MIN_SAMPLES 20
#define SECOND_SHARE 0.85 /* of second sends are faster than their time */
#define SECOND_USUAL 3	  /* usual times that one needs at least */
/* Means: what is longer counts as that. Slow servers must not make the usual
 * time of the route look longer. */
#define OUTLIER 2

usec_t rt_stat_usual(const rt_stat_t *s)
{
	return s->n ? s->mean : FIRST_USUAL;
}

usec_t rt_stat_late(const rt_stat_t *s)
{
	usec_t usual = rt_stat_usual(s);

	if (s->n < MIN_SAMPLES || s->late < usual * 3 / 2)
		return usual * 2;
	return s->late;
}

/* Moves a quantile towards where that share of the values is below it. */
static void move(usec_t *quantile, usec_t value, usec_t step, double share)
{
	if (value > *quantile)
		*quantile += (usec_t)((double)step * share);
	else
		*quantile -= (usec_t)((double)step * (1 - share));
}

usec_t rt_stat_second(const rt_stat_t *s)
{
	usec_t least = SECOND_USUAL * rt_stat_usual(s);

	return s->second > least ? s->second : least;
}

void rt_stat_note_second(rt_stat_t *s, usec_t took)
{
	if (s->second == 0)
		s->second = rt_stat_second(s);
	move(&s->second, took, rt_stat_usual(s) / LATE_STEP, SECOND_SHARE);
}

void rt_stat_note(rt_stat_t *s, usec_t took)
{
	usec_t part;

	if (s->n == 0) {
		s->mean = took;
		s->late = took * 2;
	}
	s->n++;
	part = took > s->mean * OUTLIER ? s->mean * OUTLIER : took;
	s->mean += (part - s->mean) /
		   (s->n < MEAN_WEIGHT ? (int64_t)s->n : MEAN_WEIGHT);
	if (s->mean < 1)
		s->mean = 1;
	move(&s->late, took, s->mean / LATE_STEP, LATE_SHARE);
}
