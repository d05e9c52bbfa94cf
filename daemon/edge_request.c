/**
 * @file edge_request.c
 * What the head of a caller's request says of its destination and of the time
 * that the caller waits. What another server could read differently is refused:
 * a second Host line, a second time limit, another version (RFC 9112).
 */
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "libedge.h"

#define MAX_TIME_LEFT_MS 3600000.0

static bool refuse(request_head_t *h, unsigned status, const char *why)
{
	h->status = status;
	h->why = why;
	return false;
}

/* Counts the header lines with a name, and gets the value of the first. */
static size_t find_lines(const http_msg_t *m, const char *want, str_t *first)
{
	str_t name, value;
	size_t n = 0, i;

	*first = STR("");
	for (i = 0; http_msg_header(m, i, &name, &value); i++)
		if (http_name_equals(name, want) && n++ == 0)
			*first = value;
	return n;
}

static str_t trim(str_t v)
{
	while (v.sz && (v.s[v.sz - 1] == ' ' || v.s[v.sz - 1] == '\t'))
		v.sz--;
	return v;
}

/* Whole or decimal milliseconds, with any number of leading zeros; below 0 if
 * the text is something else. */
static double parse_ms(str_t v)
{
	/* strtod() takes hexadecimal numbers and exponents, too. */
	str_t text = str_dup(v);
	bool valid = v.sz && v.s[0] >= '0' && v.s[0] <= '9' &&
		     strspn(text.s, "0123456789.") == v.sz;
	char *end = NULL;
	double ms = valid ? strtod(text.s, &end) : -1;

	if (valid && *end)
		ms = -1;
	str_free(text);
	return ms > MAX_TIME_LEFT_MS ? -1 : ms;
}

/* Host and path of a target in absolute form, "http://HOST/PATH"; the Host line
 * does not count then (RFC 9112, section 3.2.2). False if it has another form.
 */
static bool split_absolute(str_t target, str_t *host, str_t *path)
{
	static const char *const schemes[] = { "http://", "https://" };
	const char *slash;
	size_t i, n;

	for (i = 0; i < sizeof(schemes) / sizeof(schemes[0]); i++) {
		n = strlen(schemes[i]);
		if (target.sz <= n || strncasecmp(target.s, schemes[i], n) != 0)
			continue;
		*host = (str_t){ target.s + n, target.sz - n };
		slash = memchr(host->s, '/', host->sz);
		*path = STR("/");
		if (!slash)
			return true;
		*path = (str_t){ slash,
				 (size_t)(target.s + target.sz - slash) };
		host->sz = (size_t)(slash - host->s);
		return true;
	}
	return false;
}

/* Removes the port; an IPv6 address is in brackets. */
static str_t without_port(str_t host)
{
	const char *from = host.s, *colon;

	if (host.sz && host.s[0] == '[')
		from = memchr(host.s, ']', host.sz);
	if (!from)
		return host;
	colon = memchr(from, ':', (size_t)(host.s + host.sz - from));
	if (colon)
		host.sz = (size_t)(colon - host.s);
	return host;
}

static bool read_time_left(const http_msg_t *m, const char *name,
			   request_head_t *h)
{
	size_t n;
	double ms;
	str_t v;

	n = find_lines(m, name, &v);
	if (n == 0)
		return true;
	ms = n == 1 ? parse_ms(trim(v)) : -1;
	if (ms < 0)
		return refuse(h, 400, "time_left");
	/* 0 would mean "not given": use the shortest time, 1 us. */
	h->time_left = ms > 0 ? (usec_t)(ms * (double)USEC_PER_MSEC) : 1;
	return true;
}

bool request_head_read(const http_msg_t *m, const char *time_left_name,
		       request_head_t *h)
{
	*h = (request_head_t){ .path = http_msg_target(m) };
	if (m->parser.http_major != 1)
		return refuse(h, 505, "version");
	if (find_lines(m, "Host", &h->host) != 1)
		return refuse(h, 400, "host");
	h->host = trim(h->host);
	split_absolute(h->path, &h->host, &h->path);
	h->host = without_port(h->host);
	return read_time_left(m, time_left_name, h);
}
