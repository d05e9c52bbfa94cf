/** @file merge.c Merges the parts of groups into one list of hits. */
#include <stdlib.h>

#include "libcore.h"

static int cmp_hit(const void *x, const void *y)
{
	const hit_t *a = x, *b = y;

	if (a->score != b->score)
		return a->score > b->score ? -1 : 1;
	return str_cmp(a->id, b->id);
}

part_t *part_new(void)
{
	return xcalloc(1, sizeof(part_t));
}

void part_free(part_t *p)
{
	if (!p)
		return;
	arena_free(&p->mem);
	free(p);
}

void part_sort(part_t *p)
{
	if (p->nhits)
		qsort(p->hits, p->nhits, sizeof(*p->hits), cmp_hit);
}

size_t merge_parts(query_t *q)
{
	const part_t *p;
	size_t n = 0, i, j;

	for (i = 0; i < q->nshards; i++)
		if (q->shards[i].part)
			n += q->shards[i].part->nhits;
	q->merged = xcalloc(n, sizeof(*q->merged));
	n = 0;
	for (i = 0; i < q->nshards; i++) {
		p = q->shards[i].part;
		/* A part contributes at most as many hits as the limit. */
		for (j = 0; p && j < p->nhits && j < q->limit; j++)
			q->merged[n++] = p->hits[j];
	}
	if (n)
		qsort(q->merged, n, sizeof(*q->merged), cmp_hit);
	return n < q->limit ? n : q->limit;
}
