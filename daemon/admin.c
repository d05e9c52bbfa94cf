/** @file admin.c HTTP administration API, served on a separate listener. */
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>

#include "libdaemon.h"

#define BEARER_PREFIX "Bearer "
#define ADMIN_CONNECTIONS 64
#define IDLE_TIMEOUT_S 30

struct admin {
	engine_t *engine;
	struct MHD_Daemon *mhd;
	const char *token;
};

typedef void (*page_fn_t)(admin_request_t *req, const admin_view_t *v);

static void page_status(admin_request_t *req, const admin_view_t *v);
static void page_upstreams(admin_request_t *req, const admin_view_t *v);
static void page_metrics(admin_request_t *req, const admin_view_t *v);

static const struct {
	const char *path;
	const char *type;
	page_fn_t render;
} pages[] = {
	{ "/v1/status", "application/json", page_status },
	{ "/v1/upstreams", "application/json", page_upstreams },
	{ "/metrics", "text/plain; version=0.0.4", page_metrics },
};

#define NPAGES (sizeof(pages) / sizeof(pages[0]))

static void set_json(admin_request_t *req, json_t *o)
{
	req->text = json_dumps(o, JSON_INDENT(1));
	req->status = MHD_HTTP_OK;
	json_decref(o);
}

static void page_status(admin_request_t *req, const admin_view_t *v)
{
	core_report_t r;
	char hash[24];

	core_report(v->core, v->now, &r);
	g_snprintf(hash, sizeof(hash), "%016" G_GINT64_MODIFIER "x",
		   (guint64)r.conf_hash);
	set_json(req,
		 json_pack("{sb sb sI ss sI sf sI sI sI sI sI sI sI}", "ready",
			   v->ready, "stopping", r.stopping, "revision",
			   (json_int_t)r.revision, "hash", hash, "list_version",
			   (json_int_t)r.list_version, "list_age_s",
			   age_seconds(r.list_age), "open_queries",
			   (json_int_t)r.open_queries, "open_attempts",
			   (json_int_t)r.open_attempts, "upstreams",
			   (json_int_t)r.nupstreams, "log_lines_dropped",
			   (json_int_t)log_dropped(), "daemons",
			   (json_int_t)r.ndaemons, "daemons_suspected",
			   (json_int_t)r.nsuspected, "platform_read",
			   (json_int_t)r.read_mode));
}

static json_t *upstream_json(const upstream_report_t *r)
{
	return json_pack("{ss% ss% ss% ss% sb sI sI sf sI sf sI ss sI sI}",
			 "addr", r->addr.s, r->addr.sz, "service",
			 r->service.s ? r->service.s : "", r->service.sz,
			 "group", r->group.s ? r->group.s : "", r->group.sz,
			 "data_centre", r->dc.s ? r->dc.s : "", r->dc.sz,
			 "leaving", r->leaving, "inflight",
			 (json_int_t)r->inflight, "connections",
			 (json_int_t)r->max_connections, "limit", r->limit,
			 "latency_us", (json_int_t)r->latency, "evidence_age_s",
			 age_seconds(r->evidence_age), "newest_snapshot",
			 (json_int_t)r->newest_snapshot, "state",
			 why_name(r->state), "expected_us",
			 (json_int_t)r->expected, "order", (json_int_t)r->rank);
}

static void page_upstreams(admin_request_t *req, const admin_view_t *v)
{
	json_t *a = json_array();
	upstream_report_t r;
	size_t i;

	for (i = 0; core_report_upstream(v->core, i, v->now, &r); i++)
		json_array_append_new(a, upstream_json(&r));
	set_json(req, a);
}

static void append_peer_counters(GString *s, const peers_counts_t *c)
{
	const struct {
		const char *name;
		uint64_t n;
	} rows[] = {
		{ "messages_sent", c->sent },
		{ "bytes_sent", c->bytes_sent },
		{ "messages_received", c->received },
		{ "bytes_received", c->bytes_received },
		{ "messages_refused", c->refused },
		{ "messages_not_sent", c->not_sent },
	};
	size_t i;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++)
		g_string_append_printf(s,
				       "# TYPE geraniumslip_peer_%s_total "
				       "counter\n"
				       "geraniumslip_peer_%s_total %llu\n",
				       rows[i].name, rows[i].name,
				       (unsigned long long)rows[i].n);
}

/* Appends the CPU time and the peak resident set of the process. */
static void append_process_usage(GString *s)
{
	struct rusage u;
	double cpu;

	getrusage(RUSAGE_SELF, &u);
	cpu = (double)(u.ru_utime.tv_sec + u.ru_stime.tv_sec) +
	      (double)(u.ru_utime.tv_usec + u.ru_stime.tv_usec) / 1e6;
	g_string_append_printf(s,
			       "# TYPE geraniumslip_process_cpu_seconds_total "
			       "counter\n"
			       "geraniumslip_process_cpu_seconds_total %.6f\n"
			       "# TYPE geraniumslip_process_resident_bytes "
			       "gauge\n"
			       "geraniumslip_process_resident_bytes %lld\n",
			       cpu, (long long)u.ru_maxrss * 1024);
}

