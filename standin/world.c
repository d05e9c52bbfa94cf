/** @file world.c Store, callers and daemons of the tests of routed requests. */
#include <arpa/inet.h>
#include <errno.h>
#include <event2/listener.h>
#include <fcntl.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "libworld.h"
#include "standin.h"

/* Longest wait until a new process has installed its signal handlers. */
#define START_LIMIT_USEC USEC_PER_SEC
#define WATCH_MAX_MS 20000
#define FIRST_PORT 10000
#define PORT_COUNT 20000
/* Distance of the first ports of processes with successive ids: tests that run
 * at the same time try different ports. */
#define PORTS_PER_PROCESS 500

/* A write to a key of the store. */
typedef struct item {
	char *key;
	char *value; /* NULL: deleted */
	uint64_t revision;
} item_t;

/* A request that waits for a change after a revision. */
typedef struct watch {
	world_t *w;
	struct bufferevent *bev;
	uint64_t after;
	struct event *timer; /* end of the wait */
} watch_t;

void world_run_loop(world_t *w, unsigned ms)
{
	usec_t until = standin_now() + ms * USEC_PER_MSEC, left;

	while ((left = until - standin_now()) > 0) {
		struct timeval tv = { left / USEC_PER_SEC,
				      left % USEC_PER_SEC };

		event_base_loopexit(w->base, &tv);
		event_base_dispatch(w->base);
	}
}

struct evconnlistener *world_listen(world_t *w, evconnlistener_cb fn, void *arg,
				    char addr[32])
{
	struct sockaddr_in sa = { .sin_family = AF_INET };
	socklen_t sz = sizeof(sa);
	struct evconnlistener *l;

	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	l = evconnlistener_new_bind(w->base, fn, arg,
				    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
				    -1, (struct sockaddr *)&sa, sizeof(sa));
	if (!l)
		g_error("stand-in: cannot listen on 127.0.0.1: %s",
			g_strerror(errno));
	getsockname(evconnlistener_get_fd(l), (struct sockaddr *)&sa, &sz);
	g_snprintf(addr, 32, "127.0.0.1:%u", ntohs(sa.sin_port));
	return l;
}

static void item_free(gpointer data)
{
	item_t *it = data;

	g_free(it->key);
	g_free(it->value);
	g_free(it);
}

static void append_item(const world_t *w, GString *out, const item_t *it)
{
	w->protocol->append_item(out, it->key, it->value, it->revision);
}

static void reply_json(const world_t *w, struct bufferevent *bev,
		       unsigned status, const GString *body)
{
	struct evbuffer *out = bufferevent_get_output(bev);
	int copies = w->store_copies ? 2 : 1;
	char era[64] = "";

	if (w->store_era)
		g_snprintf(era, sizeof(era), "%s: %llu\r\n",
			   w->daemon_protocol->headers[OUTSIDE_ERA],
			   (unsigned long long)w->store_era);
	while (copies--) {
		evbuffer_add_printf(out,
				    "HTTP/1.1 %u X\r\n"
				    "Content-Type: application/json\r\n"
				    "%sContent-Length: %zu\r\n\r\n",
				    status, era, body->len);
		evbuffer_add(out, body->str, body->len);
	}
}

/* The key after which a page of the list begins, unescaped; NULL if its escapes
 * are invalid. The caller frees it. */
static char *list_after(str_t target)
{
	char *text = g_strndup(target.s, target.sz), *key;
	const char *at = strstr(text, "after=");

	at = at ? at + strlen("after=") : "";
	key = g_uri_unescape_segment(at, at + strcspn(at, "&"), NULL);
	g_free(text);
	return key;
}

/* Answers with the items after a key, in the order of their keys. */
static void reply_list(world_t *w, struct bufferevent *bev, const char *after)
{
	const char *const *frame = w->protocol->list_frame;
	GList *keys = g_list_sort(g_hash_table_get_keys(w->items),
				  (GCompareFunc)strcmp);
	GString *out = g_string_new(frame[0]), *tail = g_string_new(frame[1]);
	unsigned n = 0;
	bool more = false;
	GList *k;

	for (k = keys; k && !more; k = k->next) {
		const item_t *it = g_hash_table_lookup(w->items, k->data);

		if (!it->value || strcmp(it->key, after) <= 0)
			continue;
		more = w->list_page && n == w->list_page;
		if (more)
			break;
		g_string_append(out, n++ ? "," : "");
		append_item(w, out, it);
	}
	if (more)
		g_string_replace(tail, "false", "true", 1);
	g_string_append_printf(out, "%s%llu}", tail->str,
			       (unsigned long long)w->revision);
	reply_json(w, bev, 200, out);
	g_string_free(tail, TRUE);
	g_string_free(out, TRUE);
	g_list_free(keys);
}

