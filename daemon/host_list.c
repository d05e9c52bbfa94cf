/**
 * @file host_list.c
 * Parses the published list of hosts. An entry that cannot be read is left out;
 * the others hold.
 */
#include "libdaemon.h"
#include "member.h"
#include "slice.h"

static bool read_daemon(str_t text, listed_daemon_t *d, arena_t *mem)
{
	json_t *o = member_load(text);
	char host[ADDR_HOST_MAX];
	str_t name, dc, peer;
	unsigned port;
	bool ok = member_str(o, "name", &name) && name.sz &&
		  member_str(o, "dc", &dc) && member_str(o, "peer", &peer) &&
		  addr_split(peer, host, &port);

	if (ok) {
		d->name = arena_str(mem, name);
		d->dc = arena_str(mem, dc);
		d->peer = arena_str(mem, peer);
		d->leaving = json_is_true(json_object_get(o, "leaving"));
	}
	json_decref(o);
	return ok;
}

static bool read_addr(str_t text, str_t *addr, arena_t *mem)
{
	json_t *o = member_load(text);
	char host[ADDR_HOST_MAX];
	unsigned port;
	bool ok;

	*addr = arena_str(mem, str_of(json_string_value(o)));
	ok = addr_split(*addr, host, &port);
	json_decref(o);
	return ok;
}

/* Begins a loop over an array member; a member that is missing or no array has
 * no elements. Returns their number. */
static size_t begin_array(str_t object, const char *key, str_t *rest)
{
	size_t n = 0;
	str_t array, copy, element;

	*rest = (str_t){ 0 };
	if (slice_member(object, key, &array))
		slice_array(array, rest);
	copy = *rest;
	while (slice_next(&copy, &element))
		n++;
	return n;
}

static size_t read_daemons(str_t list, host_list_t *l, arena_t *mem)
{
	str_t rest, element;
	size_t n = begin_array(list, "daemons", &rest);

	l->daemons = arena_alloc(mem, n * sizeof(*l->daemons));
	while (slice_next(&rest, &element))
		l->ndaemons +=
			read_daemon(element, &l->daemons[l->ndaemons], mem);
	return n - l->ndaemons;
}

static size_t read_leaving(str_t list, host_list_t *l, arena_t *mem)
{
	str_t rest, element;
	size_t n = begin_array(list, "leaving", &rest);

	l->leaving_upstreams =
		arena_alloc(mem, n * sizeof(*l->leaving_upstreams));
	while (slice_next(&rest, &element))
		l->nleaving_upstreams += read_addr(
			element, &l->leaving_upstreams[l->nleaving_upstreams],
			mem);
	return n - l->nleaving_upstreams;
}

bool host_list_parse(str_t text, host_list_t *l, size_t *bad, arena_t *mem)
{
	json_t *version;
	str_t v;
	bool ok;

	*l = (host_list_t){ 0 };
	if (!slice_member(text, "version", &v))
		return false;
	version = member_load(v);
	ok = json_is_integer(version) && json_integer_value(version) > 0;
	if (ok)
		l->version = (uint64_t)json_integer_value(version);
	json_decref(version);
	if (ok)
		*bad = read_daemons(text, l, mem) + read_leaving(text, l, mem);
	return ok;
}
