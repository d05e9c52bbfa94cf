/** @file front.c Callers: HTTP in, checked requests to the engine. */
#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "libdaemon.h"

#define FRONT_THREADS 2
#define FRONT_CONNECTIONS 4096
#define IDLE_TIMEOUT_S 75
#define PATH_PREFIX "/v1/services/"
#define PATH_SUFFIX "/search"
#define MAX_KEY 128
#define MAX_ROUTE 256
#define MAX_LIMIT 1000
#define MAX_DEADLINE_MS 600000

struct front {
	engine_t *engine;
	struct MHD_Daemon *mhd;
	atomic_uint open;
	bool quiesced;
};

struct call {
	front_t *front;
	struct MHD_Connection *conn;
	bool suspended;
	char *bytes;
	size_t sz;
	bool too_large;
	body_t *body;
	unsigned status;
	char *text; /* the answer */
	size_t text_sz;
};

/** What is wrong with a request, in order of checking. */
typedef enum bad {
	BAD_NOTHING,
	BAD_METHOD,
	BAD_PATH,
	BAD_SIZE,
	BAD_JSON,
	BAD_CLASS,
	BAD_CLASS_UNKNOWN,
	BAD_SERVICE_UNKNOWN,
	BAD_DEADLINE,
	BAD_LIMIT,
	BAD_KEY,
	BAD_ROUTE,
	BAD_MAX,
} bad_t;

static const struct {
	unsigned status;
	const char *code;
	const char *text;
} bads[BAD_MAX] = {
	[BAD_NOTHING] = { 200, "ok", "" },
	[BAD_METHOD] = { 405, "method", "only POST is served here" },
	[BAD_PATH] = { 404, "path", "the path is /v1/services/NAME/search" },
	[BAD_SIZE] = { 413, "size", "the body is over 1 MiB" },
	[BAD_JSON] = { 400, "json", "the body is not a JSON object" },
	[BAD_CLASS] = { 400, "class", "the header Gs-Class is missing" },
	[BAD_CLASS_UNKNOWN] = { 404, "class_unknown",
				"the service has no such class" },
	[BAD_SERVICE_UNKNOWN] = { 404, "service_unknown",
				  "there is no such service" },
	[BAD_DEADLINE] = { 400, "deadline",
			   "Gs-Deadline-Ms is not from 1 to 600000" },
	[BAD_LIMIT] = { 400, "limit", "Gs-Limit is not from 1 to 1000" },
	[BAD_KEY] = { 400, "key", "Idempotency-Key is not of 1 to 128 bytes" },
	[BAD_ROUTE] = { 400, "route",
			"the class needs Gs-Route, of 1 to 256 bytes" },
};

/* A checked request; the strings live as long as the connection. */
typedef struct checked {
	str_t service;
	str_t class_name;
	str_t route;
	str_t key;
	usec_t deadline;
	unsigned limit;
} checked_t;

static str_t header(struct MHD_Connection *conn, const char *name)
{
	return str_of(MHD_lookup_connection_value(conn, MHD_HEADER_KIND, name));
}

static enum MHD_Result respond(const front_t *f, struct MHD_Connection *conn,
			       unsigned status, char *text, size_t sz)
{
	struct MHD_Response *r;
	enum MHD_Result ok;

	r = MHD_create_response_from_buffer(sz, text, MHD_RESPMEM_MUST_FREE);
	MHD_add_response_header(r, "Content-Type", "application/json");
	/* Callers that keep connections must find another daemon. */
	if (!engine_ready(f->engine))
		MHD_add_response_header(r, "Connection", "close");
	ok = MHD_queue_response(conn, status, r);
	MHD_destroy_response(r);
	return ok;
}

static enum MHD_Result refuse(const front_t *f, struct MHD_Connection *conn,
			      bad_t bad)
{
	char *text = NULL;
	json_t *o;

	o = json_pack("{ss s{ss ss}}", "outcome", "not_run", "error", "code",
		      bads[bad].code, "text", bads[bad].text);
	text = json_dumps(o, JSON_COMPACT);
	json_decref(o);
	return respond(f, conn, bads[bad].status, text, strlen(text));
}

