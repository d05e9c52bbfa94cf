/** @file outside_own.h The project's own external protocol. */
#ifndef OUTSIDE_OWN_H
#define OUTSIDE_OWN_H

#include "outside.h"

/** The protocol with the name "own"; a row of the table in outside.c. */
extern const outside_protocol_t own_outside_protocol;

#endif
