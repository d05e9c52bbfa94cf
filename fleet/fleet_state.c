/**
 * @file fleet_state.c
 * Published state by key, with the revision of each key's last change, so
 * that late or stale words never take back what is known, from whichever way
 * they come.
 */
#include <stdlib.h>

#include "fleet.h"

#define MAX_DELETED 4096 /* deleted keys that are kept for others */

/* Two wholes may be read at once: a list page by page, and a message. */
#define MARK_LISTED 1u
#define MARK_TOLD 2u

typedef struct entry {
	str_t key;   /* owned */
	str_t value; /* owned */
	uint64_t revision;
	bool deleted;
	unsigned marks; /* wholes that name it, MARK_* */
} entry_t;

struct fleet_state {
	fleet_changed_t changed;
	void *arg;
	entry_t **v;
	size_t n;
	size_t room;
	size_t ndeleted;
	strmap_t by_key;
	uint64_t revision;
	uint64_t floor;	     /* deletions up to it may not be known */
	uint64_t page_as_of; /* of the list's last page */
	uint64_t list_as_of; /* of its earliest page */
};

fleet_state_t *fleet_state_new(fleet_changed_t fn, void *arg)
{
	fleet_state_t *s = xcalloc(1, sizeof(*s));

	s->changed = fn;
	s->arg = arg;
	return s;
}

static void entry_free(entry_t *e)
{
	str_free(e->key);
	str_free(e->value);
	free(e);
}

void fleet_state_free(fleet_state_t *s)
{
	size_t i;

	if (!s)
		return;
	for (i = 0; i < s->n; i++)
		entry_free(s->v[i]);
	free(s->v);
	strmap_free(&s->by_key);
	free(s);
}

uint64_t fleet_state_revision(const fleet_state_t *s)
{
	return s->revision;
}

static entry_t *entry_get(fleet_state_t *s, str_t key)
{
	entry_t *e = strmap_get(&s->by_key, key);

	if (e)
		return e;
	e = xcalloc(1, sizeof(*e));
	e->key = str_dup(key);
	if (s->n == s->room) {
		s->room = s->room ? s->room * 2 : 64;
		s->v = xrealloc(s->v, s->room * sizeof(*s->v));
	}
	s->v[s->n++] = e;
	strmap_put(&s->by_key, e->key, e);
	return e;
}

static void drop_deleted(fleet_state_t *s)
{
	size_t i, n = 0;

	for (i = 0; i < s->n; i++) {
		entry_t *e = s->v[i];

		if (!e->deleted) {
			s->v[n++] = e;
			continue;
		}
		if (e->revision > s->floor)
			s->floor = e->revision;
		strmap_del(&s->by_key, e->key);
		entry_free(e);
	}
	s->n = n;
	s->ndeleted = 0;
}

/* Up to the own revision everything is known: a word that holds for an earlier
 * one can tell nothing new of that time, not even of keys that are not known
 * here, which are gone. */
static bool is_past(const fleet_state_t *s, const fleet_item_t *it,
		    uint64_t as_of)
{
	return as_of < s->revision && it->revision <= s->revision;
}

void fleet_state_take(fleet_state_t *s, const fleet_item_t *it, uint64_t as_of)
{
	entry_t *e;

	if (is_past(s, it, as_of))
		return;
	/* A deletion of what is not known is still told to others. */
	if (it->deleted && it->revision <= s->floor)
		return;
	e = entry_get(s, it->key);
	if (e->revision >= it->revision)
		return;
	e->revision = it->revision;
	if (it->deleted && !e->deleted && ++s->ndeleted > MAX_DELETED)
		drop_deleted(s);
	e = entry_get(s, it->key);
	e->revision = it->revision;
	e->deleted = it->deleted;
	str_free(e->value);
	e->value = str_dup(it->value);
	s->changed(s->arg, it);
}

static void unmark(fleet_state_t *s, unsigned mark)
{
	size_t i;

	for (i = 0; i < s->n; i++)
		s->v[i]->marks &= ~mark;
}

static void take_marked(fleet_state_t *s, const fleet_item_t *it,
			uint64_t as_of, unsigned mark)
{
	entry_t *e;

	fleet_state_take(s, it, as_of);
	e = strmap_get(&s->by_key, it->key);
	/* A deletion may be older than a life in between that was missed. */
	if (e && !it->deleted)
		e->marks |= mark;
}

/* A whole ends: what it does not name was deleted by its revision. */
static void delete_unmarked(fleet_state_t *s, uint64_t revision, unsigned mark)
{
	fleet_item_t it = { .deleted = true, .revision = revision };
	entry_t *e;
	size_t i;

	/* One from before a key's last change tells nothing of it. */
	for (i = 0; i < s->n; i++) {
		e = s->v[i];
		if (e->marks & mark || e->deleted || e->revision >= revision)
			continue;
		it.key = e->key;
		e->revision = revision;
		e->deleted = true;
		str_free(e->value);
		e->value = (str_t){ 0 };
		s->ndeleted++;
		s->changed(s->arg, &it);
	}
	/* It names no key that came and went since the last one. */
	if (revision > s->revision && revision > s->floor)
		s->floor = revision;
	fleet_state_reached(s, revision);
}

void fleet_state_list_begin(fleet_state_t *s)
{
	s->list_as_of = UINT64_MAX;
	unmark(s, MARK_LISTED);
}

void fleet_state_list_page(fleet_state_t *s, uint64_t as_of)
{
	s->page_as_of = as_of;
	if (as_of < s->list_as_of)
		s->list_as_of = as_of;
}

void fleet_state_list_take(fleet_state_t *s, const fleet_item_t *it)
{
	take_marked(s, it, s->page_as_of, MARK_LISTED);
}

void fleet_state_list_end(fleet_state_t *s)
{
	delete_unmarked(s, s->list_as_of, MARK_LISTED);
}

void fleet_state_reached(fleet_state_t *s, uint64_t revision)
{
	if (revision > s->revision)
		s->revision = revision;
}

void fleet_state_told(fleet_state_t *s, const fleet_msg_t *m)
{
	uint64_t known = s->revision;
	size_t i;

	if (m->whole)
		unmark(s, MARK_TOLD);
	for (i = 0; i < m->nitems; i++)
		take_marked(s, &m->items[i], m->revision, MARK_TOLD);
	if (m->whole)
		delete_unmarked(s, m->revision, MARK_TOLD);
	else if (m->since <= known)
		fleet_state_reached(s, m->revision);
}

void fleet_state_since(const fleet_state_t *s, fleet_msg_t *m, arena_t *mem)
{
	size_t n = 0, i;

	/* Deletions that are not known here: all that is left must be told. */
	m->whole = m->since == 0 || m->since < s->floor;
	for (i = 0; i < s->n; i++)
		n += m->whole || s->v[i]->revision > m->since;
	m->items = arena_alloc(mem, n * sizeof(*m->items));
	m->nitems = 0;
	for (i = 0; i < s->n; i++) {
		const entry_t *e = s->v[i];

		if (m->whole || e->revision > m->since)
			m->items[m->nitems++] =
				(fleet_item_t){ e->key, e->value, e->revision,
						e->deleted };
	}
}
