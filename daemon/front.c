/**
 * @file front.c
 * HTTP server for callers: checks requests and passes them to the engine.
 */
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
#define MAX_KEY_BYTES 128
#define MAX_ROUTE_BYTES 256
#define MAX_LIMIT_HITS 1000
#define MAX_DEADLINE_MS 600000

struct front {
	engine_t *engine;
	struct MHD_Daemon *mhd;
	atomic_uint open_requests;
	bool quiesced;
};

struct call {
	front_t *front;
	struct MHD_Connection *conn;
	bool suspended; /* counted in open_requests */
	char *bytes;	/* of the request body, until body takes them over */
	size_t sz;
	bool too_large;
	body_t *body;
	unsigned status;
	char *text; /* body of the answer */
	size_t text_sz;
};

/** Faults of a request that the daemon refuses. */
typedef enum request_fault {
	FAULT_NONE,
	FAULT_METHOD,
	FAULT_PATH,
	FAULT_SIZE,
	FAULT_JSON,
	FAULT_CLASS,
	FAULT_CLASS_UNKNOWN,
	FAULT_SERVICE_UNKNOWN,
	FAULT_DEADLINE,
	FAULT_LIMIT,
	FAULT_KEY,
	FAULT_ROUTE,
	FAULT_MAX,
} request_fault_t;

static const struct {
	unsigned status;
	const char *code;
	const char *text;
} faults[FAULT_MAX] = {
	[FAULT_NONE] = { 200, "ok", "" },
	[FAULT_METHOD] = { 405, "method", "only POST is served here" },
	[FAULT_PATH] = { 404, "path", "the path is /v1/services/NAME/search" },
	[FAULT_SIZE] = { 413, "size", "the body is over 1 MiB" },
	[FAULT_JSON] = { 400, "json", "the body is not a JSON object" },
	[FAULT_CLASS] = { 400, "class", "the header Gs-Class is missing" },
	[FAULT_CLASS_UNKNOWN] = { 404, "class_unknown",
				  "the service has no such class" },
	[FAULT_SERVICE_UNKNOWN] = { 404, "service_unknown",
				    "there is no such service" },
	[FAULT_DEADLINE] = { 400, "deadline",
			     "Gs-Deadline-Ms is not from 1 to 600000" },
	[FAULT_LIMIT] = { 400, "limit", "Gs-Limit is not from 1 to 1000" },
	[FAULT_KEY] = { 400, "key",
			"Idempotency-Key is not of 1 to 128 bytes" },
	[FAULT_ROUTE] = { 400, "route",
			  "the class needs Gs-Route, of 1 to 256 bytes" },
};

/* Parameters of a search; the strings belong to the MHD connection. */
typedef struct search_params {
	str_t service;
	str_t class_name;
	str_t route;
	str_t key;
	usec_t deadline;
	unsigned limit;
} search_params_t;

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
	/* Closed connections make callers connect to another daemon. */
	if (!engine_ready(f->engine))
		MHD_add_response_header(r, "Connection", "close");
	ok = MHD_queue_response(conn, status, r);
	MHD_destroy_response(r);
	return ok;
}

static enum MHD_Result refuse(const front_t *f, struct MHD_Connection *conn,
			      request_fault_t fault)
{
	char *text = NULL;
	json_t *o;

	o = json_pack("{ss s{ss ss}}", "outcome", "not_run", "error", "code",
		      faults[fault].code, "text", faults[fault].text);
	text = json_dumps(o, JSON_COMPACT);
	json_decref(o);
	return respond(f, conn, faults[fault].status, text, strlen(text));
}

/* Parses a number from 1 to max; an empty value leaves *n as it is. */
static bool parse_number(str_t v, unsigned long max, unsigned long *n)
{
	char *end;

	if (v.sz == 0)
		return true;
	if (v.s[0] < '0' || v.s[0] > '9' || v.sz > 9)
		return false;
	*n = strtoul(v.s, &end, 10);
	return *end == '\0' && *n > 0 && *n <= max;
}