static void answer_list_request(world_t *w, struct bufferevent *bev,
				str_t target)
{
	char *after = list_after(target);
	GString *error;

	if (after) {
		reply_list(w, bev, after);
	} else {
		error = g_string_new("{\"error\":\"after\"}");
		reply_json(w, bev, 400, error);
		g_string_free(error, TRUE);
	}
	g_free(after);
}

/* Answers a watch with the changes after a revision. Without changes it answers
 * only if always is set. Returns false if it did not answer. */
static bool reply_changes(world_t *w, struct bufferevent *bev, uint64_t after,
			  bool always)
{
	const char *const *frame = w->protocol->changes_frame;
	GString *out = g_string_new(frame[0]);
	bool first = true;
	guint i;

	for (i = 0; i < w->changes->len; i++) {
		const item_t *it = w->changes->pdata[i];

		if (it->revision <= after)
			continue;
		g_string_append(out, first ? "" : ",");
		append_item(w, out, it);
		first = false;
	}
	g_string_append_printf(out, "%s%llu}", frame[1],
			       (unsigned long long)w->revision);
	if (!first || always)
		reply_json(w, bev, 200, out);
	g_string_free(out, TRUE);
	return !first || always;
}

static void watch_free(watch_t *x)
{
	g_ptr_array_remove(x->w->watches, x);
	event_free(x->timer);
	g_free(x);
}

static void on_watch_timeout(evutil_socket_t fd, short what, void *arg)
{
	watch_t *x = arg;

	(void)fd;
	(void)what;
	reply_changes(x->w, x->bev, x->after, true);
	watch_free(x);
}

static void start_watch(world_t *w, struct bufferevent *bev, uint64_t after,
			unsigned ms)
{
	struct timeval tv = { ms / 1000, ms % 1000 * 1000 };
	watch_t *x = g_new0(watch_t, 1);

	x->w = w;
	x->bev = bev;
	x->after = after;
	x->timer = evtimer_new(w->base, on_watch_timeout, x);
	evtimer_add(x->timer, &tv);
	g_ptr_array_add(w->watches, x);
}

static uint64_t query_argument(str_t target, const char *name)
{
	char *text = g_strndup(target.s, target.sz);
	const char *at = strstr(text, name);
	uint64_t n = at ? strtoull(at + strlen(name), NULL, 10) : 0;

	g_free(text);
	return n;
}

static void answer_store_request(world_conn_t *c)
{
	str_t target = http_msg_target(&c->msg);
	world_t *w = c->w;
	uint64_t after = query_argument(target, w->protocol->after_arg);
	uint64_t ms = query_argument(target, w->protocol->wait_arg);
	GString *error;

	if (w->store_down) {
		error = g_string_new("{\"error\":\"down\"}");
		reply_json(w, c->bev, 503, error);
		g_string_free(error, TRUE);
	} else if (memcmp(target.s, w->protocol->list_path,
			  strlen(w->protocol->list_path)) == 0) {
		answer_list_request(w, c->bev, target);
	} else if (w->store_era && after > w->revision) {
		error = g_string_new("{\"error\":\"gone\"}");
		reply_json(w, c->bev, 410, error);
		g_string_free(error, TRUE);
	} else if (!reply_changes(w, c->bev, after, false)) {
		start_watch(w, c->bev, after,
			    ms > WATCH_MAX_MS ? WATCH_MAX_MS : (unsigned)ms);
	}
}

static void on_store_delay_over(evutil_socket_t fd, short what, void *arg)
{
	world_conn_t *c = arg;

	(void)fd;
	(void)what;
	answer_store_request(c);
	world_conn_read_next(c);
}

