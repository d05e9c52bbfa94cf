/**
 * @file edge_store.c
 * Reads published state: a whole list once, then what changes.
 */
#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "libedge.h"

#define WATCH_TIME (20 * USEC_PER_SEC) /* a watch waits so long for news */
/* Parts of the time in which what is published must be in force. Between two
 * watches: what changes meanwhile comes in one answer. */
#define GATHER_PART 0.3
/* A watch where others rely on it: each answer tells them that it lives. */
#define LEAD_PART 0.05
#define CALL_TIME (1500 * USEC_PER_MSEC) /* beyond what the call may wait */
/* Each call costs, refused ones too; news must be in force in 3 s. */
#define BACKOFF_MIN (150 * USEC_PER_MSEC)
#define BACKOFF_MAX (1500 * USEC_PER_MSEC)
#define HTTP_GONE 410
#define MAX_LIST ((size_t)16 << 20) /* bytes of one answer */

struct store {
	edge_t *e;
	char *addr;
	struct bufferevent *bev;
	http_msg_t msg;
	struct event *timer;
	bool calling;
	bool reading;	 /* else a neighbour reads for this daemon */
	bool listing;	 /* the call asks for a page of the list */
	bool up;	 /* the last call was answered */
	bool confirming; /* the call began after the process stood still */
	usec_t backoff;
	str_t after; /* owned; last key of the page before */
};

static void call(store_t *s);
static void on_read(struct bufferevent *bev, void *arg);
static void on_event(struct bufferevent *bev, short what, void *arg);

static void set_timer(store_t *s, usec_t in)
{
	struct timeval tv = { in / USEC_PER_SEC, in % USEC_PER_SEC };

	evtimer_add(s->timer, &tv);
}

static usec_t part_of_limit(const store_t *s, double part)
{
	return (usec_t)(part * s->e->settings->apply_limit_ms) * USEC_PER_MSEC;
}

static void disconnect(store_t *s)
{
	if (s->bev)
		bufferevent_free(s->bev);
	s->bev = NULL;
}

