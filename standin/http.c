/** @file http.c HTTP server, clock and signal handling of the stand-ins. */
#include <arpa/inet.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "standin.h"

#define IDLE_TIMEOUT_S 600

typedef struct listener {
	http_handler_t handler;
	void *context; /* for http_request_t */
} listener_t;

usec_t standin_now(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (usec_t)ts.tv_sec * USEC_PER_SEC + ts.tv_nsec / 1000;
}

static void stop_signals(sigset_t *set)
{
	sigemptyset(set);
	sigaddset(set, SIGTERM);
	sigaddset(set, SIGINT);
}

void standin_block_stop_signals(void)
{
	sigset_t set;

	stop_signals(&set);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	signal(SIGPIPE, SIG_IGN);
}

void standin_wait_for_stop(void)
{
	sigset_t set;
	int sig;

	stop_signals(&set);
	sigwait(&set, &sig);
}

const char *http_arg(const http_request_t *r, const char *name)
{
	return MHD_lookup_connection_value(r->conn, MHD_GET_ARGUMENT_KIND,
					   name);
}

long http_arg_number(const http_request_t *r, const char *name, long dflt)
{
	const char *v = http_arg(r, name);

	return v ? strtol(v, NULL, 10) : dflt;
}

const char *http_header(const http_request_t *r, const char *name)
{
	const char *v =
		MHD_lookup_connection_value(r->conn, MHD_HEADER_KIND, name);

	return v ? v : "";
}

void http_reply_text(http_request_t *r, unsigned status, const char *text)
{
	r->status = status;
	r->reply = strdup(text);
}

void http_suspend(http_request_t *r)
{
	r->suspended = true;
	MHD_suspend_connection(r->conn);
}

void http_resume(http_request_t *r)
{
	MHD_resume_connection(r->conn);
}

static enum MHD_Result reply(http_request_t *r)
{
	enum MHD_Result ok;

	if (r->abort_connection)
		return MHD_NO;
	if (!r->response)
		r->response = MHD_create_response_from_buffer(
			r->reply ? strlen(r->reply) : 0, r->reply,
			MHD_RESPMEM_MUST_FREE);
	r->reply = NULL;
	ok = MHD_queue_response(r->conn, r->status, r->response);
	MHD_destroy_response(r->response);
	r->response = NULL;
	return ok;
}

static usec_t opened_at(struct MHD_Connection *conn)
{
	const union MHD_ConnectionInfo *i = MHD_get_connection_info(
		conn, MHD_CONNECTION_INFO_SOCKET_CONTEXT);

	return i && i->socket_context ? *(usec_t *)i->socket_context : 0;
}

static void set_client_ip(http_request_t *r)
{
	const union MHD_ConnectionInfo *i = MHD_get_connection_info(
		r->conn, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
	const struct sockaddr_in *sa = (struct sockaddr_in *)i->client_addr;

	inet_ntop(AF_INET, &sa->sin_addr, r->client_ip, sizeof(r->client_ip));
}

static enum MHD_Result on_access(void *cls, struct MHD_Connection *conn,
				 const char *url, const char *method,
				 const char *version, const char *data,
				 size_t *sz, void **state)
{
	listener_t *l = cls;
	http_request_t *r = *state;

	(void)version;
	if (!r) {
		r = g_new0(http_request_t, 1);
		r->conn = conn;
		r->url = g_strdup(url);
		r->method = g_strdup(method);
		r->body = g_byte_array_new();
		r->context = l->context;
		r->opened_at = opened_at(conn);
		set_client_ip(r);
		*state = r;
		return MHD_YES;
	}
	if (*sz) {
		g_byte_array_append(r->body, (const guint8 *)data, (guint)*sz);
		*sz = 0;
		return MHD_YES;
	}
	if (r->suspended)
		return reply(r);
	l->handler(r);
	return r->suspended ? MHD_YES : reply(r);
}

static void on_completed(void *cls, struct MHD_Connection *conn, void **state,
			 enum MHD_RequestTerminationCode code)
{
	http_request_t *r = *state;

	(void)cls;
	(void)conn;
	(void)code;
	if (!r)
		return;
	g_byte_array_free(r->body, TRUE);
	g_free(r->url);
	g_free(r->method);
	free(r->reply);
	g_free(r);
	*state = NULL;
}

static void on_connection(void *cls, struct MHD_Connection *conn, void **ctx,
			  enum MHD_ConnectionNotificationCode code)
{
	(void)cls;
	(void)conn;
	if (code == MHD_CONNECTION_NOTIFY_STARTED) {
		usec_t *at = g_new(usec_t, 1);

		*at = standin_now();
		*ctx = at;
	} else {
		g_free(*ctx);
		*ctx = NULL;
	}
}

struct MHD_Daemon *http_serve(const char *addr, http_handler_t handler,
			      void *context, unsigned connections)
{
	struct sockaddr_in sa = { .sin_family = AF_INET };
	listener_t *l = g_new0(listener_t, 1);
	char host[ADDR_HOST_MAX];
	unsigned port;

	if (!addr_split(str_of(addr), host, &port)) {
		g_free(l);
		return NULL;
	}
	l->handler = handler;
	l->context = context;
	inet_pton(AF_INET, host, &sa.sin_addr);
	sa.sin_port = htons((uint16_t)port);
	return MHD_start_daemon(
		MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME, 0,
		NULL, NULL, on_access, l, MHD_OPTION_SOCK_ADDR, &sa,
		MHD_OPTION_NOTIFY_COMPLETED, on_completed, NULL,
		MHD_OPTION_NOTIFY_CONNECTION, on_connection, NULL,
		MHD_OPTION_CONNECTION_LIMIT, connections,
		MHD_OPTION_CONNECTION_TIMEOUT, IDLE_TIMEOUT_S,
		MHD_OPTION_LISTENING_ADDRESS_REUSE, 1, MHD_OPTION_END);
}
