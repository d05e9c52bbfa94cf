/**
 * @file upstream.c
 * A stand-in for the servers of groups: slots, a queue, a connection limit
 * and cost, service times, snapshots, draining, shedding, and faults on
 * command. Its journal tells what ran. docs/PROTOCOLS.md describes it.
 */
#include <fcntl.h>
#include <jansson.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "standin.h"

#define MAX_HELD 4
#define HITS_PER_REPLY 3
#define COLD_REQUESTS 50
#define COLD_FACTOR 5.0
#define HANG_US (30 * USEC_PER_SEC)
#define CUT_MAX 8

typedef struct job {
	http_request_t *r;
	struct server *server;
	char id[32];
	char tag[64]; /* of the caller's body */
	char snapshot[24];
	char map[12];
	usec_t deadline;
	usec_t at;     /* when it is due */
	bool replying; /* it ran; the reply is on its way */
	bool crossed;
} job_t;

typedef struct server {
	char addr[32];
	char group[64];
	struct MHD_Daemon *mhd;
	unsigned slots;
	unsigned busy;
	GQueue queue; /* job_t */
	char held[128];
	bool draining;
	bool lies; /* about its load */
	bool sheds;
	double slow;
	unsigned cold_left;
	unsigned close_next; /* close after reading so many requests */
	unsigned cross_next; /* answer so many with another's id */
	unsigned hang_next;  /* never answer so many */
	char cut[CUT_MAX][ADDR_HOST_MAX];
	unsigned ncut;
	uint64_t runs;
	unsigned peak; /* most connections at one time */
} server_t;

static struct {
	GMutex lock;
	GCond wake;
	GPtrArray *heap; /* running jobs, not ordered */
	GPtrArray *servers;
	rng_t rng;
	int journal;
	double service_us;
	double sigma; /* of the lognormal; 0 for fixed times */
	unsigned queue_max;
	usec_t connect_us;
} state = { .journal = -1 };

static struct options {
	gchar **listen; /* ADDR or ADDR=GROUP */
	gchar *held;
	gchar *journal;
	gint slots;
	gint connections;
	gint connect_us;
	gint queue;
	gint service_us;
	gint sigma_percent;
	gint seed;
	gint cold;
	gchar **delay; /* IP=USEC */
} opt = { .slots = 3,
	  .connections = 30,
	  .queue = 64,
	  .service_us = 2000,
	  .seed = 1 };

static void note(const job_t *j, const char *what)
{
	char line[512];
	int n;

	if (state.journal < 0)
		return;
	n = snprintf(line, sizeof(line),
		     "{\"t\":%lld,\"server\":\"%s\",\"group\":\"%s\","
		     "\"event\":\"%s\",\"id\":\"%s\",\"tag\":\"%s\","
		     "\"snapshot\":%s,\"map\":%s}\n",
		     (long long)standin_now(), j->server->addr,
		     j->server->group, what, j->id, j->tag,
		     *j->snapshot ? j->snapshot : "0", *j->map ? j->map : "0");
	if (write(state.journal, line, (size_t)n) != n)
		perror("journal");
}

static double gauss(void)
{
	double u = rng_unit(&state.rng) + 1e-12;
	double v = rng_unit(&state.rng);

	return sqrt(-2 * log(u)) * cos(2 * M_PI * v);
}

static usec_t service_time(server_t *s)
{
	double t = state.service_us * s->slow;

	if (state.sigma > 0)
		t *= exp(state.sigma * gauss() - state.sigma * state.sigma / 2);
	if (s->cold_left) {
		s->cold_left--;
		t *= COLD_FACTOR;
	}
	return (usec_t)t;
}

static void add_evidence(struct MHD_Response *res, const server_t *s)
{
	char num[24];

	snprintf(num, sizeof(num), "%u", s->slots);
	MHD_add_response_header(res, "Gs-Slots", num);
	snprintf(num, sizeof(num), "%u", s->lies ? 0 : s->busy);
	MHD_add_response_header(res, "Gs-Busy", num);
	snprintf(num, sizeof(num), "%u", s->lies ? 0 : s->queue.length);
	MHD_add_response_header(res, "Gs-Queued", num);
	MHD_add_response_header(res, "Gs-Held", s->held);
	if (s->draining)
		MHD_add_response_header(res, "Gs-Draining", "1");
}

static void set_reply(http_request_t *r, const server_t *s, unsigned status,
		      char *text)
{
	r->status = status;
	r->response = MHD_create_response_from_buffer(strlen(text), text,
						      MHD_RESPMEM_MUST_FREE);
	add_evidence(r->response, s);
}

