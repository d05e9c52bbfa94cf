/**
 * @file edge_peer.c
 * Messages between the daemons of routed requests: membership, and published
 * state from daemons that read the registry to those that don't or can't.
 */
#include <stdlib.h>
#include <string.h>

#include "libedge.h"

#define POLL_MS 250  /* period of on_poll() */
#define MAX_HELLOS 8 /* per poll */
#define MAX_FOLLOWERS FLEET_MAX_RELAY
#define REFUSED_LOG_PERIOD USEC_PER_SEC
/* Allows several requests in the time in which changes must be in force. */
#define CHANGES_REQUEST_PERIOD (400 * USEC_PER_MSEC)
/* The registry counts as silent if the state is older than this share of
 * apply_limit_ms: then neighbours of any data centre are asked as well. */
#define SILENT_SHARE 0.6
/* Changes of so many bytes are logged: their way to all hosts takes time. */
#define LARGE_CHANGE_BYTES ((size_t)32 << 10)

struct fleet_peers {
	edge_t *e;
	peer_socket_t *socket;
	struct event *poll;
	usec_t changes_requested_at;
	uint64_t nrefused; /* received bytes that were no message */
	usec_t refused_logged_at;
};

typedef void (*msg_fn_t)(edge_t *e, const fleet_msg_t *m, usec_t now);

static void on_hello(edge_t *e, const fleet_msg_t *m, usec_t now);
static void on_hello_reply(edge_t *e, const fleet_msg_t *m, usec_t now);
static void on_state_request(edge_t *e, const fleet_msg_t *m, usec_t now);
static void on_state_update(edge_t *e, const fleet_msg_t *m, usec_t now);
static void on_leave(edge_t *e, const fleet_msg_t *m, usec_t now);
static void on_server_pace(edge_t *e, const fleet_msg_t *m, usec_t now);
static void on_registry_lost(edge_t *e, const fleet_msg_t *m, usec_t now);

static const msg_fn_t msg_fns[FLEET_KIND_MAX] = {
	[FLEET_HELLO] = on_hello,
	[FLEET_HELLO_REPLY] = on_hello_reply,
	[FLEET_STATE_REQUEST] = on_state_request,
	[FLEET_STATE_UPDATE] = on_state_update,
	[FLEET_LEAVE] = on_leave,
	[FLEET_SERVER_PACE] = on_server_pace,
	[FLEET_REGISTRY_LOST] = on_registry_lost,
};

/* Sends a message to n hosts; revision is that of the state it is based on. */
static void send_to_hosts(edge_t *e, const str_t *to, size_t n, fleet_msg_t *m,
			  uint64_t revision, usec_t now)
{
	size_t sz;
	char *bytes;

	fleet_fill_message(e->fleet, m, revision, now);
	m->registry_back_age = rt_registry_back_age(e->rt, now);
	bytes = fleet_encode(m, &sz);
	/* A lost message does no lasting harm: the next confirmation,
	 * FLEET_HELLO or FLEET_HELLO_REPLY shows the receiver that it is
	 * behind. Only FLEET_REGISTRY_LOST is not repeated. */
	e->transport->send(e->peers->socket, to, n, bytes, sz,
			   m->kind == FLEET_REGISTRY_LOST ? PEER_RELIABLE
							  : PEER_SHORTEST);
	free(bytes);
}

static void send_to_host(edge_t *e, str_t to, fleet_msg_t *m, usec_t now)
{
	send_to_hosts(e, &to, 1, m, fleet_state_revision(e->state), now);
}

static void on_hello(edge_t *e, const fleet_msg_t *m, usec_t now)
{
	fleet_msg_t reply = { .kind = FLEET_HELLO_REPLY };

	send_to_host(e, m->from, &reply, now);
}

/* Nothing more to do: fleet_on_message() has handled the message. */
static void on_hello_reply(edge_t *e, const fleet_msg_t *m, usec_t now)
{
	(void)e;
	(void)m;
	(void)now;
}

/* Nothing more to do: fleet_on_message() has handled the message. */
static void on_leave(edge_t *e, const fleet_msg_t *m, usec_t now)
{
	(void)e;
	(void)m;
	(void)now;
}

