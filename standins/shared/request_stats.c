#include "request_stats.h"

#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>

#include "reply.h"

#define US_PER_MS 1000.0

void
init_request_stats(request_stats_t *stats, msp_time_t now)
{
	*stats = (request_stats_t){.start_time = now};
	stats->failures = msp_new_counters();
	if (stats->failures == NULL)
		abort();
}

void
drop_request_stats(request_stats_t *stats)
{
	msp_drop_counters(stats->failures);
}

void
get_failure_kind(const msp_call_result_t *result, char kind[FAILURE_KIND_SIZE])
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
record_successful_request(request_stats_t *stats, msp_time_t latency)
{
	stats->successes++;
	msp_record_value(&stats->latency, latency);
}

void
record_failed_request(
    request_stats_t *stats, const char *kind, msp_time_t latency)
{
	msp_add_to_counter(stats->failures, 1, "%s", kind);
	msp_record_value(&stats->failure_latency, latency);
}

static double
get_quantile_ms(const msp_histogram_t *histogram, double q)
{
	return (double)msp_quantile(histogram, q) / US_PER_MS;
}

static void
print_json(const request_stats_t *stats, double seconds, FILE *out)
{
	json_object *object = json_object_new_object();
	json_object *failures = json_object_new_object();
	msp_buffer_t text = {0};
	char *save = NULL;
	char *name;

	msp_print_counters(stats->failures, &text);
	for (name = text.len > 0 ? strtok_r(text.data, " \n", &save) : NULL;
	     name != NULL; name = strtok_r(NULL, " \n", &save))
		json_object_object_add(failures, name,
		    json_object_new_int64(
			strtoll(strtok_r(NULL, " \n", &save), NULL, 10)));
	json_object_object_add(object, "requests",
	    json_object_new_int64((int64_t)stats->requests));
	json_object_object_add(
	    object, "resends", json_object_new_int64((int64_t)stats->retries));
	json_object_object_add(
	    object, "whole", json_object_new_int64((int64_t)stats->successes));
	json_object_object_add(object, "refused", failures);
	json_object_object_add(object, "p50_ms",
	    json_object_new_double(get_quantile_ms(&stats->latency, 0.5)));
	json_object_object_add(object, "p99_ms",
	    json_object_new_double(get_quantile_ms(&stats->latency, 0.99)));
	json_object_object_add(object, "p999_ms",
	    json_object_new_double(get_quantile_ms(&stats->latency, 0.999)));
	json_object_object_add(object, "whole_per_s",
	    json_object_new_double((double)stats->successes / seconds));
	json_object_object_add(
	    object, "seconds", json_object_new_double(seconds));
	fprintf(out, "%s\n",
	    json_object_to_json_string_ext(object, JSON_C_TO_STRING_PLAIN));
	json_object_put(object);
	msp_drop_buffer(&text);
}

void
print_request_stats(
    const request_stats_t *stats, msp_time_t now, bool json, FILE *out)
{
	double seconds =
	    (double)(now - stats->start_time + 1) / (double)MSP_SECOND;
	msp_buffer_t failures = {0};

	if (json) {
		print_json(stats, seconds, out);
		return;
	}
	msp_print_counters(stats->failures, &failures);
	fprintf(out,
	    "requests   %llu in %.2f s, %llu retries\n"
	    "successful %llu, %.0f/s\n"
	    "latency    p50 %.2f ms, p99 %.2f ms, p99.9 %.2f ms\n",
	    (unsigned long long)stats->requests, seconds,
	    (unsigned long long)stats->retries,
	    (unsigned long long)stats->successes,
	    (double)stats->successes / seconds,
	    get_quantile_ms(&stats->latency, 0.5),
	    get_quantile_ms(&stats->latency, 0.99),
	    get_quantile_ms(&stats->latency, 0.999));
	if (failures.len > 0)
		fprintf(out, "failed by kind, p99 %.2f ms\n%s",
		    get_quantile_ms(&stats->failure_latency, 0.99),
		    failures.data);
	msp_drop_buffer(&failures);
}
