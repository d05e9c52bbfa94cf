/** @file merge.c Merges the hits of groups into one list of hits. */
#include <stdlib.h>

#include "libcore.h"

static int cmp_hit(const void *x, const void *y)
{
	const hit_t *a = x, *b = y;

	if (a->score != b->score)
		return a->score > b->score ? -1 : 1;
	return str_cmp(a->id, b->id);
}

group_hits_t *group_hits_new(void)
{
	return xcalloc(1, sizeof(group_hits_t));
}

void group_hits_free(group_hits_t *p)
{
	if (!p)
		return;
	arena_free(&p->mem);
	free(p);
}

void group_hits_sort(group_hits_t *p)
{
	if (p->nhits)
		qsort(p->hits, p->nhits, sizeof(*p->hits), cmp_hit);
}

size_t merge_group_hits(query_t *q)
{
	const group_hits_t *p;
	size_t n = 0, i, j;

	for (i = 0; i < q->nshards; i++)
		if (q->shards[i].group_hits)
			n += q->shards[i].group_hits->nhits;
	q->merged = xcalloc(n, sizeof(*q->merged));
	n = 0;
	for (i = 0; i < q->nshards; i++) {
		p = q->shards[i].group_hits;
		/* A group contributes at most as many hits as the limit. */
		for (j = 0; p && j < p->nhits && j < q->limit; j++)
			q->merged[n++] = p->hits[j];
	}
	if (n)
		qsort(q->merged, n, sizeof(*q->merged), cmp_hit);
	return n < q->limit ? n : q->limit;
}
