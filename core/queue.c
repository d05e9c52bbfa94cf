/**
 * @file queue.c
 * Queues of shards that wait for a server of their group: urgent ones first,
 * then by deadline. The server is chosen when one has room.
 */
#include "libcore.h"

static bool precedes(const shard_t *a, const shard_t *b)
{
	conf_kind_t ka = a->q->class->kind;
	conf_kind_t kb = b->q->class->kind;

	if (ka != kb)
		return ka == CONF_URGENT;
	return a->q->deadline < b->q->deadline;
}

void queue_push(shard_t *sh)
{
	group_t *g = sh->group;
	shard_t *at = g->tail;

	while (at && precedes(sh, at))
		at = at->prev;
	sh->prev = at;
	sh->next = at ? at->next : g->head;
	if (sh->next)
		sh->next->prev = sh;
	else
		g->tail = sh;
	if (at)
		at->next = sh;
	else
		g->head = sh;
	g->nwaiting++;
	sh->state = SH_WAITING;
}

void queue_remove(shard_t *sh)
{
	group_t *g = sh->group;

	if (sh->prev)
		sh->prev->next = sh->next;
	else
		g->head = sh->next;
	if (sh->next)
		sh->next->prev = sh->prev;
	else
		g->tail = sh->prev;
	sh->prev = NULL;
	sh->next = NULL;
	g->nwaiting--;
	sh->state = SH_IDLE;
}

static bool group_has_room(core_t *c, const group_t *g, bool urgent, usec_t now)
{
	size_t i;

	for (i = 0; i < g->nups; i++)
		if (upstream_usable(c, g->ups[i], now) &&
		    upstream_has_room(g->ups[i], urgent))
			return true;
	return false;
}

void queue_drain(core_t *c, group_t *g, usec_t now)
{
	size_t n = g->nwaiting;
	shard_t *sh;

	/* Starts each at most once: a shard without a server queues again. */
	while (n-- && (sh = g->head)) {
		if (!group_has_room(c, g, sh->q->class->kind == CONF_URGENT,
				    now))
			return;
		queue_remove(sh);
		shard_start(c, sh, WHY_CHOSEN, now);
	}
}

void queue_drain_all(core_t *c, usec_t now)
{
	conf_state_t *b = &c->state.conf;
	size_t i;

	for (i = 0; i < b->ngroups; i++)
		if (b->groups[i]->nwaiting)
			queue_drain(c, b->groups[i], now);
}
