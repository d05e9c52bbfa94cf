/**
 * @file wire_scan.c
 * Checks the headers of msgpack data before the library parses it: the library
 * allocates memory for the count in a header even if fewer bytes follow.
 */
#include "libwire.h"

/* Levels of objects: the outermost object and those nested in it. */
#define MAX_DEPTH 8

/* First byte of an object: the lowest value of each range. */
#define FIXMAP 0x80
#define FIXARRAY 0x90
#define FIXSTR 0xa0
#define NIL 0xc0
#define FIRST_SIZED 0xc4 /* bin 8, the first entry of headers[] */
#define NEGATIVE_FIXINT 0xe0

/* Layout of an object by its first byte, from FIRST_SIZED to 0xdf. */
typedef struct header {
	unsigned char count_bytes; /* size of the count; 0: there is none */
	unsigned char fixed_bytes; /* data bytes that are not counted */
	unsigned char objects_per_count; /* 0: the count is in bytes */
} header_t;

static const header_t headers[NEGATIVE_FIXINT - FIRST_SIZED] = {
	/* bin 8, 16, 32 */
	{ 1, 0, 0 },
	{ 2, 0, 0 },
	{ 4, 0, 0 },
	/* ext 8, 16, 32: in no message; the decoder refuses them */
	{ 1, 1, 0 },
	{ 2, 1, 0 },
	{ 4, 1, 0 },
	/* float 32, 64; uint and int 8 to 64 */
	{ 0, 4, 0 },
	{ 0, 8, 0 },
	{ 0, 1, 0 },
	{ 0, 2, 0 },
	{ 0, 4, 0 },
	{ 0, 8, 0 },
	{ 0, 1, 0 },
	{ 0, 2, 0 },
	{ 0, 4, 0 },
	{ 0, 8, 0 },
	/* fixext 1 to 16 */
	{ 0, 2, 0 },
	{ 0, 3, 0 },
	{ 0, 5, 0 },
	{ 0, 9, 0 },
	{ 0, 17, 0 },
	/* str 8, 16, 32; array 16, 32; map 16, 32 */
	{ 1, 0, 0 },
	{ 2, 0, 0 },
	{ 4, 0, 0 },
	{ 2, 0, 1 },
	{ 4, 0, 1 },
	{ 2, 0, 2 },
	{ 4, 0, 2 },
};

/* Position in the data, and the objects that must follow. */
typedef struct scan {
	const unsigned char *p;
	size_t remaining;
	uint64_t pending[MAX_DEPTH]; /* objects to come at each depth */
	unsigned depth;
} scan_t;

static bool skip(scan_t *s, uint64_t n)
{
	if (n > s->remaining)
		return false;
	s->p += n;
	s->remaining -= (size_t)n;
	return true;
}

/* Begins n nested objects. Each takes at least one byte. */
static bool descend(scan_t *s, uint64_t n)
{
	if (n > s->remaining || s->depth + 1 >= MAX_DEPTH)
		return false;
	s->pending[++s->depth] = n;
	return true;
}

static bool scan_sized(scan_t *s, unsigned char first)
{
	const header_t *h = &headers[first - FIRST_SIZED];
	uint64_t n = 0;
	unsigned i;

	if (h->count_bytes == 0)
		return skip(s, h->fixed_bytes);
	for (i = 0; i < h->count_bytes && i < s->remaining; i++)
		n = n << 8 | s->p[i];
	if (!skip(s, h->count_bytes))
		return false;
	return h->objects_per_count ? descend(s, n * h->objects_per_count)
				    : skip(s, n + h->fixed_bytes);
}

static bool scan_object(scan_t *s)
{
	unsigned char first = *s->p;

	skip(s, 1);
	if (first < FIXMAP || first >= NEGATIVE_FIXINT)
		return true;
	if (first < FIXARRAY)
		return descend(s, 2 * (first & 0x0f));
	if (first < FIXSTR)
		return descend(s, first & 0x0f);
	if (first < NIL)
		return skip(s, first & 0x1f);
	return first < FIRST_SIZED || scan_sized(s, first);
}

bool wire_scan(const char *bytes, size_t sz)
{
	scan_t s = { .p = (const unsigned char *)bytes, .remaining = sz };

	s.pending[0] = 1;
	for (;;) {
		while (s.depth && s.pending[s.depth] == 0)
			s.depth--;
		if (s.depth == 0 && s.pending[0] == 0)
			return s.remaining == 0;
		if (s.remaining == 0)
			return false;
		s.pending[s.depth]--;
		if (!scan_object(&s))
			return false;
	}
}
