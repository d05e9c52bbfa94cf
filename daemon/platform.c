/**
 * @file platform.c
 * Client of the platform: one thread watches the configuration's index and
 * reads its sections, another watches the list of hosts.
 */
#include <jansson.h>
#include <ne_request.h>
#include <ne_session.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "libdaemon.h"

#define LONG_POLL_MS 500 /* how long the platform may delay an answer */
#define READ_TIMEOUT_S 2
#define ANSWER_TIMEOUT (3 * USEC_PER_SEC) /* for all of an answer */
#define RETRY_DELAY (200 * USEC_PER_MSEC)
#define MAX_VALUE_BYTES ((size_t)1 << 20)     /* of a response body */
#define MODE_POLL_PERIOD (20 * USEC_PER_MSEC) /* while reading is off */
#define BIT_CONFIG 1U			      /* in read_once_bits */
#define BIT_HOSTS 2U
#define MAX_SECTIONS 4097 /* of a configuration */

typedef struct watch watch_t;

/* Operations on one kind of watched value. */
typedef struct watch_ops {
	unsigned bit; /* in read_once_bits */
	void (*path)(const watch_t *w, int wait_ms, char *buf, size_t sz);
	/* Handles a value; false if it is not newer than the known one. */
	bool (*handle)(watch_t *w, str_t value);
	void (*unchanged)(watch_t *w);
	void (*failed)(watch_t *w);
} watch_ops_t;

/* One watched value. */
struct watch {
	platform_t *platform;
	const watch_ops_t *ops;
	pthread_t thread;
	ne_session *session;
	size_t addr_index;	/* the platform's address in use */
	uint64_t known_version; /* newest that was read */
	usec_t requested_at;
};

struct platform {
	engine_t *engine;
	char **addrs;
	atomic_bool quit;
	watch_t config;
	watch_t hosts;
	loader_t *loader;
	atomic_int read_mode;	    /* read_mode_t */
	atomic_uint read_once_bits; /* watches that are to read once */
};

/*
 * Returns the body of the response, to be freed. NULL with *status 0 if there
 * is no complete response of at most MAX_VALUE_BYTES.
 */
static char *http_get(watch_t *w, const char *path, size_t *sz, int *status)
{
	ne_request *req = ne_request_create(w->session, "GET", path);
	size_t n = 0;
	char *buf = xmalloc(MAX_VALUE_BYTES + 1);
	ssize_t got;

	*status = 0;
	w->requested_at = clock_now();
	ne_set_read_timeout(w->session, READ_TIMEOUT_S);
	if (ne_begin_request(req) != NE_OK)
		goto err;
	do {
		got = ne_read_response_block(req, buf + n,
					     MAX_VALUE_BYTES + 1 - n);
		n += got > 0 ? (size_t)got : 0;
	} while (got > 0 && n <= MAX_VALUE_BYTES &&
		 clock_now() - w->requested_at < ANSWER_TIMEOUT);
	if (got != 0 || n > MAX_VALUE_BYTES || ne_end_request(req) != NE_OK)
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

	addr_split(str_of(w->platform->addrs[w->addr_index]), host, &port);
	w->session = ne_session_create("http", host, port);
	engine_bind_source_addr(w->platform->engine, w->session);
	ne_set_connect_timeout(w->session, READ_TIMEOUT_S);
}

/* After a failure: waits, and continues with the next platform address. */
static void use_next_addr(watch_t *w)
{
	ne_session_destroy(w->session);
	w->addr_index++;
	if (!w->platform->addrs[w->addr_index])
		w->addr_index = 0;
	open_session(w);
	g_usleep(RETRY_DELAY);
}

static bool must_quit(const watch_t *w)
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
	text = http_get(w, path, &sz, &status);
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

/* Fetches the sections that differ from the index into a copy of the store. */
static bool fetch_all(watch_t *w, conf_store_t *s, str_t index)
{
	str_t *needed = xcalloc(MAX_SECTIONS, sizeof(*needed));
	arena_t mem = { 0 };
	bool ok = false;
	int n, i;

	n = conf_store_apply_index(s, index, needed, MAX_SECTIONS, &mem);
	for (i = 0; i < n; i++)
		if (!fetch_section(w, s, needed[i]))
			goto out;
	/* A section that changed during the reads is listed as needed again. */
	ok = n >= 0 &&
	     conf_store_apply_index(s, index, needed, MAX_SECTIONS, &mem) == 0;
out:
	arena_free(&mem);
	free(needed);
	return ok;
}

static uint64_t newest_revision(const watch_t *w)
{
	uint64_t loaded = loader_newest_revision(w->platform->loader);

	/* The loader may still be parsing the last store that was read. */
	return w->known_version > loaded ? w->known_version : loaded;
}

static void config_path(const watch_t *w, int wait_ms, char *buf, size_t sz)
{
	g_snprintf(buf, sz, "/v1/config/index?after=%llu&wait_ms=%d",
		   (unsigned long long)newest_revision(w), wait_ms);
}