static void handle_store_request(world_conn_t *c)
{
	world_t *w = c->w;

	w->store_requests++;
	c->silent |= w->store_silent;
	if (c->silent)
		return;
	if (world_conn_write_endless(c, w->store_endless, ""))
		return;
	if (w->store_trickles) {
		world_conn_trickle(c);
		return;
	}
	if (w->store_delay_ms) {
		world_conn_set_timer(c, w->store_delay_ms, on_store_delay_over);
		return;
	}
	answer_store_request(c);
	world_conn_read_next(c);
}

static void free_watches_of(world_t *w, const struct bufferevent *bev)
{
	guint i;

	for (i = w->watches->len; i > 0; i--) {
		watch_t *x = w->watches->pdata[i - 1];

		if (x->bev == bev)
			watch_free(x);
	}
}

static void store_closed(world_conn_t *c)
{
	free_watches_of(c->w, c->bev);
}

static void on_store_accept(struct evconnlistener *l, evutil_socket_t fd,
			    struct sockaddr *sa, int sz, void *arg)
{
	(void)l;
	(void)sa;
	(void)sz;
	world_conn_new(arg, NULL, fd, handle_store_request, store_closed);
}

void world_put(world_t *w, const char *key, const char *value)
{
	item_t *it = g_new0(item_t, 1);
	guint i;

	it->key = g_strdup(key);
	it->value = g_strdup(value);
	it->revision = ++w->revision;
	g_ptr_array_add(w->changes, it);
	g_hash_table_replace(w->items, it->key, it);
	for (i = w->watches->len; i > 0; i--) {
		watch_t *x = w->watches->pdata[i - 1];

		if (reply_changes(w, x->bev, x->after, false))
			watch_free(x);
	}
}

void world_restore(world_t *w, uint64_t revision)
{
	guint i;

	g_hash_table_remove_all(w->items);
	for (i = 0; i < w->changes->len; i++) {
		item_t *it = w->changes->pdata[i];

		if (it->revision > revision)
			break;
		g_hash_table_replace(w->items, it->key, it);
	}
	g_ptr_array_set_size(w->changes, (gint)i);
	w->revision = revision;
	w->store_era++;
}

void world_restore_rewritten(world_t *w, uint64_t revision)
{
	GPtrArray *lost = g_ptr_array_new_with_free_func(item_free);
	GHashTableIter it;
	gpointer v;
	guint i;

	g_hash_table_iter_init(&it, w->items);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const item_t *item = v;
		item_t *copy;

		if (item->revision <= revision)
			continue;
		copy = g_new0(item_t, 1);
		copy->key = g_strdup(item->key);
		copy->value = g_strdup(item->value);
		g_ptr_array_add(lost, copy);
	}
	world_restore(w, revision);
	for (i = 0; i < lost->len; i++) {
		const item_t *item = lost->pdata[i];

		world_put(w, item->key, item->value);
	}
	g_ptr_array_free(lost, TRUE);
}

void world_evacuate(world_t *w, const char *dc, bool evacuated)
{
	char *key = g_strconcat(w->protocol->evacuate_prefix, dc, NULL);
	usec_t now = standin_now();

	if (!evacuated)
		g_hash_table_remove(w->evacuated, dc);
	else if (!g_hash_table_contains(w->evacuated, dc))
		g_hash_table_insert(w->evacuated, g_strdup(dc),
				    g_memdup2(&now, sizeof(now)));
	world_put(w, key, evacuated ? "{}" : NULL);
	g_free(key);
}

void world_publish_config(world_t *w, const char *text)
{
	char *value = w->protocol->convert_config(text);

	world_put(w, w->protocol->config_key, value);
	g_free(value);
}

world_t *world_new(const char *protocol)
{
	world_t *w = g_new0(world_t, 1);

	w->protocol = world_protocol(protocol);
	w->daemon_protocol = outside_protocol_by_name(protocol);
	signal(SIGPIPE, SIG_IGN);
	w->base = event_base_new();
	w->dir = g_dir_make_tmp("geraniumslip-XXXXXX", NULL);
	w->items = g_hash_table_new(g_str_hash, g_str_equal);
	w->changes = g_ptr_array_new_with_free_func(item_free);
	w->watches = g_ptr_array_new();
	w->servers = g_ptr_array_new();
	w->proxies = g_ptr_array_new();
	w->program = "geraniumslip-routed";
	w->more_settings = "";
	w->store_reachable_since = standin_now();
	w->daemons = g_ptr_array_new();
	w->runs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	w->non_idempotent_ids =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	w->evacuated =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	w->held_sockets = g_array_new(FALSE, FALSE, sizeof(int));
	w->revision = 100;
	w->store_listener = world_listen(w, on_store_accept, w, w->store_addr);
	return w;
}

