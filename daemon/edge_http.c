/** @file edge_http.c Reads HTTP messages with the parser library. */
#include <strings.h>

#include "libedge.h"

#define MAX_HEAD ((uint32_t)1 << 20) /* bytes; the parser's own limit */

static int on_start(http_parser *p, const char *at, size_t n);
static int on_name(http_parser *p, const char *at, size_t n);
static int on_value(http_parser *p, const char *at, size_t n);
static int on_head(http_parser *p);
static int on_body(http_parser *p, const char *at, size_t n);
static int on_done(http_parser *p);

static const http_parser_settings callbacks = {
	.on_url = on_start,
	.on_status = on_start,
	.on_header_field = on_name,
	.on_header_value = on_value,
	.on_headers_complete = on_head,
	.on_body = on_body,
	.on_message_complete = on_done,
};

void http_msg_init(http_msg_t *m, enum http_parser_type type)
{
	*m = (http_msg_t){ .head_limit = MAX_HEAD, .body_limit = MAX_REPLY };
	m->text = g_string_sized_new(512);
	m->lines = g_array_new(FALSE, FALSE, sizeof(http_line_t));
	m->body = g_string_new(NULL);
	http_msg_reset(m, type);
}

void http_msg_reset(http_msg_t *m, enum http_parser_type type)
{
	http_parser_set_max_header_size(MAX_HEAD);
	http_parser_init(&m->parser, type);
	m->parser.data = m;
	g_string_truncate(m->text, 0);
	g_string_truncate(m->body, 0);
	g_array_set_size(m->lines, 0);
	m->start_sz = 0;
	m->begun = false;
	m->head_done = false;
	m->done = false;
	m->keep = false;
	m->no_body = false;
	m->in_value = false;
	m->fault = HTTP_FAULT_NONE;
}

void http_msg_clear(http_msg_t *m)
{
	g_string_free(m->text, TRUE);
	g_string_free(m->body, TRUE);
	g_array_free(m->lines, TRUE);
}

static int fault(http_msg_t *m, http_fault_t f)
{
	if (m->fault == HTTP_FAULT_NONE)
		m->fault = f;
	return -1;
}

static int add_text(http_msg_t *m, const char *at, size_t n)
{
	/* Two bytes a line for what is not in the text. */
	if (m->text->len + n + 2 * m->lines->len > m->head_limit)
		return fault(m, HTTP_FAULT_HEAD_SIZE);
	g_string_append_len(m->text, at, (gssize)n);
	return 0;
}

static int on_start(http_parser *p, const char *at, size_t n)
{
	http_msg_t *m = p->data;

	m->start_sz += n;
	return add_text(m, at, n);
}

static http_line_t *last_line(http_msg_t *m)
{
	return &g_array_index(m->lines, http_line_t, m->lines->len - 1);
}

static int on_name(http_parser *p, const char *at, size_t n)
{
	http_msg_t *m = p->data;
	http_line_t line = { .name = m->text->len };
	size_t i;

	/* The library lets blanks pass; others would read another name. */
	for (i = 0; i < n; i++)
		if (at[i] == ' ' || at[i] == '\t')
			return fault(m, HTTP_FAULT_SYNTAX);
	if (m->lines->len == 0 || m->in_value)
		g_array_append_val(m->lines, line);
	m->in_value = false;
	last_line(m)->name_sz += n;
	return add_text(m, at, n);
}

static int on_value(http_parser *p, const char *at, size_t n)
{
	http_msg_t *m = p->data;

	if (!m->in_value)
		last_line(m)->value = m->text->len;
	m->in_value = true;
	last_line(m)->value_sz += n;
	return add_text(m, at, n);
}

static int on_head(http_parser *p)
{
	http_msg_t *m = p->data;

	m->head_done = true;
	if (p->content_length != UINT64_MAX &&
	    p->content_length > m->body_limit && !m->no_body)
		return fault(m, HTTP_FAULT_BODY_SIZE);
	return m->no_body ? 1 : 0;
}

