#include "deployment.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * A server leaves while the platform's store is down. It can't report that it
 * is draining, and says so in all its answers. Exits with 1 if a machine sends
 * it a request that a client sent later than drainMs after the machine had
 * passed on such an answer.
 */

#define DRAIN_S 2.5 /* drainMs */
#define DOWN_S 4.5 /* platform_down of the site file */
#define CALM_S 5.0
#define LEAVES_AFTER_S 0.3 /* of the outage */
#define LONGER_S 1.0 /* for which a server goes on after drainMs */
#define REQUESTS_MAX 65536

/* Of each request, when its client sent it. */
typedef struct sent {
	char id[32];
	double at;
} sent_t;

static sent_t sent[REQUESTS_MAX];
static size_t sent_count;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static upstream_t *leaver;
static double leaves_at; /* 0: it does not */
static double passed_on_at[DEPLOYMENT_MACHINES + 1];
static int late_count[DEPLOYMENT_MACHINES + 1];

static void
note_sent(const sent_request_t *request)
{
	pthread_mutex_lock(&lock);
	if (sent_count == REQUESTS_MAX)
		give_up("too many requests");
	snprintf(sent[sent_count].id, sizeof(sent[sent_count].id), "%s",
	    request->answer.request_id);
	sent[sent_count++].at = request->sent_at;
	pthread_mutex_unlock(&lock);
}

/* The answer is the leaver's own, given since it says that it leaves. */
static bool
says_leaving(const sent_request_t *request)
{
	return leaves_at != 0 && request->sent_at > leaves_at &&
	    strcmp(request->answer.served_by, leaver->id) == 0;
}

static void
note_answered(const sent_request_t *request)
{
	pthread_mutex_lock(&lock);
	if (passed_on_at[request->machine] == 0 && says_leaving(request)) {
		passed_on_at[request->machine] = request->answered_at;
		record("machine %d passes on an answer of %s with "
		       "Server-Leaving, request %s",
		    request->machine, leaver->id, request->answer.request_id);
	}
	pthread_mutex_unlock(&lock);
}

static double
find_sent(const char *id)
{
	size_t i;

	for (i = sent_count; i-- > 0;) {
		if (strcmp(sent[i].id, id) == 0)
			return sent[i].at;
	}
	give_up("a request that nobody sent: %s", id);
}

static bool
note_arrival(
    upstream_t *upstream, int machine, const char *id, const char *start)
{
	double sent_at;
	double bound;

	(void)start;
	if (upstream != leaver)
		return true;
	pthread_mutex_lock(&lock);
	sent_at = find_sent(id);
	bound = passed_on_at[machine] + DRAIN_S;
	if (passed_on_at[machine] != 0 && sent_at > bound) {
		late_count[machine]++;
		record("LATE: request %s, sent %.0f ms after the bound, "
		       "reaches %s from machine %d and runs",
		    id, (sent_at - bound) * 1000, upstream->id, machine);
	}
	pthread_mutex_unlock(&lock);
	return true;
}

int
main(int argc, char **argv)
{
	deployment_t deployment = {
	    .on_arrival = note_arrival,
	    .on_sent = note_sent,
	    .on_answered = note_answered};
	double at;
	int late = 0;
	int passed_on = 0;
	int i;

	open_record(argc > 1 ? argv[1] : "record.txt");
	set_port_range(24000);
	start_deployment(&deployment);
	leaver = deployment.servers[0];
	sleep_until(now_s() + CALM_S);
	start_traffic(&deployment);
	at = now_s() + CALM_S;
	sleep_until(at);
	if (has_trouble()) {
		set_store_state(STORE_BUSY);
		record("the store is down: 503 to every call");
	}
	sleep_until(at + LEAVES_AFTER_S);
	pthread_mutex_lock(&leaver->lock);
	leaver->draining = true;
	leaver->says_leaving = true;
	pthread_mutex_unlock(&leaver->lock);
	leaves_at = now_s();
	record("%s leaves, and says Server-Leaving: 1 in all its answers",
	    leaver->id);
	report_upstream(leaver);
	sleep_until(at + DOWN_S);
	if (has_trouble()) {
		set_store_state(STORE_WORKS);
		record("the store works again");
	}
	report_upstream(leaver);
	record("%s has reported that it is draining", leaver->id);
	sleep_until(now_s() + DRAIN_S + LONGER_S);
	stop_traffic();
	for (i = 1; i <= DEPLOYMENT_MACHINES; i++) {
		passed_on += passed_on_at[i] != 0;
		record("machine %d: passed on at %.3f, late requests %d", i,
		    passed_on_at[i], late_count[i]);
		late += late_count[i];
	}
	record("%s: %d requests later than drainMs after Server-Leaving",
	    late > 0 ? "BROKEN" : "HELD", late);
	if (has_trouble() && passed_on == 0)
		give_up("no machine has passed on an answer of the server");
	close_world();
	return late > 0 ? 1 : 0;
}
