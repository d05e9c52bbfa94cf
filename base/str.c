/** @file str.c Strings with a length, and allocation that aborts on failure. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base.h"

str_t str_of(const char *s)
{
	return (str_t){ s, s ? strlen(s) : 0 };
}

bool str_eq(str_t a, str_t b)
{
	return a.sz == b.sz && (a.sz == 0 || memcmp(a.s, b.s, a.sz) == 0);
}

int str_cmp(str_t a, str_t b)
{
	size_t n = a.sz < b.sz ? a.sz : b.sz;
	int r = n ? memcmp(a.s, b.s, n) : 0;

	if (r)
		return r;
	return (a.sz > b.sz) - (a.sz < b.sz);
}

uint64_t str_hash(str_t v, uint64_t seed)
{
	return XXH64(v.sz ? v.s : "", v.sz, seed);
}

const char *str_copy(char *buf, size_t sz, str_t v)
{
	size_t n = v.sz < sz - 1 ? v.sz : sz - 1;

	if (n)
		memcpy(buf, v.s, n);
	buf[n] = '\0';
	return buf;
}

str_t str_dup(str_t v)
{
	char *p = xmalloc(v.sz + 1);

	str_copy(p, v.sz + 1, v);
	return (str_t){ p, v.sz };
}

void str_free(str_t v)
{
	free((char *)v.s);
}

static void out_of_memory(void)
{
	fputs("out of memory\n", stderr);
	abort();
}

void *xmalloc(size_t sz)
{
	void *p = malloc(sz ? sz : 1);

	if (!p)
		out_of_memory();
	return p;
}

void *xcalloc(size_t n, size_t sz)
{
	void *p = calloc(n ? n : 1, sz ? sz : 1);

	if (!p)
		out_of_memory();
	return p;
}

void *xrealloc(void *p, size_t sz)
{
	p = realloc(p, sz ? sz : 1);
	if (!p)
		out_of_memory();
	return p;
}
