/**
 * @file fleet_relay.c
 * How a large change reaches all hosts of a data centre: from host to host
 * along a tree, so that none has to send it to all others. Load pattern: a
 * configuration of many routes on hosts with slow links.
 */
#include <stdlib.h>

#include "libfleet.h"

/* What one host sends to all others itself: a fifth of a second of a link of
 * 20 Mbit/s, the slowest that hosts have. */
#define DIRECT_BYTES 500000
/* Three hosts get 200 KB each in a quarter of a second on such a link; the last
 * of 120 hosts is four steps away. */
#define FANOUT 3

/* A host that is behind asks somebody else after so long. */
#define ANSWER_PERIOD (400 * USEC_PER_MSEC)

typedef struct place {
	uint64_t rank;
	str_t addr;
} place_t;

static int by_rank(const void *a, const void *b)
{
	const place_t *x = a, *y = b;

	if (x->rank != y->rank)
		return x->rank < y->rank ? -1 : 1;
	return str_cmp(x->addr, y->addr);
}

/* All of the own data centre, this host too, in an order that is the same on
 * each host that knows the same members. */
static size_t places(const fleet_t *f, place_t *v, usec_t now)
{
	size_t n = 0, i;

	for (i = 0; i < f->n; i++)
		if (fleet_member_alive(&f->v[i], now) &&
		    str_eq(f->v[i].dc, f->dc))
			v[n++] = (place_t){ f->v[i].rank, f->v[i].addr };
	v[n++] = (place_t){ fleet_rank(f->addr), f->addr };
	qsort(v, n, sizeof(*v), by_rank);
	return n;
}

static size_t index_of(const place_t *v, size_t n, str_t addr)
{
	size_t i;

	for (i = 0; i < n && !str_eq(v[i].addr, addr); i++)
		;
	return i;
}

bool fleet_relays(const fleet_t *f, size_t bytes, usec_t now)
{
	size_t before;

	return fleet_neighbours(f, &before, now) * bytes > DIRECT_BYTES;
}

size_t fleet_relay(const fleet_t *f, str_t origin, str_t *to, size_t max,
		   usec_t now)
{
	place_t *v = xcalloc(f->n + 1, sizeof(*v));
	size_t all = places(f, v, now);
	size_t first = index_of(v, all, origin);
	size_t own = index_of(v, all, f->addr);
	size_t n = 0, next;

	/* An origin that is not known here leaves the rest to asking. */
	if (first < all) {
		own = (own + all - first) % all;
		for (next = own * FANOUT + 1;
		     next <= own * FANOUT + FANOUT && next < all && n < max;
		     next++)
			to[n++] = v[(first + next) % all].addr;
	}
	free(v);
	return n;
}

bool fleet_may_answer(fleet_t *f, size_t bytes, usec_t now)
{
	if (now - f->answers_at >= ANSWER_PERIOD) {
		f->answers_at = now;
		f->answered = 0;
	}
	if (f->answered && f->answered + bytes > DIRECT_BYTES)
		return false;
	f->answered += bytes;
	return true;
}
