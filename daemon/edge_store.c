/**
 * @file edge_store.c
 * Reads published state from the registry: the complete list once, in pages,
 * then changes with long polls (watches).
 */
#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "libedge.h"

/* Longest wait of a watch of a FLEET_READER. If its answer is lost, others
 * confirm the state, or this daemon takes over and ends the watch. */
#define WATCH_WAIT (20 * USEC_PER_SEC)
/* The shares below are of apply_limit_ms, the time limit for published changes
 * to be in force. A pause, a lost request and the next one fit into it. */
/* Pause between two watches; changes during the pause come in one answer. */
#define WATCH_PAUSE_SHARE 0.3
/* Pause after the first list, which may be stale and must be confirmed. For a
 * FLEET_READER another daemon may do that. */
#define FIRST_PAUSE_SHARE 0.1
#define FIRST_READER_PAUSE_SHARE 0.45
/* Longest wait of a watch of a FLEET_CONFIRMER. */
#define CONFIRM_WAIT_SHARE 0.05
/* Time limit for the first byte of an answer, beside the wait. It follows the
 * time that the registry takes, and grows after a timeout: a slow registry must
 * not lose each request to its limit. */
#define ANSWER_LIMIT_MIN_SHARE 0.15
#define ANSWER_LIMIT_MAX_SHARE 0.5
#define ANSWER_LIMIT_FACTOR 4 /* times the last answer's time */
/* Bounds of the backoff; the delay of a retry is 50 % to 100 % of it. Requests
 * put load on the registry even if it refuses them. */
#define BACKOFF_MIN (150 * USEC_PER_MSEC)
#define BACKOFF_MAX (1500 * USEC_PER_MSEC)
#define BACKOFF_MAX_SHARE 0.5
/* A state of at most this age is confirmed by somebody. */
#define CONFIRMED_SHARE 0.5
#define PATH_LOG_BYTES 512 /* of a path in a log line */
#define MAX_ANSWER_BYTES ((size_t)16 << 20)

struct registry {
	edge_t *e;
	char *addr;
	struct bufferevent *bev;
	http_msg_t msg;
	struct event *timer;
	fleet_role_t role;
	bool waiting;	/* a request is open */
	bool answering; /* the first bytes of its answer were received */
	bool listing;	/* the request is for a page of the list, not a watch */
	bool stale;	/* the list may lack the latest changes */
	bool available; /* the last request was answered */
	bool refreshing; /* the request began after a suspension */
	uint64_t era;	 /* highest one of its answers */
	usec_t sent_at;	 /* time of the open request */
	usec_t asked_at; /* the same, or time of the list's first page */
	usec_t wait;	 /* for which the registry may hold back its answer */
	usec_t answer_limit; /* time limit in addition to wait */
	usec_t backoff;
	uint64_t results[REGISTRY_RESULT_MAX];
	str_t last_key; /* owned; of the previous page */
	GString *path;	/* of the last request */
};

static const char *const result_names[REGISTRY_RESULT_MAX] = {
	[REGISTRY_ANSWERED] = "answered",
	[REGISTRY_REFUSED] = "refused",
	[REGISTRY_INVALID] = "not an answer",
	[REGISTRY_CLOSED] = "closed",
	[REGISTRY_UNREACHABLE] = "connection",
	[REGISTRY_TIMEOUT] = "no answer in time",
};

static void send_request(registry_t *r);
static void start_list(registry_t *r);
static void on_read(struct bufferevent *bev, void *arg);
static void on_event(struct bufferevent *bev, short what, void *arg);

static void set_timer(registry_t *r, usec_t in)
{
	struct timeval tv = { in / USEC_PER_SEC, in % USEC_PER_SEC };

	evtimer_add(r->timer, &tv);
}

static usec_t within(usec_t v, usec_t min, usec_t max)
{
	if (v > max)
		v = max;
	return v > min ? v : min;
}

static void set_answer_limit(registry_t *r, usec_t limit)
{
	r->answer_limit =
		within(limit, edge_apply_share(r->e, ANSWER_LIMIT_MIN_SHARE),
		       edge_apply_share(r->e, ANSWER_LIMIT_MAX_SHARE));
}

