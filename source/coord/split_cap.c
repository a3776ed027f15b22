#include "monsoonspindle/coord/credits.h"

uint64_t
msp_split_cap(uint64_t cap, const uint32_t *weights, size_t count, size_t index)
{
	uint64_t sum = 0;
	size_t i;

	for (i = 0; i < count; i++)
		sum += weights[i];
	if (index >= count || sum == 0)
		return 0;
	return (uint64_t)((unsigned __int128)cap * weights[index] / sum);
}
