/**
 * @file upstream.c
 * A stand-in for the servers of groups. It simulates slots, a queue, a limit
 * and a setup time of connections, service times, snapshots, draining, load
 * shedding, and faults on command, and writes each event of a request to a
 * journal. docs/PROTOCOLS.md describes it.
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
#define COLD_FACTOR 5.0 /* multiplies the service time of cold requests */
#define HANG_USEC (30 * USEC_PER_SEC) /* service time of a hung request */
#define BLOCKED_MAX 8
#define NEST_DEPTH 2000 /* near the limit of the daemons' JSON library */

/* A search request that is queued, runs, or whose reply is delayed. */
typedef struct job {
	http_request_t *r;
	struct server *server;
	char id[32];
	char tag[64]; /* from the request body */
	char snapshot[24];
	char map_version[12];
	usec_t deadline;
	usec_t due_at;	    /* end of the run, or of the reply's delay */
	bool reply_delayed; /* it ran; the reply is sent at due_at */
	bool wrong_id; /* the reply has the id and tag of another request */
} job_t;

typedef struct server {
	char addr[32];
	char group[64];
	struct MHD_Daemon *mhd;
	unsigned slots;
	unsigned busy;
	GQueue queue; /* job_t */
	char held_snapshots[128];
	bool draining;
	bool hides_load; /* reports no running and no queued requests */
	bool sheds;	 /* refuses all requests as overload */
	double slow_factor;
	unsigned cold_requests; /* number of next requests that are cold */
	/* Number of next requests that run, but whose connection is closed
	 * without an answer. */
	unsigned abort_requests;
	unsigned wrong_id_replies; /* number of next replies with a wrong id */
	unsigned nested_replies; /* number of next replies nested NEST_DEPTH */
	/* Number of next requests that take HANG_USEC. */
	unsigned hang_requests;
	char blocked[BLOCKED_MAX][ADDR_HOST_MAX];
	unsigned nblocked;
	uint64_t runs;
	unsigned peak_connections; /* maximum of open connections */
} server_t;

static struct {
	GMutex lock;
	GCond wake;
	GPtrArray *jobs; /* running or with a delayed reply; not sorted */
	GPtrArray *servers;
	rng_t rng;
	int journal_fd;
	double service_us;
	double sigma; /* of the lognormal service times; 0: constant */
	unsigned queue_max;
	usec_t connect_us;
} state = { .journal_fd = -1 };

