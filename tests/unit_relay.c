/**
 * @file unit_relay.c
 * Replays a large configuration in a data centre of many hosts with slow links:
 * it is everywhere in time, and no host's link is full of it.
 */
#include <CUnit/CUnit.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fleet.h"
#include "unit.h"

#define MAX_HOSTS 120
#define START (100 * USEC_PER_SEC)
#define APPLY_TIME (5 * USEC_PER_SEC)
/* The slowest hosts have 20 Mbit/s: this many bytes a second. */
#define LINK 2500000
/* Nothing may wait longer at a host's link. */
#define LINK_WAIT (USEC_PER_SEC / 2)
#define ASK_PERIOD (400 * USEC_PER_MSEC) /* of the daemon's loop */
#define OLD 890
#define NEW 973

/* A data centre; host 0 reads the registry. */
typedef struct dc {
	size_t n;
	fleet_t *f[MAX_HOSTS];
	char addr[MAX_HOSTS][24];
	bool dead[MAX_HOSTS];	   /* nobody noticed yet */
	usec_t has_at[MAX_HOSTS];  /* the change arrived; 0: not yet */
	usec_t busy_to[MAX_HOSTS]; /* the link is busy until then */
	usec_t waited; /* longest time that bytes waited at a link */
} dc_t;

static dc_t *dc_new(size_t n, usec_t now)
{
	dc_t *d = xcalloc(1, sizeof(*d));
	size_t i, j;

	d->n = n;
	for (i = 0; i < n; i++) {
		fleet_params_t p = { .dc = STR("a"),
				     .hosts = (unsigned)n,
				     .apply_time = APPLY_TIME,
				     .seed = i + 1 };

		snprintf(d->addr[i], sizeof(d->addr[i]), "10.0.0.%zu:1", i);
		p.addr = str_of(d->addr[i]);
		d->f[i] = fleet_new(&p, now);
	}
	for (i = 0; i < n; i++)
		for (j = 0; j < n; j++) {
			fleet_msg_t m = { .kind = FLEET_HELLO };

			fleet_tell(d->f[j], &m, OLD, now);
			if (i != j)
				fleet_heard(d->f[i], &m, now);
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

static size_t host_of(const dc_t *d, str_t addr)
{
	size_t i;

	for (i = 0; i < d->n && !str_eq(addr, str_of(d->addr[i])); i++)
		;
	return i;
}

/* Sends over the link of one host. */
static void send_bytes(dc_t *d, size_t from, str_t addr, size_t bytes,
		       usec_t now)
{
	size_t to = host_of(d, addr);
	usec_t took = (usec_t)bytes * USEC_PER_SEC / LINK;

	if (d->busy_to[from] < now)
		d->busy_to[from] = now;
	d->busy_to[from] += took;
	if (d->busy_to[from] - now > d->waited)
		d->waited = d->busy_to[from] - now;
	if (!d->dead[to] &&
	    (!d->has_at[to] || d->busy_to[from] < d->has_at[to]))
		d->has_at[to] = d->busy_to[from];
}

/* What the host that read the change does, and each that is told of it. */
static void spread(dc_t *d, size_t from, size_t bytes, usec_t now)
{
	str_t to[MAX_HOSTS];
	size_t n, i;

	if (fleet_relays(d->f[from], bytes, now))
		n = fleet_relay(d->f[from], str_of(d->addr[0]), to, MAX_HOSTS,
				now);
	else
		n = from == 0 ? fleet_followers(d->f[from], to, MAX_HOSTS, now)
			      : 0;
	for (i = 0; i < n; i++)
		send_bytes(d, from, to[i], bytes, now);
}

/* Everybody hears from the reader what it knows; who is behind asks. */
static void ask_all(dc_t *d, size_t bytes, usec_t now)
{
	size_t i, k;

	for (i = 1; i < d->n; i++) {
		fleet_msg_t m = { .kind = FLEET_STATE };
		str_t to;

		if (d->dead[i])
			continue;
		fleet_tell(d->f[0], &m, NEW, now);
		fleet_heard(d->f[i], &m, now);
		k = 1 + (i + (size_t)(now / ASK_PERIOD)) % (d->n - 1);
		if (k != i && !d->dead[k]) {
			fleet_tell(d->f[k], &m, d->has_at[k] ? NEW : OLD, now);
			fleet_heard(d->f[i], &m, now);
		}
		to = fleet_ask(d->f[i], d->has_at[i] ? NEW : OLD, false, now);
		k = host_of(d, to);
		if (to.sz && !d->dead[k] &&
		    fleet_may_answer(d->f[k], bytes, now))
			send_bytes(d, k, str_of(d->addr[i]), bytes, now);
	}
}

/* Runs until the change is in force everywhere; false if it is late. */
static bool run(dc_t *d, size_t bytes)
{
	bool told[MAX_HOSTS] = { 0 };
	usec_t now = START, asked = START;
	size_t i, left;

	d->has_at[0] = now;
	for (; now < START + APPLY_TIME; now += 5 * USEC_PER_MSEC) {
		left = 0;
		for (i = 0; i < d->n; i++) {
			bool has = d->has_at[i] && d->has_at[i] <= now;

			left += !has && !d->dead[i];
			if (has && !told[i])
				spread(d, i, bytes, now);
			told[i] |= has;
		}
		if (left == 0)
			return true;
		if (now - asked >= ASK_PERIOD) {
			ask_all(d, bytes, now);
			asked = now;
		}
	}
	return false;
}

static void test_large_change(void)
{
	static const struct {
		size_t hosts;
		size_t bytes;
		size_t dead; /* hosts that ended just now */
		usec_t in;   /* everywhere by then */
	} cases[] = {
		{ 33, 300, 0, USEC_PER_SEC / 5 },
		{ 33, 12000, 0, USEC_PER_SEC / 5 },
		{ 33, 194392, 0, USEC_PER_SEC },
		{ 33, 194392, 3, APPLY_TIME },
		{ 15, 194392, 0, USEC_PER_SEC },
		{ 120, 194392, 0, 3 * USEC_PER_SEC / 2 },
		{ 120, 194392, 12, APPLY_TIME },
		{ 7, 194392, 1, APPLY_TIME },
	};
	size_t i, k;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		dc_t *d = dc_new(cases[i].hosts, START);
		usec_t last = START;

		for (k = 0; k < cases[i].dead; k++)
			d->dead[1 + k * (d->n / (cases[i].dead + 1))] = true;
		CU_ASSERT(run(d, cases[i].bytes));
		for (k = 0; k < d->n; k++)
			if (d->has_at[k] > last)
				last = d->has_at[k];
		CU_ASSERT(last - START <= cases[i].in);
		CU_ASSERT(d->waited <= LINK_WAIT);
		if (d->waited > LINK_WAIT || last - START > cases[i].in)
			fprintf(stderr,
				"  case %zu: in %lld us, link %lld us\n", i,
				(long long)(last - START),
				(long long)d->waited);
		dc_free(d);
	}
}

/* Who is behind waits for the change a little, then asks each time. */
static void test_patience(void)
{
	static const struct {
		size_t hosts;
		usec_t behind;
		bool asks;
	} cases[] = {
		{ 33, 0, false },
		{ 33, APPLY_TIME / 10, false },
		{ 33, APPLY_TIME / 4, true },
		{ 3, 0, true }, /* each host reads for itself */
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		dc_t *d = dc_new(cases[i].hosts, START);
		fleet_msg_t m = { .kind = FLEET_HELLO };
		usec_t now = START;

		CU_ASSERT_EQUAL(fleet_ask(d->f[1], OLD, false, now).sz, 0);
		fleet_tell(d->f[0], &m, NEW, now);
		fleet_heard(d->f[1], &m, now);
		fleet_ask(d->f[1], OLD, false, now);
		now += cases[i].behind;
		CU_ASSERT_EQUAL(fleet_ask(d->f[1], OLD, false, now).sz > 0,
				cases[i].asks);
		/* A step forward starts the time anew. */
		CU_ASSERT_EQUAL(fleet_ask(d->f[1], OLD + 1, false, now).sz > 0,
				cases[i].hosts == 3);
		dc_free(d);
	}
}

void unit_relay(void)
{
	CU_pSuite s = CU_add_suite("relay", NULL, NULL);

	CU_add_test(s, "a large change on slow links", test_large_change);
	CU_add_test(s, "who is behind waits, then asks", test_patience);
}
