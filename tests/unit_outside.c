/** @file unit_outside.c Tests of HTTP, external protocols and the fleet. */
#include <CUnit/CUnit.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "fleet.h"
#include "libedge.h"
#include "unit.h"

#define START (100 * USEC_PER_SEC)
#define APPLY_TIME (3 * USEC_PER_SEC)

static const outside_protocol_t *platform_protocol(void)
{
	return outside_protocol_by_name("platform");
}

/* Requests of which all bytes come at once: complete or not, the fault, and how
 * many bytes are left in the buffer. */
static void test_http(void)
{
	static const struct {
		const char *bytes;
		http_fault_t fault;
		bool done;
		size_t left;
		const char *body;
	} cases[] = {
		{ "GET /a HTTP/1.1\r\nHost: h\r\n\r\n", 0, true, 0, "" },
		{ "GET /a HTTP/1.1\r\nHost: h\r\n", 0, false, 0, "" },
		{ "POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcGET", 0, true,
		  3, "abc" },
		{ "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
		  "3\r\nabc\r\n0\r\n\r\nX",
		  0, true, 1, "abc" },
		{ "POST / HTTP/1.1\r\nContent-Length: 3\r\n"
		  "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		  HTTP_FAULT_SYNTAX, false, 0, "" },
		{ "POST / HTTP/1.1\r\nContent-Length: 3\r\n"
		  "Content-Length: 4\r\n\r\nabcd",
		  HTTP_FAULT_SYNTAX, false, 0, "" },
		{ "POST / HTTP/1.1\r\nContent-Length : 3\r\n\r\nabc",
		  HTTP_FAULT_SYNTAX, false, 0, "" },
		{ "POST / HTTP/1.1\r\nContent-Length: -3\r\n\r\nabc",
		  HTTP_FAULT_SYNTAX, false, 0, "" },
		{ "nonsense\r\n\r\n", HTTP_FAULT_SYNTAX, false, 0, "" },
		{ "POST / HTTP/1.1\r\nContent-Length: 100\r\n\r\n",
		  HTTP_FAULT_BODY_SIZE, false, 0, "" },
		{ "GET / HTTP/1.1\r\nA: "
		  "0123456789012345678901234567890123456789"
		  "0123456789012345678901234567890123456789"
		  "0123456789012345678901234567890123456789\r\n\r\n",
		  HTTP_FAULT_HEADER_SIZE, false, 0, "" },
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct evbuffer *in = evbuffer_new();
		http_msg_t m;
		bool ok;

		http_msg_init(&m, HTTP_REQUEST);
		m.header_limit = 120;
		m.body_limit = 50;
		evbuffer_add(in, cases[i].bytes, strlen(cases[i].bytes));
		ok = http_msg_feed(&m, in);
		CU_ASSERT_EQUAL(ok, cases[i].fault == HTTP_FAULT_NONE);
		CU_ASSERT_EQUAL(m.fault, cases[i].fault);
		CU_ASSERT_EQUAL(m.done, cases[i].done);
		CU_ASSERT_STRING_EQUAL(m.body->str, cases[i].body);
		if (ok)
			CU_ASSERT_EQUAL(evbuffer_get_length(in), cases[i].left);
		http_msg_clear(&m);
		evbuffer_free(in);
	}
}

/* A request whose bytes come one by one. */
static void test_http_byte_by_byte(void)
{
	static const char bytes[] = "POST /p?q HTTP/1.1\r\nHost: h\r\n"
				    "X-A: one\r\nContent-Length: 2\r\n\r\nhi";
	struct evbuffer *in = evbuffer_new();
	http_msg_t m;
	size_t i;

	http_msg_init(&m, HTTP_REQUEST);
	for (i = 0; i < sizeof(bytes) - 1; i++) {
		CU_ASSERT_FALSE(m.done);
		evbuffer_add(in, bytes + i, 1);
		CU_ASSERT(http_msg_feed(&m, in));
	}
	CU_ASSERT(m.done);
	CU_ASSERT(str_eq(http_msg_target(&m), STR("/p?q")));
	CU_ASSERT(str_eq(http_msg_get(&m, "x-a"), STR("one")));
	CU_ASSERT_STRING_EQUAL(m.body->str, "hi");
	http_msg_clear(&m);
	evbuffer_free(in);
}

/* An answer without a length is complete when the connection is closed; one
 * with a length or in chunks is not, if bytes are missing. */
static void test_http_eof(void)
{
	static const struct {
		const char *bytes;
		bool complete;
	} cases[] = {
		{ "HTTP/1.1 200 OK\r\n\r\nabc", true },
		{ "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc", false },
		{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		  "5\r\nabc",
		  false },
		{ "HTTP/1.1 200", false },
		{ "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", true },
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct evbuffer *in = evbuffer_new();
		http_msg_t m;

		http_msg_init(&m, HTTP_RESPONSE);
		evbuffer_add(in, cases[i].bytes, strlen(cases[i].bytes));
		CU_ASSERT(http_msg_feed(&m, in));
		CU_ASSERT_EQUAL(http_msg_eof(&m), cases[i].complete);
		http_msg_clear(&m);
		evbuffer_free(in);
	}
}

/* Guards against requests that another server could read differently, and
 * against proper ones that are refused. */
static void test_request_heads(void)
{
	static const struct {
		const char *bytes;
		unsigned status; /* 0: accepted */
		const char *host;
		const char *path;
		usec_t time_left;
	} cases[] = {
		{ "GET /a?b HTTP/1.1\r\nHost: h:80\r\n\r\n", 0, "h", "/a?b",
		  0 },
		{ "GET /a HTTP/1.0\r\nHost: h\r\n\r\n", 0, "h", "/a", 0 },
		{ "GET /a HTTP/1.1\r\nHost: [::1]:80\r\n\r\n", 0, "[::1]", "/a",
		  0 },
		{ "GET /a HTTP/1.1\r\nHost: h \t\r\nT: 5 \r\n\r\n", 0, "h",
		  "/a", 5000 },
		{ "GET http://x:1/a?b HTTP/1.1\r\nHost: h\r\n\r\n", 0, "x",
		  "/a?b", 0 },
		{ "GET HTTPS://x HTTP/1.1\r\nHost: h\r\n\r\n", 0, "x", "/", 0 },
		{ "GET /a HTTP/1.1\r\nHost: h\r\nT: 0.5\r\n\r\n", 0, "h", "/a",
		  500 },
		{ "GET /a HTTP/1.1\r\nHost: h\r\nT: 0\r\n\r\n", 0, "h", "/a",
		  1 },
		{ "GET /a HTTP/9.9\r\nHost: h\r\n\r\n", 505, "", "", 0 },
		{ "GET /a HTTP/1.1\r\n\r\n", 400, "", "", 0 },
		{ "GET /a HTTP/1.1\r\nHost: h\r\nhost: h\r\n\r\n", 400, "", "",
		  0 },
		{ "GET /a HTTP/1.1\r\nHost: h\r\nT: 5\r\nT: 5\r\n\r\n", 400, "",
		  "", 0 },
		{ "GET /a HTTP/1.1\r\nHost: h\r\nT: 0x10\r\n\r\n", 400, "", "",
		  0 },
		{ "GET /a HTTP/1.1\r\nHost: h\r\nT: 1e3\r\n\r\n", 400, "", "",
		  0 },
		{ "GET /a HTTP/1.1\r\nHost: h\r\nT: +5\r\n\r\n", 400, "", "",
		  0 },
		{ "GET /a HTTP/1.1\r\nHost: h\r\nT: 1.2.3\r\n\r\n", 400, "", "",
		  0 },
		{ "GET /a HTTP/1.1\r\nHost: h\r\nT: 3600001\r\n\r\n", 400, "",
		  "", 0 },
		{ "GET /a HTTP/1.1\r\nHost: h\r\nT:\r\n\r\n", 400, "", "", 0 },
	};
	request_head_t h;
	http_msg_t m;
	size_t i;
	bool ok;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct evbuffer *in = evbuffer_new();

		http_msg_init(&m, HTTP_REQUEST);
		evbuffer_add(in, cases[i].bytes, strlen(cases[i].bytes));
		CU_ASSERT(http_msg_feed(&m, in));
		ok = request_head_read(&m, "T", &h);
		if (ok != (cases[i].status == 0))
			printf("\n  request %zu: status %u\n", i, h.status);
		CU_ASSERT_EQUAL(ok, cases[i].status == 0);
		CU_ASSERT_EQUAL(h.status, cases[i].status);
		if (ok) {
			CU_ASSERT(str_eq(h.host, str_of(cases[i].host)));
			CU_ASSERT(str_eq(h.path, str_of(cases[i].path)));
			CU_ASSERT_EQUAL(h.time_left, cases[i].time_left);
		}
		http_msg_clear(&m);
		evbuffer_free(in);
	}
}

