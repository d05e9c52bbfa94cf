/** @file load_header.c Parses the header line with which a server reports its
 * load: "running,waiting,slots[,speed]". */
#include "libedge.h"

#define MAX_DIGITS 9 /* longer numbers are absurd, and could overflow */
#define MIN_FIGURES 3
#define MAX_FIGURES 4

static bool is_blank(char c)
{
	return c == ' ' || c == '\t';
}

/* Reads a number and the blanks around it from the start of the text. */
static bool read_number(str_t *text, unsigned *n)
{
	unsigned digits = 0;

	for (; text->sz && is_blank(*text->s); text->s++)
		text->sz--;
	*n = 0;
	for (; text->sz && *text->s >= '0' && *text->s <= '9'; text->s++) {
		if (++digits > MAX_DIGITS)
			return false;
		*n = *n * 10 + (unsigned)(*text->s - '0');
		text->sz--;
	}
	for (; text->sz && is_blank(*text->s); text->s++)
		text->sz--;
	return digits > 0;
}

bool load_header_parse(str_t text, rt_load_t *l)
{
	unsigned v[MAX_FIGURES] = { 0 };
	size_t n = 0;

	for (;;) {
		if (n == MAX_FIGURES || !read_number(&text, &v[n]))
			return false;
		n++;
		if (text.sz == 0)
			break;
		if (*text.s != ',')
			return false;
		text.s++;
		text.sz--;
	}
	*l = (rt_load_t){ v[0], v[1], v[2], v[3] };
	/* 0 means that the speed is not told. */
	return n >= MIN_FIGURES && (n < MAX_FIGURES || l->speed > 0);
}

load_header_t load_header_read(const http_msg_t *m, const char *name,
			       rt_load_t *l, str_t *text)
{
	str_t header, value;
	size_t found = 0, i;

	for (i = 0; http_msg_header(m, i, &header, &value); i++) {
		if (!http_name_equals(header, name))
			continue;
		*text = value;
		found++;
	}
	if (found == 0)
		return LOAD_HEADER_NONE;
	return found == 1 && load_header_parse(*text, l) ? LOAD_HEADER_VALID
							 : LOAD_HEADER_INVALID;
}