static struct options {
	gchar **listen; /* IP:PORT or IP:PORT=GROUP */
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

static void write_journal(const job_t *j, const char *event)
{
	char line[512];
	int n;

	if (state.journal_fd < 0)
		return;
	n = snprintf(line, sizeof(line),
		     "{\"t\":%lld,\"server\":\"%s\",\"group\":\"%s\","
		     "\"event\":\"%s\",\"id\":\"%s\",\"tag\":\"%s\","
		     "\"snapshot\":%s,\"map\":%s}\n",
		     (long long)standin_now(), j->server->addr,
		     j->server->group, event, j->id, j->tag,
		     *j->snapshot ? j->snapshot : "0",
		     *j->map_version ? j->map_version : "0");
	if (write(state.journal_fd, line, (size_t)n) != n)
		perror("journal");
}

static double standard_normal(void)
{
	double u = rng_unit(&state.rng) + 1e-12;
	double v = rng_unit(&state.rng);

	return sqrt(-2 * log(u)) * cos(2 * M_PI * v);
}

static usec_t service_time(server_t *s)
{
	double t = state.service_us * s->slow_factor;

	if (state.sigma > 0)
		t *= exp(state.sigma * standard_normal() -
			 state.sigma * state.sigma / 2);
	if (s->cold_requests) {
		s->cold_requests--;
		t *= COLD_FACTOR;
	}
	return (usec_t)t;
}

static void add_state_headers(struct MHD_Response *res, const server_t *s)
{
	char num[24];

	snprintf(num, sizeof(num), "%u", s->slots);
	MHD_add_response_header(res, "Gs-Slots", num);
	snprintf(num, sizeof(num), "%u", s->hides_load ? 0 : s->busy);
	MHD_add_response_header(res, "Gs-Busy", num);
	snprintf(num, sizeof(num), "%u", s->hides_load ? 0 : s->queue.length);
	MHD_add_response_header(res, "Gs-Queued", num);
	MHD_add_response_header(res, "Gs-Held", s->held_snapshots);
	if (s->draining)
		MHD_add_response_header(res, "Gs-Draining", "1");
}

static void set_reply(http_request_t *r, const server_t *s, unsigned status,
		      char *text)
{
	r->status = status;
	r->response = MHD_create_response_from_buffer(strlen(text), text,
						      MHD_RESPMEM_MUST_FREE);
	add_state_headers(r->response, s);
}

static void add_request_headers(const job_t *j)
{
	bool wrong_id = j->wrong_id;

	MHD_add_response_header(j->r->response, "Gs-Request",
				wrong_id ? "00000000deadbeef" : j->id);
	MHD_add_response_header(j->r->response, "Gs-Snapshot", j->snapshot);
	MHD_add_response_header(j->r->response, "Gs-Map", j->map_version);
}

static void refuse_job(job_t *j, unsigned status, const char *reason)
{
	write_journal(j, reason);
	set_reply(j->r, j->server, status, strdup("{}"));
	add_request_headers(j);
	MHD_add_response_header(j->r->response, "Gs-Refused", reason);
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

static void start_job(job_t *j, usec_t now)
{
	server_t *s = j->server;
	usec_t begin = now;

	if (j->r->opened_at + state.connect_us > begin)
		begin = j->r->opened_at + state.connect_us;
	s->busy++;
	s->runs++;
	j->due_at = begin + service_time(s);
	if (s->hang_requests) {
		s->hang_requests--;
		j->due_at = now + HANG_USEC;
	}
	write_journal(j, "run");
	g_ptr_array_add(state.jobs, j);
	g_cond_signal(&state.wake);
}

static void send_reply(job_t *j)
{
	http_resume(j->r);
	g_free(j);
}

static void start_next(server_t *s, usec_t now)
{
	job_t *j;

	while (s->busy < s->slots && (j = g_queue_pop_head(&s->queue))) {
		if (j->deadline > now) {
			start_job(j, now);
			continue;
		}
		refuse_job(j, 504, "deadline");
		send_reply(j);
	}
}

/* Returns the network round-trip time that is simulated for a client. */
static usec_t client_round_trip(const http_request_t *r)
{
	gchar **d;
	size_t n;

	for (d = opt.delay; d && *d; d++) {
		n = strlen(r->client_ip);
		if (strncmp(*d, r->client_ip, n) == 0 && (*d)[n] == '=')
			return 2 * strtol(*d + n + 1, NULL, 10);
	}
	return 0;
}

static char *nested_text(void)
{
	GString *text = g_string_new(
		"{\"hits\":[{\"id\":\"nested\",\"score\":1,\"more\":");
	unsigned i;

	for (i = 0; i < NEST_DEPTH; i++)
		g_string_append_c(text, '[');
	for (i = 0; i < NEST_DEPTH; i++)
		g_string_append_c(text, ']');
	g_string_append(text, "}]}");
	return g_string_free(text, FALSE);
}

static char *reply_text(job_t *j)
{
	server_t *s = j->server;

	if (s->nested_replies == 0)
		return hits_text(j);
	s->nested_replies--;
	return nested_text();
}

static void finish_job(job_t *j, usec_t now, bool cancelled)
{
	usec_t delay = client_round_trip(j->r);
	server_t *s = j->server;

	s->busy--;
	/* Simulates a valid reply to another request: both id and tag
	 * differ from those of this request. */
	if (s->wrong_id_replies) {
		s->wrong_id_replies--;
		j->wrong_id = true;
		g_strlcpy(j->tag, "another", sizeof(j->tag));
	}
	write_journal(j, cancelled ? "cancel" : "done");
	set_reply(j->r, s, cancelled ? 499 : 200,
		  cancelled ? strdup("{}") : reply_text(j));
	add_request_headers(j);
	if (delay) {
		j->reply_delayed = true;
		j->due_at = now + delay;
		g_ptr_array_add(state.jobs, j);
	} else {
		send_reply(j);
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
		for (i = 0; i < state.jobs->len;) {
			job_t *j = state.jobs->pdata[i];

			if (j->due_at <= now) {
				g_ptr_array_remove_index_fast(state.jobs, i);
				if (j->reply_delayed)
					send_reply(j);
				else
					finish_job(j, now, false);
				continue;
			}
			if (j->due_at < next)
				next = j->due_at;
			i++;
		}
		g_cond_wait_until(&state.wake, &state.lock,
				  g_get_monotonic_time() + (next - now));
	}
	return NULL;
}

/* Returns true if the server holds the job's MAP:SNAPSHOT. */
static bool holds_snapshot(const server_t *s, const job_t *j)
{
	char want[64];
	char **v = g_strsplit(s->held_snapshots, ",", MAX_HELD);
	bool found;

	snprintf(want, sizeof(want), "%s:%s", j->map_version, j->snapshot);
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

static void handle_search(http_request_t *r, server_t *s)
{
	job_t *j = g_new0(job_t, 1);
	usec_t now = standin_now();
	long ms = strtol(http_header(r, "Gs-Deadline-Ms"), NULL, 10);

	j->r = r;
	j->server = s;
	g_strlcpy(j->id, http_header(r, "Gs-Request"), sizeof(j->id));
	g_strlcpy(j->snapshot, http_header(r, "Gs-Snapshot"),
		  sizeof(j->snapshot));
	g_strlcpy(j->map_version, http_header(r, "Gs-Map"),
		  sizeof(j->map_version));
	j->deadline = now + ms * USEC_PER_MSEC;
	read_tag(j);
	if (s->abort_requests) {
		s->abort_requests--;
		write_journal(j, "run");
		r->abort_connection = true;
		g_free(j);
		return;
	}
	if (s->draining)
		refuse_job(j, 503, "draining");
	else if (!holds_snapshot(s, j))
		refuse_job(j, 409, "snapshot");
	else if (s->sheds || s->queue.length >= state.queue_max)
		refuse_job(j, 503, "shed");
	else {
		http_suspend(r);
		if (s->busy < s->slots)
			start_job(j, now);
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

static void handle_cancel(http_request_t *r, server_t *s)
{
	const char *id = http_header(r, "Gs-Request");
	job_t *j = find_queued(s, id);
	guint i;

	if (j) {
		g_queue_remove(&s->queue, j);
		refuse_job(j, 499, "cancelled");
		send_reply(j);
	}
	for (i = 0; !j && i < state.jobs->len; i++) {
		job_t *k = state.jobs->pdata[i];

		if (k->server != s || k->reply_delayed ||
		    strcmp(k->id, id) != 0)
			continue;
		j = k;
		g_ptr_array_remove_index_fast(state.jobs, i);
		finish_job(j, standin_now(), true);
	}
	set_reply(r, s, 200, strdup("{}"));
}

static void block_client(server_t *s, const char *from)
{
	if (from && s->nblocked < BLOCKED_MAX)
		g_strlcpy(s->blocked[s->nblocked++], from, ADDR_HOST_MAX);
}

static void handle_control(http_request_t *r, server_t *s)
{
	const char *held = http_arg(r, "held");
	const char *slow = http_arg(r, "slow");
	char text[96];

	if (held)
		g_strlcpy(s->held_snapshots, held, sizeof(s->held_snapshots));
	if (slow)
		s->slow_factor = g_ascii_strtod(slow, NULL);
	s->draining = http_arg_number(r, "drain", s->draining);
	s->hides_load = http_arg_number(r, "lie", s->hides_load);
	s->sheds = http_arg_number(r, "shed", s->sheds);
	s->abort_requests =
		(unsigned)http_arg_number(r, "close", s->abort_requests);
	s->wrong_id_replies =
		(unsigned)http_arg_number(r, "cross", s->wrong_id_replies);
	s->hang_requests =
		(unsigned)http_arg_number(r, "hang", s->hang_requests);
	s->nested_replies =
		(unsigned)http_arg_number(r, "nest", s->nested_replies);
	s->cold_requests =
		(unsigned)http_arg_number(r, "cold", s->cold_requests);
	block_client(s, http_arg(r, "cut"));
	if (http_arg(r, "heal"))
		s->nblocked = 0;
	snprintf(text, sizeof(text), "{\"runs\":%llu,\"busy\":%u,\"peak\":%u}",
		 (unsigned long long)s->runs, s->busy, s->peak_connections);
	set_reply(r, s, 200, strdup(text));
}

static bool is_blocked(const server_t *s, const http_request_t *r)
{
	unsigned i;

	for (i = 0; i < s->nblocked; i++)
		if (strcmp(s->blocked[i], r->client_ip) == 0)
			return true;
	return false;
}

/* Updates the maximum of open connections. The caller skips control commands
 * of tests, which have connections of their own. */
static void update_peak(server_t *s)
{
	const union MHD_DaemonInfo *i = MHD_get_daemon_info(
		s->mhd, MHD_DAEMON_INFO_CURRENT_CONNECTIONS);

	if (i && i->num_connections > s->peak_connections)
		s->peak_connections = i->num_connections;
}

static void handle(http_request_t *r)
{
	server_t *s = r->context;

	g_mutex_lock(&state.lock);
	if (!g_str_has_prefix(r->url, "/control"))
		update_peak(s);
	if (g_str_has_prefix(r->url, "/control"))
		handle_control(r, s);
	else if (is_blocked(s, r))
		r->abort_connection = true;
	else if (strcmp(r->url, "/v1/search") == 0)
		handle_search(r, s);
	else if (strcmp(r->url, "/v1/cancel") == 0)
		handle_cancel(r, s);
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
	  "Append events of requests to FILE", "FILE" },
	{ "slots", 0, 0, G_OPTION_ARG_INT, &opt.slots, "Requests at once",
	  "N" },
	{ "connections", 0, 0, G_OPTION_ARG_INT, &opt.connections,
	  "Connections at once", "N" },
	{ "connect-us", 0, 0, G_OPTION_ARG_INT, &opt.connect_us,
	  "Setup time of a new connection", "USEC" },
	{ "queue", 0, 0, G_OPTION_ARG_INT, &opt.queue, "Longest queue", "N" },
	{ "service-us", 0, 0, G_OPTION_ARG_INT, &opt.service_us,
	  "Mean service time", "USEC" },
	{ "sigma-percent", 0, 0, G_OPTION_ARG_INT, &opt.sigma_percent,
	  "Sigma of the lognormal service time", "PERCENT" },
	{ "seed", 0, 0, G_OPTION_ARG_INT, &opt.seed, "Random seed", "N" },
	{ "delay", 0, 0, G_OPTION_ARG_STRING_ARRAY, &opt.delay,
	  "One-way delay to a client", "IP=USEC" },
	{ "cold", 0, 0, G_OPTION_ARG_INT, &opt.cold,
	  "Number of first requests that are slow", "N" },
	G_OPTION_ENTRY_NULL
};

static bool add_server(const char *listen)
{
	server_t *s = g_new0(server_t, 1);
	char **part = g_strsplit(listen, "=", 2);

	g_strlcpy(s->addr, part[0], sizeof(s->addr));
	g_strlcpy(s->group, part[1] ? part[1] : "g", sizeof(s->group));
	g_strfreev(part);
	g_strlcpy(s->held_snapshots, opt.held ? opt.held : "1:1",
		  sizeof(s->held_snapshots));
	s->slots = (unsigned)opt.slots;
	s->slow_factor = 1.0;
	s->cold_requests = (unsigned)opt.cold;
	g_queue_init(&s->queue);
	s->mhd = http_serve(s->addr, handle, s,
			    /* One more for the control commands of a test. */
			    (unsigned)opt.connections + 1);
	g_ptr_array_add(state.servers, s);
	return s->mhd != NULL;
}

static bool set_up(void)
{
	gchar **l;

	state.jobs = g_ptr_array_new();
	state.servers = g_ptr_array_new();
	state.rng.state = (uint64_t)opt.seed;
	state.service_us = opt.service_us;
	state.sigma = opt.sigma_percent / 100.0;
	state.queue_max = (unsigned)opt.queue;
	state.connect_us = opt.connect_us;
	if (opt.journal)
		state.journal_fd =
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
	standin_block_stop_signals();
	if (!set_up())
		return EXIT_FAILURE;
	standin_wait_for_stop();
	/* Drops open requests, as a server that is terminated does. */
	_exit(EXIT_SUCCESS);
}