static bool number(str_t v, unsigned long max, unsigned long *n)
{
	char *end;

	if (v.sz == 0)
		return true;
	if (v.s[0] < '0' || v.s[0] > '9' || v.sz > 9)
		return false;
	*n = strtoul(v.s, &end, 10);
	return *end == '\0' && *n > 0 && *n <= max;
}

static bool service_of(const char *url, str_t *service)
{
	size_t sz = strlen(url);
	size_t around = strlen(PATH_PREFIX) + strlen(PATH_SUFFIX);

	if (sz <= around || !g_str_has_prefix(url, PATH_PREFIX) ||
	    !g_str_has_suffix(url, PATH_SUFFIX))
		return false;
	*service = (str_t){ url + strlen(PATH_PREFIX), sz - around };
	return true;
}

static bool is_json_object(const call_t *call)
{
	json_t *o = json_loadb(call->bytes ? call->bytes : "", call->sz,
			       JSON_REJECT_DUPLICATES, NULL);
	bool ok = json_is_object(o);

	json_decref(o);
	return ok;
}

/* Checks against the configuration in force. */
static bad_t check_conf(const front_t *f, const checked_t *k)
{
	const conf_service_t *s;
	const conf_class_t *class;
	const conf_t *conf;
	bad_t bad = BAD_NOTHING;

	engine_read_begin();
	conf = engine_conf(f->engine);
	if (!conf)
		goto out;
	s = conf_service(conf, k->service);
	class = s ? conf_class(s, k->class_name) : NULL;
	if (!s)
		bad = BAD_SERVICE_UNKNOWN;
	else if (!class)
		bad = BAD_CLASS_UNKNOWN;
	else if (class->scope == CONF_ONE && s->ngroups > 1 && k->route.sz == 0)
		bad = BAD_ROUTE;
out:
	engine_read_end(conf);
	return bad;
}

static bad_t check_headers(struct MHD_Connection *conn, checked_t *k)
{
	unsigned long ms = 0, limit = 0;

	k->class_name = header(conn, "Gs-Class");
	if (k->class_name.sz == 0)
		return BAD_CLASS;
	if (!number(header(conn, "Gs-Deadline-Ms"), MAX_DEADLINE_MS, &ms))
		return BAD_DEADLINE;
	k->deadline = (usec_t)ms * USEC_PER_MSEC;
	if (!number(header(conn, "Gs-Limit"), MAX_LIMIT, &limit))
		return BAD_LIMIT;
	k->limit = (unsigned)limit;
	k->key = header(conn, "Idempotency-Key");
	if (k->key.sz > MAX_KEY || (k->key.s && k->key.sz == 0))
		return BAD_KEY;
	k->route = header(conn, "Gs-Route");
	if (k->route.sz > MAX_ROUTE)
		return BAD_ROUTE;
	return BAD_NOTHING;
}

static bad_t check(const call_t *call, const char *url, const char *method,
		   checked_t *k)
{
	bad_t bad;

	if (!service_of(url, &k->service))
		return BAD_PATH;
	if (strcmp(method, MHD_HTTP_METHOD_POST) != 0)
		return BAD_METHOD;
	if (call->too_large)
		return BAD_SIZE;
	bad = check_headers(call->conn, k);
	if (bad != BAD_NOTHING)
		return bad;
	if (!is_json_object(call))
		return BAD_JSON;
	return check_conf(call->front, k);
}

static void submit(call_t *call, const checked_t *k)
{
	msg_t *m = msg_new(EV_REQUEST);
	request_t *r = &m->ev.request;

	call->body = body_new(call->bytes, call->sz);
	call->bytes = NULL;
	call->suspended = true;
	r->service = arena_str(&m->mem, k->service);
	r->class_name = arena_str(&m->mem, k->class_name);
	r->route = arena_str(&m->mem, k->route);
	r->key = arena_str(&m->mem, k->key);
	r->deadline = k->deadline;
	r->limit = k->limit;
	r->body = call->body;
	r->body_hash =
		str_hash((str_t){ call->body->bytes, call->body->sz }, 0);
	r->caller = call;
	atomic_fetch_add(&call->front->open, 1);
	MHD_suspend_connection(call->conn);
	engine_post(call->front->engine, m);
}

