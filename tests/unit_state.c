/**
 * @file unit_state.c
 * Tests of the replication of published state between daemons: a replica must
 * not report a revision before it has applied all deletions up to it.
 */
#include <CUnit/CUnit.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fleet.h"
#include "unit.h"

#define KEYS 8

/* A state, and the last change that it reported of each key ("a" to "h"). */
typedef struct replica {
	fleet_state_t *state;
	bool exists[KEYS];
	uint64_t revision[KEYS];
} replica_t;

static void on_changed(void *arg, const fleet_item_t *it)
{
	replica_t *rep = arg;
	int k = it->key.s[0] - 'a';

	rep->exists[k] = !it->deleted;
	rep->revision[k] = it->revision;
}

static replica_t *replica_new(void)
{
	replica_t *rep = xcalloc(1, sizeof(*rep));

	rep->state = fleet_state_new(on_changed, rep);
	return rep;
}

static void replica_free(replica_t *rep)
{
	fleet_state_free(rep->state);
	free(rep);
}

/* Applies a page of a list. keys has the letter of each key, followed by its
 * revision as one digit. */
static void apply_list_page(replica_t *rep, const char *keys, uint64_t revision)
{
	fleet_state_list_page(rep->state, revision);
	for (; *keys; keys += 2)
		fleet_state_list_apply(
			rep->state,
			&(fleet_item_t){ .key = { keys, 1 },
					 .revision =
						 (uint64_t)(keys[1] - '0') });
}

/* Applies a complete list of one page. */
static void apply_list(replica_t *rep, const char *keys, uint64_t revision)
{
	fleet_state_list_begin(rep->state);
	apply_list_page(rep, keys, revision);
	fleet_state_list_end(rep->state);
}

/* Applies a FLEET_STATE_UPDATE message; keys as for apply_list_page(). */
static void apply_msg(replica_t *rep, const char *keys, uint64_t revision,
		      bool complete)
{
	fleet_item_t items[KEYS] = { 0 };
	fleet_msg_t m = { .kind = FLEET_STATE_UPDATE, .items = items };

	m.complete = complete;
	m.revision = revision;
	for (; *keys; keys += 2)
		items[m.nitems++] =
			(fleet_item_t){ .key = { keys, 1 },
					.revision = (uint64_t)(keys[1] - '0') };
	fleet_state_apply_message(rep->state, &m);
}

/* Requests the changes from another replica and applies the reply. Returns
 * whether the reply was the complete state. */
static bool pull(replica_t *rep, replica_t *other)
{
	fleet_msg_t m = { .kind = FLEET_STATE_UPDATE };
	arena_t mem = { 0 };

	m.since_revision = fleet_state_revision(rep->state);
	m.revision = fleet_state_revision(other->state);
	fleet_state_changes_since(other->state, &m, &mem);
	fleet_state_apply_message(rep->state, &m);
	arena_free(&mem);
	return m.complete;
}

/*
 * A replica that listed the registry after the deletion of a key has no record
 * of the deletion. A request from a replica that still has the key must be
 * answered with the complete state. Occurs if a server leaves during a restart
 * of daemons.
 */
static void test_deletion_before_list(void)
{
	static const struct {
		const char *before; /* list of the requester, at revision 2 */
		const char *first;  /* first list of the other replica */
		uint64_t first_at;
		const char *second; /* its list after the registry lost its
				       history; NULL: none */
		uint64_t second_at;
		bool complete;
	} cases[] = {
		{ "a1b2", "b2", 3, NULL, 0, true },
		{ "a1b2", "b2", 9, NULL, 0, true },
		{ "a1b2", "a1b2", 2, "b2", 5, true },
		{ "a1b2", "a1b2", 2, "a1b2c3", 5, true },
		/* The requester cannot have missed a deletion. */
		{ "a1b2", "a1b2", 2, NULL, 0, false },
		{ "a1b2", "a1", 1, NULL, 0, false },
	};
	size_t i, k;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		replica_t *rep = replica_new(), *other = replica_new();

		apply_list(rep, cases[i].before, 2);
		apply_list(other, cases[i].first, cases[i].first_at);
		if (cases[i].second)
			apply_list(other, cases[i].second, cases[i].second_at);
		CU_ASSERT_EQUAL(pull(rep, other), cases[i].complete);
		for (k = 0; cases[i].complete && k < KEYS; k++)
			CU_ASSERT_EQUAL(rep->exists[k], other->exists[k]);
		replica_free(rep);
		replica_free(other);
	}
}