/* Guards against chunk extensions without end, which no limit of the body
 * counts, and against small chunks that are refused. */
static void test_chunk_extensions(void)
{
	static const struct {
		size_t extension; /* bytes, in each chunk of one byte */
		size_t chunks;
		bool accepted;
	} cases[] = {
		{ 0, 10000, true },
		{ 1000, 10, true },
		{ 100000, 1, false },
		{ 1000, 100, false },
	};
	size_t i, k;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct evbuffer *in = evbuffer_new();
		char *extension = g_strnfill(cases[i].extension, 'x');
		http_msg_t m;

		http_msg_init(&m, HTTP_REQUEST);
		m.header_limit = 16384;
		evbuffer_add_printf(in, "POST / HTTP/1.1\r\nHost: h\r\n"
					"Transfer-Encoding: chunked\r\n\r\n");
		for (k = 0; k < cases[i].chunks; k++)
			evbuffer_add_printf(in, "1%s%s\r\nx\r\n",
					    cases[i].extension ? ";" : "",
					    extension);
		evbuffer_add_printf(in, "0\r\n\r\n");
		CU_ASSERT_EQUAL(http_msg_feed(&m, in), cases[i].accepted);
		http_msg_clear(&m);
		g_free(extension);
		evbuffer_free(in);
	}
}

