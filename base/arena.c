/** @file arena.c Arena allocator: a list of blocks, freed all at once. */
#include <stdlib.h>
#include <string.h>

#include "base.h"

#define ARENA_BLOCK_BYTES 8192 /* least size of a block */
#define ARENA_ALIGN_BYTES 16

struct arena_block {
	struct arena_block *next;
	size_t used;
	size_t sz;
	_Alignas(ARENA_ALIGN_BYTES) unsigned char mem[];
};

/* Allocates bytes with any content. */
static void *alloc_raw(arena_t *a, size_t sz)
{
	struct arena_block *b = a->head;
	size_t block_sz = sz > ARENA_BLOCK_BYTES ? sz : ARENA_BLOCK_BYTES;
	void *p;

	sz = (sz + ARENA_ALIGN_BYTES - 1) & ~(size_t)(ARENA_ALIGN_BYTES - 1);
	if (!b || b->sz - b->used < sz) {
		block_sz = (block_sz + ARENA_ALIGN_BYTES - 1) &
			   ~(size_t)(ARENA_ALIGN_BYTES - 1);
		b = xmalloc(sizeof(*b) + block_sz);
		b->used = 0;
		b->sz = block_sz;
		b->next = a->head;
		a->head = b;
	}
	p = b->mem + b->used;
	b->used += sz;
	a->used += sz;
	return p;
}

void *arena_alloc(arena_t *a, size_t sz)
{
	return memset(alloc_raw(a, sz), 0, sz);
}

str_t arena_str(arena_t *a, str_t v)
{
	char *p = alloc_raw(a, v.sz + 1);

	if (v.sz)
		memcpy(p, v.s, v.sz);
	p[v.sz] = '\0';
	return (str_t){ p, v.sz };
}

void arena_free(arena_t *a)
{
	struct arena_block *b = a->head;
	struct arena_block *next;

	for (; b; b = next) {
		next = b->next;
		free(b);
	}
	a->head = NULL;
	a->used = 0;
}

void arena_reset(arena_t *a)
{
	struct arena_block *kept = a->head;

	if (!kept || kept->next || kept->sz > ARENA_BLOCK_BYTES) {
		arena_free(a);
		return;
	}
	kept->used = 0;
	a->used = 0;
}
