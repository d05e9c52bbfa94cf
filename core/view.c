/**
 * @file view.c
 * Puts a configuration into force; keeps old ones while queries use them.
 */
#include <stdio.h>
#include <stdlib.h>

#include "libcore.h"

#define GROUP_KEY_MAX (2 * CONF_MAX_NAME + 16)

static svc_state_t *state_get(core_t *c, str_t name)
{
	conf_state_t *b = &c->state.conf;
	svc_state_t *s = strmap_get(&b->by_service, name);

	if (s)
		return s;
	s = xcalloc(1, sizeof(*s));
	s->name = str_dup(name);
	s->retry.tokens = BUDGET_BURST;
	s->hedge.tokens = BUDGET_BURST;
	b->states = xrealloc(b->states, (b->nstates + 1) * sizeof(s));
	b->states[b->nstates++] = s;
	strmap_put(&b->by_service, s->name, s);
	return s;
}

static str_t group_key(const conf_service_t *s, const conf_group_t *cg,
		       char buf[GROUP_KEY_MAX])
{
	int n = snprintf(buf, GROUP_KEY_MAX, "%.*s/%u/%.*s", STR_ARG(s->name),
			 s->map_version, STR_ARG(cg->name));

	return (str_t){ buf, (size_t)n };
}

static group_t *group_get(core_t *c, const conf_service_t *s,
			  const conf_group_t *cg)
{
	conf_state_t *b = &c->state.conf;
	char buf[GROUP_KEY_MAX];
	str_t key = group_key(s, cg, buf);
	group_t *g = strmap_get(&b->by_key, key);

	if (g)
		return g;
	g = xcalloc(1, sizeof(*g));
	g->key = str_dup(key);
	g->service = str_dup(s->name);
	g->name = str_dup(cg->name);
	g->map_version = s->map_version;
	if (b->ngroups == b->group_capacity) {
		b->group_capacity =
			b->group_capacity ? b->group_capacity * 2 : 64;
		b->groups = xrealloc(b->groups, b->group_capacity * sizeof(g));
	}
	g->index = b->ngroups;
	b->groups[b->ngroups++] = g;
	strmap_put(&b->by_key, g->key, g);
	return g;
}

static void group_free(group_t *g)
{
	str_free(g->key);
	str_free(g->service);
	str_free(g->name);
	free(g->latency);
	free(g->ups);
	free(g);
}

static void group_unref(core_t *c, group_t *g)
{
	conf_state_t *b = &c->state.conf;
	size_t i;

	if (--g->refs)
		return;
	for (i = 0; i < g->nups; i++)
		if (g->ups[i]->group == g)
			g->ups[i]->group = NULL;
	strmap_del(&b->by_key, g->key);
	b->groups[g->index] = b->groups[--b->ngroups];
	b->groups[g->index]->index = g->index;
	group_free(g);
}

static void set_servers(core_t *c, const conf_service_t *s,
			const conf_group_t *cg, group_t *g,
			unsigned max_connections)
{
	upstream_t *u;
	size_t i;

	free(g->ups);
	g->nups = cg->nservers;
	g->ups = xcalloc(g->nups, sizeof(u));
	for (i = 0; i < g->nups; i++) {
		u = upstream_get(c, cg->servers[i].addr);
		if (!str_eq(u->dc, cg->servers[i].dc)) {
			str_free(u->dc);
			u->dc = str_dup(cg->servers[i].dc);
		}
		u->same_dc = str_eq(u->dc, c->dc);
		u->group = g;
		u->max_connections = max_connections;
		if (u->slots == 0)
			u->slots = s->slots;
		if (u->limit < UPSTREAM_MIN_LIMIT)
			u->limit = max_connections < s->slots ? max_connections
							      : s->slots;
		if (u->broad_limit < UPSTREAM_MIN_LIMIT)
			u->broad_limit = u->limit;
		g->ups[i] = u;
	}
}

static view_t *view_new(core_t *c, conf_t *conf)
{
	view_t *v = xcalloc(1, sizeof(*v));
	size_t i, j;

	v->conf = conf;
	v->refs = 1;
	v->nsvcs = conf->nservices;
	v->svcs = xcalloc(v->nsvcs, sizeof(*v->svcs));
	for (i = 0; i < v->nsvcs; i++) {
		const conf_service_t *s = &conf->services[i];
		svc_t *svc = &v->svcs[i];

		svc->conf = s;
		svc->state = state_get(c, s->name);
		svc->ngroups = s->ngroups;
		svc->nblocks = (s->ngroups + HOLDER_BLOCK - 1) / HOLDER_BLOCK;
		svc->blocks = xcalloc(svc->nblocks, sizeof(*svc->blocks));
		svc->groups = xcalloc(s->ngroups, sizeof(*svc->groups));
		for (j = 0; j < s->ngroups; j++) {
			svc->groups[j] = group_get(c, s, &s->groups[j]);
			svc->groups[j]->refs++;
		}
	}
	return v;
}

