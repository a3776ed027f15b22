#ifndef MONSOONSPINDLE_SOURCE_COORD_GOSSIP_FIELDS_H
#define MONSOONSPINDLE_SOURCE_COORD_GOSSIP_FIELDS_H

#include <stdbool.h>
#include <stddef.h>

#include <sys/types.h>

/* Checks of what others send. */

/* Letters, digits, ".", "_" and "-"; at least one. */
bool msp_name_is_valid(const char *name);
bool msp_address_is_valid(const char *address);
bool msp_port_is_valid(u_int port);

/* Bytes of a string, or of opaque data, of `len` bytes on the wire. */
size_t msp_xdr_opaque_size(size_t len);

#endif
