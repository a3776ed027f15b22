#ifndef MSP_PLATFORM_CHECK_CALL_H
#define MSP_PLATFORM_CHECK_CALL_H

#include <stdbool.h>

#include "monsoonspindle/platform/store.h"

/*
 * What both sides of the platform's protocol take: MSP_OK, or
 * MSP_E_BAD_REQUEST with a message. A row key is printable ASCII without
 * blanks, an object's name is of letters, digits and "._:-".
 */
msp_status_t msp_check_row_key(const char *key);
msp_status_t msp_check_object_name(const char *name);
msp_status_t msp_check_txn(const msp_txn_t *txn);

#endif
