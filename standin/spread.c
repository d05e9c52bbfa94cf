/**
 * @file spread.c
 * Starts fleets of the given sizes. For each, measures the traffic, CPU time
 * and memory of an idle daemon, and the time from the publication of a
 * configuration until all daemons use it.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lab.h"
#include "standin.h"

#define IDLE_USEC (8 * USEC_PER_SEC) /* length of the idle measurement */
#define PUBLICATIONS 5
#define POLL_USEC (5 * USEC_PER_MSEC)
#define APPLY_LIMIT_USEC (20 * USEC_PER_SEC)
/* Pause after the start and after each publication. */
#define PAUSE_USEC (1500 * USEC_PER_MSEC)

/* Counters at one time, summed over all daemons. */
typedef struct sums {
	usec_t at;
	double peer_bytes;
	double cpu_seconds;
	double resident_bytes;
	double platform_requests; /* received by the platform */
} sums_t;

static char *make_conf(const lab_t *l, uint64_t revision, unsigned daemons)
{
	conf_builder_t *b = conf_new(revision, daemons);
	char *text = NULL;
	size_t sz = 0;
	FILE *out = open_memstream(&text, &sz);
	char ip[ADDR_HOST_MAX];
	unsigned port;

	conf_add_dc(b, "dc1", "r");
	conf_add_dc(b, "dc2", "r");
	conf_add_dc(b, "dc3", "r");
	conf_add_service(b, "s", 3, daemons);
	conf_add_group(b, "g0");
	lab_server_addr(l, 0, ip, &port);
	conf_add_server(b, "dc1", ip, port);
	conf_add_class(b, &(conf_class_spec_t){ .name = "c",
						.idempotent = true,
						.deadline_ms = 1000 });
	if (conf_emit(b, out, stderr))
		exit(EXIT_FAILURE);
	fclose(out);
	return text;
}

static sums_t sum_daemons(const lab_t *l)
{
	sums_t s = { .at = standin_now() };
	guint i;

	for (i = 0; i < l->nodes->len; i++) {
		const lab_node_t *n = l->nodes->pdata[i];

		if (n->role == LAB_PLATFORM)
			s.platform_requests = lab_control_number(n, "calls");
		if (n->role != LAB_DAEMON)
			continue;
		s.peer_bytes += lab_metric(n, "peer_bytes_sent_total");
		s.cpu_seconds += lab_metric(n, "process_cpu_seconds_total");
		s.resident_bytes += lab_metric(n, "process_resident_bytes");
	}
	return s;
}

/* Returns the number of daemons that use a revision. Sets their elements of
 * applied; daemons whose element is set already are not queried again. */
static unsigned count_in_force(const lab_t *l, double revision, bool *applied)
{
	unsigned n = 0, i = 0;
	guint k;

	for (k = 0; k < l->nodes->len; k++) {
		const lab_node_t *node = l->nodes->pdata[k];

		if (node->role != LAB_DAEMON)
			continue;
		if (!applied[i])
			applied[i] =
				lab_status_number(node, "revision") >= revision;
		n += applied[i++];
	}
	return n;
}

static double time_publication(lab_t *l, uint64_t revision, unsigned daemons)
{
	char *text = make_conf(l, revision, daemons);
	bool *applied = g_new0(bool, daemons);
	usec_t began = standin_now();

	lab_publish(l, text);
	while (count_in_force(l, (double)revision, applied) < daemons &&
	       standin_now() - began < APPLY_LIMIT_USEC)
		g_usleep(POLL_USEC);
	free(text);
	g_free(applied);
	return (double)(standin_now() - began) / 1e6;
}

static void measure_fleet(lab_t *l, unsigned daemons)
{
	double time, longest = 0, total = 0, daemon_seconds;
	sums_t a, b;
	unsigned i;

	g_usleep((gulong)PAUSE_USEC);
	a = sum_daemons(l);
	g_usleep((gulong)IDLE_USEC);
	b = sum_daemons(l);
	daemon_seconds = (double)(b.at - a.at) / 1e6 * daemons;
	for (i = 0; i < PUBLICATIONS; i++) {
		time = time_publication(l, i + 2, daemons);
		total += time;
		if (time > longest)
			longest = time;
		g_usleep((gulong)PAUSE_USEC);
	}
	printf("%7u %12.0f %10.2f %12.1f %14.2f %14.3f %14.3f\n", daemons,
	       (b.peer_bytes - a.peer_bytes) / daemon_seconds,
	       100 * (b.cpu_seconds - a.cpu_seconds) / daemon_seconds,
	       b.resident_bytes / daemons / 1e6,
	       (b.platform_requests - a.platform_requests) / daemon_seconds *
		       daemons,
	       total / PUBLICATIONS, longest);
	fflush(stdout);
}

static bool run_fleet(unsigned daemons)
{
	conf_faults_t *f = g_new0(conf_faults_t, 1);
	lab_t *l = lab_new();
	char *text = make_conf(l, 1, daemons);
	bool ok;

	strcpy(l->log_level, "warning");
	/* Relays would dominate the measured traffic and CPU time. */
	l->without_relays = true;
	ok = lab_start(l, conf_parse(str_of(text), f), daemons);
	if (ok)
		measure_fleet(l, daemons);
	lab_free(l, false);
	free(text);
	g_free(f);
	return ok;
}

int main(int argc, char **argv)
{
	bool ok = true;
	int i;

	if (argc < 2) {
		fputs("usage: spread DAEMONS...\n", stderr);
		return EXIT_FAILURE;
	}
	signal(SIGPIPE, SIG_IGN);
	printf("%7s %12s %10s %12s %14s %14s %14s\n", "daemons", "bytes/s each",
	       "cpu % each", "MB each", "platform/s all", "apply mean s",
	       "apply max s");
	for (i = 1; ok && i < argc; i++)
		ok = run_fleet((unsigned)strtoul(argv[i], NULL, 10));
	return ok ? EXIT_SUCCESS : EXIT_FAILURE;
}
