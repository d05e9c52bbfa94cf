/**
 * @file unit_state.c
 * Tests of what daemons tell each other of published state: nobody takes a
 * revision as reached without all deletions up to it.
 */
#include <CUnit/CUnit.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fleet.h"
#include "unit.h"

#define KEYS 8

/* A state, and what it told of each key ("a" to "h"). */
typedef struct holder {
	fleet_state_t *state;
	bool alive[KEYS];
	uint64_t revision[KEYS];
} holder_t;

static void on_changed(void *arg, const fleet_item_t *it)
{
	holder_t *h = arg;
	int k = it->key.s[0] - 'a';

	h->alive[k] = !it->deleted;
	h->revision[k] = it->revision;
}

static holder_t *holder_new(void)
{
	holder_t *h = xcalloc(1, sizeof(*h));

	h->state = fleet_state_new(on_changed, h);
	return h;
}

static void holder_free(holder_t *h)
{
	fleet_state_free(h->state);
	free(h);
}

/* Takes a page of a list: letters of the keys, each with its revision as a
 * digit after it. */
static void list_page(holder_t *h, const char *keys, uint64_t revision)
{
	fleet_state_list_page(h->state, revision);
	for (; *keys; keys += 2)
		fleet_state_list_take(
			h->state,
			&(fleet_item_t){ .key = { keys, 1 },
					 .revision =
						 (uint64_t)(keys[1] - '0') });
}

/* Takes a registry's list of one page. */
static void list(holder_t *h, const char *keys, uint64_t revision)
{
	fleet_state_list_begin(h->state);
	list_page(h, keys, revision);
	fleet_state_list_end(h->state);
}

/* Takes a neighbour's word of keys, written as for list(). */
static void tell(holder_t *h, const char *keys, uint64_t revision, bool whole)
{
	fleet_item_t items[KEYS] = { 0 };
	fleet_msg_t m = { .kind = FLEET_STATE, .items = items };

	m.whole = whole;
	m.revision = revision;
	for (; *keys; keys += 2)
		items[m.nitems++] =
			(fleet_item_t){ .key = { keys, 1 },
					.revision = (uint64_t)(keys[1] - '0') };
	fleet_state_told(h->state, &m);
}

/* One asks the other, and takes the answer; tells whether it was whole. */
static bool ask(holder_t *h, holder_t *other)
{
	fleet_msg_t m = { .kind = FLEET_STATE };
	arena_t mem = { 0 };

	m.since = fleet_state_revision(h->state);
	m.revision = fleet_state_revision(other->state);
	fleet_state_since(other->state, &m, &mem);
	fleet_state_told(h->state, &m);
	arena_free(&mem);
	return m.whole;
}

/*
 * A server leaves while daemons restart: one that lists the registry after
 * the removal knows no deletion of it, and is asked by one from before.
 */
static void test_deletion_before_list(void)
{
	static const struct {
		const char *before; /* of the one who asks, at revision 2 */
		const char *first;  /* lists of the one who is asked */
		uint64_t first_at;
		const char *second; /* after lost history; NULL: none */
		uint64_t second_at;
		bool whole;
	} cases[] = {
		{ "a1b2", "b2", 3, NULL, 0, true },
		{ "a1b2", "b2", 9, NULL, 0, true },
		{ "a1b2", "a1b2", 2, "b2", 5, true },
		{ "a1b2", "a1b2", 2, "a1b2c3", 5, true },
		/* Nothing can have been deleted behind the one who asks. */
		{ "a1b2", "a1b2", 2, NULL, 0, false },
		{ "a1b2", "a1", 1, NULL, 0, false },
	};
	size_t i, k;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		holder_t *h = holder_new(), *other = holder_new();

		list(h, cases[i].before, 2);
		list(other, cases[i].first, cases[i].first_at);
		if (cases[i].second)
			list(other, cases[i].second, cases[i].second_at);
		CU_ASSERT_EQUAL(ask(h, other), cases[i].whole);
		for (k = 0; cases[i].whole && k < KEYS; k++)
			CU_ASSERT_EQUAL(h->alive[k], other->alive[k]);
		holder_free(h);
		holder_free(other);
	}
}

