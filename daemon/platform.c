/**
 * @file platform.c
 * Reads and watches the platform: the configuration's index and sections,
 * and the list of hosts. A thread for each of the two.
 */
#include <jansson.h>
#include <ne_request.h>
#include <ne_session.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "libdaemon.h"

#define WAIT_MS 500 /* how long a watch waits for news */
#define READ_TIMEOUT_S 2
#define RETRY_PERIOD (200 * USEC_PER_MSEC)
#define MAX_VALUE ((size_t)1 << 20) /* bytes of a platform value */
#define IDLE_PERIOD (20 * USEC_PER_MSEC)
#define BIT_CONFIG 1U
#define BIT_HOSTS 2U
#define MAX_NEED 4097 /* sections of a configuration */

/* One watched value. */
typedef struct watch {
	platform_t *platform;
	pthread_t thread;
	ne_session *session;
	size_t at; /* of the platform's addresses */
	usec_t asked_at;
} watch_t;

struct platform {
	engine_t *engine;
	char **addrs;
	atomic_bool quit;
	watch_t config;
	watch_t hosts;
	loader_t *loader;
	atomic_int mode;  /* read_mode_t */
	atomic_uint once; /* bits of the watches that read once */
	uint64_t hosts_version;
};

/* Reads a value; NULL with *status 0 if the platform did not answer. */
static char *get(watch_t *w, const char *path, size_t *sz, int *status)
{
	ne_request *req = ne_request_create(w->session, "GET", path);
	size_t n = 0;
	char *buf = xmalloc(MAX_VALUE + 1);
	ssize_t got;

	*status = 0;
	w->asked_at = clock_now();
	ne_set_read_timeout(w->session, READ_TIMEOUT_S);
	if (ne_begin_request(req) != NE_OK)
		goto err;
	do {
		got = ne_read_response_block(req, buf + n, MAX_VALUE + 1 - n);
		n += got > 0 ? (size_t)got : 0;
	} while (got > 0 && n <= MAX_VALUE);
	if (got != 0 || n > MAX_VALUE || ne_end_request(req) != NE_OK)
		goto err;
	*status = ne_get_status(req)->code;
	buf[n] = '\0';
	*sz = n;
	ne_request_destroy(req);
	return buf;
err:
	ne_request_destroy(req);
	ne_close_connection(w->session);
	free(buf);
	return NULL;
}

static void open_session(watch_t *w)
{
	char host[ADDR_HOST_MAX];
	unsigned port;

	addr_split(str_of(w->platform->addrs[w->at]), host, &port);
	w->session = ne_session_create("http", host, port);
	engine_bind_session(w->platform->engine, w->session);
	ne_set_connect_timeout(w->session, READ_TIMEOUT_S);
}

/* The next address of the platform, after a failure. */
static void turn_away(watch_t *w)
{
	ne_session_destroy(w->session);
	w->at++;
	if (!w->platform->addrs[w->at])
		w->at = 0;
	open_session(w);
	g_usleep(RETRY_PERIOD);
}

static bool quitting(const watch_t *w)
{
	return atomic_load(&w->platform->quit);
}

static bool fetch_section(watch_t *w, conf_store_t *s, str_t name)
{
	char path[256];
	json_t *root;
	json_t *o, *rev;
	char *text, *body;
	size_t sz;
	int status;
	bool ok;

	g_snprintf(path, sizeof(path), "/v1/config/sections/%.*s",
		   STR_ARG(name));
	text = get(w, path, &sz, &status);
	if (!text)
		return false;
	root = json_loadb(text, sz, JSON_REJECT_DUPLICATES, NULL);
	o = json_object_get(root, "value");
	rev = json_object_get(root, "rev");
	ok = status == MHD_HTTP_OK && json_is_object(o) && json_is_integer(rev);
	if (ok) {
		body = json_dumps(o, JSON_COMPACT | JSON_SORT_KEYS);
		conf_store_set(s, name, (uint64_t)json_integer_value(rev),
			       str_of(body));
		free(body);
	}
	json_decref(root);
	free(text);
	return ok;
}

/* Brings a copy of the store to an index, section by section. */
static bool fetch_all(watch_t *w, conf_store_t *s, str_t index)
{
	str_t *need = xcalloc(MAX_NEED, sizeof(*need));
	arena_t mem = { 0 };
	bool ok = false;
	int n, i;

	n = conf_store_index(s, index, need, MAX_NEED, &mem);
	for (i = 0; i < n; i++)
		if (!fetch_section(w, s, need[i]))
			goto out;
	/* A section that changed meanwhile shows as needed again. */
	ok = n >= 0 && conf_store_index(s, index, need, MAX_NEED, &mem) == 0;
out:
	arena_free(&mem);
	free(need);
	return ok;
}

static void take_index(watch_t *w, str_t index)
{
	conf_store_t *s = loader_copy(w->platform->loader);

	if (fetch_all(w, s, index))
		loader_put(w->platform->loader, s);
	else
		conf_store_free(s);
}

/* Blocks until this watch is to read; false when it is to quit. */
static bool wait_turn(watch_t *w, unsigned bit, int *wait_ms)
{
	platform_t *p = w->platform;

	while (!quitting(w)) {
		*wait_ms = WAIT_MS;
		if (atomic_load(&p->mode) == READ_WATCH)
			return true;
		*wait_ms = 0;
		if (atomic_fetch_and(&p->once, ~bit) & bit)
			return true;
		g_usleep(IDLE_PERIOD);
	}
	return false;
}