/*
 * A server leaves, returns under the same id and leaves again. A replica that
 * missed the return has only the first deletion; its complete state must still
 * delete the key on others.
 */
static void test_missed_creation(void)
{
	replica_t *rep = replica_new(), *other = replica_new();

	apply_list(other, "a1b2", 2);
	apply_list(other, "b2", 3);
	apply_list(rep, "a4b2", 4);
	apply_list(other, "b2", 6);
	CU_ASSERT_TRUE(pull(rep, other));
	CU_ASSERT_FALSE(rep->exists[0]);
	CU_ASSERT_TRUE(rep->exists[1]);
	replica_free(rep);
	replica_free(other);
}

/* A deletion that was received as a change is sent as a change; the complete
 * state is not needed. */
static void test_deletion_as_change(void)
{
	fleet_item_t deletion = { .key = STR("a"),
				  .revision = 4,
				  .deleted = true };
	replica_t *rep = replica_new(), *other = replica_new();

	apply_list(rep, "a1b2", 2);
	apply_list(other, "a1b2", 2);
	fleet_state_apply(other->state, &deletion, 4);
	fleet_state_advance(other->state, 4);
	CU_ASSERT_FALSE(pull(rep, other));
	CU_ASSERT_FALSE(rep->exists[0]);
	CU_ASSERT_TRUE(rep->exists[1]);
	CU_ASSERT_EQUAL(fleet_state_revision(rep->state), 4);
	replica_free(rep);
	replica_free(other);
}

/*
 * A message from a daemon that is behind has a key that was deleted before this
 * replica listed the registry. The key must stay deleted, although the replica
 * has no record of it.
 */
static void test_outdated_msg(void)
{
	static const struct {
		const char *first; /* earlier list, at revision 2; NULL: none */
		const char *list;
		uint64_t list_at;
		const char *msg_keys;
		uint64_t msg_at; /* revision of the sender */
		int key;	 /* index of the key to check */
		bool complete;
		bool exists;
	} cases[] = {
		{ NULL, "b2", 5, "a1b2", 3, 0, true, false },
		{ NULL, "b2", 5, "a1", 3, 0, false, false },
		{ NULL, "b2", 5, "a4", 4, 0, false, false },
		{ NULL, "b2", 5, "c6", 6, 2, false, true },
		/* A change after the list is applied, also from a
		 * complete state. */
		{ NULL, "b2", 5, "a1b2c6", 7, 2, true, true },
		{ NULL, "b2", 5, "b4", 4, 1, false, true },
		/* Key a is created again at 4. The last list, without it, is
		 * from 5 or from 3. */
		{ "a1b2", "b2", 5, "a4", 4, 0, false, false },
		{ "a1b2", "b2", 3, "a4", 4, 0, false, true },
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		replica_t *rep = replica_new();

		if (cases[i].first) {
			apply_list(rep, cases[i].first, 2);
			apply_list(rep, "b2", 3);
		}
		apply_list(rep, cases[i].list, cases[i].list_at);
		apply_msg(rep, cases[i].msg_keys, cases[i].msg_at,
			  cases[i].complete);
		CU_ASSERT_EQUAL(rep->exists[cases[i].key], cases[i].exists);
		CU_ASSERT_TRUE(rep->exists[1]);
		replica_free(rep);
	}
}

/*
 * The pages of a list may have different revisions, and a message with the
 * complete state may arrive between two pages. Keys in either must not be
 * deleted.
 */
