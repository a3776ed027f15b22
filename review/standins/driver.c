/*
 * Plays one case of the review: starts the project's platform stand-in and one
 * spindled or two, stands in for targets, clients and the operator, and judges
 * what they have seen. In the case "drill" it stands in for the store too.
 *
 * usage: driver CASE RECORD
 * exit: 0 the rule held, 1 it was broken, 2 the case could not run.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define LOOPBACK "127.0.0.1"
#define SERVICE "orders"
#define HOST "orders.example"
#define ID_SIZE 17 /* bytes of a request id and the final NUL */
#define REQUESTS_MAX 2048
#define TARGETS_MAX 8
#define HEAD_MAX 16384
#define BODY_MAX 1000000
#define TARGET_SLOTS 9
#define TARGET_QUEUE 27
#define HEARTBEAT_MS 1500
#define DRAIN_MS 2500
#define GRACE_S 6
#define VMS_MAX 2
#define MEMORY_MB 182
#define LOSS_SLACK_MS 200
#define GONE_AFTER_MS 500
#define FEW 3 /* the rules' "a few", and LOST's "three times" */
#define READY_TIMEOUT_MS 15000
#define TICK_MS 10
#define READ_WORK_MS 20 /* work of a small read */
#define WORK_SPREAD_PCT 15 /* work varies by this much either way */

/* One client attempt, with all that was seen of it. Times are in ms. */
typedef struct attempt {
	char id[ID_SIZE];
	int64_t sent; /* last byte sent by the client */
	int64_t arrived; /* first arrival at a target; 0: none */
	int64_t began; /* a target began to work on it; 0: none */
	int64_t finished; /* the target has answered it */
	int64_t ended; /* answer or end of the connection at the client */
	int64_t left; /* the client closed its connection; 0: it stayed */
	int target; /* number of the target that it arrived at last */
	int status; /* 0: no answer */
	unsigned int runs;
	bool is_order;
} attempt_t;

typedef struct target {
	int number;
	char id[32];
	uint16_t port;
	int listen_fd;
	unsigned int running;
	unsigned int waiting;
	uint64_t sequence;
	int64_t born;
	bool draining;
	int64_t draining_acked; /* when the store accepted it */
	bool ended; /* the process has exited */
	pthread_mutex_t lock;
} target_t;

static FILE *record_file;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static int64_t start_ms;
static bool with_trouble;
static attempt_t attempts[REQUESTS_MAX];
static size_t attempt_count;
static pthread_mutex_t attempts_lock = PTHREAD_MUTEX_INITIALIZER;
static target_t targets[TARGETS_MAX];
static size_t target_count;
static int work_ms; /* mean work of an order */
static uint16_t store_port;
static uint16_t caller_ports[VMS_MAX];
static uint16_t ready_ports[VMS_MAX];
static pid_t platform_pid;
static pid_t vm_pids[VMS_MAX];
static int grace_s = GRACE_S;
static bool has_own_store; /* in place of the project's stand-in */
static int manifest_version = 7;
static char folder[] = "/tmp/review-XXXXXX";
static volatile bool stopping;
static bool record_is_complete;
static sigset_t stop_signals;

static int64_t
now_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000 - start_ms;
}

static void
sleep_ms(int64_t ms)
{
	struct timespec span = {ms / 1000, ms % 1000 * 1000000};

	if (ms > 0)
		nanosleep(&span, NULL);
}

static void
record(const char *format, ...)
{
	va_list args;

	pthread_mutex_lock(&record_lock);
	if (record_is_complete) {
		pthread_mutex_unlock(&record_lock);
		return;
	}
	fprintf(record_file, "%7" PRId64 " ms  ", now_ms());
	va_start(args, format);
	vfprintf(record_file, format, args);
	va_end(args);
	fputc('\n', record_file);
	fflush(record_file);
	pthread_mutex_unlock(&record_lock);
}

static void
end_processes(void)
{
	size_t i;

	stopping = true;
	for (i = 0; i < VMS_MAX; i++) {
		if (vm_pids[i] > 0 && waitpid(vm_pids[i], NULL, WNOHANG) == 0) {
			kill(vm_pids[i], SIGKILL);
			waitpid(vm_pids[i], NULL, 0);
		}
	}
	if (platform_pid > 0 && waitpid(platform_pid, NULL, WNOHANG) == 0) {
		kill(platform_pid, SIGKILL);
		waitpid(platform_pid, NULL, 0);
	}
}

/* Removes the settings and logs; REVIEW_KEEP keeps them. */
static void
remove_folder(void)
{
	static const char *const names[] = {"platform.log", "node-0.toml",
	    "node-1.toml", "spindled-0.log", "spindled-1.log"};
	char path[64];
	size_t i;

	if (getenv("REVIEW_KEEP") != NULL)
		return;
	for (i = 0; i < sizeof(names) / sizeof(names[0]); i++) {
		snprintf(path, sizeof(path), "%s/%s", folder, names[i]);
		unlink(path);
	}
	rmdir(folder);
}

static void
give_up(const char *why)
{
	record("the case could not run: %s", why);
	fprintf(stderr, "driver: %s\n", why);
	end_processes();
	remove_folder();
	_exit(2);
}

/* Sockets. */

static struct sockaddr_in
get_address(uint16_t port)
{
	struct sockaddr_in address = {
	    .sin_family = AF_INET, .sin_port = htons(port)};

	inet_pton(AF_INET, LOOPBACK, &address.sin_addr);
	return address;
}

static int
listen_on_free_port(uint16_t *port)
{
	struct sockaddr_in address = get_address(0);
	socklen_t len = sizeof(address);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (fd < 0 || bind(fd, (struct sockaddr *)&address, len) != 0 ||
	    listen(fd, 512) != 0 ||
	    getsockname(fd, (struct sockaddr *)&address, &len) != 0)
		give_up("no port to listen on");
	*port = ntohs(address.sin_port);
	return fd;
}

static uint16_t
find_free_port(void)
{
	uint16_t port;

	close(listen_on_free_port(&port));
	return port;
}

static int
connect_to(uint16_t port)
{
	struct sockaddr_in address = get_address(port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int on = 1;

	if (fd < 0)
		return -1;
	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0) {
		close(fd);
		return -1;
	}
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	return fd;
}

static bool
send_all(int fd, const char *data, size_t len)
{
	while (len > 0) {
		ssize_t sent = send(fd, data, len, MSG_NOSIGNAL);

		if (sent <= 0)
			return false;
		data += sent;
		len -= (size_t)sent;
	}
	return true;
}

/* A connection from which messages are read. */
typedef struct reader {
	int fd;
	char data[HEAD_MAX];
	size_t len;
	char head[HEAD_MAX];
} reader_t;

/* Reads a head into reader->head; false at the end of the stream. */
static bool
read_head(reader_t *reader)
{
	for (;;) {
		char *end =
		    memmem(reader->data, reader->len, "\r\n\r\n", 4);
		ssize_t len;

		if (end != NULL) {
			size_t head_len = (size_t)(end - reader->data) + 4;

			memcpy(reader->head, reader->data, head_len);
			reader->head[head_len] = '\0';
			reader->len -= head_len;
			memmove(reader->data, reader->data + head_len,
			    reader->len);
			return true;
		}
		if (reader->len == sizeof(reader->data) - 1)
			return false;
		len = recv(reader->fd, reader->data + reader->len,
		    sizeof(reader->data) - 1 - reader->len, 0);
		if (len <= 0)
			return false;
		reader->len += (size_t)len;
	}
}

