/** @file rig.c What the review's cases share. */
#include <arpa/inet.h>
#include <fcntl.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "rig.h"

#define READY_LIMIT_MS 5000
#define FIRST_PORT 10000
#define PORT_COUNT 20000
#define PORTS_PER_PROCESS 20
#define PROGRAM "target/geraniumslip-routed"
#define TEMPLATE "deploy/settings.json.in"
#define FIELDS "review/common/fields.txt"

void rig_note(rig_t *r, const char *fmt, ...)
{
	va_list args;

	fprintf(r->record, "%8.3f ",
		(double)(standin_now() - r->began) / (double)USEC_PER_SEC);
	va_start(args, fmt);
	vfprintf(r->record, fmt, args);
	va_end(args);
	fputc('\n', r->record);
	fflush(r->record);
}

char *rig_text(const rig_t *r, const char *name)
{
	char *path = g_build_filename(r->dir, name, NULL), *text = NULL;

	if (!g_file_get_contents(path, &text, NULL, NULL))
		g_error("cannot read %s", path);
	g_free(path);
	return text;
}

rig_t *rig_new(const char *dir)
{
	const char *trouble = g_getenv("TROUBLE");
	rig_t *r = g_new0(rig_t, 1);
	char *path, *config;

	r->w = world_new("platform");
	r->dir = dir;
	r->began = standin_now();
	r->calls = g_ptr_array_new();
	r->servers = g_ptr_array_new();
	r->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	r->trouble = !trouble || strcmp(trouble, "0") != 0;
	path = g_build_filename(dir, "record.txt", NULL);
	r->record = fopen(path, "w");
	if (!r->record)
		g_error("cannot write %s", path);
	g_free(path);
	config = rig_text(r, "config.json");
	world_publish_config(r->w, config);
	g_free(config);
	rig_note(r, "run with%s the disruption", r->trouble ? "" : "out");
	return r;
}

const char *rig_name(const rig_t *r, outside_header_t h)
{
	return r->w->daemon_protocol->headers[h];
}

str_t rig_header(const rig_t *r, const http_msg_t *m, outside_header_t h)
{
	return http_msg_get(m, rig_name(r, h));
}

void rig_write(world_conn_t *c, const char *bytes, size_t n)
{
	evbuffer_add(bufferevent_get_output(c->bev), bytes, n);
}

static void on_request(world_conn_t *c)
{
	rig_server_t *s = (rig_server_t *)c->server;

	s->handle(s, c);
}

static void on_accept(struct evconnlistener *l, evutil_socket_t fd,
		      struct sockaddr *sa, int sz, void *arg)
{
	rig_server_t *s = arg;

	(void)l;
	(void)sa;
	(void)sz;
	world_conn_new(s->ws.w, &s->ws, fd, on_request, NULL);
}

rig_server_t *rig_server(rig_t *r, const char *id, const char *service,
			 const char *dc,
			 void (*handle)(rig_server_t *, world_conn_t *))
{
	rig_server_t *s = g_new0(rig_server_t, 1);

	s->ws.w = r->w;
	s->handle = handle;
	s->arg = r;
	g_strlcpy(s->ws.id, id, sizeof(s->ws.id));
	g_strlcpy(s->ws.service, service, sizeof(s->ws.service));
	g_strlcpy(s->ws.dc, dc, sizeof(s->ws.dc));
	s->ws.listener = world_listen(r->w, on_accept, s, s->ws.addr);
	g_ptr_array_add(r->servers, s);
	world_publish_server(&s->ws, "ready");
	return s;
}

unsigned rig_ms(const rig_t *r)
{
	return (unsigned)((standin_now() - r->began) / USEC_PER_MSEC);
}

void rig_ran(rig_server_t *s, const char *id)
{
	rig_t *r = s->arg;
	rig_call_t *c = g_hash_table_lookup(r->by_id, id);

	s->ws.runs++;
	if (c)
		c->runs++;
	rig_note(r, "%s runs %s", s->ws.id, id);
}

void rig_id(const world_conn_t *c, char *id, size_t sz)
{
	const rig_server_t *s = (const rig_server_t *)c->server;

	str_copy(id, sz, rig_header(s->arg, &c->msg, OUTSIDE_REQUEST_ID));
}

