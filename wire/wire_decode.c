/** @file wire_decode.c Bytes to messages; trusts nothing it reads. */
#include <msgpack.h>
#include <stdlib.h>
#include <string.h>

#include "libwire.h"

/* What the members are read into. */
typedef struct reader {
	peer_msg_t *m;
	arena_t *mem;
} reader_t;

typedef bool (*get_fn_t)(reader_t *r, const msgpack_object *o, void *at);

static bool get_str(reader_t *r, const msgpack_object *o, void *at);
static bool get_u64(reader_t *r, const msgpack_object *o, void *at);
static bool get_i64(reader_t *r, const msgpack_object *o, void *at);
static bool get_list(reader_t *r, const msgpack_object *o, void *at);
static bool get_groups(reader_t *r, const msgpack_object *o, void *at);
static bool get_parts(reader_t *r, const msgpack_object *o, void *at);
static bool get_hits(reader_t *r, const msgpack_object *o, void *at);

static const get_fn_t gets_by_type[WIRE_TYPES] = {
	[WIRE_STR] = get_str,	    [WIRE_U64] = get_u64,
	[WIRE_I64] = get_i64,	    [WIRE_LIST] = get_list,
	[WIRE_GROUPS] = get_groups, [WIRE_PARTS] = get_parts,
	[WIRE_HITS] = get_hits,
};

static bool is_array(const msgpack_object *o, size_t n)
{
	return o->type == MSGPACK_OBJECT_ARRAY && o->via.array.size == n;
}

static bool is_array_to(const msgpack_object *o, size_t max)
{
	return o->type == MSGPACK_OBJECT_ARRAY && o->via.array.size <= max;
}

static bool get_str(reader_t *r, const msgpack_object *o, void *at)
{
	if (o->type != MSGPACK_OBJECT_STR || o->via.str.size > WIRE_MAX_STRING)
		return false;
	*(str_t *)at =
		arena_str(r->mem, (str_t){ o->via.str.ptr, o->via.str.size });
	return true;
}

static bool get_u64(reader_t *r, const msgpack_object *o, void *at)
{
	(void)r;
	if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
		return false;
	*(uint64_t *)at = o->via.u64;
	return true;
}

static bool get_i64(reader_t *r, const msgpack_object *o, void *at)
{
	(void)r;
	if (o->type == MSGPACK_OBJECT_NEGATIVE_INTEGER) {
		*(int64_t *)at = o->via.i64;
		return true;
	}
	if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    o->via.u64 > INT64_MAX)
		return false;
	*(int64_t *)at = (int64_t)o->via.u64;
	return true;
}

static bool get_member(reader_t *r, const msgpack_object *o, member_t *m)
{
	const msgpack_object *v;
	uint64_t leaving;

	if (!is_array(o, 4))
		return false;
	v = o->via.array.ptr;
	if (!get_str(r, &v[0], &m->name) || !get_str(r, &v[1], &m->dc) ||
	    !get_str(r, &v[2], &m->peer) || !get_u64(r, &v[3], &leaving))
		return false;
	m->leaving = leaving != 0;
	return true;
}

static bool get_list(reader_t *r, const msgpack_object *o, void *at)
{
	const msgpack_object *v, *d, *u;
	host_list_t *l = at;
	size_t i;

	if (!is_array(o, 3))
		return false;
	v = o->via.array.ptr;
	if (!get_u64(r, &v[0], &l->version) ||
	    !is_array_to(&v[1], WIRE_MAX_DAEMONS) ||
	    !is_array_to(&v[2], WIRE_MAX_LEAVING))
		return false;
	d = v[1].via.array.ptr;
	u = v[2].via.array.ptr;
	l->ndaemons = v[1].via.array.size;
	l->nleaving = v[2].via.array.size;
	l->daemons = arena_alloc(r->mem, l->ndaemons * sizeof(*l->daemons));
	l->leaving = arena_alloc(r->mem, l->nleaving * sizeof(*l->leaving));
	for (i = 0; i < l->ndaemons; i++)
		if (!get_member(r, &d[i], &l->daemons[i]))
			return false;
	for (i = 0; i < l->nleaving; i++)
		if (!get_str(r, &u[i], &l->leaving[i]))
			return false;
	return true;
}

static bool get_groups(reader_t *r, const msgpack_object *o, void *at)
{
	peer_msg_t *m = r->m;
	size_t i;

	(void)at;
	if (!is_array_to(o, WIRE_MAX_GROUPS))
		return false;
	m->ngroups = o->via.array.size;
	m->groups = arena_alloc(r->mem, m->ngroups * sizeof(*m->groups));
	for (i = 0; i < m->ngroups; i++)
		if (!get_str(r, &o->via.array.ptr[i], &m->groups[i]))
			return false;
	return true;
}

