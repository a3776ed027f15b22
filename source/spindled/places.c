#include "places.h"

#include <stdlib.h>

#include "daemon.h"

struct places {
	daemon_t *daemon;
};

places_t *
new_places(struct daemon *daemon)
{
	places_t *places = calloc(1, sizeof(*places));

	if (places != NULL)
		places->daemon = daemon;
	return places;
}

void
drop_places(places_t *places)
{
	free(places);
}

bool
choose_place(places_t *places, const work_t *work, place_choice_t *choice)
{
	(void)places;
	(void)work;
	(void)choice;
	return false;
}

struct json_object *
describe_places(const places_t *places)
{
	(void)places;
	return NULL;
}