static void echo(const job_t *j)
{
	bool cross = j->crossed;

	MHD_add_response_header(j->r->response, "Gs-Request",
				cross ? "00000000deadbeef" : j->id);
	MHD_add_response_header(j->r->response, "Gs-Snapshot", j->snapshot);
	MHD_add_response_header(j->r->response, "Gs-Map", j->map);
}

static void refuse(job_t *j, unsigned status, const char *why)
{
	note(j, why);
	set_reply(j->r, j->server, status, strdup("{}"));
	echo(j);
	MHD_add_response_header(j->r->response, "Gs-Refused", why);
}

static char *hits_text(const job_t *j)
{
	GString *s = g_string_new("{\"hits\":[");
	char *text;
	int i;

	for (i = 0; i < HITS_PER_REPLY; i++)
		g_string_append_printf(
			s,
			"%s{\"id\":\"%s-%d\",\"score\":%.3f,"
			"\"snapshot\":%s,\"tag\":\"%s\"}",
			i ? "," : "", j->server->group, i,
			(g_str_hash(j->server->group) % 100) / 100.0 + i,
			j->snapshot, j->tag);
	g_string_append(s, "]}");
	text = strdup(s->str);
	g_string_free(s, TRUE);
	return text;
}

static void start(job_t *j, usec_t now)
{
	server_t *s = j->server;
	usec_t from = now;

	if (j->r->opened_at + state.connect_us > from)
		from = j->r->opened_at + state.connect_us;
	s->busy++;
	s->runs++;
	j->at = from + service_time(s);
	if (s->hang_next) {
		s->hang_next--;
		j->at = now + HANG_US;
	}
	note(j, "run");
	g_ptr_array_add(state.heap, j);
	g_cond_signal(&state.wake);
}

static void release(job_t *j)
{
	http_release(j->r);
	g_free(j);
}

static void start_next(server_t *s, usec_t now)
{
	job_t *j;

	while (s->busy < s->slots && (j = g_queue_pop_head(&s->queue))) {
		if (j->deadline > now) {
			start(j, now);
			continue;
		}
		refuse(j, 504, "deadline");
		release(j);
	}
}

/* The way to a client in another data centre and back. */
static usec_t round_trip(const http_request_t *r)
{
	gchar **d;
	size_t n;

	for (d = opt.delay; d && *d; d++) {
		n = strlen(r->from);
		if (strncmp(*d, r->from, n) == 0 && (*d)[n] == '=')
			return 2 * strtol(*d + n + 1, NULL, 10);
	}
	return 0;
}

static void finish(job_t *j, usec_t now, bool cancelled)
{
	usec_t away = round_trip(j->r);
	server_t *s = j->server;

	s->busy--;
	/* The reply is another request's, whole. */
	if (s->cross_next) {
		s->cross_next--;
		j->crossed = true;
		g_strlcpy(j->tag, "another", sizeof(j->tag));
	}
	note(j, cancelled ? "cancel" : "done");
	set_reply(j->r, s, cancelled ? 499 : 200,
		  cancelled ? strdup("{}") : hits_text(j));
	echo(j);
	if (away) {
		j->replying = true;
		j->at = now + away;
		g_ptr_array_add(state.heap, j);
	} else {
		release(j);
	}
	start_next(s, now);
}

static gpointer timer_thread(gpointer arg)
{
	usec_t now, next;
	guint i;

	(void)arg;
	g_mutex_lock(&state.lock);
	for (;;) {
		now = standin_now();
		next = now + USEC_PER_SEC;
		for (i = 0; i < state.heap->len;) {
			job_t *j = state.heap->pdata[i];

			if (j->at <= now) {
				g_ptr_array_remove_index_fast(state.heap, i);
				if (j->replying)
					release(j);
				else
					finish(j, now, false);
				continue;
			}
			if (j->at < next)
				next = j->at;
			i++;
		}
		g_cond_wait_until(&state.wake, &state.lock,
				  g_get_monotonic_time() + (next - now));
	}
	return NULL;
}

/* Whether MAP:SNAPSHOT is one of those held. */
static bool holds(const server_t *s, const job_t *j)
{
	char want[64];
	char **v = g_strsplit(s->held, ",", MAX_HELD);
	bool found;

	snprintf(want, sizeof(want), "%s:%s", j->map, j->snapshot);
	found = g_strv_contains((const gchar *const *)v, want);
	g_strfreev(v);
	return found;
}

