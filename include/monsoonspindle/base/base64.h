#ifndef MONSOONSPINDLE_BASE_BASE64_H
#define MONSOONSPINDLE_BASE_BASE64_H

#include "monsoonspindle/base/buffer.h"

/* Appends the base64 text of `data`. */
msp_status_t msp_encode_base64(msp_buffer_t *out, const void *data, size_t len);

/* Appends the bytes; MSP_E_SYNTAX unless `text` is whole, padded base64. */
msp_status_t msp_decode_base64(msp_buffer_t *out, const char *text, size_t len);

#endif