/* Which lines of a message are forwarded. */
static void test_hop_by_hop(void)
{
	static const char bytes[] =
		"GET / HTTP/1.1\r\nHost: h\r\n"
		"connection: close, X-Mine,,\tX-last \r\n"
		"X-Mine: 1\r\nx-mine: 2\r\nX-Other: 3\r\nX-Mine-Too: 4\r\n"
		"Keep-Alive: 5\r\nTE: 6\r\nX-Last: 7\r\n"
		"Connection: X-Other2\r\nX-Other2: 8\r\n\r\n";
	static const struct {
		const char *name;
		bool forwarded;
	} cases[] = {
		{ "Host", true },	 { "connection", false },
		{ "X-Mine", false },	 { "x-mine", false },
		{ "X-Other", true },	 { "X-Mine-Too", true },
		{ "Keep-Alive", false }, { "TE", false },
		{ "X-Last", false },	 { "Connection", false },
		{ "X-Other2", false },
	};
	struct evbuffer *in = evbuffer_new();
	str_t name, value;
	http_msg_t m;
	size_t i;

	http_msg_init(&m, HTTP_REQUEST);
	evbuffer_add(in, bytes, sizeof(bytes) - 1);
	CU_ASSERT(http_msg_feed(&m, in));
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		CU_ASSERT(http_msg_header(&m, i, &name, &value));
		CU_ASSERT(str_eq(name, str_of(cases[i].name)));
		CU_ASSERT_EQUAL(http_msg_forwards(&m, i), cases[i].forwarded);
	}
	CU_ASSERT_FALSE(http_msg_header(&m, i, &name, &value));
	http_msg_clear(&m);
	evbuffer_free(in);
}

/* Appends n short header lines, each named in a Connection line before. */
static void append_lines(struct evbuffer *in, size_t n)
{
	size_t i;

	evbuffer_add_printf(in, "HTTP/1.1 200 OK\r\nConnection: close");
	for (i = 0; i < n; i++)
		evbuffer_add_printf(in, ",a%zu", i);
	for (i = 0; i < n - 1; i++)
		evbuffer_add_printf(in, "\r\na%zu:", i);
	evbuffer_add_printf(in, "\r\nContent-Length: 0\r\n\r\n");
}

/* Processor time to read a message with n + 1 header lines, the least of some.
 */
static double read_time(size_t n)
{
	enum { TRIES = 9 };
	struct evbuffer *in = evbuffer_new();
	double least = 0;
	http_msg_t m;
	int i;

	http_msg_init(&m, HTTP_RESPONSE);
	for (i = 0; i < TRIES; i++) {
		clock_t from;
		double t;

		append_lines(in, n);
		http_msg_reset(&m, HTTP_RESPONSE);
		from = clock();
		CU_ASSERT(http_msg_feed(&m, in) && m.done);
		t = (double)(clock() - from);
		least = i && least < t ? least : t;
	}
	http_msg_clear(&m);
	evbuffer_free(in);
	return least;
}

/* Guards against time that grows with the square of the number of lines: of
 * four times as many it would be 16 times as much. */
static void test_many_lines(void)
{
	enum { FEW = 1000, MANY = 4000 };
	static const struct {
		size_t lines;
		http_fault_t fault;
	} cases[] = {
		{ HTTP_MAX_HEADER_LINES, HTTP_FAULT_NONE },
		{ HTTP_MAX_HEADER_LINES + 1, HTTP_FAULT_HEADER_LINES },
		{ 131000, HTTP_FAULT_HEADER_LINES },
	};
	http_msg_t m;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct evbuffer *in = evbuffer_new();

		http_msg_init(&m, HTTP_RESPONSE);
		append_lines(in, cases[i].lines - 1);
		CU_ASSERT_EQUAL(http_msg_feed(&m, in),
				cases[i].fault == HTTP_FAULT_NONE);
		CU_ASSERT_EQUAL(m.fault, cases[i].fault);
		http_msg_clear(&m);
		evbuffer_free(in);
	}
	CU_ASSERT(read_time(MANY) < 8 * read_time(FEW));
}

#define OWN_ENTRY(addr, slots, leaving, incarnation)                           \
	"{\"service\":\"s\",\"addr\":" addr ",\"data_centre\":\"z\","          \
	"\"slots\":" slots ",\"leaving\":" leaving ",\"warm_ms\":0,"           \
	"\"incarnation\":" incarnation ",\"report\":4}"

#define PLATFORM_ENTRY(addr, slots, warm)                                      \
	"{\"service\":\"s\",\"address\":\"" addr                               \
	"\",\"zone\":\"z\",\"slots\":" slots                                   \
	",\"state\":\"ready\",\"warmupLeftMs\":" warm ",\"seq\":4}"

