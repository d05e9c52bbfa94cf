/** @file list.c The published list of hosts and the time it was confirmed. */
#include "libcore.h"

static void copy_list(list_state_t *b, const host_list_t *l)
{
	size_t i;

	arena_free(&b->mem);
	b->list = (host_list_t){ .version = l->version };
	b->list.ndaemons = l->ndaemons;
	b->list.daemons =
		arena_alloc(&b->mem, l->ndaemons * sizeof(*l->daemons));
	for (i = 0; i < l->ndaemons; i++) {
		listed_daemon_t *m = &b->list.daemons[i];

		m->name = arena_str(&b->mem, l->daemons[i].name);
		m->dc = arena_str(&b->mem, l->daemons[i].dc);
		m->peer = arena_str(&b->mem, l->daemons[i].peer);
		m->leaving = l->daemons[i].leaving;
		m->id = str_hash(m->name, 0);
	}
	b->list.nleaving_upstreams = l->nleaving_upstreams;
	b->list.leaving_upstreams = arena_alloc(
		&b->mem, l->nleaving_upstreams * sizeof(*l->leaving_upstreams));
	for (i = 0; i < l->nleaving_upstreams; i++)
		b->list.leaving_upstreams[i] =
			arena_str(&b->mem, l->leaving_upstreams[i]);
}

static void mark_confirmed(core_t *c, usec_t at)
{
	list_state_t *b = &c->state.list;

	if (at > b->confirmed_at)
		b->confirmed_at = at;
	b->platform_down = false;
	/* A list read before the pause may be as old as the pause. */
	if (at >= b->resumed_at)
		b->paused = false;
}

static bool listed_leaving(const list_state_t *b, str_t addr)
{
	size_t i;

	for (i = 0; i < b->list.nleaving_upstreams; i++)
		if (str_eq(b->list.leaving_upstreams[i], addr))
			return true;
	return false;
}

/* A server that the list no longer marks as leaving was restarted. */
static void clear_leaving(core_t *c)
{
	list_state_t *b = &c->state.list;
	size_t i;

	for (i = 0; i < c->state.upstreams.n; i++) {
		upstream_t *u = c->state.upstreams.v[i];

		if (u->leaving && !u->evidence.draining &&
		    !listed_leaving(b, u->addr))
			u->leaving = false;
	}
}

void list_apply_leaving(core_t *c, usec_t now)
{
	list_state_t *b = &c->state.list;
	upstream_t *u;
	size_t i;

	for (i = 0; i < b->list.nleaving_upstreams; i++) {
		u = upstream_find(c, b->list.leaving_upstreams[i]);
		if (u)
			upstream_leave(c, u, WHY_LEAVING, now);
	}
}

static void replace_list(core_t *c, const host_list_t *l, usec_t now)
{
	key_list_replaced(c, now);
	copy_list(&c->state.list, l);
	view_holders(c, now);
	peer_announce(c);
}

void list_update(core_t *c, const host_list_t *l, usec_t at, usec_t now)
{
	list_state_t *b = &c->state.list;

	/* An older list never replaces a newer one. */
	if (l->version < b->list.version)
		return;
	if (l->version > b->list.version)
		replace_list(c, l, now);
	mark_confirmed(c, at);
	list_apply_leaving(c, now);
	clear_leaving(c);
}

void list_confirm(core_t *c, uint64_t version, usec_t at)
{
	if (version == c->state.list.list.version)
		mark_confirmed(c, at);
}

void list_read_failed(core_t *c, usec_t at)
{
	/* A read that began before a pause may have failed because of it. */
	if (at >= c->state.list.resumed_at)
		c->state.list.platform_down = true;
}

void list_resumed(core_t *c, usec_t now)
{
	c->state.list.paused = true;
	c->state.list.platform_down = false;
	c->state.list.resumed_at = now;
}

void list_free(core_t *c)
{
	arena_free(&c->state.list.mem);
}
