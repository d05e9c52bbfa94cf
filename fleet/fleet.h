/**
 * @file fleet.h
 * Membership of the daemons of routed requests by gossip, the choice of the
 * hosts that read the registry, and the replicated published state. There is
 * no leader and no shared storage. The code uses no clock, thread or socket:
 * the caller passes the time and sends and receives the messages.
 */
#ifndef FLEET_H
#define FLEET_H

#include "base.h"

/** Scale of fractions in messages: thousandths. */
#define FLEET_FRACTION_SCALE 1000.0
#define FLEET_MAX_MSG_MEMBERS 16 /**< members listed in one message */
#define FLEET_MAX_RELAY 512	 /**< hosts that one message is forwarded to */
/**
 * Hosts to which a host forwards a change itself. Three copies of 50 KB take a
 * tenth of a second on a link of 14 Mbit/s; a tree of 120 hosts has four levels
 * below the root.
 */
#define FLEET_RELAY_FANOUT 3

/** A published key with its last change. */
typedef struct fleet_item {
	str_t key;
	str_t value;	   /**< empty if the key is deleted */
	uint64_t revision; /**< registry revision of the last change */
	bool deleted;
} fleet_item_t;

/** Kinds of messages. */
typedef enum fleet_kind {
	/**
	 * Gossip: the sender and some members; the receiver replies with
	 * FLEET_HELLO_REPLY.
	 */
	FLEET_HELLO,
	FLEET_HELLO_REPLY,   /**< reply to FLEET_HELLO, also with members */
	FLEET_STATE_REQUEST, /**< requests the changes after a revision */
	FLEET_STATE_UPDATE,  /**< changes after a revision */
	FLEET_LEAVE,	     /**< the sender shuts down */
	FLEET_SERVER_PACE,   /**< pace and failures of a server, as seen by the
				  sender */
	FLEET_REGISTRY_LOST, /**< the registry does not answer the sender */
	FLEET_KIND_MAX,
} fleet_kind_t;

/** A daemon listed in a message. */
typedef struct fleet_member_info {
	str_t addr;
	str_t dc;
	usec_t last_seen_age; /**< time since the daemon was last heard from */
} fleet_member_info_t;

/** One message; strings and arrays are borrowed. */
typedef struct fleet_msg {
	fleet_kind_t kind;
	str_t from;	   /**< address of the sender */
	str_t dc;	   /**< data centre of the sender */
	uint64_t revision; /**< the sender has all changes up to it */
	/**
	 * The sender had all changes this long ago, by an answer of the
	 * registry to itself; below 0: it had no answer.
	 */
	usec_t last_read_age;
	/**
	 * FLEET_STATE_UPDATE: time since the last outage of the registry ended;
	 * below 0: no outage is known.
	 */
	usec_t registry_back_age;
	/**
	 * FLEET_STATE_REQUEST, FLEET_STATE_UPDATE: the changes are those after
	 * this revision; below 2^63.
	 */
	uint64_t since_revision;
	/**
	 * FLEET_STATE_UPDATE: items are the complete state; keys that are not
	 * among them are deleted.
	 */
	bool complete;
	/**
	 * FLEET_STATE_UPDATE: address of the daemon that read the change from
	 * the registry, if receivers forward the message; else empty.
	 */
	str_t origin;
	/** FLEET_STATE_UPDATE: the hosts that the receiver forwards it to. */
	const str_t *relay_to;
	size_t nrelay_to; /**< up to FLEET_MAX_RELAY */
	str_t server;	  /**< FLEET_SERVER_PACE: id of the server */
	/**
	 * FLEET_SERVER_PACE: latency relative to the mean of the route,
	 * thousandths.
	 */
	uint64_t pace;
	/** FLEET_SERVER_PACE: share of failed sends, thousandths. */
	uint64_t failing;
	/** Some known members. */
	fleet_member_info_t members[FLEET_MAX_MSG_MEMBERS];
	size_t nmembers;
	fleet_item_t *items; /**< FLEET_STATE_UPDATE: changed keys */
	size_t nitems;
	/**
	 * The items in the form in which they are sent: set by
	 * fleet_pack_items() and, borrowed from the bytes, by fleet_decode().
	 */
	str_t packed;
	size_t packed_raw_sz; /**< bytes before compression; 0: uncompressed */
} fleet_msg_t;