/* Bytes of the keys and values. */
static size_t items_size(const fleet_msg_t *m)
{
	size_t n = 0, i;

	for (i = 0; i < m->nitems; i++)
		n += m->items[i].key.sz + m->items[i].value.sz;
	return n;
}

/* Logs a change that takes time on links: its way from host to host. hosts:
 * how many it is sent to. */
static void log_large_change(const char *event, const fleet_msg_t *m,
			     uint64_t revision, size_t hosts)
{
	size_t bytes = items_size(m);

	if (bytes >= LARGE_CHANGE_BYTES)
		log_json(G_LOG_LEVEL_INFO, event,
			 "\"bytes\":%zu,\"sent_bytes\":%zu,\"items\":%zu,"
			 "\"revision\":%llu,"
			 "\"from\":\"%.*s\",\"origin\":\"%.*s\","
			 "\"sent_to\":%zu",
			 bytes, m->packed.sz, m->nitems,
			 (unsigned long long)fleet_revision_number(revision),
			 STR_ARG(m->from), STR_ARG(m->origin), hosts);
}

static bool is_recent(const edge_t *e, usec_t age)
{
	return age >= 0 && age <= edge_apply_share(e, SILENT_SHARE);
}

/* Tells a daemon whose state has all changes that this is so, for the registry
 * may not answer it. Only own reads count, and old ones would not help. */
static void confirm_state(edge_t *e, str_t to, usec_t now)
{
	uint64_t revision = fleet_state_revision(e->state);
	fleet_msg_t m = { .kind = FLEET_STATE_UPDATE,
			  .since_revision = revision };

	fleet_fill_message(e->fleet, &m, revision, now);
	if (is_recent(e, m.last_read_age))
		send_to_host(e, to, &m, now);
}

static void on_state_request(edge_t *e, const fleet_msg_t *m, usec_t now)
{
	fleet_msg_t reply = { .kind = FLEET_STATE_UPDATE,
			      .since_revision = m->since_revision };
	arena_t mem = { 0 };

	if (fleet_state_revision(e->state) <= m->since_revision) {
		confirm_state(e, m->from, now);
		return;
	}
	fleet_state_changes_since(e->state, &reply, &mem);
	fleet_pack_items(&reply, &mem);
	if (fleet_may_reply(e->fleet, reply.packed.sz, now)) {
		send_to_host(e, m->from, &reply, now);
		log_large_change("change requested", &reply, reply.revision, 1);
	}
	arena_free(&mem);
}

/* Sends a change to some of the hosts, each of which forwards it to a part of
 * the others. Returns the number of hosts to which it was sent. */
static size_t send_branches(edge_t *e, const fleet_msg_t *m, str_t *hosts,
			    size_t n, uint64_t revision, usec_t now)
{
	fleet_branch_t branches[FLEET_RELAY_FANOUT];
	fleet_msg_t copy = *m;
	size_t i;

	n = fleet_relay_split(hosts, n, branches);
	for (i = 0; i < n; i++) {
		copy.relay_to = branches[i].rest;
		copy.nrelay_to = branches[i].nrest;
		send_to_hosts(e, &branches[i].to, 1, &copy, revision, now);
	}
	return n;
}

/* Returns the number of hosts to which the message was sent. */
static size_t relay(edge_t *e, const fleet_msg_t *m, usec_t now)
{
	str_t hosts[FLEET_MAX_RELAY];

	if (m->nrelay_to)
		memcpy(hosts, m->relay_to, m->nrelay_to * sizeof(*hosts));
	return send_branches(e, m, hosts, m->nrelay_to, m->revision, now);
}

static void on_state_update(edge_t *e, const fleet_msg_t *m, usec_t now)
{
	uint64_t known = fleet_state_revision(e->state);
	size_t hosts = 0;

	/* Relay first: applying a large configuration takes time. Also if the
	 * change is known: where two hosts read it, a host below this one may
	 * get it by neither tree otherwise. */
	if (m->nrelay_to)
		hosts = relay(e, m, now);
	log_large_change("change received", m, m->revision, hosts);
	/* Must precede the items: if they delete a server, the time of the
	 * registry's return decides whether the server's lease may have expired
	 * during the outage. */
	if (m->registry_back_age >= 0)
		rt_set_registry_back(e->rt, now - m->registry_back_age);
	/* The registry was confirmed recently, so it answers: route/ can tell
	 * which leases expired during the outage. */
	if (is_recent(e, m->last_read_age))
		rt_set_registry_up(e->rt, true, now);
	if (known &&
	    fleet_revision_era(m->revision) > fleet_revision_era(known))
		rt_on_registry_restored(e->rt, now);
	fleet_state_apply_message(e->state, m);
}

