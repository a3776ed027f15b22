#ifndef MSP_PLATFORM_ROW_PATCH_H
#define MSP_PLATFORM_ROW_PATCH_H

#include <stddef.h>

#include "monsoonspindle/base/buffer.h"

/*
 * Large values of rows as VMs send them to each other: compressed, with an
 * older value that the receiver has (the base) as the compressor's dictionary,
 * so that a patch is about as large as what has changed. A patch has a checksum
 * of the value, so that it can't be applied to another base.
 */

/* Appends the patch. `base` may be NULL: the receiver has no older value. */
msp_status_t encode_row_patch(const char *base, size_t base_len,
    const char *value, size_t len, msp_buffer_t *out);

/*
 * Appends the value that the patch makes of the base. Returns MSP_E_SYNTAX if
 * the patch is damaged or of another base, MSP_E_TOO_LARGE if the value is over
 * `max` bytes.
 */
msp_status_t apply_row_patch(const char *base, size_t base_len,
    const char *patch, size_t patch_len, size_t max, msp_buffer_t *out);

#endif