static void test_platform_entries(void)
{
	static const struct {
		const char *text;
		bool ok;
	} cases[] = {
		{ "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":"
		  "\"z\",\"slots\":3,\"state\":\"ready\",\"warmupLeftMs\":0,"
		  "\"seq\":4,\"born\":17}",
		  true },
		{ "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":"
		  "\"z\",\"slots\":3,\"state\":\"odd\",\"warmupLeftMs\":0}",
		  false },
		{ "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":"
		  "\"z\",\"slots\":\"3\",\"state\":\"ready\","
		  "\"warmupLeftMs\":0}",
		  false },
		{ "{\"service\":\"s\",\"address\":\"nowhere\",\"zone\":\"z\","
		  "\"slots\":3,\"state\":\"ready\",\"warmupLeftMs\":0}",
		  false },
		{ "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":"
		  "\"z\",\"slots\":3,\"state\":\"ready\",\"warmupLeftMs\":0,"
		  "\"born\":1.5}",
		  false },
		{ PLATFORM_ENTRY("10.0.0.1:0", "3", "0"), false },
		{ PLATFORM_ENTRY("10.0.0.1:65535", "3", "0"), true },
		{ PLATFORM_ENTRY("10.0.0.1:65536", "3", "0"), false },
		{ PLATFORM_ENTRY("10.0.0.1:99999999999999999999", "3", "0"),
		  false },
		{ PLATFORM_ENTRY("10.0.0.1:80", "99999999999999999999", "0"),
		  false },
		{ PLATFORM_ENTRY("10.0.0.1:80", "4294967297", "0"), false },
		{ PLATFORM_ENTRY("10.0.0.1:80", "-1", "0"), false },
		{ PLATFORM_ENTRY("10.0.0.1:80", "3", "1e999"), false },
		{ PLATFORM_ENTRY("10.0.0.1:80", "3", "1e300"), false },
		{ "{\"service\":7}", false },
		{ "[]", false },
		{ "\xff\xfe", false },
		{ "", false },
	};
	char fault[OUTSIDE_FAULT_MAX];
	arena_t mem = { 0 };
	rt_entry_t e;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		fault[0] = '\0';
		CU_ASSERT_EQUAL(platform_protocol()->read_server(
					STR("i-1"), str_of(cases[i].text), &e,
					&mem, fault),
				cases[i].ok);
		CU_ASSERT_EQUAL(fault[0] == '\0', cases[i].ok);
	}
	platform_protocol()->read_server(STR("i-1"), str_of(cases[0].text), &e,
					 &mem, fault);
	CU_ASSERT_EQUAL(e.slots, 3);
	CU_ASSERT_EQUAL(e.incarnation, 17);
	CU_ASSERT_FALSE(e.draining);
	arena_free(&mem);
}

/* Entries of servers in the project's own protocol. */
static void test_own_entries(void)
{
	static const struct {
		const char *text;
		const char *bad; /* text in the fault; NULL: no fault */
	} cases[] = {
		{ OWN_ENTRY("\"10.0.0.1:80\"", "3", "true", "17"), NULL },
		{ OWN_ENTRY("\"nowhere\"", "3", "true", "17"), "addr" },
		{ OWN_ENTRY("\"10.0.0.1:65536\"", "3", "true", "17"), "addr" },
		{ OWN_ENTRY("\"10.0.0.1:80\"", "4294967297", "true", "17"),
		  "slots" },
		{ OWN_ENTRY("\"10.0.0.1:80\"", "3", "true", "1e99"),
		  "incarnation" },
		{ OWN_ENTRY("\"10.0.0.1:80\"", "0", "true", "17"), "slots" },
		{ OWN_ENTRY("\"10.0.0.1:80\"", "3", "1", "17"), "leaving" },
		{ OWN_ENTRY("\"10.0.0.1:80\"", "3", "true", "1.5"),
		  "incarnation" },
		{ "{\"service\":7}", "service" },
		{ "[]", "entry" },
		{ "\xff\xfe", "entry" },
		{ "", "entry" },
	};
	const outside_protocol_t *own = outside_protocol_by_name("own");
	char fault[OUTSIDE_FAULT_MAX];
	arena_t mem = { 0 };
	rt_entry_t e;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		fault[0] = '\0';
		CU_ASSERT_EQUAL(own->read_server(STR("i-1"),
						 str_of(cases[i].text), &e,
						 &mem, fault),
				cases[i].bad == NULL);
		CU_ASSERT(cases[i].bad ? strstr(fault, cases[i].bad) != NULL
				       : fault[0] == '\0');
	}
	own->read_server(STR("i-1"), str_of(cases[0].text), &e, &mem, fault);
	CU_ASSERT_EQUAL(e.slots, 3);
	CU_ASSERT_EQUAL(e.incarnation, 17);
	CU_ASSERT_EQUAL(e.report, 4);
	CU_ASSERT(e.draining);
	CU_ASSERT(str_eq(e.dc, STR("z")));
	arena_free(&mem);
}

