/**
 * @file libfleet.h
 * Private to fleet/: the members, and the data for the choice of readers.
 */
#ifndef LIBFLEET_H
#define LIBFLEET_H

#include "fleet.h"

/** Another daemon. */
typedef struct fleet_member {
	str_t addr; /* owned */
	str_t dc;   /* owned */
	usec_t last_seen_at;
	uint64_t rank;	   /* the member of the lowest rank reads first */
	uint64_t revision; /* of the last message from the member itself */
} fleet_member_t;

/** Members, and what decides which daemon reads the registry. */
struct fleet {
	str_t addr;   /* owned */
	str_t dc;     /* owned */
	str_t *seeds; /* owned, without the own address */
	size_t nseeds;
	unsigned initial_hosts; /* least estimate of hosts during startup */
	usec_t apply_time; /* limit for a published change to be in force */
	rng_t rng;
	fleet_member_t *members;
	size_t nmembers;
	usec_t started_at;
	usec_t next_gossip_at;
	usec_t registry_read_at; /* the state had all changes then, by an
				    answer of the registry; 0: none */
	usec_t confirmed_at;	 /* the same, by an answer to any daemon */
	usec_t dc_confirmed_at;	 /* the same, by an answer to this daemon or one
				    that reads for its data centre */
	usec_t lower_rank_confirmed_at; /* last confirmation by a daemon of the
					   data centre with a lower rank */
	usec_t confirm_until; /* after a takeover, FLEET_CONFIRMER until then */
	unsigned max_hosts;   /* recent maximum of the estimate of hosts */
	usec_t max_hosts_at;  /* when max_hosts was set */
	usec_t behind_since;  /* another member has a higher revision since
				 then; 0: none has */
	uint64_t behind_revision;  /* own revision at that time */
	usec_t reply_period_at;	   /* start of the current REPLY_PERIOD */
	size_t reply_period_bytes; /* sent as replies in that period */
};

/** Returns whether a member was heard from recently enough to be alive. */
bool fleet_member_alive(const fleet_member_t *m, usec_t now);
/** Returns the rank of a daemon, a hash of its address. */
uint64_t fleet_rank(str_t addr);
/**
 * Counts the other members of the own data centre that are alive, and those of
 * them that have a lower rank than this daemon.
 */
size_t fleet_dc_peers(const fleet_t *f, size_t *lower_ranked, usec_t now);
/** Returns a fraction (0 to 1) of fleet_params_t::apply_time. */
usec_t fleet_apply_fraction(const fleet_t *f, double fraction);

#endif