static void test_pages(void)
{
	static const struct {
		const char *first;
		uint64_t first_at;
		const char *msg_keys; /* complete state; NULL: none */
		uint64_t msg_at;
		const char *second;
		uint64_t second_at;
		uint64_t revision; /* expected at the end */
		bool exists[KEYS];
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
		replica_t *rep = replica_new();

		fleet_state_list_begin(rep->state);
		apply_list_page(rep, cases[i].first, cases[i].first_at);
		if (cases[i].msg_keys)
			apply_msg(rep, cases[i].msg_keys, cases[i].msg_at,
				  true);
		apply_list_page(rep, cases[i].second, cases[i].second_at);
		fleet_state_list_end(rep->state);
		CU_ASSERT_EQUAL(fleet_state_revision(rep->state),
				cases[i].revision);
		for (k = 0; k < KEYS; k++)
			CU_ASSERT_EQUAL(rep->exists[k], cases[i].exists[k]);
		replica_free(rep);
	}
}

/*
 * Seeded random walks. The registry changes, loses its history and serves lists
 * page by page, some of them outdated. Daemons list, watch, restart and send
 * each other state with delays. At its revision a replica must have each key
 * that existed at that revision, and no other.
 */

#define WALKS 400
#define WALK_STEPS 400
#define REPLICAS 4
#define MAX_CHANGES 400
#define MAX_DELAYED 16
#define PAGE_KEYS (KEYS / 2)

/* One change of the registry; its revision is its index. */
typedef struct change {
	int key;
	bool deleted;
} change_t;

typedef struct delayed {
	fleet_msg_t m;
	arena_t mem;
	int to;
} delayed_t;

typedef struct walk {
	rng_t rng;
	change_t log[MAX_CHANGES];
	uint64_t revision;
	uint64_t history_start; /* changes before it cannot be watched */
	replica_t *replicas[REPLICAS];
	int page[REPLICAS]; /* next page of the list; -1: watching */
	delayed_t delayed[MAX_DELAYED];
	size_t ndelayed;
	unsigned mismatches;
} walk_t;

static const char *const names[KEYS] = {
	"a", "b", "c", "d", "e", "f", "g", "h"
};

/* Returns the last change of a key up to a revision; 0: none. */
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
	bool exists = last && !w->log[last].deleted;

	if (w->revision + 1 == MAX_CHANGES)
		return;
	w->log[++w->revision] =
		(change_t){ key, exists && rng_below(&w->rng, 2) };
}

/* Reads a page of a list, which may be up to four revisions old. */
static void walk_page(walk_t *w, int i)
{
	fleet_state_t *s = w->replicas[i]->state;
	uint64_t at = w->revision -
		      rng_below(&w->rng, w->revision < 5 ? w->revision : 5);
	int first = w->page[i] * PAGE_KEYS, key;

	/* Only the first list of a replica may be outdated. */
	if (fleet_state_revision(s) > 0)
		at = w->revision;
	if (first == 0)
		fleet_state_list_begin(s);
	fleet_state_list_page(s, at);
	for (key = first; key < first + PAGE_KEYS; key++) {
		fleet_item_t it = { .key = str_of(names[key]) };

		it.revision = last_change(w, key, at);
		if (it.revision && !w->log[it.revision].deleted)
			fleet_state_list_apply(s, &it);
	}
	if (++w->page[i] * PAGE_KEYS < KEYS)
		return;
	fleet_state_list_end(s);
	w->page[i] = -1;
}

static void walk_watch(walk_t *w, int i)
{
	fleet_state_t *s = w->replicas[i]->state;
	uint64_t r = fleet_state_revision(s);

	if (r < w->history_start) {
		w->page[i] = 0;
		return;
	}
	while (++r <= w->revision) {
		fleet_item_t it = { .revision = r };

		it.key = str_of(names[w->log[r].key]);
		it.deleted = w->log[r].deleted;
		fleet_state_apply(s, &it, w->revision);
	}
	fleet_state_advance(s, w->revision);
}

