/**
 * @file footprint.c
 * Measures a daemon of routed requests beside stand-ins: the memory that it
 * holds at rest with 120 servers, by mapping, after requests and after large
 * answers, and the processor time that the requests take.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "world.h"

#define SHARDS 36
#define SERVERS_PER_SHARD 3
#define OTHER_SERVERS 12 /* of a service without shards */
#define REST_MS 3000	 /* from ready to the first measurement */
#define READY_LIMIT_MS 10000
#define ANSWER_LIMIT_MS 5000
#define LARGE_ANSWERS 20
#define BURST 8 /* callers at a time */

static void publish_routes(world_t *w)
{
	GString *t = g_string_new("{\"version\":2,\"routes\":[");
	GString *shards = g_string_new("");
	unsigned i;

	for (i = 0; i < SHARDS; i++)
		g_string_append_printf(shards, "%s\"s%u\"", i ? "," : "", i);
	for (i = 0; i < 3; i++)
		g_string_append_printf(
			t,
			"{\"name\":\"all%u\",\"host\":\"h\",\"prefix\":"
			"\"/all%u/\",\"routeType\":\"idempotent\",\"timeoutMs\""
			":1000,\"targetLatencyMs\":300,\"priority\":1,"
			"\"gather\":[%s],\"maxAttempts\":2,\"topK\":4,"
			"\"oldestVersion\":0.5},",
			i, i, shards->str);
	for (i = 0; i < 5; i++)
		g_string_append_printf(
			t,
			"%s{\"name\":\"one%u\",\"host\":\"h\",\"prefix\":"
			"\"/one%u/\",\"routeType\":\"idempotent\","
			"\"timeoutMs\":1000,\"targetLatencyMs\":300,"
			"\"priority\":1,\"service\":\"one\",\"maxAttempts\":2}",
			i ? "," : "", i, i);
	g_string_append(t, "],\"services\":[{\"name\":\"one\","
			   "\"maxConnections\":104}");
	for (i = 0; i < SHARDS; i++)
		g_string_append_printf(
			t, ",{\"name\":\"s%u\",\"maxConnections\":104}", i);
	g_string_append(t, "],\"limits\":{\"maxHeaderBytes\":16000,"
			   "\"maxBodyBytes\":1000000,\"headerTimeoutMs\":3000,"
			   "\"idleTimeoutMs\":50000}}");
	world_publish_config(w, t->str);
	g_string_free(t, TRUE);
	g_string_free(shards, TRUE);
}

static void start_servers(world_t *w)
{
	static const char *const dcs[SERVERS_PER_SHARD] = { "x", "y", "z" };
	char service[16];
	unsigned i;

	for (i = 0; i < SHARDS * SERVERS_PER_SHARD; i++) {
		snprintf(service, sizeof(service), "s%u",
			 i / SERVERS_PER_SHARD);
		world_start_server(w, service, dcs[i % SERVERS_PER_SHARD]);
	}
	for (i = 0; i < OTHER_SERVERS; i++)
		world_start_server(w, "one", dcs[i % SERVERS_PER_SHARD]);
}

static char *read_proc(pid_t pid, const char *name)
{
	char path[64];
	gchar *text = NULL;

	snprintf(path, sizeof(path), "/proc/%d/%s", (int)pid, name);
	g_file_get_contents(path, &text, NULL, NULL);
	return text ? text : g_strdup("");
}

static void print_status(pid_t pid, const char *when)
{
	static const char *const names[] = { "VmRSS:", "VmHWM:", "RssAnon:",
					     "Threads:" };
	char *text = read_proc(pid, "status"), *at;
	size_t i;

	printf("%s:", when);
	for (i = 0; i < G_N_ELEMENTS(names); i++) {
		at = strstr(text, names[i]);
		if (at)
			printf(" %s %lu", names[i],
			       strtoul(at + strlen(names[i]), NULL, 10));
	}
	printf("\n");
	g_free(text);
}

/* Prints the sums by file or kind of mapping of the resident memory and of the
 * part of it that the process shares with no other, in KB. */