static void on_server_pace(edge_t *e, const fleet_msg_t *m, usec_t now)
{
	rt_on_peer_report(e->rt, m->server,
			  (double)m->pace / FLEET_FRACTION_SCALE,
			  (double)m->failing / FLEET_FRACTION_SCALE, now);
}

/* The registry is unavailable until a message confirms that it answers. If a
 * server is deleted meanwhile, its lease may have expired during the outage. */
static void on_registry_lost(edge_t *e, const fleet_msg_t *m, usec_t now)
{
	(void)m;
	rt_set_registry_up(e->rt, false, now);
}

/* Anyone can send bytes that are no message: logs at most one in a period. */
static void report_refused(struct fleet_peers *p, size_t sz, usec_t now)
{
	p->nrefused++;
	if (p->refused_logged_at &&
	    now - p->refused_logged_at < REFUSED_LOG_PERIOD)
		return;
	p->refused_logged_at = now;
	log_json(G_LOG_LEVEL_WARNING, "peer message refused",
		 "\"bytes\":%zu,\"refused\":%llu", sz,
		 (unsigned long long)p->nrefused);
}

static void receive_all(edge_t *e)
{
	arena_t mem = { 0 };
	usec_t now = clock_now();
	fleet_msg_t m;
	size_t sz;
	char *bytes;

	while ((bytes = e->transport->receive(e->peers->socket, &sz))) {
		if (fleet_decode(bytes, sz, &m, &mem)) {
			msg_fns[m.kind](e, &m, now);
			fleet_on_message(e->fleet, &m,
					 fleet_state_revision(e->state), now);
		} else {
			report_refused(e->peers, sz, now);
		}
		free(bytes);
		arena_free(&mem);
	}
}

static void request_changes(edge_t *e, usec_t now)
{
	uint64_t known = fleet_state_revision(e->state);
	bool silent = !is_recent(e, fleet_state_age(e->fleet, now));
	fleet_msg_t m = { .kind = FLEET_STATE_REQUEST,
			  .since_revision = known };
	str_t to;

	if (now - e->peers->changes_requested_at < CHANGES_REQUEST_PERIOD)
		return;
	to = fleet_request_target(e->fleet, known, silent, now);
	if (to.sz == 0)
		return;
	e->peers->changes_requested_at = now;
	send_to_host(e, to, &m, now);
}

static void send_hellos(edge_t *e, usec_t now)
{
	fleet_msg_t m = { .kind = FLEET_HELLO };
	str_t to[MAX_HELLOS];
	size_t n = fleet_gossip_targets(e->fleet, to, MAX_HELLOS, now);
	size_t i;

	for (i = 0; i < n; i++)
		send_to_host(e, to[i], &m, now);
}

/* Passes the age of the state to route/. Logs when it exceeds the time within
 * which changes must be in force, and when it is below again. */
static void update_state_age(edge_t *e, usec_t now)
{
	usec_t age = fleet_state_age(e->fleet, now);
	bool old = age > edge_apply_share(e, 1);

	if (age >= 0)
		rt_set_state_as_of(e->rt, now - age);
	if (old == e->state_old)
		return;
	e->state_old = old;
	log_json(old ? G_LOG_LEVEL_WARNING : G_LOG_LEVEL_MESSAGE,
		 old ? "state is old" : "state confirmed",
		 "\"age_s\":%.3f,\"overdue_s\":%.3f,\"revision\":%llu",
		 age_seconds(age),
		 age_seconds(registry_overdue(e->registry, now)),
		 edge_state_number(e));
}

