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

typedef struct watch watch_t;

/* What is done with a watched value. */
typedef struct watch_kind {
	unsigned bit; /* among the watches that read once */
	void (*path)(const watch_t *w, int wait_ms, char *buf, size_t sz);
	/* Takes a value; false if it is not newer than what is known. */
	bool (*take)(watch_t *w, str_t value);
	void (*same)(watch_t *w);
	void (*failed)(watch_t *w);
} watch_kind_t;

/* One watched value. */
struct watch {
	platform_t *platform;
	const watch_kind_t *kind;
	pthread_t thread;
	ne_session *session;
	size_t at;	/* of the platform's addresses */
	uint64_t known; /* newest version that was read */
	usec_t asked_at;
};

struct platform {
	engine_t *engine;
	char **addrs;
	atomic_bool quit;
	watch_t config;
	watch_t hosts;
	loader_t *loader;
	atomic_int mode;  /* read_mode_t */
	atomic_uint once; /* bits of the watches that read once */
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

static uint64_t newest_revision(const watch_t *w)
{
	uint64_t seen = loader_seen(w->platform->loader);

	/* The loader may be reading what was known last. */
	return w->known > seen ? w->known : seen;
}

static void config_path(const watch_t *w, int wait_ms, char *buf, size_t sz)
{
	g_snprintf(buf, sz, "/v1/config/index?after=%llu&wait_ms=%d",
		   (unsigned long long)newest_revision(w), wait_ms);
}

static bool config_take(watch_t *w, str_t index)
{
	conf_store_t *s = loader_copy(w->platform->loader);
	bool fresh = fetch_all(w, s, index) && s->revision > newest_revision(w);

	if (!fresh) {
		conf_store_free(s);
		return false;
	}
	w->known = s->revision;
	loader_put(w->platform->loader, s);
	return true;
}

static void config_nothing(watch_t *w)
{
	(void)w;
}

/* Blocks until this watch is to read; false when it is to quit. */
static bool wait_turn(watch_t *w, int *wait_ms)
{
	platform_t *p = w->platform;
	unsigned bit = w->kind->bit;

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

static bool hosts_take(watch_t *w, str_t text)
{
	json_t *root =
		json_loadb(text.s, text.sz, JSON_REJECT_DUPLICATES, NULL);
	msg_t *m = msg_new(EV_LIST);
	host_list_t *l = arena_alloc(&m->mem, sizeof(*l));
	bool fresh = false;

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
	fresh = l->version > w->known;
	if (fresh)
		w->known = l->version;
	m->ev.list.list = l;
	/* As old as the question: this thread may have slept since. */
	m->ev.list.at = w->asked_at;
	engine_post(w->platform->engine, m);
out:
	json_decref(root);
	return fresh;
}

static void post_list(watch_t *w, ev_kind_t kind)
{
	msg_t *m = msg_new(kind);

	m->ev.list.version = w->known;
	m->ev.list.at = w->asked_at;
	engine_post(w->platform->engine, m);
}

static void hosts_path(const watch_t *w, int wait_ms, char *buf, size_t sz)
{
	g_snprintf(buf, sz, "/v1/hosts?after=%llu&wait_ms=%d",
		   (unsigned long long)w->known, wait_ms);
}

static void hosts_same(watch_t *w)
{
	post_list(w, EV_LIST_SAME);
}

static void hosts_failed(watch_t *w)
{
	post_list(w, EV_LIST_FAILED);
}

static const watch_kind_t config_kind = {
	.bit = BIT_CONFIG,
	.path = config_path,
	.take = config_take,
	.same = config_nothing,
	.failed = config_nothing,
};

static const watch_kind_t hosts_kind = {
	.bit = BIT_HOSTS,
	.path = hosts_path,
	.take = hosts_take,
	.same = hosts_same,
	.failed = hosts_failed,
};

static void read_value(watch_t *w, int wait_ms)
{
	char path[128];
	char *text;
	size_t sz;
	int status;

	w->kind->path(w, wait_ms, path, sizeof(path));
	text = get(w, path, &sz, &status);
	if (!text) {
		w->kind->failed(w);
		turn_away(w);
	} else if (status == MHD_HTTP_NOT_MODIFIED) {
		w->kind->same(w);
	} else if (status != MHD_HTTP_OK) {
		w->kind->failed(w);
		g_usleep(RETRY_PERIOD);
	} else if (!w->kind->take(w, (str_t){ text, sz })) {
		/* A stale platform answers at once: do not ask at once. */
		g_usleep(WAIT_MS * USEC_PER_MSEC);
	}
	free(text);
}

static void *watch_thread(void *arg)
{
	watch_t *w = arg;
	int wait_ms;

	open_session(w);
	while (wait_turn(w, &wait_ms))
		read_value(w, wait_ms);
	ne_session_destroy(w->session);
	return NULL;
}

static bool watch_start(platform_t *p, watch_t *w, const watch_kind_t *kind)
{
	w->platform = p;
	w->kind = kind;
	return pthread_create(&w->thread, NULL, watch_thread, w) == 0;
}

platform_t *platform_start(engine_t *e, loader_t *l, const settings_t *s)
{
	platform_t *p = xcalloc(1, sizeof(*p));

	p->engine = e;
	p->addrs = s->platform;
	p->loader = l;
	if (!watch_start(p, &p->config, &config_kind))
		goto err;
	if (!watch_start(p, &p->hosts, &hosts_kind)) {
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
