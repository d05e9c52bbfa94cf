/**
 * @file rt_budget.c
 * How many further sends (retries and hedges) a service may get, so that
 * failing or slow servers are not buried under repeats. All hosts share the
 * limit without a word between them: a share of the own first sends is a
 * share of all, and the fixed part is divided by the number of hosts.
 *
 * Load pattern: a part of the servers turns slow or loses answers at full
 * load, so that each request wants to be sent again.
 */
#include <string.h>

#include "libroute.h"

/*
 * Parts of the limit that are used. What is sent just before and after a
 * change of window or of the number of hosts needs room.
 */
#define SHARE_USED 0.95
#define FIXED_USED 0.85

static usec_t part_time(const rt_params_t *p)
{
	return p->extra_window / RT_WINDOW_PARTS;
}

static size_t slot(int64_t part)
{
	return (size_t)(part % (RT_WINDOW_PARTS * 2));
}

static void roll(rt_budget_t *b, const rt_params_t *p, usec_t now)
{
	int64_t part = now / part_time(p);

	if (part - b->part >= RT_WINDOW_PARTS * 2) {
		memset(b->first, 0, sizeof(b->first));
		memset(b->extra, 0, sizeof(b->extra));
		b->part = part;
	}
	while (b->part < part) {
		b->part++;
		b->first[slot(b->part)] = 0;
		b->extra[slot(b->part)] = 0;
	}
}

/* Counts the window that ended a number of parts ago. */
static uint64_t sum(const uint32_t *v, int64_t part, int64_t ago)
{
	uint64_t n = 0;
	int64_t i;

	for (i = 0; i < RT_WINDOW_PARTS; i++)
		if (part - ago - i >= 0)
			n += v[slot(part - ago - i)];
	return n;
}

void rt_budget_first(rt_budget_t *b, const rt_params_t *p, usec_t now)
{
	roll(b, p, now);
	b->first[slot(b->part)]++;
}

/* Further sends that this host may make in the present window. */
static double allowed(rt_budget_t *b, const rt_params_t *p, usec_t now)
{
	double firsts;
	uint64_t before;

	roll(b, p, now);
	firsts = (double)sum(b->first, b->part, 0);
	before = sum(b->first, b->part, RT_WINDOW_PARTS / 2);
	if ((double)before > firsts)
		firsts = (double)before;
	return SHARE_USED * p->extra_share * firsts +
	       FIXED_USED * p->extra_fixed / p->fleet;
}

double rt_budget_left(rt_budget_t *b, const rt_params_t *p, usec_t now)
{
	return allowed(b, p, now) - (double)sum(b->extra, b->part, 0);
}

bool rt_budget_plenty(rt_budget_t *b, const rt_params_t *p, double share,
		      usec_t now)
{
	return rt_budget_left(b, p, now) > share * allowed(b, p, now);
}

bool rt_budget_take(rt_budget_t *b, const rt_params_t *p, usec_t now)
{
	if (rt_budget_left(b, p, now) < 1)
		return false;
	b->extra[slot(b->part)]++;
	return true;
}
