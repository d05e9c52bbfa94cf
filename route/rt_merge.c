/** @file rt_merge.c Merges records of many parts by the order of bytes. */
#include <stdlib.h>
#include <string.h>

#include "libroute.h"

typedef struct heap {
	const char **v; /* the least record first */
	size_t n;
	size_t record;
} heap_t;

static bool below(const heap_t *h, size_t a, size_t b)
{
	return memcmp(h->v[a], h->v[b], h->record) < 0;
}

static void swap(heap_t *h, size_t a, size_t b)
{
	const char *t = h->v[a];

	h->v[a] = h->v[b];
	h->v[b] = t;
}

static void sink(heap_t *h, size_t i)
{
	size_t child;

	for (;; i = child) {
		child = 2 * i + 1;
		if (child >= h->n)
			return;
		if (child + 1 < h->n && below(h, child + 1, child))
			child++;
		if (!below(h, child, i))
			return;
		swap(h, i, child);
	}
}

static void rise(heap_t *h, size_t i)
{
	for (; i && below(h, i, (i - 1) / 2); i = (i - 1) / 2)
		swap(h, i, (i - 1) / 2);
}

static void offer(heap_t *h, size_t top, const char *rec)
{
	if (h->n < top) {
		h->v[h->n++] = rec;
		rise(h, h->n - 1);
	} else if (memcmp(rec, h->v[0], h->record) > 0) {
		h->v[0] = rec;
		sink(h, 0);
	}
}

size_t rt_merge(const str_t *bodies, size_t n, size_t record, size_t top,
		char *out)
{
	heap_t h = { .record = record };
	size_t i, at, total;

	h.v = xcalloc(top, sizeof(*h.v));
	/* A rest that is shorter than a record is not one. */
	for (i = 0; i < n; i++)
		for (at = 0; at + record <= bodies[i].sz; at += record)
			offer(&h, top, bodies[i].s + at);
	total = h.n;
	for (i = total; i > 0; i--) {
		memcpy(out + (i - 1) * record, h.v[0], record);
		swap(&h, 0, --h.n);
		sink(&h, 0);
	}
	free(h.v);
	return total * record;
}
