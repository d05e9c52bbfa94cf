/** @file dialect.c Search protocol "plain", with the HTTP library neon. */
#include <jansson.h>
#include <ne_request.h>
#include <ne_session.h>
#include <stdlib.h>
#include <string.h>

#include "libdaemon.h"
#include "member.h"

#define PROBE_TIMEOUT_S 2
#define READ_BUFFER_BYTES 16384 /* initial capacity */
/* A reply whose body is not complete by then after the deadline is given up. */
#define LATE_REPLY_TIME (500 * USEC_PER_MSEC)
#define ATTEMPT_ID_SZ 24 /* bytes of an attempt's id in hex, with null byte */
#define HTTP_CLIENT_CLOSED_REQUEST 499 /* a server's reply after a cancel */

/* Provides the body of one request to neon. */
typedef struct body_source {
	job_t *job;
	size_t offset;	      /* bytes of the body that neon has read */
	unsigned sends_begun; /* times that neon began to send the body */
} body_source_t;

static bool plain_probe(void *session, evidence_t *e);
static result_t plain_search(void *session, job_t *j, evidence_t *e,
			     group_hits_t **hits, bool *connect_failed);
static void plain_cancel(void *session, const job_t *j);

const dialect_t dialect_plain = {
	.name = "plain",
	.probe = plain_probe,
	.search = plain_search,
	.cancel = plain_cancel,
};

static const char *format_job_id(const job_t *j, char buf[ATTEMPT_ID_SZ])
{
	g_snprintf(buf, ATTEMPT_ID_SZ, "%016" G_GINT64_MODIFIER "x",
		   (guint64)j->aid);
	return buf;
}

static unsigned header_number(ne_request *req, const char *name)
{
	const char *v = ne_get_response_header(req, name);

	return v ? (unsigned)strtoul(v, NULL, 10) : 0;
}

/* Parses "MAP:SNAPSHOT,MAP:SNAPSHOT"; stops at a syntax error. */
static void parse_held(const char *v, evidence_t *e)
{
	char *end;

	while (v && *v && e->nheld < CORE_MAX_HELD_SNAPSHOTS) {
		snapshot_ref_t *h = &e->held[e->nheld];

		h->map_version = (uint32_t)strtoul(v, &end, 10);
		if (*end != ':')
			return;
		h->snapshot = strtoull(end + 1, &end, 10);
		e->nheld++;
		if (*end != ',')
			return;
		v = end + 1;
	}
}

static void read_evidence(ne_request *req, evidence_t *e)
{
	*e = (evidence_t){ 0 };
	e->slots = header_number(req, "Gs-Slots");
	if (e->slots == 0)
		return;
	e->valid = true;
	e->busy = header_number(req, "Gs-Busy");
	e->queued = header_number(req, "Gs-Queued");
	e->draining = header_number(req, "Gs-Draining") != 0;
	parse_held(ne_get_response_header(req, "Gs-Held"), e);
}

static bool plain_probe(void *session, evidence_t *e)
{
	ne_request *req = ne_request_create(session, "GET", "/v1/status");
	bool ok;

	ne_set_read_timeout(session, PROBE_TIMEOUT_S);
	ok = ne_request_dispatch(req) == NE_OK &&
	     ne_get_status(req)->code == MHD_HTTP_OK;
	if (ok)
		read_evidence(req, e);
	ne_request_destroy(req);
	return ok && e->valid;
}

/*
 * neon resends a request when a persistent connection turns out to be closed.
 * The body of a non-idempotent request is provided only once: on a second send
 * this function fails, so that the server receives no second body.
 */
static ssize_t provide_body(void *ud, char *buf, size_t sz)
{
	body_source_t *s = ud;
	size_t remaining;

	if (sz == 0) {
		s->offset = 0;
		return s->sends_begun++ && !s->job->idempotent ? -1 : 0;
	}
	remaining = s->job->body->sz - s->offset;
	if (sz > remaining)
		sz = remaining;
	memcpy(buf, s->job->body->bytes + s->offset, sz);
	s->offset += sz;
	return (ssize_t)sz;
}

static void add_headers(ne_request *req, const job_t *j, usec_t now)
{
	usec_t time_left_ms = (j->deadline - now) / USEC_PER_MSEC;
	char id[ATTEMPT_ID_SZ];

	ne_add_request_header(req, "Content-Type", "application/json");
	ne_add_request_header(req, "Gs-Request", format_job_id(j, id));
	ne_add_request_header(req, "Gs-Service", j->service);
	ne_add_request_header(req, "Gs-Group", j->group);
	ne_add_request_header(req, "Gs-Class", j->class_name);
	ne_print_request_header(req, "Gs-Map", "%u", j->map_version);
	ne_print_request_header(req, "Gs-Snapshot", "%llu",
				(unsigned long long)j->snapshot);
	ne_print_request_header(req, "Gs-Limit", "%u", j->limit);
	ne_print_request_header(
		req, "Gs-Deadline-Ms", "%lld",
		(long long)(time_left_ms > 0 ? time_left_ms : 1));
}