/*
 * A server leaves, comes back under its id and leaves again; one who missed the
 * life in between tells of the first deletion only, in a whole.
 */
static void test_missed_life(void)
{
	holder_t *h = holder_new(), *other = holder_new();

	list(other, "a1b2", 2);
	list(other, "b2", 3);
	list(h, "a4b2", 4);
	list(other, "b2", 6);
	CU_ASSERT_TRUE(ask(h, other));
	CU_ASSERT_FALSE(h->alive[0]);
	CU_ASSERT_TRUE(h->alive[1]);
	holder_free(h);
	holder_free(other);
}

/* What was deleted while it was watched is told as such, not as a whole. */
static void test_deletion_watched(void)
{
	fleet_item_t gone = { .key = STR("a"), .revision = 4, .deleted = true };
	holder_t *h = holder_new(), *other = holder_new();

	list(h, "a1b2", 2);
	list(other, "a1b2", 2);
	fleet_state_take(other->state, &gone, 4);
	fleet_state_reached(other->state, 4);
	CU_ASSERT_FALSE(ask(h, other));
	CU_ASSERT_FALSE(h->alive[0]);
	CU_ASSERT_TRUE(h->alive[1]);
	CU_ASSERT_EQUAL(fleet_state_revision(h->state), 4);
	holder_free(h);
	holder_free(other);
}

/*
 * A neighbour that is behind tells of a server that left before this daemon
 * listed the registry: it is known to be gone, although nothing is known of it.
 */
static void test_told_of_the_past(void)
{
	static const struct {
		const char *first; /* an earlier list, at 2; NULL: none */
		const char *list;
		uint64_t list_at;
		const char *told;
		uint64_t told_at; /* the neighbour's revision */
		int key;	  /* looked at */
		bool whole;
		bool alive;
	} cases[] = {
		{ NULL, "b2", 5, "a1b2", 3, 0, true, false },
		{ NULL, "b2", 5, "a1", 3, 0, false, false },
		{ NULL, "b2", 5, "a4", 4, 0, false, false },
		{ NULL, "b2", 5, "c6", 6, 2, false, true },
		/* What comes after the list may begin before it is taken. */
		{ NULL, "b2", 5, "a1b2c6", 7, 2, true, true },
		{ NULL, "b2", 5, "b4", 4, 1, false, true },
		/* It came and went once more behind lists that lack it. */
		{ "a1b2", "b2", 5, "a4", 4, 0, false, false },
		{ "a1b2", "b2", 3, "a4", 4, 0, false, true },
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		holder_t *h = holder_new();

		if (cases[i].first) {
			list(h, cases[i].first, 2);
			list(h, "b2", 3);
		}
		list(h, cases[i].list, cases[i].list_at);
		tell(h, cases[i].told, cases[i].told_at, cases[i].whole);
		CU_ASSERT_EQUAL(h->alive[cases[i].key], cases[i].alive);
		CU_ASSERT_TRUE(h->alive[1]);
		holder_free(h);
	}
}

/*
 * A list is read page by page, each of its own age, and a neighbour's whole may
 * come between two pages: what either names lives.
 */
static void test_pages(void)
{
	static const struct {
		const char *first;
		uint64_t first_at;
		const char *told; /* whole; NULL: none */
		uint64_t told_at;
		const char *second;
		uint64_t second_at;
		uint64_t revision; /* known afterwards */
		bool alive[KEYS];
	} cases[] = {
		{ "a1", 5, NULL, 0, "e2", 7, 5, { [0] = true, [4] = true } },
		{ "a1", 5, NULL, 0, "e2", 3, 3, { [0] = true, [4] = true } },
		{ "a4", 5, "e2", 3, "e2", 5, 5, { [0] = true, [4] = true } },
		{ "a1",
		  5,
		  "a1b2e2",
		  3,
		  "e2",
		  5,
		  5,
		  { [0] = true, [4] = true } },
		{ "a1", 3, "a1e4", 4, "f3", 3, 4, { [0] = true, [4] = true } },
	};
	size_t i, k;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		holder_t *h = holder_new();

		fleet_state_list_begin(h->state);
		list_page(h, cases[i].first, cases[i].first_at);
		if (cases[i].told)
			tell(h, cases[i].told, cases[i].told_at, true);
		list_page(h, cases[i].second, cases[i].second_at);
		fleet_state_list_end(h->state);
		CU_ASSERT_EQUAL(fleet_state_revision(h->state),
				cases[i].revision);
		for (k = 0; k < KEYS; k++)
			CU_ASSERT_EQUAL(h->alive[k], cases[i].alive[k]);
		holder_free(h);
	}
}

