#ifndef MSP_PLATFORM_CHECK_CALL_H
#define MSP_PLATFORM_CHECK_CALL_H

#include <stdbool.h>

#include "monsoonspindle/platform/store.h"

/*
 * Limits that both sides of the store's protocol check. Each returns MSP_OK or
 * MSP_E_BAD_REQUEST, with msp_last_message() set. A row key is printable ASCII
 * without spaces; an object name has only letters, digits and "._:-".
 */
msp_status_t msp_check_row_key(const char *key);
msp_status_t msp_check_object_name(const char *name);
msp_status_t msp_check_txn(const msp_txn_t *txn);

#endif
