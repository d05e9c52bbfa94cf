/** @file idmap.c Objects by id; an id is never given to two objects. */
#include <stdlib.h>

#include "base.h"

#define SLOT_BITS 32
#define NO_SLOT UINT32_MAX

struct idslot {
	void *p;
	uint32_t gen;
	uint32_t next_free;
};

static void grow(idmap_t *m)
{
	uint32_t room = m->room ? m->room * 2 : 64;

	m->v = xrealloc(m->v, room * sizeof(*m->v));
	m->room = room;
}

uint64_t idmap_add(idmap_t *m, void *p)
{
	uint32_t i;

	if (m->n == 0)
		m->free = NO_SLOT;
	if (m->free != NO_SLOT) {
		i = m->free;
		m->free = m->v[i].next_free;
	} else {
		if (m->n == m->room)
			grow(m);
		i = m->n++;
		m->v[i].gen = 0;
	}
	m->v[i].p = p;
	m->v[i].gen++;
	m->used++;
	return ((uint64_t)m->v[i].gen << SLOT_BITS) | i;
}

void *idmap_get(const idmap_t *m, uint64_t id)
{
	uint32_t i = (uint32_t)id;

	if (i >= m->n || m->v[i].gen != id >> SLOT_BITS)
		return NULL;
	return m->v[i].p;
}

void idmap_del(idmap_t *m, uint64_t id)
{
	uint32_t i = (uint32_t)id;

	if (!idmap_get(m, id))
		return;
	m->v[i].p = NULL;
	m->v[i].next_free = m->free;
	m->free = i;
	m->used--;
}

void *idmap_at(const idmap_t *m, uint32_t i)
{
	return i < m->n ? m->v[i].p : NULL;
}

void idmap_free(idmap_t *m)
{
	free(m->v);
	*m = (idmap_t){ 0 };
}
