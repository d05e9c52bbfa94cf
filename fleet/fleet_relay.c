/**
 * @file fleet_relay.c
 * Distribution of a large change in a data centre: hosts forward it along a
 * tree, so that no host has to send it to all others. Intended for a
 * configuration of many routes on hosts with slow links. The host that read the
 * change makes the whole tree: each message lists the hosts below its receiver.
 * A tree that each host computes from the members that it knows leaves out
 * hosts, since in a large fleet no two hosts know the same ones.
 */
#include <stdlib.h>
#include <string.h>

#include "libfleet.h"

/* Total size up to which one host sends a change to all others itself, and
 * limit of the replies in a REPLY_PERIOD. Sending so many bytes takes 0.3 s
 * on a link of 14 Mbit/s, the slowest link of a host. */
#define DIRECT_MAX_BYTES 500000

/* A host that is behind and gets no reply sends its next request, to another
 * host, after this time. */
#define REPLY_PERIOD (400 * USEC_PER_MSEC)

bool fleet_should_relay(size_t hosts, size_t bytes)
{
	return hosts * bytes > DIRECT_MAX_BYTES;
}

size_t fleet_relay_split(str_t *hosts, size_t n,
			 fleet_branch_t branches[FLEET_RELAY_FANOUT])
{
	size_t nbranches = n < FLEET_RELAY_FANOUT ? n : FLEET_RELAY_FANOUT;
	str_t *sorted = xcalloc(n, sizeof(*sorted));
	size_t at = nbranches, i, k;

	/* Host k goes to branch k modulo the number of branches: those that may
	 * be down, the last ones, become leaves. */
	memcpy(sorted, hosts, n * sizeof(*sorted));
	for (i = 0; i < nbranches; i++) {
		branches[i] = (fleet_branch_t){ sorted[i], hosts + at, 0 };
		for (k = i + nbranches; k < n; k += nbranches)
			hosts[at + branches[i].nrest++] = sorted[k];
		at += branches[i].nrest;
	}
	free(sorted);
	return nbranches;
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
