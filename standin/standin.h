/**
 * @file standin.h
 * Shared by the stand-ins for the outside systems. Not installed.
 */
#ifndef STANDIN_H
#define STANDIN_H

#include <glib.h>
#include <microhttpd.h>

#include "base.h"

/** A request that has been read whole. */
typedef struct http_request {
	struct MHD_Connection *conn;
	char *method;
	char *url;
	GByteArray *body;
	usec_t opened_at; /**< when its connection was opened */
	void *server;	  /**< as given to http_serve() */
	char *reply; /**< set with status to answer; freed by the library */
	unsigned status;
	struct MHD_Response *response; /**< to answer with other headers */
	bool close;		  /**< close the connection without a word */
	bool held;		  /**< answered by http_release() later */
	char from[ADDR_HOST_MAX]; /**< the client's address */
} http_request_t;

/** Answers a request: sets reply, response, close or held. */
typedef void (*http_handler_t)(http_request_t *r);

/** Listens on IP:PORT; NULL if that fails. */
struct MHD_Daemon *http_serve(const char *addr, http_handler_t handler,
			      void *server, unsigned connections);
/** Holds the request; the handler returns and http_release() answers. */
void http_hold(http_request_t *r);
/** Answers a held request with what was set in it. */
void http_release(http_request_t *r);
/** Answers with a text. */
void http_text(http_request_t *r, unsigned status, const char *text);
/** A query argument or NULL. */
const char *http_arg(const http_request_t *r, const char *name);
/** A query argument as a number, or dflt. */
long http_num(const http_request_t *r, const char *name, long dflt);
/** A header or "". */
const char *http_header(const http_request_t *r, const char *name);

/** The present time on the boot clock. */
usec_t standin_now(void);
/** Blocks until SIGTERM or SIGINT. */
void standin_wait(void);
/** Blocks those signals; call before any thread is started. */
void standin_block_signals(void);

#endif
