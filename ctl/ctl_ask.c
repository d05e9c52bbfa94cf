/** @file ctl_ask.c HTTP client for the administration API of daemons. */
#include <ne_request.h>
#include <ne_session.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "libctl.h"

#define TIMEOUT_S 5 /* for the connect and for each read */

static int append_body(void *body, const char *buf, size_t sz)
{
	g_string_append_len(body, buf, (gssize)sz);
	return 0;
}

static void print_error(const char *daemon, int status, const char *error)
{
	if (status == 401)
		fprintf(stderr,
			"geraniumslip: %s: the daemon rejected the token\n",
			daemon);
	else if (status)
		fprintf(stderr,
			"geraniumslip: %s: the daemon answered with HTTP "
			"status %d\n",
			daemon, status);
	else
		fprintf(stderr, "geraniumslip: %s: %s\n", daemon, error);
}

char *ctl_request(const ctl_t *c, const char *daemon, const char *method,
		  const char *path)
{
	char host[ADDR_HOST_MAX];
	GString *body = g_string_new(NULL);
	ne_session *s;
	ne_request *req;
	unsigned port;
	int status = 0;

	if (!addr_split(str_of(daemon), host, &port)) {
		fprintf(stderr,
			"geraniumslip: %s: the address is not of the form "
			"IP:PORT\n",
			daemon);
		g_string_free(body, TRUE);
		return NULL;
	}
	s = ne_session_create("http", host, port);
	ne_set_connect_timeout(s, TIMEOUT_S);
	ne_set_read_timeout(s, TIMEOUT_S);
	req = ne_request_create(s, method, path);
	if (c->token)
		ne_print_request_header(req, "Authorization", "Bearer %s",
					c->token);
	ne_add_response_body_reader(req, ne_accept_2xx, append_body, body);
	if (ne_request_dispatch(req) == NE_OK)
		status = ne_get_status(req)->code;
	if (status / 100 != 2) {
		print_error(daemon, status, ne_get_error(s));
		g_string_free(body, TRUE);
		body = NULL;
	}
	ne_request_destroy(req);
	ne_session_destroy(s);
	return body ? g_string_free(body, FALSE) : NULL;
}

json_t *ctl_get_json(const ctl_t *c, const char *daemon, const char *path)
{
	char *text = ctl_request(c, daemon, "GET", path);
	json_t *o = text ? json_loads(text, 0, NULL) : NULL;

	if (text && !o)
		fprintf(stderr, "geraniumslip: %s: the answer is not JSON\n",
			daemon);
	g_free(text);
	return o;
}
