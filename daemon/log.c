/**
 * @file log.c
 * JSON lines through GLib's log. Lines wait in a bounded queue that a thread
 * writes out, so that a slow reader never holds up a query.
 */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "libdaemon.h"

#define QUEUE_BYTES ((size_t)1 << 20)
#define LINE_MAX_BYTES 2048
#define JSON_FIELD "GS_JSON"

static struct {
	pthread_t thread;
	pthread_mutex_t lock;
	pthread_cond_t filled;
	char *buf; /* lines that wait */
	size_t used;
	bool stopping;
	bool running;
	int fd;
	GLogLevelFlags least; /* least severe level written */
	atomic_uint_fast64_t dropped;
} state = {
	.lock = PTHREAD_MUTEX_INITIALIZER,
	.filled = PTHREAD_COND_INITIALIZER,
	.least = G_LOG_LEVEL_INFO,
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
		n = write(state.fd, p, sz);
		if (n <= 0)
			return;
		p += n;
		sz -= (size_t)n;
	}
}

static void *writer_thread(void *arg)
{
	char *mine = xmalloc(QUEUE_BYTES);
	char *swap;
	size_t sz;
	bool last;

	(void)arg;
	do {
		pthread_mutex_lock(&state.lock);
		while (state.used == 0 && !state.stopping)
			pthread_cond_wait(&state.filled, &state.lock);
		swap = state.buf;
		state.buf = mine;
		mine = swap;
		sz = state.used;
		state.used = 0;
		last = state.stopping;
		pthread_mutex_unlock(&state.lock);
		write_all(mine, sz);
	} while (!last);
	free(mine);
	return NULL;
}

static void enqueue(const char *line, size_t sz)
{
	pthread_mutex_lock(&state.lock);
	if (state.used + sz > QUEUE_BYTES) {
		atomic_fetch_add(&state.dropped, 1);
	} else {
		memcpy(state.buf + state.used, line, sz);
		if (state.used == 0)
			pthread_cond_signal(&state.filled);
		state.used += sz;
	}
	pthread_mutex_unlock(&state.lock);
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

static const GLogField *find(const GLogField *f, gsize n, const char *key)
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
	const GLogField *more = find(f, n, JSON_FIELD);
	const GLogField *msg = find(f, n, "MESSAGE");
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
		      level_name(level), quoted, more ? "," : "",
		      more ? (const char *)more->value : "");
	if (sz < 0 || (size_t)sz >= sizeof(line)) {
		atomic_fetch_add(&state.dropped, 1);
		return G_LOG_WRITER_HANDLED;
	}
	enqueue(line, (size_t)sz);
	return G_LOG_WRITER_HANDLED;
}

bool log_on(GLogLevelFlags level)
{
	return level <= state.least;
}

void log_json(GLogLevelFlags level, const char *msg, const char *fmt, ...)
{
	char more[LINE_MAX_BYTES / 2];
	GLogField f[] = {
		{ "MESSAGE", msg, -1 },
		{ JSON_FIELD, more, -1 },
	};
	va_list ap;

	if (!log_on(level))
		return;
	va_start(ap, fmt);
	vsnprintf(more, sizeof(more), fmt, ap);
	va_end(ap);
	g_log_structured_array(level, f, *more ? 2 : 1);
}

uint64_t log_dropped(void)
{
	return atomic_load(&state.dropped);
}

void log_set_level(const char *level)
{
	size_t i;

	for (i = 0; level && i < NLEVELS; i++)
		if (strcmp(level, levels[i].name) == 0)
			state.least = levels[i].level;
}

void log_start(int fd, const char *level)
{
	log_set_level(level);
	state.fd = fd;
	state.buf = xmalloc(QUEUE_BYTES);
	state.running =
		pthread_create(&state.thread, NULL, writer_thread, NULL) == 0;
	g_log_set_writer_func(write_json, NULL, NULL);
}

void log_stop(void)
{
	pthread_mutex_lock(&state.lock);
	state.stopping = true;
	pthread_cond_signal(&state.filled);
	pthread_mutex_unlock(&state.lock);
	if (state.running)
		pthread_join(state.thread, NULL);
	state.running = false;
}
