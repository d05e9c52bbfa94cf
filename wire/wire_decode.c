/**
 * @file wire_decode.c
 * Decoding of messages. The bytes are not trusted: every type, count and size
 * is checked.
 */
#include <msgpack.h>
#include <stdlib.h>
#include <string.h>

#include "libwire.h"

/* The message that is decoded and the arena of its strings and arrays. */
typedef struct decoder {
	peer_msg_t *m;
	arena_t *mem;
} decoder_t;

typedef bool (*decode_fn_t)(decoder_t *d, const msgpack_object *o, void *field);

static bool get_str(decoder_t *d, const msgpack_object *o, void *field);
static bool get_u64(decoder_t *d, const msgpack_object *o, void *field);
static bool get_i64(decoder_t *d, const msgpack_object *o, void *field);
static bool get_host_list(decoder_t *d, const msgpack_object *o, void *field);
static bool get_groups(decoder_t *d, const msgpack_object *o, void *field);
static bool get_group_results(decoder_t *d, const msgpack_object *o,
			      void *field);
static bool get_hits(decoder_t *d, const msgpack_object *o, void *field);

static const decode_fn_t decoders[WIRE_TYPES] = {
	[WIRE_STR] = get_str,	    [WIRE_U64] = get_u64,
	[WIRE_I64] = get_i64,	    [WIRE_HOST_LIST] = get_host_list,
	[WIRE_GROUPS] = get_groups, [WIRE_GROUP_RESULTS] = get_group_results,
	[WIRE_HITS] = get_hits,
};

static bool is_array(const msgpack_object *o, size_t n)
{
	return o->type == MSGPACK_OBJECT_ARRAY && o->via.array.size == n;
}

static bool is_array_up_to(const msgpack_object *o, size_t max)
{
	return o->type == MSGPACK_OBJECT_ARRAY && o->via.array.size <= max;
}

static bool get_str(decoder_t *d, const msgpack_object *o, void *field)
{
	if (o->type != MSGPACK_OBJECT_STR ||
	    o->via.str.size > WIRE_MAX_STRING_BYTES)
		return false;
	*(str_t *)field =
		arena_str(d->mem, (str_t){ o->via.str.ptr, o->via.str.size });
	return true;
}

static bool get_u64(decoder_t *d, const msgpack_object *o, void *field)
{
	(void)d;
	if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
		return false;
	*(uint64_t *)field = o->via.u64;
	return true;
}

static bool get_i64(decoder_t *d, const msgpack_object *o, void *field)
{
	(void)d;
	if (o->type == MSGPACK_OBJECT_NEGATIVE_INTEGER) {
		*(int64_t *)field = o->via.i64;
		return true;
	}
	if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    o->via.u64 > INT64_MAX)
		return false;
	*(int64_t *)field = (int64_t)o->via.u64;
	return true;
}

static bool get_listed_daemon(decoder_t *d, const msgpack_object *o,
			      listed_daemon_t *m)
{
	const msgpack_object *v;
	uint64_t leaving;

	if (!is_array(o, 4))
		return false;
	v = o->via.array.ptr;
	if (!get_str(d, &v[0], &m->name) || !get_str(d, &v[1], &m->dc) ||
	    !get_str(d, &v[2], &m->peer) || !get_u64(d, &v[3], &leaving))
		return false;
	m->leaving = leaving != 0;
	return true;
}

static bool get_host_list(decoder_t *d, const msgpack_object *o, void *field)
{
	const msgpack_object *v, *daemons, *leaving;
	host_list_t *l = field;
	size_t i;

	if (!is_array(o, 3))
		return false;
	v = o->via.array.ptr;
	if (!get_u64(d, &v[0], &l->version) ||
	    !is_array_up_to(&v[1], WIRE_MAX_DAEMONS) ||
	    !is_array_up_to(&v[2], WIRE_MAX_LEAVING))
		return false;
	daemons = v[1].via.array.ptr;
	leaving = v[2].via.array.ptr;
	l->ndaemons = v[1].via.array.size;
	l->nleaving_upstreams = v[2].via.array.size;
	l->daemons = arena_alloc(d->mem, l->ndaemons * sizeof(*l->daemons));
	l->leaving_upstreams = arena_alloc(
		d->mem, l->nleaving_upstreams * sizeof(*l->leaving_upstreams));
	for (i = 0; i < l->ndaemons; i++)
		if (!get_listed_daemon(d, &daemons[i], &l->daemons[i]))
			return false;
	for (i = 0; i < l->nleaving_upstreams; i++)
		if (!get_str(d, &leaving[i], &l->leaving_upstreams[i]))
			return false;
	return true;
}

static bool get_groups(decoder_t *d, const msgpack_object *o, void *field)
{
	peer_msg_t *m = d->m;
	size_t i;

	(void)field;
	if (!is_array_up_to(o, WIRE_MAX_GROUPS))
		return false;
	m->ngroups = o->via.array.size;
	m->groups = arena_alloc(d->mem, m->ngroups * sizeof(*m->groups));
	for (i = 0; i < m->ngroups; i++)
		if (!get_str(d, &o->via.array.ptr[i], &m->groups[i]))
			return false;
	return true;
}

