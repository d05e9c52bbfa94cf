/**
 * @file spread.c
 * Starts fleets of some sizes and measures what control costs a daemon at
 * rest, and how long a publication takes to be in force everywhere.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lab.h"
#include "standin.h"

#define REST (8 * USEC_PER_SEC)
#define PUBLICATIONS 5
#define POLL (5 * USEC_PER_MSEC)
#define LIMIT (20 * USEC_PER_SEC)
#define GAP (1500 * USEC_PER_MSEC)

/* Sums over the daemons at one time. */
typedef struct sums {
	usec_t at;
	double bytes;
	double cpu;
	double resident;
	double calls; /* to the platform */
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

static sums_t sum(const lab_t *l)
{
	sums_t s = { .at = standin_now() };
	guint i;

	for (i = 0; i < l->nodes->len; i++) {
		const lab_node_t *n = l->nodes->pdata[i];

		if (n->role == LAB_PLATFORM)
			s.calls = lab_number(n, "calls");
		if (n->role != LAB_DAEMON)
			continue;
		s.bytes += lab_metric(n, "peer_bytes_sent_total");
		s.cpu += lab_metric(n, "process_cpu_seconds_total");
		s.resident += lab_metric(n, "process_resident_bytes");
	}
	return s;
}

/* Whether a revision is in force at each daemon; the others are left out. */
static unsigned count_at(const lab_t *l, double revision, bool *done)
{
	unsigned n = 0, i = 0;
	guint k;

	for (k = 0; k < l->nodes->len; k++) {
		const lab_node_t *node = l->nodes->pdata[k];

		if (node->role != LAB_DAEMON)
			continue;
		if (!done[i])
			done[i] = lab_status(node, "revision") >= revision;
		n += done[i++];
	}
	return n;
}

static double publish(lab_t *l, uint64_t revision, unsigned daemons)
{
	char *text = make_conf(l, revision, daemons);
	bool *done = g_new0(bool, daemons);
	usec_t began = standin_now();

	lab_publish(l, text);
	while (count_at(l, (double)revision, done) < daemons &&
	       standin_now() - began < LIMIT)
		g_usleep(POLL);
	free(text);
	g_free(done);
	return (double)(standin_now() - began) / 1e6;
}

static void measure(lab_t *l, unsigned daemons)
{
	double time, longest = 0, total = 0, rest;
	sums_t a, b;
	unsigned i;

	g_usleep((gulong)GAP);
	a = sum(l);
	g_usleep((gulong)REST);
	b = sum(l);
	rest = (double)(b.at - a.at) / 1e6 * daemons;
	for (i = 0; i < PUBLICATIONS; i++) {
		time = publish(l, i + 2, daemons);
		total += time;
		if (time > longest)
			longest = time;
		g_usleep((gulong)GAP);
	}
	printf("%7u %12.0f %10.2f %12.1f %14.2f %14.3f %14.3f\n", daemons,
	       (b.bytes - a.bytes) / rest, 100 * (b.cpu - a.cpu) / rest,
	       b.resident / daemons / 1e6, (b.calls - a.calls) / rest * daemons,
	       total / PUBLICATIONS, longest);
	fflush(stdout);
}

static bool run_size(unsigned daemons)
{
	conf_faults_t *f = g_new0(conf_faults_t, 1);
	lab_t *l = lab_new();
	char *text = make_conf(l, 1, daemons);
	bool ok;

	strcpy(l->log_level, "warning");
	/* A relay a pair of daemons would be what is measured. */
	l->direct = true;
	ok = lab_start(l, conf_parse(str_of(text), f), daemons);
	if (ok)
		measure(l, daemons);
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
	       "cpu % each", "MB each", "platform/s all", "everywhere s",
	       "longest s");
	for (i = 1; ok && i < argc; i++)
		ok = run_size((unsigned)strtoul(argv[i], NULL, 10));
	return ok ? EXIT_SUCCESS : EXIT_FAILURE;
}