/*
 * Seeded walks: a registry that changes, loses its history and answers lists
 * page by page, at times from the past; daemons that list, watch, restart, and
 * tell each other, late. A daemon that holds for a revision knows of each key
 * whether it lived then.
 */

#define WALKS 400
#define WALK_STEPS 400
#define HOLDERS 4
#define MAX_CHANGES 400
#define MAX_LATE 16
#define PAGE_KEYS (KEYS / 2)

/* One change of the registry; its revision is its index. */
typedef struct change {
	int key;
	bool deleted;
} change_t;

typedef struct late {
	fleet_msg_t m;
	arena_t mem;
	int to;
} late_t;

typedef struct walk {
	rng_t rng;
	change_t log[MAX_CHANGES];
	uint64_t revision;
	uint64_t lost; /* history before it is gone */
	holder_t *h[HOLDERS];
	int page[HOLDERS]; /* of a list; -1: none is read */
	late_t late[MAX_LATE];
	size_t nlate;
	unsigned faults;
} walk_t;

static const char *const names[KEYS] = {
	"a", "b", "c", "d", "e", "f", "g", "h"
};

/* The last change of a key up to a revision; 0: none. */
static uint64_t last_change(const walk_t *w, int key, uint64_t revision)
{
	for (; revision > 0 && w->log[revision].key != key; revision--)
		;
	return revision;
}

static void walk_change(walk_t *w)
{
	int key = (int)rng_below(&w->rng, KEYS);
	uint64_t last = last_change(w, key, w->revision);
	bool alive = last && !w->log[last].deleted;

	if (w->revision + 1 == MAX_CHANGES)
		return;
	w->log[++w->revision] =
		(change_t){ key, alive && rng_below(&w->rng, 2) };
}

/* One page of a list; it may be some revisions old. */
static void walk_page(walk_t *w, int i)
{
	fleet_state_t *s = w->h[i]->state;
	uint64_t at = w->revision -
		      rng_below(&w->rng, w->revision < 5 ? w->revision : 5);
	int first = w->page[i] * PAGE_KEYS, key;

	/* Only the first list may be served from the past. */
	if (fleet_state_revision(s) > 0)
		at = w->revision;
	if (first == 0)
		fleet_state_list_begin(s);
	fleet_state_list_page(s, at);
	for (key = first; key < first + PAGE_KEYS; key++) {
		fleet_item_t it = { .key = str_of(names[key]) };

		it.revision = last_change(w, key, at);
		if (it.revision && !w->log[it.revision].deleted)
			fleet_state_list_take(s, &it);
	}
	if (++w->page[i] * PAGE_KEYS < KEYS)
		return;
	fleet_state_list_end(s);
	w->page[i] = -1;
}

static void walk_watch(walk_t *w, int i)
{
	fleet_state_t *s = w->h[i]->state;
	uint64_t r = fleet_state_revision(s);

	if (r < w->lost) {
		w->page[i] = 0;
		return;
	}
	while (++r <= w->revision) {
		fleet_item_t it = { .revision = r };

		it.key = str_of(names[w->log[r].key]);
		it.deleted = w->log[r].deleted;
		fleet_state_take(s, &it, w->revision);
	}
	fleet_state_reached(s, w->revision);
}

