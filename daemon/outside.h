/**
 * @file outside.h
 * What the daemon needs to know of how others speak: the names of header
 * lines and the formats of published state. Each way of speaking is a row of
 * this table; the code that uses it knows none by name.
 */
#ifndef OUTSIDE_H
#define OUTSIDE_H

#include "route.h"

/** Header lines with a meaning to the daemon. */
typedef enum outside_header {
	OUTSIDE_ID,	     /**< of a request; a server's answer repeats it */
	OUTSIDE_TIME_LEFT,   /**< milliseconds that the asker still waits */
	OUTSIDE_SERVER_ID,   /**< which server is meant by a request */
	OUTSIDE_STAMP,	     /**< proof of which server ran what */
	OUTSIDE_NOT_RUN,     /**< on an answer: the request was not run */
	OUTSIDE_STAMPS,	     /**< stamps of the parts of a merged answer */
	OUTSIDE_MISSING,     /**< number of shards that are not in it */
	OUTSIDE_RETRY_AFTER, /**< seconds, may be fractions */
	OUTSIDE_HEADER_MAX,
} outside_header_t;

/** One change of published state, or one item of a list of it. */
typedef struct outside_item {
	str_t key;
	str_t value;	   /**< bytes; empty for a deleted key */
	uint64_t revision; /**< of the key's last change */
	bool deleted;
} outside_item_t;

/** A list, or the changes after a revision. */
typedef struct outside_items {
	outside_item_t *v;
	size_t n;
	uint64_t revision; /**< that the answer holds for */
	bool more;	   /**< the list goes on after the last key */
} outside_items_t;

/** What an item tells of. */
typedef enum outside_kind {
	OUTSIDE_OTHER, /**< nothing that concerns the daemon */
	OUTSIDE_CONFIG,
	OUTSIDE_SERVER,
} outside_kind_t;

#define OUTSIDE_FAULT_MAX 192 /**< bytes of the text of a fault */
#define OUTSIDE_PATH_MAX 512  /**< bytes of a path that a reader asks for */

/** One way of speaking. */
typedef struct outside {
	const char *name;
	const char *headers[OUTSIDE_HEADER_MAX];
	const char *ready_path; /**< asked for by a balancer */
	int moved_status;	/**< of a server that is not the one meant */
	/** Path of a list; after is the last key of the page before. */
	void (*list_path)(char path[OUTSIDE_PATH_MAX], str_t after,
			  bool stale_will_do);
	/** Path that waits for changes after a revision. */
	void (*watch_path)(char path[OUTSIDE_PATH_MAX], uint64_t after,
			   usec_t wait);
	/** Reads an answer to either path; false if it is not one. */
	bool (*read_items)(str_t body, outside_items_t *items, arena_t *mem);
	/** What a key tells of, and for a server its id. */
	outside_kind_t (*kind)(str_t key, str_t *server_id);
	/** Reads a configuration; NULL with a text if it has a fault. */
	rt_conf_t *(*read_config)(str_t value, char fault[OUTSIDE_FAULT_MAX]);
	/** Reads a server's entry; false with a text if it is none. */
	bool (*read_server)(str_t id, str_t value, rt_entry_t *e, arena_t *mem,
			    char fault[OUTSIDE_FAULT_MAX]);
} outside_t;

struct json_t;

/** Names in lists and changes of published state, where a row has JSON. */
typedef struct outside_form {
	const char *list;     /**< array of a list's items */
	const char *changes;  /**< array of changes */
	const char *revision; /**< that the answer holds for */
	const char *more;     /**< true: the list goes on */
	const char *deleted;  /**< true in an item that was deleted */
	const char *config_key;
	const char *server_prefix; /**< of the keys of servers */
	/** The value of an item; false if there is none. */
	bool (*value)(struct json_t *item, str_t *value, arena_t *mem);
} outside_form_t;

/** Reads a list or changes; false if the body is neither. */
bool outside_read_items(const outside_form_t *f, str_t body,
			outside_items_t *items, arena_t *mem);
/** What a key tells of, and for a server its id. */
outside_kind_t outside_kind_of(const outside_form_t *f, str_t key,
			       str_t *server_id);
/** The way of speaking with a name; NULL if there is none. */
const outside_t *outside_by_name(const char *name);

#endif
