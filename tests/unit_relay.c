/**
 * @file unit_relay.c
 * Simulates the distribution of a large configuration in a data centre of many
 * hosts with slow links: all hosts must receive it in time, and it must not
 * saturate the link of any host.
 */
#include <CUnit/CUnit.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fleet.h"
#include "unit.h"

#define MAX_HOSTS 120
#define START (100 * USEC_PER_SEC)
#define APPLY_TIME (5 * USEC_PER_SEC)
#define MBIT (1000000 / 8) /* bytes a second */
/* Limit of the time that bytes spend at a link, queued and in transfer. */
#define MAX_LINK_WAIT (USEC_PER_SEC / 2)
/* As in daemon/edge_peer.c. */
#define CHANGES_REQUEST_PERIOD (400 * USEC_PER_MSEC)
#define OLD_REVISION 890
#define NEW_REVISION 973

/* A simulated data centre; host 0 reads the registry. */
typedef struct dc {
	size_t n;
	usec_t link; /* bytes a second of a host's link */
	fleet_t *f[MAX_HOSTS];
	char addr[MAX_HOSTS][32];
	bool dead[MAX_HOSTS]; /* stopped; the other hosts do not know it yet */
	usec_t arrives_at[MAX_HOSTS];	/* when the change arrives; 0: not sent
					   yet */
	usec_t link_free_at[MAX_HOSTS]; /* when the link becomes free */
	str_t below[MAX_HOSTS][MAX_HOSTS]; /* hosts to which it is forwarded */
	size_t nbelow[MAX_HOSTS];
	usec_t max_wait; /* longest time that bytes spent at a link, queued and
			    in transfer */
} dc_t;

/* max_age: how long ago a host heard from another, at most. */
static dc_t *dc_new(size_t n, usec_t link, usec_t max_age, usec_t now)
{
	dc_t *d = xcalloc(1, sizeof(*d));
	rng_t rng = { 7 };
	usec_t at;
	size_t i, j;

	d->n = n;
	d->link = link;
	for (i = 0; i < n; i++) {
		fleet_params_t p = { .dc = STR("a"),
				     .initial_hosts = (unsigned)n,
				     .apply_time = APPLY_TIME,
				     .seed = i + 1 };

		snprintf(d->addr[i], sizeof(d->addr[i]), "10.0.0.%zu:1", i);
		p.addr = str_of(d->addr[i]);
		d->f[i] = fleet_new(&p, now);
	}
	for (i = 0; i < n; i++)
		for (j = 0; j < n; j++) {
			fleet_msg_t m = { .kind = FLEET_HELLO };

			at = now -
			     (usec_t)rng_below(&rng, (uint64_t)max_age + 1);
			fleet_fill_message(d->f[j], &m, OLD_REVISION, at);
			if (i != j)
				fleet_on_message(d->f[i], &m, OLD_REVISION, at);
		}
	return d;
}

static void dc_free(dc_t *d)
{
	size_t i;

	for (i = 0; i < d->n; i++)
		fleet_free(d->f[i]);
	free(d);
}

static size_t host_index(const dc_t *d, str_t addr)
{
	size_t i;

	for (i = 0; i < d->n && !str_eq(addr, str_of(d->addr[i])); i++)
		;
	return i;
}

/* Sends the change over the link of a host; the receiver forwards it to the
 * hosts below it. */
static void send_bytes(dc_t *d, size_t from, const fleet_branch_t *b,
		       size_t bytes, usec_t now)
{
	size_t to = host_index(d, b->to);
	usec_t transfer_time = (usec_t)bytes * USEC_PER_SEC / d->link;

	if (d->link_free_at[from] < now)
		d->link_free_at[from] = now;
	d->link_free_at[from] += transfer_time;
	if (d->link_free_at[from] - now > d->max_wait)
		d->max_wait = d->link_free_at[from] - now;
	if (d->dead[to] ||
	    (d->arrives_at[to] && d->link_free_at[from] >= d->arrives_at[to]))
		return;
	d->arrives_at[to] = d->link_free_at[from];
	d->nbelow[to] = b->nrest;
	if (b->nrest)
		memcpy(d->below[to], b->rest, b->nrest * sizeof(*b->rest));
}

