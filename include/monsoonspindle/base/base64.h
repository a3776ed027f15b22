#ifndef MONSOONSPINDLE_BASE_BASE64_H
#define MONSOONSPINDLE_BASE_BASE64_H

#include "monsoonspindle/base/buffer.h"

/* Appends the padded base64 encoding of `data` to `out`. */
msp_status_t msp_encode_base64(msp_buffer_t *out, const void *data, size_t len);

/* Appends the decoded bytes; MSP_E_SYNTAX unless `text` is padded base64. */
msp_status_t msp_decode_base64(msp_buffer_t *out, const char *text, size_t len);

#endif
