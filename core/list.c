/** @file list.c The published list of hosts and how old our belief in it is. */
#include "libcore.h"

static void copy_list(board_list_t *b, const host_list_t *l)
{
	size_t i;

	arena_free(&b->mem);
	b->list = (host_list_t){ .version = l->version };
	b->list.ndaemons = l->ndaemons;
	b->list.daemons =
		arena_alloc(&b->mem, l->ndaemons * sizeof(*l->daemons));
	for (i = 0; i < l->ndaemons; i++) {
		member_t *m = &b->list.daemons[i];

		m->name = arena_str(&b->mem, l->daemons[i].name);
		m->dc = arena_str(&b->mem, l->daemons[i].dc);
		m->peer = arena_str(&b->mem, l->daemons[i].peer);
		m->leaving = l->daemons[i].leaving;
		m->id = str_hash(m->name, 0);
	}
	b->list.nleaving = l->nleaving;
	b->list.leaving =
		arena_alloc(&b->mem, l->nleaving * sizeof(*l->leaving));
	for (i = 0; i < l->nleaving; i++)
		b->list.leaving[i] = arena_str(&b->mem, l->leaving[i]);
}

static void confirm(core_t *c, usec_t at)
{
	board_list_t *b = &c->board.list;

	if (at > b->confirmed_at)
		b->confirmed_at = at;
	b->platform_down = false;
	/* A word from before the pause may have waited as long. */
	if (at >= b->woke_at)
		b->slept = false;
}

static bool listed_leaving(const board_list_t *b, str_t addr)
{
	size_t i;

	for (i = 0; i < b->list.nleaving; i++)
		if (str_eq(b->list.leaving[i], addr))
			return true;
	return false;
}

/* A server that the list no longer calls leaving is a new incarnation. */
static void return_to_work(core_t *c)
{
	board_list_t *b = &c->board.list;
	size_t i;

	for (i = 0; i < c->board.upstreams.n; i++) {
		upstream_t *u = c->board.upstreams.v[i];

		if (u->leaving && !u->evidence.draining &&
		    !listed_leaving(b, u->addr))
			u->leaving = false;
	}
}

void list_apply_leaving(core_t *c, usec_t now)
{
	board_list_t *b = &c->board.list;
	upstream_t *u;
	size_t i;

	for (i = 0; i < b->list.nleaving; i++) {
		u = upstream_find(c, b->list.leaving[i]);
		if (u)
			upstream_leave(c, u, WHY_LEAVING, now);
	}
}

static void replace(core_t *c, const host_list_t *l, usec_t now)
{
	key_list_changes(c, now);
	copy_list(&c->board.list, l);
	view_holders(c, now);
	peer_news(c);
}

void list_take(core_t *c, const host_list_t *l, usec_t at, usec_t now)
{
	board_list_t *b = &c->board.list;

	/* A list from the past never replaces a newer one. */
	if (l->version < b->list.version)
		return;
	if (l->version > b->list.version)
		replace(c, l, now);
	confirm(c, at);
	list_apply_leaving(c, now);
	return_to_work(c);
}

void list_same(core_t *c, uint64_t version, usec_t at)
{
	if (version == c->board.list.list.version)
		confirm(c, at);
}

void list_failed(core_t *c, usec_t at)
{
	/* A read that failed through a pause tells nothing. */
	if (at >= c->board.list.woke_at)
		c->board.list.platform_down = true;
}

void list_woke(core_t *c, usec_t now)
{
	c->board.list.slept = true;
	c->board.list.platform_down = false;
	c->board.list.woke_at = now;
}

void list_free(core_t *c)
{
	arena_free(&c->board.list.mem);
}
