/** @file lab.c Starts and stops the processes of a deployment on loopback. */
#include "liblab.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <jansson.h>
#include <ne_request.h>
#include <ne_session.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>
#include <zmq.h>

#include "relay.h"
#include "standin.h"

#define PLATFORM_HOST 2 /* last octet of the platform's IP address */
#define SERVER_HOST 100 /* last octet of the first servers' IP address */
#define SERVERS_PER_HOST 100
#define PLATFORM_PORT 7000
#define SERVER_PORT 9000 /* of the first server at an IP address */
#define NET_TRIES 50

void lab_host_ip(const lab_t *l, unsigned host, char ip[ADDR_HOST_MAX])
{
	snprintf(ip, ADDR_HOST_MAX, "127.%u.%u.%u", l->net_octet2 & 255,
		 l->net_octet3 & 255, host & 255);
}

/* Returns true if the platform's address in the lab's network can be bound. */
static bool net_is_free(const lab_t *l)
{
	struct sockaddr_in sa = { .sin_family = AF_INET,
				  .sin_port = htons(PLATFORM_PORT) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	char ip[ADDR_HOST_MAX];
	bool is_free;

	lab_host_ip(l, PLATFORM_HOST, ip);
	inet_pton(AF_INET, ip, &sa.sin_addr);
	is_free = bind(fd, (struct sockaddr *)&sa, sizeof(sa)) == 0;
	close(fd);
	return is_free;
}

static void choose_net(lab_t *l)
{
	rng_t rng = { .state = (uint64_t)getpid() ^ (uint64_t)standin_now() };
	int i;

	for (i = 0; i < NET_TRIES; i++) {
		l->net_octet2 = 1 + (unsigned)rng_below(&rng, 250);
		l->net_octet3 = 1 + (unsigned)rng_below(&rng, 250);
		if (net_is_free(l))
			return;
	}
}

lab_t *lab_new(void)
{
	lab_t *l = g_new0(lab_t, 1);

	strcpy(l->dir, "/tmp/geraniumslip-lab-XXXXXX");
	if (!mkdtemp(l->dir))
		g_error("lab: %s: %s", l->dir, strerror(errno));
	l->nodes = g_ptr_array_new();
	strcpy(l->held_snapshots, "1:1");
	strcpy(l->policy, "expected");
	strcpy(l->log_level, "info");
	l->service_us = 2000;
	l->stop_grace_ms = 300;
	l->write_journals = true;
	choose_net(l);
	return l;
}

void lab_server_addr(const lab_t *l, unsigned n, char ip[ADDR_HOST_MAX],
		     unsigned *port)
{
	lab_host_ip(l, SERVER_HOST + n / SERVERS_PER_HOST, ip);
	*port = SERVER_PORT + n % SERVERS_PER_HOST;
}

lab_node_t *lab_find_node(const lab_t *l, const char *name)
{
	guint i;

	for (i = 0; i < l->nodes->len; i++) {
		lab_node_t *n = l->nodes->pdata[i];

		if (strcmp(n->name, name) == 0)
			return n;
	}
	return NULL;
}

static lab_node_t *add_node(lab_t *l, lab_role_t role, const char *name)
{
	lab_node_t *n = g_new0(lab_node_t, 1);

	g_strlcpy(n->name, name, sizeof(n->name));
	n->role = role;
	g_ptr_array_add(l->nodes, n);
	return n;
}

static const char *bin_dir(void)
{
	const char *dir = g_getenv("GERANIUMSLIP_BIN");

	return dir ? dir : "build";
}

/* Runs in the child before exec: unblocks all signals and appends stdout and
 * stderr to the file at the path in data. */
static void set_up_child(gpointer data)
{
	const char *path = data;
	int fd = open(path, O_WRONLY | O_CREAT | O_APPEND, 0644);
	sigset_t set;

	sigemptyset(&set);
	sigprocmask(SIG_SETMASK, &set, NULL);
	if (fd < 0)
		return;
	dup2(fd, STDOUT_FILENO);
	dup2(fd, STDERR_FILENO);
	close(fd);
}

bool lab_spawn(lab_t *l, lab_node_t *n)
{
	GSpawnFlags flags = G_SPAWN_DO_NOT_REAP_CHILD;
	char *safe = g_strdelimit(g_strdup(n->name), "/", '-');
	char *path = g_strdup_printf("%s/%s.log", l->dir, safe);
	GError *error = NULL;
	bool ok;

	ok = g_spawn_async(NULL, n->argv, NULL, flags, set_up_child, path,
			   &n->pid, &error);
	if (!ok) {
		fprintf(stderr, "lab: %s: %s\n", n->name, error->message);
		g_error_free(error);
		n->pid = 0;
	}
	g_free(path);
	g_free(safe);
	return ok;
}

bool lab_wait_exit(lab_node_t *n, usec_t limit)
{
	usec_t until = standin_now() + limit;

	if (n->pid == 0)
		return true;
	while (waitpid(n->pid, &n->exit_status, WNOHANG) != n->pid) {
		if (standin_now() > until)
			return false;
		g_usleep(POLL_PERIOD_USEC);
	}
	n->pid = 0;
	return true;
}

void lab_signal(lab_node_t *n, int sig)
{
	if (n->pid == 0)
		return;
	kill(n->pid, sig);
	if (sig == SIGKILL)
		lab_wait_exit(n, READY_LIMIT_USEC);
}

static char **argv_of(GPtrArray *a)
{
	g_ptr_array_add(a, NULL);
	return (char **)g_ptr_array_free(a, FALSE);
}

static char *program_path(const char *name)
{
	return g_strdup_printf("%s/%s", bin_dir(), name);
}

static bool start_platform(lab_t *l)
{
	lab_node_t *n = add_node(l, LAB_PLATFORM, "platform");
	GPtrArray *a = g_ptr_array_new();

	lab_host_ip(l, PLATFORM_HOST, n->ip);
	snprintf(n->addr, sizeof(n->addr), "%s:%d", n->ip, PLATFORM_PORT);
	g_ptr_array_add(a, program_path("standin-platform"));
	g_ptr_array_add(a, g_strdup_printf("--listen=%s", n->addr));
	n->argv = argv_of(a);
	return lab_spawn(l, n) && lab_wait_listening(n->addr);
}

/* Passes --delay to a server for each daemon of another data centre, if the
 * configuration has a link delay. */
static void add_delays(const lab_t *l, const lab_node_t *n, GPtrArray *a)
{
	char ip[ADDR_HOST_MAX];
	unsigned i;

	for (i = 0; l->conf->link_delay && i < l->ndaemons; i++) {
		lab_host_ip(l, DAEMON_HOST + i, ip);
		if (str_eq(l->conf->dcs[i % l->conf->ndcs].name, str_of(n->dc)))
			continue;
		g_ptr_array_add(
			a, g_strdup_printf("--delay=%s=%lld", ip,
					   (long long)l->conf->link_delay));
	}
}

static bool start_upstream(lab_t *l, const conf_service_t *s,
			   const conf_group_t *g, size_t i)
{
	const conf_server_t *server = &g->servers[i];
	GPtrArray *a = g_ptr_array_new();
	char name[160];
	lab_node_t *n;
	unsigned port;

	snprintf(name, sizeof(name), "%.*s/%.*s/%zu", STR_ARG(s->name),
		 STR_ARG(g->name), i);
	n = add_node(l, LAB_UPSTREAM, name);
	addr_split(server->addr, n->ip, &port);
	str_copy(n->addr, sizeof(n->addr), server->addr);
	str_copy(n->dc, sizeof(n->dc), server->dc);
	g_ptr_array_add(a, program_path("standin-upstream"));
	g_ptr_array_add(a, g_strdup_printf("--listen=%s=%.*s", n->addr,
					   STR_ARG(g->name)));
	g_ptr_array_add(a, g_strdup_printf("--slots=%u", s->slots));
	g_ptr_array_add(a, g_strdup_printf("--connections=%u", s->connections));
	g_ptr_array_add(a, g_strdup_printf("--held=%s", l->held_snapshots));
	g_ptr_array_add(a, g_strdup_printf("--service-us=%u", l->service_us));
	g_ptr_array_add(a, g_strdup_printf("--connect-us=%u", l->connect_us));
	g_ptr_array_add(
		a, g_strdup_printf("--sigma-percent=%u", l->sigma_percent));
	g_ptr_array_add(a, g_strdup_printf("--seed=%u", l->nodes->len));
	add_delays(l, n, a);
	if (l->write_journals)
		g_ptr_array_add(a, g_strdup_printf("--journal=%s/journal-%s",
						   l->dir, n->addr));
	n->argv = argv_of(a);
	return lab_spawn(l, n);
}

static bool start_upstreams(lab_t *l)
{
	size_t i, j, k;
	guint n;

	for (i = 0; i < l->conf->nservices; i++) {
		const conf_service_t *s = &l->conf->services[i];

		for (j = 0; j < s->ngroups; j++)
			for (k = 0; k < s->groups[j].nservers; k++)
				if (!start_upstream(l, s, &s->groups[j], k))
					return false;
	}
	for (n = 0; n < l->nodes->len; n++) {
		const lab_node_t *node = l->nodes->pdata[n];

		if (node->role == LAB_UPSTREAM &&
		    !lab_wait_listening(node->addr))
			return false;
	}
	return true;
}

static void add_peer_keys(const lab_t *l, const lab_node_t *n, json_t *o)
{
	char wrong[16];
	bool has_wrong_key;

	if (!l->peer_keys)
		return;
	snprintf(wrong, sizeof(wrong), "d%u", l->wrong_key_daemon);
	has_wrong_key = strcmp(n->name, wrong) == 0;
	json_object_set_new(o, "peer_public_key",
			    json_string(l->keys[has_wrong_key][0]));
	json_object_set_new(o, "peer_secret_key",
			    json_string(l->keys[has_wrong_key][1]));
}

static bool write_settings(const lab_t *l, const lab_node_t *n,
			   const char *path)
{
	const lab_node_t *p = lab_find_node(l, "platform");
	json_t *seeds = json_array();
	char ip[ADDR_HOST_MAX];
	char addr[32];
	unsigned i;
	json_t *o, *more;
	bool ok;

	for (i = 0; i < l->ndaemons; i++) {
		lab_host_ip(l, DAEMON_HOST + i, ip);
		snprintf(addr, sizeof(addr), "%s:%d", ip,
			 l->without_relays ? PEER_PORT : RELAY_PORT);
		if (strcmp(ip, n->ip) != 0)
			json_array_append_new(seeds, json_string(addr));
	}
	snprintf(addr, sizeof(addr), "%s:%d", n->ip, ADMIN_PORT);
	o = json_pack("{ss ss ss ss s[s] so ss ss ss sI}", "name", n->name,
		      "data_centre", n->dc, "listen", n->addr, "admin", addr,
		      "platform", p->addr, "seeds", seeds, "admin_token",
		      LAB_TOKEN, "policy", l->policy, "log_level", l->log_level,
		      "stop_grace_ms", (json_int_t)l->stop_grace_ms);
	snprintf(addr, sizeof(addr), "%s:%d", n->ip, PEER_PORT);
	json_object_set_new(o, "peer", json_string(addr));
	snprintf(addr, sizeof(addr), "%s:%d", n->ip, RELAY_PORT);
	if (!l->without_relays)
		json_object_set_new(o, "peer_advertise", json_string(addr));
	add_peer_keys(l, n, o);
	more = json_loads(l->extra_settings, 0, NULL);
	json_object_update(o, more);
	json_decref(more);
	ok = json_dump_file(o, path, JSON_INDENT(1)) == 0;
	json_decref(o);
	return ok;
}

static bool prepare_daemon(lab_t *l, unsigned i)
{
	GPtrArray *a = g_ptr_array_new();
	char name[16], path[256], relay[32], peer[32];
	lab_node_t *n;

	snprintf(name, sizeof(name), "d%u", i + 1);
	n = add_node(l, LAB_DAEMON, name);
	lab_host_ip(l, DAEMON_HOST + i, n->ip);
	snprintf(n->addr, sizeof(n->addr), "%s:%d", n->ip, DAEMON_PORT);
	str_copy(n->dc, sizeof(n->dc), l->conf->dcs[i % l->conf->ndcs].name);
	snprintf(path, sizeof(path), "%s/%s.json", l->dir, name);
	g_ptr_array_add(a, program_path("geraniumslipd"));
	g_ptr_array_add(a, g_strdup_printf("--settings=%s", path));
	n->argv = argv_of(a);
	n->start_later = l->late_daemon == i + 1;
	snprintf(relay, sizeof(relay), "%s:%d", n->ip, RELAY_PORT);
	snprintf(peer, sizeof(peer), "%s:%d", n->ip, PEER_PORT);
	if (!l->without_relays) {
		n->relay = relay_start(relay, peer);
		if (!n->relay)
			return false;
	}
	return write_settings(l, n, path);
}

bool lab_start(lab_t *l, conf_t *conf, unsigned ndaemons)
{
	char *text = conf_text(conf);
	bool ok = false;
	unsigned i;
	guint k;

	l->conf = conf;
	l->ndaemons = ndaemons;
	zmq_curve_keypair(l->keys[0][0], l->keys[0][1]);
	zmq_curve_keypair(l->keys[1][0], l->keys[1][1]);
	if (!start_platform(l) || !start_upstreams(l) || !lab_publish(l, text))
		goto out;
	for (i = 0; i < ndaemons; i++)
		if (!prepare_daemon(l, i))
			goto out;
	if (!lab_publish_hosts(l))
		goto out;
	for (k = 0; k < l->nodes->len; k++) {
		lab_node_t *n = l->nodes->pdata[k];

		if (n->role == LAB_DAEMON && !n->start_later &&
		    !lab_spawn(l, n))
			goto out;
	}
	ok = true;
	for (k = 0; ok && k < l->nodes->len; k++) {
		const lab_node_t *n = l->nodes->pdata[k];

		if (n->role == LAB_DAEMON && !n->start_later)
			ok = lab_wait_ready(n, READY_LIMIT_USEC);
	}
out:
	free(text);
	return ok;
}

static void remove_files(const lab_t *l)
{
	GDir *d = g_dir_open(l->dir, 0, NULL);
	const char *name;

	while (d && (name = g_dir_read_name(d))) {
		char *path = g_build_filename(l->dir, name, NULL);

		unlink(path);
		g_free(path);
	}
	if (d)
		g_dir_close(d);
	rmdir(l->dir);
}

void lab_free(lab_t *l, bool keep)
{
	guint i;

	for (i = 0; i < l->nodes->len; i++) {
		lab_node_t *n = l->nodes->pdata[i];

		lab_signal(n, SIGKILL);
		relay_stop(n->relay);
		g_strfreev(n->argv);
		g_free(n);
	}
	if (!keep)
		remove_files(l);
	g_ptr_array_free(l->nodes, TRUE);
	conf_free(l->conf);
	g_free(l);
}