/* Returns an unused port below the system's range for outgoing connections: a
 * connection could otherwise get the port of a daemon that is down. */
static unsigned free_port(void)
{
	static unsigned next;
	struct sockaddr_in sa = { .sin_family = AF_INET };
	unsigned port = 0;
	int fd, err = -1;

	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (next == 0)
		next = (unsigned)getpid() * PORTS_PER_PROCESS;
	while (err) {
		port = FIRST_PORT + next++ % PORT_COUNT;
		fd = socket(AF_INET, SOCK_STREAM, 0);
		sa.sin_port = htons((uint16_t)port);
		err = bind(fd, (struct sockaddr *)&sa, sizeof(sa));
		close(fd);
	}
	return port;
}

static void write_settings(world_t *w, world_daemon_t *d, const char *dc)
{
	GString *seeds = g_string_new("");
	char store[32];
	char *text;
	guint i;

	g_strlcpy(store, w->store_addr, sizeof(store));
	if (w->use_proxies)
		world_proxy(w, w->store_addr, store);

	for (i = 0; i < w->daemons->len; i++)
		g_string_append_printf(
			seeds, "%s\"%s\"", i ? "," : "",
			((world_daemon_t *)w->daemons->pdata[i])->peer);
	text = g_strdup_printf(
		"{\"name\":\"%s\",\"data_centre\":\"%s\",\"listen\":\"%s\","
		"\"ready\":\"%s\",\"admin\":\"%s\",\"peer\":\"%s\","
		"\"seeds\":[%s],\"outside\":\"%s\",\"registry\":\"%s\","
		"\"log_level\":\"debug\",\"stop_grace_ms\":600,"
		"\"stop_limit_ms\":3000,\"extra_share\":0.2,"
		"\"extra_fixed\":1000,\"fleet\":3,\"warmup_overage\":1.5,"
		"\"warmup_slack\":5%s}",
		d->name, dc, d->listen, d->ready, d->admin, d->peer, seeds->str,
		w->protocol->name, store, w->more_settings);
	g_file_set_contents(d->settings, text, -1, NULL);
	g_free(text);
	g_string_free(seeds, TRUE);
}

static const char *daemon_path(const world_daemon_t *d)
{
	static char path[512];
	const char *dir = g_getenv("GERANIUMSLIP_BIN");

	g_snprintf(path, sizeof(path), "%s/%s", dir ? dir : "build",
		   d->program);
	return path;
}

static void start_process(world_daemon_t *d)
{
	int fd;

	d->pid = fork();
	if (d->pid)
		return;
	fd = d->unread_output
		     ? d->unread_output
		     : open(d->log, O_WRONLY | O_CREAT | O_APPEND, 0600);
	dup2(fd, STDOUT_FILENO);
	dup2(fd, STDERR_FILENO);
	execl(daemon_path(d), daemon_path(d), "--settings", d->settings, NULL);
	_exit(127);
}

/* Returns true if a process has a handler for SIGHUP, which is signal 1 and
 * thus the lowest bit of the mask SigCgt in /proc/PID/status. */
static bool handles_signals(pid_t pid)
{
	char path[48];
	gchar *text, *at;
	bool yes = false;

	g_snprintf(path, sizeof(path), "/proc/%d/status", (int)pid);
	if (!g_file_get_contents(path, &text, NULL, NULL))
		return false;
	at = strstr(text, "SigCgt:");
	if (at)
		yes = g_ascii_strtoull(at + strlen("SigCgt:"), NULL, 16) & 1;
	g_free(text);
	return yes;
}

void world_signal(const world_daemon_t *d, int sig)
{
	usec_t until = standin_now() + START_LIMIT_USEC;

	while (!handles_signals(d->pid) && standin_now() < until)
		g_usleep(1000);
	kill(d->pid, sig);
}

