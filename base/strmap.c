/** @file strmap.c Objects by a string that they own, with open addressing. */
#include <stdlib.h>

#include "base.h"

#define STRMAP_MIN 64

struct strmap_slot {
	uint64_t hash;
	str_t key; /* of the object; empty: never used */
	void *p;   /* NULL behind a key: deleted */
};

static struct strmap_slot *probe(const strmap_t *m, str_t key, uint64_t hash)
{
	size_t i = hash & (m->room - 1);
	struct strmap_slot *s;

	for (;; i = (i + 1) & (m->room - 1)) {
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

	m->room = old.n * 4 < STRMAP_MIN ? STRMAP_MIN : old.room * 2;
	m->v = xcalloc(m->room, sizeof(*m->v));
	m->used = 0;
	m->n = 0;
	for (i = 0; i < old.room; i++)
		if (old.v[i].p)
			strmap_put(m, old.v[i].key, old.v[i].p);
	free(old.v);
}

void *strmap_get(const strmap_t *m, str_t key)
{
	return m->room ? probe(m, key, str_hash(key, 0))->p : NULL;
}

void strmap_put(strmap_t *m, str_t key, void *p)
{
	uint64_t hash = str_hash(key, 0);
	struct strmap_slot *s;

	/* Deleted ones count: they lengthen the probes until it grows. */
	if ((m->used + 1) * 4 > m->room * 3)
		grow(m);
	s = probe(m, key, hash);
	if (s->key.s == NULL)
		m->used++;
	*s = (struct strmap_slot){ hash, key, p };
	m->n++;
}

void strmap_del(strmap_t *m, str_t key)
{
	struct strmap_slot *s;

	if (m->room == 0)
		return;
	s = probe(m, key, str_hash(key, 0));
	if (!s->p)
		return;
	s->p = NULL;
	/* The object's string goes away with it. */
	s->key = STR("");
	m->n--;
}

void strmap_free(strmap_t *m)
{
	free(m->v);
	*m = (strmap_t){ 0 };
}