/* Sends the change on from the host that read it or that received it. */
static void send_change(dc_t *d, size_t from, size_t bytes, usec_t now)
{
	fleet_branch_t branches[FLEET_RELAY_FANOUT];
	str_t to[MAX_HOSTS];
	size_t n, i;

	if (from == 0)
		n = fleet_followers(d->f[0], to, MAX_HOSTS);
	else
		memcpy(to, d->below[from], (n = d->nbelow[from]) * sizeof(*to));
	if (from == 0 && !fleet_should_relay(n, bytes)) {
		for (i = 0; i < n; i++)
			send_bytes(d, 0, &(fleet_branch_t){ .to = to[i] },
				   bytes, now);
		return;
	}
	n = fleet_relay_split(to, n, branches);
	for (i = 0; i < n; i++)
		send_bytes(d, from, &branches[i], bytes, now);
}

/* The reader reports its revision to all hosts. Hosts that are behind request
 * the change. */
static void request_all(dc_t *d, size_t bytes, usec_t now)
{
	size_t i, k;

	for (i = 1; i < d->n; i++) {
		fleet_msg_t m = { .kind = FLEET_STATE_UPDATE };
		uint64_t own = d->arrives_at[i] ? NEW_REVISION : OLD_REVISION;
		str_t to;

		if (d->dead[i])
			continue;
		fleet_fill_message(d->f[0], &m, NEW_REVISION, now);
		fleet_on_message(d->f[i], &m, own, now);
		k = 1 +
		    (i + (size_t)(now / CHANGES_REQUEST_PERIOD)) % (d->n - 1);
		if (k != i && !d->dead[k]) {
			fleet_fill_message(d->f[k], &m,
					   d->arrives_at[k] ? NEW_REVISION
							    : OLD_REVISION,
					   now);
			fleet_on_message(d->f[i], &m, own, now);
		}
		to = fleet_request_target(d->f[i], own, false, now);
		k = host_index(d, to);
		if (to.sz && !d->dead[k] &&
		    fleet_may_reply(d->f[k], bytes, now))
			send_bytes(
				d, k,
				&(fleet_branch_t){ .to = str_of(d->addr[i]) },
				bytes, now);
	}
}

/* Runs until all hosts have the change; returns false if that takes longer than
 * APPLY_TIME. */
static bool run(dc_t *d, size_t bytes)
{
	bool sent[MAX_HOSTS] = { 0 };
	usec_t now = START, requested_at = START;
	size_t i, missing;

	d->arrives_at[0] = now;
	for (; now < START + APPLY_TIME; now += 5 * USEC_PER_MSEC) {
		missing = 0;
		for (i = 0; i < d->n; i++) {
			bool has = d->arrives_at[i] && d->arrives_at[i] <= now;

			missing += !has && !d->dead[i];
			if (has && !sent[i])
				send_change(d, i, bytes, now);
			sent[i] |= has;
		}
		if (missing == 0)
			return true;
		if (now - requested_at >= CHANGES_REQUEST_PERIOD) {
			request_all(d, bytes, now);
			requested_at = now;
		}
	}
	return false;
}

/* Writes random lower-case letters. */
static const char *random_name(char name[9], rng_t *rng)
{
	size_t i;

	for (i = 0; i < 8; i++)
		name[i] = (char)('a' + rng_below(rng, 26));
	name[i] = '\0';
	return name;
}

/* Bytes of the message that carries a configuration with so many routes, each
 * with names of its own. */
static size_t message_bytes(size_t routes)
{
	GString *conf = g_string_new("{\"version\":7,\"routes\":[");
	fleet_item_t item = { .key = STR("config"), .revision = NEW_REVISION };
	fleet_msg_t m = { .kind = FLEET_STATE_UPDATE,
			  .from = STR("10.0.0.1:1"),
			  .dc = STR("a"),
			  .items = &item,
			  .nitems = 1 };
	char name[9], host[9], prefix[9], service[9], *bytes;
	rng_t rng = { 1 };
	size_t i, sz;

	for (i = 0; i < routes; i++)
		g_string_append_printf(
			conf,
			"{\"name\":\"r-%s\",\"host\":\"%s.example\","
			"\"prefix\":\"/%s/\",\"routeType\":\"idempotent\","
			"\"timeoutMs\":1500,\"targetLatencyMs\":250,"
			"\"priority\":2,\"service\":\"%s\","
			"\"maxAttempts\":2},",
			random_name(name, &rng), random_name(host, &rng),
			random_name(prefix, &rng), random_name(service, &rng));
	item.value = (str_t){ conf->str, conf->len };
	bytes = fleet_encode(&m, &sz);
	free(bytes);
	g_string_free(conf, TRUE);
	return sz;
}

