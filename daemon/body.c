/** @file body.c Reference-counted request bodies shared by threads. */
#include <stdlib.h>

#include "libdaemon.h"

body_t *body_new(char *bytes, size_t sz)
{
	body_t *b = xcalloc(1, sizeof(*b));

	atomic_init(&b->refs, 1);
	b->bytes = bytes;
	b->sz = sz;
	return b;
}

body_t *body_ref(body_t *b)
{
	atomic_fetch_add(&b->refs, 1);
	return b;
}

void body_unref(body_t *b)
{
	if (!b || atomic_fetch_sub(&b->refs, 1) != 1)
		return;
	free(b->bytes);
	free(b);
}
