/**
 * @file rt_budget.c
 * Limits the extra sends (retries, hedges and probes) to a service, so that
 * they cannot overload servers that are failing or slow. All hosts keep the
 * common limit without messages: each host limits itself to a share of its own
 * first sends, and the fixed allowance is divided by the number of hosts.
 *
 * Load patterns: at full load some of the servers become slow or lose answers,
 * so that every request would be sent again; servers that are gone refuse
 * connections, so that many sends reach no server.
 */
#include <string.h>

#include "libroute.h"

/*
 * Fractions of the limits that are used. The rest covers sends just before and
 * after a change of the window or of the number of hosts.
 */
#define EXTRA_SHARE_USED 0.95
#define EXTRA_FIXED_USED 0.85

static usec_t bucket_time(const rt_params_t *p)
{
	return p->extra_sends_window / RT_WINDOW_BUCKETS;
}

static size_t ring_index(int64_t bucket)
{
	return (size_t)(bucket % (RT_WINDOW_BUCKETS * 2));
}

/* Sums the buckets up to the one given, of which there are count. */
static uint64_t sum_buckets(const uint32_t *v, int64_t bucket, int64_t count)
{
	size_t at, left;
	uint64_t n = 0;

	if (bucket < 0)
		return 0;
	at = ring_index(bucket);
	/* Times before 0 have no buckets. */
	left = (size_t)(count <= bucket ? count : bucket + 1);
	for (; left; left--) {
		n += v[at];
		at = at ? at - 1 : RT_WINDOW_BUCKETS * 2 - 1;
	}
	return n;
}

/* Counts the sends of the present window as made now if the length of the
 * window has changed: buckets of another length cannot be told apart. */
static void change_bucket_time(rt_budget_t *b, const rt_params_t *p, usec_t now)
{
	uint64_t first, extra;

	if (b->bucket_time == bucket_time(p))
		return;
	first = sum_buckets(b->first, b->newest, RT_WINDOW_BUCKETS);
	extra = sum_buckets(b->extra, b->newest, RT_WINDOW_BUCKETS + 1);
	*b = (rt_budget_t){ .newest = now / bucket_time(p),
			    .bucket_time = bucket_time(p) };
	b->first[ring_index(b->newest)] = (uint32_t)first;
	b->extra[ring_index(b->newest)] = (uint32_t)extra;
}

static void advance_window(rt_budget_t *b, const rt_params_t *p, usec_t now)
{
	int64_t bucket = now / bucket_time(p);

	change_bucket_time(b, p, now);
	if (bucket - b->newest >= RT_WINDOW_BUCKETS * 2) {
		memset(b->first, 0, sizeof(b->first));
		memset(b->extra, 0, sizeof(b->extra));
		b->newest = bucket;
	}
	while (b->newest < bucket) {
		b->newest++;
		b->first[ring_index(b->newest)] = 0;
		b->extra[ring_index(b->newest)] = 0;
	}
}

/* Extra sends of the window that ends now. The oldest bucket is counted as a
 * whole, though only a part of it may be in the window. */
static uint64_t extra_sends(const rt_budget_t *b)
{
	return sum_buckets(b->extra, b->newest, RT_WINDOW_BUCKETS + 1);
}

void rt_budget_add_first(rt_budget_t *b, const rt_params_t *p, usec_t now)
{
	advance_window(b, p, now);
	b->first[ring_index(b->newest)]++;
}

/* Extra sends that this host may make in the present window. The limit is based
 * on the first sends in it, or in the window that ended half a window ago if
 * there were more. */
static double extra_allowed(rt_budget_t *b, const rt_params_t *p, usec_t now)
{
	double firsts;
	uint64_t before;

	advance_window(b, p, now);
	firsts = (double)sum_buckets(b->first, b->newest, RT_WINDOW_BUCKETS);
	before = sum_buckets(b->first, b->newest - RT_WINDOW_BUCKETS / 2,
			     RT_WINDOW_BUCKETS);
	if ((double)before > firsts)
		firsts = (double)before;
	return EXTRA_SHARE_USED * p->extra_sends_share * firsts +
	       EXTRA_FIXED_USED * p->extra_sends_fixed / p->hosts;
}

double rt_budget_remaining(rt_budget_t *b, const rt_params_t *p, usec_t now)
{
	return extra_allowed(b, p, now) - (double)extra_sends(b);
}

bool rt_budget_above_share(rt_budget_t *b, const rt_params_t *p, double share,
			   usec_t now)
{
	return rt_budget_remaining(b, p, now) >
	       share * extra_allowed(b, p, now);
}

bool rt_budget_take(rt_budget_t *b, const rt_params_t *p, usec_t now)
{
	if (rt_budget_remaining(b, p, now) < 1)
		return false;
	b->extra[ring_index(b->newest)]++;
	return true;
}

void rt_budget_put_back(rt_budget_t *b, const rt_params_t *p, usec_t taken_at,
			usec_t now)
{
	int64_t bucket = taken_at / bucket_time(p);

	advance_window(b, p, now);
	if (b->newest - bucket < RT_WINDOW_BUCKETS * 2 &&
	    b->extra[ring_index(bucket)])
		b->extra[ring_index(bucket)]--;
}
