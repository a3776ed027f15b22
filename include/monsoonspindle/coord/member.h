#ifndef MONSOONSPINDLE_COORD_MEMBER_H
#define MONSOONSPINDLE_COORD_MEMBER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define MSP_MEMBER_NAME_SIZE 64 /* bytes, including the final NUL */
#define MSP_MEMBER_ADDRESS_SIZE 46 /* bytes, including the final NUL */
#define MSP_MEMBER_LOAD_MAX 192 /* bytes */

/*
 * State of a member as seen by this process. Of two claims with the same
 * incarnation and round, the one with the higher state wins.
 */
typedef enum msp_member_state {
	MSP_MEMBER_ALIVE,
	MSP_MEMBER_SUSPECT, /* failed a probe; may still refute the suspicion */
	MSP_MEMBER_LEAVING, /* finishes its work and accepts nothing new */
	MSP_MEMBER_DEAD,
	MSP_MEMBER_STATE_COUNT
} msp_member_state_t;

/* "alive", "suspect", "leaving" or "dead". */
const char *msp_member_state_name(msp_member_state_t state);

/*
 * One VM of the data centre. `incarnation` identifies a run of its process and
 * only grows. `round` starts at 0 in each incarnation and grows whenever the
 * member refutes a claim about itself.
 */
typedef struct msp_member {
	char name[MSP_MEMBER_NAME_SIZE];
	char region[MSP_MEMBER_NAME_SIZE];
	char place[MSP_MEMBER_NAME_SIZE]; /* data centre */
	char address[MSP_MEMBER_ADDRESS_SIZE]; /* numeric IP address */
	uint16_t caller_port;
	uint16_t peer_port;
	uint64_t incarnation;
	uint32_t round;
	msp_member_state_t state;
	uint64_t release; /* release version in force there, as last reported */
	uint64_t load_sequence; /* grows with each change of the load */
	size_t load_len; /* bytes */
	uint8_t load[MSP_MEMBER_LOAD_MAX]; /* load report; opaque here */
} msp_member_t;

#endif
