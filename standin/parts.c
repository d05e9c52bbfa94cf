/**
 * @file parts.c
 * Measures what a part of a query costs a daemon: sends queries of 36 parts and
 * prints the daemon's processor time. With a daemon that runs under a profiler,
 * the difference of two runs of different lengths is that of the queries.
 *
 * usage: parts QUERIES. GERANIUMSLIP_BIN: directory of the daemon.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "standin.h"
#include "world.h"

#define SHARDS 36
#define COPIES 3 /* servers of each shard */
#define READY_MS 60000
#define ANSWER_MS 20000
#define PAUSE_MS 20 /* between queries */

static char *make_config(void)
{
	GString *s =
		g_string_new("{\"version\":3,\"routes\":[{\"name\":\"all\","
			     "\"host\":\"h\",\"prefix\":\"/all/\","
			     "\"routeType\":\"idempotent\","
			     "\"timeoutMs\":10000,"
			     "\"targetLatencyMs\":8000,\"priority\":1,"
			     "\"gather\":[");
	unsigned i;

	for (i = 0; i < SHARDS; i++)
		g_string_append_printf(s, "%s\"s%u\"", i ? "," : "", i);
	g_string_append(s, "],\"maxAttempts\":2,\"topK\":4,"
			   "\"oldestVersion\":0.5}],\"services\":[");
	for (i = 0; i < SHARDS; i++)
		g_string_append_printf(
			s, "%s{\"name\":\"s%u\",\"maxConnections\":30}",
			i ? "," : "", i);
	g_string_append(s, "],\"limits\":{\"maxHeaderBytes\":1000,"
			   "\"maxBodyBytes\":1000,\"headerTimeoutMs\":3000,"
			   "\"idleTimeoutMs\":50000}}");
	return g_string_free(s, FALSE);
}

/* Processor time of a process in seconds. */
static double cpu_seconds(pid_t pid)
{
	char path[48], *text = NULL, *at;
	unsigned long user = 0, system = 0;
	unsigned i;

	snprintf(path, sizeof(path), "/proc/%d/stat", (int)pid);
	if (g_file_get_contents(path, &text, NULL, NULL) &&
	    (at = strrchr(text, ')'))) {
		/* The times are the 14th and 15th words; the 2nd ends here. */
		for (i = 2; i < 14 && at; i++)
			at = strchr(at + 1, ' ');
		if (at)
			user = strtoul(at, &at, 10);
		if (at)
			system = strtoul(at, NULL, 10);
	}
	g_free(text);
	return (double)(user + system) / (double)sysconf(_SC_CLK_TCK);
}

static unsigned ask(world_t *w, struct bufferevent *bev, unsigned n,
		    const char *id)
{
	unsigned complete = 0, i;
	world_answer_t a;
	char bytes[160];

	for (i = 0; i < n; i++) {
		snprintf(bytes, sizeof(bytes),
			 "GET /all/x?q=%u HTTP/1.1\r\nHost: h\r\n"
			 "Request-Id: %s%u\r\nDeadline-Ms: 10000\r\n\r\n",
			 i, id, i);
		world_request_on(w, bev, bytes, ANSWER_MS, &a);
		complete += a.status == 200 && a.missing == 0;
		g_string_free(a.body, TRUE);
		world_run_loop(w, PAUSE_MS);
	}
	return complete;
}

int main(int argc, char **argv)
{
	unsigned n = argc > 1 ? (unsigned)strtoul(argv[1], NULL, 10) : 100;
	world_t *w = world_new("platform");
	char *conf = make_config(), name[16];
	unsigned complete, i, j;
	struct bufferevent *bev;
	world_daemon_t *d;
	double before;

	world_publish_config(w, conf);
	g_free(conf);
	for (i = 0; i < SHARDS; i++) {
		snprintf(name, sizeof(name), "s%u", i);
		for (j = 0; j < COPIES; j++)
			world_start_server(w, name, j ? "y" : "x");
	}
	d = world_start_daemon(w, "x");
	if (!world_wait_ready(w, d, true, READY_MS)) {
		fputs("parts: the daemon isn't ready\n", stderr);
		world_free(w);
		return EXIT_FAILURE;
	}
	world_run_loop(w, 1000);
	bev = world_connect(w, d->listen);
	ask(w, bev, 20, "warm");
	before = cpu_seconds(d->pid);
	complete = ask(w, bev, n, "q");
	printf("%u of %u complete, %.3f ms of processor time per part\n",
	       complete, n,
	       (cpu_seconds(d->pid) - before) * 1000 / (n ? n * SHARDS : 1));
	bufferevent_free(bev);
	kill(d->pid, SIGTERM);
	world_run_loop(w, 4000);
	world_free(w);
	return EXIT_SUCCESS;
}
