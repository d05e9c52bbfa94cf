/**
 * @file relay.h
 * A TCP relay that forwards connections to one address and can block clients
 * by their IP address. It simulates network partitions between daemons.
 */
#ifndef RELAY_H
#define RELAY_H

#include <glib.h>

/** A relay from one listening address to one target address. */
typedef struct relay relay_t;

/**
 * Starts a relay in threads of its own; both addresses are IP:PORT. Returns
 * NULL if an address is invalid or cannot be listened on.
 */
relay_t *relay_start(const char *listen_addr, const char *target_addr);
/** Closes the connections from a client IP address and rejects new ones. */
void relay_block(relay_t *r, const char *client_ip);
/** Accepts connections from all addresses again. */
void relay_unblock_all(relay_t *r);
/** Closes all connections, stops the relay and frees it; r may be NULL. */
void relay_stop(relay_t *r);

#endif
