#include "growing_array.h"

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "monsoonspindle/base/status.h"

void *
append_element(void **array, size_t *count, size_t size)
{
	bool is_full = (*count & (*count - 1)) == 0;
	size_t capacity = *count == 0 ? 1 : *count * 2;
	char *element;

	if (is_full) {
		element = realloc(*array, capacity * size);
		if (element == NULL) {
			msp_fail(MSP_E_NO_MEMORY, "no memory for a list");
			return NULL;
		}
		*array = element;
	}
	element = (char *)*array + *count * size;
	memset(element, 0, size);
	(*count)++;
	return element;
}
