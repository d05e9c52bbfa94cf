/**
 * @file relay.c
 * Forwards TCP connections with one thread for each, and closes them when their
 * client's address is blocked. A lab uses it to partition daemons.
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
#define BUFFER_BYTES 65536

struct relay {
	struct sockaddr_in target;
	int fd;
	gint stopping;
	GThread *thread;
	GMutex lock;
	GPtrArray *blocked; /* IP addresses as text; protected by lock */
	gint nconnections;  /* atomic */
};

/* A forwarded connection; its thread frees it. */
typedef struct connection {
	relay_t *relay;
	int client_fd;
	int target_fd;
	char client_ip[ADDR_HOST_MAX];
} connection_t;

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

static bool is_blocked(relay_t *r, const char *client_ip)
{
	bool found = false;
	guint i;

	g_mutex_lock(&r->lock);
	for (i = 0; i < r->blocked->len; i++)
		found |= strcmp(r->blocked->pdata[i], client_ip) == 0;
	g_mutex_unlock(&r->lock);
	return found;
}

static bool copy_bytes(int from, int to)
{
	char buf[BUFFER_BYTES];
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

static gpointer connection_thread(gpointer arg)
{
	connection_t *c = arg;
	struct pollfd fds[2] = { { .fd = c->client_fd, .events = POLLIN },
				 { .fd = c->target_fd, .events = POLLIN } };
	bool ok = true;

	while (ok && !g_atomic_int_get(&c->relay->stopping) &&
	       !is_blocked(c->relay, c->client_ip)) {
		poll(fds, 2, POLL_MS);
		if (fds[0].revents)
			ok = copy_bytes(c->client_fd, c->target_fd);
		if (ok && fds[1].revents)
			ok = copy_bytes(c->target_fd, c->client_fd);
	}
	close(c->client_fd);
	close(c->target_fd);
	g_atomic_int_add(&c->relay->nconnections, -1);
	g_free(c);
	return NULL;
}

static void start_connection(relay_t *r, int client_fd, const char *client_ip)
{
	connection_t *c = g_new0(connection_t, 1);

	c->relay = r;
	c->client_fd = client_fd;
	c->target_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	g_strlcpy(c->client_ip, client_ip, sizeof(c->client_ip));
	if (connect(c->target_fd, (struct sockaddr *)&r->target,
		    sizeof(r->target)) != 0) {
		close(c->client_fd);
		close(c->target_fd);
		g_free(c);
		return;
	}
	g_atomic_int_inc(&r->nconnections);
	g_thread_unref(g_thread_new("pass", connection_thread, c));
}

static gpointer accept_thread(gpointer arg)
{
	relay_t *r = arg;
	struct pollfd pfd = { .fd = r->fd, .events = POLLIN };
	struct sockaddr_in sa;
	char client_ip[ADDR_HOST_MAX];
	socklen_t sz;
	int fd;

	while (!g_atomic_int_get(&r->stopping)) {
		if (poll(&pfd, 1, POLL_MS) <= 0)
			continue;
		sz = sizeof(sa);
		fd = accept4(r->fd, (struct sockaddr *)&sa, &sz, SOCK_CLOEXEC);
		if (fd < 0)
			continue;
		inet_ntop(AF_INET, &sa.sin_addr, client_ip, sizeof(client_ip));
		if (is_blocked(r, client_ip))
			close(fd);
		else
			start_connection(r, fd, client_ip);
	}
	return NULL;
}

relay_t *relay_start(const char *listen_addr, const char *target_addr)
{
	relay_t *r = g_new0(relay_t, 1);
	struct sockaddr_in sa;
	int one = 1;

	g_mutex_init(&r->lock);
	r->blocked = g_ptr_array_new_with_free_func(g_free);
	r->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	setsockopt(r->fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (!make_addr(listen_addr, &sa) ||
	    !make_addr(target_addr, &r->target) ||
	    bind(r->fd, (struct sockaddr *)&sa, sizeof(sa)) != 0 ||
	    listen(r->fd, BACKLOG) != 0) {
		close(r->fd);
		g_ptr_array_free(r->blocked, TRUE);
		g_free(r);
		return NULL;
	}
	r->thread = g_thread_new("accept", accept_thread, r);
	return r;
}

void relay_block(relay_t *r, const char *client_ip)
{
	g_mutex_lock(&r->lock);
	g_ptr_array_add(r->blocked, g_strdup(client_ip));
	g_mutex_unlock(&r->lock);
}

void relay_unblock_all(relay_t *r)
{
	g_mutex_lock(&r->lock);
	g_ptr_array_set_size(r->blocked, 0);
	g_mutex_unlock(&r->lock);
}

void relay_stop(relay_t *r)
{
	if (!r)
		return;
	g_atomic_int_set(&r->stopping, 1);
	g_thread_join(r->thread);
	while (g_atomic_int_get(&r->nconnections))
		g_usleep(1000);
	close(r->fd);
	g_ptr_array_free(r->blocked, TRUE);
	g_free(r);
}