/* Decodes hits; the array and the strings are allocated in mem. */
static bool decode_hits(const msgpack_object *o, arena_t *mem, hit_t **hits,
			size_t *n)
{
	decoder_t d = { .mem = mem };
	const msgpack_object *v;
	size_t i;

	if (!is_array_up_to(o, WIRE_MAX_HITS))
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
		if (!get_str(&d, &v[1], &h->id) ||
		    !get_str(&d, &v[2], &h->text))
			return false;
	}
	return true;
}

static bool get_held(decoder_t *d, const msgpack_object *o, group_result_t *p)
{
	const msgpack_object *v = o->via.array.ptr;
	uint64_t map;
	size_t i;

	if (!is_array_up_to(o, CORE_MAX_HELD_SNAPSHOTS * 2) ||
	    o->via.array.size % 2)
		return false;
	p->nheld = o->via.array.size / 2;
	for (i = 0; i < p->nheld; i++) {
		if (!get_u64(d, &v[i * 2], &map) ||
		    !get_u64(d, &v[i * 2 + 1], &p->held[i].snapshot) ||
		    map > UINT32_MAX)
			return false;
		p->held[i].map_version = (uint32_t)map;
	}
	return true;
}

static bool get_group_result(decoder_t *d, const msgpack_object *o,
			     group_result_t *p)
{
	const msgpack_object *v;

	if (!is_array(o, 4))
		return false;
	v = o->via.array.ptr;
	if (!get_str(d, &v[0], &p->group) || !get_u64(d, &v[1], &p->result) ||
	    p->result >= RES_MAX || !get_held(d, &v[2], p))
		return false;
	if (p->result != RES_OK)
		return true;
	p->group_hits = group_hits_new();
	return decode_hits(&v[3], &p->group_hits->mem, &p->group_hits->hits,
			   &p->group_hits->nhits);
}

static bool get_group_results(decoder_t *d, const msgpack_object *o,
			      void *field)
{
	peer_msg_t *m = d->m;
	size_t i;

	(void)field;
	if (!is_array_up_to(o, WIRE_MAX_GROUPS))
		return false;
	m->ngroup_results = o->via.array.size;
	m->group_results = arena_alloc(
		d->mem, m->ngroup_results * sizeof(*m->group_results));
	for (i = 0; i < m->ngroup_results; i++)
		if (!get_group_result(d, &o->via.array.ptr[i],
				      &m->group_results[i]))
			return false;
	return true;
}

static bool get_hits(decoder_t *d, const msgpack_object *o, void *field)
{
	hit_t *hits = NULL;
	bool ok;

	(void)field;
	ok = decode_hits(o, d->mem, &hits, &d->m->nhits);
	d->m->hits = hits;
	return ok;
}

void wire_free_group_hits(peer_msg_t *m)
{
	size_t i;

	for (i = 0; i < m->ngroup_results; i++) {
		group_hits_free(m->group_results[i].group_hits);
		m->group_results[i].group_hits = NULL;
	}
}

static wire_err_t decode_fields(decoder_t *d, const msgpack_object *o)
{
	peer_msg_t *m = d->m;
	const wire_field_t *f;
	size_t next = WIRE_HEADER_ELEMENTS, i;

	for (i = 0; i < wire_nfields; i++) {
		f = &wire_fields[i];
		if (!(f->kinds >> m->kind & 1))
			continue;
		if (!decoders[f->type](d, &o->via.array.ptr[next++],
				       (char *)m + f->offset))
			return WIRE_E_FORMAT;
	}
	return m->reply_to.sz ? WIRE_OK : WIRE_E_REPLY_TO;
}

static wire_err_t decode_message(decoder_t *d, const msgpack_object *o)
{
	const msgpack_object *v;

	if (o->type != MSGPACK_OBJECT_ARRAY ||
	    o->via.array.size < WIRE_HEADER_ELEMENTS)
		return WIRE_E_FORMAT;
	v = o->via.array.ptr;
	if (v[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    v[1].type != MSGPACK_OBJECT_POSITIVE_INTEGER)
		return WIRE_E_FORMAT;
	if (v[0].via.u64 != WIRE_VERSION)
		return WIRE_E_VERSION;
	if (v[1].via.u64 >= PEER_MAX)
		return WIRE_E_KIND;
	d->m->kind = (peer_kind_t)v[1].via.u64;
	if (o->via.array.size !=
	    wire_field_count(d->m->kind) + WIRE_HEADER_ELEMENTS)
		return WIRE_E_FORMAT;
	return decode_fields(d, o);
}

wire_err_t wire_decode(const char *bytes, size_t sz, peer_msg_t *m,
		       arena_t *mem)
{
	decoder_t d = { .m = m, .mem = mem };
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
		err = decode_message(&d, &u.data);
	msgpack_unpacked_destroy(&u);
	if (err != WIRE_OK)
		wire_free_group_hits(m);
	return err;
}