static bool config_handle(watch_t *w, str_t index)
{
	conf_store_t *s = loader_copy_store(w->platform->loader);
	bool is_newer =
		fetch_all(w, s, index) && s->revision > newest_revision(w);

	if (!is_newer) {
		conf_store_free(s);
		return false;
	}
	w->known_version = s->revision;
	loader_load_store(w->platform->loader, s);
	return true;
}

static void config_no_op(watch_t *w)
{
	(void)w;
}

/* Blocks until the read mode lets this watch read; false if the thread is to
 * end. */
static bool wait_until_enabled(watch_t *w, int *wait_ms)
{
	platform_t *p = w->platform;
	unsigned bit = w->ops->bit;

	while (!must_quit(w)) {
		*wait_ms = LONG_POLL_MS;
		if (atomic_load(&p->read_mode) == READ_WATCH)
			return true;
		*wait_ms = 0;
		if (atomic_fetch_and(&p->read_once_bits, ~bit) & bit)
			return true;
		g_usleep(MODE_POLL_PERIOD);
	}
	return false;
}

void platform_set_read_mode(platform_t *p, read_mode_t mode)
{
	if (mode == READ_ONCE)
		atomic_store(&p->read_once_bits, BIT_CONFIG | BIT_HOSTS);
	atomic_store(&p->read_mode, mode);
}

static bool hosts_handle(watch_t *w, str_t text)
{
	msg_t *m = msg_new(EV_LIST);
	host_list_t *l = arena_alloc(&m->mem, sizeof(*l));
	bool is_newer;
	size_t bad = 0;

	if (!host_list_parse(text, l, &bad, &m->mem)) {
		log_json(G_LOG_LEVEL_WARNING, "list of hosts refused", "%s",
			 "\"fault\":\"no version above 0\"");
		arena_free(&m->mem);
		free(m);
		return false;
	}
	if (bad)
		log_json(G_LOG_LEVEL_WARNING, "bad entries in list of hosts",
			 "\"version\":%llu,\"entries\":%zu",
			 (unsigned long long)l->version, bad);
	is_newer = l->version > w->known_version;
	if (is_newer)
		w->known_version = l->version;
	m->ev.list.list = l;
	/*
	 * The list is as old as the request: this thread may have been
	 * suspended since then.
	 */
	m->ev.list.at = w->requested_at;
	engine_post(w->platform->engine, m);
	return is_newer;
}

static void post_list(watch_t *w, ev_kind_t kind)
{
	msg_t *m = msg_new(kind);

	m->ev.list.version = w->known_version;
	m->ev.list.at = w->requested_at;
	engine_post(w->platform->engine, m);
}

static void hosts_path(const watch_t *w, int wait_ms, char *buf, size_t sz)
{
	g_snprintf(buf, sz, "/v1/hosts?after=%llu&wait_ms=%d",
		   (unsigned long long)w->known_version, wait_ms);
}

static void hosts_unchanged(watch_t *w)
{
	post_list(w, EV_LIST_UNCHANGED);
}

static void hosts_failed(watch_t *w)
{
	post_list(w, EV_LIST_FAILED);
}

static const watch_ops_t config_ops = {
	.bit = BIT_CONFIG,
	.path = config_path,
	.handle = config_handle,
	.unchanged = config_no_op,
	.failed = config_no_op,
};

static const watch_ops_t hosts_ops = {
	.bit = BIT_HOSTS,
	.path = hosts_path,
	.handle = hosts_handle,
	.unchanged = hosts_unchanged,
	.failed = hosts_failed,
};

static void read_value(watch_t *w, int wait_ms)
{
	char path[128];
	char *text;
	size_t sz;
	int status;

	w->ops->path(w, wait_ms, path, sizeof(path));
	text = http_get(w, path, &sz, &status);
	if (!text) {
		w->ops->failed(w);
		use_next_addr(w);
	} else if (status == MHD_HTTP_NOT_MODIFIED) {
		w->ops->unchanged(w);
	} else if (status != MHD_HTTP_OK) {
		w->ops->failed(w);
		g_usleep(RETRY_DELAY);
	} else if (!w->ops->handle(w, (str_t){ text, sz })) {
		/* A platform with old data answers at once: poll slowly. */
		g_usleep(LONG_POLL_MS * USEC_PER_MSEC);
	}
	free(text);
}

static void *watch_thread(void *arg)
{
	watch_t *w = arg;
	int wait_ms;

	open_session(w);
	while (wait_until_enabled(w, &wait_ms))
		read_value(w, wait_ms);
	ne_session_destroy(w->session);
	return NULL;
}

static bool watch_start(platform_t *p, watch_t *w, const watch_ops_t *ops)
{
	w->platform = p;
	w->ops = ops;
	return pthread_create(&w->thread, NULL, watch_thread, w) == 0;
}

platform_t *platform_start(engine_t *e, loader_t *l, const settings_t *s)
{
	platform_t *p = xcalloc(1, sizeof(*p));

	p->engine = e;
	p->addrs = s->platform;
	p->loader = l;
	if (!watch_start(p, &p->config, &config_ops))
		goto err;
	if (!watch_start(p, &p->hosts, &hosts_ops)) {
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
