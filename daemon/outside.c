/** @file outside.c The ways of speaking that there are. */
#include <string.h>

#include "outside_own.h"
#include "platform.h"

static const outside_t *const rows[] = { &own_outside, &platform_outside };

const outside_t *outside_by_name(const char *name)
{
	size_t i;

	for (i = 0; name && i < sizeof(rows) / sizeof(rows[0]); i++)
		if (strcmp(rows[i]->name, name) == 0)
			return rows[i];
	return NULL;
}