void rig_answer(world_conn_t *c, const char *status, const char *lines)
{
	const rig_server_t *s = (const rig_server_t *)c->server;
	char id[64];

	rig_id(c, id, sizeof(id));
	evbuffer_add_printf(bufferevent_get_output(c->bev),
			    "HTTP/1.1 %s\r\n%s: %s\r\n%s: %s.%s\r\n%s"
			    "Content-Length: 2\r\n\r\nok",
			    status, rig_name(s->arg, OUTSIDE_REQUEST_ID), id,
			    rig_name(s->arg, OUTSIDE_SERVER_STAMP), s->ws.id,
			    id, lines);
	world_conn_read_next(c);
}

unsigned rig_judge_once(rig_t *r)
{
	unsigned broken = 0, refused = 0, served = 0;
	guint i;

	for (i = 0; i < r->calls->len; i++) {
		const rig_call_t *c = r->calls->pdata[i];

		served += c->status == 200;
		refused += c->status == 503;
		if (c->runs > 1 || (c->status == 503 && c->runs)) {
			broken++;
			rig_note(r, "BROKEN: %s was answered %u and ran %u x",
				 c->id, c->status, c->runs);
		}
	}
	rig_note(r, "%u requests, %u served, %u refused, %u broken",
		 r->calls->len, served, refused, broken);
	return broken;
}

static void call_end(rig_call_t *c, unsigned status)
{
	if (c->done)
		return;
	c->done = true;
	c->status = status;
	c->ended_at = standin_now();
	event_free(c->timer);
	bufferevent_free(c->bev);
	http_msg_clear(&c->msg);
	rig_note(c->r, "%s is answered %u", c->id, status);
}

static void on_call_read(struct bufferevent *bev, void *arg)
{
	rig_call_t *c = arg;

	if (!http_msg_feed(&c->msg, bufferevent_get_input(bev)))
		call_end(c, 0);
	else if (c->msg.done)
		call_end(c, c->msg.parser.status_code);
}

static void on_call_event(struct bufferevent *bev, short what, void *arg)
{
	(void)bev;
	if (!(what & BEV_EVENT_CONNECTED))
		call_end(arg, 0);
}

static void on_call_limit(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	call_end(arg, 0);
}

rig_call_t *rig_call(rig_t *r, const char *first_line, const char *body,
		     unsigned limit_ms)
{
	struct timeval tv = { limit_ms / 1000, limit_ms % 1000 * 1000 };
	rig_call_t *c = g_new0(rig_call_t, 1);

	c->r = r;
	c->sent_at = standin_now();
	g_snprintf(c->id, sizeof(c->id), "9c41d07b%08x", r->calls->len);
	g_ptr_array_add(r->calls, c);
	g_hash_table_insert(r->by_id, c->id, c);
	http_msg_init(&c->msg, HTTP_RESPONSE);
	c->timer = evtimer_new(r->w->base, on_call_limit, c);
	evtimer_add(c->timer, &tv);
	c->bev = world_connect(r->w, r->listen);
	bufferevent_setcb(c->bev, on_call_read, NULL, on_call_event, c);
	evbuffer_add_printf(bufferevent_get_output(c->bev),
			    "%s HTTP/1.1\r\nHost: h\r\n%s: %s\r\n%s: %u\r\n"
			    "Content-Length: %zu\r\n\r\n%s",
			    first_line, rig_name(r, OUTSIDE_REQUEST_ID), c->id,
			    rig_name(r, OUTSIDE_TIME_LEFT), limit_ms,
			    strlen(body), body);
	rig_note(r, "%s is sent", c->id);
	return c;
}

/* Writes the address of a free port below the range of outgoing connections:
 * one of these could otherwise get the port of a daemon that is down. */
static void free_addr(char addr[32])
{
	static unsigned next;
	struct sockaddr_in sa = { .sin_family = AF_INET };
	int err = -1, fd;
	unsigned port;

	if (next == 0)
		next = (unsigned)getpid() * PORTS_PER_PROCESS;
	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	while (err) {
		port = FIRST_PORT + next++ % PORT_COUNT;
		sa.sin_port = htons((uint16_t)port);
		fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		err = bind(fd, (struct sockaddr *)&sa, sizeof(sa));
		close(fd);
		g_snprintf(addr, 32, "127.0.0.1:%u", port);
	}
}

/* Fills in the template of the settings. Each line of the file of fields holds
 * a placeholder and its value, apart by a tab; @0 to @3 are the daemon's
 * addresses and @s the store's. */
