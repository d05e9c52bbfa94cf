/** @file wire_encode.c Encoding of messages. */
#include <msgpack.h>
#include <stdlib.h>

#include "libwire.h"

typedef void (*encode_fn_t)(msgpack_packer *pk, const peer_msg_t *m,
			    const void *field);

static void put_str(msgpack_packer *pk, const peer_msg_t *m, const void *field);
static void put_u64(msgpack_packer *pk, const peer_msg_t *m, const void *field);
static void put_i64(msgpack_packer *pk, const peer_msg_t *m, const void *field);
static void put_host_list(msgpack_packer *pk, const peer_msg_t *m,
			  const void *field);
static void put_groups(msgpack_packer *pk, const peer_msg_t *m,
		       const void *field);
static void put_group_results(msgpack_packer *pk, const peer_msg_t *m,
			      const void *field);
static void put_hits(msgpack_packer *pk, const peer_msg_t *m,
		     const void *field);

static const encode_fn_t encoders[WIRE_TYPES] = {
	[WIRE_STR] = put_str,	    [WIRE_U64] = put_u64,
	[WIRE_I64] = put_i64,	    [WIRE_HOST_LIST] = put_host_list,
	[WIRE_GROUPS] = put_groups, [WIRE_GROUP_RESULTS] = put_group_results,
	[WIRE_HITS] = put_hits,
};

static void pack_str(msgpack_packer *pk, str_t v)
{
	msgpack_pack_str(pk, v.sz);
	if (v.sz)
		msgpack_pack_str_body(pk, v.s, v.sz);
}

static void put_str(msgpack_packer *pk, const peer_msg_t *m, const void *field)
{
	(void)m;
	pack_str(pk, *(const str_t *)field);
}

static void put_u64(msgpack_packer *pk, const peer_msg_t *m, const void *field)
{
	(void)m;
	msgpack_pack_uint64(pk, *(const uint64_t *)field);
}

static void put_i64(msgpack_packer *pk, const peer_msg_t *m, const void *field)
{
	(void)m;
	msgpack_pack_int64(pk, *(const int64_t *)field);
}

static void put_host_list(msgpack_packer *pk, const peer_msg_t *m,
			  const void *field)
{
	const host_list_t *l = field;
	size_t i;

	(void)m;
	msgpack_pack_array(pk, 3);
	msgpack_pack_uint64(pk, l->version);
	msgpack_pack_array(pk, l->ndaemons);
	for (i = 0; i < l->ndaemons; i++) {
		msgpack_pack_array(pk, 4);
		pack_str(pk, l->daemons[i].name);
		pack_str(pk, l->daemons[i].dc);
		pack_str(pk, l->daemons[i].peer);
		msgpack_pack_uint64(pk, l->daemons[i].leaving);
	}
	msgpack_pack_array(pk, l->nleaving_upstreams);
	for (i = 0; i < l->nleaving_upstreams; i++)
		pack_str(pk, l->leaving_upstreams[i]);
}

static void put_groups(msgpack_packer *pk, const peer_msg_t *m,
		       const void *field)
{
	size_t i;

	(void)field;
	msgpack_pack_array(pk, m->ngroups);
	for (i = 0; i < m->ngroups; i++)
		pack_str(pk, m->groups[i]);
}

static void pack_hits(msgpack_packer *pk, const hit_t *hits, size_t n)
{
	size_t i;

	msgpack_pack_array(pk, n);
	for (i = 0; i < n; i++) {
		msgpack_pack_array(pk, 3);
		msgpack_pack_double(pk, hits[i].score);
		pack_str(pk, hits[i].id);
		pack_str(pk, hits[i].text);
	}
}

static void put_group_results(msgpack_packer *pk, const peer_msg_t *m,
			      const void *field)
{
	const group_result_t *p;
	size_t i, j;

	(void)field;
	msgpack_pack_array(pk, m->ngroup_results);
	for (i = 0; i < m->ngroup_results; i++) {
		p = &m->group_results[i];
		msgpack_pack_array(pk, 4);
		pack_str(pk, p->group);
		msgpack_pack_uint64(pk, p->result);
		msgpack_pack_array(pk, p->nheld * 2);
		for (j = 0; j < p->nheld; j++) {
			msgpack_pack_uint64(pk, p->held[j].map_version);
			msgpack_pack_uint64(pk, p->held[j].snapshot);
		}
		pack_hits(pk, p->group_hits ? p->group_hits->hits : NULL,
			  p->group_hits ? p->group_hits->nhits : 0);
	}
}

static void put_hits(msgpack_packer *pk, const peer_msg_t *m, const void *field)
{
	(void)field;
	pack_hits(pk, m->hits, m->nhits);
}

char *wire_encode(const peer_msg_t *m, size_t *sz)
{
	msgpack_sbuffer buf;
	msgpack_packer pk;
	size_t i;

	msgpack_sbuffer_init(&buf);
	msgpack_packer_init(&pk, &buf, msgpack_sbuffer_write);
	msgpack_pack_array(&pk,
			   wire_field_count(m->kind) + WIRE_HEADER_ELEMENTS);
	msgpack_pack_uint64(&pk, WIRE_VERSION);
	msgpack_pack_uint64(&pk, m->kind);
	for (i = 0; i < wire_nfields; i++)
		if (wire_fields[i].kinds >> m->kind & 1)
			encoders[wire_fields[i].type](
				&pk, m,
				(const char *)m + wire_fields[i].offset);
	*sz = buf.size;
	return msgpack_sbuffer_release(&buf);
}