/* Reads hits into memory of their owner. */
static bool read_hits(const msgpack_object *o, arena_t *mem, hit_t **hits,
		      size_t *n)
{
	reader_t r = { .mem = mem };
	const msgpack_object *v;
	size_t i;

	if (!is_array_to(o, WIRE_MAX_HITS))
		return false;
	*n = o->via.array.size;
	*hits = arena_alloc(mem, *n * sizeof(**hits));
	for (i = 0; i < *n; i++) {
		hit_t *h = &(*hits)[i];

		if (!is_array(&o->via.array.ptr[i], 3))
			return false;
		v = o->via.array.ptr[i].via.array.ptr;
		if (v[0].type != MSGPACK_OBJECT_FLOAT64)
			return false;
		h->score = v[0].via.f64;
		if (!get_str(&r, &v[1], &h->id) ||
		    !get_str(&r, &v[2], &h->text))
			return false;
	}
	return true;
}

static bool get_held(reader_t *r, const msgpack_object *o, peer_part_t *p)
{
	const msgpack_object *v = o->via.array.ptr;
	uint64_t map;
	size_t i;

	if (!is_array_to(o, CORE_MAX_HELD * 2) || o->via.array.size % 2)
		return false;
	p->nheld = o->via.array.size / 2;
	for (i = 0; i < p->nheld; i++) {
		if (!get_u64(r, &v[i * 2], &map) ||
		    !get_u64(r, &v[i * 2 + 1], &p->held[i].snapshot) ||
		    map > UINT32_MAX)
			return false;
		p->held[i].map = (uint32_t)map;
	}
	return true;
}

static bool get_part(reader_t *r, const msgpack_object *o, peer_part_t *p)
{
	const msgpack_object *v;

	if (!is_array(o, 4))
		return false;
	v = o->via.array.ptr;
	if (!get_str(r, &v[0], &p->group) || !get_u64(r, &v[1], &p->result) ||
	    p->result >= RES_MAX || !get_held(r, &v[2], p))
		return false;
	if (p->result != RES_OK)
		return true;
	p->part = part_new();
	return read_hits(&v[3], &p->part->mem, &p->part->hits, &p->part->nhits);
}

static bool get_parts(reader_t *r, const msgpack_object *o, void *at)
{
	peer_msg_t *m = r->m;
	size_t i;

	(void)at;
	if (!is_array_to(o, WIRE_MAX_GROUPS))
		return false;
	m->nparts = o->via.array.size;
	m->parts = arena_alloc(r->mem, m->nparts * sizeof(*m->parts));
	for (i = 0; i < m->nparts; i++)
		if (!get_part(r, &o->via.array.ptr[i], &m->parts[i]))
			return false;
	return true;
}

static bool get_hits(reader_t *r, const msgpack_object *o, void *at)
{
	hit_t *hits = NULL;
	bool ok;

	(void)at;
	ok = read_hits(o, r->mem, &hits, &r->m->nhits);
	r->m->hits = hits;
	return ok;
}

void wire_free_parts(peer_msg_t *m)
{
	size_t i;

	for (i = 0; i < m->nparts; i++) {
		part_free(m->parts[i].part);
		m->parts[i].part = NULL;
	}
}

static wire_err_t read_members(reader_t *r, const msgpack_object *o)
{
	peer_msg_t *m = r->m;
	const wire_field_t *f;
	size_t at = 2, i;

	for (i = 0; i < wire_nfields; i++) {
		f = &wire_fields[i];
		if (!(f->kinds >> m->kind & 1))
			continue;
		if (!gets_by_type[f->type](r, &o->via.array.ptr[at++],
					   (char *)m + f->at))
			return WIRE_E_FORMAT;
	}
	return m->reply_to.sz ? WIRE_OK : WIRE_E_RANGE;
}

static wire_err_t read_message(reader_t *r, const msgpack_object *o)
{
	const msgpack_object *v;

	if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size < 2)
		return WIRE_E_FORMAT;
	v = o->via.array.ptr;
	if (v[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    v[1].type != MSGPACK_OBJECT_POSITIVE_INTEGER)
		return WIRE_E_FORMAT;
	if (v[0].via.u64 != WIRE_VERSION)
		return WIRE_E_VERSION;
	if (v[1].via.u64 >= PEER_MAX)
		return WIRE_E_KIND;
	r->m->kind = (peer_kind_t)v[1].via.u64;
	if (o->via.array.size != wire_count(r->m->kind) + 2)
		return WIRE_E_FORMAT;
	return read_members(r, o);
}

wire_err_t wire_decode(const char *bytes, size_t sz, peer_msg_t *m,
		       arena_t *mem)
{
	reader_t r = { .m = m, .mem = mem };
	msgpack_unpacked u;
	size_t off = 0;
	wire_err_t err = WIRE_E_FORMAT;

	memset(m, 0, sizeof(*m));
	if (sz > WIRE_MAX_BYTES)
		return WIRE_E_SIZE;
	if (!wire_scan(bytes, sz))
		return WIRE_E_FORMAT;
	msgpack_unpacked_init(&u);
	if (msgpack_unpack_next(&u, bytes, sz, &off) ==
		    MSGPACK_UNPACK_SUCCESS &&
	    off == sz)
		err = read_message(&r, &u.data);
	msgpack_unpacked_destroy(&u);
	if (err != WIRE_OK)
		wire_free_parts(m);
	return err;
}
