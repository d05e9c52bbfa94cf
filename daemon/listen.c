/** @file listen.c Socket addresses from text. */
#include <arpa/inet.h>

#include "libcommon.h"

struct sockaddr_in addr_to_sockaddr(const char *addr)
{
	struct sockaddr_in sa = { .sin_family = AF_INET };
	char host[ADDR_HOST_MAX];
	unsigned port;

	/* The address was checked before, so that no error can occur. */
	addr_split(str_of(addr), host, &port);
	inet_pton(AF_INET, host, &sa.sin_addr);
	sa.sin_port = htons((uint16_t)port);
	return sa;
}
