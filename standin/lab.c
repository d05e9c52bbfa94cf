/** @file lab.c Processes of a deployment on loopback. */
#include "lab.h"

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

#define PLATFORM_HOST 2
#define DAEMON_HOST 10
#define SERVER_HOST 100
#define SERVERS_PER_HOST 100
#define PLATFORM_PORT 7000
#define DAEMON_PORT 8000
#define ADMIN_PORT 8001
#define PEER_PORT 8002
#define RELAY_PORT 8003
#define SERVER_PORT 9000
#define READY_LIMIT (20 * USEC_PER_SEC)
#define POLL_PERIOD (10 * USEC_PER_MSEC)
#define CONTROL_TIMEOUT_S 5
#define ASK_TIMEOUT_S 30
#define NET_TRIES 50

static void node_ip(const lab_t *l, unsigned host, char ip[ADDR_HOST_MAX])
{
	snprintf(ip, ADDR_HOST_MAX, "127.%u.%u.%u", l->net_a & 255,
		 l->net_b & 255, host & 255);
}

/* A network is free if nobody listens where its platform would. */
static bool net_is_free(const lab_t *l)
{
	struct sockaddr_in sa = { .sin_family = AF_INET,
				  .sin_port = htons(PLATFORM_PORT) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	char ip[ADDR_HOST_MAX];
	bool is_free;

	node_ip(l, PLATFORM_HOST, ip);
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
		l->net_a = 1 + (unsigned)rng_below(&rng, 250);
		l->net_b = 1 + (unsigned)rng_below(&rng, 250);
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
	strcpy(l->held, "1:1");
	strcpy(l->policy, "expected");
	strcpy(l->log_level, "info");
	l->service_us = 2000;
	l->stop_grace_ms = 300;
	l->journal = true;
	choose_net(l);
	return l;
}

void lab_server_addr(const lab_t *l, unsigned n, char ip[ADDR_HOST_MAX],
		     unsigned *port)
{
	node_ip(l, SERVER_HOST + n / SERVERS_PER_HOST, ip);
	*port = SERVER_PORT + n % SERVERS_PER_HOST;
}

lab_node_t *lab_node(const lab_t *l, const char *name)
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

/* Runs in the child: its output goes to a file named after it. */
static void redirect(gpointer data)
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

	ok = g_spawn_async(NULL, n->argv, NULL, flags, redirect, path, &n->pid,
			   &error);
	if (!ok) {
		fprintf(stderr, "lab: %s: %s\n", n->name, error->message);
		g_error_free(error);
		n->pid = 0;
	}
	g_free(path);
	g_free(safe);
	return ok;
}

