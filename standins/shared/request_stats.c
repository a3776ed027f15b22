#include "request_stats.h"

#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>

#include "reply.h"

#define US_PER_MS 1000.0

void
init_request_stats(request_stats_t *tally, msp_time_t now)
{
	*tally = (request_stats_t){.start_time = now};
	tally->failures = msp_new_counters();
	if (tally->failures == NULL)
		abort();
}

void
drop_request_stats(request_stats_t *tally)
{
	msp_drop_counters(tally->failures);
}

void
name_outcome(const msp_call_result_t *result, char kind[FAILURE_KIND_SIZE])
{
	const msp_response_t *response = result->response;
	json_object *problem;

	kind[0] = '\0';
	if (result->status != MSP_OK) {
		snprintf(kind, FAILURE_KIND_SIZE, "client-%s",
		    msp_status_name(result->status));
		return;
	}
	if (response->status >= 200 && response->status < 300)
		return;
	problem = json_tokener_parse(msp_buffer_text(&response->body));
	snprintf(kind, FAILURE_KIND_SIZE, "%d-%s", response->status,
	    problem == NULL ? "answer"
			    : get_member_text(problem, "kind", "answer"));
	json_object_put(problem);
}

void
count_whole(request_stats_t *tally, msp_time_t latency)
{
	tally->whole++;
	msp_record_value(&tally->latency, latency);
}

void
record_failed_request(
    request_stats_t *tally, const char *kind, msp_time_t latency)
{
	msp_add_to_counter(tally->failures, 1, "%s", kind);
	msp_record_value(&tally->failure_latency, latency);
}

static double
quantile_ms(const msp_histogram_t *histogram, double q)
{
	return (double)msp_quantile(histogram, q) / US_PER_MS;
}

static void
print_json(const request_stats_t *tally, double seconds, FILE *out)
{
	json_object *object = json_object_new_object();
	json_object *kinds = json_object_new_object();
	msp_buffer_t text = {0};
	char *save = NULL;
	char *line;

	msp_print_counters(tally->failures, &text);
	for (line = text.len > 0 ? strtok_r(text.data, " \n", &save) : NULL;
	     line != NULL; line = strtok_r(NULL, " \n", &save))
		json_object_object_add(kinds, line,
		    json_object_new_int64(
			strtoll(strtok_r(NULL, " \n", &save), NULL, 10)));
	json_object_object_add(object, "requests",
	    json_object_new_int64((int64_t)tally->requests));
	json_object_object_add(
	    object, "resends", json_object_new_int64((int64_t)tally->retries));
	json_object_object_add(
	    object, "whole", json_object_new_int64((int64_t)tally->whole));
	json_object_object_add(object, "refused", kinds);
	json_object_object_add(object, "p50_ms",
	    json_object_new_double(quantile_ms(&tally->latency, 0.5)));
	json_object_object_add(object, "p99_ms",
	    json_object_new_double(quantile_ms(&tally->latency, 0.99)));
	json_object_object_add(object, "p999_ms",
	    json_object_new_double(quantile_ms(&tally->latency, 0.999)));
	json_object_object_add(object, "whole_per_s",
	    json_object_new_double((double)tally->whole / seconds));
	json_object_object_add(
	    object, "seconds", json_object_new_double(seconds));
	fprintf(out, "%s\n",
	    json_object_to_json_string_ext(object, JSON_C_TO_STRING_PLAIN));
	json_object_put(object);
	msp_drop_buffer(&text);
}

void
print_request_stats(
    const request_stats_t *tally, msp_time_t now, bool json, FILE *out)
{
	double seconds =
	    (double)(now - tally->start_time + 1) / (double)MSP_SECOND;
	msp_buffer_t kinds = {0};

	if (json) {
		print_json(tally, seconds, out);
		return;
	}
	msp_print_counters(tally->failures, &kinds);
	fprintf(out,
	    "requests   %llu in %.2f s, %llu sent again\n"
	    "whole      %llu, %.0f/s\n"
	    "latency    p50 %.2f ms, p99 %.2f ms, p99.9 %.2f ms\n",
	    (unsigned long long)tally->requests, seconds,
	    (unsigned long long)tally->retries,
	    (unsigned long long)tally->whole, (double)tally->whole / seconds,
	    quantile_ms(&tally->latency, 0.5),
	    quantile_ms(&tally->latency, 0.99),
	    quantile_ms(&tally->latency, 0.999));
	if (kinds.len > 0)
		fprintf(out, "refused by kind, p99 %.2f ms\n%s",
		    quantile_ms(&tally->failure_latency, 0.99), kinds.data);
	msp_drop_buffer(&kinds);
}