static void write_settings(rig_t *r, char addrs[4][32])
{
	GString *text;
	char *from, *fields, **lines, **pair;
	char mark[3] = "@0";
	size_t i, at;

	if (!g_file_get_contents(TEMPLATE, &from, NULL, NULL) ||
	    !g_file_get_contents(FIELDS, &fields, NULL, NULL))
		g_error("run this in the project's folder");
	text = g_string_new(from);
	lines = g_strsplit(fields, "\n", -1);
	for (i = 0; lines[i]; i++) {
		pair = g_strsplit(lines[i], "\t", 2);
		if (pair[0] && pair[1])
			g_string_replace(text, pair[0], pair[1], 0);
		g_strfreev(pair);
	}
	for (at = 0; at < 4; at++) {
		mark[1] = (char)('0' + at);
		g_string_replace(text, mark, addrs[at], 0);
	}
	g_string_replace(text, "@s", r->w->store_addr, 0);
	g_file_set_contents(r->settings, text->str, -1, NULL);
	g_strfreev(lines);
	g_free(fields);
	g_free(from);
	g_string_free(text, TRUE);
}

void rig_restart_daemon(rig_t *r)
{
	int fd;

	r->pid = fork();
	if (r->pid == 0) {
		/* The daemon ends with the case, however that ends. */
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		fd = open(r->log, O_WRONLY | O_CREAT | O_APPEND, 0600);
		dup2(fd, STDOUT_FILENO);
		dup2(fd, STDERR_FILENO);
		execl(PROGRAM, PROGRAM, "--settings", r->settings, NULL);
		_exit(127);
	}
	rig_note(r, "daemon %d is started", (int)r->pid);
}

bool rig_start_daemon(rig_t *r)
{
	usec_t until = standin_now() + READY_LIMIT_MS * USEC_PER_MSEC;
	char addrs[4][32];
	world_answer_t a;
	unsigned status = 0;
	size_t i;

	for (i = 0; i < 4; i++)
		free_addr(addrs[i]);
	r->listen = g_strdup(addrs[0]);
	r->ready = g_strdup(addrs[1]);
	r->settings = g_build_filename(r->w->dir, "settings.json", NULL);
	r->log = g_build_filename(r->w->dir, "daemon.log", NULL);
	write_settings(r, addrs);
	rig_restart_daemon(r);
	while (status != 200 && standin_now() < until) {
		world_run_loop(r->w, 50);
		world_request(r->w, r->ready,
			      "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n", 500,
			      &a);
		status = a.status;
		g_string_free(a.body, TRUE);
	}
	rig_note(r, "daemon %d %s", (int)r->pid,
		 status == 200 ? "is ready" : "isn't ready");
	return status == 200;
}

unsigned rig_daemon_mb(const rig_t *r)
{
	char path[48], *text, *at;
	unsigned mb = 0;

	g_snprintf(path, sizeof(path), "/proc/%d/status", (int)r->pid);
	if (!g_file_get_contents(path, &text, NULL, NULL))
		return 0;
	at = strstr(text, "VmRSS:");
	if (at)
		mb = (unsigned)(strtoul(at + 6, NULL, 10) / 1024);
	g_free(text);
	return mb;
}

bool rig_daemon_ended(rig_t *r, int *status)
{
	if (r->pid <= 0 || waitpid(r->pid, status, WNOHANG) != r->pid)
		return r->pid == 0;
	r->pid = 0;
	return true;
}

void rig_free(rig_t *r)
{
	guint i;

	if (r->pid > 0) {
		kill(r->pid, SIGKILL);
		waitpid(r->pid, NULL, 0);
	}
	if (g_getenv("KEEP_LOG")) {
		printf("%s\n", r->log);
	} else {
		unlink(r->settings);
		unlink(r->log);
	}
	for (i = 0; i < r->calls->len; i++) {
		call_end(r->calls->pdata[i], 0);
		g_free(r->calls->pdata[i]);
	}
	for (i = 0; i < r->servers->len; i++)
		world_server_free(r->servers->pdata[i]);
	g_ptr_array_free(r->calls, TRUE);
	g_ptr_array_free(r->servers, TRUE);
	g_hash_table_destroy(r->by_id);
	world_free(r->w);
	fclose(r->record);
	g_free(r->listen);
	g_free(r->ready);
	g_free(r->settings);
	g_free(r->log);
	g_free(r);
}