static int on_body(http_parser *p, const char *at, size_t n)
{
	http_msg_t *m = p->data;

	if (m->body->len + n > m->body_limit)
		return fault(m, HTTP_FAULT_BODY_SIZE);
	g_string_append_len(m->body, at, (gssize)n);
	return 0;
}

static int on_done(http_parser *p)
{
	http_msg_t *m = p->data;

	m->done = true;
	m->keep = http_should_keep_alive(p);
	/* What follows belongs to another message. */
	http_parser_pause(p, 1);
	return 0;
}

bool http_msg_feed(http_msg_t *m, struct evbuffer *in)
{
	size_t n = evbuffer_get_length(in);
	const char *at;
	size_t used;

	if (n == 0 || m->done)
		return true;
	m->begun = true;
	at = (const char *)evbuffer_pullup(in, -1);
	used = http_parser_execute(&m->parser, &callbacks, at, n);
	evbuffer_drain(in, used);
	if (m->done)
		return true;
	if (m->fault != HTTP_FAULT_NONE)
		return false;
	if (HTTP_PARSER_ERRNO(&m->parser) != HPE_OK || m->parser.upgrade) {
		fault(m, HTTP_FAULT_SYNTAX);
		return false;
	}
	return true;
}

bool http_msg_eof(http_msg_t *m)
{
	if (!m->head_done || m->done)
		return m->done;
	http_parser_execute(&m->parser, &callbacks, NULL, 0);
	return m->done;
}

static str_t part(const http_msg_t *m, size_t at, size_t sz)
{
	return (str_t){ m->text->str + at, sz };
}

str_t http_msg_start(const http_msg_t *m)
{
	return part(m, 0, m->start_sz);
}

bool http_msg_line(const http_msg_t *m, size_t i, str_t *name, str_t *value)
{
	const http_line_t *l;

	if (i >= m->lines->len)
		return false;
	l = &g_array_index(m->lines, http_line_t, i);
	*name = part(m, l->name, l->name_sz);
	*value = part(m, l->value, l->value_sz);
	return true;
}

bool http_name_is(str_t name, const char *is)
{
	return name.sz == strlen(is) && strncasecmp(name.s, is, name.sz) == 0;
}

static bool find(const http_msg_t *m, const char *want, str_t *value)
{
	str_t name;
	size_t i;

	for (i = 0; http_msg_line(m, i, &name, value); i++)
		if (http_name_is(name, want))
			return true;
	*value = STR("");
	return false;
}

str_t http_msg_get(const http_msg_t *m, const char *name)
{
	str_t value;

	find(m, name, &value);
	return value;
}

bool http_msg_has(const http_msg_t *m, const char *name)
{
	str_t value;

	return find(m, name, &value);
}

/* Whether a name stands in a list with commas. */
static bool listed(str_t list, str_t name)
{
	size_t from = 0, to, end;

	while (from < list.sz) {
		for (end = from; end < list.sz && list.s[end] != ','; end++)
			;
		for (to = end; to > from && list.s[to - 1] == ' '; to--)
			;
		while (from < to && list.s[from] == ' ')
			from++;
		if (to - from == name.sz &&
		    strncasecmp(list.s + from, name.s, name.sz) == 0)
			return true;
		from = end + 1;
	}
	return false;
}

bool http_is_hop(const http_msg_t *m, str_t name)
{
	static const char *const hops[] = {
		"Connection",
		"Keep-Alive",
		"Proxy-Connection",
		"Proxy-Authenticate",
		"Proxy-Authorization",
		"TE",
		"Trailer",
		"Transfer-Encoding",
		"Upgrade",
		"Expect",
		"Content-Length",
	};
	str_t other, value;
	size_t i;

	for (i = 0; i < sizeof(hops) / sizeof(hops[0]); i++)
		if (http_name_is(name, hops[i]))
			return true;
	for (i = 0; http_msg_line(m, i, &other, &value); i++)
		if (http_name_is(other, "Connection") && listed(value, name))
			return true;
	return false;
}