static bool parse_service(const char *url, str_t *service)
{
	size_t sz = strlen(url);
	size_t fixed_sz = strlen(PATH_PREFIX) + strlen(PATH_SUFFIX);

	if (sz <= fixed_sz || !g_str_has_prefix(url, PATH_PREFIX) ||
	    !g_str_has_suffix(url, PATH_SUFFIX))
		return false;
	*service = (str_t){ url + strlen(PATH_PREFIX), sz - fixed_sz };
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

/* Checks against the configuration in force, if there is one. */
static request_fault_t check_conf(const front_t *f, const search_params_t *p)
{
	const conf_service_t *s;
	const conf_class_t *class;
	const conf_t *conf;
	request_fault_t fault = FAULT_NONE;

	engine_conf_read_lock();
	conf = engine_conf(f->engine);
	if (!conf)
		goto out;
	s = conf_service(conf, p->service);
	class = s ? conf_class(s, p->class_name) : NULL;
	if (!s)
		fault = FAULT_SERVICE_UNKNOWN;
	else if (!class)
		fault = FAULT_CLASS_UNKNOWN;
	else if (class->scope == CONF_ONE && s->ngroups > 1 && p->route.sz == 0)
		fault = FAULT_ROUTE;
out:
	engine_conf_read_unlock(conf);
	return fault;
}

static request_fault_t check_headers(struct MHD_Connection *conn,
				     search_params_t *p)
{
	unsigned long ms = 0, limit = 0;

	p->class_name = header(conn, "Gs-Class");
	if (p->class_name.sz == 0)
		return FAULT_CLASS;
	if (!parse_number(header(conn, "Gs-Deadline-Ms"), MAX_DEADLINE_MS, &ms))
		return FAULT_DEADLINE;
	p->deadline = (usec_t)ms * USEC_PER_MSEC;
	if (!parse_number(header(conn, "Gs-Limit"), MAX_LIMIT_HITS, &limit))
		return FAULT_LIMIT;
	p->limit = (unsigned)limit;
	p->key = header(conn, "Idempotency-Key");
	if (p->key.sz > MAX_KEY_BYTES || (p->key.s && p->key.sz == 0))
		return FAULT_KEY;
	p->route = header(conn, "Gs-Route");
	if (p->route.sz > MAX_ROUTE_BYTES)
		return FAULT_ROUTE;
	return FAULT_NONE;
}

static request_fault_t check_request(const call_t *call, const char *url,
				     const char *method, search_params_t *p)
{
	request_fault_t fault;

	if (!parse_service(url, &p->service))
		return FAULT_PATH;
	if (strcmp(method, MHD_HTTP_METHOD_POST) != 0)
		return FAULT_METHOD;
	if (call->too_large)
		return FAULT_SIZE;
	fault = check_headers(call->conn, p);
	if (fault != FAULT_NONE)
		return fault;
	if (!is_json_object(call))
		return FAULT_JSON;
	return check_conf(call->front, p);
}

static void submit_request(call_t *call, const search_params_t *p)
{
	msg_t *m = msg_new(EV_REQUEST);
	request_t *r = &m->ev.request;

	call->body = body_new(call->bytes, call->sz);
	call->bytes = NULL;
	call->suspended = true;
	r->service = arena_str(&m->mem, p->service);
	r->class_name = arena_str(&m->mem, p->class_name);
	r->route = arena_str(&m->mem, p->route);
	r->key = arena_str(&m->mem, p->key);
	r->deadline = p->deadline;
	r->limit = p->limit;
	r->body = call->body;
	r->body_hash =
		str_hash((str_t){ call->body->bytes, call->body->sz }, 0);
	r->caller = call;
	atomic_fetch_add(&call->front->open_requests, 1);
	MHD_suspend_connection(call->conn);
	engine_post(call->front->engine, m);
}

/* Answers a liveness or readiness check of the load balancer. */
static enum MHD_Result respond_health(const front_t *f,
				      struct MHD_Connection *conn, bool healthy)
{
	char *text = strdup(healthy ? "{\"ok\":true}" : "{\"ok\":false}");

	return respond(f, conn,
		       healthy ? MHD_HTTP_OK : MHD_HTTP_SERVICE_UNAVAILABLE,
		       text, strlen(text));
}

static void append_body(call_t *call, const char *data, size_t sz)
{
	if (call->too_large || call->sz + sz > MAX_BODY_BYTES) {
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
	search_params_t p = { 0 };
	char *text;
	request_fault_t fault;

	(void)version;
	if (!call) {
		call = xcalloc(1, sizeof(*call));
		call->front = cls;
		call->conn = conn;
		*state = call;
		return MHD_YES;
	}
	if (*sz) {
		append_body(call, data, *sz);
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
		return respond_health(call->front, conn, true);
	if (strcmp(url, "/readyz") == 0)
		return respond_health(call->front, conn,
				      engine_ready(call->front->engine));
	fault = check_request(call, url, method, &p);
	if (fault != FAULT_NONE)
		return refuse(call->front, conn, fault);
	submit_request(call, &p);
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
		atomic_fetch_sub(&call->front->open_requests, 1);
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
	struct sockaddr_in sa = addr_to_sockaddr(addr);
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

unsigned front_open_requests(const front_t *f)
{
	return atomic_load(&f->open_requests);
}

void front_stop(front_t *f)
{
	if (!f)
		return;
	MHD_stop_daemon(f->mhd);
	free(f);
}
