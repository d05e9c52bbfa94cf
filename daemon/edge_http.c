/** @file edge_http.c Reads HTTP/1.1 messages with http_parser. */
#include <strings.h>

#include "libedge.h"

/* Set as http_parser's own limit. */
#define MAX_HEADER_BYTES ((uint32_t)1 << 20)
/* Bytes that chunks and their extensions add to a body: 5 to each byte of it in
 * chunks of one byte, and as many as the headers may have. */
#define CHUNK_BYTES_PER_BYTE 8
#define KEPT_BYTES ((size_t)64 << 10) /* of each buffer between messages */

static int on_start_text(http_parser *p, const char *at, size_t n);
static int on_header_name(http_parser *p, const char *at, size_t n);
static int on_header_value(http_parser *p, const char *at, size_t n);
static int on_headers_done(http_parser *p);
static int on_body(http_parser *p, const char *at, size_t n);
/* A header line and its name, to find lines by name. */
typedef struct named_line {
	str_t name;
	http_header_t *line;
} named_line_t;

size_t http_msg_memory(const http_msg_t *m)
{
	return m->text->allocated_len + m->body->allocated_len +
	       m->headers->len * sizeof(http_header_t);
}

static str_t text_at(const http_msg_t *m, size_t at, size_t sz)
{
	return (str_t){ m->text->str + at, sz };
}

static int compare_names(str_t a, str_t b)
{
	int order = strncasecmp(a.s, b.s, a.sz < b.sz ? a.sz : b.sz);

	if (order)
		return order;
	return (a.sz > b.sz) - (a.sz < b.sz);
}

static int compare_lines(const void *a, const void *b)
{
	return compare_names(((const named_line_t *)a)->name,
			     ((const named_line_t *)b)->name);
}

/* All header lines by name; the caller frees the array. */
static GArray *sort_lines(const http_msg_t *m)
{
	GArray *lines = g_array_new(FALSE, FALSE, sizeof(named_line_t));
	guint i;

	for (i = 0; i < m->headers->len; i++) {
		http_header_t *h = &g_array_index(m->headers, http_header_t, i);
		named_line_t x = { text_at(m, h->name, h->name_sz), h };

		g_array_append_val(lines, x);
	}
	g_array_sort(lines, compare_lines);
	return lines;
}

/* Marks the lines with a name as hop-by-hop. */
static void mark_lines(const GArray *sorted, str_t name)
{
	const named_line_t *v = (const named_line_t *)sorted->data;
	size_t from = 0, to = sorted->len, middle;

	while (from < to) {
		middle = from + (to - from) / 2;
		if (compare_names(v[middle].name, name) < 0)
			from = middle + 1;
		else
			to = middle;
	}
	for (; from < sorted->len && compare_names(v[from].name, name) == 0;
	     from++) {
		/* Equal lines were marked together. */
		if (v[from].line->hop_by_hop)
			break;
		v[from].line->hop_by_hop = true;
	}
}

/* Removes the first element of a comma-separated list and returns it without
 * blanks. */
static str_t next_element(str_t *list)
{
	const char *comma = memchr(list->s, ',', list->sz);
	size_t sz = comma ? (size_t)(comma - list->s) : list->sz;
	str_t v = { list->s, sz };

	sz += comma ? 1 : 0;
	*list = (str_t){ list->s + sz, list->sz - sz };
	while (v.sz && (*v.s == ' ' || *v.s == '\t'))
		v = (str_t){ v.s + 1, v.sz - 1 };
	while (v.sz && (v.s[v.sz - 1] == ' ' || v.s[v.sz - 1] == '\t'))
		v.sz--;
	return v;
}