void platform_read(platform_t *p, read_mode_t mode)
{
	if (mode == READ_ONCE)
		atomic_store(&p->once, BIT_CONFIG | BIT_HOSTS);
	atomic_store(&p->mode, mode);
}

static void *config_thread(void *arg)
{
	watch_t *w = arg;
	char path[128];
	char *text;
	size_t sz;
	int status, wait_ms;

	open_session(w);
	while (wait_turn(w, BIT_CONFIG, &wait_ms)) {
		g_snprintf(path, sizeof(path),
			   "/v1/config/index?after=%llu&wait_ms=%d",
			   (unsigned long long)loader_seen(w->platform->loader),
			   wait_ms);
		text = get(w, path, &sz, &status);
		if (!text)
			turn_away(w);
		else if (status == MHD_HTTP_OK)
			take_index(w, (str_t){ text, sz });
		else if (status != MHD_HTTP_NOT_MODIFIED)
			g_usleep(RETRY_PERIOD);
		free(text);
	}
	ne_session_destroy(w->session);
	return NULL;
}

static str_t member_str(arena_t *mem, json_t *o, const char *key)
{
	return arena_str(mem,
			 str_of(json_string_value(json_object_get(o, key))));
}

static void read_daemons(json_t *a, host_list_t *l, arena_t *mem)
{
	size_t i;

	l->ndaemons = json_array_size(a);
	l->daemons = arena_alloc(mem, l->ndaemons * sizeof(*l->daemons));
	for (i = 0; i < l->ndaemons; i++) {
		json_t *o = json_array_get(a, i);

		l->daemons[i].name = member_str(mem, o, "name");
		l->daemons[i].dc = member_str(mem, o, "dc");
		l->daemons[i].peer = member_str(mem, o, "peer");
		l->daemons[i].leaving =
			json_is_true(json_object_get(o, "leaving"));
	}
}

static void read_leaving(json_t *a, host_list_t *l, arena_t *mem)
{
	size_t i;

	l->nleaving = json_array_size(a);
	l->leaving = arena_alloc(mem, l->nleaving * sizeof(*l->leaving));
	for (i = 0; i < l->nleaving; i++)
		l->leaving[i] = arena_str(
			mem, str_of(json_string_value(json_array_get(a, i))));
}

static void take_hosts(watch_t *w, const char *text, size_t sz)
{
	json_t *root = json_loadb(text, sz, JSON_REJECT_DUPLICATES, NULL);
	msg_t *m = msg_new(EV_LIST);
	host_list_t *l = arena_alloc(&m->mem, sizeof(*l));

	if (!json_is_integer(json_object_get(root, "version"))) {
		log_json(G_LOG_LEVEL_WARNING, "list of hosts refused", "%s",
			 "");
		arena_free(&m->mem);
		free(m);
		goto out;
	}
	l->version =
		(uint64_t)json_integer_value(json_object_get(root, "version"));
	read_daemons(json_object_get(root, "daemons"), l, &m->mem);
	read_leaving(json_object_get(root, "leaving"), l, &m->mem);
	w->platform->hosts_version = l->version;
	m->ev.list.list = l;
	/* As old as the question: this thread may have slept since. */
	m->ev.list.at = w->asked_at;
	engine_post(w->platform->engine, m);
out:
	json_decref(root);
}

static void post_list(watch_t *w, ev_kind_t kind)
{
	msg_t *m = msg_new(kind);

	m->ev.list.version = w->platform->hosts_version;
	m->ev.list.at = w->asked_at;
	engine_post(w->platform->engine, m);
}

static void *hosts_thread(void *arg)
{
	watch_t *w = arg;
	char path[128];
	char *text;
	size_t sz;
	int status, wait_ms;

	open_session(w);
	while (wait_turn(w, BIT_HOSTS, &wait_ms)) {
		g_snprintf(path, sizeof(path),
			   "/v1/hosts?after=%llu&wait_ms=%d",
			   (unsigned long long)w->platform->hosts_version,
			   wait_ms);
		text = get(w, path, &sz, &status);
		if (!text) {
			post_list(w, EV_LIST_FAILED);
			turn_away(w);
		} else if (status == MHD_HTTP_OK) {
			take_hosts(w, text, sz);
		} else if (status == MHD_HTTP_NOT_MODIFIED) {
			post_list(w, EV_LIST_SAME);
		} else {
			post_list(w, EV_LIST_FAILED);
			g_usleep(RETRY_PERIOD);
		}
		free(text);
	}
	ne_session_destroy(w->session);
	return NULL;
}

platform_t *platform_start(engine_t *e, loader_t *l, const settings_t *s)
{
	platform_t *p = xcalloc(1, sizeof(*p));

	p->engine = e;
	p->addrs = s->platform;
	p->loader = l;
	p->config.platform = p;
	p->hosts.platform = p;
	if (pthread_create(&p->config.thread, NULL, config_thread, &p->config))
		goto err;
	if (pthread_create(&p->hosts.thread, NULL, hosts_thread, &p->hosts)) {
		atomic_store(&p->quit, true);
		pthread_join(p->config.thread, NULL);
		goto err;
	}
	return p;
err:
	free(p);
	return NULL;
}

void platform_stop(platform_t *p)
{
	atomic_store(&p->quit, true);
	pthread_join(p->config.thread, NULL);
	pthread_join(p->hosts.thread, NULL);
	free(p);
}