static bool
skip_body(reader_t *reader, size_t len)
{
	char data[65536];

	if (len <= reader->len) {
		reader->len -= len;
		memmove(reader->data, reader->data + len, reader->len);
		return true;
	}
	len -= reader->len;
	reader->len = 0;
	while (len > 0) {
		ssize_t got = recv(reader->fd, data,
		    len < sizeof(data) ? len : sizeof(data), 0);

		if (got <= 0)
			return false;
		len -= (size_t)got;
	}
	return true;
}

/* Copies the value of a header field; "" if it is missing. */
static void
get_field(const char *head, const char *name, char *out, size_t size)
{
	const char *at = head;
	size_t name_len = strlen(name);
	size_t len;

	out[0] = '\0';
	while ((at = strstr(at, "\r\n")) != NULL) {
		at += 2;
		if (strncasecmp(at, name, name_len) != 0 || at[name_len] != ':')
			continue;
		at += name_len + 1;
		at += strspn(at, " ");
		len = strcspn(at, "\r");
		if (len >= size)
			len = size - 1;
		memcpy(out, at, len);
		out[len] = '\0';
		return;
	}
}

static long
get_number(const char *head, const char *name, long fallback)
{
	char text[32];

	get_field(head, name, text, sizeof(text));
	return text[0] == '\0' ? fallback : strtol(text, NULL, 10);
}

/* The platform's store. */

static void
encode_base64(const char *text, char *out)
{
	static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				     "abcdefghijklmnopqrstuvwxyz0123456789+/";
	size_t len = strlen(text);
	size_t i;

	for (i = 0; i < len; i += 3) {
		uint32_t bits = (uint32_t)(unsigned char)text[i] << 16;

		if (i + 1 < len)
			bits |= (uint32_t)(unsigned char)text[i + 1] << 8;
		if (i + 2 < len)
			bits |= (uint32_t)(unsigned char)text[i + 2];
		*out++ = digits[bits >> 18];
		*out++ = digits[bits >> 12 & 63];
		*out++ = i + 1 < len ? digits[bits >> 6 & 63] : '=';
		*out++ = i + 2 < len ? digits[bits & 63] : '=';
	}
	*out = '\0';
}

/* Writes a row, or removes it if the value is NULL. */
static bool
write_row(const char *table, const char *key, const char *value)
{
	static __thread reader_t reader;
	char text[8192];
	char body[10000];
	char request[12000];
	int fd = connect_to(store_port);
	bool ok;

	if (fd < 0)
		return false;
	if (value != NULL)
		encode_base64(value, text);
	snprintf(body, sizeof(body),
	    value != NULL
		? "{\"precondition\":[],\"writes\":[{\"table\":\"%s\","
		  "\"part\":\"\",\"key\":\"%s\",\"value\":\"%s\"}],"
		  "\"remove\":[]}"
		: "{\"precondition\":[],\"writes\":[],\"remove\":[{\"table\":"
		  "\"%s\",\"part\":\"\",\"key\":\"%s\"}]}",
	    table, key, text);
	snprintf(request, sizeof(request),
	    "POST /api/rows-tx HTTP/1.1\r\nHost: store\r\n"
	    "Content-Type: application/json\r\nContent-Length: %zu\r\n\r\n%s",
	    strlen(body), body);
	reader.fd = fd;
	reader.len = 0;
	ok = send_all(fd, request, strlen(request)) && read_head(&reader) &&
	    strncmp(reader.head, "HTTP/1.1 200", 12) == 0;
	close(fd);
	return ok;
}

static bool
write_target_row(target_t *target)
{
	char value[1024];
	bool ok;

	target->sequence++;
	snprintf(value, sizeof(value),
	    "{\"service\":\"" SERVICE "\",\"address\":\"" LOOPBACK ":%u\","
	    "\"zone\":\"a1\",\"version\":\"v1\",\"slots\":%d,\"state\":\"%s\","
	    "\"coldRemainingMs\":0,\"seq\":%" PRIu64 ",\"born\":%" PRId64 "}",
	    target->port, TARGET_SLOTS, target->draining ? "draining" : "ready",
	    target->sequence, target->born);
	ok = write_row("servers", target->id, value);
	return ok;
}

static void *
run_heartbeats(void *ctx)
{
	size_t i;

	(void)ctx;
	while (!stopping) {
		for (i = 0; i < target_count; i++) {
			pthread_mutex_lock(&targets[i].lock);
			if (!targets[i].ended)
				write_target_row(&targets[i]);
			pthread_mutex_unlock(&targets[i].lock);
		}
		sleep_ms(HEARTBEAT_MS);
	}
	return NULL;
}

/* Targets. */

static attempt_t *
find_attempt(const char *id)
{
	size_t i;

	for (i = 0; i < attempt_count; i++) {
		if (strcmp(attempts[i].id, id) == 0)
			return &attempts[i];
	}
	return NULL;
}

typedef struct target_connection {
	target_t *target;
	reader_t reader;
} target_connection_t;

