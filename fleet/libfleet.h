/**
 * @file libfleet.h
 * Inside of fleet/: the members that a daemon knows of.
 */
#ifndef LIBFLEET_H
#define LIBFLEET_H

#include "fleet.h"

/** Another daemon. */
typedef struct member {
	str_t addr; /* owned */
	str_t dc;   /* owned */
	usec_t heard_at;
	uint64_t rank;	   /* order of readers, the least reads first */
	uint64_t revision; /* of what it knew when heard of directly */
} member_t;

/** What the decisions about members are made from. */
struct fleet {
	str_t addr; /* owned */
	str_t dc;   /* owned */
	str_t *seeds;
	size_t nseeds;
	unsigned hosts;
	usec_t apply_time; /* what is published must be in force by then */
	rng_t rng;
	member_t *v;
	size_t n;
	usec_t started_at;
	usec_t greet_at;
	usec_t read_at;	  /* last answer of the registry; 0: never */
	usec_t word_at;	  /* a reader's state was confirmed then; 0: never */
	usec_t before_at; /* the same of one that goes before this host */
	usec_t own_until; /* reads for itself until then */
	unsigned most;
	usec_t most_at;
	usec_t behind_at;     /* somebody knows more since then; 0: nobody */
	uint64_t behind_with; /* the own revision then */
	usec_t answers_at;    /* answers to who is behind are counted since */
	size_t answered;      /* their bytes */
};

/** Whether a member was heard of lately. */
bool fleet_member_alive(const member_t *m, usec_t now);
/** The place of a daemon in the order of its data centre. */
uint64_t fleet_rank(str_t addr);
/** Members of the own data centre, and how many go before this daemon. */
size_t fleet_neighbours(const fleet_t *f, size_t *before, usec_t now);
/** A part of the time in which what is published must be in force. */
usec_t fleet_part(const fleet_t *f, double part);

#endif
