/** @file libconf.h Shared by the files of this package only. */
#ifndef LIBCONF_H
#define LIBCONF_H

#include <jansson.h>

#include "conf.h"

/** Limits of numbers; shared by parser and validator. */
#define CONF_MAX_SLOTS 1024
#define CONF_MAX_CONNECTIONS 100000
#define CONF_MAX_DAEMONS 100000
#define CONF_MAX_DEADLINE_MS 600000

/** The fleet section as JSON. */
json_t *conf_fleet_json(const conf_t *c);
/** One service section as JSON. */
json_t *conf_service_json(const conf_service_t *s);

#endif
