/**
 * @file slice.h
 * Finds members and elements in JSON text without parsing their values. A value
 * that cannot be parsed, since it is nested too deep or holds a number that is
 * too large, thus leaves the others readable. Slices are borrowed from the
 * text.
 */
#ifndef SLICE_H
#define SLICE_H

#include "base.h"

/**
 * Finds the quote that ends a JSON string; p is after the one that begins it.
 * Returns end if there is none.
 */
const char *slice_string_end(const char *p, const char *end);
/**
 * Finds a member of a JSON object, the first one if there are several. Returns
 * false if there is none, or if the text before it isn't that of an object.
 */
bool slice_member(str_t object, const char *key, str_t *value);
/**
 * Begins a loop over the elements of a JSON array. Returns false if the text
 * isn't that of an array.
 */
bool slice_array(str_t array, str_t *rest);
/**
 * Gets the next element. Returns false after the last one, where it sets
 * rest->s to NULL, and at a syntax error.
 */
bool slice_next(str_t *rest, str_t *element);

#endif