#define LIMITS                                                                 \
	"\"limits\":{\"maxHeaderBytes\":100,\"maxBodyBytes\":200,"             \
	"\"headerTimeoutMs\":300,\"idleTimeoutMs\":400}"
#define SERVICES                                                               \
	"\"services\":[{\"name\":\"a\",\"maxConnections\":31},"                \
	"{\"name\":\"b\",\"maxConnections\":31}],"
#define ROUTE(more)                                                            \
	"{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"H.ex\","        \
	"\"prefix\":\"/p/\",\"routeType\":\"idempotent\","                     \
	"\"timeoutMs\":800,\"targetLatencyMs\":200,\"priority\":1," more       \
	"}]," SERVICES LIMITS "}"

static void test_configs(void)
{
	static const struct {
		const char *text;
		bool ok;
		rt_mode_t mode;
		size_t ntargets;
	} cases[] = {
		{ ROUTE("\"service\":\"a\",\"maxAttempts\":2"), true,
		  RT_ONE_SERVICE, 1 },
		{ ROUTE("\"gather\":[\"a\",\"b\"],\"maxAttempts\":2,"
			"\"topK\":5,\"oldestVersion\":0.75"),
		  true, RT_SHARDS, 2 },
		{ ROUTE("\"backends\":[{\"service\":\"a\",\"weight\":30},"
			"{\"service\":\"b\",\"weight\":70}]"),
		  true, RT_ONE_SERVICE, 2 },
		{ ROUTE("\"backends\":[{\"service\":\"a\",\"weight\":0.9},"
			"{\"service\":\"b\",\"weight\":0.1}]"),
		  true, RT_ONE_SERVICE, 2 },
		{ ROUTE("\"backends\":[{\"service\":\"a\",\"weight\":0},"
			"{\"service\":\"b\",\"weight\":0}]"),
		  false, 0, 0 },
		{ ROUTE("\"service\":\"nowhere\""), false, 0, 0 },
		{ ROUTE("\"gather\":[\"a\",7],\"topK\":5"), false, 0, 0 },
		{ ROUTE("\"maxAttempts\":2"), false, 0, 0 },
		{ "{}", false, 0, 0 },
		{ "7", false, 0, 0 },
		{ "", false, 0, 0 },
	};
	char fault[OUTSIDE_FAULT_MAX];
	rt_conf_t *c;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		fault[0] = '\0';
		c = platform_protocol()->read_config(str_of(cases[i].text),
						     fault);
		CU_ASSERT_EQUAL(c != NULL, cases[i].ok);
		CU_ASSERT_EQUAL(fault[0] == '\0', cases[i].ok);
		if (c) {
			CU_ASSERT_EQUAL(c->revision, 7);
			CU_ASSERT_EQUAL(c->routes[0].mode, cases[i].mode);
			CU_ASSERT_EQUAL(c->routes[0].ntargets,
					cases[i].ntargets);
			CU_ASSERT(str_eq(c->routes[0].host, STR("h.ex")));
			CU_ASSERT_EQUAL(c->limits.idle_timeout,
					400 * USEC_PER_MSEC);
		}
		rt_conf_unref(c);
	}
}

static void test_items(void)
{
	static const struct {
		const char *text;
		bool ok;
		size_t n;
	} cases[] = {
		{ "{\"items\":[{\"key\":\"k\",\"value\":\"aGk=\","
		  "\"revision\":5,\"created\":1,\"lease\":0}],"
		  "\"hasMore\":true,\"atRev\":9}",
		  true, 1 },
		{ "{\"events\":[{\"key\":\"k\",\"revision\":6,"
		  "\"tombstone\":true}],\"atRev\":9}",
		  true, 1 },
		{ "{\"events\":[],\"atRev\":9}", true, 0 },
		{ "{\"events\":[{\"key\":\"k\"}],\"atRev\":9}", false, 0 },
		/* A key that cannot be read costs only its own item. */
		{ "{\"events\":[{\"key\":\"a\\u0000\",\"revision\":6},"
		  "{\"key\":\"k\",\"value\":\"\",\"revision\":6}],"
		  "\"atRev\":9}",
		  true, 1 },
		{ "{\"events\":[{\"key\":7,\"revision\":6}],\"atRev\":9}",
		  false, 0 },
		{ "{\"events\":[]}", false, 0 },
		{ "[]", false, 0 },
		{ "{\"events\":", false, 0 },
	};
	outside_items_t items;
	arena_t mem = { 0 };
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		CU_ASSERT_EQUAL(platform_protocol()->read_items(
					str_of(cases[i].text), &items, &mem),
				cases[i].ok);
		if (cases[i].ok) {
			CU_ASSERT_EQUAL(items.n, cases[i].n);
			CU_ASSERT_EQUAL(items.revision, 9);
		}
	}
	platform_protocol()->read_items(str_of(cases[0].text), &items, &mem);
	CU_ASSERT(str_eq(items.v[0].value, STR("hi")));
	CU_ASSERT(items.more);
	arena_free(&mem);
}