/* Sends the changes after a revision; the message is delivered later. */
static void walk_send(walk_t *w, int from, int to)
{
	fleet_state_t *s = w->replicas[from]->state;
	delayed_t *l = &w->delayed[w->ndelayed];

	if (w->ndelayed == MAX_DELAYED)
		return;
	w->ndelayed++;
	*l = (delayed_t){ .to = to, .m = { .kind = FLEET_STATE_UPDATE } };
	l->m.since_revision = fleet_state_revision(w->replicas[to]->state);
	l->m.revision = fleet_state_revision(s);
	/* A reader sends what it has just read; the revision of the receiver
	 * is not considered. */
	if (l->m.since_revision > l->m.revision || rng_below(&w->rng, 3) == 0)
		l->m.since_revision = rng_below(&w->rng, l->m.revision + 1);
	fleet_state_changes_since(s, &l->m, &l->mem);
	/* The strings are borrowed from the state, which may change. */
	for (size_t i = 0; i < l->m.nitems; i++)
		l->m.items[i].key = str_of(names[l->m.items[i].key.s[0] - 'a']);
}

static void walk_deliver(walk_t *w)
{
	size_t i = rng_below(&w->rng, w->ndelayed);

	fleet_state_apply_message(w->replicas[w->delayed[i].to]->state,
				  &w->delayed[i].m);
	arena_free(&w->delayed[i].mem);
	w->delayed[i] = w->delayed[--w->ndelayed];
}

/* Whether a key was deleted after a revision. A replica may already know of it
 * from a later page of a list. */
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

	for (i = 0; i < REPLICAS; i++) {
		replica_t *rep = w->replicas[i];
		uint64_t r = fleet_state_revision(rep->state);

		for (key = 0; key < KEYS; key++) {
			uint64_t last = last_change(w, key, r);
			bool exists = last && !w->log[last].deleted;

			/* A replica may have changes above its revision. */
			if (rep->revision[key] > r ||
			    rep->exists[key] == exists ||
			    (exists && deleted_since(w, key, r)))
				continue;
			w->mismatches++;
		}
	}
}

static void walk_step(walk_t *w)
{
	int i = (int)rng_below(&w->rng, REPLICAS);
	int other = (i + 1 + (int)rng_below(&w->rng, REPLICAS - 1)) % REPLICAS;

	switch (rng_below(&w->rng, 12)) {
	case 0:
		w->history_start = w->revision;
		break;
	case 1:
		replica_free(w->replicas[i]);
		w->replicas[i] = replica_new();
		w->page[i] = 0;
		break;
	case 2:
	case 3:
		walk_change(w);
		break;
	case 4:
	case 5:
		walk_send(w, i, other);
		break;
	case 6:
	case 7:
		if (w->ndelayed)
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
		for (i = 0; i < REPLICAS; i++)
			w->replicas[i] = replica_new();
		walk_change(w);
		for (i = 0; i < WALK_STEPS && !w->mismatches; i++)
			walk_step(w);
		if (w->mismatches)
			fprintf(stderr,
				"  walk %llu: wrong state after step %d\n",
				(unsigned long long)seed, i);
		CU_ASSERT_EQUAL(w->mismatches, 0);
		while (w->ndelayed)
			walk_deliver(w);
		for (i = 0; i < REPLICAS; i++)
			replica_free(w->replicas[i]);
		free(w);
	}
}

void unit_state(void)
{
	CU_pSuite s = CU_add_suite("state", NULL, NULL);

	CU_add_test(s, "deletion before a list", test_deletion_before_list);
	CU_add_test(s, "missed creation between two deletions",
		    test_missed_creation);
	CU_add_test(s, "deletion received as a change",
		    test_deletion_as_change);
	CU_add_test(s, "message from a daemon that is behind",
		    test_outdated_msg);
	CU_add_test(s, "complete state between pages of a list", test_pages);
	CU_add_test(s, "random walks", test_walks);
}