/** Bytes of the items of a message before compression, at most. */
#define FLEET_MAX_ITEMS_BYTES ((size_t)16 << 20)

/**
 * Decodes a message. Strings and arrays are allocated in mem. Returns false if
 * the bytes are not a valid message.
 */
bool fleet_decode(const char *bytes, size_t sz, fleet_msg_t *m, arena_t *mem);
/**
 * Packs the items of a message into mem, compressed if that is shorter. The
 * size of m->packed is what they add to each message. Items of more than
 * FLEET_MAX_ITEMS_BYTES are not compressed.
 */
void fleet_pack_items(fleet_msg_t *m, arena_t *mem);
/**
 * Encodes a message; the caller frees the returned bytes. Items that aren't
 * packed are packed first; m is unchanged.
 */
char *fleet_encode(const fleet_msg_t *m, size_t *sz);

/* Published state. */

/** Bits of an era and, below them, of a revision within the era. */
#define FLEET_ERA_BITS 18
#define FLEET_REVISION_BITS 44

/**
 * Combines the registry's era, which rises each time it is restored from a
 * copy, with one of its revisions, which it may give out again after that.
 * Revisions of this file are such: the later change has the higher one. Both
 * must fit into their bits.
 */
uint64_t fleet_revision(uint64_t era, uint64_t number);
/** The era of a revision; 0 if the registry tells none. */
uint64_t fleet_revision_era(uint64_t revision);
/** The revision as the registry tells it. */
uint64_t fleet_revision_number(uint64_t revision);

/** Replica of the published state; opaque. */
typedef struct fleet_state fleet_state_t;
/** Called for each key that changed or was deleted; the item is borrowed. */
typedef void (*fleet_change_fn_t)(void *arg, const fleet_item_t *it);

/** Creates an empty state; fn is called with arg for each change. */
fleet_state_t *fleet_state_new(fleet_change_fn_t fn, void *arg);
/** Frees a state; NULL is allowed. */
void fleet_state_free(fleet_state_t *s);
/** Returns the revision up to which all changes are applied; 0: none yet. */
uint64_t fleet_state_revision(const fleet_state_t *s);
/**
 * Applies one key from a source whose data is current as of a revision. An
 * item that is older than the state is ignored.
 */
void fleet_state_apply(fleet_state_t *s, const fleet_item_t *it,
		       uint64_t as_of);
/**
 * Begins a complete list of the registry's keys, which is read page by page.
 * fleet_state_list_end() deletes the keys that are not in the list.
 */
void fleet_state_list_begin(fleet_state_t *s);
/** Begins a page of the list, which is current as of a revision. */
void fleet_state_list_page(fleet_state_t *s, uint64_t as_of);
/** Applies a key of the current page. */
void fleet_state_list_apply(fleet_state_t *s, const fleet_item_t *it);
/** Ends the list, which is current as of its page with the lowest revision. */
void fleet_state_list_end(fleet_state_t *s);
/**
 * Records that all changes up to a revision are applied. A revision below the
 * current one has no effect.
 */
void fleet_state_advance(fleet_state_t *s, uint64_t revision);
/** Applies a FLEET_STATE_UPDATE message of another daemon. */
void fleet_state_apply_message(fleet_state_t *s, const fleet_msg_t *m);
/**
 * Sets the items of a message to the changes after m->since_revision, or to the
 * complete state if deletions after that revision may be unknown here
 * (m->complete is set then). The array is allocated in mem; its strings are
 * borrowed from the state.
 */
void fleet_state_changes_since(const fleet_state_t *s, fleet_msg_t *m,
			       arena_t *mem);

/* Members and readers. */

/** How a daemon reads the registry. */
typedef enum fleet_role {
	FLEET_FOLLOWER, /**< not at all: it gets the changes from a neighbour */
	/** For itself; the registry answers when there is a change. */
	FLEET_READER,
	/**
	 * For its data centre: the registry answers soon in any case, and each
	 * answer is sent to the daemons there, with the changes.
	 */
	FLEET_CONFIRMER,
} fleet_role_t;

/** Members, and which of them read the registry; opaque. */
typedef struct fleet fleet_t;