/* One tells another what changed since a revision; it arrives later. */
static void walk_tell(walk_t *w, int from, int to)
{
	fleet_state_t *s = w->h[from]->state;
	late_t *l = &w->late[w->nlate];

	if (w->nlate == MAX_LATE)
		return;
	w->nlate++;
	*l = (late_t){ .to = to, .m = { .kind = FLEET_STATE } };
	l->m.since = fleet_state_revision(w->h[to]->state);
	l->m.revision = fleet_state_revision(s);
	/* A reader tells what it has just read, whoever hears it. */
	if (l->m.since > l->m.revision || rng_below(&w->rng, 3) == 0)
		l->m.since = rng_below(&w->rng, l->m.revision + 1);
	fleet_state_since(s, &l->m, &l->mem);
	/* Strings are borrowed from the state, which may change. */
	for (size_t i = 0; i < l->m.nitems; i++)
		l->m.items[i].key = str_of(names[l->m.items[i].key.s[0] - 'a']);
}

static void walk_deliver(walk_t *w)
{
	size_t i = rng_below(&w->rng, w->nlate);

	fleet_state_told(w->h[w->late[i].to]->state, &w->late[i].m);
	arena_free(&w->late[i].mem);
	w->late[i] = w->late[--w->nlate];
}

/* Whether a key was deleted since; a late page of a list may tell so early. */
static bool deleted_since(const walk_t *w, int key, uint64_t revision)
{
	for (; revision < w->revision; revision++)
		if (w->log[revision + 1].key == key &&
		    w->log[revision + 1].deleted)
			return true;
	return false;
}

static void walk_check(walk_t *w)
{
	int i, key;

	for (i = 0; i < HOLDERS; i++) {
		holder_t *h = w->h[i];
		uint64_t r = fleet_state_revision(h->state);

		for (key = 0; key < KEYS; key++) {
			uint64_t last = last_change(w, key, r);
			bool alive = last && !w->log[last].deleted;

			/* It may know more than it holds for. */
			if (h->revision[key] > r || h->alive[key] == alive ||
			    (alive && deleted_since(w, key, r)))
				continue;
			w->faults++;
		}
	}
}

static void walk_step(walk_t *w)
{
	int i = (int)rng_below(&w->rng, HOLDERS);
	int other = (i + 1 + (int)rng_below(&w->rng, HOLDERS - 1)) % HOLDERS;

	switch (rng_below(&w->rng, 12)) {
	case 0:
		w->lost = w->revision;
		break;
	case 1:
		holder_free(w->h[i]);
		w->h[i] = holder_new();
		w->page[i] = 0;
		break;
	case 2:
	case 3:
		walk_change(w);
		break;
	case 4:
	case 5:
		walk_tell(w, i, other);
		break;
	case 6:
	case 7:
		if (w->nlate)
			walk_deliver(w);
		break;
	default:
		if (w->page[i] >= 0)
			walk_page(w, i);
		else
			walk_watch(w, i);
	}
	walk_check(w);
}

static void test_walks(void)
{
	uint64_t seed;
	int i;

	for (seed = 1; seed <= WALKS; seed++) {
		walk_t *w = xcalloc(1, sizeof(*w));

		w->rng.state = seed;
		for (i = 0; i < HOLDERS; i++)
			w->h[i] = holder_new();
		walk_change(w);
		for (i = 0; i < WALK_STEPS && !w->faults; i++)
			walk_step(w);
		if (w->faults)
			fprintf(stderr, "  walk %llu: wrong after step %d\n",
				(unsigned long long)seed, i);
		CU_ASSERT_EQUAL(w->faults, 0);
		while (w->nlate)
			walk_deliver(w);
		for (i = 0; i < HOLDERS; i++)
			holder_free(w->h[i]);
		free(w);
	}
}

void unit_state(void)
{
	CU_pSuite s = CU_add_suite("state", NULL, NULL);

	CU_add_test(s, "a deletion from before a list",
		    test_deletion_before_list);
	CU_add_test(s, "a life that was missed", test_missed_life);
	CU_add_test(s, "a deletion that was watched", test_deletion_watched);
	CU_add_test(s, "a neighbour that is behind", test_told_of_the_past);
	CU_add_test(s, "pages and wholes between them", test_pages);
	CU_add_test(s, "walks", test_walks);
}