static void print_mappings(pid_t pid)
{
	char *text = read_proc(pid, "smaps");
	char **lines = g_strsplit(text, "\n", -1);
	GHashTable *sums = g_hash_table_new(g_str_hash, g_str_equal);
	unsigned long *sum = NULL, from, to;
	GHashTableIter it;
	gpointer k, v;
	const char *name;
	char **l;

	for (l = lines; *l; l++) {
		if (sscanf(*l, "%lx-%lx ", &from, &to) == 2) {
			name = strlen(*l) > 73 ? *l + 73 : "(anonymous)";
			sum = g_hash_table_lookup(sums, name);
			if (!sum) {
				sum = g_new0(unsigned long, 2);
				g_hash_table_insert(sums, (gpointer)name, sum);
			}
		} else if (sum && g_str_has_prefix(*l, "Rss:")) {
			sum[0] += strtoul(*l + 4, NULL, 10);
		} else if (sum && g_str_has_prefix(*l, "Private_")) {
			sum[1] += strtoul(strchr(*l, ':') + 1, NULL, 10);
		}
	}
	g_hash_table_iter_init(&it, sums);
	while (g_hash_table_iter_next(&it, &k, &v)) {
		sum = v;
		if (sum[0])
			printf("%8lu %8lu %s\n", sum[0], sum[1],
			       (const char *)k);
		g_free(v);
	}
	g_hash_table_destroy(sums);
	g_strfreev(lines);
	g_free(text);
}

/* Prints the processor time so far, in ticks of the kernel's clock. */
static void print_times(pid_t pid, const char *when)
{
	unsigned long user = 0, system = 0;
	char *text = read_proc(pid, "stat"), *at = strrchr(text, ')');

	if (at)
		sscanf(at,
		       ") %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u "
		       "%lu %lu",
		       &user, &system);
	printf("%s: user %lu ms, system %lu ms\n", when,
	       user * 1000 / (unsigned long)sysconf(_SC_CLK_TCK),
	       system * 1000 / (unsigned long)sysconf(_SC_CLK_TCK));
	g_free(text);
}

static void send_requests(world_t *w, const world_daemon_t *d, unsigned n)
{
	struct bufferevent *callers[BURST];
	unsigned i, bad = 0;
	world_answer_t a;
	char text[256];

	for (i = 0; i < BURST; i++)
		callers[i] = world_connect(w, d->listen);
	for (i = 0; i < n; i++) {
		snprintf(text, sizeof(text),
			 "GET /%s%u/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r%u"
			 "\r\nDeadline-Ms: 1000\r\n\r\n",
			 i % 3 ? "all" : "one", i % 3, i);
		world_request_on(w, callers[i % BURST], text, ANSWER_LIMIT_MS,
				 &a);
		bad += a.status != 200 || a.missing;
		g_string_free(a.body, TRUE);
	}
	for (i = 0; i < BURST; i++)
		bufferevent_free(callers[i]);
	printf("%u requests, %u without a whole answer\n", n, bad);
}

/* Answers of over 2 MB, which the daemon should not hold memory for later. */
static void send_large(world_t *w, const world_daemon_t *d)
{
	world_answer_t a;
	guint i;

	for (i = 0; i < w->servers->len; i++) {
		world_server_t *s = w->servers->pdata[i];

		s->fault = FAULT_LARGE;
		s->faulty_requests = LARGE_ANSWERS;
	}
	for (i = 0; i < LARGE_ANSWERS; i++) {
		world_request(w, d->listen,
			      "GET /one0/x HTTP/1.1\r\nHost: h\r\nRequest-Id: l"
			      "\r\nDeadline-Ms: 1000\r\n\r\n",
			      ANSWER_LIMIT_MS, &a);
		g_string_free(a.body, TRUE);
	}
	world_run_loop(w, REST_MS);
}

int main(int argc, char **argv)
{
	world_t *w = world_new("platform");
	unsigned n = argc > 2 ? (unsigned)strtoul(argv[2], NULL, 10) : 1000;
	world_daemon_t *d;

	if (argc > 1)
		w->program = argv[1];

	publish_routes(w);
	start_servers(w);
	d = world_start_daemon(w, "x");
	if (!world_wait_ready(w, d, true, READY_LIMIT_MS)) {
		fputs("footprint: the daemon is not ready\n", stderr);
		world_free(w);
		return EXIT_FAILURE;
	}
	world_run_loop(w, REST_MS);
	print_status(d->pid, "at rest");
	print_mappings(d->pid);
	print_times(d->pid, "at rest");
	send_requests(w, d, n);
	print_times(d->pid, "after requests");
	print_status(d->pid, "after requests");
	send_large(w, d);
	print_status(d->pid, "after large answers");
	world_free(w);
	return EXIT_SUCCESS;
}