/* Values with and without escapes, and such that aren't strings. */
static void test_item_values(void)
{
	static const struct {
		const char *json;
		const char *value;
	} cases[] = {
		{ "\"aGk/Pz8=\"", "hi?\?\?" },
		{ "\"aGk\\/Pz8=\"", "hi?\?\?" },
		{ "\"aG\\u006b=\"", "hi" },
		{ "\"\"", "" },
		{ "7", "" },
		{ "{\"a\":\"aGk=\"}", "" },
	};
	outside_items_t items;
	arena_t mem = { 0 };
	char text[160];
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		snprintf(text, sizeof(text),
			 "{\"items\":[{\"key\":\"k\",\"value\":%s,"
			 "\"revision\":5}],\"atRev\":9}",
			 cases[i].json);
		CU_ASSERT_FATAL(platform_protocol()->read_items(str_of(text),
								&items, &mem));
		CU_ASSERT(str_eq(items.v[0].value, str_of(cases[i].value)));
		arena_free(&mem);
	}
}

/* Counts a change as 1 and a deletion as 100. */
static void on_changed(void *arg, const fleet_item_t *it)
{
	int *n = arg;

	*n += it->deleted ? 100 : 1;
}

/* An item or a list with an older revision never replaces newer state. */
static void test_state(void)
{
	static const struct {
		fleet_item_t it;
		int changes; /* as on_changed() counts them */
	} cases[] = {
		{ { STR("k"), STR("1"), 5, false }, 1 },
		{ { STR("k"), STR("0"), 4, false }, 0 },
		{ { STR("k"), STR("1"), 5, false }, 0 },
		{ { STR("k"), STR(""), 6, true }, 100 },
		{ { STR("k"), STR("1"), 5, false }, 0 },
		{ { STR("k"), STR("2"), 7, false }, 1 },
		{ { STR("l"), STR("1"), 8, false }, 1 },
	};
	int n = 0, before;
	fleet_state_t *s = fleet_state_new(on_changed, &n);
	fleet_msg_t m = { .since_revision = 7 };
	arena_t mem = { 0 };
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		before = n;
		fleet_state_apply(s, &cases[i].it, 8);
		CU_ASSERT_EQUAL(n - before, cases[i].changes);
	}
	fleet_state_advance(s, 8);
	fleet_state_changes_since(s, &m, &mem);
	CU_ASSERT_EQUAL(m.nitems, 1);
	CU_ASSERT_FALSE(m.complete);
	/* A list deletes the keys that it lacks, but not those written at its
	 * revision or later. */
	n = 0;
	fleet_state_list_begin(s);
	fleet_state_list_page(s, 8);
	fleet_state_list_end(s);
	CU_ASSERT_EQUAL(n, 100);
	CU_ASSERT_EQUAL(fleet_state_revision(s), 8);
	arena_free(&mem);
	fleet_state_free(s);
}

/* A decoded message equals the encoded one. Truncated messages are rejected,
 * and random bytes in a message do no harm. */
static void test_fleet_wire(void)
{
	fleet_item_t items[] = { { STR("k"), STR("v"), 9, false },
				 { STR("l"), STR(""), 10, true } };
	fleet_msg_t m = { .kind = FLEET_STATE_UPDATE,
			  .from = STR("10.0.0.1:1"),
			  .dc = STR("a"),
			  .revision = 10,
			  .last_read_age = -1,
			  .registry_back_age = 55,
			  .since_revision = 8,
			  .complete = true,
			  .nmembers = 1,
			  .items = items,
			  .nitems = 2 };
	arena_t mem = { 0 };
	rng_t rng = { 11 };
	fleet_msg_t got;
	size_t sz, cut, i;
	char *bytes;

	m.members[0] = (fleet_member_info_t){ STR("10.0.0.2:1"), STR("b"), 77 };
	bytes = fleet_encode(&m, &sz);
	CU_ASSERT(fleet_decode(bytes, sz, &got, &mem));
	CU_ASSERT_EQUAL(got.since_revision, 8);
	CU_ASSERT(got.complete);
	CU_ASSERT_EQUAL(got.last_read_age, -1);
	CU_ASSERT_EQUAL(got.registry_back_age, 55);
	CU_ASSERT_EQUAL(got.nitems, 2);
	CU_ASSERT(got.items[1].deleted);
	CU_ASSERT_EQUAL(got.members[0].last_seen_age, 77);
	for (cut = 0; cut < sz; cut++)
		CU_ASSERT_FALSE(fleet_decode(bytes, cut, &got, &mem));
	for (i = 0; i < 20000; i++) {
		size_t at = rng_below(&rng, sz);
		char was = bytes[at];

		bytes[at] = (char)rng_below(&rng, 256);
		fleet_decode(bytes, sz, &got, &mem);
		bytes[at] = was;
		arena_free(&mem);
	}
	free(bytes);
	arena_free(&mem);
}

/* Packed items are those of the message, and take less room if they repeat.
 * Claims about them that are false are refused: guards against a message of
 * 1 KB that makes its receiver use megabytes, or whose items are cut. */
