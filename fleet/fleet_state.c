/**
 * @file fleet_state.c
 * Replica of the published state by key. The revision of each key's last
 * change prevents delayed or outdated data, from the registry or from another
 * daemon, from replacing newer data.
 */
#include <stdlib.h>

#include "fleet.h"

/* Deletions that are kept to report them to other daemons. */
#define MAX_TOMBSTONES 4096

/* Marks of the keys of a complete list or message. Both may be in progress at
 * once: a list is read page by page, and a message may arrive in between. */
#define MARK_IN_LIST 1u
#define MARK_IN_FULL_MSG 2u

typedef struct entry {
	str_t key;   /* owned */
	str_t value; /* owned */
	uint64_t revision;
	bool deleted;
	unsigned marks; /* MARK_*: the lists and messages that have the key */
} entry_t;

struct fleet_state {
	fleet_change_fn_t on_change;
	void *arg;
	entry_t **entries;
	size_t nentries;
	size_t capacity;
	size_t ntombstones;
	strmap_t by_key;
	uint64_t revision;
	uint64_t tombstone_floor; /* deletions up to this revision may be
				     unknown */
	uint64_t page_revision;	  /* of the current page of the list */
	uint64_t list_revision;	  /* lowest of the pages of the list */
};

uint64_t fleet_revision(uint64_t era, uint64_t number)
{
	return era << FLEET_REVISION_BITS | number;
}

uint64_t fleet_revision_era(uint64_t revision)
{
	return revision >> FLEET_REVISION_BITS;
}

uint64_t fleet_revision_number(uint64_t revision)
{
	return revision & (((uint64_t)1 << FLEET_REVISION_BITS) - 1);
}

fleet_state_t *fleet_state_new(fleet_change_fn_t fn, void *arg)
{
	fleet_state_t *s = xcalloc(1, sizeof(*s));

	s->on_change = fn;
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
	for (i = 0; i < s->nentries; i++)
		entry_free(s->entries[i]);
	free(s->entries);
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
	if (s->nentries == s->capacity) {
		s->capacity = s->capacity ? s->capacity * 2 : 64;
		s->entries =
			xrealloc(s->entries, s->capacity * sizeof(*s->entries));
	}
	s->entries[s->nentries++] = e;
	strmap_put(&s->by_key, e->key, e);
	return e;
}

static void drop_tombstones(fleet_state_t *s)
{
	size_t i, n = 0;

	for (i = 0; i < s->nentries; i++) {
		entry_t *e = s->entries[i];

		if (!e->deleted) {
			s->entries[n++] = e;
			continue;
		}
		if (e->revision > s->tombstone_floor)
			s->tombstone_floor = e->revision;
		strmap_del(&s->by_key, e->key);
		entry_free(e);
	}
	s->nentries = n;
	s->ntombstones = 0;
}

/* Returns whether an item from a source that is current as of a revision is
 * outdated. All changes up to the state's revision are applied: an older source
 * has nothing newer up to that revision, and a key that only it has was
 * deleted. */
static bool is_outdated(const fleet_state_t *s, const fleet_item_t *it,
			uint64_t as_of)
{
	return as_of < s->revision && it->revision <= s->revision;
}

void fleet_state_apply(fleet_state_t *s, const fleet_item_t *it, uint64_t as_of)
{
	entry_t *e;

	if (is_outdated(s, it, as_of))
		return;
	/* Deletions above tombstone_floor are kept to report them to other
	 * daemons, even if the key is unknown here. */
	if (it->deleted && it->revision <= s->tombstone_floor)
		return;
	e = entry_get(s, it->key);
	if (e->revision >= it->revision)
		return;
	e->revision = it->revision;
	if (it->deleted && !e->deleted && ++s->ntombstones > MAX_TOMBSTONES)
		drop_tombstones(s);
	e = entry_get(s, it->key);
	e->revision = it->revision;
	e->deleted = it->deleted;
	str_free(e->value);
	e->value = str_dup(it->value);
	s->on_change(s->arg, it);
}

