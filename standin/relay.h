/** @file relay.h Passes connections on until their source is cut off. */
#ifndef RELAY_H
#define RELAY_H

#include <glib.h>

/** A relay of one address to another. */
typedef struct relay relay_t;

/** Listens at one IP:PORT and passes on to another; NULL if that fails. */
relay_t *relay_start(const char *listen_at, const char *to);
/** Closes what comes from an address, now and later. */
void relay_cut(relay_t *r, const char *from);
/** Lets all come again. */
void relay_heal(relay_t *r);
/** Ends it; NULL is allowed. */
void relay_stop(relay_t *r);

#endif