static void read_tag(job_t *j)
{
	json_t *o = json_loadb((const char *)j->r->body->data, j->r->body->len,
			       0, NULL);
	const char *tag = json_string_value(json_object_get(o, "tag"));

	g_strlcpy(j->tag, tag ? tag : "", sizeof(j->tag));
	json_decref(o);
}

static void search(http_request_t *r, server_t *s)
{
	job_t *j = g_new0(job_t, 1);
	usec_t now = standin_now();
	long ms = strtol(http_header(r, "Gs-Deadline-Ms"), NULL, 10);

	j->r = r;
	j->server = s;
	g_strlcpy(j->id, http_header(r, "Gs-Request"), sizeof(j->id));
	g_strlcpy(j->snapshot, http_header(r, "Gs-Snapshot"),
		  sizeof(j->snapshot));
	g_strlcpy(j->map, http_header(r, "Gs-Map"), sizeof(j->map));
	j->deadline = now + ms * USEC_PER_MSEC;
	read_tag(j);
	if (s->close_next) {
		s->close_next--;
		note(j, "run");
		r->close = true;
		g_free(j);
		return;
	}
	if (s->draining)
		refuse(j, 503, "draining");
	else if (!holds(s, j))
		refuse(j, 409, "snapshot");
	else if (s->sheds || s->queue.length >= state.queue_max)
		refuse(j, 503, "shed");
	else {
		http_hold(r);
		if (s->busy < s->slots)
			start(j, now);
		else
			g_queue_push_tail(&s->queue, j);
		return;
	}
	g_free(j);
}

static job_t *find_queued(server_t *s, const char *id)
{
	GList *l;

	for (l = s->queue.head; l; l = l->next)
		if (strcmp(((job_t *)l->data)->id, id) == 0)
			return l->data;
	return NULL;
}

static void cancel(http_request_t *r, server_t *s)
{
	const char *id = http_header(r, "Gs-Request");
	job_t *j = find_queued(s, id);
	guint i;

	if (j) {
		g_queue_remove(&s->queue, j);
		refuse(j, 499, "cancelled");
		release(j);
	}
	for (i = 0; !j && i < state.heap->len; i++) {
		job_t *k = state.heap->pdata[i];

		if (k->server != s || k->replying || strcmp(k->id, id) != 0)
			continue;
		j = k;
		g_ptr_array_remove_index_fast(state.heap, i);
		finish(j, standin_now(), true);
	}
	set_reply(r, s, 200, strdup("{}"));
}

static void control_cut(server_t *s, const char *from)
{
	if (from && s->ncut < CUT_MAX)
		g_strlcpy(s->cut[s->ncut++], from, ADDR_HOST_MAX);
}

static void control(http_request_t *r, server_t *s)
{
	const char *held = http_arg(r, "held");
	const char *slow = http_arg(r, "slow");
	char text[96];

	if (held)
		g_strlcpy(s->held, held, sizeof(s->held));
	if (slow)
		s->slow = g_ascii_strtod(slow, NULL);
	s->draining = http_num(r, "drain", s->draining);
	s->lies = http_num(r, "lie", s->lies);
	s->sheds = http_num(r, "shed", s->sheds);
	s->close_next = (unsigned)http_num(r, "close", s->close_next);
	s->cross_next = (unsigned)http_num(r, "cross", s->cross_next);
	s->hang_next = (unsigned)http_num(r, "hang", s->hang_next);
	s->cold_left = (unsigned)http_num(r, "cold", s->cold_left);
	control_cut(s, http_arg(r, "cut"));
	if (http_arg(r, "heal"))
		s->ncut = 0;
	snprintf(text, sizeof(text), "{\"runs\":%llu,\"busy\":%u,\"peak\":%u}",
		 (unsigned long long)s->runs, s->busy, s->peak);
	set_reply(r, s, 200, strdup(text));
}

static bool is_cut(const server_t *s, const http_request_t *r)
{
	unsigned i;

	for (i = 0; i < s->ncut; i++)
		if (strcmp(s->cut[i], r->from) == 0)
			return true;
	return false;
}

/* Commands of a test are not counted: they come between requests. */
static void note_connections(server_t *s)
{
	const union MHD_DaemonInfo *i = MHD_get_daemon_info(
		s->mhd, MHD_DAEMON_INFO_CURRENT_CONNECTIONS);

	if (i && i->num_connections > s->peak)
		s->peak = i->num_connections;
}