static void clear_mark(fleet_state_t *s, unsigned mark)
{
	size_t i;

	for (i = 0; i < s->nentries; i++)
		s->entries[i]->marks &= ~mark;
}

static void apply_and_mark(fleet_state_t *s, const fleet_item_t *it,
			   uint64_t as_of, unsigned mark)
{
	entry_t *e;

	fleet_state_apply(s, it, as_of);
	e = strmap_get(&s->by_key, it->key);
	/* A deletion sets no mark: the sender may have missed that the key was
	 * created and deleted again later. */
	if (e && !it->deleted)
		e->marks |= mark;
}

/* Ends a complete list or message. A key that is not in it was deleted at its
 * revision or earlier. */
static void delete_unmarked(fleet_state_t *s, uint64_t revision, unsigned mark)
{
	fleet_item_t it = { .deleted = true, .revision = revision };
	entry_t *e;
	size_t i;

	/* If a key changed after the list was made, its absence from the list
	 * does not mean that it is deleted. */
	for (i = 0; i < s->nentries; i++) {
		e = s->entries[i];
		if (e->marks & mark || e->deleted || e->revision >= revision)
			continue;
		it.key = e->key;
		e->revision = revision;
		e->deleted = true;
		str_free(e->value);
		e->value = (str_t){ 0 };
		s->ntombstones++;
		s->on_change(s->arg, &it);
	}
	/* A key that was created and deleted between two lists is in neither:
	 * its deletion is unknown. */
	if (revision > s->revision && revision > s->tombstone_floor)
		s->tombstone_floor = revision;
	fleet_state_advance(s, revision);
}

void fleet_state_list_begin(fleet_state_t *s)
{
	s->list_revision = UINT64_MAX;
	clear_mark(s, MARK_IN_LIST);
}

void fleet_state_list_page(fleet_state_t *s, uint64_t as_of)
{
	s->page_revision = as_of;
	if (as_of < s->list_revision)
		s->list_revision = as_of;
}

void fleet_state_list_apply(fleet_state_t *s, const fleet_item_t *it)
{
	apply_and_mark(s, it, s->page_revision, MARK_IN_LIST);
}

void fleet_state_list_end(fleet_state_t *s)
{
	delete_unmarked(s, s->list_revision, MARK_IN_LIST);
}

void fleet_state_advance(fleet_state_t *s, uint64_t revision)
{
	if (revision > s->revision)
		s->revision = revision;
}

void fleet_state_apply_message(fleet_state_t *s, const fleet_msg_t *m)
{
	uint64_t known = s->revision;
	size_t i;

	if (m->complete)
		clear_mark(s, MARK_IN_FULL_MSG);
	for (i = 0; i < m->nitems; i++)
		apply_and_mark(s, &m->items[i], m->revision, MARK_IN_FULL_MSG);
	if (m->complete)
		delete_unmarked(s, m->revision, MARK_IN_FULL_MSG);
	else if (m->since_revision <= known)
		fleet_state_advance(s, m->revision);
}

void fleet_state_changes_since(const fleet_state_t *s, fleet_msg_t *m,
			       arena_t *mem)
{
	size_t n = 0, i;

	/* Some deletions are unknown here: the complete state is needed. */
	m->complete = m->since_revision == 0 ||
		      m->since_revision < s->tombstone_floor;
	for (i = 0; i < s->nentries; i++)
		n += m->complete || s->entries[i]->revision > m->since_revision;
	m->items = arena_alloc(mem, n * sizeof(*m->items));
	m->nitems = 0;
	for (i = 0; i < s->nentries; i++) {
		const entry_t *e = s->entries[i];

		if (m->complete || e->revision > m->since_revision)
			m->items[m->nitems++] =
				(fleet_item_t){ e->key, e->value, e->revision,
						e->deleted };
	}
}
