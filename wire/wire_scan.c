/**
 * @file wire_scan.c
 * Looks through the headers of msgpack before the library reads it: the
 * library allocates what a header counts, however few bytes follow.
 */
#include "libwire.h"

#define MAX_DEPTH 8
#define FIXMAP 0x80
#define FIXARRAY 0x90
#define FIXSTR 0xa0
#define NIL 0xc0
#define FIRST_SIZED 0xc4 /* bin 8, the first with a size behind it */
#define NEGATIVE 0xe0

/* What a first byte from FIRST_SIZED to 0xdf says. */
typedef struct header {
	unsigned char width; /* bytes of the count behind it */
	unsigned char fixed; /* bytes of data, if there is no count */
	unsigned char items; /* objects for each count; 0: bytes */
} header_t;

static const header_t headers[NEGATIVE - FIRST_SIZED] = {
	/* bin 8, 16, 32 */
	{ 1, 0, 0 },
	{ 2, 0, 0 },
	{ 4, 0, 0 },
	/* ext 8, 16, 32: no message has one; the decoder refuses them */
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

/* Objects that are still to come at each depth. */
typedef struct scan {
	const unsigned char *p;
	size_t left;
	uint64_t open[MAX_DEPTH];
	unsigned depth;
} scan_t;

static bool skip(scan_t *s, uint64_t n)
{
	if (n > s->left)
		return false;
	s->p += n;
	s->left -= (size_t)n;
	return true;
}

/* Each object takes a byte at least. */
static bool enter(scan_t *s, uint64_t n)
{
	if (n > s->left || s->depth + 1 >= MAX_DEPTH)
		return false;
	s->open[++s->depth] = n;
	return true;
}

static bool take_sized(scan_t *s, unsigned char first)
{
	const header_t *h = &headers[first - FIRST_SIZED];
	uint64_t n = 0;
	unsigned i;

	if (h->width == 0)
		return skip(s, h->fixed);
	for (i = 0; i < h->width && i < s->left; i++)
		n = n << 8 | s->p[i];
	if (!skip(s, h->width))
		return false;
	return h->items ? enter(s, n * h->items) : skip(s, n + h->fixed);
}

static bool take_object(scan_t *s)
{
	unsigned char first = *s->p;

	skip(s, 1);
	if (first < FIXMAP || first >= NEGATIVE)
		return true;
	if (first < FIXARRAY)
		return enter(s, 2 * (first & 0x0f));
	if (first < FIXSTR)
		return enter(s, first & 0x0f);
	if (first < NIL)
		return skip(s, first & 0x1f);
	return first < FIRST_SIZED || take_sized(s, first);
}

bool wire_scan(const char *bytes, size_t sz)
{
	scan_t s = { .p = (const unsigned char *)bytes, .left = sz };

	s.open[0] = 1;
	for (;;) {
		while (s.depth && s.open[s.depth] == 0)
			s.depth--;
		if (s.depth == 0 && s.open[0] == 0)
			return s.left == 0;
		if (s.left == 0)
			return false;
		s.open[s.depth]--;
		if (!take_object(&s))
			return false;
	}
}
