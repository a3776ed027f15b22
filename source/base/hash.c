#include "monsoonspindle/base/hash.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <xxhash.h>

uint64_t
msp_hash(const void *data, size_t len, uint64_t seed)
{
	return XXH3_64bits_withSeed(data, len, seed);
}

uint64_t
msp_hash_text(const char *text, uint64_t seed)
{
	return msp_hash(text, strlen(text), seed);
}

msp_digest_t
msp_digest(const void *data, size_t len)
{
	XXH128_hash_t hash = XXH3_128bits(data, len);

	return (msp_digest_t){.high = hash.high64, .low = hash.low64};
}

msp_digest_t
msp_chain_digest(msp_digest_t base, const void *data, size_t len)
{
	msp_digest_t parts[2] = {base, msp_digest(data, len)};

	return msp_digest(parts, sizeof(parts));
}

int
msp_digest_equal(msp_digest_t a, msp_digest_t b)
{
	return a.high == b.high && a.low == b.low;
}

int
msp_digest_is_zero(msp_digest_t digest)
{
	return digest.high == 0 && digest.low == 0;
}

void
msp_print_digest(msp_digest_t digest, char out[MSP_DIGEST_TEXT_SIZE])
{
	snprintf(out, MSP_DIGEST_TEXT_SIZE, "%016" PRIx64 "%016" PRIx64,
	    digest.high, digest.low);
}

int
msp_parse_digest(const char *text, msp_digest_t *digest)
{
	if (strlen(text) != MSP_DIGEST_TEXT_SIZE - 1)
		return -1;
	if (strspn(text, "0123456789abcdef") != MSP_DIGEST_TEXT_SIZE - 1)
		return -1;
	if (sscanf(text, "%16" SCNx64 "%16" SCNx64, &digest->high,
		&digest->low) != 2)
		return -1;
	return 0;
}
