#ifndef MONSOONSPINDLE_SOURCE_COORD_GOSSIP_FIELDS_H
#define MONSOONSPINDLE_SOURCE_COORD_GOSSIP_FIELDS_H

#include <stdbool.h>
#include <stddef.h>

#include <sys/types.h>

/* Validation of fields of received messages. */

/* A name has one or more letters, digits, ".", "_" and "-". */
bool msp_name_is_valid(const char *name);
/* An address is a numeric IPv4 or IPv6 address. */
bool msp_address_is_valid(const char *address);
/* A port is between 1 and 65535. */
bool msp_port_is_valid(u_int port);

/* Returns the XDR size of a string, or of opaque data, of `len` bytes. */
size_t msp_xdr_opaque_size(size_t len);

#endif
