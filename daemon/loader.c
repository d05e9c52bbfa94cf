/**
 * @file loader.c
 * Stores the sections of the newest valid configuration. A separate thread
 * parses new ones, so that parsing does not delay queries.
 */
#include <pthread.h>
#include <stdlib.h>

#include "libdaemon.h"

/* A store or a delta to be parsed; a task without both ends the thread. */
typedef struct load_task {
	conf_store_t *store;
	str_t delta; /* owned */
} load_task_t;

struct loader {
	engine_t *engine;
	pthread_t thread;
	GAsyncQueue *queue;
	pthread_mutex_t lock;
	conf_store_t *store;	   /* under lock: newest valid sections */
	uint64_t refused_revision; /* under lock: newest invalid one */
};

static void log_refused(const conf_store_t *s, const conf_faults_t *f)
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

static void replace_store(loader_t *l, conf_store_t *s)
{
	pthread_mutex_lock(&l->lock);
	conf_store_free(l->store);
	l->store = s;
	pthread_mutex_unlock(&l->lock);
}

/* Parses a newer store and posts the result. Takes ownership of s. */
static void load_store(loader_t *l, conf_store_t *s)
{
	conf_faults_t *f;
	conf_t *conf;
	msg_t *m;

	if (s->revision <= loader_newest_revision(l)) {
		conf_store_free(s);
		return;
	}
	f = xcalloc(1, sizeof(*f));
	conf = conf_store_parse(s, f);
	if (conf) {
		replace_store(l, s);
		m = msg_new(EV_CONF);
		m->ev.conf = conf;
		engine_post(l->engine, m);
	} else {
		log_refused(s, f);
		pthread_mutex_lock(&l->lock);
		l->refused_revision = s->revision;
		pthread_mutex_unlock(&l->lock);
		conf_store_free(s);
	}
	free(f);
}

static void load_delta(loader_t *l, str_t delta)
{
	conf_store_t *s = loader_copy_store(l);

	if (conf_store_apply_delta(s, delta)) {
		load_store(l, s);
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
	load_task_t *task;

	while (!quit) {
		task = g_async_queue_pop(l->queue);
		TSAN_ACQUIRE(task);
		quit = !task->store && !task->delta.s;
		if (task->store)
			load_store(l, task->store);
		if (task->delta.s)
			load_delta(l, task->delta);
		str_free(task->delta);
		free(task);
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

static void enqueue_task(loader_t *l, conf_store_t *s, str_t delta)
{
	load_task_t *task = xcalloc(1, sizeof(*task));

	task->store = s;
	task->delta = delta;
	TSAN_RELEASE(task);
	g_async_queue_push(l->queue, task);
}

void loader_load_store(loader_t *l, conf_store_t *s)
{
	enqueue_task(l, s, (str_t){ NULL, 0 });
}

void loader_load_delta(loader_t *l, str_t delta)
{
	enqueue_task(l, NULL, str_dup(delta));
}

uint64_t loader_newest_revision(loader_t *l)
{
	uint64_t rev;

	pthread_mutex_lock(&l->lock);
	rev = l->store->revision > l->refused_revision ? l->store->revision
						       : l->refused_revision;
	pthread_mutex_unlock(&l->lock);
	return rev;
}

conf_store_t *loader_copy_store(loader_t *l)
{
	conf_store_t *s;

	pthread_mutex_lock(&l->lock);
	s = conf_store_copy(l->store);
	pthread_mutex_unlock(&l->lock);
	return s;
}

char *loader_delta_since(loader_t *l, uint64_t since)
{
	char *text;

	pthread_mutex_lock(&l->lock);
	text = conf_store_delta_text(l->store, since);
	pthread_mutex_unlock(&l->lock);
	return text;
}

void loader_stop(loader_t *l)
{
	if (!l)
		return;
	enqueue_task(l, NULL, (str_t){ NULL, 0 });
	pthread_join(l->thread, NULL);
	g_async_queue_unref(l->queue);
	conf_store_free(l->store);
	pthread_mutex_destroy(&l->lock);
	free(l);
}