static world_daemon_t *daemon_new(world_t *w, const char *dc)
{
	world_daemon_t *d = g_new0(world_daemon_t, 1);
	char *addrs[] = { d->listen, d->ready, d->admin, d->peer };
	size_t i;

	g_snprintf(d->name, sizeof(d->name), "d%u", w->daemons->len);
	d->program = w->program;
	for (i = 0; i < 4; i++)
		g_snprintf(addrs[i], 32, "127.0.0.1:%u", free_port());
	d->settings = g_strdup_printf("%s/%s.json", w->dir, d->name);
	d->log = g_strdup_printf("%s/%s.log", w->dir, d->name);
	write_settings(w, d, dc);
	g_ptr_array_add(w->daemons, d);
	return d;
}

world_daemon_t *world_start_daemon(world_t *w, const char *dc)
{
	world_daemon_t *d = daemon_new(w, dc);

	start_process(d);
	return d;
}

world_daemon_t *world_start_daemon_unread(world_t *w, const char *dc)
{
	world_daemon_t *d = daemon_new(w, dc);
	int ends[2];

	/* The read end stays open and is never read. */
	if (pipe(ends) == 0) {
		d->unread_output = ends[1];
		w->unread_pipe = ends[0];
	}
	start_process(d);
	return d;
}

bool world_wait_ready(world_t *w, world_daemon_t *d, bool ready, unsigned ms)
{
	usec_t until = standin_now() + ms * USEC_PER_MSEC;
	world_answer_t a;

	do {
		world_request(w, d->ready,
			      "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n", 500,
			      &a);
		g_string_free(a.body, TRUE);
		if ((a.status == 200) == ready)
			return true;
		world_run_loop(w, 20);
	} while (standin_now() < until);
	return false;
}

unsigned world_run_count(const world_t *w, const char *id)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(w->runs, id));
}

/* Reads one answer from a caller's connection. */
typedef struct answer_reader {
	world_t *w;
	http_msg_t msg;
	bool finished; /* the answer is complete, invalid or cut off */
	bool closed;
} answer_reader_t;

static void on_answer_bytes(struct bufferevent *bev, void *arg)
{
	answer_reader_t *x = arg;

	while (!x->finished) {
		x->finished =
			!http_msg_feed(&x->msg, bufferevent_get_input(bev));
		if (x->finished)
			break;
		if (!x->msg.done)
			return;
		x->finished = x->msg.parser.status_code >= 200;
		if (!x->finished)
			http_msg_reset(&x->msg, HTTP_RESPONSE);
	}
	event_base_loopbreak(x->w->base);
}

static void on_answer_event(struct bufferevent *bev, short what, void *arg)
{
	answer_reader_t *x = arg;

	(void)bev;
	if (what & BEV_EVENT_CONNECTED)
		return;
	x->closed = true;
	x->finished = true;
	event_base_loopbreak(x->w->base);
}

struct bufferevent *world_connect(world_t *w, const char *addr)
{
	struct sockaddr_in sa = addr_to_sockaddr(addr);
	struct bufferevent *bev =
		bufferevent_socket_new(w->base, -1, BEV_OPT_CLOSE_ON_FREE);

	bufferevent_enable(bev, EV_READ | EV_WRITE);
	bufferevent_socket_connect(bev, (struct sockaddr *)&sa, sizeof(sa));
	return bev;
}

static void fill_answer(world_answer_t *a, const answer_reader_t *x)
{
	const outside_protocol_t *o = x->w->daemon_protocol;
	char text[32];

	a->closed = x->closed;
	if (!x->msg.done)
		return;
	a->status = x->msg.parser.status_code;
	str_copy(a->stamps, sizeof(a->stamps),
		 http_msg_get(&x->msg, o->headers[OUTSIDE_PART_STAMPS]));
	str_copy(text, sizeof(text),
		 http_msg_get(&x->msg, o->headers[OUTSIDE_MISSING_SHARDS]));
	a->missing = (unsigned)strtoul(text, NULL, 10);
	str_copy(a->retry_after, sizeof(a->retry_after),
		 http_msg_get(&x->msg, o->headers[OUTSIDE_RETRY_AFTER]));
	g_string_append_len(a->body, x->msg.body->str,
			    (gssize)x->msg.body->len);
}