/** Parameters of fleet_new(). */
typedef struct fleet_params {
	str_t addr;	    /**< address of this daemon */
	str_t dc;	    /**< data centre of this daemon */
	const str_t *seeds; /**< addresses for the first contact; also used
				 now and then later, and while no other member
				 is alive */
	size_t nseeds;
	/**
	 * Least size of the fleet that is assumed during the first seconds; 0
	 * counts as 1.
	 */
	unsigned initial_hosts;
	usec_t apply_time; /**< time within which a published change must be
				in force */
	uint64_t seed;	   /**< of the random generator */
} fleet_params_t;

/** Creates a fleet; the strings of the parameters are copied. */
fleet_t *fleet_new(const fleet_params_t *p, usec_t now);
/** Changes fleet_params_t::apply_time. */
void fleet_set_apply_time(fleet_t *f, usec_t apply_time);
/** Frees a fleet; NULL is allowed. */
void fleet_free(fleet_t *f);
/**
 * Updates the members from a received message that was applied: the sender, its
 * revision and the members that it lists. revision is that of this daemon's
 * state. If it is not below the sender's, the sender's last read of the
 * registry confirms this state too.
 */
void fleet_on_message(fleet_t *f, const fleet_msg_t *m, uint64_t revision,
		      usec_t now);
/**
 * Records an answer of the registry to this daemon: its state has all changes
 * up to the time as_of.
 */
void fleet_on_registry_read(fleet_t *f, usec_t as_of);
/**
 * Decides how this daemon reads the registry from now on. In each data centre
 * one daemon confirms; if no confirmation comes, the others take over in order
 * of rank.
 */
fleet_role_t fleet_role(fleet_t *f, usec_t now);
/**
 * Estimates the size of the fleet in hosts, for the division of budgets: the
 * recent maximum of the members that were alive, plus a reserve.
 */
unsigned fleet_estimated_hosts(fleet_t *f, usec_t now);
/** Counts the members that are alive, this daemon included. */
size_t fleet_alive_count(const fleet_t *f, usec_t now);
/**
 * Returns the age of the state: the time since this daemon is known to have had
 * all changes, by an answer of the registry to it or to another daemon whose
 * revision is not higher. Below 0: never.
 */
usec_t fleet_state_age(const fleet_t *f, usec_t now);
/**
 * Chooses the targets of a gossip round and schedules the next round. Writes at
 * most max addresses, which are borrowed from f, and returns their number; 0 if
 * no round is due.
 */
size_t fleet_gossip_targets(fleet_t *f, str_t *to, size_t max, usec_t now);
/** Returns the time of the next gossip round. */
usec_t fleet_next_gossip_at(const fleet_t *f);
/**
 * Lists the followers, to which changes are sent: the known members of the own
 * data centre, those that were heard from most recently first. Writes at most
 * max addresses, which are borrowed from f, and returns their number.
 */
size_t fleet_followers(const fleet_t *f, str_t *to, size_t max);
/**
 * Returns whether a change of this many bytes is forwarded from host to host
 * instead of being sent to each of so many hosts by the reader.
 */
bool fleet_should_relay(size_t hosts, size_t bytes);

/** A host to which a change is sent, and those to which it forwards it. */
typedef struct fleet_branch {
	str_t to;
	str_t *rest; /**< part of the array given to fleet_relay_split() */
	size_t nrest;
} fleet_branch_t;

/**
 * Divides hosts, the most reliable ones first, into branches. Changes the order
 * of the array, from which the branches borrow. Returns their number.
 */
size_t fleet_relay_split(str_t *hosts, size_t n,
			 fleet_branch_t branches[FLEET_RELAY_FANOUT]);
/**
 * Returns whether a FLEET_STATE_REQUEST may be answered with this many bytes
 * now, and counts them if so. Many hosts may send requests at once; a host
 * without a reply sends its next request to another host.
 */
bool fleet_may_reply(fleet_t *f, size_t bytes, usec_t now);
/**
 * Chooses the daemon to request changes from: one with a revision above the
 * given one or, if silent is set because the registry does not answer, any.
 * Returns its address, which is borrowed from f; empty if there is none, or if
 * a forwarded change may still arrive without a request.
 */
str_t fleet_request_target(fleet_t *f, uint64_t revision, bool silent,
			   usec_t now);
/**
 * Fills in the sender of a message, its revision and the age of its last read,
 * and for FLEET_HELLO and FLEET_HELLO_REPLY a random selection of members.
 * Strings are borrowed from f.
 */
void fleet_fill_message(fleet_t *f, fleet_msg_t *m, uint64_t revision,
			usec_t now);

#endif
