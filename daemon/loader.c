/**
 * @file loader.c
 * The sections of the configuration in force, and the thread that reads new
 * ones, so that parsing never holds up a query.
 */
#include <pthread.h>
#include <stdlib.h>

#include "libdaemon.h"

/* Work for the thread: a whole store, or a delta; neither to quit. */
typedef struct load {
	conf_store_t *store;
	str_t delta; /* owned */
} load_t;

struct loader {
	engine_t *engine;
	pthread_t thread;
	GAsyncQueue *queue;
	pthread_mutex_t lock;
	conf_store_t *store; /* under lock: the newest valid one */
	uint64_t refused;    /* under lock: newest that was not valid */
};

static void report(const conf_store_t *s, const conf_faults_t *f)
{
	char path[256], detail[256];

	log_json(G_LOG_LEVEL_WARNING, "configuration refused",
		 "\"revision\":%llu,\"faults\":%zu,\"path\":%s,"
		 "\"fault\":\"%s\",\"detail\":%s",
		 (unsigned long long)s->revision, f->n,
		 log_quote(path, sizeof(path), str_of(f->v[0].path)),
		 conf_strerror(f->v[0].err),
		 log_quote(detail, sizeof(detail), str_of(f->v[0].detail)));
}

static void keep(loader_t *l, conf_store_t *s)
{
	pthread_mutex_lock(&l->lock);
	conf_store_free(l->store);
	l->store = s;
	pthread_mutex_unlock(&l->lock);
}

/* Takes over the store. */
static void take(loader_t *l, conf_store_t *s)
{
	conf_faults_t *f;
	conf_t *conf;
	msg_t *m;

	if (s->revision <= loader_seen(l)) {
		conf_store_free(s);
		return;
	}
	f = xcalloc(1, sizeof(*f));
	conf = conf_store_parse(s, f);
	if (conf) {
		keep(l, s);
		m = msg_new(EV_CONF);
		m->ev.conf = conf;
		engine_post(l->engine, m);
	} else {
		report(s, f);
		pthread_mutex_lock(&l->lock);
		l->refused = s->revision;
		pthread_mutex_unlock(&l->lock);
		conf_store_free(s);
	}
	free(f);
}

static void apply(loader_t *l, str_t delta)
{
	conf_store_t *s = loader_copy(l);

	if (conf_store_apply(s, delta)) {
		take(l, s);
		return;
	}
	log_json(G_LOG_LEVEL_WARNING, "delta refused", "\"revision\":%llu",
		 (unsigned long long)s->revision);
	conf_store_free(s);
}

static void *loader_thread(void *arg)
{
	loader_t *l = arg;
	bool quit = false;
	load_t *w;

	while (!quit) {
		w = g_async_queue_pop(l->queue);
		TAKE_OVER(w);
		quit = !w->store && !w->delta.s;
		if (w->store)
			take(l, w->store);
		if (w->delta.s)
			apply(l, w->delta);
		str_free(w->delta);
		free(w);
	}
	return NULL;
}

loader_t *loader_start(engine_t *e)
{
	loader_t *l = xcalloc(1, sizeof(*l));

	l->engine = e;
	l->queue = g_async_queue_new();
	l->store = conf_store_new();
	pthread_mutex_init(&l->lock, NULL);
	if (pthread_create(&l->thread, NULL, loader_thread, l) == 0)
		return l;
	g_async_queue_unref(l->queue);
	conf_store_free(l->store);
	free(l);
	return NULL;
}

static void push(loader_t *l, conf_store_t *s, str_t delta)
{
	load_t *w = xcalloc(1, sizeof(*w));

	w->store = s;
	w->delta = delta;
	HAND_OVER(w);
	g_async_queue_push(l->queue, w);
}

void loader_put(loader_t *l, conf_store_t *s)
{
	push(l, s, (str_t){ NULL, 0 });
}

void loader_apply(loader_t *l, str_t delta)
{
	push(l, NULL, str_dup(delta));
}

uint64_t loader_seen(loader_t *l)
{
	uint64_t rev;

	pthread_mutex_lock(&l->lock);
	rev = l->store->revision > l->refused ? l->store->revision : l->refused;
	pthread_mutex_unlock(&l->lock);
	return rev;
}

conf_store_t *loader_copy(loader_t *l)
{
	conf_store_t *s;

	pthread_mutex_lock(&l->lock);
	s = conf_store_copy(l->store);
	pthread_mutex_unlock(&l->lock);
	return s;
}

char *loader_delta(loader_t *l, uint64_t since)
{
	char *text;

	pthread_mutex_lock(&l->lock);
	text = conf_store_delta(l->store, since);
	pthread_mutex_unlock(&l->lock);
	return text;
}

void loader_stop(loader_t *l)
{
	if (!l)
		return;
	push(l, NULL, (str_t){ NULL, 0 });
	pthread_join(l->thread, NULL);
	g_async_queue_unref(l->queue);
	conf_store_free(l->store);
	pthread_mutex_destroy(&l->lock);
	free(l);
}