static void test_packed_items(void)
{
	char value[5000];
	fleet_item_t item = { STR("k"), { value, sizeof(value) }, 9, false };
	fleet_msg_t m = { .kind = FLEET_STATE_UPDATE,
			  .items = &item,
			  .nitems = 1 };
	size_t sz, raw_sz, i;
	arena_t mem = { 0 }, decoded = { 0 };
	fleet_msg_t got;
	char *bytes;

	memset(value, 'x', sizeof(value));
	fleet_pack_items(&m, &mem);
	raw_sz = m.packed_raw_sz;
	CU_ASSERT(m.packed.sz < sizeof(value) / 10);
	CU_ASSERT(raw_sz > sizeof(value));
	{
		struct {
			str_t packed;
			size_t raw_sz;
			bool valid;
		} cases[] = {
			{ m.packed, raw_sz, true },
			{ m.packed, raw_sz - 1, false },
			{ m.packed, raw_sz + 1, false },
			{ m.packed, 0, false },
			{ m.packed, FLEET_MAX_ITEMS_BYTES, false },
			{ m.packed, FLEET_MAX_ITEMS_BYTES + 1, false },
			{ m.packed, m.packed.sz * 300, false },
			{ { m.packed.s, m.packed.sz - 1 }, raw_sz, false },
			{ STR("xxxxxxxxxxxxxxxx"), 300, false },
			{ STR("\x91\x01"), 0, false },
		};

		for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
			m.packed = cases[i].packed;
			m.packed_raw_sz = cases[i].raw_sz;
			bytes = fleet_encode(&m, &sz);
			CU_ASSERT_EQUAL(fleet_decode(bytes, sz, &got, &decoded),
					cases[i].valid);
			if (cases[i].valid)
				CU_ASSERT(
					str_eq(got.items[0].value, item.value));
			/* Memory for items that fit into the bytes. */
			CU_ASSERT(decoded.used < 1000 * sz);
			arena_free(&decoded);
			free(bytes);
		}
	}
	arena_free(&mem);
}

#define HOSTS 24

/* Exchanges one round of FLEET_HELLO and FLEET_HELLO_REPLY among the running
 * hosts. */
static void gossip(fleet_t **f, const bool *running, usec_t now)
{
	str_t to[8];
	size_t i, j, k, n;
	char addr[24];

	for (i = 0; i < HOSTS; i++) {
		if (!running[i])
			continue;
		n = fleet_gossip_targets(f[i], to, 8, now);
		for (j = 0; j < n; j++)
			for (k = 0; k < HOSTS; k++) {
				fleet_msg_t m = { .kind = FLEET_HELLO };

				snprintf(addr, sizeof(addr), "10.0.0.%zu:1", k);
				if (!running[k] || !str_eq(to[j], str_of(addr)))
					continue;
				fleet_fill_message(f[i], &m, 1, now);
				fleet_on_message(f[k], &m, 1, now);
				m = (fleet_msg_t){ .kind = FLEET_HELLO_REPLY };
				fleet_fill_message(f[k], &m, 1, now);
				fleet_on_message(f[i], &m, 1, now);
			}
	}
}

/* Lets the hosts with followers read the registry and send the others their
 * confirmation; returns how many hosts then decide to read. */
static size_t run_readers(fleet_t **f, const bool *running, usec_t now)
{
	size_t n = 0, i;

	for (i = 0; i < HOSTS; i++) {
		fleet_msg_t m = { .kind = FLEET_STATE_UPDATE };
		size_t j;

		if (!running[i] || fleet_role(f[i], now) != FLEET_CONFIRMER)
			continue;
		fleet_on_registry_read(f[i], now);
		fleet_fill_message(f[i], &m, 1, now);
		for (j = 0; j < HOSTS; j++)
			if (running[j] && j != i)
				fleet_on_message(f[j], &m, 1, now);
	}
	for (i = 0; i < HOSTS; i++)
		n += running[i] && fleet_role(f[i], now) != FLEET_FOLLOWER;
	return n;
}

/* Hosts discover each other by seeds, elect one reader in each data centre and
 * replace readers that fail. A partitioned host keeps the fleet's last size. */