static void disconnect(registry_t *r)
{
	if (r->bev)
		bufferevent_free(r->bev);
	r->bev = NULL;
}

static bool connect_registry(registry_t *r)
{
	struct sockaddr_in sa = addr_to_sockaddr(r->addr);

	r->bev = bufferevent_socket_new(r->e->base, edge_socket(),
					BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(r->bev, on_read, NULL, on_event, r);
	bufferevent_enable(r->bev, EV_READ | EV_WRITE);
	return bufferevent_socket_connect(r->bev, (struct sockaddr *)&sa,
					  sizeof(sa)) == 0;
}

/* Records whether the registry answers; on a change logs it, and notifies
 * followers of a loss. */
static void set_available(registry_t *r, bool available, const char *why,
			  unsigned status)
{
	usec_t now = clock_now();

	rt_set_registry_up(r->e->rt, available, now);
	if (r->available != available)
		log_json(G_LOG_LEVEL_MESSAGE,
			 available ? "registry regained" : "registry lost",
			 "\"addr\":\"%s\",\"why\":\"%s\",\"status\":%u,"
			 "\"revision\":%llu",
			 r->addr, why, status, edge_state_number(r->e));
	if (r->available && !available)
		fleet_peers_send_registry_lost(r->e);
	r->available = available;
}

/* Whether the open request is a long watch that may have been lost long ago,
 * while the registry answers others. */
static bool is_old_watch(const registry_t *r)
{
	usec_t age = fleet_state_age(r->e->fleet, clock_now());

	return r->wait == WATCH_WAIT && age >= 0 &&
	       age < edge_apply_share(r->e, CONFIRMED_SHARE);
}

/* Whether the status says that the same request will be refused again. */
static bool is_final_refusal(unsigned status)
{
	return status >= 400 && status < 500 &&
	       status != HTTP_STATUS_REQUEST_TIMEOUT &&
	       status != HTTP_STATUS_TOO_MANY_REQUESTS;
}

static void log_failed_request(const registry_t *r, registry_result_t why,
			       unsigned status)
{
	GLogLevelFlags level = is_final_refusal(status) ? G_LOG_LEVEL_WARNING
							: G_LOG_LEVEL_INFO;
	char path[PATH_LOG_BYTES];

	log_json(level, "registry request failed",
		 "\"request\":\"%s\",\"why\":\"%s\",\"status\":%u,"
		 "\"waited_ms\":%lld,\"revision\":%llu,\"path\":%s",
		 r->listing ? "list" : "watch", result_names[why], status,
		 (long long)((clock_now() - r->sent_at) / USEC_PER_MSEC),
		 edge_state_number(r->e),
		 log_quote(path, sizeof(path),
			   (str_t){ r->path->str, r->path->len }));
}

static void fail_request(registry_t *r, registry_result_t why, unsigned status)
{
	usec_t max = edge_apply_share(r->e, BACKOFF_MAX_SHARE);
	usec_t wait = r->backoff / 2;

	log_failed_request(r, why, status);
	/* The page after another key may be accepted. */
	if (r->listing && is_final_refusal(status))
		start_list(r);
	r->results[why]++;
	r->waiting = false;
	disconnect(r);
	if (why != REGISTRY_TIMEOUT || !is_old_watch(r))
		set_available(r, false, result_names[why], status);
	wait += (usec_t)g_random_int_range(0, (gint32)r->backoff / 2 + 1);
	set_timer(r, wait);
	r->backoff = within(2 * r->backoff, BACKOFF_MIN,
			    max < BACKOFF_MAX ? max : BACKOFF_MAX);
	if (why == REGISTRY_TIMEOUT)
		set_answer_limit(r, 2 * r->answer_limit);
}

/* The highest era that the registry or a neighbour has told. */
static uint64_t known_era(const registry_t *r)
{
	uint64_t era = fleet_revision_era(fleet_state_revision(r->e->state));

	return era > r->era ? era : r->era;
}

/* Reads the era of an answer. Without one it is the known one: registries that
 * are never restored tell none. False if the value is no era. */
static bool read_era(const registry_t *r, uint64_t *era)
{
	const char *name = r->e->protocol->headers[OUTSIDE_ERA];
	str_t v = http_msg_get(&r->msg, name);
	size_t i;

	*era = known_era(r);
	if (!http_msg_has(&r->msg, name))
		return true;
	*era = 0;
	for (i = 0; i < v.sz && v.s[i] >= '0' && v.s[i] <= '9' &&
		    !(*era >> FLEET_ERA_BITS);
	     i++)
		*era = *era * 10 + (uint64_t)(v.s[i] - '0');
	return v.sz && i == v.sz && !(*era >> FLEET_ERA_BITS);
}

/* Revisions of the registry as this daemon orders them. False if one has too
 * many bits. */
static bool add_era(outside_items_t *items, uint64_t era)
{
	size_t i;

	if (items->revision >> FLEET_REVISION_BITS)
		return false;
	items->revision = fleet_revision(era, items->revision);
	for (i = 0; i < items->n; i++) {
		if (items->v[i].revision >> FLEET_REVISION_BITS)
			return false;
		items->v[i].revision =
			fleet_revision(era, items->v[i].revision);
	}
	return true;
}

static void apply_items(registry_t *r, const outside_items_t *items)
{
	fleet_state_t *state = r->e->state;
	size_t i;

	for (i = 0; i < items->n; i++) {
		fleet_item_t it = { items->v[i].key, items->v[i].value,
				    items->v[i].revision, items->v[i].deleted };

		if (r->listing)
			fleet_state_list_apply(state, &it);
		else
			fleet_state_apply(state, &it, items->revision);
	}
}

static void apply_list_page(registry_t *r, const outside_items_t *items)
{
	fleet_state_t *state = r->e->state;

	if (r->last_key.sz == 0)
		fleet_state_list_begin(state);
	fleet_state_list_page(state, items->revision);
	apply_items(r, items);
	str_free(r->last_key);
	r->last_key = (str_t){ 0 };
	if (items->more) {
		r->last_key = str_dup(items->v[items->n - 1].key);
		return;
	}
	fleet_state_list_end(state);
	r->listing = false;
}

/* Time up to which the answer has all changes. An empty one was sent when the
 * wait was over, others at any time since the request. */
static usec_t answer_as_of(const registry_t *r, const outside_items_t *items,
			   usec_t now)
{
	bool waited =
		!r->listing && items->n == 0 && now - r->sent_at >= r->wait;

	return r->asked_at + (waited ? r->wait : 0);
}

/* Ends a request that was answered. The state is as of the given time, unless
 * it is from a list that may be stale. */
static void finish_read(registry_t *r, uint64_t before, usec_t as_of)
{
	double pause = r->role == FLEET_READER ? FIRST_READER_PAUSE_SHARE
					       : FIRST_PAUSE_SHARE;

	r->waiting = false;
	if (r->refreshing)
		rt_on_registry_read(r->e->rt, clock_now());
	r->refreshing = false;
	if (!r->stale) {
		fleet_peers_push_changes(r->e, before, as_of);
		pause = WATCH_PAUSE_SHARE;
	}
	r->stale = false;
	if (r->role != FLEET_FOLLOWER)
		set_timer(r, edge_apply_share(r->e, pause));
}

static void handle_answer(registry_t *r, uint64_t era)
{
	usec_t now = clock_now(), as_of;
	uint64_t before = fleet_state_revision(r->e->state);
	arena_t mem = { 0 };
	outside_items_t items;
	str_t body = { r->msg.body->str, r->msg.body->len };

	/* Without a key there is no path to the next page. */
	if (!r->e->protocol->read_items(body, &items, &mem) ||
	    (items.more && items.n == 0) || !add_era(&items, era)) {
		arena_free(&mem);
		fail_request(r, REGISTRY_INVALID, r->msg.parser.status_code);
		return;
	}
	if (items.unreadable)
		log_json(G_LOG_LEVEL_WARNING, "items with unreadable keys",
			 "\"items\":%zu,\"revision\":%llu", items.unreadable,
			 (unsigned long long)fleet_revision_number(
				 items.revision));
	r->results[REGISTRY_ANSWERED]++;
	set_available(r, true, result_names[REGISTRY_ANSWERED],
		      r->msg.parser.status_code);
	r->backoff = BACKOFF_MIN;
	set_answer_limit(r, ANSWER_LIMIT_FACTOR * registry_overdue(r, now));
	as_of = answer_as_of(r, &items, now);
	if (r->listing) {
		apply_list_page(r, &items);
	} else {
		apply_items(r, &items);
		fleet_state_advance(r->e->state, items.revision);
	}
	arena_free(&mem);
	if (r->listing)
		send_request(r);
	else
		finish_read(r, before, as_of);
}

static void start_list(registry_t *r)
{
	str_free(r->last_key);
	r->last_key = (str_t){ 0 };
	r->listing = true;
}

static bool is_first_page(const registry_t *r)
{
	return r->listing && r->last_key.sz == 0;
}

/* The registry was restored from a copy: its revisions went back, and it gives
 * them out again for other changes. The complete list of the new era replaces
 * the state; an answer to another request does not help. */
static void begin_era(registry_t *r, uint64_t era)
{
	r->era = era;
	if (fleet_state_revision(r->e->state) == 0)
		return;
	log_json(G_LOG_LEVEL_MESSAGE, "registry restored",
		 "\"era\":%llu,\"revision\":%llu", (unsigned long long)era,
		 edge_state_number(r->e));
	rt_on_registry_restored(r->e->rt, clock_now());
}

static void handle_response(registry_t *r, unsigned status)
{
	bool lists = is_first_page(r);
	uint64_t era;

	if (!read_era(r, &era) || era < known_era(r)) {
		fail_request(r, REGISTRY_INVALID, status);
		return;
	}
	if (era > known_era(r)) {
		begin_era(r, era);
		if (!lists) {
			r->waiting = false;
			start_list(r);
			send_request(r);
			return;
		}
	}
	if (status == 200) {
		handle_answer(r, era);
	} else if (status == HTTP_STATUS_GONE && !r->listing) {
		log_json(G_LOG_LEVEL_MESSAGE, "registry history lost",
			 "\"revision\":%llu", edge_state_number(r->e));
		r->waiting = false;
		start_list(r);
		send_request(r);
	} else {
		fail_request(r, REGISTRY_REFUSED, status);
	}
}

static void on_read(struct bufferevent *bev, void *arg)
{
	registry_t *r = arg;
	edge_t *e = r->e;

	if (!r->waiting) {
		disconnect(r); /* unexpected bytes: no request is open */
		return;
	}
	if (!http_msg_feed(&r->msg, bufferevent_get_input(bev))) {
		fail_request(r, REGISTRY_INVALID, 0);
		edge_run_actions(e);
		return;
	}
	if (!r->msg.done) {
		/* The request isn't lost; a long answer takes time. */
		if (!r->answering)
			set_timer(r, edge_apply_share(r->e,
						      ANSWER_LIMIT_MAX_SHARE));
		r->answering = true;
		return;
	}
	evtimer_del(r->timer);
	if (evbuffer_get_length(bufferevent_get_input(bev))) {
		/* They would be taken for the answer to the next request. */
		log_json(G_LOG_LEVEL_WARNING,
			 "bytes after the registry's answer", "\"addr\":\"%s\"",
			 r->addr);
		disconnect(r);
	}
	if (!r->msg.keep_alive)
		disconnect(r);
	handle_response(r, r->msg.parser.status_code);
	edge_run_actions(e);
}

static void on_event(struct bufferevent *bev, short what, void *arg)
{
	registry_t *r = arg;
	edge_t *e = r->e;

	(void)bev;
	if (what & BEV_EVENT_CONNECTED)
		return;
	if (r->waiting)
		fail_request(r,
			     what & BEV_EVENT_EOF ? REGISTRY_CLOSED
						  : REGISTRY_UNREACHABLE,
			     0);
	else
		disconnect(r);
	edge_run_actions(e);
}

static usec_t watch_wait(const registry_t *r)
{
	return r->role == FLEET_CONFIRMER
		       ? edge_apply_share(r->e, CONFIRM_WAIT_SHARE)
		       : WATCH_WAIT;
}

static void send_request(registry_t *r)
{
	uint64_t revision = fleet_state_revision(r->e->state);
	usec_t limit = r->answer_limit;

	r->sent_at = clock_now();
	if (!r->listing || is_first_page(r))
		r->asked_at = r->sent_at;
	r->wait = 0;
	r->answering = false;
	g_string_truncate(r->path, 0);
	if (!r->bev && !connect_registry(r)) {
		fail_request(r, REGISTRY_UNREACHABLE, 0);
		return;
	}
	if (r->listing) {
		/* The first list may be stale: the watch gets the later
		 * changes. */
		if (is_first_page(r))
			r->stale = revision == 0;
		r->e->protocol->list_path(r->path, r->last_key, r->stale);
		limit = edge_apply_share(r->e, ANSWER_LIMIT_MAX_SHARE);
	} else {
		if (!r->refreshing)
			r->wait = watch_wait(r);
		r->e->protocol->watch_path(
			r->path, fleet_revision_number(revision), r->wait);
	}
	http_msg_reset(&r->msg, HTTP_RESPONSE);
	r->msg.body_limit = MAX_ANSWER_BYTES;
	r->waiting = true;
	evbuffer_add_printf(bufferevent_get_output(r->bev),
			    "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", r->path->str,
			    r->addr);
	set_timer(r, r->wait + limit);
}

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	registry_t *r = arg;

	(void)fd;
	(void)what;
	if (r->waiting)
		fail_request(r, REGISTRY_TIMEOUT, 0);
	else if (r->role != FLEET_FOLLOWER ||
		 fleet_state_revision(r->e->state) == 0)
		send_request(r);
	edge_run_actions(r->e);
}

