/**
 * @file fleet_wire.c
 * Encoding of messages as one msgpack array: version, kind, sender and its data
 * centre, revision, age of the last read, time since the end of a registry
 * outage, since_revision combined with complete, id, pace and failures of a
 * server, members, items, and the daemon that read the items from the registry.
 */
#include <msgpack.h>
#include <stdlib.h>
#include <string.h>

#include "fleet.h"
#include "wire.h"

#define MSG_VERSION 3
#define MSG_FIELDS 14 /* elements of the outer array */
#define MSG_MAX_ITEMS 100000

static void pack_str(msgpack_packer *pk, str_t v)
{
	msgpack_pack_bin(pk, v.sz);
	if (v.sz)
		msgpack_pack_bin_body(pk, v.s, v.sz);
}

static void pack_members(msgpack_packer *pk, const fleet_msg_t *m)
{
	size_t i;

	msgpack_pack_array(pk, m->nmembers * 3);
	for (i = 0; i < m->nmembers; i++) {
		pack_str(pk, m->members[i].addr);
		pack_str(pk, m->members[i].dc);
		msgpack_pack_int64(pk, m->members[i].last_seen_age);
	}
}

static void pack_items(msgpack_packer *pk, const fleet_msg_t *m)
{
	size_t i;

	msgpack_pack_array(pk, m->nitems * 4);
	for (i = 0; i < m->nitems; i++) {
		pack_str(pk, m->items[i].key);
		pack_str(pk, m->items[i].value);
		msgpack_pack_uint64(pk, m->items[i].revision);
		msgpack_pack_uint64(pk, m->items[i].deleted);
	}
}

char *fleet_encode(const fleet_msg_t *m, size_t *sz)
{
	msgpack_sbuffer buf;
	msgpack_packer pk;

	msgpack_sbuffer_init(&buf);
	msgpack_packer_init(&pk, &buf, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, MSG_FIELDS);
	msgpack_pack_uint64(&pk, MSG_VERSION);
	msgpack_pack_uint64(&pk, m->kind);
	pack_str(&pk, m->from);
	pack_str(&pk, m->dc);
	msgpack_pack_uint64(&pk, m->revision);
	msgpack_pack_int64(&pk, m->last_read_age);
	msgpack_pack_int64(&pk, m->registry_back_age);
	msgpack_pack_uint64(&pk, m->since_revision << 1 | m->complete);
	pack_str(&pk, m->server);
	msgpack_pack_uint64(&pk, m->pace);
	msgpack_pack_uint64(&pk, m->failing);
	pack_members(&pk, m);
	pack_items(&pk, m);
	pack_str(&pk, m->origin);
	*sz = buf.size;
	return msgpack_sbuffer_release(&buf);
}

static bool get_str(const msgpack_object *o, str_t *v, arena_t *mem)
{
	if (o->type != MSGPACK_OBJECT_BIN)
		return false;
	*v = arena_str(mem, (str_t){ o->via.bin.ptr, o->via.bin.size });
	return true;
}

static bool get_u64(const msgpack_object *o, uint64_t *v)
{
	if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
		return false;
	*v = o->via.u64;
	return true;
}

static bool get_i64(const msgpack_object *o, int64_t *v)
{
	if (o->type == MSGPACK_OBJECT_NEGATIVE_INTEGER) {
		*v = o->via.i64;
		return true;
	}
	if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    o->via.u64 > INT64_MAX)
		return false;
	*v = (int64_t)o->via.u64;
	return true;
}

static bool get_members(const msgpack_object *o, fleet_msg_t *m, arena_t *mem)
{
	const msgpack_object *at;
	size_t i;

	if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size % 3 ||
	    o->via.array.size / 3 > FLEET_MAX_MSG_MEMBERS)
		return false;
	m->nmembers = o->via.array.size / 3;
	for (i = 0; i < m->nmembers; i++) {
		at = &o->via.array.ptr[i * 3];
		if (!get_str(&at[0], &m->members[i].addr, mem) ||
		    !get_str(&at[1], &m->members[i].dc, mem) ||
		    !get_i64(&at[2], &m->members[i].last_seen_age))
			return false;
	}
	return true;
}

static bool get_items(const msgpack_object *o, fleet_msg_t *m, arena_t *mem)
{
	const msgpack_object *at;
	uint64_t deleted;
	size_t i;

	if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size % 4 ||
	    o->via.array.size / 4 > MSG_MAX_ITEMS)
		return false;
	m->nitems = o->via.array.size / 4;
	m->items = arena_alloc(mem, m->nitems * sizeof(*m->items));
	for (i = 0; i < m->nitems; i++) {
		at = &o->via.array.ptr[i * 4];
		if (!get_str(&at[0], &m->items[i].key, mem) ||
		    !get_str(&at[1], &m->items[i].value, mem) ||
		    !get_u64(&at[2], &m->items[i].revision) ||
		    !get_u64(&at[3], &deleted))
			return false;
		m->items[i].deleted = deleted != 0;
	}
	return true;
}

static bool get_msg(const msgpack_object *o, fleet_msg_t *m, arena_t *mem)
{
	const msgpack_object *at;
	uint64_t version, kind;

	if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size != MSG_FIELDS)
		return false;
	at = o->via.array.ptr;
	if (!get_u64(&at[0], &version) || version != MSG_VERSION ||
	    !get_u64(&at[1], &kind) || kind >= FLEET_KIND_MAX)
		return false;
	m->kind = (fleet_kind_t)kind;
	if (!get_str(&at[2], &m->from, mem) || !get_str(&at[3], &m->dc, mem) ||
	    !get_u64(&at[4], &m->revision) ||
	    !get_i64(&at[5], &m->last_read_age) ||
	    !get_i64(&at[6], &m->registry_back_age) ||
	    !get_u64(&at[7], &m->since_revision))
		return false;
	m->complete = m->since_revision & 1;
	m->since_revision >>= 1;
	return get_str(&at[8], &m->server, mem) && get_u64(&at[9], &m->pace) &&
	       get_u64(&at[10], &m->failing) && get_members(&at[11], m, mem) &&
	       get_items(&at[12], m, mem) && get_str(&at[13], &m->origin, mem);
}

bool fleet_decode(const char *bytes, size_t sz, fleet_msg_t *m, arena_t *mem)
{
	msgpack_unpacked u;
	size_t at = 0;
	bool ok = false;

	memset(m, 0, sizeof(*m));
	/* Checks the element counts of the message against its size before
	 * memory is allocated for the elements. */
	if (!wire_scan(bytes, sz))
		return false;
	msgpack_unpacked_init(&u);
	if (msgpack_unpack_next(&u, bytes, sz, &at) == MSGPACK_UNPACK_SUCCESS)
		ok = at == sz && get_msg(&u.data, m, mem);
	msgpack_unpacked_destroy(&u);
	return ok;
}