void world_write(world_t *w, struct bufferevent *bev, const char *bytes)
{
	static const outside_header_t names[] = { OUTSIDE_REQUEST_ID,
						  OUTSIDE_TIME_LEFT };
	const outside_protocol_t *from = outside_protocol_by_name("platform");
	GString *text = g_string_new(bytes);
	char *old_name, *new_name;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(names); i++) {
		old_name = g_strdup_printf("\n%s:", from->headers[names[i]]);
		new_name = g_strdup_printf(
			"\n%s:", w->daemon_protocol->headers[names[i]]);
		g_string_replace(text, old_name, new_name, 0);
		g_free(old_name);
		g_free(new_name);
	}
	evbuffer_add(bufferevent_get_output(bev), text->str, text->len);
	g_string_free(text, TRUE);
}

void world_request_on(world_t *w, struct bufferevent *bev, const char *bytes,
		      unsigned ms, world_answer_t *a)
{
	usec_t began = standin_now(), left;
	answer_reader_t x = { .w = w };

	*a = (world_answer_t){ .body = g_string_new(NULL) };
	http_msg_init(&x.msg, HTTP_RESPONSE);
	bufferevent_setcb(bev, on_answer_bytes, NULL, on_answer_event, &x);
	world_write(w, bev, bytes);
	/* Bytes that are buffered already cause no read event. */
	if (evbuffer_get_length(bufferevent_get_input(bev)))
		on_answer_bytes(bev, &x);
	while (!x.finished &&
	       (left = began + ms * USEC_PER_MSEC - standin_now()) > 0) {
		struct timeval tv = { left / USEC_PER_SEC,
				      left % USEC_PER_SEC };

		event_base_loopexit(w->base, &tv);
		event_base_dispatch(w->base);
	}
	a->latency = standin_now() - began;
	fill_answer(a, &x);
	bufferevent_setcb(bev, NULL, NULL, NULL, NULL);
	http_msg_clear(&x.msg);
}

void world_request(world_t *w, const char *addr, const char *bytes, unsigned ms,
		   world_answer_t *a)
{
	struct bufferevent *bev = world_connect(w, addr);

	world_request_on(w, bev, bytes, ms, a);
	bufferevent_free(bev);
}

void world_restart(world_daemon_t *d)
{
	start_process(d);
}

void world_keep_logs(world_t *w)
{
	w->keep_logs = true;
	printf("logs are kept in %s\n", w->dir);
}

static void daemon_free(world_daemon_t *d, bool keep)
{
	if (d->pid > 0) {
		kill(d->pid, SIGKILL);
		kill(d->pid, SIGCONT);
		waitpid(d->pid, NULL, 0);
	}
	if (d->unread_output)
		close(d->unread_output);
	if (!keep) {
		g_unlink(d->settings);
		g_unlink(d->log);
	}
	g_free(d->settings);
	g_free(d->log);
	g_free(d);
}

void world_free(world_t *w)
{
	guint i;

	for (i = 0; i < w->daemons->len; i++)
		daemon_free(w->daemons->pdata[i], w->keep_logs);
	/* Handles the closing of the killed daemons' connections. */
	world_run_loop(w, 50);
	for (i = 0; i < w->proxies->len; i++)
		world_proxy_free(w->proxies->pdata[i]);
	g_ptr_array_free(w->proxies, TRUE);
	for (i = 0; i < w->servers->len; i++)
		world_server_free(w->servers->pdata[i]);
	evconnlistener_free(w->store_listener);
	for (i = w->watches->len; i > 0; i--)
		watch_free(w->watches->pdata[i - 1]);
	g_ptr_array_free(w->watches, TRUE);
	g_hash_table_destroy(w->items);
	g_ptr_array_free(w->changes, TRUE);
	g_ptr_array_free(w->servers, TRUE);
	g_ptr_array_free(w->daemons, TRUE);
	g_hash_table_destroy(w->runs);
	g_hash_table_destroy(w->non_idempotent_ids);
	g_hash_table_destroy(w->evacuated);
	for (i = 0; i < w->held_sockets->len; i++)
		close(g_array_index(w->held_sockets, int, i));
	g_array_free(w->held_sockets, TRUE);
	if (w->unread_pipe)
		close(w->unread_pipe);
	g_rmdir(w->dir);
	g_free(w->dir);
	event_base_free(w->base);
	g_free(w);
}
