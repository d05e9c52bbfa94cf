/**
 * @file unit_dialect.c
 * Tests of the client of search servers against raw bytes on a socket: answers
 * that end too early, or never.
 */
#include <CUnit/CUnit.h>
#include <arpa/inet.h>
#include <ne_session.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "libdaemon.h"
#include "unit.h"

#define HEAD                                                                   \
	"HTTP/1.1 200 X\r\nGs-Request: 0000000000000007\r\n"                   \
	"Gs-Snapshot: 5\r\nGs-Map: 3\r\n"
#define TRICKLE_USEC (10 * USEC_PER_MSEC)
#define SEND_MAX (4 * USEC_PER_SEC)
#define DEADLINE (700 * USEC_PER_MSEC)
#define SLACK USEC_PER_SEC

/* What the server sends after a request, and what then. */
typedef enum ending { END_CLOSE, END_REPEAT, END_TRICKLE } ending_t;

typedef struct raw_server {
	pthread_t thread;
	int fd; /* listens */
	unsigned port;
	const char *text;
	ending_t ending;
} raw_server_t;

/* Sends bytes until the client closes, or the test must have failed; a byte at
 * a time for END_TRICKLE. */
static void send_without_end(int fd, ending_t ending)
{
	usec_t until = clock_now() + SEND_MAX;
	char bytes[4096];
	size_t n = ending == END_TRICKLE ? 1 : sizeof(bytes);

	memset(bytes, 'a', sizeof(bytes));
	while (clock_now() < until && send(fd, bytes, n, MSG_NOSIGNAL) > 0)
		if (ending == END_TRICKLE)
			usleep(TRICKLE_USEC);
}

static void *serve(void *arg)
{
	raw_server_t *s = arg;
	char request[4096];
	int fd = accept(s->fd, NULL, NULL);

	if (recv(fd, request, sizeof(request), 0) > 0 &&
	    send(fd, s->text, strlen(s->text), MSG_NOSIGNAL) > 0 &&
	    s->ending != END_CLOSE)
		send_without_end(fd, s->ending);
	close(fd);
	return NULL;
}

static void start(raw_server_t *s)
{
	struct sockaddr_in sa = { .sin_family = AF_INET };
	socklen_t sz = sizeof(sa);

	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	s->fd = socket(AF_INET, SOCK_STREAM, 0);
	CU_ASSERT_EQUAL(bind(s->fd, (struct sockaddr *)&sa, sizeof(sa)), 0);
	CU_ASSERT_EQUAL(listen(s->fd, 1), 0);
	getsockname(s->fd, (struct sockaddr *)&sa, &sz);
	s->port = ntohs(sa.sin_port);
	CU_ASSERT_EQUAL(pthread_create(&s->thread, NULL, serve, s), 0);
}

static result_t search(unsigned port, usec_t deadline, group_hits_t **hits)
{
	ne_session *session = ne_session_create("http", "127.0.0.1", port);
	char service[] = "s", group[] = "g", class_name[] = "c";
	job_t j = { .aid = 7,
		    .service = service,
		    .group = group,
		    .class_name = class_name,
		    .snapshot = 5,
		    .map_version = 3,
		    .limit = 10,
		    .send_by = deadline,
		    .deadline = deadline,
		    .idempotent = true,
		    .body = body_new(strdup("{}"), 2) };
	bool connect_failed;
	evidence_t e;
	result_t r;

	atomic_init(&j.state, JOB_QUEUED);
	r = dialect_plain.search(session, &j, &e, hits, &connect_failed);
	body_unref(j.body);
	ne_session_destroy(session);
	return r;
}

/* Searches a server that sends text and ends in that way. The result must come
 * soon after the deadline. */
static void check_answer(const char *text, ending_t ending, result_t expected)
{
	raw_server_t s = { .text = text, .ending = ending };
	usec_t began = clock_now(), took;
	group_hits_t *hits = NULL;
	result_t r;

	start(&s);
	r = search(s.port, began + DEADLINE, &hits);
	took = clock_now() - began;
	if (r != expected || took >= DEADLINE + SLACK)
		fprintf(stderr, "  %.20s: result %d, %lld us\n", text, (int)r,
			(long long)took);
	CU_ASSERT_EQUAL(r, expected);
	CU_ASSERT_EQUAL(hits != NULL, expected == RES_OK);
	CU_ASSERT(took < DEADLINE + SLACK);
	if (hits)
		group_hits_free(hits);
	pthread_join(s.thread, NULL);
	close(s.fd);
}

static void test_raw_answers(void)
{
	static const struct {
		const char *text;
		ending_t ending;
		result_t result;
	} cases[] = {
		{ HEAD "Content-Length: 11\r\n\r\n{\"hits\":[]}", END_CLOSE,
		  RES_OK },
		{ "HTTP/1.1 200 X\r\nGs-Requ", END_CLOSE, RES_LOST },
		{ HEAD, END_CLOSE, RES_LOST },
		{ HEAD "Content-Length: 12\r\n\r\n{\"hits\":[]}", END_CLOSE,
		  RES_LOST },
		{ HEAD
		  "Transfer-Encoding: chunked\r\n\r\nb\r\n{\"hits\":[]}\r\n",
		  END_CLOSE, RES_LOST },
		{ "junk", END_REPEAT, RES_LOST },
		{ HEAD "Junk: ", END_REPEAT, RES_LOST },
		{ HEAD "\r\n", END_REPEAT, RES_LOST },
		{ HEAD "\r\n", END_TRICKLE, RES_LOST },
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		check_answer(cases[i].text, cases[i].ending, cases[i].result);
}

static void test_slow_head(void)
{
	check_answer(HEAD "Junk: ", END_TRICKLE, RES_LOST);
}

void unit_dialect(void)
{
	CU_pSuite s = CU_add_suite("search servers", NULL, NULL);

	CU_add_test(s, "answers that end early or never", test_raw_answers);
	CU_add_test(s, "a head that comes slowly and never ends",
		    test_slow_head);
}
