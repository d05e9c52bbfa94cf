/** @file rt_hist.c Histograms of times, exported as metrics. */
#include "libroute.h"

const usec_t rt_hist_bounds[RT_HIST_BOUNDS] = {
	2000,	5000,	10000,	20000,	40000,	 80000,	  100000,
	150000, 200000, 300000, 600000, 1000000, 2000000, 5000000,
};

void rt_hist_add(rt_hist_t *h, usec_t v)
{
	size_t i;

	for (i = 0; i < RT_HIST_BOUNDS && v > rt_hist_bounds[i]; i++)
		;
	h->count[i]++;
	h->total++;
	h->sum += v;
}

const rt_hist_t *rt_hist_requests(const rt_t *rt, rt_outcome_t o)
{
	return &rt->requests[o];
}

const rt_hist_t *rt_hist_sends(const rt_t *rt, rt_result_t r)
{
	return &rt->sends[r];
}

const rt_hist_t *rt_hist_waits(const rt_t *rt)
{
	return &rt->waits;
}
