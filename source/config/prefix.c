#include "monsoonspindle/config/prefix.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <arpa/inet.h>

static unsigned int
address_bits(unsigned int family)
{
	return family == 4 ? 32 : 128;
}

static int
has_host_bits(const msp_prefix_t *prefix)
{
	unsigned int i;

	for (i = prefix->bits; i < address_bits(prefix->family); i++) {
		if (prefix->address[i / 8] & (0x80U >> (i % 8)))
			return 1;
	}
	return 0;
}

static msp_status_t
parse_bits(const char *text, msp_prefix_t *prefix)
{
	unsigned int max = address_bits(prefix->family);
	size_t digits = strspn(text, "0123456789");
	long bits;

	if (digits == 0 || digits > 3 || text[digits] != '\0')
		return msp_fail(
		    MSP_E_SYNTAX, "prefix length is not 0..%u", max);
	bits = strtol(text, NULL, 10);
	if (bits > (long)max)
		return msp_fail(
		    MSP_E_RANGE, "prefix length %ld, not 0..%u", bits, max);
	prefix->bits = (uint8_t)bits;
	return MSP_OK;
}

msp_status_t
msp_parse_prefix(const char *text, msp_prefix_t *prefix)
{
	char address[INET6_ADDRSTRLEN];
	const char *slash = strchr(text, '/');
	msp_status_t status;
	int family;

	memset(prefix, 0, sizeof(*prefix));
	if (slash == NULL || (size_t)(slash - text) >= sizeof(address))
		return msp_fail(
		    MSP_E_SYNTAX, "not of the form IP address/bits");
	memcpy(address, text, (size_t)(slash - text));
	address[slash - text] = '\0';
	family = strchr(address, ':') != NULL ? AF_INET6 : AF_INET;
	if (inet_pton(family, address, prefix->address) != 1)
		return msp_fail(
		    MSP_E_SYNTAX, "not of the form IP address/bits");
	prefix->family = family == AF_INET ? 4 : 6;
	status = parse_bits(slash + 1, prefix);
	if (status != MSP_OK)
		return status;
	if (has_host_bits(prefix))
		return msp_fail(
		    MSP_E_RANGE, "bits after the prefix length are set");
	return MSP_OK;
}

void
msp_print_prefix(const msp_prefix_t *prefix, char out[MSP_PREFIX_TEXT_SIZE])
{
	char address[INET6_ADDRSTRLEN];

	inet_ntop(prefix->family == 4 ? AF_INET : AF_INET6, prefix->address,
	    address, sizeof(address));
	snprintf(out, MSP_PREFIX_TEXT_SIZE, "%s/%u", address, prefix->bits);
}

int
msp_compare_prefixes(const msp_prefix_t *a, const msp_prefix_t *b)
{
	int order;

	if (a->family != b->family)
		return a->family < b->family ? -1 : 1;
	order = memcmp(a->address, b->address, sizeof(a->address));
	if (order != 0)
		return order;
	return (a->bits > b->bits) - (a->bits < b->bits);
}

msp_status_t
msp_normalise_address(const char *text, char *out, size_t out_size)
{
	unsigned char raw[16];
	int family = strchr(text, ':') != NULL ? AF_INET6 : AF_INET;

	if (inet_pton(family, text, raw) != 1 ||
	    inet_ntop(family, raw, out, (socklen_t)out_size) == NULL)
		return msp_fail(MSP_E_SYNTAX, "not an IP address");
	return MSP_OK;
}
