/**
 * @file holder.c
 * Assigns holders to blocks of groups: the daemons with the highest scores of
 * a rendezvous hash over the published list.
 */
#include "libcore.h"

uint64_t holder_score(uint64_t id, uint64_t hash)
{
	rng_t r = { .state = id ^ hash };

	return rng_next(&r);
}

const listed_daemon_t *holder_of_hash(const host_list_t *l, uint64_t hash)
{
	const listed_daemon_t *best = NULL;
	uint64_t high = 0, score;
	size_t i;

	for (i = 0; i < l->ndaemons; i++) {
		if (l->daemons[i].leaving)
			continue;
		score = holder_score(l->daemons[i].id, hash);
		if (!best || score > high) {
			best = &l->daemons[i];
			high = score;
		}
	}
	return best;
}

/* Finds the k highest scores of the list, by insertion sort. */
static size_t best_of(const host_list_t *l, uint64_t hash, size_t k,
		      const listed_daemon_t **best)
{
	uint64_t scores[HOLDERS_MAX];
	uint64_t score;
	size_t n = 0, i, j;

	for (i = 0; i < l->ndaemons; i++) {
		if (l->daemons[i].leaving)
			continue;
		score = holder_score(l->daemons[i].id, hash);
		if (n == k && score <= scores[n - 1])
			continue;
		if (n < k)
			n++;
		for (j = n - 1; j > 0 && scores[j - 1] < score; j--) {
			scores[j] = scores[j - 1];
			best[j] = best[j - 1];
		}
		scores[j] = score;
		best[j] = &l->daemons[i];
	}
	return n;
}

static void assign_block(core_t *c, view_t *v, svc_t *s, size_t b)
{
	const listed_daemon_t *best[HOLDERS_MAX];
	block_t *block = &s->blocks[b];
	size_t k = s->conf->holders;
	size_t n, i;

	*block = (block_t){ 0 };
	/* With 0 (all) or at least HOLDERS_MAX holders, every daemon is one. */
	if (k == 0 || k >= HOLDERS_MAX) {
		block->held_here = true;
		return;
	}
	n = best_of(&c->state.list.list, str_hash(s->conf->name, b + 1), k,
		    best);
	for (i = 0; i < n; i++) {
		if (str_eq(best[i]->name, c->name)) {
			block->held_here = true;
			continue;
		}
		block->v[block->n++] = (holder_t){
			.addr = arena_str(&v->holder_mem, best[i]->peer),
			.same_dc = str_eq(best[i]->dc, c->dc),
		};
	}
}

void holder_assign(core_t *c, view_t *v)
{
	size_t i, b;
	svc_t *s;

	arena_free(&v->holder_mem);
	for (i = 0; i < v->nsvcs; i++) {
		s = &v->svcs[i];
		for (b = 0; b < s->nblocks; b++)
			assign_block(c, v, s, b);
	}
}

bool holder_is_self(const svc_t *s, size_t group)
{
	return s->blocks[group / HOLDER_BLOCK].held_here;
}