static bool connect_store(store_t *s)
{
	struct sockaddr_in sa = listen_address(s->addr);

	s->bev = bufferevent_socket_new(s->e->base, edge_socket(),
					BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(s->bev, on_read, NULL, on_event, s);
	bufferevent_enable(s->bev, EV_READ | EV_WRITE);
	return bufferevent_socket_connect(s->bev, (struct sockaddr *)&sa,
					  sizeof(sa)) == 0;
}

/* Notes whether the store answers; asks again later if it does not. */
static void set_up(store_t *s, bool up, const char *why, unsigned status)
{
	usec_t now = clock_now();

	rt_registry(s->e->rt, up, now);
	if (s->up != up)
		log_json(G_LOG_LEVEL_MESSAGE,
			 up ? "registry regained" : "registry lost",
			 "\"addr\":\"%s\",\"why\":\"%s\",\"status\":%u,"
			 "\"revision\":%llu",
			 s->addr, why, status,
			 (unsigned long long)fleet_state_revision(s->e->state));
	if (s->up && !up)
		fleet_peers_away(s->e);
	s->up = up;
}

static void fail(store_t *s, const char *why, unsigned status)
{
	usec_t wait = s->backoff / 2;

	s->calling = false;
	disconnect(s);
	set_up(s, false, why, status);
	wait += (usec_t)g_random_int_range(0, (gint32)s->backoff / 2 + 1);
	set_timer(s, wait);
	s->backoff *= 2;
	if (s->backoff > BACKOFF_MAX)
		s->backoff = BACKOFF_MAX;
}

static void take_items(store_t *s, const outside_items_t *items)
{
	fleet_state_t *state = s->e->state;
	size_t i;

	for (i = 0; i < items->n; i++) {
		fleet_item_t it = { items->v[i].key, items->v[i].value,
				    items->v[i].revision, items->v[i].deleted };

		if (s->listing)
			fleet_state_list_take(state, &it);
		else
			fleet_state_take(state, &it, items->revision);
	}
}

static void take_list(store_t *s, const outside_items_t *items)
{
	fleet_state_t *state = s->e->state;

	if (s->after.sz == 0)
		fleet_state_list_begin(state);
	fleet_state_list_page(state, items->revision);
	take_items(s, items);
	str_free(s->after);
	s->after = (str_t){ 0 };
	if (items->more && items->n) {
		s->after = str_dup(items->v[items->n - 1].key);
		return;
	}
	fleet_state_list_end(state);
	s->listing = false;
}

static void take_answer(store_t *s)
{
	uint64_t before = fleet_state_revision(s->e->state);
	arena_t mem = { 0 };
	outside_items_t items;
	str_t body = { s->msg.body->str, s->msg.body->len };

	if (!s->e->outside->read_items(body, &items, &mem)) {
		arena_free(&mem);
		fail(s, "not an answer", s->msg.parser.status_code);
		return;
	}
	set_up(s, true, "answered", s->msg.parser.status_code);
	s->backoff = BACKOFF_MIN;
	if (s->listing) {
		take_list(s, &items);
	} else {
		take_items(s, &items);
		fleet_state_reached(s->e->state, items.revision);
	}
	arena_free(&mem);
	s->calling = false;
	if (s->listing) {
		call(s);
		return;
	}
	if (s->confirming)
		rt_release(s->e->rt, clock_now());
	s->confirming = false;
	fleet_peers_read(s->e, before);
	if (s->reading)
		set_timer(s, part_of_limit(s, GATHER_PART));
}

static void start_list(store_t *s)
{
	str_free(s->after);
	s->after = (str_t){ 0 };
	s->listing = true;
}

static void on_read(struct bufferevent *bev, void *arg)
{
	store_t *s = arg;
	edge_t *e = s->e;
	unsigned status;

	if (!s->calling) {
		disconnect(s); /* nothing was asked */
		return;
	}
	if (!http_msg_feed(&s->msg, bufferevent_get_input(bev))) {
		fail(s, "not an answer", 0);
		edge_step(e);
		return;
	}
	if (!s->msg.done)
		return;
	evtimer_del(s->timer);
	status = s->msg.parser.status_code;
	if (!s->msg.keep)
		disconnect(s);
	if (status == 200) {
		take_answer(s);
	} else if (status == HTTP_GONE && !s->listing) {
		log_json(G_LOG_LEVEL_MESSAGE, "registry history lost",
			 "\"revision\":%llu",
			 (unsigned long long)fleet_state_revision(s->e->state));
		s->calling = false;
		start_list(s);
		call(s);
	} else {
		fail(s, "refused", status);
	}
	edge_step(e);
}

static void on_event(struct bufferevent *bev, short what, void *arg)
{
	store_t *s = arg;
	edge_t *e = s->e;

	(void)bev;
	if (what & BEV_EVENT_CONNECTED)
		return;
	if (s->calling)
		fail(s, what & BEV_EVENT_EOF ? "closed" : "connection", 0);
	else
		disconnect(s);
	edge_step(e);
}

static void call(store_t *s)
{
	uint64_t revision = fleet_state_revision(s->e->state);
	char path[OUTSIDE_PATH_MAX];
	usec_t wait = 0;

	if (!s->bev && !connect_store(s)) {
		fail(s, "connect", 0);
		return;
	}
	if (s->listing) {
		/* The first list may be old: the watch brings the rest. */
		s->e->outside->list_path(path, s->after, revision == 0);
	} else {
		wait = fleet_has_followers(s->e->fleet, clock_now())
			       ? part_of_limit(s, LEAD_PART)
			       : WATCH_TIME;
		if (s->confirming)
			wait = 0;
		s->e->outside->watch_path(path, revision, wait);
	}
	http_msg_reset(&s->msg, HTTP_RESPONSE);
	s->msg.body_limit = MAX_LIST;
	s->calling = true;
	evbuffer_add_printf(bufferevent_get_output(s->bev),
			    "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", path,
			    s->addr);
	set_timer(s, wait + CALL_TIME);
}

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	store_t *s = arg;

	(void)fd;
	(void)what;
	if (s->calling)
		fail(s, "no answer in time", 0);
	else if (s->reading || fleet_state_revision(s->e->state) == 0)
		call(s);
	edge_step(s->e);
}

store_t *store_start(edge_t *e, const char *addr)
{
	store_t *s = xcalloc(1, sizeof(*s));

	s->e = e;
	s->addr = strdup(addr);
	s->backoff = BACKOFF_MIN;
	s->timer = evtimer_new(e->base, on_timer, s);
	http_msg_init(&s->msg, HTTP_RESPONSE);
	s->up = true;
	s->reading = true;
	if (fleet_state_revision(e->state) == 0)
		start_list(s);
	call(s);
	return s;
}

void store_read(store_t *s, bool reading)
{
	if (s->reading == reading)
		return;
	s->reading = reading;
	log_json(G_LOG_LEVEL_INFO, reading ? "reads" : "follows",
		 "\"revision\":%llu",
		 (unsigned long long)fleet_state_revision(s->e->state));
	/* A watch that waits is left to end by itself. */
	if (reading && !s->calling)
		call(s);
}

bool store_reads(const store_t *s)
{
	return s->reading;
}

void store_confirm(store_t *s)
{
	if (s->listing)
		return; /* a start: nothing is known yet */
	/* An answer to a call from before would tell what was true then. */
	disconnect(s);
	s->confirming = true;
	call(s);
}

bool store_is_at(const store_t *s, const char *addr)
{
	return strcmp(s->addr, addr) == 0;
}

void store_free(store_t *s)
{
	if (!s)
		return;
	disconnect(s);
	event_free(s->timer);
	http_msg_clear(&s->msg);
	str_free(s->after);
	free(s->addr);
	free(s);
}
