#ifndef MONSOONSPINDLE_BASE_HASH_H
#define MONSOONSPINDLE_BASE_HASH_H

#include <stddef.h>
#include <stdint.h>

/* A 128-bit XXH3 hash. It is not cryptographic: digests can be forged. */
typedef struct msp_digest {
	uint64_t high;
	uint64_t low;
} msp_digest_t;

#define MSP_DIGEST_TEXT_SIZE 33 /* 32 hex digits and the final 0 */

uint64_t msp_hash(const void *data, size_t len, uint64_t seed);
uint64_t msp_hash_text(const char *text, uint64_t seed);
msp_digest_t msp_digest(const void *data, size_t len);

/* Returns the next digest of a hash chain, after `base`, for `data`. */
msp_digest_t msp_chain_digest(msp_digest_t base, const void *data, size_t len);

int msp_digest_equal(msp_digest_t a, msp_digest_t b);
int msp_digest_is_zero(msp_digest_t digest);
void msp_print_digest(msp_digest_t digest, char out[MSP_DIGEST_TEXT_SIZE]);

/* Returns 0 and fills `digest`, or -1 if `text` is not 32 hex digits. */
int msp_parse_digest(const char *text, msp_digest_t *digest);

#endif