static bool
is_connection_closed(int fd)
{
	struct pollfd poll_fd = {.fd = fd, .events = POLLRDHUP};

	return poll(&poll_fd, 1, 0) > 0 &&
	    (poll_fd.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

/* Work varies from request to request, the same way in each play. */
static int64_t
get_work_ms(const attempt_t *attempt)
{
	int64_t spread = work_ms * WORK_SPREAD_PCT / 100;

	if (attempt == NULL || !attempt->is_order)
		return READ_WORK_MS;
	return work_ms - spread +
	    (attempt - attempts) * 37 % 101 * 2 * spread / 100;
}

/* What has become of a request. */
typedef enum run_end { RUN_DONE, RUN_SHED, RUN_EXPIRED, RUN_CUT } run_end_t;

/* Waits for a slot and works; drops the request if its connection closes. */
static run_end_t
run_request(target_connection_t *connection, attempt_t *attempt, long budget_ms)
{
	target_t *target = connection->target;
	int fd = connection->reader.fd;
	int64_t due = now_ms() + budget_ms;
	int64_t end;

	pthread_mutex_lock(&target->lock);
	if (target->waiting >= TARGET_QUEUE) {
		pthread_mutex_unlock(&target->lock);
		return RUN_SHED;
	}
	target->waiting++;
	while (target->running >= TARGET_SLOTS) {
		pthread_mutex_unlock(&target->lock);
		sleep_ms(TICK_MS);
		pthread_mutex_lock(&target->lock);
		if (target->ended || is_connection_closed(fd) ||
		    now_ms() >= due) {
			target->waiting--;
			pthread_mutex_unlock(&target->lock);
			return now_ms() >= due ? RUN_SHED : RUN_CUT;
		}
	}
	target->waiting--;
	target->running++;
	pthread_mutex_unlock(&target->lock);
	if (attempt != NULL) {
		attempt->began = now_ms();
		attempt->runs++;
		record("run      %s at %s", attempt->id, target->id);
	}
	end = now_ms() + get_work_ms(attempt);
	while (now_ms() < end && now_ms() < due && !target->ended &&
	    !is_connection_closed(fd))
		sleep_ms(TICK_MS);
	pthread_mutex_lock(&target->lock);
	target->running--;
	pthread_mutex_unlock(&target->lock);
	if (now_ms() >= end)
		return RUN_DONE;
	return now_ms() >= due ? RUN_EXPIRED : RUN_CUT;
}

static bool
answer_run(target_connection_t *connection, const char *id, run_end_t end)
{
	target_t *target = connection->target;
	char response[512];
	const char *first = "HTTP/1.1 200 OK\r\nResponse-Signature: s1.";

	if (end == RUN_CUT)
		return false;
	if (end == RUN_SHED)
		first = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1";
	else if (end == RUN_EXPIRED)
		first = "HTTP/1.1 504 Gateway Timeout\r\nResponse-Signature: s2.";
	snprintf(response, sizeof(response),
	    "%s%s\r\nRequest-Id: %s\r\nServer-Load: %u,%u,%d\r\n%s"
	    "Content-Length: 5\r\n\r\ndone\n",
	    first, end == RUN_SHED ? "" : id, id, target->running,
	    target->waiting, TARGET_SLOTS,
	    target->draining ? "Connection: close\r\n" : "");
	return send_all(connection->reader.fd, response, strlen(response)) &&
	    !target->draining;
}

static bool
answer_health(target_connection_t *connection)
{
	target_t *target = connection->target;
	char response[256];

	snprintf(response, sizeof(response),
	    "HTTP/1.1 %s\r\nInstance-Id: %s\r\nServer-Load: %u,%u,%d\r\n"
	    "Content-Length: 0\r\n\r\n",
	    target->draining ? "503 Service Unavailable" : "200 OK", target->id,
	    target->running, target->waiting, TARGET_SLOTS);
	return send_all(connection->reader.fd, response, strlen(response));
}

static bool
serve_request(target_connection_t *connection)
{
	target_t *target = connection->target;
	const char *head = connection->reader.head;
	char id[64];
	char instance[64];
	char response[256];
	attempt_t *attempt;
	run_end_t end;
	bool ok;

	if (!skip_body(&connection->reader,
		(size_t)get_number(head, "Content-Length", 0)))
		return false;
	if (strncmp(head, "GET /health ", 12) == 0)
		return answer_health(connection);
	get_field(head, "Request-Id", id, sizeof(id));
	get_field(head, "Target-Instance", instance, sizeof(instance));
	if (instance[0] != '\0' && strcmp(instance, target->id) != 0) {
		snprintf(response, sizeof(response),
		    "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\n"
		    "Request-Id: %s\r\nContent-Length: 0\r\n\r\n",
		    target->id, id);
		return send_all(
		    connection->reader.fd, response, strlen(response));
	}
	attempt = find_attempt(id);
	if (attempt != NULL) {
		if (attempt->arrived == 0)
			attempt->arrived = now_ms();
		attempt->target = target->number;
		record("arrive   %s at %s", id, target->id);
	}
	end = run_request(
	    connection, attempt, get_number(head, "Deadline-Ms", 60000));
	ok = answer_run(connection, id, end);
	if (attempt != NULL && end != RUN_CUT)
		attempt->finished = now_ms();
	if (attempt != NULL)
		record("end      %s at %s: %s", id, target->id,
		    end == RUN_DONE	  ? "done"
			: end == RUN_SHED ? "not executed"
			: end == RUN_CUT  ? "cut off"
					  : "out of time");
	return ok;
}

static void *
run_target_connection(void *ctx)
{
	target_connection_t *connection = ctx;

	while (!connection->target->ended && read_head(&connection->reader) &&
	    serve_request(connection))
		continue;
	close(connection->reader.fd);
	free(connection);
	return NULL;
}

static void
start_thread(void *(*run)(void *ctx), void *ctx)
{
	pthread_t thread;

	if (pthread_create(&thread, NULL, run, ctx) != 0)
		give_up("no thread");
	pthread_detach(thread);
}

static void *
run_target(void *ctx)
{
	target_t *target = ctx;
	target_connection_t *connection;
	int fd;

	while ((fd = accept(target->listen_fd, NULL, NULL)) >= 0) {
		int on = 1;

		if (target->ended) {
			close(fd);
			continue;
		}
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		connection = calloc(1, sizeof(*connection));
		connection->target = target;
		connection->reader.fd = fd;
		start_thread(run_target_connection, connection);
	}
	return NULL;
}

static void
open_targets(size_t count)
{
	struct timespec wall;
	size_t i;

	clock_gettime(CLOCK_REALTIME, &wall);
	for (i = 0; i < count; i++) {
		target_t *target = &targets[i];

		target->number = (int)i;
		snprintf(target->id, sizeof(target->id), "i-%08zx",
		    0x7f3a9100 + i);
		target->born =
		    (int64_t)wall.tv_sec * 1000 + wall.tv_nsec / 1000000;
		pthread_mutex_init(&target->lock, NULL);
		target->listen_fd = listen_on_free_port(&target->port);
		start_thread(run_target, target);
	}
	target_count = count;
	start_thread(run_heartbeats, NULL);
}

/* A store of the driver's own, which can come back from an older copy. */

#define WRITES_MAX 4096
#define STORE_TEXT_MAX (512 * 1024)

/* One write; a row's newest one is its state. */
typedef struct store_write {
	char table[32];
	char key[64];
	char *value; /* base64; NULL: removed */
	uint64_t version;
	int64_t at;
} store_write_t;

static store_write_t writes[WRITES_MAX];
static size_t write_count;
static uint64_t store_version = 1;
static unsigned int store_era = 1;
static bool store_down;
static pthread_mutex_t store_lock = PTHREAD_MUTEX_INITIALIZER;

/* Copies the text of a JSON member that follows `at`. */
static bool
copy_member(const char *at, const char *name, char *out, size_t size)
{
	char pattern[32];
	const char *from;
	size_t len;

	snprintf(pattern, sizeof(pattern), "\"%s\":\"", name);
	from = strstr(at, pattern);
	if (from == NULL)
		return false;
	from += strlen(pattern);
	len = strcspn(from, "\"");
	if (len >= size)
		return false;
	memcpy(out, from, len);
	out[len] = '\0';
	return true;
}

/* Applies a transaction with one write or one removal. */
static void
apply_transaction(const char *body)
{
	static char value[65536];
	const char *row = strstr(body, "\"writes\":[{");
	store_write_t *new = &writes[write_count];
	bool removes = row == NULL;

	if (removes)
		row = strstr(body, "\"remove\":[{");
	if (row == NULL || write_count == WRITES_MAX ||
	    !copy_member(row, "table", new->table, sizeof(new->table)) ||
	    !copy_member(row, "key", new->key, sizeof(new->key)))
		return;
	if (!removes && !copy_member(row, "value", value, sizeof(value)))
		return;
	new->value = removes ? NULL : strdup(value);
	new->version = ++store_version;
	new->at = now_ms();
	write_count++;
}

static bool
is_newest(size_t at)
{
	size_t i;

	for (i = at + 1; i < write_count; i++) {
		if (strcmp(writes[i].table, writes[at].table) == 0 &&
		    strcmp(writes[i].key, writes[at].key) == 0)
			return false;
	}
	return true;
}

/* Prints the rows of a table that were written after the version. */
static size_t
print_rows(const char *table, uint64_t after, bool with_removed, char *out)
{
	size_t count = 0;
	size_t i;

	out += sprintf(out, "{\"rows\":[");
	for (i = 0; i < write_count; i++) {
		const store_write_t *row = &writes[i];

		if (strcmp(row->table, table) != 0 || row->version <= after ||
		    !is_newest(i) || (row->value == NULL && !with_removed))
			continue;
		out += sprintf(out,
		    "%s{\"table\":\"%s\",\"part\":\"\",\"key\":\"%s\","
		    "\"ver\":%" PRIu64 ",",
		    count > 0 ? "," : "", row->table, row->key, row->version);
		out += row->value == NULL
		    ? sprintf(out, "\"removed\":true}")
		    : sprintf(out, "\"value\":\"%s\"}", row->value);
		count++;
	}
	sprintf(out, "],\"hasMore\":false,\"ver\":%" PRIu64 ",\"nowMs\":%" PRId64 "}",
	    store_version, now_ms());
	return count;
}

static bool
answer_store(int fd, const char *status, const char *body)
{
	char head[256];

	snprintf(head, sizeof(head),
	    "HTTP/1.1 %s\r\nStore-Era: %u\r\nContent-Type: application/json\r\n"
	    "Content-Length: %zu\r\n\r\n",
	    status, store_era, strlen(body));
	return send_all(fd, head, strlen(head)) &&
	    send_all(fd, body, strlen(body));
}

static void
copy_parameter(const char *head, const char *name, char *out, size_t size)
{
	const char *end = strstr(head, " HTTP/1.1");
	const char *at = strstr(head, name);
	size_t len;

	out[0] = '\0';
	if (at == NULL || end == NULL || at > end)
		return;
	at += strlen(name);
	len = strcspn(at, "& ");
	if (len >= size)
		return;
	memcpy(out, at, len);
	out[len] = '\0';
}

/* Answers a read; a feed waits until there is a change. */
static bool
serve_read(int fd, const char *head, char *text)
{
	bool is_feed = strncmp(head, "GET /api/rows-feed", 18) == 0;
	unsigned int era = store_era;
	char table[32];
	char number[32];
	uint64_t after;
	int64_t end;
	size_t count;

	copy_parameter(head, "table=", table, sizeof(table));
	copy_parameter(head, "after=", number, sizeof(number));
	after = strtoull(number, NULL, 10);
	copy_parameter(head, "waitMs=", number, sizeof(number));
	end = now_ms() + strtol(number, NULL, 10);
	for (;;) {
		pthread_mutex_lock(&store_lock);
		if (store_down || era != store_era) {
			pthread_mutex_unlock(&store_lock);
			return false;
		}
		if (is_feed && after > store_version) {
			pthread_mutex_unlock(&store_lock);
			return answer_store(fd, "410 Gone", "{}");
		}
		count = print_rows(table, is_feed ? after : 0, is_feed, text);
		pthread_mutex_unlock(&store_lock);
		if (!is_feed || count > 0 || now_ms() >= end)
			return answer_store(fd, "200 OK", text);
		sleep_ms(TICK_MS);
	}
}

static void *
run_store_connection(void *ctx)
{
	reader_t *reader = ctx;
	char *text = malloc(STORE_TEXT_MAX);
	bool ok = true;

	while (ok && read_head(reader) && !store_down) {
		size_t len = (size_t)get_number(reader->head, "Content-Length", 0);

		if (strncmp(reader->head, "POST /api/rows-tx ", 18) != 0) {
			ok = serve_read(reader->fd, reader->head, text);
			continue;
		}
		while (reader->len < len) {
			ssize_t got = recv(reader->fd, reader->data + reader->len,
			    sizeof(reader->data) - 1 - reader->len, 0);

			if (got <= 0)
				break;
			reader->len += (size_t)got;
		}
		if (reader->len < len)
			break;
		memcpy(text, reader->data, len);
		text[len] = '\0';
		skip_body(reader, len);
		pthread_mutex_lock(&store_lock);
		apply_transaction(text);
		sprintf(text, "{\"ver\":%" PRIu64 ",\"nowMs\":%" PRId64 "}",
		    store_version, now_ms());
		pthread_mutex_unlock(&store_lock);
		ok = answer_store(reader->fd, "200 OK", text);
	}
	close(reader->fd);
	free(text);
	free(reader);
	return NULL;
}

static void *
run_store(void *ctx)
{
	int listen_fd = *(int *)ctx;
	int fd;

	while ((fd = accept(listen_fd, NULL, NULL)) >= 0) {
		reader_t *reader = calloc(1, sizeof(*reader));
		int on = 1;

		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		reader->fd = fd;
		start_thread(run_store_connection, reader);
	}
	return NULL;
}

static void
start_own_store(void)
{
	static int listen_fd;

	listen_fd = listen_on_free_port(&store_port);
	start_thread(run_store, &listen_fd);
}

/* The store is away for a moment and comes back from an older copy. */
static void
restore_older_copy(int64_t age_ms, int64_t away_ms)
{
	uint64_t before;

	store_down = true;
	record("the store is away");
	sleep_ms(away_ms);
	pthread_mutex_lock(&store_lock);
	before = store_version;
	while (write_count > 0 && writes[write_count - 1].at > now_ms() - age_ms)
		write_count--;
	store_version = write_count > 0 ? writes[write_count - 1].version : 1;
	store_era++;
	store_down = false;
	pthread_mutex_unlock(&store_lock);
	record("the store is back, era %u: version %" PRIu64
	       ", %" PRIu64 " before",
	    store_era, store_version, before);
}

/* The project's programs. */

static pid_t
start_process(const char *output, char *const argv[])
{
	pid_t pid = fork();
	int fd;

	if (pid < 0)
		give_up("no process");
	if (pid > 0)
		return pid;
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	pthread_sigmask(SIG_UNBLOCK, &stop_signals, NULL);
	fd = open(output, O_WRONLY | O_CREAT | O_TRUNC, 0644);
	dup2(fd, 1);
	dup2(fd, 2);
	execv(argv[0], argv);
	_exit(127);
}

static void
wait_for_port(uint16_t port)
{
	int64_t end = now_ms() + READY_TIMEOUT_MS;
	int fd;

	while ((fd = connect_to(port)) < 0) {
		if (now_ms() > end)
			give_up("a process does not listen");
		sleep_ms(TICK_MS);
	}
	close(fd);
}

static void
start_platform(void)
{
	char port[8];
	char output[64];
	char *argv[] = {
	    "target/bin/platform", "-a", LOOPBACK, "-p", port, NULL};

	store_port = find_free_port();
	snprintf(port, sizeof(port), "%u", store_port);
	snprintf(output, sizeof(output), "%s/platform.log", folder);
	platform_pid = start_process(output, argv);
	wait_for_port(store_port);
}

static void
write_manifest(int timeout_ms)
{
	char value[2048];

	snprintf(value, sizeof(value),
	    "{\"version\":\"r%d\",\"routes\":["
	    "{\"name\":\"r-read\",\"host\":\"" HOST "\",\"prefix\":\"/read/\","
	    "\"kind\":\"idempotent\",\"timeoutMs\":%d,\"targetLatencyMs\":1000,"
	    "\"priority\":2,\"service\":\"" SERVICE "\",\"maxAttempts\":2,"
	    "\"stickySessions\":false,\"homeRegions\":[]},"
	    "{\"name\":\"r-order\",\"host\":\"" HOST "\",\"prefix\":\"/order/\","
	    "\"kind\":\"non_idempotent\",\"timeoutMs\":%d,"
	    "\"targetLatencyMs\":1000,\"priority\":1,\"service\":\"" SERVICE
	    "\",\"maxAttempts\":2,\"stickySessions\":false,\"homeRegions\":[]}],"
	    "\"services\":[{\"name\":\"" SERVICE "\",\"healthPath\":\"/health\","
	    "\"maxConns\":720,\"protocol\":\"h1\",\"tls\":false,"
	    "\"coldStartS\":3.0,\"coldPerS\":17.0}],\"limits\":{"
	    "\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
	    "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}",
	    manifest_version, timeout_ms, timeout_ms);
	if (!write_row("op", "config", value))
		give_up("the store does not take the manifest");
}

/* The settings are those that deploy/settings.json.template gives. */
static void
start_vm(size_t number)
{
	char settings[64];
	char output[64];
	char *argv[] = {"target/bin/spindled", settings, NULL};
	FILE *file;

	snprintf(settings, sizeof(settings), "%s/node-%zu.toml", folder, number);
	snprintf(output, sizeof(output), "%s/spindled-%zu.log", folder, number);
	caller_ports[number] = find_free_port();
	ready_ports[number] = find_free_port();
	file = fopen(settings, "w");
	if (file == NULL)
		give_up("no settings file");
	fprintf(file,
	    "{\"vm\":\"edge-a1-%zu\",\"region\":\"ra\",\"place\":\"a1\","
	    "\"peer_port\":%u,\"gossip_period_ms\":500,\"suspicion_ms\":2000,"
	    "\"edge\":{\"callers\":\"" LOOPBACK ":%u\",\"readiness\":\"" LOOPBACK
	    ":%u\",\"directory\":\"" LOOPBACK ":%u\",\"store\":\"" LOOPBACK
	    ":%u\",\"metrics_port\":%u,\"link_mbps\":700.0,\"places\":"
	    "[{\"place\":\"a1\",\"region\":\"ra\"}],\"cold_over\":1.5,"
	    "\"cold_slack\":5,\"retry_ratio\":0.2,\"heartbeat_ms\":%d,"
	    "\"drain_ms\":%d,\"stop_grace_ms\":%d000},"
	    "\"limits\":{\"max_connections\":1200},\"log\":{\"file\":\"-\"}}\n",
	    number + 1, find_free_port(), caller_ports[number],
	    ready_ports[number], find_free_port(), store_port,
	    find_free_port(), HEARTBEAT_MS, DRAIN_MS, grace_s);
	fclose(file);
	vm_pids[number] = start_process(output, argv);
}

static bool
is_vm_ready(size_t number)
{
	static reader_t reader;
	static const char request[] =
	    "GET /api/readiness HTTP/1.1\r\nHost: vm\r\n\r\n";
	int fd = connect_to(ready_ports[number]);
	bool ready;

	if (fd < 0)
		return false;
	reader.fd = fd;
	reader.len = 0;
	ready = send_all(fd, request, sizeof(request) - 1) &&
	    read_head(&reader) &&
	    strncmp(reader.head, "HTTP/1.1 200", 12) == 0;
	close(fd);
	return ready;
}

static void
open_deployment(size_t vms, size_t count, int timeout_ms)
{
	int64_t end = now_ms() + READY_TIMEOUT_MS;
	size_t i;

	if (mkdtemp(folder) == NULL)
		give_up("no temporary folder");
	if (has_own_store)
		start_own_store();
	else
		start_platform();
	write_manifest(timeout_ms);
	open_targets(count);
	for (i = 0; i < vms; i++)
		start_vm(i);
	for (i = 0; i < vms; i++) {
		while (!is_vm_ready(i)) {
			if (now_ms() > end)
				give_up("a VM is not ready");
			sleep_ms(TICK_MS);
		}
	}
	sleep_ms(1000); /* all targets are known */
	record("ready: %zu VMs, %zu targets with %d slots and %d places in the "
	       "queue, %d ms of work",
	    vms, count, TARGET_SLOTS, TARGET_QUEUE, work_ms);
}

/* Clients. */

typedef struct client {
	attempt_t *attempt;
	int budget_ms;
	size_t body_len;
	int64_t leave_at; /* 0: stays */
	size_t vm; /* to which it connects */
	attempt_t *first; /* a read on the connection before, or NULL */
	pthread_t thread;
} client_t;

static attempt_t *
new_attempt(bool is_order)
{
	attempt_t *attempt;

	pthread_mutex_lock(&attempts_lock);
	if (attempt_count == REQUESTS_MAX)
		give_up("too many requests");
	attempt = &attempts[attempt_count];
	snprintf(attempt->id, sizeof(attempt->id), "%08x%08zx",
	    (unsigned int)getpid(), attempt_count + 1);
	attempt->is_order = is_order;
	attempt->target = -1;
	attempt_count++;
	pthread_mutex_unlock(&attempts_lock);
	return attempt;
}

static bool
send_attempt(int fd, attempt_t *attempt, int budget_ms, size_t body_len)
{
	static char body[BODY_MAX];
	char head[512];

	snprintf(head, sizeof(head),
	    "%s /%s/%s HTTP/1.1\r\nHost: " HOST "\r\nRequest-Id: %s\r\n"
	    "Deadline-Ms: %d\r\nContent-Length: %zu\r\n\r\n",
	    attempt->is_order ? "POST" : "GET",
	    attempt->is_order ? "order" : "read", attempt->id, attempt->id,
	    budget_ms, body_len);
	if (!send_all(fd, head, strlen(head)) ||
	    !send_all(fd, body, body_len))
		return false;
	attempt->sent = now_ms();
	record("send     %s %s, %zu bytes", attempt->id,
	    attempt->is_order ? "order" : "read", body_len);
	return true;
}

/* Reads the answer; false if the connection ends without a whole one. */
static bool
read_answer(reader_t *reader, attempt_t *attempt)
{
	char id[64];
	bool complete = read_head(reader) &&
	    skip_body(
		reader, (size_t)get_number(reader->head, "Content-Length", 0));

	attempt->ended = now_ms();
	if (!complete) {
		record("closed   %s without an answer", attempt->id);
		return false;
	}
	get_field(reader->head, "Request-Id", id, sizeof(id));
	attempt->status = (int)strtol(reader->head + 9, NULL, 10);
	record("answer   %s %d%s", attempt->id, attempt->status,
	    strcmp(id, attempt->id) == 0 ? "" : " (another id)");
	return true;
}

static void *
run_client(void *ctx)
{
	client_t *client = ctx;
	reader_t *reader = calloc(1, sizeof(*reader));
	struct pollfd poll_fd = {.events = POLLIN};

	reader->fd = connect_to(caller_ports[client->vm]);
	poll_fd.fd = reader->fd;
	if (reader->fd >= 0 &&
	    send_attempt(reader->fd, client->attempt, client->budget_ms,
		client->body_len)) {
		if (client->leave_at != 0 &&
		    poll(&poll_fd, 1,
			(int)(client->leave_at - now_ms() > 0
				? client->leave_at - now_ms()
				: 0)) == 0) {
			client->attempt->left = now_ms();
			record("leave    %s", client->attempt->id);
		} else {
			read_answer(reader, client->attempt);
		}
	}
	if (reader->fd >= 0)
		close(reader->fd);
	free(reader);
	return NULL;
}

static void
start_client(client_t *client, int budget_ms, size_t body_len)
{
	client->attempt = new_attempt(true);
	client->budget_ms = budget_ms;
	client->body_len = body_len;
}

static void
run_clients(client_t *clients, size_t count)
{
	size_t i;

	for (i = 0; i < count; i++) {
		if (pthread_create(&clients[i].thread, NULL, run_client,
			&clients[i]) != 0)
			give_up("no thread");
	}
}

static void
join_clients(client_t *clients, size_t count)
{
	size_t i;

	for (i = 0; i < count; i++)
		pthread_join(clients[i].thread, NULL);
}

#define CALM_ROUNDS 4
#define CALM_CLIENTS 10

/* Calm traffic before the case, from which the VM learns how long work takes. */
static void
warm_up(size_t vm, int budget_ms)
{
	client_t clients[CALM_CLIENTS];
	size_t round;
	size_t i;

	for (round = 0; round < CALM_ROUNDS; round++) {
		memset(clients, 0, sizeof(clients));
		for (i = 0; i < CALM_CLIENTS; i++)
			start_client(&clients[i], budget_ms, 1000);
		for (i = 0; i < CALM_CLIENTS; i++)
			clients[i].vm = vm;
		run_clients(clients, CALM_CLIENTS);
		join_clients(clients, CALM_CLIENTS);
		for (i = 0; i < CALM_CLIENTS; i++) {
			if (clients[i].attempt->status != 200)
				give_up("the calm deployment does not serve");
		}
	}
}

/* Cases. */

#define LONG_WORK_MS 3360
#define LONG_BUDGET_MS 15000
#define LOAD_PERCENT 170 /* of what the targets' slots can take */
#define LOAD_TARGETS 2
#define LONG_LOAD_MS 36000 /* before the disruption, with LONG_WORK_MS */
#define ORDER_LOAD_MS 20000 /* the same with ORDER_WORK_MS */
#define LOAD_CLIENTS_MAX 1200

static client_t load_clients[LOAD_CLIENTS_MAX];
static size_t load_count;

/* Starts clients at a constant rate until the given time. */
static void
run_load(size_t vm, int64_t until, int budget_ms, int leave_percent,
    int leave_ms)
{
	int64_t rate = (int64_t)LOAD_TARGETS * TARGET_SLOTS * LOAD_PERCENT *
	    1000 / work_ms; /* in hundredths of an order per second */
	int64_t start = now_ms();
	int64_t count;

	for (count = 0; now_ms() < until && load_count < LOAD_CLIENTS_MAX;
	     count++) {
		client_t *client = &load_clients[load_count++];

		start_client(client, budget_ms, 1000);
		client->vm = vm;
		if (count * leave_percent % 100 < leave_percent)
			client->leave_at = now_ms() + leave_ms;
		run_clients(client, 1);
		sleep_ms(start + (count + 1) * 100000 / rate - now_ms());
	}
}

#define STOP_WORK_MS 5200
#define STOP_BUDGET_MS 25000
#define STOP_LOAD_MS 42000 /* before the SIGTERM */

/* Planned stop of a VM under load. */
static unsigned int
play_stop(void)
{
	unsigned int broken = 0;
	unsigned int served = 0;
	size_t i;

	work_ms = STOP_WORK_MS;
	open_deployment(1, LOAD_TARGETS, STOP_BUDGET_MS);
	warm_up(0, STOP_BUDGET_MS);
	record("load: %d %% of what the slots can take", LOAD_PERCENT);
	run_load(0, now_ms() + STOP_LOAD_MS, STOP_BUDGET_MS, 0, 0);
	if (with_trouble) {
		record("SIGTERM to the VM");
		kill(vm_pids[0], SIGTERM);
	}
	join_clients(load_clients, load_count);
	for (i = 0; i < load_count; i++) {
		const attempt_t *attempt = load_clients[i].attempt;

		served += attempt->status == 200;
		if (attempt->sent == 0 || attempt->status != 0)
			continue;
		if (attempt->arrived != 0) {
			record("excused  %s: its target was at work",
			    attempt->id);
			continue;
		}
		if (attempt->ended <= attempt->sent + LOSS_SLACK_MS)
			continue;
		broken++;
		record("LOST     %s: sent at %" PRId64
		       ", never passed on, closed at %" PRId64
		       " without an answer",
		    attempt->id, attempt->sent, attempt->ended);
	}
	record("%zu orders: %u served, %u read and dropped without an answer",
	    load_count, served, broken);
	return broken;
}

#define ORDER_WORK_MS 1760
#define ORDER_BUDGET_MS 8000
#define LEAVE_MS 1500
#define LEAVE_FOR_MS 5000
#define LEAVE_PERCENT 30

/* Some clients leave while their orders wait. */
static unsigned int
play_leave(void)
{
	unsigned int left = 0;
	unsigned int late = 0;
	unsigned int ran = 0;
	size_t i;

	work_ms = ORDER_WORK_MS;
	open_deployment(1, LOAD_TARGETS, ORDER_BUDGET_MS);
	warm_up(0, ORDER_BUDGET_MS);
	record("load: %d %% of what the slots can take", LOAD_PERCENT);
	run_load(0, now_ms() + ORDER_LOAD_MS, ORDER_BUDGET_MS, 0, 0);
	record("from now on %d %% of the clients leave after %d ms",
	    with_trouble ? LEAVE_PERCENT : 0, LEAVE_MS);
	run_load(0, now_ms() + LEAVE_FOR_MS, ORDER_BUDGET_MS,
	    with_trouble ? LEAVE_PERCENT : 0, LEAVE_MS);
	join_clients(load_clients, load_count);
	sleep_ms(ORDER_BUDGET_MS);
	for (i = 0; i < load_count; i++) {
		const attempt_t *attempt = load_clients[i].attempt;

		if (attempt->left == 0)
			continue;
		left++;
		if (attempt->arrived <= attempt->left + GONE_AFTER_MS)
			continue;
		late++;
		ran += attempt->runs > 0;
		record("GONE     %s: its client left at %" PRId64
		       ", it reached a target at %" PRId64 ", run %u",
		    attempt->id, attempt->left, attempt->arrived,
		    attempt->runs);
	}
	record("%zu orders: %u clients left; %u of their orders reached a "
	       "target over %d ms later, %u of these ran",
	    load_count, left, late, GONE_AFTER_MS, ran);
	return late > FEW ? late : 0;
}

#define EXIT_AFTER_DRAIN_MS 3000 /* "a little longer" than DRAIN_MS */

static int exit_after_drain_ms = EXIT_AFTER_DRAIN_MS;

static void
drain_target(target_t *target)
{
	pthread_mutex_lock(&target->lock);
	target->draining = true;
	if (!write_target_row(target))
		give_up("the store does not take a row");
	target->draining_acked = now_ms();
	pthread_mutex_unlock(&target->lock);
	record("%s is draining, accepted by the store", target->id);
	sleep_ms(DRAIN_MS + exit_after_drain_ms);
	pthread_mutex_lock(&target->lock);
	target->ended = true;
	write_row("servers", target->id, NULL);
	pthread_mutex_unlock(&target->lock);
	close(target->listen_fd);
	record("%s ends", target->id);
}

/* A target drains and ends while requests wait for it. */
static unsigned int
play_drain(void)
{
	target_t *target = &targets[0];
	unsigned int broken = 0;
	unsigned int lost = 0;
	size_t i;

	work_ms = LONG_WORK_MS;
	open_deployment(1, LOAD_TARGETS, LONG_BUDGET_MS);
	warm_up(0, LONG_BUDGET_MS);
	record("load: %d %% of what the slots can take", LOAD_PERCENT);
	run_load(0, now_ms() + LONG_LOAD_MS, LONG_BUDGET_MS, 0, 0);
	if (with_trouble)
		drain_target(target);
	join_clients(load_clients, load_count);
	for (i = 0; i < load_count; i++) {
		const attempt_t *attempt = load_clients[i].attempt;

		if (target->draining_acked == 0 || attempt->target != 0 ||
		    attempt->arrived <= target->draining_acked + DRAIN_MS)
			continue;
		broken++;
		lost += attempt->finished == 0;
		record("DRAIN    %s: reached %s %" PRId64
		       " ms after its draining was accepted; client got %d",
		    attempt->id, target->id,
		    attempt->arrived - target->draining_acked, attempt->status);
	}
	record("%zu orders: %u reached the target later than %d ms after its "
	       "draining was accepted, %u of them were cut off by its end",
	    load_count, broken, DRAIN_MS, lost);
	return broken;
}

#define LATE_GRACE_S 10
#define LATE_WORK_MS 2400
#define LATE_BUDGET_MS 12000
#define LATE_LOAD_MS 30000
#define LATE_FROM_MS 3050 /* after the SIGTERM */
#define LATE_ORDERS 9
#define LATE_GAP_MS 100

static void *
run_other_vm(void *ctx)
{
	(void)ctx;
	run_load(1, now_ms() + LATE_LOAD_MS + 8000, LATE_BUDGET_MS, 0, 0);
	return NULL;
}

/* Orders that come to a VM later than 3 s after its SIGTERM. */
static unsigned int
play_late(void)
{
	client_t clients[LATE_ORDERS] = {0};
	unsigned int broken = 0;
	unsigned int served = 0;
	pthread_t thread;
	int64_t stop;
	size_t i;

	work_ms = LATE_WORK_MS;
	grace_s = LATE_GRACE_S;
	open_deployment(2, LOAD_TARGETS, LATE_BUDGET_MS);
	warm_up(0, LATE_BUDGET_MS);
	warm_up(1, LATE_BUDGET_MS);
	record("load by the other VM: %d %% of what the slots can take",
	    LOAD_PERCENT);
	if (pthread_create(&thread, NULL, run_other_vm, NULL) != 0)
		give_up("no thread");
	sleep_ms(LATE_LOAD_MS);
	stop = now_ms();
	if (with_trouble) {
		record("SIGTERM to VM 0");
		kill(vm_pids[0], SIGTERM);
	}
	sleep_ms(LATE_FROM_MS);
	for (i = 0; i < LATE_ORDERS; i++) {
		start_client(&clients[i], LATE_BUDGET_MS, 1000);
		run_clients(&clients[i], 1);
		sleep_ms(LATE_GAP_MS);
	}
	join_clients(clients, LATE_ORDERS);
	for (i = 0; i < LATE_ORDERS; i++) {
		const attempt_t *attempt = clients[i].attempt;

		served += attempt->status == 200;
		if (attempt->arrived == 0 || attempt->status != 0)
			continue;
		broken++;
		record("LOST     %s: sent %" PRId64
		       " ms after the SIGTERM, passed on, closed after %" PRId64
		       " ms without an answer",
		    attempt->id, attempt->sent - stop, attempt->ended - stop);
	}
	record("%d orders: %u served, %u passed on and closed without an answer",
	    LATE_ORDERS, served, broken);
	pthread_join(thread, NULL);
	join_clients(load_clients, load_count);
	return broken;
}

#define UPLOAD_TARGETS 8
#define CALM_PER_S 35
#define BURST_PERCENT 170 /* of the calm rate */
#define CALM_MS 5000
#define BURST_MS 3000
#define UPLOADS_MAX 600

/* Kilobytes of memory that a process uses; 0 if it has ended. */
static long
get_memory_kb(pid_t pid)
{
	char path[64];
	char line[128];
	long kb = 0;
	FILE *file;

	snprintf(path, sizeof(path), "/proc/%d/status", (int)pid);
	file = fopen(path, "r");
	if (file == NULL)
		return 0;
	while (fgets(line, sizeof(line), file) != NULL) {
		if (strncmp(line, "VmRSS:", 6) == 0)
			kb = strtol(line + 6, NULL, 10);
	}
	fclose(file);
	return kb;
}

/* The platform kills a process that exceeds its memory. */
static void *
run_memory_limit(void *ctx)
{
	long most = 0;

	(void)ctx;
	while (!stopping) {
		long kb = get_memory_kb(vm_pids[0]);

		if (kb / 10240 > most / 10240)
			record("memory   %ld MB", kb / 1024);
		if (kb > most)
			most = kb;
		if (kb > MEMORY_MB * 1024L) {
			record("the platform kills the VM: %ld MB of %d MB",
			    kb / 1024, MEMORY_MB);
			kill(vm_pids[0], SIGKILL);
			return NULL;
		}
		sleep_ms(TICK_MS);
	}
	return NULL;
}

/* Sends a read, and on the same connection a large order. */
static void *
run_upload(void *ctx)
{
	client_t *client = ctx;
	reader_t *reader = calloc(1, sizeof(*reader));

	reader->fd = connect_to(caller_ports[client->vm]);
	if (reader->fd >= 0 &&
	    send_attempt(reader->fd, client->first, client->budget_ms, 0) &&
	    read_answer(reader, client->first) &&
	    send_attempt(reader->fd, client->attempt, client->budget_ms,
		client->body_len))
		read_answer(reader, client->attempt);
	if (client->attempt->ended == 0)
		client->attempt->ended = now_ms();
	if (reader->fd >= 0)
		close(reader->fd);
	free(reader);
	return NULL;
}

/* Starts clients at a rate until the given time; returns how many. */
static size_t
start_uploads(client_t *clients, size_t max, int64_t until, int per_s)
{
	int64_t start = now_ms();
	size_t count = 0;

	while (now_ms() < until && count < max) {
		client_t *client = &clients[count];

		client->first = new_attempt(false);
		start_client(client, ORDER_BUDGET_MS, BODY_MAX);
		if (pthread_create(
			&client->thread, NULL, run_upload, client) != 0)
			give_up("no thread");
		count++;
		sleep_ms(start + (int64_t)count * 1000 / per_s - now_ms());
	}
	return count;
}

/* Clients send large orders, and for some seconds more of them come. */
static unsigned int
play_uploads(void)
{
	static client_t clients[UPLOADS_MAX];
	unsigned int broken = 0;
	unsigned int served = 0;
	int per_s = with_trouble ? CALM_PER_S * BURST_PERCENT / 100
				 : CALM_PER_S;
	size_t count;
	size_t i;

	work_ms = ORDER_WORK_MS;
	open_deployment(1, UPLOAD_TARGETS, ORDER_BUDGET_MS);
	start_thread(run_memory_limit, NULL);
	record("calm: %d orders a second of %d bytes", CALM_PER_S, BODY_MAX);
	count = start_uploads(
	    clients, UPLOADS_MAX, now_ms() + CALM_MS, CALM_PER_S);
	record("now %d orders a second", per_s);
	count += start_uploads(&clients[count], UPLOADS_MAX - count,
	    now_ms() + BURST_MS, per_s);
	join_clients(clients, count);
	for (i = 0; i < count; i++) {
		const attempt_t *attempt = clients[i].attempt;

		served += attempt->status == 200;
		if (attempt->arrived == 0 || attempt->status != 0)
			continue;
		broken++;
		record("LOST     %s: passed on at %" PRId64
		       ", kept connection closed at %" PRId64
		       " without an answer, its target %s",
		    attempt->id, attempt->arrived, attempt->ended,
		    attempt->began == 0 ? "had it queued" : "was at work");
	}
	record("%zu orders: %u served, %u passed on and closed without an "
	       "answer, VM %s",
	    count, served, broken,
	    get_memory_kb(vm_pids[0]) == 0 ? "killed" : "alive");
	return broken > FEW ? broken : 0;
}

#define DRILL_WORK_MS 240
#define DRILL_BUDGET_MS 1500
#define DRILL_TARGETS 4
#define DRILL_PER_S 30
#define DRILL_CALM_MS 10000
#define STORM_CHANGES 12
#define STORM_GAP_MS 330
#define DRILL_AGE_MS 8000 /* of the copy */
#define DRILL_AWAY_MS 300
#define CONTACT_MS 4000
#define DRILL_EXIT_MS 3000 /* after DRAIN_MS */
#define DRILL_AFTER_MS 9000

static void *
run_drill_load(void *ctx)
{
	int64_t start = now_ms();
	int64_t count;

	(void)ctx;
	for (count = 0; !stopping && load_count < LOAD_CLIENTS_MAX; count++) {
		client_t *client = &load_clients[load_count];

		start_client(client, DRILL_BUDGET_MS, 1000);
		run_clients(client, 1);
		load_count++;
		sleep_ms(start + (count + 1) * 1000 / DRILL_PER_S - now_ms());
	}
	return NULL;
}

static void *
run_drill_drain(void *ctx)
{
	drain_target(ctx);
	return NULL;
}

/* What the targets and the operator wrote is written again. */
static void
write_all_again(void)
{
	size_t i;

	write_manifest(DRILL_BUDGET_MS);
	for (i = 0; i < target_count; i++) {
		pthread_mutex_lock(&targets[i].lock);
		write_target_row(&targets[i]);
		pthread_mutex_unlock(&targets[i].lock);
	}
}

/* A target drains some seconds after the store came back from an older copy. */
static unsigned int
play_drill(void)
{
	target_t *target = &targets[0];
	unsigned int broken = 0;
	unsigned int lost = 0;
	pthread_t load, drain;
	size_t i;

	work_ms = DRILL_WORK_MS;
	exit_after_drain_ms = DRILL_EXIT_MS;
	has_own_store = true;
	open_deployment(1, DRILL_TARGETS, DRILL_BUDGET_MS);
	if (pthread_create(&load, NULL, run_drill_load, NULL) != 0)
		give_up("no thread");
	sleep_ms(DRILL_CALM_MS);
	record("the manifest changes %d times", STORM_CHANGES);
	for (i = 0; i < STORM_CHANGES; i++) {
		manifest_version++;
		write_manifest(DRILL_BUDGET_MS);
		sleep_ms(STORM_GAP_MS);
	}
	if (with_trouble) {
		restore_older_copy(DRILL_AGE_MS, DRILL_AWAY_MS);
		write_all_again();
	}
	sleep_ms(CONTACT_MS + 300);
	if (pthread_create(&drain, NULL, run_drill_drain, target) != 0)
		give_up("no thread");
	sleep_ms(DRILL_AFTER_MS);
	pthread_join(drain, NULL);
	stopping = true;
	pthread_join(load, NULL);
	join_clients(load_clients, load_count);
	for (i = 0; i < load_count; i++) {
		const attempt_t *attempt = load_clients[i].attempt;

		if (attempt->target != 0 ||
		    attempt->arrived <= target->draining_acked + DRAIN_MS)
			continue;
		broken++;
		lost += attempt->finished == 0;
		record("DRAIN    %s: reached %s %" PRId64
		       " ms after its draining was accepted; client got %d",
		    attempt->id, target->id,
		    attempt->arrived - target->draining_acked, attempt->status);
	}
	record("%zu orders: %u reached the target later than %d ms after its "
	       "draining was accepted, %u of them were cut off by its end",
	    load_count, broken, DRAIN_MS, lost);
	return broken;
}

static const struct {
	const char *name;
	unsigned int (*play)(void);
} cases[] = {
    {"stop", play_stop},
    {"leave", play_leave},
    {"drain", play_drain},
    {"uploads", play_uploads},
    {"late", play_late},
    {"drill", play_drill},
};

/* Ends the case and its processes if the driver is told to stop. */
static void *
wait_for_stop(void *ctx)
{
	int number;

	(void)ctx;
	if (sigwait(&stop_signals, &number) == 0)
		give_up("stopped by a signal");
	return NULL;
}

static void
watch_stop_signals(void)
{
	sigemptyset(&stop_signals);
	sigaddset(&stop_signals, SIGHUP);
	sigaddset(&stop_signals, SIGINT);
	sigaddset(&stop_signals, SIGTERM);
	pthread_sigmask(SIG_BLOCK, &stop_signals, NULL);
	start_thread(wait_for_stop, NULL);
}

int
main(int argc, char **argv)
{
	const char *trouble = getenv("TROUBLE");
	unsigned int broken;
	size_t i;

	if (argc != 3)
		return 2;
	record_file = fopen(argv[2], "w");
	if (record_file == NULL)
		return 2;
	signal(SIGPIPE, SIG_IGN);
	watch_stop_signals();
	start_ms = now_ms() - 1;
	with_trouble = trouble == NULL || strcmp(trouble, "0") != 0;
	record("case %s, disruption %s", argv[1], with_trouble ? "on" : "off");
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		if (strcmp(cases[i].name, argv[1]) != 0)
			continue;
		broken = cases[i].play();
		record("result: the rule %s", broken > 0 ? "is broken" : "held");
		pthread_mutex_lock(&record_lock);
		record_is_complete = true;
		pthread_mutex_unlock(&record_lock);
		end_processes();
		remove_folder();
		printf("%s: %s\n", argv[1], broken > 0 ? "broken" : "held");
		fflush(stdout);
		_exit(broken > 0 ? 1 : 0);
	}
	return 2;
}