registry_t *registry_start(edge_t *e, const char *addr)
{
	registry_t *r = xcalloc(1, sizeof(*r));

	r->e = e;
	r->addr = strdup(addr);
	r->backoff = BACKOFF_MIN;
	r->path = g_string_new(NULL);
	r->timer = evtimer_new(e->base, on_timer, r);
	http_msg_init(&r->msg, HTTP_RESPONSE);
	r->available = true;
	r->role = fleet_role(e->fleet, clock_now());
	set_answer_limit(r, 0);
	if (fleet_state_revision(e->state) == 0)
		start_list(r);
	send_request(r);
	return r;
}

void registry_set_role(registry_t *r, fleet_role_t role)
{
	static const char *const events[] = {
		[FLEET_FOLLOWER] = "follows",
		[FLEET_READER] = "reads",
		[FLEET_CONFIRMER] = "confirms",
	};

	fleet_role_t old = r->role;

	if (role == old)
		return;
	r->role = role;
	log_json(G_LOG_LEVEL_INFO, events[role],
		 "\"revision\":%llu,\"age_s\":%.3f", edge_state_number(r->e),
		 age_seconds(fleet_state_age(r->e->fleet, clock_now())));
	/* A watch that isn't needed any more ends by itself. */
	if (role == FLEET_FOLLOWER)
		return;
	if (r->waiting && r->wait > watch_wait(r))
		registry_refresh(r); /* the long watch may be lost */
	else if (!evtimer_pending(r->timer, NULL))
		send_request(r);
	else if (!r->waiting && old == FLEET_CONFIRMER)
		set_timer(r, edge_apply_share(r->e, FIRST_READER_PAUSE_SHARE));
}

fleet_role_t registry_role(const registry_t *r)
{
	return r->role;
}

void registry_refresh(registry_t *r)
{
	if (r->listing)
		return; /* at the start: no state to confirm yet */
	/* An answer to a request from before the suspension may be outdated. */
	disconnect(r);
	r->refreshing = true;
	send_request(r);
}

uint64_t registry_requests(const registry_t *r, registry_result_t result)
{
	return r->results[result];
}

const char *registry_result_name(registry_result_t result)
{
	return result_names[result];
}

usec_t registry_overdue(const registry_t *r, usec_t now)
{
	usec_t overdue = now - r->sent_at - r->wait;

	return r->waiting && overdue > 0 ? overdue : 0;
}

bool registry_has_addr(const registry_t *r, const char *addr)
{
	return strcmp(r->addr, addr) == 0;
}

void registry_free(registry_t *r)
{
	if (!r)
		return;
	disconnect(r);
	event_free(r->timer);
	http_msg_clear(&r->msg);
	str_free(r->last_key);
	g_string_free(r->path, TRUE);
	free(r->addr);
	free(r);
}
