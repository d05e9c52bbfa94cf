/** @file strmap.c A hash map with string keys and open addressing. */
#include <stdlib.h>

#include "base.h"

#define STRMAP_MIN_SLOTS 64

struct strmap_slot {
	uint64_t hash;
	str_t key; /* borrowed; key.s is NULL: the slot was never used */
	void *p;   /* NULL with key.s not NULL: the object was deleted */
};

/* The slot of a key, or the empty slot that ends its probe sequence. */
static struct strmap_slot *probe(const strmap_t *m, str_t key, uint64_t hash)
{
	size_t i = hash & (m->capacity - 1);
	struct strmap_slot *s;

	for (;; i = (i + 1) & (m->capacity - 1)) {
		s = &m->v[i];
		if (s->key.s == NULL)
			return s;
		if (s->p && s->hash == hash && str_eq(s->key, key))
			return s;
	}
}

static void grow(strmap_t *m)
{
	strmap_t old = *m;
	size_t i;

	m->capacity = old.count * 4 < STRMAP_MIN_SLOTS ? STRMAP_MIN_SLOTS
						       : old.capacity * 2;
	m->v = xcalloc(m->capacity, sizeof(*m->v));
	m->occupied = 0;
	m->count = 0;
	for (i = 0; i < old.capacity; i++)
		if (old.v[i].p)
			strmap_put(m, old.v[i].key, old.v[i].p);
	free(old.v);
}

void *strmap_get(const strmap_t *m, str_t key)
{
	return m->capacity ? probe(m, key, str_hash(key, 0))->p : NULL;
}

void strmap_put(strmap_t *m, str_t key, void *p)
{
	uint64_t hash = str_hash(key, 0);
	struct strmap_slot *s;

	/*
	 * Deleted slots count, too: probes pass over them until the table is
	 * rebuilt.
	 */
	if ((m->occupied + 1) * 4 > m->capacity * 3)
		grow(m);
	s = probe(m, key, hash);
	if (s->key.s == NULL)
		m->occupied++;
	*s = (struct strmap_slot){ hash, key, p };
	m->count++;
}

void strmap_del(strmap_t *m, str_t key)
{
	struct strmap_slot *s;

	if (m->capacity == 0)
		return;
	s = probe(m, key, str_hash(key, 0));
	if (!s->p)
		return;
	s->p = NULL;
	/* The bytes of the key may be freed together with the object. */
	s->key = STR("");
	m->count--;
}

void strmap_free(strmap_t *m)
{
	free(m->v);
	*m = (strmap_t){ 0 };
}
