/**
 * @file member.h
 * Members of JSON objects from others, where a fault drops the whole object.
 */
#ifndef MEMBER_H
#define MEMBER_H

#include <jansson.h>

#include "base.h"

/** A text; false when it is missing or of another type. Borrowed. */
bool member_str(json_t *o, const char *key, str_t *v);
/** The same for a number that is not below 0. */
bool member_number(json_t *o, const char *key, double *v);
/** The same for a whole number that is not below 0. */
bool member_whole(json_t *o, const char *key, uint64_t *v);

#endif
