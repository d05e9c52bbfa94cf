/**
 * @file edge_log.c
 * Lines of decisions, within a budget a second and kind, so that a bad
 * minute does not cost more than a good one. What is left out is counted.
 */
#include <string.h>

#include "libedge.h"

#define LINES_PER_S 100 /* of one kind; about 30 kB/s */

/* The kinds of lines that have a budget each. */
static const char *const kinds[EDGE_LOG_KINDS] = {
	"send", "reply", "shard_failed", "wait", "answer", "server",
};

static size_t kind_of(const char *what)
{
	size_t i;

	for (i = 0; i < EDGE_LOG_KINDS; i++)
		if (strcmp(kinds[i], what) == 0)
			break;
	return i;
}

/* Begins a new second; tells what was left out in the last one. */
static void next_second(edge_t *e, usec_t now)
{
	size_t i;

	if (now - e->log_second < USEC_PER_SEC)
		return;
	e->log_second = now;
	for (i = 0; i < EDGE_LOG_KINDS; i++) {
		if (e->log_lines[i] > LINES_PER_S)
			log_json(G_LOG_LEVEL_MESSAGE, "lines left out",
				 "\"kind\":\"%s\",\"n\":%u", kinds[i],
				 e->log_lines[i] - LINES_PER_S);
		e->log_lines[i] = 0;
	}
}

void edge_log(edge_t *e, const rt_line_t *l, usec_t now)
{
	GLogLevelFlags level =
		l->failure ? G_LOG_LEVEL_INFO : G_LOG_LEVEL_DEBUG;
	char id[160], service[160], server[160];
	size_t kind = kind_of(l->what);

	if (!log_on(level))
		return;
	next_second(e, now);
	/* A failed answer is told in any case: it names the request. */
	if (kind < EDGE_LOG_KINDS && ++e->log_lines[kind] > LINES_PER_S &&
	    strcmp(l->what, "answer") != 0)
		return;
	log_json(level, l->what,
		 "\"why\":\"%s\",\"request\":%s,\"service\":%s,"
		 "\"server\":%s,\"result\":\"%s\",\"n\":%llu,\"us\":%lld,"
		 "\"age_us\":%lld,\"version\":%llu",
		 rt_why_name(l->why), log_quote(id, sizeof(id), l->id),
		 log_quote(service, sizeof(service), l->service),
		 log_quote(server, sizeof(server), l->server),
		 l->result < RT_RESULT_MAX ? rt_result_name(l->result) : "",
		 (unsigned long long)l->n, (long long)l->value,
		 (long long)l->age, (unsigned long long)l->version);
}
