#ifndef SPINDLED_PLACES_H
#define SPINDLED_PLACES_H

#include "work.h"

struct daemon;

/* What this VM knows of other data centres. */
typedef struct places places_t;

/* A VM of another data centre that may take a work. */
typedef struct place_choice {
	char vm[WORK_NAME_SIZE];
	char place[WORK_NAME_SIZE];
	char address[48];
	uint16_t peer_port;
	const char *reason; /* static */
} place_choice_t;

places_t *new_places(struct daemon *daemon);
void drop_places(places_t *places);

/*
 * Chooses where a work may go that its own data centre did not take: one that
 * was not tried, the region's own first. Returns false if there is none.
 */
bool choose_place(
    places_t *places, const work_t *work, place_choice_t *choice);

/*
 * Chooses a VM of another data centre that has a newer release than `after`.
 * Returns false if there is none.
 */
bool choose_release_peer(
    places_t *places, uint64_t after, place_choice_t *choice);

/* The release in force has changed. */
void update_places(places_t *places);

struct json_object;

/* The other data centres as JSON; the caller puts it. */
struct json_object *describe_places(const places_t *places);

#endif
