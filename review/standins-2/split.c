/*
 * Case 10: clients of a tenant move from one data centre to the other for some
 * seconds, and come back while the two are cut off from each other. Then the
 * tenant sends many times its usual. A second tenant's clients stay where they
 * are.
 *
 * usage: split FOLDER RECORD
 */
#define CASE 10 /* whose ports are used */
#include "kit.h"

#define ZONES 2
#define PER_ZONE 2
#define VMS (ZONES * PER_ZONE)
#define TARGETS 12
#define SLOTS 9
#define NORTH 0
#define SOUTH 1
#define LIMIT_PER_S 100
#define BURST 20
#define USUAL_NORTH_PER_S 47
#define USUAL_SOUTH_PER_S 15
#define HOT 7.5 /* times the usual */
#define STAYING_PER_S 12 /* of the other tenant, in the north */
#define CONTACT_S 4.0 /* contactMs */
#define AWAY_S 7.0 /* for which the clients are in the south */
#define CUT_S 5.0
#define BACK_S 1.5 /* after the begin of the cut */
#define HOT_S 6.5
#define WINDOW_S 5.0 /* quotaWindowS */
#define OVER 0.1 /* quotaOver */
#define SLACK 20 /* quotaSlack */
#define REQUESTS_MAX 40000
#define RELAYS_MAX 64

static const place_t places[ZONES] = {
    {"north-a", "north"}, {"south-a", "south"}};
static vm_t vms[VMS];
static target_t targets[TARGETS];
static door_t doors[ZONES];
/* Clients that send at a rate to the VMs of a zone in turn. */
typedef struct source {
	int zone;
	const char *key;
	bool is_judged; /* the tenant whose limit is looked at */
	volatile double per_s;
} source_t;

static source_t north = {
    .zone = NORTH, .key = "key-of-the-tenant-00", .is_judged = true};
static source_t south = {
    .zone = SOUTH, .key = "key-of-the-tenant-00", .is_judged = true};
static source_t staying = {
    .zone = NORTH, .key = "key-of-the-other-000", .per_s = STAYING_PER_S};
static volatile bool is_over;

/* Requests of the tenant by the number in their ids; times in s, 0: not. */
static double sent_at[REQUESTS_MAX];
static double run_at[REQUESTS_MAX];
static int across; /* requests that ran at a target of the other zone */

/* The network between the zones: each port has a relay to it. */

typedef struct relay {
	int fd;
	int port; /* by which the other zone reaches it */
	int to; /* the port itself */
} relay_t;

static relay_t relays[RELAYS_MAX];
static int relay_count;
static volatile bool is_cut;

typedef struct pipe_end {
	int from;
	int to;
	int *users; /* of the two connections */
} pipe_end_t;

/* Passes bytes on in one direction; while the zones are cut off, none. */
static void *
pass_on(void *ctx)
{
	pipe_end_t *end = ctx;
	char data[16384];
	ssize_t got;

	while ((got = recv(end->from, data, sizeof(data), 0)) > 0) {
		while (is_cut)
			pause_for(0.01);
		if (!send_all(end->to, data, (size_t)got))
			break;
	}
	while (is_cut)
		pause_for(0.01);
	shutdown(end->to, SHUT_RDWR);
	shutdown(end->from, SHUT_RDWR);
	if (__atomic_sub_fetch(end->users, 1, __ATOMIC_ACQ_REL) == 0) {
		close(end->from);
		close(end->to);
		free(end->users);
	}
	free(end);
	return NULL;
}

static void
start_pipe(int from, int to, int *users)
{
	pipe_end_t *end = malloc(sizeof(*end));

	*end = (pipe_end_t){.from = from, .to = to, .users = users};
	start_thread(pass_on, end);
}

