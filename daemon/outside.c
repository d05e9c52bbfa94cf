/** @file outside.c The table of external protocols. */
#include <string.h>

#include "outside_own.h"
#include "platform.h"

static const outside_protocol_t *const protocols[] = {
	&own_outside_protocol, &platform_outside_protocol
};

const outside_protocol_t *outside_protocol_by_name(const char *name)
{
	size_t i;

	for (i = 0; name && i < sizeof(protocols) / sizeof(protocols[0]); i++)
		if (strcmp(protocols[i]->name, name) == 0)
			return protocols[i];
	return NULL;
}
