/**
 * @file standin.h
 * HTTP server, clock and signal handling that the stand-ins for external
 * systems share. Not installed.
 */
#ifndef STANDIN_H
#define STANDIN_H

#include <glib.h>
#include <microhttpd.h>

#include "base.h"

/** A request whose header and body have been received completely. */
typedef struct http_request {
	struct MHD_Connection *conn;
	char *method;
	char *url;
	GByteArray *body;
	usec_t opened_at; /**< time at which its connection was accepted */
	void *context;	  /**< pointer that was passed to http_serve() */
	char *reply; /**< body of the answer; malloc()ed, freed by the library
		      */
	unsigned status;
	struct MHD_Response *response; /**< replaces reply; may have headers */
	bool abort_connection; /**< close the connection without an answer */
	bool suspended;	       /**< http_resume() sends the answer later */
	char client_ip[ADDR_HOST_MAX];
} http_request_t;

/**
 * Handles a request: sets status with reply or response, sets
 * abort_connection, or calls http_suspend().
 */
typedef void (*http_handler_t)(http_request_t *r);

/**
 * Starts an HTTP server on IP:PORT in a thread of its own. It accepts at most
 * the given number of connections at a time. Returns NULL if the address is
 * invalid or in use.
 */
struct MHD_Daemon *http_serve(const char *addr, http_handler_t handler,
			      void *context, unsigned connections);
/** Suspends a request; its answer is sent after http_resume(). */
void http_suspend(http_request_t *r);
/** Sends the answer that was set in a suspended request. */
void http_resume(http_request_t *r);
/** Sets a status and a copy of a text as the answer. */
void http_reply_text(http_request_t *r, unsigned status, const char *text);
/** Returns a query argument, or NULL if it is missing. */
const char *http_arg(const http_request_t *r, const char *name);
/** Returns a query argument as a number, or dflt if it is missing. */
long http_arg_number(const http_request_t *r, const char *name, long dflt);
/** Returns the value of a header line, or "" if it is missing. */
const char *http_header(const http_request_t *r, const char *name);

/** Returns the current time of the boot clock. */
usec_t standin_now(void);
/** Waits until the process receives SIGTERM or SIGINT. */
void standin_wait_for_stop(void);
/**
 * Blocks SIGTERM and SIGINT, which standin_wait_for_stop() waits for, and
 * ignores SIGPIPE. Must be called before the first thread is created, since
 * threads inherit the signal mask.
 */
void standin_block_stop_signals(void);

#endif