static void *
serve_relay(void *ctx)
{
	relay_t *relay = ctx;
	int on = 1;

	for (;;) {
		int from = accept(relay->fd, NULL, NULL);
		int *users;
		int to;

		if (from < 0)
			return NULL;
		to = connect_to(relay->to);
		if (to < 0) {
			close(from);
			continue;
		}
		setsockopt(from, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		users = malloc(sizeof(*users));
		*users = 2;
		start_pipe(from, to, users);
		start_pipe(to, from, users);
	}
	return NULL;
}

static void
open_relay(int to)
{
	relay_t *relay = &relays[relay_count++];

	relay->to = to;
	relay->fd = listen_at(&relay->port);
	if (relay->fd < 0)
		cannot_run("no port for a relay");
	start_thread(serve_relay, relay);
}

static int
find_relay(int to)
{
	int i;

	for (i = 0; i < relay_count; i++) {
		if (relays[i].to == to)
			return relays[i].port;
	}
	return to;
}

static char *
from_base64(const char *base64)
{
	static const char set[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqr"
				  "stuvwxyz0123456789+/";
	char *out = calloc(1, strlen(base64) + 1);
	unsigned int bits = 0;
	int count = 0;
	size_t len = 0;

	for (; *base64 != '\0' && *base64 != '='; base64++) {
		bits = bits << 6 | (unsigned int)(strchr(set, *base64) - set);
		count += 6;
		if (count >= 8) {
			count -= 8;
			out[len++] = (char)(bits >> count & 0xff);
		}
	}
	return out;
}

/* Of a VM or a target in the other zone, the port becomes that of its relay. */
static char *
replace_port(const door_t *door, const char *table, const char *base64)
{
	const char *other = places[1 - door->zone].name;
	bool is_target = strcmp(table, "servers") == 0;
	const char *mark = is_target ? "127.0.0.1:" : "\"peer_port\":";
	char place[32];
	char text[1024];
	char *value;
	char *at;
	char *result = NULL;

	if (!is_target && strcmp(table, "vms") != 0)
		return NULL;
	value = from_base64(base64);
	at = strstr(value, mark);
	if (at != NULL &&
	    get_text(value, is_target ? "zone" : "place", place,
		sizeof(place)) &&
	    strcmp(place, other) == 0) {
		char *rest;
		long port = strtol(at + strlen(mark), &rest, 10);

		snprintf(text, sizeof(text), "%.*s%d%s",
		    (int)(at + strlen(mark) - value), value,
		    find_relay((int)port), rest);
		result = to_base64(text);
	}
	free(value);
	return result;
}

/* Traffic */

typedef struct request {
	const source_t *source;
	vm_t *vm;
} request_t;

static unsigned int
get_number(const char *id)
{
	unsigned int number = (unsigned int)strtoul(id + 8, NULL, 16);

	if (number >= REQUESTS_MAX)
		cannot_run("too many requests");
	return number;
}

static void
handle_run(target_t *target, const char *id, const char *path)
{
	/* Of the other tenant, sent_at is 0. */
	run_at[get_number(id)] = now();
	if (strncmp(path + strlen("/list/"), target->place, 5) != 0)
		__atomic_add_fetch(&across, 1, __ATOMIC_RELAXED);
	note("run %s at %s", id, target->id);
}

static void *
send_read(void *ctx)
{
	request_t *request = ctx;
	const source_t *source = request->source;
	char fields[80];
	char id[32];
	char path[64];
	answer_t answer;

	snprintf(fields, sizeof(fields), "Authorization: Bearer %s\r\n",
	    source->key);
	client_fields = fields;
	make_id(id, sizeof(id));
	snprintf(path, sizeof(path), "/list/%.5s/%s",
	    places[source->zone].name, id);
	note("send %s GET %s to %s, %s", id, path, request->vm->name,
	    source->is_judged ? "tenant" : "other");
	if (source->is_judged)
		sent_at[get_number(id)] = now();
	answer = send_request(request->vm, "GET", path, id, 2000, "");
	note("answer %s %d", id, answer.status);
	free(request);
	return NULL;
}

static void *
send_reads(void *ctx)
{
	source_t *source = ctx;
	double due = now();
	int next = 0;

	while (!is_over) {
		request_t *request;

		if (source->per_s == 0) {
			pause_for(0.01);
			due = now();
			continue;
		}
		request = malloc(sizeof(*request));
		*request = (request_t){.source = source,
		    .vm = &vms[source->zone * PER_ZONE + next]};
		next = (next + 1) % PER_ZONE;
		start_thread(send_read, request);
		due += 1.0 / source->per_s;
		pause_until(due);
	}
	return NULL;
}

static void
set_rates(double in_north, double in_south)
{
	north.per_s = in_north;
	south.per_s = in_south;
	note("the tenant's clients send %.0f a second in the north, %.0f in the "
	     "south",
	    in_north, in_south);
}

static void
put_manifest(void)
{
	char text[2048];

	snprintf(text, sizeof(text),
	    "{\"version\":\"r7\",\"routes\":[{\"name\":\"lists\","
	    "\"host\":\"desk.example\",\"prefix\":\"/list/\","
	    "\"kind\":\"idempotent\",\"timeoutMs\":2000,"
	    "\"targetLatencyMs\":500,\"priority\":1,\"service\":\"desk\","
	    "\"maxAttempts\":2,\"public\":false,\"stickySessions\":false,"
	    "\"homeRegions\":[]}],\"services\":[{\"name\":\"desk\","
	    "\"healthPath\":\"/health\",\"maxConns\":720,\"protocol\":\"h1\","
	    "\"tls\":false,\"coldStartS\":3.0,\"coldPerS\":17.0}],"
	    "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
	    "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
	    "\"tenants\":[{\"name\":\"tenant\",\"apiKeys\":"
	    "[\"key-of-the-tenant-00\"],\"priority\":1,\"ratePerS\":%d,"
	    "\"burst\":%d,\"homeRegions\":[]},{\"name\":\"other\","
	    "\"apiKeys\":[\"key-of-the-other-000\"],\"priority\":1,"
	    "\"ratePerS\":%d,\"burst\":%d,\"homeRegions\":[]}]}",
	    LIMIT_PER_S, BURST, LIMIT_PER_S, BURST);
	put_row("op", "config", text);
	note("the store acknowledges r7");
}

static void
start_all(const char *folder)
{
	int i;

	for (i = 0; i < ZONES; i++) {
		open_door(&doors[i]);
		doors[i].zone = i;
		doors[i].replace_value = replace_port;
	}
	for (i = 0; i < TARGETS; i++) {
		targets[i] = (target_t){
		    .slots = SLOTS, .work_s = 0.05, .on_run = handle_run};
		snprintf(targets[i].id, sizeof(targets[i].id), "i-%02d", i);
		strcpy(targets[i].service, "desk");
		strcpy(targets[i].place, places[i % ZONES].name);
		open_target(&targets[i]);
		open_relay(targets[i].port);
	}
	put_manifest();
	for (i = 0; i < VMS; i++) {
		vm_t *vm = &vms[i];

		snprintf(vm->name, sizeof(vm->name), "vm-%d", i);
		vm->place = places[i / PER_ZONE];
		write_settings(
		    vm, folder, &doors[i / PER_ZONE], places, ZONES);
		open_relay(vm->peer);
		start_vm(vm);
	}
	for (i = 0; i < VMS; i++)
		wait_until_ready(&vms[i]);
}

/* The most of the tenant's requests that were sent and ran in some window. */
static int
find_worst_window(double *begin)
{
	int worst = 0;
	int i;
	int j;

	for (i = 0; i < REQUESTS_MAX; i++) {
		int count = 0;

		if (sent_at[i] == 0)
			continue;
		for (j = 0; j < REQUESTS_MAX; j++) {
			count += run_at[j] != 0 && sent_at[j] >= sent_at[i] &&
			    run_at[j] <= sent_at[i] + WINDOW_S;
		}
		if (count > worst) {
			worst = count;
			*begin = sent_at[i];
		}
	}
	return worst;
}

/* The clients are in the south for AWAY_S; the cut begins BACK_S before that.
 */
static void
play_traffic(void)
{
	start_thread(send_reads, &north);
	start_thread(send_reads, &south);
	start_thread(send_reads, &staying);
	set_rates(USUAL_NORTH_PER_S, USUAL_SOUTH_PER_S);
	pause_for(6);
	set_rates(0, USUAL_NORTH_PER_S + USUAL_SOUTH_PER_S);
	pause_for(AWAY_S - BACK_S);
	if (has_trouble()) {
		is_cut = true;
		note("the zones are cut off from each other");
	}
	pause_for(BACK_S);
	set_rates(USUAL_NORTH_PER_S * HOT, USUAL_SOUTH_PER_S * HOT);
	pause_for(CUT_S - BACK_S);
	if (is_cut) {
		is_cut = false;
		note("the zones reach each other again");
	}
	pause_for(HOT_S - (CUT_S - BACK_S));
	set_rates(USUAL_NORTH_PER_S, USUAL_SOUTH_PER_S);
	pause_for(1);
	is_over = true;
	pause_for(2.5);
}

int
main(int argc, char **argv)
{
	double allowed = (LIMIT_PER_S * WINDOW_S + BURST) * (1 + OVER) + SLACK;
	double begin = 0;
	int worst;

	if (argc != 3)
		return CANNOT_RUN;
	begin_case(argv[2]);
	start_all(argv[1]);
	pause_for(CONTACT_S + 1);
	play_traffic();
	worst = find_worst_window(&begin);
	note("%d requests ran at targets of the other zone", across);
	note("most requests of the tenant that were sent and ran in %.0f s: %d, "
	     "from %.1f s on (at most %.0f)",
	    WINDOW_S, worst, begin, allowed);
	finish(worst > allowed ? BROKEN : HELD);
}
