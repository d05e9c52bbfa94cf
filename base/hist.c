/** @file hist.c A log-linear histogram of times. */
#include "base.h"

static size_t bucket_of(usec_t v)
{
	uint64_t u = v < 0 ? 0 : (uint64_t)v;
	unsigned rank;

	if (u < HIST_SUB)
		return (size_t)u;
	rank = 63 - (unsigned)__builtin_clzll(u) - HIST_SUB_BITS;
	if (rank >= HIST_RANKS)
		return HIST_BUCKETS - 1;
	return (size_t)(rank + 1) * HIST_SUB + (size_t)((u >> rank) - HIST_SUB);
}

/* The highest time that falls into the bucket. */
static usec_t bucket_top(size_t i)
{
	size_t rank;

	if (i < HIST_SUB)
		return (usec_t)i;
	rank = i / HIST_SUB - 1;
	return (usec_t)(((i % HIST_SUB + HIST_SUB + 1) << rank) - 1);
}

void hist_add(hist_t *h, usec_t v)
{
	h->count[bucket_of(v)]++;
	h->total++;
}

usec_t hist_quantile(const hist_t *h, double q)
{
	uint64_t want = (uint64_t)(q * (double)h->total + 0.5);
	uint64_t seen = 0;
	size_t i;

	if (h->total == 0)
		return 0;
	if (want == 0)
		want = 1;
	for (i = 0; i < HIST_BUCKETS; i++) {
		seen += h->count[i];
		if (seen >= want)
			return bucket_top(i);
	}
	return bucket_top(HIST_BUCKETS - 1);
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
