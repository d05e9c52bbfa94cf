/** @file addr.c Parser of addresses of the form IP:PORT. */
#include <arpa/inet.h>
#include <ctype.h>
#include <stdlib.h>
#include <string.h>

#include "base.h"

#define PORT_MAX 65535

bool addr_split(str_t addr, char host[ADDR_HOST_MAX], unsigned *port)
{
	char buf[ADDR_HOST_MAX + sizeof(":65535")];
	struct in_addr in;
	char *colon, *end;
	unsigned long n;

	if (addr.sz >= sizeof(buf))
		return false;
	str_copy(buf, sizeof(buf), addr);
	colon = strrchr(buf, ':');
	if (!colon || !isdigit((unsigned char)colon[1]))
		return false;
	*colon = '\0';
	n = strtoul(colon + 1, &end, 10);
	if (*end || n == 0 || n > PORT_MAX || inet_pton(AF_INET, buf, &in) != 1)
		return false;
	str_copy(host, ADDR_HOST_MAX, str_of(buf));
	*port = (unsigned)n;
	return true;
}
