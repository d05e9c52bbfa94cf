/**
 * @file relay.c
 * Passes connections on, so that a lab can cut one daemon off from another.
 * A connection is closed as soon as the address it comes from is cut.
 */
#include "relay.h"

#include <arpa/inet.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base.h"

#define BACKLOG 64
#define POLL_MS 20
#define BUFFER 65536

struct relay {
	struct sockaddr_in to;
	int fd;
	gint quit;
	GThread *thread;
	GMutex lock;
	GPtrArray *cut; /* under lock: addresses as text */
	gint open;	/* connections that are passed on */
};

/* One connection that is passed on. */
typedef struct passed {
	relay_t *relay;
	int in;
	int out;
	char from[ADDR_HOST_MAX];
} passed_t;

static bool make_addr(const char *addr, struct sockaddr_in *sa)
{
	char host[ADDR_HOST_MAX];
	unsigned port;

	memset(sa, 0, sizeof(*sa));
	if (!addr_split(str_of(addr), host, &port))
		return false;
	sa->sin_family = AF_INET;
	sa->sin_port = htons((uint16_t)port);
	return inet_pton(AF_INET, host, &sa->sin_addr) == 1;
}

static bool is_cut(relay_t *r, const char *from)
{
	bool cut = false;
	guint i;

	g_mutex_lock(&r->lock);
	for (i = 0; i < r->cut->len; i++)
		cut |= strcmp(r->cut->pdata[i], from) == 0;
	g_mutex_unlock(&r->lock);
	return cut;
}

static bool move(int from, int to)
{
	char buf[BUFFER];
	ssize_t n = read(from, buf, sizeof(buf));
	ssize_t at = 0, sent;

	while (at < n) {
		sent = write(to, buf + at, (size_t)(n - at));
		if (sent <= 0)
			return false;
		at += sent;
	}
	return n > 0;
}

static gpointer pass_thread(gpointer arg)
{
	passed_t *p = arg;
	struct pollfd fds[2] = { { .fd = p->in, .events = POLLIN },
				 { .fd = p->out, .events = POLLIN } };
	bool ok = true;

	while (ok && !g_atomic_int_get(&p->relay->quit) &&
	       !is_cut(p->relay, p->from)) {
		poll(fds, 2, POLL_MS);
		if (fds[0].revents)
			ok = move(p->in, p->out);
		if (ok && fds[1].revents)
			ok = move(p->out, p->in);
	}
	close(p->in);
	close(p->out);
	g_atomic_int_add(&p->relay->open, -1);
	g_free(p);
	return NULL;
}

static void pass(relay_t *r, int in, const char *from)
{
	passed_t *p = g_new0(passed_t, 1);

	p->relay = r;
	p->in = in;
	p->out = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	g_strlcpy(p->from, from, sizeof(p->from));
	if (connect(p->out, (struct sockaddr *)&r->to, sizeof(r->to)) != 0) {
		close(p->in);
		close(p->out);
		g_free(p);
		return;
	}
	g_atomic_int_inc(&r->open);
	g_thread_unref(g_thread_new("pass", pass_thread, p));
}

static gpointer accept_thread(gpointer arg)
{
	relay_t *r = arg;
	struct pollfd pfd = { .fd = r->fd, .events = POLLIN };
	struct sockaddr_in sa;
	char from[ADDR_HOST_MAX];
	socklen_t sz;
	int fd;

	while (!g_atomic_int_get(&r->quit)) {
		if (poll(&pfd, 1, POLL_MS) <= 0)
			continue;
		sz = sizeof(sa);
		fd = accept4(r->fd, (struct sockaddr *)&sa, &sz, SOCK_CLOEXEC);
		if (fd < 0)
			continue;
		inet_ntop(AF_INET, &sa.sin_addr, from, sizeof(from));
		if (is_cut(r, from))
			close(fd);
		else
			pass(r, fd, from);
	}
	return NULL;
}

relay_t *relay_start(const char *listen_at, const char *to)
{
	relay_t *r = g_new0(relay_t, 1);
	struct sockaddr_in sa;
	int one = 1;

	g_mutex_init(&r->lock);
	r->cut = g_ptr_array_new_with_free_func(g_free);
	r->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	setsockopt(r->fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (!make_addr(listen_at, &sa) || !make_addr(to, &r->to) ||
	    bind(r->fd, (struct sockaddr *)&sa, sizeof(sa)) != 0 ||
	    listen(r->fd, BACKLOG) != 0) {
		close(r->fd);
		g_ptr_array_free(r->cut, TRUE);
		g_free(r);
		return NULL;
	}
	r->thread = g_thread_new("accept", accept_thread, r);
	return r;
}

void relay_cut(relay_t *r, const char *from)
{
	g_mutex_lock(&r->lock);
	g_ptr_array_add(r->cut, g_strdup(from));
	g_mutex_unlock(&r->lock);
}

void relay_heal(relay_t *r)
{
	g_mutex_lock(&r->lock);
	g_ptr_array_set_size(r->cut, 0);
	g_mutex_unlock(&r->lock);
}

void relay_stop(relay_t *r)
{
	if (!r)
		return;
	g_atomic_int_set(&r->quit, 1);
	g_thread_join(r->thread);
	while (g_atomic_int_get(&r->open))
		g_usleep(1000);
	close(r->fd);
	g_ptr_array_free(r->cut, TRUE);
	g_free(r);
}
