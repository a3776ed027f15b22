#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "monsoonspindle/base.h"
#include "monsoonspindle/config.h"

/*
 * What it costs to look up an API key, by the number of keys: those that are
 * known, those that are not, and those that differ in the last byte only.
 */

#define LOOKUPS 2000000
#define KEYS_EACH 2
#define KEY_SIZE 32

static msp_organisations_t *
new_set(unsigned int keys)
{
	msp_organisations_t *set = msp_new_organisations();
	msp_organisation_t *organisation;
	char key[KEY_SIZE];
	unsigned int i;

	for (i = 0; set != NULL && i < keys; i++) {
		if (i % KEYS_EACH == 0) {
			organisation = msp_add_organisation(set);
			if (organisation == NULL)
				abort();
			snprintf(organisation->name, sizeof(organisation->name),
			    "organisation-%u", i);
		}
		snprintf(key, sizeof(key), "key-of-20-bytes-%04u", i);
		if (msp_add_api_key(set, key, strlen(key)) != MSP_OK)
			abort();
	}
	if (set == NULL || msp_finish_organisations(set) != MSP_OK)
		abort();
	return set;
}

/* Nanoseconds of one look-up. */
static double
measure(const msp_organisations_t *set, unsigned int keys, const char *end)
{
	msp_env_t env = msp_system_env();
	char text[1024][KEY_SIZE];
	msp_time_t start;
	size_t found = 0;
	unsigned int i;

	for (i = 0; i < 1024; i++)
		snprintf(text[i], sizeof(text[i]), "key-of-20-bytes-%04u%s",
		    (i * 7919) % keys, end);
	start = msp_now(&env);
	for (i = 0; i < LOOKUPS; i++)
		found += msp_find_key_holder(set, text[i % 1024],
			     strlen(text[i % 1024])) != NULL;
	if ((found == 0) != (*end != '\0'))
		abort();
	return (double)(msp_now(&env) - start) * 1000 / LOOKUPS;
}

int
main(void)
{
	static const unsigned int sizes[] = {10, 1000, 10000, 100000};
	msp_organisations_t *set;
	size_t i;

	printf("| keys | known, ns | unknown, ns | bytes a key |\n"
	       "|---|---|---|---|\n");
	for (i = 0; i < sizeof(sizes) / sizeof(*sizes); i++) {
		set = new_set(sizes[i]);
		printf("| %u | %.0f | %.0f | %zu |\n", sizes[i],
		    measure(set, sizes[i], ""), measure(set, sizes[i], "x"),
		    msp_organisations_size(set) / sizes[i]);
		msp_drop_organisations(set);
	}
	return 0;
}
