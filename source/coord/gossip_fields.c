#include "gossip_fields.h"

#include <ctype.h>
#include <stdint.h>
#include <string.h>

#include <arpa/inet.h>

bool
msp_name_is_valid(const char *name)
{
	const char *c;

	for (c = name; *c != '\0'; c++) {
		if (!isalnum((unsigned char)*c) && strchr("._-", *c) == NULL)
			return false;
	}
	return c != name;
}

bool
msp_address_is_valid(const char *address)
{
	unsigned char bytes[sizeof(struct in6_addr)];

	return inet_pton(AF_INET, address, bytes) == 1 ||
	    inet_pton(AF_INET6, address, bytes) == 1;
}

bool
msp_port_is_valid(u_int port)
{
	return port > 0 && port <= UINT16_MAX;
}

size_t
msp_xdr_opaque_size(size_t len)
{
	return 4 + (len + 3) / 4 * 4;
}
