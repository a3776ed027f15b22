#ifndef MONSOONSPINDLE_COORD_PROTOCOL_H
#define MONSOONSPINDLE_COORD_PROTOCOL_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Versions of what VMs say to each other. Builds of several versions run side
 * by side while VMs are upgraded, so each VM announces the range that it
 * speaks. docs/DESIGN.md, "Old and new builds", tells how a message may change.
 */
typedef enum msp_protocol_version {
	MSP_PROTOCOL_FIRST = 1, /* of builds that announce no range */
	/* Readers of tables are ranked by the speed of their links. */
	MSP_PROTOCOL_LINK_SPEED = 2,
	/* A VM whose row is marked as doubted writes it again at once. */
	MSP_PROTOCOL_DOUBTS = 3,
} msp_protocol_version_t;

#define MSP_PROTOCOL_OLDEST MSP_PROTOCOL_FIRST
#define MSP_PROTOCOL_NEWEST MSP_PROTOCOL_DOUBTS

/* The versions that a VM speaks. */
typedef struct msp_protocol_range {
	uint32_t oldest;
	uint32_t newest; /* 0: not known */
} msp_protocol_range_t;

#endif
