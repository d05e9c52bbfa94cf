/** @file outside.c The table of external protocols. */
#include <string.h>

#include "outside_own.h"
#include "platform.h"

static const outside_t *const protocols[] = { &own_outside, &platform_outside };

const outside_t *outside_by_name(const char *name)
{
	size_t i;

	for (i = 0; name && i < sizeof(protocols) / sizeof(protocols[0]); i++)
		if (strcmp(protocols[i]->name, name) == 0)
			return protocols[i];
	return NULL;
}
