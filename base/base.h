/**
 * @file base.h
 * Basic types used by the whole project: strings with a length, time, a seeded
 * random generator, an arena allocator, maps and a latency histogram.
 */
#ifndef BASE_H
#define BASE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Microseconds: a duration, or a time read from CLOCK_BOOTTIME. */
typedef int64_t usec_t;

#define USEC_PER_MSEC ((usec_t)1000)
#define USEC_PER_SEC ((usec_t)1000000)

/**
 * A string with its length. It does not own its bytes, which need no
 * terminating NUL and may contain NUL bytes.
 */
typedef struct str {
	const char *s; /**< may be NULL if sz is 0 */
	size_t sz;     /**< bytes */
} str_t;

/** Makes a str_t of a string literal. */
#define STR(lit) ((str_t){ (lit), sizeof(lit) - 1 })
/** The printf arguments that print a str_t with "%.*s". */
#define STR_ARG(v) (int)(v).sz, ((v).s ? (v).s : "")

/** Makes a str_t of a NUL-terminated string, not copied; empty for NULL. */
str_t str_of(const char *s);
/** Whether both strings have the same length and bytes. */
bool str_eq(str_t a, str_t b);
/**
 * Compares by bytes; a prefix sorts before a longer string. Returns a number
 * below, equal to or above 0, as memcmp() does.
 */
int str_cmp(str_t a, str_t b);
/** The 64-bit XXH64 hash of the bytes with a seed. */
uint64_t str_hash(str_t v, uint64_t seed);
/**
 * Copies v to buf, truncated to sz - 1 bytes, and adds a NUL; sz must not be 0.
 * Returns buf.
 */
const char *str_copy(char *buf, size_t sz, str_t v);

/** A NUL-terminated copy, to be freed with str_free(). */
str_t str_dup(str_t v);
/** Frees a string that str_dup() returned; v.s may be NULL. */
void str_free(str_t v);

/** Bytes of the text of an IPv4 address, including the NUL. */
#define ADDR_HOST_MAX 16

/**
 * Splits "IP:PORT" into a NUL-terminated IPv4 address and a port from 1 to
 * 65535. Returns false, with both outputs unchanged, if addr has another form.
 */
bool addr_split(str_t addr, char host[ADDR_HOST_MAX], unsigned *port);

/** malloc() that aborts the program with a message when out of memory. */
void *xmalloc(size_t sz);
/** calloc() that aborts the program with a message when out of memory. */
void *xcalloc(size_t n, size_t sz);
/** realloc() that aborts the program with a message when out of memory. */
void *xrealloc(void *p, size_t sz);

/** An allocator whose memory is freed all at once; zero-initialized: empty. */
typedef struct arena {
	struct arena_block *head; /**< the block that was added last */
	size_t used; /**< bytes allocated, rounded up for alignment */
} arena_t;

/** Allocates sz zeroed bytes, aligned for any type; never NULL. */
void *arena_alloc(arena_t *a, size_t sz);
/** A NUL-terminated copy of a string, allocated in the arena. */
str_t arena_str(arena_t *a, str_t v);
/** Frees all memory of the arena, which is empty and usable after that. */
void arena_free(arena_t *a);
/** As arena_free(), but keeps a single block of the usual size for reuse. */
void arena_reset(arena_t *a);

/**
 * A pseudo-random generator (splitmix64): equal seeds give equal sequences.
 * Not for cryptography.
 */
typedef struct rng {
	uint64_t state; /**< initialized with the seed */
} rng_t;

/** The next 64 pseudo-random bits. */
uint64_t rng_next(rng_t *r);
/** A pseudo-random number from 0 to n - 1; n must not be 0. */
uint64_t rng_below(rng_t *r, uint64_t n);
/** A pseudo-random number that is at least 0 and below 1. */
double rng_unit(rng_t *r);

/**
 * A map from ids to objects, which it does not own. The id of a deleted object
 * is not given to a later object: an id contains the generation of its slot.
 * Zero-initialized: empty.
 */
typedef struct idmap {
	struct idmap_slot *v;
	uint32_t nslots;     /**< initialized slots, including deleted ones */
	uint32_t capacity;   /**< allocated slots */
	uint32_t first_free; /**< index of the deleted slot to reuse next */
	uint32_t count;	     /**< objects in the map */
} idmap_t;

/** Adds an object, not NULL, and returns its id, which is never 0. */
uint64_t idmap_add(idmap_t *m, void *p);
/** The object of an id; NULL if it was deleted or the id is unknown. */
void *idmap_get(const idmap_t *m, uint64_t id);
/** Removes an id from the map; an unknown id is ignored. */
void idmap_del(idmap_t *m, uint64_t id);
/** The object in slot i; NULL if it was deleted or i >= m->nslots. */
void *idmap_at(const idmap_t *m, uint32_t i);
/** Frees the map, but not the objects, and leaves it empty. */
void idmap_free(idmap_t *m);

/**
 * A hash map from strings to objects; it owns neither keys nor objects.
 * Zero-initialized: empty.
 */
typedef struct strmap {
	struct strmap_slot *v;
	size_t capacity; /**< allocated slots, a power of two */
	size_t occupied; /**< slots in use or deleted */
	size_t count;	 /**< objects in the map */
} strmap_t;

/** The object of a key, or NULL if the key is not in the map. */
void *strmap_get(const strmap_t *m, str_t key);
/**
 * Adds an object, not NULL. The key must not be in the map, and its bytes must
 * stay valid until strmap_del() or strmap_free().
 */
void strmap_put(strmap_t *m, str_t key, void *p);
/** Removes a key from the map; an unknown key is ignored. */
void strmap_del(strmap_t *m, str_t key);
/** Frees the map, but not the objects, and leaves it empty. */
void strmap_free(strmap_t *m);

#define HIST_SUB_BITS 5
/** Buckets of equal width per power of two. */
#define HIST_SUB_BUCKETS (1 << HIST_SUB_BITS)
/** Powers of two that have HIST_SUB_BUCKETS buckets each. */
#define HIST_OCTAVES 27
/** All buckets: the values below HIST_SUB_BUCKETS have one each. */
#define HIST_BUCKETS ((HIST_OCTAVES + 1) * HIST_SUB_BUCKETS)

/**
 * A log-linear histogram of durations in microseconds. A quantile is at most
 * 1/32 above the true value; durations above about 71 minutes (2^32 us) are
 * counted in the last bucket. Zero-initialized: empty.
 */
typedef struct hist {
	uint32_t count[HIST_BUCKETS];
	uint64_t total; /**< sum of all counts */
} hist_t;

/** Counts one duration; a negative one counts as 0. */
void hist_add(hist_t *h, usec_t v);
/** The q-quantile (q from 0 to 1) of the durations; 0 if there are none. */
usec_t hist_quantile(const hist_t *h, double q);
/** Adds the counts of from to those of into. */
void hist_merge(hist_t *into, const hist_t *from);
/** Halves every count, rounded down, so that older durations weigh less. */
void hist_decay(hist_t *h);

#endif