static void test_fleet(void)
{
	str_t seeds[] = { STR("10.0.0.0:1"), STR("10.0.0.9:1") };
	fleet_t *f[HOSTS];
	bool running[HOSTS];
	usec_t now = START, until;
	char addr[24];
	size_t i, n;

	for (i = 0; i < HOSTS; i++) {
		fleet_params_t p = { .seeds = seeds,
				     .nseeds = 2,
				     .initial_hosts = 100,
				     .seed = i + 1,
				     .apply_time = APPLY_TIME };

		snprintf(addr, sizeof(addr), "10.0.0.%zu:1", i);
		p.addr = str_of(addr);
		p.dc = str_of(i % 2 ? "a" : "b");
		f[i] = fleet_new(&p, now);
		running[i] = true;
		CU_ASSERT_EQUAL(fleet_estimated_hosts(f[i], now), 100);
	}
	for (until = now + 15 * USEC_PER_SEC; now < until;
	     now += 100 * USEC_PER_MSEC) {
		gossip(f, running, now);
		n = run_readers(f, running, now);
	}
	/* One in each of the two data centres. */
	CU_ASSERT_EQUAL(n, 2);
	for (i = 0; i < HOSTS; i++) {
		CU_ASSERT_EQUAL(fleet_alive_count(f[i], now), HOSTS);
		CU_ASSERT_EQUAL(fleet_estimated_hosts(f[i], now),
				HOSTS + HOSTS / 8);
		/* The readers of both data centres fail at once. */
		if (fleet_role(f[i], now) == FLEET_CONFIRMER)
			running[i] = false;
	}
	for (until = now + 15 * USEC_PER_SEC; now < until;
	     now += 100 * USEC_PER_MSEC) {
		gossip(f, running, now);
		n = run_readers(f, running, now);
		/* Other readers take over within 60 % of APPLY_TIME, which
		 * leaves time for a request before changes are due. */
		CU_ASSERT(n >= 2 || now < until - 15 * USEC_PER_SEC +
						    APPLY_TIME * 6 / 10);
	}
	CU_ASSERT_EQUAL(n, 2);
	/* Partitioned, a host keeps dividing limits by the last size of the
	 * fleet for a minute. */
	now += 30 * USEC_PER_SEC;
	CU_ASSERT_EQUAL(fleet_alive_count(f[1], now), 1);
	CU_ASSERT(fleet_estimated_hosts(f[1], now) >= HOSTS);
	for (i = 0; i < HOSTS; i++)
		fleet_free(f[i]);
}

/* While no host gets a confirmation from the registry, hosts start to read one
 * after the other, not all at once; the sooner the shorter a reload has made
 * the time in which changes must be in force. */
static void check_silent_readers(unsigned divisor)
{
	static const struct {
		usec_t after; /* since the last confirmation */
		size_t min_readers;
		size_t max_readers;
	} cases[] = {
		{ APPLY_TIME * 2 / 10, 1, 1 },
		{ APPLY_TIME * 5 / 10, 2, 2 },
		{ APPLY_TIME * 7 / 10, 4, 5 },
		{ APPLY_TIME, 8, 10 },
	};
	str_t seed = STR("10.0.0.0:1");
	fleet_t *f[HOSTS];
	bool running[HOSTS];
	usec_t now = START, until;
	char addr[24];
	size_t i, j, n;

	for (i = 0; i < HOSTS; i++) {
		fleet_params_t p = { .seeds = &seed,
				     .nseeds = 1,
				     .dc = STR("a"),
				     .seed = i + 1,
				     .apply_time = APPLY_TIME };

		snprintf(addr, sizeof(addr), "10.0.0.%zu:1", i);
		p.addr = str_of(addr);
		f[i] = fleet_new(&p, now);
		running[i] = true;
	}
	for (until = now + 9 * USEC_PER_SEC; now < until;
	     now += 100 * USEC_PER_MSEC) {
		gossip(f, running, now);
		run_readers(f, running, now);
	}
	now -= 100 * USEC_PER_MSEC;
	for (i = 0; i < HOSTS; i++)
		fleet_set_apply_time(f[i], APPLY_TIME / divisor);
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		n = 0;
		for (j = 0; j < HOSTS; j++)
			n += fleet_role(f[j], now + cases[i].after / divisor) !=
			     FLEET_FOLLOWER;
		CU_ASSERT(n >= cases[i].min_readers &&
			  n <= cases[i].max_readers);
	}
	for (i = 0; i < HOSTS; i++)
		fleet_free(f[i]);
}

static void test_readers_when_silent(void)
{
	check_silent_readers(1);
	check_silent_readers(2);
}

void unit_outside(void)
{
	static const struct {
		const char *name;
		CU_TestFunc fn;
	} tests[] = {
		{ "HTTP requests", test_http },
		{ "HTTP request byte by byte", test_http_byte_by_byte },
		{ "HTTP response ended by close", test_http_eof },
		{ "heads of requests", test_request_heads },
		{ "chunk extensions", test_chunk_extensions },
		{ "hop-by-hop header lines", test_hop_by_hop },
		{ "many header lines", test_many_lines },
		{ "server entries, platform", test_platform_entries },
		{ "server entries, own protocol", test_own_entries },
		{ "configurations", test_configs },
		{ "lists and changes of published state", test_items },
		{ "values of items", test_item_values },
		{ "old revisions don't replace newer state", test_state },
		{ "encoding of fleet messages", test_fleet_wire },
		{ "packed items", test_packed_items },
		{ "membership and election of readers", test_fleet },
		{ "staggered readers when the registry is silent",
		  test_readers_when_silent },
	};
	CU_pSuite s = CU_add_suite("outside", NULL, NULL);
	size_t i;

	for (i = 0; i < sizeof(tests) / sizeof(tests[0]); i++)
		CU_add_test(s, tests[i].name, tests[i].fn);
}
