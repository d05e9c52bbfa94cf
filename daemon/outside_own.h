/** @file outside_own.h The project's own way of speaking. */
#ifndef OUTSIDE_OWN_H
#define OUTSIDE_OWN_H

#include "outside.h"

/** The project's own row of the table. */
extern const outside_t own_outside;

#endif
