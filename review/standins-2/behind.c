/*
 * Case 7: a version of the manifest moves a route to another service. One VM
 * has it at once; another, which the store turns away, does not have it yet.
 * Then the servers of one zone go down, and the first VM forwards requests to
 * the second.
 *
 * usage: behind FOLDER RECORD
 */
#define CASE 7 /* whose ports are used */
#include "kit.h"

#define VMS 3
#define PLACES 3
#define TARGETS 24
#define SLOTS 9
#define CONTACT_S 4.0 /* contactMs */
#define SLACK_S 0.25 /* downgradeSlackMs */
#define TURNED_AWAY_S 8.0
#define DOWN_S 4.0
#define RUNS_MAX 8192

static const place_t places[PLACES] = {
    {"north-a", "north"}, {"north-b", "north"}, {"south-a", "south"}};
static vm_t vms[VMS];
static door_t doors[VMS];
static target_t targets[TARGETS];
static volatile bool is_over;

/* An order that a client sent. */
typedef struct order {
	char id[32];
	int vm;
	double sent;
	double run; /* when a target began with it; 0: never */
	bool by_new; /* by a target of the route's new service */
	char target[32];
	int status;
} order_t;

static order_t orders[RUNS_MAX];
static int order_count;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static void
handle_run(target_t *target, const char *id, const char *path)
{
	int i;

	(void)path;
	note("run %s at %s of %s", id, target->id, target->service);
	pthread_mutex_lock(&lock);
	for (i = order_count; i-- > 0;) {
		if (strcmp(orders[i].id, id) != 0)
			continue;
		orders[i].run = now();
		orders[i].by_new = strcmp(target->service, "vault") == 0;
		strcpy(orders[i].target, target->id);
		break;
	}
	pthread_mutex_unlock(&lock);
}

static void *
send_order(void *ctx)
{
	order_t *order = ctx;
	char path[64];
	answer_t answer;

	snprintf(path, sizeof(path), "/order/%s", order->id);
	note("send %s POST %s to %s", order->id, path, vms[order->vm].name);
	answer = send_request(
	    &vms[order->vm], "POST", path, order->id, 1500, "an order");
	note("answer %s %d %s", order->id, answer.status, answer.body);
	order->status = answer.status;
	return NULL;
}

static void *
send_orders(void *ctx)
{
	(void)ctx;
	while (!is_over) {
		order_t *order;

		pthread_mutex_lock(&lock);
		order = &orders[order_count];
		make_id(order->id, sizeof(order->id));
		order->sent = now();
		order->vm = order_count % VMS;
		order_count++;
		pthread_mutex_unlock(&lock);
		start_thread(send_order, order);
		pause_for(0.01);
	}
	return NULL;
}

static void
put_manifest(const char *version, const char *service)
{
	char text[2048];

	snprintf(text, sizeof(text),
	    "{\"version\":\"%s\",\"routes\":[{\"name\":\"orders\","
	    "\"host\":\"desk.example\",\"prefix\":\"/order/\","
	    "\"kind\":\"non_idempotent\",\"timeoutMs\":1500,"
	    "\"targetLatencyMs\":300,\"priority\":1,\"service\":\"%s\","
	    "\"maxAttempts\":2,\"public\":false,\"stickySessions\":false,"
	    "\"homeRegions\":[]}],\"services\":[{\"name\":\"desk\","
	    "\"healthPath\":\"/health\",\"maxConns\":720,\"protocol\":\"h1\","
	    "\"tls\":false,\"coldStartS\":3.0,\"coldPerS\":17.0},"
	    "{\"name\":\"vault\",\"healthPath\":\"/health\",\"maxConns\":720,"
	    "\"protocol\":\"h1\",\"tls\":false,\"coldStartS\":3.0,"
	    "\"coldPerS\":17.0}],\"limits\":{\"maxHeaderBytes\":16384,"
	    "\"maxBodyBytes\":67108864,\"headerTimeoutMs\":3000,"
	    "\"idleTimeoutMs\":15000}}",
	    version, service);
	put_row("op", "config", text);
	note("the store acknowledges %s: the route goes to %s", version,
	    service);
}

