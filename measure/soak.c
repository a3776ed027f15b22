#include <stdio.h>
#include <stdlib.h>

#include <argtable2.h>

#include "soak.h"

/*
 * A soak of real processes of the edge proxy; see tests/support/soak.h. Prints
 * one line of figures. The exit code is 1 if a rule was broken.
 */

#define DEFAULT_SECONDS 10
#define DEFAULT_VMS 4
#define DEFAULT_TARGETS 8
#define PATH_SIZE 256

static void
print_result(const soak_options_t *options, const soak_result_t *result)
{
	printf(
	    "profile=%s seed=%llu seconds=%u vms=%u targets=%u requests=%u "
	    "unsafe=%u served=%u refused=%u failed=%u cut=%u left=%u "
	    "unanswered=%u pipelined=%u unread=%u "
	    "runs=%u shed=%u endless=%u worst_memory_mb=%u extra=%u limits=%u "
	    "limit_use=%.2f "
	    "worst_limit=%.2f pauses=%u worst_pause=%u versions=%u bytes=%u "
	    "homes=%u lag_ms=%u "
	    "faults=%u restores=%u cuts=%u cut_served=%u/%u whole_served=%u/%u "
	    "REFUSED=%u TWICE=%u "
	    "MIXED=%u UNASKED=%u ROUTE=%u UNREAD=%u LOST=%u DROPPED=%u "
	    "BUDGET=%u/%u worst_budget=%.2f TIME=%u GONE=%u LIMIT=%u PAUSE=%u "
	    "HOME=%u CONFIG=%u/%u KEYS=%u+%u/%u QUOTA=%u DRAIN=%u/%u "
	    "worst_drain_ms=%u RECOVER=%u "
	    "crashes=%u+%u CRASHES=%u RETURN=%u %u/%u "
	    "crashed=%u "
	    "folder=%s\n",
	    options->profile, (unsigned long long)options->seed,
	    options->seconds, options->vms, options->targets, result->requests,
	    result->unsafe, result->served, result->refused, result->failed,
	    result->cut, result->left, result->unanswered, result->pipelined,
	    result->unread, result->runs, result->shed, result->endless,
	    result->worst_memory_mb, result->extra, result->limits,
	    result->limit_capacity > 0
		? result->limit_used / result->limit_capacity
		: 0,
	    result->worst_limit_ratio, result->pauses, result->worst_pause,
	    result->route_versions, result->route_bytes, result->judged_homes,
	    result->lag_ms, result->faults, result->restores, result->cuts,
	    result->cut_served, result->cut_tries, result->whole_served,
	    result->whole_tries, result->refused_but_run, result->run_twice,
	    result->mixed, result->unasked, result->misrouted,
	    result->unread_but_run, result->lost, result->dropped,
	    result->over_budget, result->repeats, result->worst_budget,
	    result->beyond_time, result->to_gone, result->over_limit,
	    result->in_pauses, result->outside_home, result->by_older_routes,
	    result->judged_markers, result->wrong_organisation,
	    result->by_older_keys, result->judged_keys, result->over_rate,
	    result->to_leaving, result->judged_drains, result->worst_drain_ms,
	    result->not_recovered, result->crashes, result->late_crashes,
	    result->crashed_again, result->not_returned, result->return_served,
	    result->return_sent, result->crashed,
	    result->folder[0] == '\0' ? "-" : result->folder);
}

int
main(int argc, char **argv)
{
	struct arg_int *seed = arg_int0(NULL, "seed", "N", "seed (1)");
	struct arg_int *position = arg_int0(NULL, NULL, "SEED", "the same");
	struct arg_int *seconds =
	    arg_int0(NULL, "seconds", "N", "duration (10)");
	struct arg_int *vms = arg_int0(NULL, "vms", "N", "processes (4)");
	struct arg_int *targets = arg_int0(NULL, "targets", "N", "targets (8)");
	struct arg_dbl *rate =
	    arg_dbl0(NULL, "rate", "N", "requests per second");
	struct arg_str *profile =
	    arg_str0(NULL, "profile", "NAME", "profile (calm)");
	struct arg_str *spindled = arg_str0(
	    NULL, "spindled", "PATH", "the daemon ($OUT/bin/spindled)");
	struct arg_lit *keep = arg_lit0(NULL, "keep", "keep the logs");
	struct arg_end *end = arg_end(4);
	void *table[] = {seed, position, seconds, vms, targets, rate, profile,
	    spindled, keep, end};
	const char *out = getenv("OUT");
	char path[PATH_SIZE];
	char preload[PATH_SIZE];
	soak_options_t options;
	soak_result_t result;
	int code = 2;

	snprintf(path, sizeof(path), "%s/bin/spindled",
	    out == NULL ? "build/release" : out);
	snprintf(preload, sizeof(preload), "%s/preload/own_links.so",
	    out == NULL ? "build/release" : out);
	position->ival[0] = 1;
	seconds->ival[0] = DEFAULT_SECONDS;
	vms->ival[0] = DEFAULT_VMS;
	targets->ival[0] = DEFAULT_TARGETS;
	rate->dval[0] = 0;
	profile->sval[0] = "calm";
	spindled->sval[0] = path;
	if (arg_parse(argc, argv, table) > 0) {
		arg_print_errors(stderr, end, argv[0]);
		arg_print_glossary(stderr, table, "  %-20s %s\n");
		goto out;
	}
	options = (soak_options_t){
	    .seed = (uint64_t)(seed->count > 0 ? seed : position)->ival[0],
	    .seconds = (unsigned int)seconds->ival[0],
	    .vms = (unsigned int)vms->ival[0],
	    .targets = (unsigned int)targets->ival[0],
	    .rate = rate->dval[0],
	    .profile = profile->sval[0],
	    .spindled = spindled->sval[0],
	    .preload = preload,
	    .keep_logs = keep->count > 0,
	};
	if (run_soak(&options, &result) != 0)
		goto out;
	print_result(&options, &result);
	code = count_soak_violations(&result) > 0;
out:
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return code;
}
