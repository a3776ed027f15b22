#include "monsoonspindle/coord/claim_outcome.h"

#include <stdlib.h>
#include <string.h>

static size_t
text_size(const msp_claim_outcome_t *outcome)
{
	size_t size = outcome->body_len + 1;
	size_t i;

	for (i = 0; i < outcome->field_count; i++)
		size += strlen(outcome->fields[i].name) +
		    strlen(outcome->fields[i].value) + 2;
	return size;
}

/* Copies `len` bytes and a null byte to *end, and advances *end. */
static const char *
append_text(char **end, const char *data, size_t len)
{
	char *start = *end;

	if (len > 0)
		memcpy(start, data, len);
	start[len] = '\0';
	*end = start + len + 1;
	return start;
}

msp_claim_outcome_t *
msp_copy_claim_outcome(const msp_claim_outcome_t *outcome)
{
	size_t fields_size = outcome->field_count * sizeof(msp_claim_field_t);
	msp_claim_outcome_t *copy =
	    malloc(sizeof(*copy) + fields_size + text_size(outcome));
	msp_claim_field_t *fields;
	char *end;
	size_t i;

	if (copy == NULL)
		return NULL;
	fields = (msp_claim_field_t *)(copy + 1);
	end = (char *)(fields + outcome->field_count);
	*copy = *outcome;
	copy->fields = fields;
	for (i = 0; i < outcome->field_count; i++) {
		const msp_claim_field_t *from = &outcome->fields[i];

		fields[i].name =
		    append_text(&end, from->name, strlen(from->name));
		fields[i].value =
		    append_text(&end, from->value, strlen(from->value));
	}
	copy->body = append_text(&end, outcome->body, outcome->body_len);
	return copy;
}
