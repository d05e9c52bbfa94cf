/** @file known_red.h The list of tests that are known to fail. */
#ifndef KNOWN_RED_H
#define KNOWN_RED_H

#include <stdbool.h>

/**
 * Reads a list, in which a line that begins with a test's name and a colon
 * names that test. The caller frees it; NULL if path is NULL or cannot be read.
 */
char *known_red_read(const char *path);
/**
 * Returns true, and prints that the test is skipped, if the list names it. The
 * list may be NULL.
 */
bool known_red_skip(const char *list, const char *name);

#endif
