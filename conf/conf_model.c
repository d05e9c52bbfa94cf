/** @file conf_model.c Lookups in a configuration. */
#include <stdlib.h>

#include "libconf.h"

const conf_service_t *conf_service(const conf_t *c, str_t name)
{
	size_t i;

	for (i = 0; i < c->nservices; i++)
		if (str_eq(c->services[i].name, name))
			return &c->services[i];
	return NULL;
}

const conf_class_t *conf_class(const conf_service_t *s, str_t name)
{
	size_t i;

	for (i = 0; i < s->nclasses; i++)
		if (str_eq(s->classes[i].name, name))
			return &s->classes[i];
	return NULL;
}

unsigned conf_daemon_connections(const conf_t *c, const conf_service_t *s)
{
	unsigned daemons = s->holders;

	/*
	 * Each daemon chooses the holders of a group from its own list of
	 * members. While these lists differ, a group may have up to half as
	 * many holders again as configured.
	 */
	if (daemons)
		daemons += (daemons + 1) / 2;
	if (daemons == 0 || daemons > c->max_daemons)
		daemons = c->max_daemons;
	return s->connections / daemons;
}

void conf_free(conf_t *c)
{
	if (!c)
		return;
	arena_free(&c->mem);
	free(c);
}
