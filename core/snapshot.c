/** @file snapshot.c Which snapshot a query is pinned to. */
#include "libcore.h"

#define MAX_SEEN 16

typedef struct seen {
	uint64_t snapshot;
	size_t groups; /* with a usable server that holds it */
	size_t last;   /* group that counted it last, plus one */
} seen_t;

static void note(seen_t *v, size_t *n, uint64_t snapshot, size_t group)
{
	size_t i;

	for (i = 0; i < *n && v[i].snapshot != snapshot; i++)
		;
	if (i == MAX_SEEN)
		return;
	if (i == *n)
		v[(*n)++] = (seen_t){ .snapshot = snapshot };
	if (v[i].last == group + 1)
		return;
	v[i].last = group + 1;
	v[i].groups++;
}

static void note_upstream(const upstream_t *u, uint32_t map, seen_t *v,
			  size_t *n, size_t group)
{
	size_t i;

	for (i = 0; u->evidence.valid && i < u->evidence.nheld; i++)
		if (u->evidence.held[i].map == map)
			note(v, n, u->evidence.held[i].snapshot, group);
}

static bool is_one_of(uint64_t x, const uint64_t *v, size_t n)
{
	while (n)
		if (v[--n] == x)
			return true;
	return false;
}

/* The one in most groups, and of those the newest; 0 if none is known. */
uint64_t snapshot_pin(const svc_t *s, group_t *const *groups, size_t ngroups,
		      const uint64_t *given_up, size_t ngiven_up)
{
	seen_t v[MAX_SEEN];
	const seen_t *best = NULL;
	size_t n = 0, i, j;

	for (i = 0; i < ngroups; i++)
		for (j = 0; j < groups[i]->nups; j++)
			if (upstream_alive(groups[i]->ups[j]))
				note_upstream(groups[i]->ups[j], s->conf->map,
					      v, &n, i);
	for (i = 0; i < n; i++) {
		if (is_one_of(v[i].snapshot, given_up, ngiven_up))
			continue;
		if (!best || v[i].groups > best->groups ||
		    (v[i].groups == best->groups &&
		     v[i].snapshot > best->snapshot))
			best = &v[i];
	}
	return best ? best->snapshot : 0;
}
