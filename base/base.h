/**
 * @file base.h
 * Small types that every package shares: length-counted strings, time,
 * a seeded random generator, an arena and a latency histogram.
 */
#ifndef BASE_H
#define BASE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Microseconds, either a length of time or a point on the boot clock. */
typedef int64_t usec_t;

#define USEC_PER_MSEC ((usec_t)1000)
#define USEC_PER_SEC ((usec_t)1000000)

/** A length-counted string; the bytes belong to someone else. */
typedef struct str {
	const char *s;
	size_t sz;
} str_t;

/** Makes a str_t of a string literal. */
#define STR(lit) ((str_t){ (lit), sizeof(lit) - 1 })
/** printf arguments for a str_t printed with "%.*s". */
#define STR_ARG(v) (int)(v).sz, ((v).s ? (v).s : "")

/** Makes a str_t of a terminated string; NULL gives the empty string. */
str_t str_of(const char *s);
/** True when both hold the same bytes. */
bool str_eq(str_t a, str_t b);
/** Orders by bytes, shorter first on a tie: below, at or above zero. */
int str_cmp(str_t a, str_t b);
/** A seeded 64-bit hash of the bytes. */
uint64_t str_hash(str_t v, uint64_t seed);
/** Copies into buf, cut to fit, and ends it with a null byte. */
const char *str_copy(char *buf, size_t sz, str_t v);

/** A copy to be freed with str_free(), with a null byte behind it. */
str_t str_dup(str_t v);
/** Frees what str_dup() made. */
void str_free(str_t v);

/** Bytes that hold an IPv4 address as text, with its null byte. */
#define ADDR_HOST_MAX 16

/** Splits IP:PORT; false if it is neither. */
bool addr_split(str_t addr, char host[ADDR_HOST_MAX], unsigned *port);

/** Allocates; ends the program with a message when memory is out. */
void *xmalloc(size_t sz);
/** Allocates n zeroed items; ends the program when memory is out. */
void *xcalloc(size_t n, size_t sz);
/** Resizes; ends the program when memory is out. */
void *xrealloc(void *p, size_t sz);

/** Blocks of memory that are freed together. */
typedef struct arena {
	struct arena_block *head;
	size_t used; /**< bytes handed out */
} arena_t;

/** Hands out sz zeroed bytes, aligned for any type. */
void *arena_alloc(arena_t *a, size_t sz);
/** Copies a string into the arena, with a null byte behind it. */
str_t arena_str(arena_t *a, str_t v);
/** Frees all that was handed out. */
void arena_free(arena_t *a);

/** A seeded generator (splitmix64): the same seed, the same numbers. */
typedef struct rng {
	uint64_t state;
} rng_t;

/** The next 64 random bits. */
uint64_t rng_next(rng_t *r);
/** A number from 0 to n - 1; n must not be 0. */
uint64_t rng_below(rng_t *r, uint64_t n);
/** A number from 0 up to, but not including, 1. */
double rng_unit(rng_t *r);

/** Objects found by an id that is never used again for another object. */
typedef struct idmap {
	struct idslot *v;
	uint32_t n;
	uint32_t room;
	uint32_t free;
	uint32_t used;
} idmap_t;

/** Adds an object and returns its id, which is never 0. */
uint64_t idmap_add(idmap_t *m, void *p);
/** The object of an id, or NULL when it was deleted. */
void *idmap_get(const idmap_t *m, uint64_t id);
/** Forgets an id; one that is not there is allowed. */
void idmap_del(idmap_t *m, uint64_t id);
/** The object in slot i, or NULL. */
void *idmap_at(const idmap_t *m, uint32_t i);
/** Frees the map, not the objects. */
void idmap_free(idmap_t *m);

/** Objects by a string. */
typedef struct strmap {
	struct strmap_slot *v;
	size_t room; /**< a power of two */
	size_t used; /**< slots that end no probe */
	size_t n;
} strmap_t;

/** The object with that key, or NULL. */
void *strmap_get(const strmap_t *m, str_t key);
/** Adds; the key must be new and its bytes must last as long as the object. */
void strmap_put(strmap_t *m, str_t key, void *p);
/** Forgets a key; one that is not there is allowed. */
void strmap_del(strmap_t *m, str_t key);
/** Frees the map, not the objects. */
void strmap_free(strmap_t *m);

#define HIST_SUB_BITS 5
#define HIST_SUB (1 << HIST_SUB_BITS)
#define HIST_RANKS 27
#define HIST_BUCKETS ((HIST_RANKS + 1) * HIST_SUB)

/**
 * Counts of times in microseconds. A quantile read back is at most
 * 1/32 above the true value; times past about 71 minutes are cut to that.
 */
typedef struct hist {
	uint32_t count[HIST_BUCKETS];
	uint64_t total;
} hist_t;

/** Counts one time. */
void hist_add(hist_t *h, usec_t v);
/** The time that a share q (0 to 1) of the counted ones do not exceed. */
usec_t hist_quantile(const hist_t *h, double q);
/** Adds all counts of one histogram to another. */
void hist_merge(hist_t *into, const hist_t *from);
/** Halves every count, so that old times weigh less. */
void hist_decay(hist_t *h);

#endif
