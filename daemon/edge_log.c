/**
 * @file edge_log.c
 * Log lines of decisions, with a rate limit for each kind of line, so that a
 * minute with many failures doesn't cost more than a normal one. Lines over the
 * limit are counted.
 */
#include <string.h>

#include "libedge.h"

#define MAX_LINES_PER_S 100 /* of each kind; about 30 kB/s */

/* The kinds of lines with a rate limit; "answer" lines over it are
 * counted, but still written. */
static const char *const kinds[EDGE_LOG_KINDS] = {
	"send", "reply", "shard_failed", "wait", "answer", "server",
};

/* EDGE_LOG_KINDS for a line without a limit. */
static size_t kind_index(const char *what)
{
	size_t i;

	for (i = 0; i < EDGE_LOG_KINDS; i++)
		if (strcmp(kinds[i], what) == 0)
			break;
	return i;
}

/* After a second, logs how many lines exceeded the limit; resets the counts. */
static void start_next_second(edge_t *e, usec_t now)
{
	size_t i;

	if (now - e->log_second_start < USEC_PER_SEC)
		return;
	e->log_second_start = now;
	for (i = 0; i < EDGE_LOG_KINDS; i++) {
		if (e->log_lines[i] > MAX_LINES_PER_S)
			log_json(G_LOG_LEVEL_MESSAGE, "lines left out",
				 "\"kind\":\"%s\",\"n\":%u", kinds[i],
				 e->log_lines[i] - MAX_LINES_PER_S);
		e->log_lines[i] = 0;
	}
}

static void log_evacuation(const rt_log_line_t *l)
{
	bool unknown = l->why == RT_WHY_UNKNOWN_DC;
	char dc[160];

	log_json(unknown ? G_LOG_LEVEL_WARNING : G_LOG_LEVEL_MESSAGE, l->event,
		 "\"why\":\"%s\",\"data_centre\":%s,\"n\":%llu",
		 rt_why_name(l->why), log_quote(dc, sizeof(dc), l->dc),
		 (unsigned long long)l->n);
}

void edge_log_decision(edge_t *e, const rt_log_line_t *l, usec_t now)
{
	GLogLevelFlags level = l->info ? G_LOG_LEVEL_INFO : G_LOG_LEVEL_DEBUG;
	char id[160], service[160], server[160];
	size_t kind = kind_index(l->event);

	if (strcmp(l->event, "evacuate") == 0) {
		log_evacuation(l);
		return;
	}
	if (!log_enabled(level))
		return;
	start_next_second(e, now);
	/* Answers are never suppressed: a failed one names the request. */
	if (kind < EDGE_LOG_KINDS && ++e->log_lines[kind] > MAX_LINES_PER_S &&
	    strcmp(l->event, "answer") != 0)
		return;
	log_json(level, l->event,
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
