/** @file edge_state.c Applies changes of published state, key by key. */
#include "libedge.h"

static void log_bad_item(const fleet_item_t *it, const char *fault)
{
	char key[160], text[OUTSIDE_FAULT_MAX * 2];

	log_json(G_LOG_LEVEL_WARNING, "bad published item",
		 "\"key\":%s,\"revision\":%llu,\"fault\":%s",
		 log_quote(key, sizeof(key), it->key),
		 (unsigned long long)fleet_revision_number(it->revision),
		 log_quote(text, sizeof(text), str_of(fault)));
}

static void apply_config(edge_t *e, const fleet_item_t *it)
{
	char fault[OUTSIDE_FAULT_MAX] = "";
	usec_t began = clock_now();
	rt_conf_t *c;

	/* The last configuration stays in force when the key is deleted. */
	if (it->deleted)
		return;
	c = e->protocol->read_config(it->value, fault);
	if (!c) {
		log_bad_item(it, fault);
		return;
	}
	log_json(G_LOG_LEVEL_INFO, "configuration read",
		 "\"version\":%llu,\"revision\":%llu,\"bytes\":%zu,"
		 "\"us\":%lld",
		 (unsigned long long)c->revision,
		 (unsigned long long)fleet_revision_number(it->revision),
		 it->value.sz, (long long)(clock_now() - began));
	rt_set_conf(e->rt, c, clock_now());
}

static void apply_server(edge_t *e, const fleet_item_t *it, str_t id,
			 arena_t *mem)
{
	char fault[OUTSIDE_FAULT_MAX] = "";
	rt_entry_t entry;

	if (!outside_is_server_id(id)) {
		log_bad_item(it, "the server's id has other characters than "
				 "printable ASCII");
	} else if (it->deleted) {
		rt_server_removed(e->rt, id, clock_now());
	} else if (e->protocol->read_server(id, it->value, &entry, mem,
					    fault)) {
		rt_server_published(e->rt, &entry, clock_now());
	} else {
		log_bad_item(it, fault);
		rt_server_removed(e->rt, id, clock_now());
	}
}

static void apply_evacuation(edge_t *e, const fleet_item_t *it, str_t dc)
{
	char fault[OUTSIDE_FAULT_MAX] = "";

	if (!it->deleted && !e->protocol->check_evacuation(it->value, fault))
		log_bad_item(it, fault);
	else
		rt_set_evacuated(e->rt, dc, !it->deleted, clock_now());
}

static void on_changed(void *arg, const fleet_item_t *it)
{
	arena_t mem = { 0 };
	str_t id = STR("");
	edge_t *e = arg;
	outside_kind_t kind = e->protocol->kind(it->key, &id);

	if (kind == OUTSIDE_CONFIG)
		apply_config(e, it);
	if (kind == OUTSIDE_SERVER)
		apply_server(e, it, id, &mem);
	if (kind == OUTSIDE_EVACUATE)
		apply_evacuation(e, it, id);
	arena_free(&mem);
}

fleet_state_t *edge_state_new(edge_t *e)
{
	return fleet_state_new(on_changed, e);
}

unsigned long long edge_state_number(const edge_t *e)
{
	return fleet_revision_number(fleet_state_revision(e->state));
}
