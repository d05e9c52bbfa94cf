/** @file libconf.h Shared by the files of this package only. */
#ifndef LIBCONF_H
#define LIBCONF_H

#include <jansson.h>

#include "routes.h"

/** Limits of numbers; shared by parser and validator. */
#define CONF_MAX_SLOTS 1024
#define CONF_MAX_CONNECTIONS 100000
#define CONF_MAX_DAEMONS 100000
#define CONF_MAX_DEADLINE_MS 600000

/* The place of the value that is read, and where its faults go. */
typedef struct conf_cursor {
	arena_t *mem; /* where strings and arrays of the model go */
	conf_t *c;    /* the model, of conf_parse.c */
	conf_faults_t *f;
	char path[128];
} conf_cursor_t;

/* conf_cursor.c. Appends to the path; returns its old length, for leaving. */
size_t cur_enter(conf_cursor_t *cu, const char *key);
size_t cur_index(conf_cursor_t *cu, size_t i);
void cur_leave(conf_cursor_t *cu, size_t n);
/* Notes a fault of a member. */
void cur_fault(conf_cursor_t *cu, conf_err_t err, const char *key,
	       const char *detail);
/* A member of a type; NULL with a fault if there is none. */
json_t *cur_need(conf_cursor_t *cu, json_t *o, const char *key, json_type type);
str_t cur_str(conf_cursor_t *cu, json_t *o, const char *key, bool optional);
/* A whole number; without a default (UINT64_MAX) it must be there. */
uint64_t cur_num(conf_cursor_t *cu, json_t *o, const char *key, uint64_t dflt,
		 uint64_t min, uint64_t max);
/* A number from 0 to 1; 1 if it is missing. */
double cur_share(conf_cursor_t *cu, json_t *o, const char *key);
bool cur_bool(conf_cursor_t *cu, json_t *o, const char *key, bool otherwise);
/* Notes members that are not among the keys; the list ends with NULL. */
void cur_keys(conf_cursor_t *cu, json_t *o, const char *const *keys);
/* Allocates the model's array for a JSON array. */
void *cur_array(conf_cursor_t *cu, json_t *a, size_t max, size_t sz, size_t *n);
bool cur_is_object(conf_cursor_t *cu, json_t *o);

/** The fleet section as JSON. */
json_t *conf_fleet_json(const conf_t *c);
/** One service section as JSON. */
json_t *conf_service_json(const conf_service_t *s);

#endif