bool lab_wait_end(lab_node_t *n, usec_t limit)
{
	usec_t until = standin_now() + limit;

	if (n->pid == 0)
		return true;
	while (waitpid(n->pid, &n->exit_status, WNOHANG) != n->pid) {
		if (standin_now() > until)
			return false;
		g_usleep(POLL_PERIOD);
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
		lab_wait_end(n, READY_LIMIT);
}

static ne_session *open_session(const char *addr)
{
	char host[ADDR_HOST_MAX];
	unsigned port;

	addr_split(str_of(addr), host, &port);
	return ne_session_create("http", host, port);
}

static int append_block(void *to, const char *buf, size_t sz)
{
	g_string_append_len(to, buf, (gssize)sz);
	return 0;
}

/* One HTTP request; the body of the answer goes to out if not NULL. */
static int http_do(ne_session *s, const char *method, const char *path,
		   const char *body, const char *token, GString *out)
{
	ne_request *req = ne_request_create(s, method, path);
	int status = 0;

	if (token)
		ne_print_request_header(req, "Authorization", "Bearer %s",
					token);
	if (body)
		ne_set_request_body_buffer(req, body, strlen(body));
	if (out)
		ne_add_response_body_reader(req, ne_accept_always, append_block,
					    out);
	ne_set_read_timeout(s, CONTROL_TIMEOUT_S);
	if (ne_request_dispatch(req) == NE_OK)
		status = ne_get_status(req)->code;
	ne_request_destroy(req);
	return status;
}

static int http_once(const char *addr, const char *method, const char *path,
		     const char *body, const char *token, GString *out)
{
	ne_session *s = open_session(addr);
	int status = http_do(s, method, path, body, token, out);

	ne_session_destroy(s);
	return status;
}

bool lab_control(const lab_node_t *n, const char *command)
{
	char *path = g_strdup_printf("/control?%s", command);
	int status = http_once(n->addr, "POST", path, "{}", NULL, NULL);

	g_free(path);
	return status == 200;
}

bool lab_cut(lab_node_t *a, lab_node_t *b)
{
	char command[64];

	if (a->role == LAB_DAEMON && b->role == LAB_DAEMON) {
		relay_cut(a->relay, b->ip);
		relay_cut(b->relay, a->ip);
		return true;
	}
	g_snprintf(command, sizeof(command), "cut=%s", a->ip);
	return lab_control(b, command);
}

void lab_heal(lab_t *l)
{
	guint i;

	for (i = 0; i < l->nodes->len; i++) {
		const lab_node_t *n = l->nodes->pdata[i];

		if (n->relay)
			relay_heal(n->relay);
		else if (n->pid)
			lab_control(n, "heal=1");
	}
}

int lab_http(const char *addr, const char *method, const char *path,
	     const char *token, const char *class_name, const char *body)
{
	ne_session *s = open_session(addr);
	ne_request *req = ne_request_create(s, method, path);
	int status = 0;

	if (token)
		ne_print_request_header(req, "Authorization", "Bearer %s",
					token);
	if (class_name)
		ne_add_request_header(req, "Gs-Class", class_name);
	if (body)
		ne_set_request_body_buffer(req, body, strlen(body));
	ne_set_read_timeout(s, CONTROL_TIMEOUT_S);
	if (ne_request_dispatch(req) == NE_OK)
		status = ne_get_status(req)->code;
	ne_request_destroy(req);
	ne_session_destroy(s);
	return status;
}

bool lab_publish(lab_t *l, const char *text)
{
	const lab_node_t *p = lab_node(l, "platform");

	return http_once(p->addr, "POST", "/control/publish", text, NULL,
			 NULL) == 200;
}

bool lab_publish_hosts(lab_t *l)
{
	GString *d = g_string_new(NULL);
	GString *u = g_string_new(NULL);
	const lab_node_t *p = lab_node(l, "platform");
	char *text;
	bool ok;
	guint i;

	for (i = 0; i < l->nodes->len; i++) {
		const lab_node_t *n = l->nodes->pdata[i];

		if (n->role == LAB_DAEMON)
			g_string_append_printf(
				d,
				"%s{\"name\":\"%s\",\"dc\":\"%s\","
				"\"peer\":\"%s:%d\",\"leaving\":%s}",
				d->len ? "," : "", n->name, n->dc, n->ip,
				RELAY_PORT, n->leaving ? "true" : "false");
		if (n->role == LAB_UPSTREAM && n->leaving)
			g_string_append_printf(u, "%s\"%s\"", u->len ? "," : "",
					       n->addr);
	}
	text = g_strdup_printf(
		"{\"version\":%u,\"daemons\":[%s],\"leaving\":[%s]}",
		++l->hosts_version, d->str, u->str);
	ok = http_once(p->addr, "POST", "/control/hosts", text, NULL, NULL) ==
	     200;
	g_free(text);
	g_string_free(d, TRUE);
	g_string_free(u, TRUE);
	return ok;
}

static json_t *admin_get(const lab_node_t *n, const char *path)
{
	GString *out = g_string_new(NULL);
	char *addr = g_strdup_printf("%s:%d", n->ip, ADMIN_PORT);
	json_t *o = NULL;

	if (http_once(addr, "GET", path, NULL, LAB_TOKEN, out) == 200)
		o = json_loads(out->str, 0, NULL);
	g_free(addr);
	g_string_free(out, TRUE);
	return o;
}

double lab_status(const lab_node_t *n, const char *member)
{
	json_t *o = admin_get(n, "/v1/status");
	json_t *v = json_object_get(o, member);
	double d = json_is_boolean(v) ? json_is_true(v) : -1;

	if (json_is_number(v))
		d = json_number_value(v);
	json_decref(o);
	return d;
}

double lab_number(const lab_node_t *n, const char *member)
{
	GString *out = g_string_new(NULL);
	json_t *o = NULL, *v;
	double d = -1;

	if (http_once(n->addr, "GET", "/control", NULL, NULL, out) == 200)
		o = json_loads(out->str, 0, NULL);
	v = json_object_get(o, member);
	if (json_is_number(v))
		d = json_number_value(v);
	json_decref(o);
	g_string_free(out, TRUE);
	return d;
}

double lab_metric(const lab_node_t *n, const char *name)
{
	char *addr = g_strdup_printf("%s:%d", n->ip, ADMIN_PORT);
	char *line = g_strdup_printf("\ngeraniumslip_%s ", name);
	GString *out = g_string_new("\n");
	double d = -1;
	char *at;

	if (http_once(addr, "GET", "/metrics", NULL, LAB_TOKEN, out) == 200) {
		at = strstr(out->str, line);
		if (at)
			d = g_ascii_strtod(at + strlen(line), NULL);
	}
	g_string_free(out, TRUE);
	g_free(line);
	g_free(addr);
	return d;
}

bool lab_is_ready(const lab_node_t *n)
{
	return http_once(n->addr, "GET", "/readyz", NULL, NULL, NULL) == 200;
}

bool lab_wait_ready(const lab_node_t *n, usec_t limit)
{
	usec_t until = standin_now() + limit;

	while (standin_now() < until) {
		if (lab_status(n, "ready") > 0)
			return true;
		g_usleep(POLL_PERIOD);
	}
	fprintf(stderr, "lab: %s is not ready\n", n->name);
	return false;
}

static bool wait_listening(const char *addr)
{
	usec_t until = standin_now() + READY_LIMIT;

	while (standin_now() < until) {
		if (http_once(addr, "GET", "/control", NULL, NULL, NULL))
			return true;
		g_usleep(POLL_PERIOD);
	}
	return false;
}

static char **argv_of(GPtrArray *a)
{
	g_ptr_array_add(a, NULL);
	return (char **)g_ptr_array_free(a, FALSE);
}

static char *binary(const char *name)
{
	return g_strdup_printf("%s/%s", bin_dir(), name);
}

static bool start_platform(lab_t *l)
{
	lab_node_t *n = add_node(l, LAB_PLATFORM, "platform");
	GPtrArray *a = g_ptr_array_new();

	node_ip(l, PLATFORM_HOST, n->ip);
	snprintf(n->addr, sizeof(n->addr), "%s:%d", n->ip, PLATFORM_PORT);
	g_ptr_array_add(a, binary("standin-platform"));
	g_ptr_array_add(a, g_strdup_printf("--listen=%s", n->addr));
	n->argv = argv_of(a);
	return lab_spawn(l, n) && wait_listening(n->addr);
}

/* Daemons of other data centres are further away. */
static void add_delays(const lab_t *l, const lab_node_t *n, GPtrArray *a)
{
	char ip[ADDR_HOST_MAX];
	unsigned i;

	for (i = 0; l->conf->link && i < l->ndaemons; i++) {
		node_ip(l, DAEMON_HOST + i, ip);
		if (str_eq(l->conf->dcs[i % l->conf->ndcs].name, str_of(n->dc)))
			continue;
		g_ptr_array_add(a, g_strdup_printf("--delay=%s=%lld", ip,
						   (long long)l->conf->link));
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
	g_ptr_array_add(a, binary("standin-upstream"));
	g_ptr_array_add(a, g_strdup_printf("--listen=%s=%.*s", n->addr,
					   STR_ARG(g->name)));
	g_ptr_array_add(a, g_strdup_printf("--slots=%u", s->slots));
	g_ptr_array_add(a, g_strdup_printf("--connections=%u", s->connections));
	g_ptr_array_add(a, g_strdup_printf("--held=%s", l->held));
	g_ptr_array_add(a, g_strdup_printf("--service-us=%u", l->service_us));
	g_ptr_array_add(a, g_strdup_printf("--connect-us=%u", l->connect_us));
	g_ptr_array_add(
		a, g_strdup_printf("--sigma-percent=%u", l->sigma_percent));
	g_ptr_array_add(a, g_strdup_printf("--seed=%u", l->nodes->len));
	add_delays(l, n, a);
	if (l->journal)
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

		if (node->role == LAB_UPSTREAM && !wait_listening(node->addr))
			return false;
	}
	return true;
}

static void add_keys(const lab_t *l, const lab_node_t *n, json_t *o)
{
	char wrong[16];
	bool other;

	if (!l->peer_keys)
		return;
	snprintf(wrong, sizeof(wrong), "d%u", l->wrong_key);
	other = strcmp(n->name, wrong) == 0;
	json_object_set_new(o, "peer_public_key",
			    json_string(l->keys[other][0]));
	json_object_set_new(o, "peer_secret_key",
			    json_string(l->keys[other][1]));
}

static bool write_settings(const lab_t *l, const lab_node_t *n,
			   const char *path)
{
	const lab_node_t *p = lab_node(l, "platform");
	json_t *seeds = json_array();
	char ip[ADDR_HOST_MAX];
	char addr[32];
	unsigned i;
	json_t *o, *more;
	bool ok;

	for (i = 0; i < l->ndaemons; i++) {
		node_ip(l, DAEMON_HOST + i, ip);
		snprintf(addr, sizeof(addr), "%s:%d", ip, RELAY_PORT);
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
	json_object_set_new(o, "peer_advertise", json_string(addr));
	add_keys(l, n, o);
	more = json_loads(l->settings, 0, NULL);
	json_object_update(o, more);
	json_decref(more);
	ok = json_dump_file(o, path, JSON_INDENT(1)) == 0;
	json_decref(o);
	return ok;
}

static bool start_daemon(lab_t *l, unsigned i)
{
	GPtrArray *a = g_ptr_array_new();
	char name[16], path[256], relay[32], peer[32];
	lab_node_t *n;

	snprintf(name, sizeof(name), "d%u", i + 1);
	n = add_node(l, LAB_DAEMON, name);
	node_ip(l, DAEMON_HOST + i, n->ip);
	snprintf(n->addr, sizeof(n->addr), "%s:%d", n->ip, DAEMON_PORT);
	str_copy(n->dc, sizeof(n->dc), l->conf->dcs[i % l->conf->ndcs].name);
	snprintf(path, sizeof(path), "%s/%s.json", l->dir, name);
	g_ptr_array_add(a, binary("geraniumslipd"));
	g_ptr_array_add(a, g_strdup_printf("--settings=%s", path));
	n->argv = argv_of(a);
	n->late = l->late == i + 1;
	snprintf(relay, sizeof(relay), "%s:%d", n->ip, RELAY_PORT);
	snprintf(peer, sizeof(peer), "%s:%d", n->ip, PEER_PORT);
	n->relay = relay_start(relay, peer);
	return n->relay && write_settings(l, n, path);
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
		if (!start_daemon(l, i))
			goto out;
	if (!lab_publish_hosts(l))
		goto out;
	for (k = 0; k < l->nodes->len; k++) {
		lab_node_t *n = l->nodes->pdata[k];

		if (n->role == LAB_DAEMON && !n->late && !lab_spawn(l, n))
			goto out;
	}
	ok = true;
	for (k = 0; ok && k < l->nodes->len; k++) {
		const lab_node_t *n = l->nodes->pdata[k];

		if (n->role == LAB_DAEMON && !n->late)
			ok = lab_wait_ready(n, READY_LIMIT);
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

void *lab_session(const lab_t *l, unsigned daemon)
{
	char ip[ADDR_HOST_MAX], addr[32];

	node_ip(l, DAEMON_HOST + daemon, ip);
	snprintf(addr, sizeof(addr), "%s:%d", ip, DAEMON_PORT);
	return open_session(addr);
}

void lab_session_free(void *session)
{
	ne_session_destroy(session);
}

static void note_group(GHashTable *groups, const char *id)
{
	const char *dash = strrchr(id, '-');

	if (dash)
		g_hash_table_add(groups, g_strndup(id, (gsize)(dash - id)));
}

static void read_hits(lab_call_t *call, json_t *hits)
{
	GHashTable *groups =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	const char *tag, *id;
	json_t *h;
	size_t i;

	json_array_foreach(hits, i, h) {
		tag = json_string_value(json_object_get(h, "tag"));
		id = json_string_value(json_object_get(h, "id"));
		if (!tag || strcmp(tag, call->tag) != 0)
			call->foreign = true;
		if ((uint64_t)json_integer_value(
			    json_object_get(h, "snapshot")) != call->snapshot)
			call->mixed = true;
		if (id)
			note_group(groups, id);
	}
	call->groups = g_hash_table_size(groups);
	g_hash_table_destroy(groups);
}

static void copy_member(char *to, size_t sz, json_t *o, const char *key)
{
	const char *v = json_string_value(json_object_get(o, key));

	g_strlcpy(to, v ? v : "", sz);
}

static void read_answer(lab_call_t *call, const GString *out)
{
	json_t *o = json_loadb(out->str, out->len, 0, NULL);
	json_t *c = json_object_get(o, "coverage");

	copy_member(call->outcome, sizeof(call->outcome), o, "outcome");
	copy_member(call->reason, sizeof(call->reason), o, "reason");
	call->snapshot =
		(uint64_t)json_integer_value(json_object_get(o, "snapshot"));
	call->answered =
		(unsigned)json_integer_value(json_object_get(c, "answered"));
	call->total = (unsigned)json_integer_value(json_object_get(c, "total"));
	call->missing =
		(unsigned)json_array_size(json_object_get(c, "missing"));
	read_hits(call, json_object_get(o, "hits"));
	json_decref(o);
}

/* neon must not send a non-idempotent request again by itself. */
static ssize_t provide_once(void *ud, char *buf, size_t sz)
{
	struct {
		const char *body;
		size_t at;
		unsigned begun;
	} *s = ud;
	size_t left;

	if (sz == 0) {
		s->at = 0;
		return s->begun++ ? -1 : 0;
	}
	left = strlen(s->body) - s->at;
	if (sz > left)
		sz = left;
	memcpy(buf, s->body + s->at, sz);
	s->at += sz;
	return (ssize_t)sz;
}

void lab_ask_on(void *session, lab_call_t *call)
{
	char path[192], body[128];
	struct {
		const char *body;
		size_t at;
		unsigned begun;
	} sender = { .body = body };
	GString *out = g_string_new(NULL);
	usec_t began = standin_now();
	ne_request *req;

	snprintf(path, sizeof(path), "/v1/services/%s/search", call->service);
	snprintf(body, sizeof(body), "{\"tag\":\"%s\"}", call->tag);
	req = ne_request_create(session, "POST", path);
	ne_add_request_header(req, "Gs-Class", call->class_name);
	ne_add_request_header(req, "Gs-Limit", "1000");
	if (*call->route)
		ne_add_request_header(req, "Gs-Route", call->route);
	if (*call->key)
		ne_add_request_header(req, "Idempotency-Key", call->key);
	if (call->deadline_ms)
		ne_print_request_header(req, "Gs-Deadline-Ms", "%u",
					call->deadline_ms);
	ne_set_request_body_provider(req, (ne_off_t)strlen(body), provide_once,
				     &sender);
	ne_add_response_body_reader(req, ne_accept_always, append_block, out);
	ne_set_read_timeout(session, ASK_TIMEOUT_S);
	if (ne_request_dispatch(req) == NE_OK)
		call->status = (unsigned)ne_get_status(req)->code;
	call->took = standin_now() - began;
	read_answer(call, out);
	ne_request_destroy(req);
	call->text = g_string_free(out, FALSE);
}

void lab_ask(const lab_t *l, lab_call_t *call)
{
	void *s = lab_session(l, call->daemon);

	lab_ask_on(s, call);
	lab_session_free(s);
}

static void read_run(GArray *runs, const char *line, size_t sz)
{
	json_t *o = json_loadb(line, sz, 0, NULL);
	lab_run_t r = { 0 };

	if (!o)
		return;
	r.t = json_integer_value(json_object_get(o, "t"));
	r.snapshot =
		(uint64_t)json_integer_value(json_object_get(o, "snapshot"));
	r.map = (unsigned)json_integer_value(json_object_get(o, "map"));
	copy_member(r.server, sizeof(r.server), o, "server");
	copy_member(r.group, sizeof(r.group), o, "group");
	copy_member(r.event, sizeof(r.event), o, "event");
	copy_member(r.tag, sizeof(r.tag), o, "tag");
	g_array_append_val(runs, r);
	json_decref(o);
}

static void read_journal(GArray *runs, const char *path)
{
	char *text = NULL;
	char **lines, **p;
	gsize sz;

	if (!g_file_get_contents(path, &text, &sz, NULL))
		return;
	lines = g_strsplit(text, "\n", -1);
	for (p = lines; *p; p++)
		if (**p)
			read_run(runs, *p, strlen(*p));
	g_strfreev(lines);
	g_free(text);
}

static gint cmp_run(gconstpointer a, gconstpointer b)
{
	const lab_run_t *x = a, *y = b;

	return (x->t > y->t) - (x->t < y->t);
}

GArray *lab_journal(const lab_t *l)
{
	GArray *runs = g_array_new(FALSE, FALSE, sizeof(lab_run_t));
	guint i;

	for (i = 0; i < l->nodes->len; i++) {
		const lab_node_t *n = l->nodes->pdata[i];
		char *path;

		if (n->role != LAB_UPSTREAM)
			continue;
		path = g_strdup_printf("%s/journal-%s", l->dir, n->addr);
		read_journal(runs, path);
		g_free(path);
	}
	g_array_sort(runs, cmp_run);
	return runs;
}
