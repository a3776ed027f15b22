#ifndef CONFIG_UTF8_H
#define CONFIG_UTF8_H

#include <stddef.h>

/*
 * Returns the length of the UTF-8 sequence at `text`, 1 to 4 bytes, or 0 if it
 * is truncated, overlong, a surrogate or above U+10FFFF. `len` is at least 1.
 */
size_t utf8_length(const char *text, size_t len);

#endif
