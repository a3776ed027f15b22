#ifndef MONSOONSPINDLE_COORD_MEMBER_H
#define MONSOONSPINDLE_COORD_MEMBER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define MSP_MEMBER_NAME_SIZE 64 /* bytes, with the final 0 */
#define MSP_MEMBER_ADDRESS_SIZE 46 /* bytes, with the final 0 */
#define MSP_MEMBER_LOAD_MAX 192 /* bytes */

/* What is believed of a VM, from the least to the most final. */
typedef enum msp_member_state {
	MSP_MEMBER_ALIVE,
	MSP_MEMBER_SUSPECT, /* did not answer; may still refute it */
	MSP_MEMBER_LEAVING, /* serves what it has and takes nothing new */
	MSP_MEMBER_DEAD,
	MSP_MEMBER_STATE_COUNT
} msp_member_state_t;

/* "alive", "suspect", "leaving" or "dead". */
const char *msp_member_state_name(msp_member_state_t state);

/*
 * One VM of the data centre. `incarnation` tells the runs of its process
 * apart and only grows; `round` grows within one, each time that the member
 * refutes a claim about itself.
 */
typedef struct msp_member {
	char name[MSP_MEMBER_NAME_SIZE];
	char region[MSP_MEMBER_NAME_SIZE];
	char place[MSP_MEMBER_NAME_SIZE]; /* data centre */
	char address[MSP_MEMBER_ADDRESS_SIZE]; /* IP number */
	uint16_t caller_port;
	uint16_t peer_port;
	uint64_t incarnation;
	uint32_t round;
	msp_member_state_t state;
	uint64_t release; /* version in force there, as last heard */
	uint64_t load_sequence; /* grows with each change of the load */
	size_t load_len; /* bytes */
	uint8_t load[MSP_MEMBER_LOAD_MAX]; /* opaque here */
} msp_member_t;

#endif