static void handle(http_request_t *r)
{
	server_t *s = r->server;

	g_mutex_lock(&state.lock);
	if (!g_str_has_prefix(r->url, "/control"))
		note_connections(s);
	if (g_str_has_prefix(r->url, "/control"))
		control(r, s);
	else if (is_cut(s, r))
		r->close = true;
	else if (strcmp(r->url, "/v1/search") == 0)
		search(r, s);
	else if (strcmp(r->url, "/v1/cancel") == 0)
		cancel(r, s);
	else if (strcmp(r->url, "/v1/status") == 0)
		set_reply(r, s, 200, strdup("{}"));
	else
		set_reply(r, s, 404, strdup("{}"));
	g_mutex_unlock(&state.lock);
}

static const GOptionEntry entries[] = {
	{ "listen", 'l', 0, G_OPTION_ARG_STRING_ARRAY, &opt.listen,
	  "Serve a group at an address", "IP:PORT=GROUP" },
	{ "held", 'H', 0, G_OPTION_ARG_STRING, &opt.held, "Snapshots held",
	  "MAP:SNAPSHOT,..." },
	{ "journal", 'j', 0, G_OPTION_ARG_FILENAME, &opt.journal,
	  "Append what runs to FILE", "FILE" },
	{ "slots", 0, 0, G_OPTION_ARG_INT, &opt.slots, "Requests at once",
	  "N" },
	{ "connections", 0, 0, G_OPTION_ARG_INT, &opt.connections,
	  "Connections at once", "N" },
	{ "connect-us", 0, 0, G_OPTION_ARG_INT, &opt.connect_us,
	  "Cost of a new connection", "USEC" },
	{ "queue", 0, 0, G_OPTION_ARG_INT, &opt.queue, "Longest queue", "N" },
	{ "service-us", 0, 0, G_OPTION_ARG_INT, &opt.service_us,
	  "Mean service time", "USEC" },
	{ "sigma-percent", 0, 0, G_OPTION_ARG_INT, &opt.sigma_percent,
	  "Spread of the lognormal service time", "PERCENT" },
	{ "seed", 0, 0, G_OPTION_ARG_INT, &opt.seed, "Random seed", "N" },
	{ "delay", 0, 0, G_OPTION_ARG_STRING_ARRAY, &opt.delay,
	  "One-way delay to a client", "IP=USEC" },
	{ "cold", 0, 0, G_OPTION_ARG_INT, &opt.cold,
	  "Requests that are slow at first", "N" },
	G_OPTION_ENTRY_NULL
};

static bool add_server(const char *listen)
{
	server_t *s = g_new0(server_t, 1);
	char **part = g_strsplit(listen, "=", 2);

	g_strlcpy(s->addr, part[0], sizeof(s->addr));
	g_strlcpy(s->group, part[1] ? part[1] : "g", sizeof(s->group));
	g_strfreev(part);
	g_strlcpy(s->held, opt.held ? opt.held : "1:1", sizeof(s->held));
	s->slots = (unsigned)opt.slots;
	s->slow = 1.0;
	s->cold_left = (unsigned)opt.cold;
	g_queue_init(&s->queue);
	s->mhd = http_serve(s->addr, handle, s,
			    /* One more for the commands of a test. */
			    (unsigned)opt.connections + 1);
	g_ptr_array_add(state.servers, s);
	return s->mhd != NULL;
}

static bool set_up(void)
{
	gchar **l;

	state.heap = g_ptr_array_new();
	state.servers = g_ptr_array_new();
	state.rng.state = (uint64_t)opt.seed;
	state.service_us = opt.service_us;
	state.sigma = opt.sigma_percent / 100.0;
	state.queue_max = (unsigned)opt.queue;
	state.connect_us = opt.connect_us;
	if (opt.journal)
		state.journal =
			open(opt.journal, O_WRONLY | O_CREAT | O_APPEND, 0644);
	for (l = opt.listen; l && *l; l++)
		if (!add_server(*l)) {
			fprintf(stderr, "standin-upstream: cannot serve %s\n",
				*l);
			return false;
		}
	g_thread_unref(g_thread_new("timer", timer_thread, NULL));
	return true;
}

int main(int argc, char **argv)
{
	GOptionContext *ctx = g_option_context_new("- stand in for servers");
	GError *error = NULL;

	g_option_context_add_main_entries(ctx, entries, NULL);
	if (!g_option_context_parse(ctx, &argc, &argv, &error)) {
		fprintf(stderr, "standin-upstream: %s\n", error->message);
		return EXIT_FAILURE;
	}
	standin_block_signals();
	if (!set_up())
		return EXIT_FAILURE;
	standin_wait();
	/* What is open is dropped, as by a server that goes away. */
	_exit(EXIT_SUCCESS);
}