static void on_poll(evutil_socket_t fd, short what, void *arg)
{
	usec_t now = clock_now();
	edge_t *e = arg;

	(void)fd;
	(void)what;
	/* ZeroMQ's descriptor is edge-triggered: it may signal only once. */
	receive_all(e);
	send_hellos(e, now);
	request_changes(e, now);
	rt_set_hosts(e->rt, fleet_estimated_hosts(e->fleet, now));
	registry_set_role(e->registry, fleet_role(e->fleet, now));
	update_state_age(e, now);
	edge_run_actions(e);
}

static void on_ready(void *arg)
{
	edge_t *e = arg;

	receive_all(e);
	edge_run_actions(e);
}

/* Sends followers the changes since a revision and the confirmation that the
 * registry was read. A large change goes to a few hosts, which relay it; the
 * other followers get only the confirmation. */
static void push_changes(edge_t *e, uint64_t since_revision, usec_t now)
{
	fleet_msg_t m = { .kind = FLEET_STATE_UPDATE,
			  .since_revision = since_revision };
	fleet_msg_t confirmation = m;
	uint64_t revision = fleet_state_revision(e->state);
	str_t to[MAX_FOLLOWERS];
	arena_t mem = { 0 };
	size_t n;

	fleet_state_changes_since(e->state, &m, &mem);
	fleet_pack_items(&m, &mem);
	n = fleet_followers(e->fleet, to, MAX_FOLLOWERS);
	if (fleet_should_relay(n, m.packed.sz)) {
		send_to_hosts(e, to, n, &confirmation, since_revision, now);
		m.origin = str_of(e->settings->peer);
		n = send_branches(e, &m, to, n, revision, now);
	} else {
		send_to_hosts(e, to, n, &m, revision, now);
	}
	log_large_change("change read", &m, revision, n);
	arena_free(&mem);
}

void fleet_peers_push_changes(edge_t *e, uint64_t since_revision, usec_t as_of)
{
	usec_t now = clock_now();

	fleet_on_registry_read(e->fleet, as_of);
	rt_set_state_as_of(e->rt, as_of);
	if (fleet_role(e->fleet, now) == FLEET_CONFIRMER)
		push_changes(e, since_revision, now);
}

static void send_to_followers(edge_t *e, fleet_msg_t *m)
{
	usec_t now = clock_now();
	str_t to[MAX_FOLLOWERS];
	size_t n = fleet_followers(e->fleet, to, MAX_FOLLOWERS);

	send_to_hosts(e, to, n, m, fleet_state_revision(e->state), now);
}

void fleet_peers_send_leave(edge_t *e)
{
	send_to_followers(e, &(fleet_msg_t){ .kind = FLEET_LEAVE });
}

void fleet_peers_send_registry_lost(edge_t *e)
{
	if (fleet_role(e->fleet, clock_now()) == FLEET_CONFIRMER)
		send_to_followers(
			e, &(fleet_msg_t){ .kind = FLEET_REGISTRY_LOST });
}

void fleet_peers_send_pace(edge_t *e, str_t server_id, double pace,
			   double failing)
{
	fleet_msg_t m = { .kind = FLEET_SERVER_PACE, .server = server_id };

	m.pace = (uint64_t)(pace * FLEET_FRACTION_SCALE);
	m.failing = (uint64_t)(failing * FLEET_FRACTION_SCALE);
	send_to_followers(e, &m);
}

bool fleet_peers_start(edge_t *e)
{
	struct timeval period = { 0, POLL_MS * 1000 };
	struct fleet_peers *p = xcalloc(1, sizeof(*p));

	p->e = e;
	e->peers = p;
	p->socket = e->transport->open(e->settings, e->base, on_ready, e);
	if (!p->socket)
		return false;
	p->poll = event_new(e->base, -1, EV_PERSIST, on_poll, e);
	event_add(p->poll, &period);
	return true;
}

peers_counts_t fleet_peers_counts(const edge_t *e)
{
	peers_counts_t c = *e->transport->counts(e->peers->socket);

	c.refused += e->peers->nrefused;
	return c;
}

void fleet_peers_free(edge_t *e)
{
	struct fleet_peers *p = e->peers;

	if (!p)
		return;
	if (p->poll)
		event_free(p->poll);
	e->transport->close(p->socket);
	free(p);
}
