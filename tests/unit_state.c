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
		const char *list; /* the own one */
		uint64_t list_at;
		const char *told;
		uint64_t told_at; /* the neighbour's revision */
		bool whole;
		int key; /* looked at */
		bool alive;
	} cases[] = {
		{ "b2", 5, "a1b2", 3, true, 0, false },
		{ "b2", 5, "a1", 3, false, 0, false },
		{ "b2", 5, "a4", 4, false, 0, false },
		{ "b2", 5, "c6", 6, false, 2, true },
		/* What comes after the list may begin before it is taken. */
		{ "b2", 5, "a1b2c6", 7, true, 2, true },
		{ "b2", 5, "b4", 4, false, 1, true },
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		holder_t *h = holder_new();

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

void unit_state(void)
{
	CU_pSuite s = CU_add_suite("state", NULL, NULL);

	CU_add_test(s, "a deletion from before a list",
		    test_deletion_before_list);
	CU_add_test(s, "a life that was missed", test_missed_life);
	CU_add_test(s, "a deletion that was watched", test_deletion_watched);
	CU_add_test(s, "a neighbour that is behind", test_told_of_the_past);
	CU_add_test(s, "pages and wholes between them", test_pages);
}
