/*
 * Case 6: a request that crashes each target that runs it comes again and
 * again, at any VM. All VMs have learned to refuse it; then they are stopped
 * and started, one after the other.
 *
 * usage: restarts FOLDER RECORD
 */
#define CASE 6 /* whose ports are used */
#include "kit.h"

#define VMS 4
#define TARGETS 12
#define SLOTS 9
#define CONTACT_S 4.0 /* contactMs */
#define GRACE_S 6.0 /* graceS */
#define RETRIES_MAX 3
#define CRASHES_FIRST 3
#define RUNS_MAX 4096
#define DEADLY_PATH "/post/deadly"
#define DEADLY_BODY "the order that crashes its server"

static const place_t places[] = {{"north-a", "north"}, {"south-a", "south"}};
static vm_t vms[VMS];
static target_t targets[TARGETS];
static volatile bool is_over;

/* Attempts of the client with the deadly request. */
typedef struct attempt {
	char id[32];
	int vm;
	double sent;
	double vm_started;
	double arrived; /* at a target; 0: at none */
} attempt_t;

static attempt_t attempts[RUNS_MAX];
static int attempt_count;
static double crashes[RUNS_MAX];
static int crash_count;
static int orders_sent;
static int orders_answered;
static int orders_failed;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static void
handle_run(target_t *target, const char *id, const char *path)
{
	int i;

	note("run %s %s at %s", id, path, target->id);
	if (strcmp(path, DEADLY_PATH) != 0)
		return;
	pthread_mutex_lock(&lock);
	crashes[crash_count++] = now();
	for (i = 0; i < attempt_count; i++) {
		if (strcmp(attempts[i].id, id) == 0)
			attempts[i].arrived = now();
	}
	pthread_mutex_unlock(&lock);
	note("target %s crashes", target->id);
	crash_target(target);
}

static void
send_deadly_request(int index)
{
	vm_t *vm = &vms[index];
	attempt_t *attempt;
	answer_t answer;

	pthread_mutex_lock(&lock);
	attempt = &attempts[attempt_count++];
	make_id(attempt->id, sizeof(attempt->id));
	attempt->vm = index;
	attempt->sent = now();
	attempt->vm_started = vm->started;
	pthread_mutex_unlock(&lock);
	note("send %s POST %s to %s", attempt->id, DEADLY_PATH, vm->name);
	answer = send_request(
	    vm, "POST", DEADLY_PATH, attempt->id, 1500, DEADLY_BODY);
	note("answer %s %d %s", attempt->id, answer.status, answer.body);
}

static void *
send_order(void *ctx)
{
	vm_t *vm = ctx;
	char id[32];
	char path[64];
	answer_t answer;

	make_id(id, sizeof(id));
	snprintf(path, sizeof(path), "/post/%s", id);
	note("send %s POST %s to %s", id, path, vm->name);
	answer = send_request(vm, "POST", path, id, 1500, "an order");
	note("answer %s %d", id, answer.status);
	pthread_mutex_lock(&lock);
	orders_sent++;
	orders_answered += answer.status == 200;
	orders_failed += answer.status == 502 || answer.status == 504;
	pthread_mutex_unlock(&lock);
	return NULL;
}

/* Sends orders to VMs that are ready and not being stopped. */
static volatile int stopping = -1;

static void *
send_orders(void *ctx)
{
	int next = 0;

	(void)ctx;
	while (!is_over) {
		next = (next + 1) % VMS;
		if (next != stopping)
			start_thread(send_order, &vms[next]);
		pause_for(0.02);
	}
	return NULL;
}

static void
put_manifest(void)
{
	put_row("op", "config",
	    "{\"version\":\"r7\",\"routes\":[{\"name\":\"orders\","
	    "\"host\":\"desk.example\",\"prefix\":\"/post/\","
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
	static door_t door;
	int i;

	open_door(&door);
	for (i = 0; i < TARGETS; i++) {
		targets[i] = (target_t){.slots = SLOTS,
		    .work_s = 0.24,
		    .down_s = 3,
		    .on_run = handle_run};
		snprintf(targets[i].id, sizeof(targets[i].id), "i-%02d", i);
		strcpy(targets[i].service, "desk");
		strcpy(targets[i].place, places[i % 2].name);
		open_target(&targets[i]);
	}
	put_manifest();
	for (i = 0; i < VMS; i++) {
		snprintf(vms[i].name, sizeof(vms[i].name), "vm-%d", i);
		vms[i].place = places[i % 2];
		write_settings(&vms[i], folder, &door, places, 2);
		start_vm(&vms[i]);
	}
	for (i = 0; i < VMS; i++)
		wait_until_ready(&vms[i]);
}

/* The deadly request comes until no VM passes it on any more. */
static void
learn(void)
{
	int i;

	for (i = 0; i < 3 * VMS; i++) {
		send_deadly_request(i % VMS);
		pause_for(1);
	}
	note("targets crashed by then: %d", crash_count);
}

static void
restart(int index)
{
	stopping = index;
	pause_for(0.1);
	if (has_trouble()) {
		stop_vm(&vms[index], GRACE_S);
		start_vm(&vms[index]);
		wait_until_ready(&vms[index]);
	}
	stopping = -1;
	pause_for(CONTACT_S + 1);
	for (int i = 0; i < 3; i++) {
		send_deadly_request(index);
		pause_for(1.5);
	}
}

/* Retries that count: sent by a VM in touch, long after the third crash. */
static int
count_late_retries(void)
{
	double third;
	int count = 0;
	int i;

	if (crash_count < CRASHES_FIRST)
		return 0;
	third = crashes[CRASHES_FIRST - 1];
	for (i = 0; i < attempt_count; i++) {
		const attempt_t *attempt = &attempts[i];

		if (attempt->arrived == 0 ||
		    attempt->arrived <= third + CONTACT_S ||
		    attempt->sent <= attempt->vm_started + CONTACT_S)
			continue;
		note("counted: %s by %s, %.1f s after its start, %.1f s after "
		     "the third crash",
		    attempt->id, vms[attempt->vm].name,
		    attempt->arrived - attempt->vm_started,
		    attempt->arrived - third);
		count++;
	}
	return count;
}

int
main(int argc, char **argv)
{
	int late;
	int i;

	if (argc != 3)
		return CANNOT_RUN;
	begin_case(argv[2]);
	start_all(argv[1]);
	pause_for(CONTACT_S + 1);
	start_thread(send_orders, NULL);
	learn();
	for (i = 0; i < VMS; i++)
		restart(i);
	is_over = true;
	pause_for(2.5);
	pthread_mutex_lock(&lock);
	late = count_late_retries();
	note("orders: %d sent, %d answered with success, %d with 502 or 504",
	    orders_sent, orders_answered, orders_failed);
	note("crashes: %d in all; retries that reached a target later than "
	     "contactMs after the third, from VMs in touch: %d (at most %d)",
	    crash_count, late, RETRIES_MAX);
	if (orders_answered < orders_sent / 2)
		cannot_run("orders are not served");
	finish(late > RETRIES_MAX ? BROKEN : HELD);
}
