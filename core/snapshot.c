/** @file snapshot.c Chooses the snapshot of a query. */
#include "libcore.h"

#define MAX_SNAPSHOTS 16

typedef struct snapshot_count {
	uint64_t snapshot;
	size_t ngroups;	   /* number of groups that can serve it */
	size_t last_group; /* last group counted, plus one */
} snapshot_count_t;

static void count_snapshot(snapshot_count_t *v, size_t *n, uint64_t snapshot,
			   size_t group)
{
	size_t i;

	for (i = 0; i < *n && v[i].snapshot != snapshot; i++)
		;
	if (i == MAX_SNAPSHOTS)
		return;
	if (i == *n)
		v[(*n)++] = (snapshot_count_t){ .snapshot = snapshot };
	if (v[i].last_group == group + 1)
		return;
	v[i].last_group = group + 1;
	v[i].ngroups++;
}

static void count_held(const snapshot_ref_t *held, size_t nheld, uint32_t map,
		       snapshot_count_t *v, size_t *n, size_t group)
{
	size_t i;

	for (i = 0; i < nheld; i++)
		if (held[i].map_version == map)
			count_snapshot(v, n, held[i].snapshot, group);
}

/* Uses servers' evidence, or a holder's report for groups held elsewhere. */
static void count_group(const query_t *q, size_t i, snapshot_count_t *v,
			size_t *n)
{
	const group_t *g = q->shards[i].group;
	uint32_t map = q->svc->conf->map_version;
	const evidence_t *e;
	size_t j;

	if (!q->svc->blocks[q->shards[i].block].held_here) {
		count_held(g->held, g->nheld, map, v, n, i);
		return;
	}
	for (j = 0; j < g->nups; j++) {
		e = &g->ups[j]->evidence;
		if (e->valid && upstream_alive(g->ups[j]))
			count_held(e->held, e->nheld, map, v, n, i);
	}
}

static bool was_abandoned(const query_t *q, uint64_t snapshot)
{
	size_t i;

	for (i = 0; i < q->nabandoned; i++)
		if (q->abandoned[i] == snapshot)
			return true;
	return false;
}

/* The snapshot in the most groups, the newest of several; 0: none known. */
uint64_t snapshot_pin(const query_t *q)
{
	snapshot_count_t v[MAX_SNAPSHOTS];
	const snapshot_count_t *best = NULL;
	size_t n = 0, i;

	for (i = 0; i < q->nshards; i++)
		count_group(q, i, v, &n);
	for (i = 0; i < n; i++) {
		if (was_abandoned(q, v[i].snapshot))
			continue;
		if (!best || v[i].ngroups > best->ngroups ||
		    (v[i].ngroups == best->ngroups &&
		     v[i].snapshot > best->snapshot))
			best = &v[i];
	}
	return best ? best->snapshot : 0;
}