static void page_metrics(admin_request_t *req, const admin_view_t *v)
{
	GString *s = g_string_new(NULL);
	core_report_t r;
	counter_t k;

	core_report(v->core, v->now, &r);
	for (k = 0; k < CNT_MAX; k++)
		g_string_append_printf(
			s,
			"# TYPE geraniumslip_%s_total counter\n"
			"geraniumslip_%s_total %llu\n",
			counter_name(k), counter_name(k),
			(unsigned long long)core_counter(v->core, k));
	g_string_append_printf(s,
			       "# TYPE geraniumslip_revision gauge\n"
			       "geraniumslip_revision %llu\n"
			       "# TYPE geraniumslip_ready gauge\n"
			       "geraniumslip_ready %d\n"
			       "# TYPE geraniumslip_open_queries gauge\n"
			       "geraniumslip_open_queries %zu\n"
			       "# TYPE geraniumslip_log_lines_dropped_total "
			       "counter\n"
			       "geraniumslip_log_lines_dropped_total %llu\n",
			       (unsigned long long)r.revision, v->ready,
			       r.open_queries,
			       (unsigned long long)log_dropped());
	append_peer_counters(s, v->counts);
	append_process_usage(s);
	req->text = strdup(s->str);
	req->status = MHD_HTTP_OK;
	g_string_free(s, TRUE);
}

void admin_answer(admin_request_t *req, const admin_view_t *v)
{
	size_t i;

	req->answered = true;
	req->status = MHD_HTTP_NOT_FOUND;
	for (i = 0; i < NPAGES; i++) {
		if (strcmp(pages[i].path, req->path) != 0)
			continue;
		req->type = pages[i].type;
		pages[i].render(req, v);
		return;
	}
}

/*
 * Compares in constant time: for strings of equal length, the time does not
 * depend on the position of the first difference.
 */
static bool tokens_equal(const char *a, const char *b)
{
	size_t n = strlen(a);
	unsigned char diff = 0;
	size_t i;

	if (strlen(b) != n)
		return false;
	for (i = 0; i < n; i++)
		diff |= (unsigned char)(a[i] ^ b[i]);
	return diff == 0;
}

static bool authorized(const admin_t *a, struct MHD_Connection *conn)
{
	const char *v = MHD_lookup_connection_value(conn, MHD_HEADER_KIND,
						    "Authorization");

	return v && strncmp(v, BEARER_PREFIX, strlen(BEARER_PREFIX)) == 0 &&
	       tokens_equal(v + strlen(BEARER_PREFIX), a->token);
}

static enum MHD_Result respond(struct MHD_Connection *conn, unsigned status,
			       const char *type, char *text)
{
	struct MHD_Response *r;
	enum MHD_Result ok;

	r = MHD_create_response_from_buffer(text ? strlen(text) : 0, text,
					    MHD_RESPMEM_MUST_FREE);
	if (type)
		MHD_add_response_header(r, "Content-Type", type);
	ok = MHD_queue_response(conn, status, r);
	MHD_destroy_response(r);
	return ok;
}

static enum MHD_Result query_engine(admin_t *a, struct MHD_Connection *conn,
				    const char *url, void **state)
{
	admin_request_t *req = xcalloc(1, sizeof(*req));
	msg_t *m = msg_new(EV_TICK);

	req->path = url;
	req->conn = conn;
	*state = req;
	m->has_event = false;
	m->admin_req = req;
	MHD_suspend_connection(conn);
	engine_post(a->engine, m);
	return MHD_YES;
}

static enum MHD_Result on_access(void *cls, struct MHD_Connection *conn,
				 const char *url, const char *method,
				 const char *version, const char *data,
				 size_t *sz, void **state)
{
	admin_t *a = cls;
	admin_request_t *req = *state;
	char *text;

	(void)version;
	(void)data;
	if (*sz) {
		*sz = 0;
		return MHD_YES;
	}
	if (req) {
		text = req->text;
		req->text = NULL;
		return respond(conn, req->status, req->type, text);
	}
	if (!authorized(a, conn))
		return respond(conn, MHD_HTTP_UNAUTHORIZED, NULL, NULL);
	if (strcmp(url, "/v1/drain") == 0 &&
	    strcmp(method, MHD_HTTP_METHOD_POST) == 0) {
		engine_stop(a->engine);
		return respond(conn, MHD_HTTP_ACCEPTED, NULL, NULL);
	}
	if (strcmp(method, MHD_HTTP_METHOD_GET) != 0)
		return respond(conn, MHD_HTTP_METHOD_NOT_ALLOWED, NULL, NULL);
	return query_engine(a, conn, url, state);
}

static void on_completed(void *cls, struct MHD_Connection *conn, void **state,
			 enum MHD_RequestTerminationCode code)
{
	admin_request_t *req = *state;

	(void)cls;
	(void)conn;
	(void)code;
	if (req)
		free(req->text);
	free(req);
	*state = NULL;
}

admin_t *admin_start(engine_t *e, const settings_t *s)
{
	struct sockaddr_in sa = addr_to_sockaddr(s->admin);
	admin_t *a = xcalloc(1, sizeof(*a));

	a->engine = e;
	a->token = s->admin_token;
	a->mhd = MHD_start_daemon(
		MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME, 0,
		NULL, NULL, on_access, a, MHD_OPTION_SOCK_ADDR, &sa,
		MHD_OPTION_NOTIFY_COMPLETED, on_completed, a,
		MHD_OPTION_CONNECTION_LIMIT, ADMIN_CONNECTIONS,
		MHD_OPTION_CONNECTION_TIMEOUT, IDLE_TIMEOUT_S,
		MHD_OPTION_LISTENING_ADDRESS_REUSE, 1, MHD_OPTION_END);
	if (a->mhd)
		return a;
	free(a);
	return NULL;
}

void admin_stop(admin_t *a)
{
	MHD_stop_daemon(a->mhd);
	free(a);
}
