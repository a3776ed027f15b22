/*
 * Case 9: targets leave, and say so in their rows and in all their answers. The
 * store turns away the VM that gets these answers.
 *
 * usage: leaving FOLDER RECORD
 */
#define CASE 9 /* whose ports are used */
#include "kit.h"

#define VMS 3
#define TARGETS 12
#define LEAVERS 3
#define SLOTS 9
#define CONTACT_S 4.0 /* contactMs */
#define DRAIN_S 2.5 /* drainMs */
#define LONGER_S 0.35 /* that a target serves beyond drainMs */
#define TURNED_AWAY_S 8.0
#define ORDERS_MAX 8192

static const place_t places[VMS] = {
    {"north-a", "north"}, {"south-a", "south"}, {"west-a", "west"}};
static vm_t vms[VMS];
static door_t doors[VMS];
static target_t targets[TARGETS];
static volatile bool is_over;

/* An order that a client sent to the first VM. */
typedef struct order {
	char id[32];
	double sent;
	double arrived; /* at a target; 0: at none */
	bool said_leaving; /* the target was leaving when it began */
	int target;
	int status;
} order_t;

static order_t orders[ORDERS_MAX];
static int order_count;
/* When the VM had passed on the first answer that says so; 0: never. */
static double told[TARGETS];
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static void
handle_run(target_t *target, const char *id, const char *path)
{
	int i;

	(void)path;
	note("run %s at %s%s", id, target->id,
	    target->leaving ? ", which is leaving" : "");
	pthread_mutex_lock(&lock);
	for (i = order_count; i-- > 0;) {
		if (strcmp(orders[i].id, id) != 0)
			continue;
		orders[i].arrived = now();
		orders[i].target = (int)(target - targets);
		orders[i].said_leaving = target->leaving;
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
	bool is_told;

	snprintf(path, sizeof(path), "/order/%s", order->id);
	note("send %s POST %s to %s", order->id, path, vms[0].name);
	answer =
	    send_request(&vms[0], "POST", path, order->id, 1500, "an order");
	pthread_mutex_lock(&lock);
	order->status = answer.status;
	/* The target said so in its answer, also where the VM drops the field.
	 */
	is_told = answer.status == 200 && order->said_leaving;
	if (is_told && told[order->target] == 0)
		told[order->target] = now();
	pthread_mutex_unlock(&lock);
	note("answer %s %d%s%s", order->id, answer.status,
	    is_told ? ", of a target that said Server-Leaving" : "",
	    answer.leaving ? ", field passed on" : "");
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
		order_count++;
		pthread_mutex_unlock(&lock);
		start_thread(send_order, order);
		pause_for(0.01);
	}
	return NULL;
}

static void
put_manifest(void)
{
	put_row("op", "config",
	    "{\"version\":\"r7\",\"routes\":[{\"name\":\"orders\","
	    "\"host\":\"desk.example\",\"prefix\":\"/order/\","
	    "\"kind\":\"non_idempotent\",\"timeoutMs\":1500,"
	    "\"targetLatencyMs\":300,\"priority\":1,\"service\":\"desk\","
	    "\"maxAttempts\":2,\"public\":false,\"stickySessions\":false,"
	    "\"homeRegions\":[]}],\"services\":[{\"name\":\"desk\","
	    "\"healthPath\":\"/health\",\"maxConns\":720,\"protocol\":\"h1\","
	    "\"tls\":false,\"coldStartS\":3.0,\"coldPerS\":17.0}],"
	    "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
	    "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}");
}

static void
start_all(const char *folder)
{
	int i;

	for (i = 0; i < TARGETS; i++) {
		targets[i] = (target_t){
		    .slots = SLOTS, .work_s = 0.25, .on_run = handle_run};
		snprintf(targets[i].id, sizeof(targets[i].id), "i-%02d", i);
		strcpy(targets[i].service, "desk");
		strcpy(targets[i].place, places[i % VMS].name);
		open_target(&targets[i]);
	}
	put_manifest();
	for (i = 0; i < VMS; i++) {
		open_door(&doors[i]);
		snprintf(vms[i].name, sizeof(vms[i].name), "vm-%d", i);
		vms[i].place = places[i];
		write_settings(&vms[i], folder, &doors[i], places, VMS);
		start_vm(&vms[i]);
	}
	for (i = 0; i < VMS; i++)
		wait_until_ready(&vms[i]);
}

/* Three targets of the first VM's zone leave in order. */
static void
leave(void)
{
	double end;
	int i;

	if (has_trouble()) {
		doors[0].silent = true;
		note("the store turns %s away", vms[0].name);
	}
	pause_for(0.05);
	for (i = 0; i < LEAVERS; i++)
		begin_leaving(&targets[i * VMS]);
	end = now() + DRAIN_S + LONGER_S;
	pause_until(end);
	for (i = 0; i < LEAVERS; i++) {
		note("target %s ends", targets[i * VMS].id);
		stop_target(&targets[i * VMS]);
		put_row("servers", targets[i * VMS].id, NULL);
	}
	pause_until(end + TURNED_AWAY_S - DRAIN_S - LONGER_S);
	doors[0].silent = false;
}

static int
count_late_orders(void)
{
	int count = 0;
	int i;

	for (i = 0; i < order_count; i++) {
		const order_t *order = &orders[i];
		double since = told[order->target];

		if (order->arrived == 0 || since == 0 ||
		    order->sent <= since + DRAIN_S)
			continue;
		note("counted: %s, sent %.3f s after %s had passed on an "
		     "answer of %s with Server-Leaving, reached it; "
		     "answered %d",
		    order->id, order->sent - since, vms[0].name,
		    targets[order->target].id, order->status);
		count++;
	}
	return count;
}

int
main(int argc, char **argv)
{
	int answered = 0;
	int failed = 0;
	int late;
	int i;

	if (argc != 3)
		return CANNOT_RUN;
	begin_case(argv[2]);
	start_all(argv[1]);
	pause_for(CONTACT_S + 1);
	start_thread(send_orders, NULL);
	pause_for(2);
	leave();
	is_over = true;
	pause_for(2.5);
	pthread_mutex_lock(&lock);
	for (i = 0; i < order_count; i++) {
		answered += orders[i].status == 200;
		failed += orders[i].status == 502;
	}
	late = count_late_orders();
	note("orders: %d sent, %d answered with success, %d with 502",
	    order_count, answered, failed);
	note("orders that reached a target later than drainMs after its "
	     "leaving was passed on: %d",
	    late);
	if (answered < order_count / 2)
		cannot_run("orders are not served");
	finish(late > 0 ? BROKEN : HELD);
}
