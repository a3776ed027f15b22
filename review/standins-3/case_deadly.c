#include "deployment.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * A request that crashes each server that begins to run it comes again and
 * again, while the machines are stopped and started in turn. Exits with 1 if
 * it comes more than three times and reaches servers, sent by machines in
 * touch, later than contactMs after it has crashed the third.
 */

#define DEADLY_PATH "/list/deadly"
#define CONTACT_S 4.0 /* contactMs */
#define CALM_S 5.0
#define SETTLE_S 5.0 /* after a start, until the request comes again */
#define BACK_S 2.0 /* after a crash */
#define LAPSE_S 4.5 /* three missed heartbeats */
#define RETRIES_MAX 3
#define CRASHES_MAX 64

/* A server that has crashed. */
typedef struct crash {
	int index;
	char id[32];
	double at;
	bool is_replaced;
	bool has_lapsed;
} crash_t;

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static deployment_t deployment;
static crash_t crashes[CRASHES_MAX];
static int crash_count;
static double started_at[DEPLOYMENT_MACHINES + 1];
static int arrival_count; /* that count */
static int retry_count; /* requests of which they are */
static char last_retry[32]; /* its id */
static unsigned int cut_count; /* other requests, on servers that crashed */
static volatile bool ends;

/* Other requests matter only where they run. */
static void
ignore_request(const sent_request_t *request)
{
	(void)request;
}


static int
find_server(const upstream_t *upstream)
{
	int i;

	for (i = 0; i < DEPLOYMENT_SERVERS; i++) {
		if (deployment.servers[i] == upstream)
			return i;
	}
	return -1;
}

static bool
is_in_touch(int machine)
{
	return now_s() > started_at[machine] + CONTACT_S;
}

static bool
note_arrival(
    upstream_t *upstream, int machine, const char *id, const char *start)
{
	crash_t *crash;
	bool counts;

	if (strstr(start, DEADLY_PATH " ") == NULL)
		return true;
	pthread_mutex_lock(&lock);
	counts = crash_count >= 3 && is_in_touch(machine) &&
	    now_s() > crashes[2].at + CONTACT_S;
	arrival_count += counts;
	if (counts && strcmp(last_retry, id) != 0) {
		retry_count++;
		snprintf(last_retry, sizeof(last_retry), "%s", id);
	}
	if (crash_count == CRASHES_MAX)
		give_up("too many crashes");
	crash = &crashes[crash_count++];
	*crash = (crash_t){.index = find_server(upstream), .at = now_s()};
	snprintf(crash->id, sizeof(crash->id), "%s", upstream->id);
	cut_count += (unsigned int)upstream->running;
	record("crash %d: request %s from machine %d begins to run on %s, which "
	       "crashes; %d others were running there%s",
	    crash_count, id, machine, upstream->id, upstream->running,
	    counts ? "; COUNTS" : "");
	pthread_mutex_unlock(&lock);
	crash_upstream(upstream);
	return false;
}

/* Starts new servers some seconds after crashes, and removes old rows. */
static void *
run_platform(void *ctx)
{
	(void)ctx;
	while (!ends) {
		int i;

		for (i = 0; i < crash_count; i++) {
			crash_t *crash = &crashes[i];

			if (!crash->is_replaced &&
			    now_s() > crash->at + BACK_S) {
				crash->is_replaced = true;
				record("%s starts in the place of %s",
				    replace_server(&deployment, crash->index)
					->id,
				    crash->id);
			}
			if (!crash->has_lapsed &&
			    now_s() > crash->at + LAPSE_S) {
				crash->has_lapsed = true;
				remove_row("servers", crash->id);
			}
		}
		sleep_until(now_s() + 0.1);
	}
	return NULL;
}

static void
send_deadly(int index)
{
	const machine_t *machine = deployment.machines[index];
	answer_t answer = {0};
	client_t client;
	int before = crash_count;

	open_client(&client, machine);
	ask(&client, "GET", DEADLY_PATH, 1200, &answer);
	close_client(&client);
	sleep_until(now_s() + 0.5);
	record("the request comes to machine %d: answered %d, crashes %d",
	    machine->number, answer.status, crash_count - before);
}

static void
restart(int index)
{
	machine_t *machine = deployment.machines[index];

	record("machine %d gets SIGTERM", machine->number);
	stop_machine(machine);
	start_machine_again(machine);
	started_at[machine->number] = now_s();
	record("machine %d has ended and starts again", machine->number);
	wait_until_ready();
}

int
main(int argc, char **argv)
{
	pthread_t platform;
	int i;

	open_record(argc > 1 ? argv[1] : "record.txt");
	set_port_range(25000);
	deployment = (deployment_t){.on_arrival = note_arrival,
	    .on_sent = ignore_request,
	    .on_answered = ignore_request};
	start_deployment(&deployment);
	pthread_create(&platform, NULL, run_platform, NULL);
	sleep_until(now_s() + CALM_S);
	start_traffic(&deployment);
	sleep_until(now_s() + CALM_S);
	send_deadly(0);
	if (crash_count < 2)
		give_up("the request has not crashed two servers");
	sleep_until(now_s() + SETTLE_S);
	for (i = 0; i < DEPLOYMENT_MACHINES; i++)
		send_deadly(i);
	for (i = 0; i < DEPLOYMENT_MACHINES; i++) {
		if (has_trouble())
			restart(i);
		sleep_until(now_s() + SETTLE_S);
		send_deadly(i);
	}
	sleep_until(now_s() + BACK_S);
	stop_traffic();
	ends = true;
	pthread_join(platform, NULL);
	record("%s: %d crashes, which cut %u other requests; %d retries that "
	       "count, of which 3 are allowed; they reached servers %d times",
	    retry_count > RETRIES_MAX ? "BROKEN" : "HELD", crash_count,
	    cut_count, retry_count, arrival_count);
	close_world();
	return retry_count > RETRIES_MAX ? 1 : 0;
}
