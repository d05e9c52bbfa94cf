/** @file fuzz_http.c libFuzzer target for HTTP messages of callers and servers.
 */
#include <stdlib.h>

#include "libedge.h"

/* libFuzzer requires this name. NOLINTNEXTLINE */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t sz);

/* Reads what a caller of the parser would. */
static void read_message(const http_msg_t *m)
{
	str_t name, value;
	size_t i;

	for (i = 0; http_msg_header(m, i, &name, &value); i++)
		if (http_msg_forwards(m, i) &&
		    http_name_equals(name, "Connection"))
			abort();
	if (i > HTTP_MAX_HEADER_LINES || m->body->len > m->body_limit ||
	    m->text->len > m->header_limit)
		abort();
	http_msg_get(m, "Host");
	http_msg_target(m);
}

/* Feeds the bytes in two parts: the first byte is the type, the second one the
 * length of the first part. NOLINTNEXTLINE */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t sz)
{
	enum http_parser_type type;
	struct evbuffer *in;
	http_msg_t m;
	size_t part;

	if (sz < 2)
		return 0;
	type = data[0] & 1 ? HTTP_REQUEST : HTTP_RESPONSE;
	part = data[1] < sz - 2 ? data[1] : sz - 2;
	in = evbuffer_new();
	http_msg_init(&m, type);
	evbuffer_add(in, data + 2, part);
	if (http_msg_feed(&m, in)) {
		evbuffer_add(in, data + 2 + part, sz - 2 - part);
		while (http_msg_feed(&m, in) && m.done) {
			read_message(&m);
			http_msg_reset(&m, type);
		}
		if (http_msg_eof(&m))
			read_message(&m);
	}
	http_msg_memory(&m);
	http_msg_clear(&m);
	evbuffer_free(in);
	return 0;
}