static bool is_always_hop_by_hop(str_t name)
{
	static const char *const names[] = {
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
	size_t i;

	for (i = 0; i < sizeof(names) / sizeof(names[0]); i++)
		if (http_name_equals(name, names[i]))
			return true;
	return false;
}

/* Marks the lines that are hop-by-hop (RFC 9110, section 7.6.1). Its time must
 * not grow with lines times names in Connection: their sender chooses both. */
static void mark_hop_by_hop(http_msg_t *m)
{
	GArray *sorted = NULL;
	str_t name, list, element;
	size_t i;

	for (i = 0; http_msg_header(m, i, &name, &list); i++)
		g_array_index(m->headers, http_header_t, i).hop_by_hop =
			is_always_hop_by_hop(name);
	for (i = 0; http_msg_header(m, i, &name, &list); i++) {
		if (!http_name_equals(name, "Connection"))
			continue;
		while (list.sz) {
			element = next_element(&list);
			if (element.sz == 0 ||
			    http_name_equals(element, "close") ||
			    http_name_equals(element, "keep-alive"))
				continue;
			if (!sorted)
				sorted = sort_lines(m);
			mark_lines(sorted, element);
		}
	}
	if (sorted)
		g_array_free(sorted, TRUE);
}

static int on_message_done(http_parser *p);

static const http_parser_settings callbacks = {
	.on_url = on_start_text,
	.on_status = on_start_text,
	.on_header_field = on_header_name,
	.on_header_value = on_header_value,
	.on_headers_complete = on_headers_done,
	.on_body = on_body,
	.on_message_complete = on_message_done,
};

void http_msg_init(http_msg_t *m, enum http_parser_type type)
{
	*m = (http_msg_t){ .header_limit = MAX_HEADER_BYTES,
			   .body_limit = MAX_REPLY_BYTES };
	m->text = g_string_sized_new(512);
	m->headers = g_array_new(FALSE, FALSE, sizeof(http_header_t));
	m->body = g_string_new(NULL);
	http_msg_reset(m, type);
}

static GString *empty_text(GString *text)
{
	if (text->allocated_len <= KEPT_BYTES)
		return g_string_truncate(text, 0);
	g_string_free(text, TRUE);
	return g_string_new(NULL);
}

/* Keeps the memory for an ordinary message: a connection may stay open long
 * after a large one. */
static void empty_buffers(http_msg_t *m)
{
	m->text = empty_text(m->text);
	m->body = empty_text(m->body);
	if (m->headers->len * sizeof(http_header_t) <= KEPT_BYTES) {
		g_array_set_size(m->headers, 0);
		return;
	}
	g_array_free(m->headers, TRUE);
	m->headers = g_array_new(FALSE, FALSE, sizeof(http_header_t));
}

void http_msg_reset(http_msg_t *m, enum http_parser_type type)
{
	http_parser_set_max_header_size(MAX_HEADER_BYTES);
	http_parser_init(&m->parser, type);
	m->parser.data = m;
	empty_buffers(m);
	m->start_text_sz = 0;
	m->consumed = 0;
	m->started = false;
	m->headers_done = false;
	m->has_length = false;
	m->done = false;
	m->keep_alive = false;
	m->no_body = false;
	m->in_value = false;
	m->fault = HTTP_FAULT_NONE;
}

void http_msg_clear(http_msg_t *m)
{
	g_string_free(m->text, TRUE);
	g_string_free(m->body, TRUE);
	g_array_free(m->headers, TRUE);
}

static int set_fault(http_msg_t *m, http_fault_t f)
{
	if (m->fault == HTTP_FAULT_NONE)
		m->fault = f;
	return -1;
}

static int append_text(http_msg_t *m, const char *at, size_t n)
{
	/* Count ": " too, which the text doesn't hold: two bytes a line. */
	if (m->text->len + n + 2 * m->headers->len > m->header_limit)
		return set_fault(m, HTTP_FAULT_HEADER_SIZE);
	g_string_append_len(m->text, at, (gssize)n);
	return 0;
}

static int on_start_text(http_parser *p, const char *at, size_t n)
{
	http_msg_t *m = p->data;

	m->start_text_sz += n;
	return append_text(m, at, n);
}

static http_header_t *last_header(http_msg_t *m)
{
	return &g_array_index(m->headers, http_header_t, m->headers->len - 1);
}

static int on_header_name(http_parser *p, const char *at, size_t n)
{
	http_msg_t *m = p->data;
	http_header_t header = { .name = m->text->len };
	size_t i;

	/* http_parser accepts blanks in a name, which other servers may
	 * strip: they would see a different header. */
	for (i = 0; i < n; i++)
		if (at[i] == ' ' || at[i] == '\t')
			return set_fault(m, HTTP_FAULT_SYNTAX);
	if (m->headers->len == 0 || m->in_value) {
		if (m->headers->len == HTTP_MAX_HEADER_LINES)
			return set_fault(m, HTTP_FAULT_HEADER_LINES);
		g_array_append_val(m->headers, header);
	}
	m->in_value = false;
	last_header(m)->name_sz += n;
	return append_text(m, at, n);
}

static int on_header_value(http_parser *p, const char *at, size_t n)
{
	http_msg_t *m = p->data;

	if (!m->in_value)
		last_header(m)->value = m->text->len;
	m->in_value = true;
	last_header(m)->value_sz += n;
	return append_text(m, at, n);
}

static int on_headers_done(http_parser *p)
{
	http_msg_t *m = p->data;

	m->headers_done = true;
	m->has_length = m->no_body || (p->content_length != UINT64_MAX &&
				       !(p->flags & F_CHUNKED));
	if (p->content_length != UINT64_MAX &&
	    p->content_length > m->body_limit && !m->no_body)
		return set_fault(m, HTTP_FAULT_BODY_SIZE);
	return m->no_body ? 1 : 0;
}

static int on_body(http_parser *p, const char *at, size_t n)
{
	http_msg_t *m = p->data;

	if (m->body->len + n > m->body_limit)
		return set_fault(m, HTTP_FAULT_BODY_SIZE);
	g_string_append_len(m->body, at, (gssize)n);
	return 0;
}

static int on_message_done(http_parser *p)
{
	http_msg_t *m = p->data;

	m->done = true;
	m->keep_alive = http_should_keep_alive(p);
	mark_hop_by_hop(m);
	/* Stop here: the bytes that follow belong to the next message. */
	http_parser_pause(p, 1);
	return 0;
}

/* Whether chunk extensions make up most of what was received: their sender
 * chooses their length, and nothing else limits it. */
static bool has_long_extensions(const http_msg_t *m)
{
	return m->headers_done &&
	       m->consumed > 3 * m->header_limit +
				     (1 + CHUNK_BYTES_PER_BYTE) * m->body->len;
}

bool http_msg_feed(http_msg_t *m, struct evbuffer *in)
{
	size_t n = evbuffer_get_length(in);
	const char *at;
	size_t used;

	if (n == 0 || m->done)
		return true;
	m->started = true;
	at = (const char *)evbuffer_pullup(in, -1);
	used = http_parser_execute(&m->parser, &callbacks, at, n);
	evbuffer_drain(in, used);
	m->consumed += used;
	if (m->fault == HTTP_FAULT_NONE && has_long_extensions(m))
		set_fault(m, HTTP_FAULT_BODY_SIZE);
	else if (m->done)
		return true;
	if (m->fault != HTTP_FAULT_NONE)
		return false;
	if (HTTP_PARSER_ERRNO(&m->parser) != HPE_OK || m->parser.upgrade) {
		set_fault(m, HTTP_FAULT_SYNTAX);
		return false;
	}
	return true;
}

bool http_msg_eof(http_msg_t *m)
{
	if (!m->headers_done || m->done)
		return m->done;
	http_parser_execute(&m->parser, &callbacks, NULL, 0);
	return m->done;
}

str_t http_msg_target(const http_msg_t *m)
{
	return text_at(m, 0, m->start_text_sz);
}

bool http_msg_header(const http_msg_t *m, size_t i, str_t *name, str_t *value)
{
	const http_header_t *h;

	if (i >= m->headers->len)
		return false;
	h = &g_array_index(m->headers, http_header_t, i);
	*name = text_at(m, h->name, h->name_sz);
	*value = text_at(m, h->value, h->value_sz);
	return true;
}

bool http_name_equals(str_t name, const char *other)
{
	/* Most comparisons end here; letters differ by 0x20 from their other
	 * case. */
	if (name.sz == 0 || ((name.s[0] ^ other[0]) & ~0x20))
		return name.sz == 0 && other[0] == '\0';
	return name.sz == strlen(other) &&
	       strncasecmp(name.s, other, name.sz) == 0;
}

static bool find_header(const http_msg_t *m, const char *want, str_t *value)
{
	str_t name;
	size_t i;

	for (i = 0; http_msg_header(m, i, &name, value); i++)
		if (http_name_equals(name, want))
			return true;
	*value = STR("");
	return false;
}

str_t http_msg_get(const http_msg_t *m, const char *name)
{
	str_t value;

	find_header(m, name, &value);
	return value;
}

bool http_msg_has(const http_msg_t *m, const char *name)
{
	str_t value;

	return find_header(m, name, &value);
}

bool http_msg_forwards(const http_msg_t *m, size_t i)
{
	return !g_array_index(m->headers, http_header_t, i).hop_by_hop;
}
