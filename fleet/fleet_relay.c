/**
 * @file fleet_relay.c
 * Distribution of a large change in a data centre: hosts forward it along a
 * tree, so that no host has to send it to all others. Intended for a
 * configuration of many routes on hosts with slow links.
 */
#include <stdlib.h>

#include "libfleet.h"

/* Total size up to which one host sends a change to all others itself, and
 * limit of the replies in a REPLY_PERIOD. Sending so many bytes takes a fifth
 * of a second on a link of 20 Mbit/s, the slowest link of a host. */
#define DIRECT_MAX_BYTES 500000
/* Children of a host in the tree. Sending 200 KB to three hosts takes a quarter
 * of a second on such a link; a tree of 120 hosts has four levels below the
 * root. */
#define RELAY_FANOUT 3

/* A host that is behind and gets no reply sends its next request, to another
 * host, after this time. */
#define REPLY_PERIOD (400 * USEC_PER_MSEC)

typedef struct ranked_host {
	uint64_t rank;
	str_t addr;
} ranked_host_t;

static int by_rank(const void *a, const void *b)
{
	const ranked_host_t *x = a, *y = b;

	if (x->rank != y->rank)
		return x->rank < y->rank ? -1 : 1;
	return str_cmp(x->addr, y->addr);
}

/* Lists the alive hosts of the own data centre, this one included, by rank. The
 * order is the same on all hosts that know the same members. */
static size_t hosts_by_rank(const fleet_t *f, ranked_host_t *v, usec_t now)
{
	size_t n = 0, i;

	for (i = 0; i < f->nmembers; i++)
		if (fleet_member_alive(&f->members[i], now) &&
		    str_eq(f->members[i].dc, f->dc))
			v[n++] = (ranked_host_t){ f->members[i].rank,
						  f->members[i].addr };
	v[n++] = (ranked_host_t){ fleet_rank(f->addr), f->addr };
	qsort(v, n, sizeof(*v), by_rank);
	return n;
}

static size_t index_of(const ranked_host_t *v, size_t n, str_t addr)
{
	size_t i;

	for (i = 0; i < n && !str_eq(v[i].addr, addr); i++)
		;
	return i;
}

bool fleet_should_relay(const fleet_t *f, size_t bytes, usec_t now)
{
	size_t lower_ranked;

	return fleet_dc_peers(f, &lower_ranked, now) * bytes > DIRECT_MAX_BYTES;
}

size_t fleet_relay_targets(const fleet_t *f, str_t origin, str_t *to,
			   size_t max, usec_t now)
{
	ranked_host_t *v = xcalloc(f->nmembers + 1, sizeof(*v));
	size_t nhosts = hosts_by_rank(f, v, now);
	size_t root = index_of(v, nhosts, origin);
	size_t own = index_of(v, nhosts, f->addr);
	size_t n = 0, child;

	/* The origin is the root of the tree. If it is unknown, nothing is
	 * forwarded, and hosts that are behind request the change. */
	if (root < nhosts) {
		own = (own + nhosts - root) % nhosts;
		for (child = own * RELAY_FANOUT + 1;
		     child <= own * RELAY_FANOUT + RELAY_FANOUT &&
		     child < nhosts && n < max;
		     child++)
			to[n++] = v[(root + child) % nhosts].addr;
	}
	free(v);
	return n;
}

bool fleet_may_reply(fleet_t *f, size_t bytes, usec_t now)
{
	if (now - f->reply_period_at >= REPLY_PERIOD) {
		f->reply_period_at = now;
		f->reply_period_bytes = 0;
	}
	if (f->reply_period_bytes &&
	    f->reply_period_bytes + bytes > DIRECT_MAX_BYTES)
		return false;
	f->reply_period_bytes += bytes;
	return true;
}