/* Liveness and readiness, for the balancer. */
static enum MHD_Result health(const front_t *f, struct MHD_Connection *conn,
			      bool well)
{
	char *text = strdup(well ? "{\"ok\":true}" : "{\"ok\":false}");

	return respond(f, conn,
		       well ? MHD_HTTP_OK : MHD_HTTP_SERVICE_UNAVAILABLE, text,
		       strlen(text));
}

static void take_bytes(call_t *call, const char *data, size_t sz)
{
	if (call->too_large || call->sz + sz > MAX_BODY) {
		call->too_large = true;
		return;
	}
	call->bytes = xrealloc(call->bytes, call->sz + sz);
	memcpy(call->bytes + call->sz, data, sz);
	call->sz += sz;
}

static enum MHD_Result on_access(void *cls, struct MHD_Connection *conn,
				 const char *url, const char *method,
				 const char *version, const char *data,
				 size_t *sz, void **state)
{
	call_t *call = *state;
	checked_t k = { 0 };
	char *text;
	bad_t bad;

	(void)version;
	if (!call) {
		call = xcalloc(1, sizeof(*call));
		call->front = cls;
		call->conn = conn;
		*state = call;
		return MHD_YES;
	}
	if (*sz) {
		take_bytes(call, data, *sz);
		*sz = 0;
		return MHD_YES;
	}
	if (call->text) {
		text = call->text;
		call->text = NULL;
		return respond(call->front, conn, call->status, text,
			       call->text_sz);
	}
	if (strcmp(url, "/livez") == 0)
		return health(call->front, conn, true);
	if (strcmp(url, "/readyz") == 0)
		return health(call->front, conn,
			      engine_ready(call->front->engine));
	bad = check(call, url, method, &k);
	if (bad != BAD_NOTHING)
		return refuse(call->front, conn, bad);
	submit(call, &k);
	return MHD_YES;
}

static void on_completed(void *cls, struct MHD_Connection *conn, void **state,
			 enum MHD_RequestTerminationCode code)
{
	call_t *call = *state;

	(void)cls;
	(void)conn;
	(void)code;
	if (!call)
		return;
	if (call->suspended)
		atomic_fetch_sub(&call->front->open, 1);
	body_unref(call->body);
	free(call->bytes);
	free(call->text);
	free(call);
	*state = NULL;
}

void front_answer(call_t *call, const answer_t *a)
{
	call->status = answer_status(a->outcome);
	call->text = answer_text(a, &call->text_sz);
	MHD_resume_connection(call->conn);
}

front_t *front_start(engine_t *e, const char *addr)
{
	struct sockaddr_in sa = listen_address(addr);
	front_t *f = xcalloc(1, sizeof(*f));

	f->engine = e;
	f->mhd = MHD_start_daemon(
		MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME, 0,
		NULL, NULL, on_access, f, MHD_OPTION_SOCK_ADDR, &sa,
		MHD_OPTION_NOTIFY_COMPLETED, on_completed, f,
		MHD_OPTION_THREAD_POOL_SIZE, FRONT_THREADS,
		MHD_OPTION_CONNECTION_LIMIT, FRONT_CONNECTIONS,
		MHD_OPTION_CONNECTION_TIMEOUT, IDLE_TIMEOUT_S,
		MHD_OPTION_LISTENING_ADDRESS_REUSE, 1, MHD_OPTION_END);
	if (f->mhd)
		return f;
	free(f);
	return NULL;
}

void front_quiesce(front_t *f)
{
	MHD_socket s;

	if (f->quiesced)
		return;
	f->quiesced = true;
	s = MHD_quiesce_daemon(f->mhd);
	if (s != MHD_INVALID_SOCKET)
		close(s);
}

unsigned front_open(const front_t *f)
{
	return atomic_load(&f->open);
}

void front_stop(front_t *f)
{
	if (!f)
		return;
	MHD_stop_daemon(f->mhd);
	free(f);
}
