/**
 * @file log.c
 * Writes log lines as JSON through GLib's structured log. Lines are queued and
 * a thread writes them, so that a slow reader does not delay queries. A line
 * that is too long or does not fit into the queue is dropped and counted.
 */
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "libcommon.h"

#define QUEUE_BYTES ((size_t)1 << 20)
#define LINE_MAX_BYTES 2048
#define MEMBERS_FIELD "GS_JSON" /* GLib field of further JSON members */

static struct {
	pthread_t thread;
	pthread_mutex_t lock;
	pthread_cond_t not_empty;
	char *queue; /* lines not written yet */
	size_t queue_sz;
	bool stopping;
	bool running;
	int fd;
	GLogLevelFlags max_level; /* least severe level that is written */
	atomic_uint_fast64_t dropped;
} logger = {
	.lock = PTHREAD_MUTEX_INITIALIZER,
	.not_empty = PTHREAD_COND_INITIALIZER,
	.max_level = G_LOG_LEVEL_INFO,
};

static const struct {
	GLogLevelFlags level;
	const char *name;
} levels[] = {
	{ G_LOG_LEVEL_ERROR, "error" },
	{ G_LOG_LEVEL_CRITICAL, "critical" },
	{ G_LOG_LEVEL_WARNING, "warning" },
	{ G_LOG_LEVEL_MESSAGE, "notice" },
	{ G_LOG_LEVEL_INFO, "info" },
	{ G_LOG_LEVEL_DEBUG, "debug" },
};

#define NLEVELS (sizeof(levels) / sizeof(levels[0]))

static const char *level_name(GLogLevelFlags level)
{
	size_t i;

	for (i = 0; i < NLEVELS; i++)
		if (level & levels[i].level)
			return levels[i].name;
	return "info";
}

static void write_all(const char *p, size_t sz)
{
	ssize_t n;

	while (sz) {
		n = write(logger.fd, p, sz);
		if (n <= 0)
			return;
		p += n;
		sz -= (size_t)n;
	}
}

static void *writer_thread(void *arg)
{
	char *batch = xmalloc(QUEUE_BYTES);
	char *swap;
	size_t sz;
	bool last;

	(void)arg;
	do {
		pthread_mutex_lock(&logger.lock);
		while (logger.queue_sz == 0 && !logger.stopping)
			pthread_cond_wait(&logger.not_empty, &logger.lock);
		swap = logger.queue;
		logger.queue = batch;
		batch = swap;
		sz = logger.queue_sz;
		logger.queue_sz = 0;
		last = logger.stopping;
		pthread_mutex_unlock(&logger.lock);
		write_all(batch, sz);
	} while (!last);
	free(batch);
	return NULL;
}

static void enqueue(const char *line, size_t sz)
{
	pthread_mutex_lock(&logger.lock);
	if (logger.queue_sz + sz > QUEUE_BYTES) {
		atomic_fetch_add(&logger.dropped, 1);
	} else {
		memcpy(logger.queue + logger.queue_sz, line, sz);
		if (logger.queue_sz == 0)
			pthread_cond_signal(&logger.not_empty);
		logger.queue_sz += sz;
	}
	pthread_mutex_unlock(&logger.lock);
}

const char *log_quote(char *buf, size_t sz, str_t v)
{
	size_t n = 0, i;
	unsigned char ch;

	buf[n++] = '"';
	for (i = 0; i < v.sz && n + 8 < sz; i++) {
		ch = (unsigned char)v.s[i];
		if (ch == '"' || ch == '\\') {
			buf[n++] = '\\';
			buf[n++] = (char)ch;
		} else if (ch < 0x20 || ch >= 0x7f) {
			n += (size_t)snprintf(buf + n, sz - n, "\\u%04x", ch);
		} else {
			buf[n++] = (char)ch;
		}
	}
	buf[n++] = '"';
	buf[n] = '\0';
	return buf;
}

static const GLogField *find_field(const GLogField *f, gsize n, const char *key)
{
	gsize i;

	for (i = 0; i < n; i++)
		if (strcmp(f[i].key, key) == 0)
			return &f[i];
	return NULL;
}

static GLogWriterOutput write_json(GLogLevelFlags level, const GLogField *f,
				   gsize n, gpointer data)
{
	const GLogField *members = find_field(f, n, MEMBERS_FIELD);
	const GLogField *msg = find_field(f, n, "MESSAGE");
	char line[LINE_MAX_BYTES], quoted[LINE_MAX_BYTES / 2];
	struct timespec ts;
	int sz;

	(void)data;
	clock_gettime(CLOCK_REALTIME, &ts);
	log_quote(quoted, sizeof(quoted),
		  str_of(msg ? (const char *)msg->value : ""));
	sz = snprintf(line, sizeof(line),
		      "{\"time\":%lld.%06ld,\"level\":\"%s\",\"msg\":%s%s%s}\n",
		      (long long)ts.tv_sec, ts.tv_nsec / 1000,
		      level_name(level), quoted, members ? "," : "",
		      members ? (const char *)members->value : "");
	if (sz < 0 || (size_t)sz >= sizeof(line)) {
		atomic_fetch_add(&logger.dropped, 1);
		return G_LOG_WRITER_HANDLED;
	}
	enqueue(line, (size_t)sz);
	return G_LOG_WRITER_HANDLED;
}

bool log_enabled(GLogLevelFlags level)
{
	return level <= logger.max_level;
}

void log_json(GLogLevelFlags level, const char *msg, const char *fmt, ...)
{
	char members[LINE_MAX_BYTES / 2];
	GLogField f[] = {
		{ "MESSAGE", msg, -1 },
		{ MEMBERS_FIELD, members, -1 },
	};
	va_list ap;
	int sz;

	if (!log_enabled(level))
		return;
	va_start(ap, fmt);
	sz = vsnprintf(members, sizeof(members), fmt, ap);
	va_end(ap);
	if (sz < 0 || (size_t)sz >= sizeof(members)) {
		atomic_fetch_add(&logger.dropped, 1);
		return;
	}
	g_log_structured_array(level, f, *members ? 2 : 1);
}

uint64_t log_dropped(void)
{
	return atomic_load(&logger.dropped);
}

void log_set_level(const char *level)
{
	size_t i;

	for (i = 0; level && i < NLEVELS; i++)
		if (strcmp(level, levels[i].name) == 0)
			logger.max_level = levels[i].level;
}

void log_start(int fd, const char *level)
{
	log_set_level(level);
	logger.fd = fd;
	logger.queue = xmalloc(QUEUE_BYTES);
	logger.running =
		pthread_create(&logger.thread, NULL, writer_thread, NULL) == 0;
	g_log_set_writer_func(write_json, NULL, NULL);
}

void log_stop(void)
{
	pthread_mutex_lock(&logger.lock);
	logger.stopping = true;
	pthread_cond_signal(&logger.not_empty);
	pthread_mutex_unlock(&logger.lock);
	if (logger.running)
		pthread_join(logger.thread, NULL);
	logger.running = false;
}
