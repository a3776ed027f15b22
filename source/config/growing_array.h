#ifndef CONFIG_GROWING_ARRAY_H
#define CONFIG_GROWING_ARRAY_H

#include <stddef.h>

/*
 * Appends a zeroed element of `size` bytes to an array and returns it; NULL,
 * with msp_last_message() set, if memory is exhausted. The array has room for
 * the next power of two of its count, and is released with free().
 */
void *append_element(void **array, size_t *count, size_t size);

#endif
