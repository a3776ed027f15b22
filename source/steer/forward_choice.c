#include "monsoonspindle/steer/forward_choice.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "monsoonspindle/base/map.h"

#define KEY_SIZE 256 /* bytes of a key of the map */
/* Entries from which on those that have expired are removed. */
#define ENTRIES_MAX 2048

/* Ranks of a VM's distance, and what is added for a data centre tried. */
enum {
	RANK_SAME_PLACE,
	RANK_SAME_REGION,
	RANK_ELSEWHERE,
	RANK_PLACE_TRIED,
};

/* A VM that is passed over. */
typedef struct forward_pause {
	msp_time_t until;
	msp_time_t span;
} forward_pause_t;

struct msp_forward_choice {
	msp_env_t env;
	msp_map_t *pauses; /* forward_pause_t by VM, or by VM and service */
};

static const struct {
	msp_time_t first;
	msp_time_t last;
} spans[] = {
    [MSP_FORWARD_UNREACHABLE] = {2 * MSP_SECOND, 32 * MSP_SECOND},
    [MSP_FORWARD_NO_TARGET] = {1 * MSP_SECOND, 4 * MSP_SECOND},
};

msp_forward_choice_t *
msp_new_forward_choice(const msp_env_t *env)
{
	msp_forward_choice_t *choice = calloc(1, sizeof(*choice));

	if (choice == NULL)
		return NULL;
	choice->env = *env;
	choice->pauses = msp_new_map();
	if (choice->pauses != NULL)
		return choice;
	free(choice);
	return NULL;
}

/* Removes the pauses that have ended by `now`. */
static void
remove_pauses(msp_forward_choice_t *choice, msp_time_t now)
{
	const char *key;
	void *pause;
	size_t cursor = 0;

	while (msp_map_next(choice->pauses, &cursor, &key, &pause)) {
		if (((forward_pause_t *)pause)->until > now)
			continue;
		msp_map_remove(choice->pauses, key);
		free(pause);
	}
}

void
msp_drop_forward_choice(msp_forward_choice_t *choice)
{
	if (choice == NULL)
		return;
	remove_pauses(choice, MSP_NEVER);
	msp_drop_map(choice->pauses);
	free(choice);
}

static void
print_key(char *key, const msp_forward_vm_t *vm, const char *service,
    msp_forward_failure_t failure)
{
	snprintf(key, KEY_SIZE, "%s:%u %s", vm->address, vm->port,
	    failure == MSP_FORWARD_NO_TARGET ? service : "");
}

static bool
is_paused(const msp_forward_choice_t *choice, const msp_forward_vm_t *vm,
    const char *service, msp_forward_failure_t failure)
{
	char key[KEY_SIZE];
	const forward_pause_t *pause;

	print_key(key, vm, service, failure);
	pause = msp_map_get(choice->pauses, key);
	return pause != NULL && msp_now(&choice->env) < pause->until;
}

static bool
is_same_vm(const msp_forward_vm_t *a, const msp_forward_vm_t *b)
{
	return a->port == b->port && strcmp(a->address, b->address) == 0;
}

/* Returns false if the request must not go to the VM. */
static bool
rank_vm(const msp_forward_query_t *query, const msp_forward_vm_t *vm,
    unsigned int *rank)
{
	size_t i;

	if (msp_has_homes(&query->homes) &&
	    (vm->region == NULL || !msp_homes_allow(&query->homes, vm->region)))
		return false;
	*rank = RANK_ELSEWHERE;
	if (strcmp(vm->place, query->place) == 0)
		*rank = RANK_SAME_PLACE;
	else if (vm->region != NULL && strcmp(vm->region, query->region) == 0)
		*rank = RANK_SAME_REGION;
	for (i = 0; i < query->tried_count; i++) {
		if (is_same_vm(&query->tried[i], vm))
			return false;
		if (*rank < RANK_PLACE_TRIED &&
		    strcmp(query->tried[i].place, vm->place) == 0)
			*rank += RANK_PLACE_TRIED;
	}
	return true;
}

void
msp_offer_forward_vm(msp_forward_choice_t *choice,
    const msp_forward_query_t *query, const msp_forward_vm_t *vm,
    msp_forward_pick_t *pick)
{
	unsigned int rank;

	if (!rank_vm(query, vm, &rank) ||
	    (pick->vm.address != NULL && rank > pick->rank) ||
	    is_paused(choice, vm, query->service, MSP_FORWARD_UNREACHABLE) ||
	    is_paused(choice, vm, query->service, MSP_FORWARD_NO_TARGET))
		return;
	if (pick->vm.address == NULL || rank < pick->rank) {
		*pick = (msp_forward_pick_t){
		    .vm = *vm, .rank = rank, .equal_count = 1};
		return;
	}
	/* Each of the equals is kept with the same probability. */
	pick->equal_count++;
	if (msp_random_below(&choice->env, pick->equal_count) == 0)
		pick->vm = *vm;
}

void
msp_pass_over_forward_vm(msp_forward_choice_t *choice,
    const msp_forward_vm_t *vm, const char *service,
    msp_forward_failure_t failure)
{
	msp_time_t now = msp_now(&choice->env);
	char key[KEY_SIZE];
	forward_pause_t *pause;

	print_key(key, vm, service, failure);
	pause = msp_map_get(choice->pauses, key);
	if (pause == NULL) {
		if (msp_map_count(choice->pauses) >= ENTRIES_MAX)
			remove_pauses(choice, now);
		pause = calloc(1, sizeof(*pause));
		if (pause == NULL)
			return;
		if (msp_map_put(choice->pauses, key, pause) != MSP_OK) {
			free(pause);
			return;
		}
	}
	/* Requests that were under way together count as one failure. */
	if (now < pause->until)
		return;
	if (pause->span == 0 || now >= pause->until + pause->span)
		pause->span = spans[failure].first;
	else if (pause->span < spans[failure].last)
		pause->span *= 2;
	pause->until = now + pause->span;
}

void
msp_trust_forward_vm(msp_forward_choice_t *choice, const msp_forward_vm_t *vm,
    const char *service)
{
	char key[KEY_SIZE];

	print_key(key, vm, service, MSP_FORWARD_UNREACHABLE);
	free(msp_map_remove(choice->pauses, key));
	print_key(key, vm, service, MSP_FORWARD_NO_TARGET);
	free(msp_map_remove(choice->pauses, key));
}