void view_unref(core_t *c, view_t *v)
{
	size_t i, j;

	if (--v->refs)
		return;
	for (i = 0; i < v->nsvcs; i++) {
		for (j = 0; j < v->svcs[i].ngroups; j++)
			group_unref(c, v->svcs[i].groups[j]);
		free(v->svcs[i].groups);
		free(v->svcs[i].blocks);
	}
	arena_free(&v->holder_mem);
	if (c->acts)
		act_add(c, ACT_CONF_RELEASE)->conf = v->conf;
	free(v->svcs);
	free(v);
}

void view_unref_later(core_t *c, view_t *v)
{
	c->old_views = xrealloc(c->old_views,
				(c->nold_views + 1) * sizeof(*c->old_views));
	c->old_views[c->nold_views++] = v;
}

/* Sets the size of every connection pool; size 0 closes a pool. */
static void set_pools(core_t *c)
{
	upstreams_state_t *b = &c->state.upstreams;
	act_t *a;
	size_t i;

	for (i = 0; i < b->n; i++) {
		a = act_add(c, ACT_SET_CONNECTIONS);
		a->connections.addr = b->v[i]->addr;
		a->connections.max = b->v[i]->max_connections;
	}
}

/* Restarts shards that wait for a group that is now held elsewhere. */
static void restart_waiting(core_t *c, group_t *g, usec_t now)
{
	shard_t *sh;

	while ((sh = g->head)) {
		queue_remove(sh);
		shard_start(c, sh, WHY_RETRY, now);
	}
}

/* Sets the servers of groups held here; frees those of other groups. */
static void set_groups(core_t *c, const view_t *v, const svc_t *s, usec_t now)
{
	unsigned max_connections = conf_daemon_connections(v->conf, s->conf);
	group_t *g;
	size_t i;

	for (i = 0; i < s->ngroups; i++) {
		g = s->groups[i];
		if (holder_is_self(s, i)) {
			set_servers(c, s->conf, &s->conf->groups[i], g,
				    max_connections);
			continue;
		}
		free(g->ups);
		g->ups = NULL;
		g->nups = 0;
		if (g->nwaiting)
			restart_waiting(c, g, now);
	}
}

void view_holders(core_t *c, usec_t now)
{
	view_t *v = c->state.conf.view;
	size_t i;

	if (!v)
		return;
	for (i = 0; i < c->state.upstreams.n; i++) {
		c->state.upstreams.v[i]->max_connections = 0;
		c->state.upstreams.v[i]->group = NULL;
	}
	holder_assign(c, v);
	for (i = 0; i < v->nsvcs; i++)
		set_groups(c, v, &v->svcs[i], now);
	set_pools(c);
	list_apply_leaving(c, now);
}

static bool group_has_evidence(const group_t *g)
{
	size_t i;

	for (i = 0; i < g->nups; i++)
		if (g->ups[i]->evidence.valid)
			return true;
	return g->nups == 0;
}

bool view_has_evidence(const core_t *c, usec_t now)
{
	const conf_state_t *b = &c->state.conf;
	size_t i, j;

	/* Groups that are down must not block readiness for the others. */
	if (now - b->adopted_at > START_WAIT_MAX)
		return true;
	for (i = 0; i < b->view->nsvcs; i++)
		for (j = 0; j < b->view->svcs[i].ngroups; j++)
			if (!group_has_evidence(b->view->svcs[i].groups[j]))
				return false;
	return true;
}

static bool refuse_conf(core_t *c, conf_t *conf)
{
	const view_t *v = c->state.conf.view;
	why_t why;

	if (!v || conf->revision > v->conf->revision)
		return false;
	why = conf->revision == v->conf->revision ? WHY_SAME_REVISION
						  : WHY_LOWER_REVISION;
	/* The first content of a revision stays in force; others are logged. */
	if (why == WHY_LOWER_REVISION || conf->hash != v->conf->hash)
		act_log(c, &(decision_line_t){ .decision = DEC_CONFIG,
					       .why = why,
					       .n = conf->revision });
	act_add(c, ACT_CONF_RELEASE)->conf = conf;
	return true;
}

void view_adopt(core_t *c, conf_t *conf, usec_t now)
{
	conf_state_t *b = &c->state.conf;
	view_t *old = b->view;

	if (refuse_conf(c, conf))
		return;
	b->view = view_new(c, conf);
	b->adopted_at = now;
	view_holders(c, now);
	act_add(c, ACT_CONF)->conf = conf;
	act_log(c, &(decision_line_t){ .decision = DEC_CONFIG,
				       .why = WHY_NEWER_REVISION,
				       .n = conf->revision });
	if (old)
		view_unref(c, old);
	peer_announce(c);
	queue_drain_all(c, now);
}

void view_free_all(core_t *c)
{
	conf_state_t *b = &c->state.conf;
	size_t i;

	c->acts = NULL;
	if (b->view) {
		conf_t *conf = b->view->conf;

		view_unref(c, b->view);
		conf_free(conf);
	}
	for (i = 0; i < b->nstates; i++) {
		str_free(b->states[i]->name);
		free(b->states[i]);
	}
	free(b->states);
	free(b->groups);
	strmap_free(&b->by_key);
	strmap_free(&b->by_service);
}
