/** @file hist.c A log-linear histogram of durations. */
#include "base.h"

static size_t bucket_index(usec_t v)
{
	uint64_t u = v < 0 ? 0 : (uint64_t)v;
	unsigned shift;

	if (u < HIST_SUB_BUCKETS)
		return (size_t)u;
	shift = 63 - (unsigned)__builtin_clzll(u) - HIST_SUB_BITS;
	if (shift >= HIST_OCTAVES)
		return HIST_BUCKETS - 1;
	return (size_t)(shift + 1) * HIST_SUB_BUCKETS +
	       (size_t)((u >> shift) - HIST_SUB_BUCKETS);
}

/* The largest duration in the range of bucket i. */
static usec_t bucket_max(size_t i)
{
	size_t shift;

	if (i < HIST_SUB_BUCKETS)
		return (usec_t)i;
	shift = i / HIST_SUB_BUCKETS - 1;
	return (usec_t)(((i % HIST_SUB_BUCKETS + HIST_SUB_BUCKETS + 1)
			 << shift) -
			1);
}

void hist_add(hist_t *h, usec_t v)
{
	h->count[bucket_index(v)]++;
	h->total++;
}

usec_t hist_quantile(const hist_t *h, double q)
{
	uint64_t target = (uint64_t)(q * (double)h->total + 0.5);
	uint64_t counted = 0;
	size_t i;

	if (h->total == 0)
		return 0;
	if (target == 0)
		target = 1;
	for (i = 0; i < HIST_BUCKETS; i++) {
		counted += h->count[i];
		if (counted >= target)
			return bucket_max(i);
	}
	return bucket_max(HIST_BUCKETS - 1);
}

void hist_merge(hist_t *into, const hist_t *from)
{
	size_t i;

	for (i = 0; i < HIST_BUCKETS; i++)
		into->count[i] += from->count[i];
	into->total += from->total;
}

void hist_decay(hist_t *h)
{
	size_t i;

	h->total = 0;
	for (i = 0; i < HIST_BUCKETS; i++) {
		h->count[i] /= 2;
		h->total += h->count[i];
	}
}
