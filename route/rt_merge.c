/** @file rt_merge.c Merges the records of many answers in byte order. */
#include <stdlib.h>
#include <string.h>

#include "libroute.h"

typedef struct heap {
	const char **v; /* a min-heap: the least record is at index 0 */
	size_t n;
	size_t record; /* size of a record in bytes */
} heap_t;

static bool record_less(const heap_t *h, size_t a, size_t b)
{
	return memcmp(h->v[a], h->v[b], h->record) < 0;
}

static void swap(heap_t *h, size_t a, size_t b)
{
	const char *t = h->v[a];

	h->v[a] = h->v[b];
	h->v[b] = t;
}

static void sift_down(heap_t *h, size_t i)
{
	size_t child;

	for (;; i = child) {
		child = 2 * i + 1;
		if (child >= h->n)
			return;
		if (child + 1 < h->n && record_less(h, child + 1, child))
			child++;
		if (!record_less(h, child, i))
			return;
		swap(h, i, child);
	}
}

static void sift_up(heap_t *h, size_t i)
{
	for (; i && record_less(h, i, (i - 1) / 2); i = (i - 1) / 2)
		swap(h, i, (i - 1) / 2);
}

static void heap_add(heap_t *h, size_t top, const char *rec)
{
	if (h->n < top) {
		h->v[h->n++] = rec;
		sift_up(h, h->n - 1);
	} else if (memcmp(rec, h->v[0], h->record) > 0) {
		h->v[0] = rec;
		sift_down(h, 0);
	}
}

size_t rt_merged_records(const str_t *bodies, size_t n, size_t record,
			 size_t top)
{
	size_t records = 0, i;

	for (i = 0; i < n && records < top; i++)
		records += bodies[i].sz / record;
	return records < top ? records : top;
}

size_t rt_merge(const str_t *bodies, size_t n, size_t record, size_t top,
		char *out)
{
	heap_t h = { .record = record };
	size_t i, at, total;

	top = rt_merged_records(bodies, n, record, top);
	if (top == 0)
		return 0;
	h.v = xcalloc(top, sizeof(*h.v));
	/* A shorter rest at the end of a body is ignored. */
	for (i = 0; i < n; i++)
		for (at = 0; at + record <= bodies[i].sz; at += record)
			heap_add(&h, top, bodies[i].s + at);
	total = h.n;
	for (i = total; i > 0; i--) {
		memcpy(out + (i - 1) * record, h.v[0], record);
		swap(&h, 0, --h.n);
		sift_down(&h, 0);
	}
	free(h.v);
	return total * record;
}