static char *read_body(ne_request *req, usec_t give_up_at, size_t *sz)
{
	size_t capacity = READ_BUFFER_BYTES, n = 0;
	char *buf = xmalloc(capacity);
	ssize_t got;

	for (;;) {
		got = ne_read_response_block(req, buf + n, capacity - n);
		if (got == 0)
			break;
		if (got < 0 || n + (size_t)got > MAX_REPLY_BYTES ||
		    clock_now() > give_up_at)
			goto err;
		n += (size_t)got;
		if (n == capacity) {
			capacity *= 2;
			buf = xrealloc(buf, capacity);
		}
	}
	*sz = n;
	return buf;
err:
	free(buf);
	return NULL;
}

static bool read_hit(json_t *o, group_hits_t *p)
{
	json_t *id = json_object_get(o, "id");
	json_t *score = json_object_get(o, "score");
	hit_t *h = &p->hits[p->nhits];
	char *text;

	if (!json_is_string(id) || !json_is_number(score))
		return false;
	h->id = arena_str(&p->mem, str_of(json_string_value(id)));
	h->score = json_number_value(score);
	text = json_dumps(o, JSON_COMPACT);
	h->text = arena_str(&p->mem, str_of(text));
	free(text);
	p->nhits++;
	return true;
}

/* Parses {"hits":[...]}; NULL on another form or over MAX_REPLY_HITS. */
static group_hits_t *read_group_hits(const char *text, size_t sz)
{
	json_t *root = member_load((str_t){ text, sz });
	json_t *hits = json_object_get(root, "hits");
	size_t n = json_array_size(hits), i;
	group_hits_t *p = group_hits_new();

	if (!json_is_array(hits) || n > MAX_REPLY_HITS)
		goto err;
	p->hits = arena_alloc(&p->mem, n * sizeof(*p->hits));
	for (i = 0; i < n; i++)
		if (!read_hit(json_array_get(hits, i), p))
			goto err;
	group_hits_sort(p);
	json_decref(root);
	return p;
err:
	json_decref(root);
	group_hits_free(p);
	return NULL;
}

/* Whether the reply has the id, the snapshot and the map of this attempt. */
static bool reply_matches(ne_request *req, const job_t *j)
{
	const char *id = ne_get_response_header(req, "Gs-Request");
	const char *snapshot = ne_get_response_header(req, "Gs-Snapshot");
	char expected[ATTEMPT_ID_SZ];

	return id && snapshot && strcmp(id, format_job_id(j, expected)) == 0 &&
	       strtoull(snapshot, NULL, 10) == j->snapshot &&
	       header_number(req, "Gs-Map") == j->map_version;
}

static result_t refusal_result(const char *why)
{
	return strcmp(why, "snapshot") == 0 ? RES_SNAPSHOT_MISSING : RES_SHED;
}

static result_t read_reply(ne_request *req, const job_t *j, group_hits_t **hits)
{
	const char *why = ne_get_response_header(req, "Gs-Refused");
	int code = ne_get_status(req)->code;
	size_t sz = 0;
	char *text = read_body(req, j->deadline + LATE_REPLY_TIME, &sz);
	result_t r = RES_ERROR;

	if (!text || ne_end_request(req) != NE_OK) {
		r = RES_LOST;
		goto out;
	}
	if (!reply_matches(req, j)) {
		r = RES_MISMATCH;
		goto out;
	}
	if (why) {
		r = refusal_result(why);
	} else if (code == MHD_HTTP_OK) {
		*hits = read_group_hits(text, sz);
		r = *hits ? RES_OK : RES_ERROR;
	} else if (code == HTTP_CLIENT_CLOSED_REQUEST) {
		r = RES_CANCELLED;
	}
out:
	free(text);
	return r;
}

static int read_timeout_s(const job_t *j, usec_t now)
{
	usec_t time_left = j->deadline > now ? j->deadline - now : 0;

	return (int)(time_left / USEC_PER_SEC) + 1;
}

static result_t plain_search(void *session, job_t *j, evidence_t *e,
			     group_hits_t **hits, bool *connect_failed)
{
	body_source_t source = { .job = j };
	usec_t now = clock_now();
	ne_request *req;
	result_t r;

	*connect_failed = false;
	if (!job_claim(j, now))
		return RES_NOT_SENT;
	req = ne_request_create(session, "POST", "/v1/search");
	add_headers(req, j, now);
	ne_set_request_body_provider(req, (ne_off_t)j->body->sz, provide_body,
				     &source);
	ne_set_read_timeout(session, read_timeout_s(j, now));
	if (ne_begin_request(req) == NE_OK) {
		read_evidence(req, e);
		r = read_reply(req, j, hits);
	} else {
		/* A server cannot run a request before its body is sent. */
		r = source.sends_begun ? RES_LOST : RES_NOT_SENT;
		*connect_failed = !source.sends_begun;
	}
	ne_request_destroy(req);
	if (r == RES_LOST || r == RES_MISMATCH)
		ne_close_connection(session);
	return r;
}

static void plain_cancel(void *session, const job_t *j)
{
	ne_request *req = ne_request_create(session, "POST", "/v1/cancel");
	char id[ATTEMPT_ID_SZ];

	ne_add_request_header(req, "Gs-Request", format_job_id(j, id));
	ne_set_request_body_buffer(req, "{}", 2);
	ne_set_read_timeout(session, PROBE_TIMEOUT_S);
	ne_request_dispatch(req);
	ne_request_destroy(req);
}
