/**
 * @file fleet.h
 * How daemons of routed requests act together without a leader and without
 * shared writes: who is there, who reads the published state for the others,
 * and what each knows of it. No clock, thread or socket.
 */
#ifndef FLEET_H
#define FLEET_H

#include "base.h"

#define FLEET_UNIT 1000.0 /**< fractions travel in thousandths */
#define FLEET_MAX_TOLD 16 /**< members that one message tells of */

/** A published key as it was last written. */
typedef struct fleet_item {
	str_t key;
	str_t value;	   /**< empty when deleted */
	uint64_t revision; /**< of the last change */
	bool deleted;
} fleet_item_t;

/** Kinds of messages. */
typedef enum fleet_kind {
	FLEET_HELLO, /**< who I am and whom I know; wants FLEET_WELCOME */
	FLEET_WELCOME,
	FLEET_ASK,   /**< wants what changed after a revision */
	FLEET_STATE, /**< what changed after a revision */
	FLEET_LEAVE, /**< the sender ends */
	FLEET_PACE,  /**< how fast a server answers the sender */
	FLEET_AWAY,  /**< the registry does not answer the sender */
	FLEET_KINDS,
} fleet_kind_t;

/** A daemon that a message tells of. */
typedef struct fleet_told {
	str_t addr;
	str_t dc;
	usec_t age; /**< since it was heard of */
} fleet_told_t;

/** One message; strings and arrays are borrowed. */
typedef struct fleet_msg {
	fleet_kind_t kind;
	str_t from; /**< address of the sender */
	str_t dc;
	uint64_t revision; /**< that the sender's state holds for */
	usec_t age;	/**< since the registry confirmed it; below 0: never */
	usec_t back;	/**< of STATE: since the registry came back after it was
			     away; below 0: it was not */
	uint64_t since; /**< of ASK and STATE: changes after it */
	bool whole;	/**< of STATE: keys that are not named are gone */
	str_t origin;	/**< of STATE: who read it from the registry, where it
			     is to be passed on; else empty */
	str_t server;	/**< of PACE: its id */
	uint64_t pace;	/**< of PACE: its time over the usual, thousandths */
	uint64_t failing; /**< of PACE: share that fails, thousandths */
	fleet_told_t told[FLEET_MAX_TOLD];
	size_t ntold;
	fleet_item_t *items;
	size_t nitems;
} fleet_msg_t;

/** Reads a message; false if the bytes are none. Strings are in mem. */
bool fleet_decode(const char *bytes, size_t sz, fleet_msg_t *m, arena_t *mem);
/** Writes a message; the caller frees it. */
char *fleet_encode(const fleet_msg_t *m, size_t *sz);

/* Published state. */

/** What is known of published state; opaque. */
typedef struct fleet_state fleet_state_t;
/** Told of each key that changed. */
typedef void (*fleet_changed_t)(void *arg, const fleet_item_t *it);

/** Makes an empty state; changes are told to fn. */
fleet_state_t *fleet_state_new(fleet_changed_t fn, void *arg);
/** Frees it. */
void fleet_state_free(fleet_state_t *s);
/** The revision that it holds for; 0 when nothing is known. */
uint64_t fleet_state_revision(const fleet_state_t *s);
/**
 * Takes one key from a source whose word holds for a revision; what is older
 * than what is known is left out.
 */
void fleet_state_take(fleet_state_t *s, const fleet_item_t *it, uint64_t as_of);
/** A list of the registry begins; what it does not name ends with it. */
void fleet_state_list_begin(fleet_state_t *s);
/** A page of the list begins, which holds for a revision. */
void fleet_state_list_page(fleet_state_t *s, uint64_t as_of);
/** Takes a key of the page. */
void fleet_state_list_take(fleet_state_t *s, const fleet_item_t *it);
/** The list ends; all of it holds for its earliest page. */
void fleet_state_list_end(fleet_state_t *s);
/** All changes up to a revision are taken. */
void fleet_state_reached(fleet_state_t *s, uint64_t revision);
/** Takes what a neighbour tells in a FLEET_STATE. */
void fleet_state_told(fleet_state_t *s, const fleet_msg_t *m);
/** Fills in what changed after m->since; the items are in mem. */
void fleet_state_since(const fleet_state_t *s, fleet_msg_t *m, arena_t *mem);

/* Members and readers. */

/** The state of the decisions; opaque. */
typedef struct fleet fleet_t;

/** What a fleet is made with. */
typedef struct fleet_params {
	str_t addr; /**< of this daemon */
	str_t dc;
	const str_t *seeds; /**< asked while nobody else is known */
	size_t nseeds;
	unsigned hosts;	   /**< taken for the fleet's size until it is learnt */
	usec_t apply_time; /**< in which what is published must be in force */
	uint64_t seed;
} fleet_params_t;

/** Makes the state; strings are copied. */
fleet_t *fleet_new(const fleet_params_t *p, usec_t now);
/** Frees it. */
void fleet_free(fleet_t *f);
/** Notes what a message tells of members and of the sender's state. */
void fleet_heard(fleet_t *f, const fleet_msg_t *m, usec_t now);
/** The registry answered this daemon. */
void fleet_read(fleet_t *f, usec_t now);
/** Decides whether this daemon reads the registry itself, from now on. */
bool fleet_should_read(fleet_t *f, usec_t now);
/** Whether others rely on what this daemon reads. */
bool fleet_has_followers(const fleet_t *f, usec_t now);
/** How many hosts to reckon with: the most that were there lately. */
unsigned fleet_hosts(fleet_t *f, usec_t now);
/** Members that are there now, this one included. */
size_t fleet_alive(const fleet_t *f, usec_t now);
/** Age of what this daemon knows by any way; below 0: never confirmed. */
usec_t fleet_age(const fleet_t *f, usec_t now);
/**
 * Whom to greet now: fills in at most max addresses. Also tells when to ask
 * next.
 */
size_t fleet_greet(fleet_t *f, str_t *to, size_t max, usec_t now);
/** When fleet_greet() wants to be called. */
usec_t fleet_next(const fleet_t *f);
/** Whom to push changes to: members of the own data centre. */
size_t fleet_followers(const fleet_t *f, str_t *to, size_t max, usec_t now);
/** Whether a change of so many bytes is passed on from host to host. */
bool fleet_relays(const fleet_t *f, size_t bytes, usec_t now);
/** Whom this daemon passes on a change to that a daemon began to spread. */
size_t fleet_relay(const fleet_t *f, str_t origin, str_t *to, size_t max,
		   usec_t now);
/**
 * Whether a host that is behind gets an answer of so many bytes now; counts it.
 * Many may ask at once: who gets none asks another.
 */
bool fleet_may_answer(fleet_t *f, size_t bytes, usec_t now);
/**
 * Somebody who knows more than this revision, or who may while the registry
 * is silent; empty if there is nobody to ask.
 */
str_t fleet_ask(fleet_t *f, uint64_t revision, bool silent, usec_t now);
/** Fills in sender and members of a message. */
void fleet_tell(fleet_t *f, fleet_msg_t *m, uint64_t revision, usec_t now);

#endif
