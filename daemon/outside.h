/**
 * @file outside.h
 * External protocols: the names of header lines that the daemon exchanges with
 * callers and servers, and the format of published state. The settings choose
 * one by name; code outside the table depends on none of them.
 */
#ifndef OUTSIDE_H
#define OUTSIDE_H

#include <glib.h>

#include "route.h"

/** Header lines that the daemon reads or writes. */
typedef enum outside_header {
	OUTSIDE_REQUEST_ID, /**< of a request; the server's answer repeats it */
	OUTSIDE_TIME_LEFT,  /**< milliseconds that the sender still waits */
	OUTSIDE_SERVER_ID,  /**< id of the server that a request is for */
	OUTSIDE_SERVER_STAMP, /**< in an answer: proves which server ran it */
	OUTSIDE_NOT_RUN,      /**< in an answer: the request was not run */
	OUTSIDE_PART_STAMPS, /**< in a merged answer: the stamps of its parts */
	/** In a merged answer: number of missing shards. */
	OUTSIDE_MISSING_SHARDS,
	/** Seconds, possibly with a fraction: to a caller, or of a server. */
	OUTSIDE_RETRY_AFTER,
	OUTSIDE_LEAVING, /**< in a server's answer, "1": it will stop soon */
	/** In a server's answer: its load, "running,waiting,slots[,speed]". */
	OUTSIDE_LOAD,
	/** In a server's answer: milliseconds for which it stays cold. */
	OUTSIDE_WARMUP,
	/** In the registry's answers: its era, a whole number that rises each
	 * time it is restored from a copy. */
	OUTSIDE_ERA,
	OUTSIDE_HEADER_MAX, /**< number of values */
} outside_header_t;

/** An item of published state, in a list or as a change. */
typedef struct outside_item {
	str_t key;
	str_t value;	   /**< bytes; empty if deleted or unreadable */
	uint64_t revision; /**< of the last change of the key */
	bool deleted;
} outside_item_t;

/** A page of the list of all items, or the changes after a revision. */
typedef struct outside_items {
	outside_item_t *v;
	size_t n;
	size_t unreadable; /**< items left out: their keys cannot be read */
	uint64_t revision; /**< up to which the answer is complete */
	bool more;	   /**< the list has a further page */
} outside_items_t;

/** Meaning of a key of published state. */
typedef enum outside_kind {
	OUTSIDE_OTHER, /**< of no use to the daemon */
	OUTSIDE_CONFIG,
	OUTSIDE_SERVER,
	OUTSIDE_EVACUATE, /**< a data centre is evacuated */
} outside_kind_t;

#define OUTSIDE_FAULT_MAX 192 /**< bytes of a fault's text, with the NUL */

/** An external protocol. */
typedef struct outside_protocol {
	const char *name; /**< in the settings */
	const char *headers[OUTSIDE_HEADER_MAX];
	/** Path of the load balancer's readiness check. */
	const char *ready_path;
	int misdirected_status; /**< HTTP status that means RT_MOVED */
	/**
	 * Appends the path of a page of the list. after: last key of the
	 * previous page, of any length and with any bytes, empty for the first
	 * one; allow_stale: the answer may come from a replica that lags.
	 */
	void (*list_path)(GString *path, str_t after, bool allow_stale);
	/**
	 * Appends the path of a request for the changes after a revision, which
	 * is answered after the wait (microseconds) if there are none.
	 */
	void (*watch_path)(GString *path, uint64_t after, usec_t wait);
	/**
	 * Parses the answer to either path into mem; false if it is invalid.
	 */
	bool (*read_items)(str_t body, outside_items_t *items, arena_t *mem);
	/**
	 * Classifies a key; sets the id (borrowed) of a server, or the name of
	 * an evacuated data centre, which may be empty.
	 */
	outside_kind_t (*kind)(str_t key, str_t *id);
	/**
	 * Parses a configuration; the result has one reference. On a fault
	 * returns NULL and writes its text to fault.
	 */
	rt_conf_t *(*read_config)(str_t value, char fault[OUTSIDE_FAULT_MAX]);
	/**
	 * Parses a server's entry into mem. On a fault returns false and writes
	 * its text to fault.
	 */
	bool (*read_server)(str_t id, str_t value, rt_entry_t *e, arena_t *mem,
			    char fault[OUTSIDE_FAULT_MAX]);
	/**
	 * Checks the value of an OUTSIDE_EVACUATE item. On a fault returns
	 * false and writes its text to fault.
	 */
	bool (*check_evacuation)(str_t value, char fault[OUTSIDE_FAULT_MAX]);
} outside_protocol_t;

/** Names of JSON members and keys, for protocols whose lists are JSON. */
typedef struct outside_json_names {
	const char *list;	     /**< array of the items of a list */
	const char *changes;	     /**< array of changes */
	const char *revision;	     /**< outside_items::revision */
	const char *more;	     /**< true: the list has a further page */
	const char *deleted;	     /**< true in a deleted item */
	const char *config_key;	     /**< key of the configuration */
	const char *server_prefix;   /**< before the id in a server's key */
	const char *evacuate_prefix; /**< before the name of a data centre */
	/**
	 * Reads a value from its JSON text into mem; false if it is invalid.
	 * The text may be that of any value, also one that cannot be parsed.
	 */
	bool (*value)(str_t text, str_t *value, arena_t *mem);
} outside_json_names_t;

/** Appends a key to a path, with escapes for all but letters, digits, "-._~/".
 */
void outside_append_key(GString *path, str_t key);
/** Parses a list or changes into mem; false if the body is neither. */
bool outside_read_items(const outside_json_names_t *names, str_t body,
			outside_items_t *items, arena_t *mem);
/** Classifies a key; sets the id or name (borrowed from key). */
outside_kind_t outside_key_kind(const outside_json_names_t *names, str_t key,
				str_t *id);
/** As outside_protocol_t::check_evacuation, for values that are JSON objects.
 */
bool outside_check_evacuation(str_t value, char fault[OUTSIDE_FAULT_MAX]);
/**
 * Returns whether a server's id may be sent as a header value: printable ASCII
 * characters without blanks.
 */
bool outside_is_server_id(str_t id);
/** Finds a protocol by name; NULL if there is none or the name is NULL. */
const outside_protocol_t *outside_protocol_by_name(const char *name);

#endif
