#include "monsoonspindle/steer/client_block.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <arpa/inet.h>
#include <endian.h>

#define TEXT_MAX 64 /* bytes of an address as text, with the final 0 */

msp_status_t
msp_parse_client_address(const char *text, msp_client_address_t *address)
{
	struct in_addr v4;
	struct in6_addr v6;
	uint64_t high;
	uint32_t low;

	if (inet_pton(AF_INET, text, &v4) == 1) {
		*address = (msp_client_address_t){
		    .bits = (uint64_t)ntohl(v4.s_addr) << 32};
		return MSP_OK;
	}
	if (inet_pton(AF_INET6, text, &v6) != 1)
		return msp_fail(
		    MSP_E_SYNTAX, "\"%s\" is not an IP address", text);
	if (IN6_IS_ADDR_V4MAPPED(&v6)) {
		memcpy(&low, &v6.s6_addr[12], sizeof(low));
		*address =
		    (msp_client_address_t){.bits = (uint64_t)ntohl(low) << 32};
		return MSP_OK;
	}
	memcpy(&high, v6.s6_addr, sizeof(high));
	*address = (msp_client_address_t){.v6 = true, .bits = be64toh(high)};
	return MSP_OK;
}

msp_status_t
msp_parse_client_block(const char *text, msp_client_block_t *block)
{
	char address[TEXT_MAX];
	const char *slash = strchr(text, '/');
	char *end;
	unsigned long length;
	msp_status_t status;

	if (slash == NULL || (size_t)(slash - text) >= sizeof(address) ||
	    slash[1] < '0' || slash[1] > '9')
		return msp_fail(
		    MSP_E_SYNTAX, "\"%s\" is not a CIDR block", text);
	memcpy(address, text, (size_t)(slash - text));
	address[slash - text] = '\0';
	length = strtoul(slash + 1, &end, 10);
	if (*end != '\0')
		return msp_fail(
		    MSP_E_SYNTAX, "\"%s\" is not a CIDR block", text);
	status = msp_parse_client_address(address, &block->address);
	if (status != MSP_OK)
		return status;
	if (length > (block->address.v6 ? 64 : 32) ||
	    (length < 64 && (block->address.bits << length) != 0))
		return msp_fail(MSP_E_RANGE,
		    "\"%s\" has an invalid prefix length or set host bits",
		    text);
	block->length = (uint8_t)length;
	return MSP_OK;
}
