/** @file liblab.h Shared by the files of the lab only. */
#ifndef LIBLAB_H
#define LIBLAB_H

#include <ne_session.h>

#include "lab.h"

#define DAEMON_HOST 10 /* last part of the first daemon's address */
#define DAEMON_PORT 8000
#define ADMIN_PORT 8001
#define PEER_PORT 8002
#define RELAY_PORT 8003
#define READY_LIMIT (20 * USEC_PER_SEC)
#define POLL_PERIOD (10 * USEC_PER_MSEC)

/** The address of a host of the lab's network. */
void lab_ip(const lab_t *l, unsigned host, char ip[ADDR_HOST_MAX]);
/** A session with IP:PORT. */
ne_session *lab_open(const char *addr);
/** Appends a block of an answer to a GString. */
int lab_append(void *to, const char *buf, size_t sz);
/** Waits until a stand-in answers. */
bool lab_wait_listening(const char *addr);

#endif
