/**
 * @file member.h
 * Type-checked access to members of JSON objects that other programs sent. On a
 * fault the caller discards the whole object, so the kind of fault is not
 * reported.
 */
#ifndef MEMBER_H
#define MEMBER_H

#include <jansson.h>

#include "base.h"

/** Nested arrays and objects that member_load() accepts. */
#define MEMBER_MAX_DEPTH 64

/**
 * Parses the JSON text of one value that another program sent; the caller drops
 * the reference. NULL if the text is invalid, or nested deeper than
 * MEMBER_MAX_DEPTH: the library recurses, and threads may have small stacks.
 */
json_t *member_load(str_t text);
/**
 * Gets a string, which is valid as long as the object. Returns false, with *v
 * unchanged, if the member is missing or of another type.
 */
bool member_str(json_t *o, const char *key, str_t *v);
/** As member_str(), for a number that is not below 0. */
bool member_nonnegative(json_t *o, const char *key, double *v);
/** As member_str(), for an integer that is not below 0. */
bool member_uint64(json_t *o, const char *key, uint64_t *v);

#endif
