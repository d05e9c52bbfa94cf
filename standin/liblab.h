/** @file liblab.h Declarations that only the source files of the lab use. */
#ifndef LIBLAB_H
#define LIBLAB_H

#include <ne_session.h>

#include "lab.h"

#define DAEMON_HOST 10 /* last octet of the first daemon's IP address */
#define DAEMON_PORT 8000
#define ADMIN_PORT 8001
#define PEER_PORT 8002
#define RELAY_PORT 8003
#define READY_LIMIT_USEC (20 * USEC_PER_SEC)
#define POLL_PERIOD_USEC (10 * USEC_PER_MSEC)

/** Writes the IP address in the lab's network with this last octet. */
void lab_host_ip(const lab_t *l, unsigned host, char ip[ADDR_HOST_MAX]);
/** Creates an HTTP session with IP:PORT; the caller destroys it. */
ne_session *lab_open_session(const char *addr);
/** Body reader of neon that appends each block to the GString at to. */
int lab_append_body(void *to, const char *buf, size_t sz);
/** Waits until a stand-in answers HTTP; false after READY_LIMIT_USEC. */
bool lab_wait_listening(const char *addr);

#endif