/* The old service has its targets in two zones, the new one in two others. */
static const char *
get_place(int index)
{
	if (index >= TARGETS / 2)
		return places[2].name;
	return index % 2 == 0 ? places[1].name : places[0].name;
}

static void
start_all(const char *folder)
{
	int i;

	for (i = 0; i < TARGETS; i++) {
		targets[i] = (target_t){.slots = SLOTS,
		    .work_s = 0.2,
		    .down_s = DOWN_S,
		    .on_run = handle_run};
		snprintf(targets[i].id, sizeof(targets[i].id), "i-%02d", i);
		strcpy(targets[i].service, i % 2 == 0 ? "desk" : "vault");
		strcpy(targets[i].place, get_place(i));
		open_target(&targets[i]);
	}
	put_manifest("r7", "desk");
	for (i = 0; i < VMS; i++) {
		open_door(&doors[i]);
		snprintf(vms[i].name, sizeof(vms[i].name), "vm-%d", i);
		vms[i].place = places[i];
		write_settings(&vms[i], folder, &doors[i], places, PLACES);
		start_vm(&vms[i]);
	}
	for (i = 0; i < VMS; i++)
		wait_until_ready(&vms[i]);
}

static void
stop_servers_of_zone(const char *place)
{
	int i;

	note("the servers of zone %s are down for %.1f s", place, DOWN_S);
	for (i = 0; i < TARGETS; i++) {
		if (strcmp(targets[i].place, place) == 0)
			crash_target(&targets[i]);
	}
}

static void
turn_away(void)
{
	if (!has_trouble()) {
		put_manifest("r12", "vault");
		return;
	}
	doors[1].silent = true;
	note("the store turns %s away", vms[1].name);
	pause_for(0.3);
	put_manifest("r12", "vault");
	pause_for(0.7);
	stop_servers_of_zone(places[0].name);
	pause_for(TURNED_AWAY_S - 1);
	doors[1].silent = false;
	note("the store serves %s again", vms[1].name);
}

/*
 * Orders that were sent to the first VM after it had shown the new version, and
 * handled as only the older one allows.
 */
static int
count_regressions(void)
{
	double first = 0;
	int count = 0;
	int i;

	for (i = 0; i < order_count; i++) {
		if (orders[i].vm == 0 && orders[i].by_new &&
		    (first == 0 || orders[i].run < first))
			first = orders[i].run;
	}
	if (first == 0)
		cannot_run("the new version was never seen");
	for (i = 0; i < order_count; i++) {
		const order_t *order = &orders[i];

		if (order->vm != 0 || order->run == 0 || order->by_new ||
		    order->sent <= first + SLACK_S)
			continue;
		note("counted: %s, sent to %s %.3f s after a server saw r12 "
		     "from it, run by %s of the old service, answered %d",
		    order->id, vms[0].name, order->sent - first, order->target,
		    order->status);
		count++;
	}
	return count;
}

int
main(int argc, char **argv)
{
	int answered = 0;
	int regressions;
	int i;

	if (argc != 3)
		return CANNOT_RUN;
	begin_case(argv[2]);
	start_all(argv[1]);
	pause_for(CONTACT_S + 1);
	start_thread(send_orders, NULL);
	pause_for(2);
	turn_away();
	pause_for(3);
	is_over = true;
	pause_for(2.5);
	pthread_mutex_lock(&lock);
	for (i = 0; i < order_count; i++)
		answered += orders[i].status == 200;
	regressions = count_regressions();
	note(
	    "orders: %d sent, %d answered with success", order_count, answered);
	note("orders handled by the older version at a VM that had shown the "
	     "newer one: %d",
	    regressions);
	if (answered < order_count / 2)
		cannot_run("orders are not served");
	finish(regressions > 0 ? BROKEN : HELD);
}
