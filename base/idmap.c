/**
 * @file idmap.c
 * A map from ids to objects. An id is a slot's index in the low 32 bits and,
 * above them, the slot's generation, incremented whenever the slot is assigned.
 */
#include <stdlib.h>

#include "base.h"

#define IDMAP_MIN_SLOTS 64
#define SLOT_BITS 32
#define NO_SLOT UINT32_MAX /* ends the list of deleted slots */

struct idmap_slot {
	void *p; /* NULL: deleted */
	uint32_t generation;
	uint32_t next_free; /* index of a slot, only if deleted */
};

static void grow(idmap_t *m)
{
	uint32_t new_capacity = m->capacity ? m->capacity * 2 : IDMAP_MIN_SLOTS;

	m->v = xrealloc(m->v, new_capacity * sizeof(*m->v));
	m->capacity = new_capacity;
}

uint64_t idmap_add(idmap_t *m, void *p)
{
	uint32_t i;

	if (m->nslots == 0)
		m->first_free = NO_SLOT;
	if (m->first_free != NO_SLOT) {
		i = m->first_free;
		m->first_free = m->v[i].next_free;
	} else {
		if (m->nslots == m->capacity)
			grow(m);
		i = m->nslots++;
		m->v[i].generation = 0;
	}
	m->v[i].p = p;
	m->v[i].generation++;
	m->count++;
	return ((uint64_t)m->v[i].generation << SLOT_BITS) | i;
}

void *idmap_get(const idmap_t *m, uint64_t id)
{
	uint32_t i = (uint32_t)id;

	if (i >= m->nslots || m->v[i].generation != id >> SLOT_BITS)
		return NULL;
	return m->v[i].p;
}

void idmap_del(idmap_t *m, uint64_t id)
{
	uint32_t i = (uint32_t)id;

	if (!idmap_get(m, id))
		return;
	m->v[i].p = NULL;
	m->v[i].next_free = m->first_free;
	m->first_free = i;
	m->count--;
}

void *idmap_at(const idmap_t *m, uint32_t i)
{
	return i < m->nslots ? m->v[i].p : NULL;
}

void idmap_free(idmap_t *m)
{
	free(m->v);
	*m = (idmap_t){ 0 };
}