static void test_large_change(void)
{
	static const struct {
		size_t hosts;
		size_t bytes;
		size_t dead;	/* hosts that have just stopped */
		usec_t limit;	/* time until all hosts have the change */
		usec_t link;	/* bytes a second */
		size_t routes;	/* of the configuration, in place of bytes */
		usec_t max_age; /* since hosts heard of each other */
	} cases[] = {
		{ 33, 300, 0, USEC_PER_SEC / 5, 20 * MBIT, 0, 0 },
		{ 33, 12000, 0, USEC_PER_SEC / 5, 20 * MBIT, 0, 0 },
		{ 33, 194392, 0, USEC_PER_SEC, 20 * MBIT, 0, 0 },
		{ 33, 194392, 3, APPLY_TIME, 20 * MBIT, 0, 0 },
		{ 15, 194392, 0, USEC_PER_SEC, 20 * MBIT, 0, 0 },
		{ 120, 194392, 0, 3 * USEC_PER_SEC / 2, 20 * MBIT, 0, 0 },
		{ 120, 194392, 12, APPLY_TIME, 20 * MBIT, 0, 0 },
		{ 7, 194392, 1, APPLY_TIME, 20 * MBIT, 0, 0 },
		/* A host that is behind requests the change after a fifth of
		 * APPLY_TIME: later copies double the load on the links. */
		{ 36, 0, 0, APPLY_TIME / 5, 14 * MBIT, 1400, 0 },
		{ 36, 0, 0, APPLY_TIME / 5, 14 * MBIT, 4000, 0 },
		/* In a large fleet some hosts do not hear of others for 9 s,
		 * after which these count as down. */
		{ 36, 0, 0, APPLY_TIME / 5, 14 * MBIT, 1400,
		  12 * USEC_PER_SEC },
		{ 120, 0, 12, APPLY_TIME, 14 * MBIT, 1400, 12 * USEC_PER_SEC },
	};
	size_t i, k;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		dc_t *d = dc_new(cases[i].hosts, cases[i].link,
				 cases[i].max_age, START);
		size_t bytes = cases[i].routes ? message_bytes(cases[i].routes)
					       : cases[i].bytes;
		usec_t last = START;

		for (k = 0; k < cases[i].dead; k++)
			d->dead[1 + k * (d->n / (cases[i].dead + 1))] = true;
		CU_ASSERT(run(d, bytes));
		for (k = 0; k < d->n; k++)
			if (d->arrives_at[k] > last)
				last = d->arrives_at[k];
		CU_ASSERT(last - START <= cases[i].limit);
		CU_ASSERT(d->max_wait <= MAX_LINK_WAIT);
		if (d->max_wait > MAX_LINK_WAIT ||
		    last - START > cases[i].limit)
			fprintf(stderr,
				"  case %zu: last arrival %lld us, link wait "
				"%lld us\n",
				i, (long long)(last - START),
				(long long)d->max_wait);
		dc_free(d);
	}
}

/* A host that is behind waits for the forwarded change before it sends a
 * request. */
static void test_wait_before_request(void)
{
	static const struct {
		size_t hosts;
		usec_t behind_time;
		bool requests;
	} cases[] = {
		{ 33, 0, false },
		{ 33, APPLY_TIME / 10, false },
		{ 33, APPLY_TIME / 4, true },
		{ 3, 0, true }, /* in a small data centre each host reads */
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		dc_t *d = dc_new(cases[i].hosts, 20 * MBIT, 0, START);
		fleet_msg_t m = { .kind = FLEET_HELLO };
		usec_t now = START;

		CU_ASSERT_EQUAL(
			fleet_request_target(d->f[1], OLD_REVISION, false, now)
				.sz,
			0);
		fleet_fill_message(d->f[0], &m, NEW_REVISION, now);
		fleet_on_message(d->f[1], &m, OLD_REVISION, now);
		fleet_request_target(d->f[1], OLD_REVISION, false, now);
		now += cases[i].behind_time;
		CU_ASSERT_EQUAL(
			fleet_request_target(d->f[1], OLD_REVISION, false, now)
					.sz > 0,
			cases[i].requests);
		/* An increase of the host's revision restarts the wait. */
		CU_ASSERT_EQUAL(fleet_request_target(d->f[1], OLD_REVISION + 1,
						     false, now)
						.sz > 0,
				cases[i].hosts == 3);
		dc_free(d);
	}
}

void unit_relay(void)
{
	CU_pSuite s = CU_add_suite("relay", NULL, NULL);

	CU_add_test(s, "large change on slow links", test_large_change);
	CU_add_test(s, "wait before a request", test_wait_before_request);
}
