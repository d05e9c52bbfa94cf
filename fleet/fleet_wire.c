/**
 * @file fleet_wire.c
 * Encoding of messages as one msgpack array: version, kind, sender and its data
 * centre, revision, age of the last read, time since the end of a registry
 * outage, since_revision combined with complete, id, pace and failures of a
 * server, members, items, the daemon that read the items from the registry, the
 * size of the items before compression, and the hosts to forward the message
 * to. The items are a msgpack array of their own, compressed as an LZ4 block: a
 * configuration of many routes becomes a fifth, and takes that much less time
 * on the links of hosts that forward it.
 */
#include <lz4.h>
#include <msgpack.h>
#include <stdlib.h>
#include <string.h>

#include "fleet.h"
#include "wire.h"

#define MSG_VERSION 4
#define MSG_FIELDS 16 /* elements of the outer array */
#define MSG_MAX_ITEMS 100000
#define ITEM_FIELDS 4
/* Shorter items gain nothing. */
#define MIN_COMPRESSED_BYTES 256
/* LZ4 cannot shorten a block by more; a larger claim is false. */
#define MAX_LZ4_RATIO 255

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

	msgpack_pack_array(pk, m->nitems * ITEM_FIELDS);
	for (i = 0; i < m->nitems; i++) {
		pack_str(pk, m->items[i].key);
		pack_str(pk, m->items[i].value);
		msgpack_pack_uint64(pk, m->items[i].revision);
		msgpack_pack_uint64(pk, m->items[i].deleted);
	}
}

void fleet_pack_items(fleet_msg_t *m, arena_t *mem)
{
	msgpack_sbuffer raw;
	msgpack_packer pk;
	char *to;
	int n = 0;

	msgpack_sbuffer_init(&raw);
	msgpack_packer_init(&pk, &raw, msgpack_sbuffer_write);
	pack_items(&pk, m);
	m->packed_raw_sz = 0;
	if (raw.size >= MIN_COMPRESSED_BYTES &&
	    raw.size <= FLEET_MAX_ITEMS_BYTES) {
		to = xmalloc(raw.size);
		/* Returns 0 if the result isn't shorter than the source. */
		n = LZ4_compress_default(raw.data, to, (int)raw.size,
					 (int)raw.size - 1);
		if (n > 0) {
			m->packed = arena_str(mem, (str_t){ to, (size_t)n });
			m->packed_raw_sz = raw.size;
		}
		free(to);
	}
	if (n <= 0)
		m->packed = arena_str(mem, (str_t){ raw.data, raw.size });
	msgpack_sbuffer_destroy(&raw);
}

char *fleet_encode(const fleet_msg_t *m, size_t *sz)
{
	msgpack_sbuffer buf;
	msgpack_packer pk;
	fleet_msg_t items = *m;
	arena_t mem = { 0 };
	size_t i;

	if (items.packed.sz == 0)
		fleet_pack_items(&items, &mem);
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
	pack_str(&pk, items.packed);
	pack_str(&pk, m->origin);
	msgpack_pack_uint64(&pk, items.packed_raw_sz);
	msgpack_pack_array(&pk, m->nrelay_to);
	for (i = 0; i < m->nrelay_to; i++)
		pack_str(&pk, m->relay_to[i]);
	arena_free(&mem);
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

static bool get_relay(const msgpack_object *o, fleet_msg_t *m, arena_t *mem)
{
	str_t *to;
	size_t i;

	if (o->type != MSGPACK_OBJECT_ARRAY ||
	    o->via.array.size > FLEET_MAX_RELAY)
		return false;
	m->nrelay_to = o->via.array.size;
	m->relay_to = to = arena_alloc(mem, m->nrelay_to * sizeof(*to));
	for (i = 0; i < m->nrelay_to; i++)
		if (!get_str(&o->via.array.ptr[i], &to[i], mem))
			return false;
	return true;
}

/* Reads the items; their strings are borrowed from the array's text. */
static bool get_items(const msgpack_object *o, fleet_msg_t *m, arena_t *mem)
{
	const msgpack_object *at;
	uint64_t deleted;
	size_t i;

	if (o->type != MSGPACK_OBJECT_ARRAY ||
	    o->via.array.size % ITEM_FIELDS ||
	    o->via.array.size / ITEM_FIELDS > MSG_MAX_ITEMS)
		return false;
	m->nitems = o->via.array.size / ITEM_FIELDS;
	m->items = arena_alloc(mem, m->nitems * sizeof(*m->items));
	for (i = 0; i < m->nitems; i++) {
		at = &o->via.array.ptr[i * ITEM_FIELDS];
		if (at[0].type != MSGPACK_OBJECT_BIN ||
		    at[1].type != MSGPACK_OBJECT_BIN ||
		    !get_u64(&at[2], &m->items[i].revision) ||
		    !get_u64(&at[3], &deleted))
			return false;
		m->items[i].key =
			(str_t){ at[0].via.bin.ptr, at[0].via.bin.size };
		m->items[i].value =
			(str_t){ at[1].via.bin.ptr, at[1].via.bin.size };
		m->items[i].deleted = deleted != 0;
	}
	return true;
}

/* Copies the text of the items to mem, without compression. */
static bool unpack_text(const fleet_msg_t *m, str_t *text, arena_t *mem)
{
	char *to;

	if (m->packed_raw_sz == 0) {
		*text = arena_str(mem, m->packed);
		return true;
	}
	if (m->packed_raw_sz > FLEET_MAX_ITEMS_BYTES ||
	    m->packed_raw_sz / MAX_LZ4_RATIO > m->packed.sz)
		return false;
	to = arena_alloc(mem, m->packed_raw_sz);
	*text = (str_t){ to, m->packed_raw_sz };
	return LZ4_decompress_safe(m->packed.s, to, (int)m->packed.sz,
				   (int)m->packed_raw_sz) ==
	       (int)m->packed_raw_sz;
}

static bool unpack_items(fleet_msg_t *m, arena_t *mem)
{
	msgpack_unpacked u;
	size_t at = 0;
	bool ok = false;
	str_t text;

	if (!unpack_text(m, &text, mem) || !wire_scan(text.s, text.sz))
		return false;
	msgpack_unpacked_init(&u);
	if (msgpack_unpack_next(&u, text.s, text.sz, &at) ==
	    MSGPACK_UNPACK_SUCCESS)
		ok = at == text.sz && get_items(&u.data, m, mem);
	msgpack_unpacked_destroy(&u);
	return ok;
}

static bool get_msg(const msgpack_object *o, fleet_msg_t *m, arena_t *mem)
{
	const msgpack_object *at;
	uint64_t version, kind, raw_sz;

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
	if (!get_str(&at[8], &m->server, mem) || !get_u64(&at[9], &m->pace) ||
	    !get_u64(&at[10], &m->failing) || !get_members(&at[11], m, mem) ||
	    at[12].type != MSGPACK_OBJECT_BIN ||
	    !get_str(&at[13], &m->origin, mem) || !get_u64(&at[14], &raw_sz) ||
	    !get_relay(&at[15], m, mem))
		return false;
	m->packed = (str_t){ at[12].via.bin.ptr, at[12].via.bin.size };
	m->packed_raw_sz = raw_sz;
	return unpack_items(m, mem);
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
