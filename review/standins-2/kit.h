/*
 * Stand-ins that the cases of this review share: the platform's store, targets,
 * clients, and the start and stop of spindled processes. All of it runs in the
 * process of the case, one thread for each connection; only spindled runs in
 * processes of its own. Every address is 127.0.0.1.
 */
#ifndef REVIEW_KIT_H
#define REVIEW_KIT_H

#define _GNU_SOURCE /* memmem() */

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

enum {
	HELD = 0,
	BROKEN = 1,
	CANNOT_RUN = 2
};
#define RUN_SECONDS_MAX 115
#define HEAD_MAX 16384

/* Time and record */

static FILE *record_file;
static double record_start;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;

static double
clock_now(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

/* Seconds since the start of the case. */
static double
now(void)
{
	return clock_now() - record_start;
}

static void
pause_for(double seconds)
{
	if (seconds > 0)
		usleep((useconds_t)(seconds * 1e6));
}

static inline void
pause_until(double at)
{
	pause_for(at - now());
}

__attribute__((format(printf, 1, 2))) static void
note(const char *fmt, ...)
{
	va_list args;

	pthread_mutex_lock(&record_lock);
	fprintf(record_file, "%6ld ms ", (long)(now() * 1000));
	va_start(args, fmt);
	vfprintf(record_file, fmt, args);
	va_end(args);
	fputc('\n', record_file);
	fflush(record_file);
	pthread_mutex_unlock(&record_lock);
}

/* Processes */

#define PROCESSES_MAX 64
static pid_t processes[PROCESSES_MAX];
static int process_count;

static void
end_processes(void)
{
	int i;

	for (i = 0; i < process_count; i++) {
		if (processes[i] <= 0)
			continue;
		kill(processes[i], SIGKILL);
		waitpid(processes[i], NULL, 0);
		processes[i] = 0;
	}
}

static void
finish(int code)
{
	end_processes();
	note("exit %d", code);
	_exit(code);
}

static void
cannot_run(const char *why)
{
	note("cannot run: %s", why);
	fprintf(stderr, "cannot run: %s\n", why);
	finish(CANNOT_RUN);
}

static void
handle_end_signal(int number)
{
	(void)number;
	end_processes();
	_exit(CANNOT_RUN);
}

static void
begin_case(const char *record_path)
{
	record_start = clock_now();
	record_file = fopen(record_path, "w");
	if (record_file == NULL) {
		perror(record_path);
		_exit(CANNOT_RUN);
	}
	signal(SIGPIPE, SIG_IGN);
	signal(SIGTERM, handle_end_signal);
	signal(SIGINT, handle_end_signal);
	signal(SIGALRM, handle_end_signal);
	alarm(RUN_SECONDS_MAX);
}

static bool
has_trouble(void)
{
	const char *text = getenv("TROUBLE");

	return text == NULL || strcmp(text, "0") != 0;
}

static void
start_thread(void *(*run)(void *ctx), void *ctx)
{
	pthread_t thread;
	pthread_attr_t attr;

	pthread_attr_init(&attr);
	pthread_attr_setstacksize(&attr, 256 * 1024);
	pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	if (pthread_create(&thread, &attr, run, ctx) != 0)
		cannot_run("no thread");
	pthread_attr_destroy(&attr);
}

/* Sockets */

/*
 * Ports are taken in turn, from below those that the system gives to outgoing
 * connections, so that none of these has the port of a process that restarts.
 * For the same reason each case has ports of its own: cases may run at the same
 * time.
 */
#define PORT_COUNT 3800
#define PORT_FIRST (12000 + (CASE - 6) * PORT_COUNT)
#define PORT_STEP 97 /* between runs that follow each other */

static int
next_port(void)
{
	static unsigned int taken;
	unsigned int number = __atomic_fetch_add(&taken, 1, __ATOMIC_RELAXED);

	return PORT_FIRST +
	    (int)(((unsigned int)getpid() * PORT_STEP + number) % PORT_COUNT);
}

static int
try_listen(int *port)
{
	struct sockaddr_in sa = {.sin_family = AF_INET,
	    .sin_port = htons((uint16_t)*port),
	    .sin_addr = {htonl(INADDR_LOOPBACK)}};
	socklen_t len = sizeof(sa);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int on = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (fd < 0 || bind(fd, (struct sockaddr *)&sa, sizeof(sa)) != 0 ||
	    listen(fd, 1024) != 0) {
		if (fd >= 0)
			close(fd);
		return -1;
	}
	getsockname(fd, (struct sockaddr *)&sa, &len);
	*port = ntohs(sa.sin_port);
	return fd;
}

/* Listens at the port, or at a free one if it is 0; returns -1 if it fails. */
static int
listen_at(int *port)
{
	int tries;

	if (*port != 0)
		return try_listen(port);
	for (tries = 0; tries < 100; tries++) {
		int candidate = next_port();
		int fd = try_listen(&candidate);

		if (fd >= 0) {
			*port = candidate;
			return fd;
		}
	}
	return -1;
}

/* A port that is free now, for TCP and UDP. */
static int
free_port(void)
{
	struct sockaddr_in sa = {
	    .sin_family = AF_INET, .sin_addr = {htonl(INADDR_LOOPBACK)}};
	int tries;

	for (tries = 0; tries < 100; tries++) {
		int port = 0;
		int tcp = listen_at(&port);
		int udp = socket(AF_INET, SOCK_DGRAM, 0);
		bool both;

		sa.sin_port = htons((uint16_t)port);
		both = tcp >= 0 && udp >= 0 &&
		    bind(udp, (struct sockaddr *)&sa, sizeof(sa)) == 0;
		close(tcp);
		close(udp);
		if (both)
			return port;
	}
	cannot_run("no free port");
	return 0;
}

static int
connect_to(int port)
{
	struct sockaddr_in sa = {.sin_family = AF_INET,
	    .sin_port = htons((uint16_t)port),
	    .sin_addr = {htonl(INADDR_LOOPBACK)}};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int on = 1;

	if (fd < 0)
		return -1;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	if (connect(fd, (struct sockaddr *)&sa, sizeof(sa)) == 0)
		return fd;
	close(fd);
	return -1;
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

/* A message: head as text, and the body. */
typedef struct message {
	char head[HEAD_MAX];
	char *body; /* owned, ends with a 0 */
	size_t body_len;
} message_t;

static bool
find_field(const message_t *message, const char *name, char *out, size_t size)
{
	const char *line = message->head;
	size_t len = strlen(name);

	while ((line = strstr(line, "\r\n")) != NULL) {
		line += 2;
		if (strncasecmp(line, name, len) != 0 || line[len] != ':')
			continue;
		line += len + 1;
		line += strspn(line, " ");
		snprintf(out, size, "%.*s", (int)strcspn(line, "\r"), line);
		return true;
	}
	out[0] = '\0';
	return false;
}

/* Bytes of a connection that were received and not used yet. */
typedef struct stream {
	int fd;
	char data[HEAD_MAX];
	size_t len;
} stream_t;

static bool
fill_stream(stream_t *stream)
{
	ssize_t got;

	if (stream->len == sizeof(stream->data))
		return false;
	got = recv(stream->fd, stream->data + stream->len,
	    sizeof(stream->data) - stream->len, 0);
	if (got <= 0)
		return false;
	stream->len += (size_t)got;
	return true;
}

static void
use_stream(stream_t *stream, size_t len)
{
	memmove(stream->data, stream->data + len, stream->len - len);
	stream->len -= len;
}

/* Reads one message with Content-Length, or without a body. */
static bool
read_message(stream_t *stream, message_t *message)
{
	char length[32];
	char *end;
	size_t head_len;
	size_t have = 0;

	for (;;) {
		end = memmem(stream->data, stream->len, "\r\n\r\n", 4);
		if (end != NULL)
			break;
		if (!fill_stream(stream))
			return false;
	}
	head_len = (size_t)(end - stream->data) + 4;
	if (head_len >= sizeof(message->head))
		return false;
	memcpy(message->head, stream->data, head_len);
	message->head[head_len] = '\0';
	use_stream(stream, head_len);
	find_field(message, "Content-Length", length, sizeof(length));
	message->body_len = (size_t)strtoul(length, NULL, 10);
	message->body = malloc(message->body_len + 1);
	while (have < message->body_len) {
		size_t part = message->body_len - have;

		if (stream->len == 0 && !fill_stream(stream)) {
			free(message->body);
			message->body = NULL;
			return false;
		}
		if (part > stream->len)
			part = stream->len;
		memcpy(message->body + have, stream->data, part);
		use_stream(stream, part);
		have += part;
	}
	message->body[message->body_len] = '\0';
	return true;
}

/* The platform's store: tables of rows, a history, and doors to it. */

#define ROWS_MAX 512
#define HISTORY_MAX 65536

typedef struct row {
	char table[32];
	char key[64];
	char *value; /* in base64; NULL: removed */
	uint64_t ver;
} row_t;

static row_t store_rows[ROWS_MAX];
static int store_row_count;
static row_t *store_history[HISTORY_MAX];
static int store_history_count;
static uint64_t store_ver;
static pthread_mutex_t store_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t store_changed = PTHREAD_COND_INITIALIZER;

static char *
to_base64(const char *text)
{
	static const char set[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqr"
				  "stuvwxyz0123456789+/";
	size_t len = strlen(text);
	char *out = malloc(len / 3 * 4 + 8);
	char *at = out;
	size_t i;

	for (i = 0; i < len; i += 3) {
		size_t left = len - i;
		unsigned int bits = (unsigned int)(unsigned char)text[i] << 16;

		if (left > 1)
			bits |= (unsigned int)(unsigned char)text[i + 1] << 8;
		if (left > 2)
			bits |= (unsigned char)text[i + 2];
		*at++ = set[bits >> 18];
		*at++ = set[bits >> 12 & 63];
		*at++ = left > 1 ? set[bits >> 6 & 63] : '=';
		*at++ = left > 2 ? set[bits & 63] : '=';
	}
	*at = '\0';
	return out;
}

/* Writes a row with a value in base64, or removes it; with the lock held. */
static void
write_row(const char *table, const char *key, const char *base64)
{
	row_t *row = NULL;
	row_t *change = calloc(1, sizeof(*change));
	int i;

	for (i = 0; i < store_row_count; i++) {
		if (strcmp(store_rows[i].table, table) == 0 &&
		    strcmp(store_rows[i].key, key) == 0)
			row = &store_rows[i];
	}
	if (row == NULL) {
		if (store_row_count == ROWS_MAX)
			abort();
		row = &store_rows[store_row_count++];
		snprintf(row->table, sizeof(row->table), "%s", table);
		snprintf(row->key, sizeof(row->key), "%s", key);
	}
	free(row->value);
	row->value = base64 == NULL ? NULL : strdup(base64);
	row->ver = ++store_ver;
	*change = *row;
	change->value = base64 == NULL ? NULL : strdup(base64);
	if (store_history_count == HISTORY_MAX)
		abort();
	store_history[store_history_count++] = change;
	pthread_cond_broadcast(&store_changed);
}

static void
put_row(const char *table, const char *key, const char *text)
{
	char *base64 = text == NULL ? NULL : to_base64(text);

	pthread_mutex_lock(&store_lock);
	write_row(table, key, base64);
	pthread_mutex_unlock(&store_lock);
	free(base64);
}

/* A way to the store: the platform may turn away those who come by it. */
typedef struct door {
	int port;
	int fd;
	volatile bool silent; /* it gives no response */
	/*
	 * Replaces the value of a row, in base64, for those who come by it: what
	 * the network between data centres does, when a relay plays it. NULL:
	 * none. The result is owned by the caller.
	 */
	char *(*replace_value)(
	    const struct door *door, const char *table, const char *base64);
	int zone; /* for replace_value */
} door_t;

/* The door by which the calling thread's client came. */
static __thread const door_t *current_door;

typedef struct door_connection {
	door_t *door;
	int fd;
} door_connection_t;

static void
get_param(const char *head, const char *name, char *out, size_t size)
{
	char pattern[40];
	const char *at;

	snprintf(pattern, sizeof(pattern), "%s=", name);
	at = strstr(head, pattern);
	out[0] = '\0';
	if (at != NULL && (at[-1] == '?' || at[-1] == '&')) {
		at += strlen(pattern);
		snprintf(out, size, "%.*s", (int)strcspn(at, "& "), at);
	}
}

static void
print_value(FILE *out, const row_t *row)
{
	const door_t *door = current_door;
	char *value = door == NULL || door->replace_value == NULL
	    ? NULL
	    : door->replace_value(door, row->table, row->value);

	fprintf(out, "\"value\":\"%s\"}", value == NULL ? row->value : value);
	free(value);
}

static void
print_row(FILE *out, const row_t *row, bool *first)
{
	fprintf(out,
	    "%s{\"table\":\"%s\",\"part\":\"\",\"key\":\"%s\",\"ver\":%llu,",
	    *first ? "" : ",", row->table, row->key,
	    (unsigned long long)row->ver);
	if (row->value == NULL)
		fprintf(out, "\"removed\":true}");
	else
		print_value(out, row);
	*first = false;
}

static int
compare_rows(const void *a, const void *b)
{
	return strcmp(
	    (*(const row_t *const *)a)->key, (*(const row_t *const *)b)->key);
}

static void
print_range(FILE *out, const char *table)
{
	const row_t *list[ROWS_MAX];
	size_t count = 0;
	bool first = true;
	size_t i;

	for (i = 0; i < (size_t)store_row_count; i++) {
		if (strcmp(store_rows[i].table, table) == 0 &&
		    store_rows[i].value != NULL)
			list[count++] = &store_rows[i];
	}
	qsort(list, count, sizeof(*list), compare_rows);
	for (i = 0; i < count; i++)
		print_row(out, list[i], &first);
}

/* Whether a later change of the history is of the same row. */
static bool
is_replaced(int at)
{
	int i;

	for (i = at + 1; i < store_history_count; i++) {
		if (strcmp(store_history[i]->key, store_history[at]->key) ==
			0 &&
		    strcmp(store_history[i]->table, store_history[at]->table) ==
			0)
			return true;
	}
	return false;
}

/* Prints the changes after a version; returns their number. */
static int
print_changes(FILE *out, const char *table, uint64_t after)
{
	bool first = true;
	int count = 0;
	int i;

	/* Each change has its own version, so that the index tells it. */
	for (i = (int)after; i < store_history_count; i++) {
		if (strcmp(store_history[i]->table, table) != 0 ||
		    is_replaced(i))
			continue;
		print_row(out, store_history[i], &first);
		count++;
	}
	return count;
}

static bool
has_change(const char *table, uint64_t after)
{
	int i;

	for (i = (int)after; i < store_history_count; i++) {
		if (strcmp(store_history[i]->table, table) == 0)
			return true;
	}
	return false;
}

static void
wait_for_change(const char *table, uint64_t after, long wait_ms)
{
	struct timespec until;

	clock_gettime(CLOCK_REALTIME, &until);
	until.tv_sec += wait_ms / 1000;
	until.tv_nsec += wait_ms % 1000 * 1000000;
	if (until.tv_nsec >= 1000000000) {
		until.tv_sec++;
		until.tv_nsec -= 1000000000;
	}
	while (!has_change(table, after)) {
		if (pthread_cond_timedwait(
			&store_changed, &store_lock, &until) == ETIMEDOUT)
			return;
	}
}

/* Copies the text of a member of a JSON object without escapes. */
static bool
get_text(const char *object, const char *name, char *out, size_t size)
{
	char pattern[40];
	const char *at;

	snprintf(pattern, sizeof(pattern), "\"%s\":\"", name);
	at = strstr(object, pattern);
	if (at == NULL)
		return false;
	at += strlen(pattern);
	snprintf(out, size, "%.*s", (int)strcspn(at, "\""), at);
	return true;
}

/* Transactions of the VMs have writes only, and no conditions. */
static void
apply_transaction(const char *body)
{
	char table[32];
	char key[64];
	char value[4096];
	const char *at = strstr(body, "\"writes\":[");
	const char *end = at == NULL ? NULL : strchr(at, ']');

	while (at != NULL && (at = strchr(at, '{')) != NULL && at < end) {
		if (get_text(at, "table", table, sizeof(table)) &&
		    get_text(at, "key", key, sizeof(key)) &&
		    get_text(at, "value", value, sizeof(value)))
			write_row(table, key, value);
		at = strchr(at, '}');
	}
}

static bool
answer_store_call(const door_connection_t *connection, message_t *message)
{
	char table[32];
	char number[32];
	char *text = NULL;
	size_t size = 0;
	FILE *out = open_memstream(&text, &size);
	const char *head = message->head;
	char line[160];
	bool sent;

	get_param(head, "table", table, sizeof(table));
	get_param(head, "after", number, sizeof(number));
	pthread_mutex_lock(&store_lock);
	fprintf(out, "{\"rows\":[");
	if (strncmp(head, "GET /api/rows-feed", 18) == 0) {
		uint64_t after = strtoull(number, NULL, 10);

		get_param(head, "waitMs", number, sizeof(number));
		wait_for_change(table, after, strtol(number, NULL, 10));
		print_changes(out, table, after);
	} else if (strncmp(head, "GET /api/rows-get", 17) == 0) {
		print_range(out, table);
	} else if (strncmp(head, "POST /api/rows-tx", 17) == 0) {
		apply_transaction(message->body);
	}
	fprintf(out, "],\"hasMore\":false,\"ver\":%llu,\"nowMs\":%ld}",
	    (unsigned long long)store_ver, (long)(now() * 1000));
	pthread_mutex_unlock(&store_lock);
	fclose(out);
	snprintf(line, sizeof(line),
	    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
	    "Content-Length: %zu\r\n\r\n",
	    size);
	while (connection->door->silent)
		pause_for(0.02);
	sent = send_all(connection->fd, line, strlen(line)) &&
	    send_all(connection->fd, text, size);
	free(text);
	return sent;
}

static void *
serve_store(void *ctx)
{
	door_connection_t *connection = ctx;
	stream_t *stream = calloc(1, sizeof(*stream));
	message_t *message = calloc(1, sizeof(*message));

	current_door = connection->door;
	stream->fd = connection->fd;
	while (read_message(stream, message)) {
		bool sent;

		/* A call that came while the store was silent gets nothing. */
		if (connection->door->silent) {
			free(message->body);
			while (connection->door->silent)
				pause_for(0.02);
			break;
		}
		sent = answer_store_call(connection, message);
		free(message->body);
		if (!sent)
			break;
	}
	close(connection->fd);
	free(connection);
	free(stream);
	free(message);
	return NULL;
}

static void *
accept_store(void *ctx)
{
	door_t *door = ctx;

	for (;;) {
		door_connection_t *connection = calloc(1, sizeof(*connection));

		if (connection == NULL)
			return NULL;
		connection->door = door;
		connection->fd = accept(door->fd, NULL, NULL);
		if (connection->fd < 0)
			return NULL;
		start_thread(serve_store, connection);
	}
	return NULL;
}

static void
open_door(door_t *door)
{
	door->port = 0;
	door->fd = listen_at(&door->port);
	if (door->fd < 0)
		cannot_run("no port for the store");
	start_thread(accept_store, door);
}

/* Targets */

#define CONNECTIONS_MAX 512
#define HEARTBEAT_S 1.5
#define LEAVING_FIELDS "Server-Leaving: 1\r\nConnection: close\r\n"

typedef struct target {
	char id[32];
	char service[32];
	char place[32];
	int port;
	int fd; /* -1: its process does not run */
	uint64_t born; /* Unix ms of its start */
	uint64_t sequence;
	int slots;
	int running;
	double work_s;
	double down_s; /* until it is back after a crash */
	bool leaving; /* it says so in its row and in its answers */
	int connections[CONNECTIONS_MAX]; /* -1: free */
	pthread_mutex_t lock;
	void (*on_run)(struct target *target, const char *id, const char *path);
} target_t;

typedef struct target_connection {
	target_t *target;
	int fd;
	int slot;
} target_connection_t;

static uint64_t
get_unix_ms(void)
{
	struct timeval t;

	gettimeofday(&t, NULL);
	return (uint64_t)t.tv_sec * 1000 + (uint64_t)t.tv_usec / 1000;
}

static void
write_heartbeat(target_t *target)
{
	char text[512];

	snprintf(text, sizeof(text),
	    "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"%s\","
	    "\"version\":\"v1\",\"slots\":%d,\"state\":\"%s\","
	    "\"coldRemainingMs\":0,\"seq\":%llu,\"born\":%llu}",
	    target->service, target->port, target->place, target->slots,
	    target->leaving ? "draining" : "ready",
	    (unsigned long long)++target->sequence,
	    (unsigned long long)target->born);
	put_row("servers", target->id, text);
}

static void *
beat(void *ctx)
{
	static int count;
	target_t *target = ctx;
	int number = __atomic_fetch_add(&count, 1, __ATOMIC_RELAXED);

	/* Targets don't beat in step. */
	pause_for(HEARTBEAT_S * (number * 5 % 12) / 12);
	while (target != NULL) {
		pause_for(HEARTBEAT_S);
		pthread_mutex_lock(&target->lock);
		if (target->fd >= 0)
			write_heartbeat(target);
		pthread_mutex_unlock(&target->lock);
	}
	return NULL;
}

static void *accept_target(void *ctx);

static void
start_target(target_t *target)
{
	int i;

	pthread_mutex_lock(&target->lock);
	target->fd = listen_at(&target->port);
	if (target->fd < 0)
		cannot_run("no port for a target");
	target->born = get_unix_ms();
	target->sequence = 0;
	target->running = 0;
	for (i = 0; i < CONNECTIONS_MAX; i++)
		target->connections[i] = -1;
	write_heartbeat(target);
	pthread_mutex_unlock(&target->lock);
	start_thread(accept_target, target);
}

static void
open_target(target_t *target)
{
	pthread_mutex_init(&target->lock, NULL);
	start_target(target);
	start_thread(beat, target);
}

/* The process of the target ends: connections are reset, the port refuses. */
static void
stop_target(target_t *target)
{
	struct linger reset = {.l_onoff = 1};
	int i;

	pthread_mutex_lock(&target->lock);
	shutdown(target->fd, SHUT_RDWR);
	close(target->fd);
	target->fd = -1;
	for (i = 0; i < CONNECTIONS_MAX; i++) {
		if (target->connections[i] < 0)
			continue;
		setsockopt(target->connections[i], SOL_SOCKET, SO_LINGER,
		    &reset, sizeof(reset));
		shutdown(target->connections[i], SHUT_RDWR);
	}
	pthread_mutex_unlock(&target->lock);
}

/* The target reports that it is leaving; the store accepts that at once. */
static inline void
begin_leaving(target_t *target)
{
	pthread_mutex_lock(&target->lock);
	target->leaving = true;
	write_heartbeat(target);
	pthread_mutex_unlock(&target->lock);
	note("target %s reports that it is draining", target->id);
}

static void *
restart_later(void *ctx)
{
	target_t *target = ctx;

	pause_for(target->down_s);
	start_target(target);
	note("target %s is back", target->id);
	return NULL;
}

static inline void
crash_target(target_t *target)
{
	stop_target(target);
	start_thread(restart_later, target);
}

/* Answers one request; returns false if the connection ends. */
static bool
serve_request(target_connection_t *connection, const message_t *message)
{
	target_t *target = connection->target;
	char id[64];
	char instance[64];
	char path[256];
	char body[128];
	char answer[1024];
	bool refused;

	if (sscanf(message->head, "%*s %255s", path) != 1)
		return false;
	if (strcmp(path, "/health") == 0) {
		snprintf(answer, sizeof(answer),
		    "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\n"
		    "Server-Load: %d,0,%d\r\nContent-Length: 0\r\n\r\n",
		    target->id, target->running, target->slots);
		return send_all(connection->fd, answer, strlen(answer));
	}
	find_field(message, "Request-Id", id, sizeof(id));
	if (find_field(
		message, "Target-Instance", instance, sizeof(instance)) &&
	    strcmp(instance, target->id) != 0) {
		snprintf(answer, sizeof(answer),
		    "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\n"
		    "Instance-Id: %s\r\nContent-Length: 0\r\n\r\n",
		    id, target->id);
		return send_all(connection->fd, answer, strlen(answer));
	}
	pthread_mutex_lock(&target->lock);
	refused = target->running >= target->slots;
	if (!refused)
		target->running++;
	pthread_mutex_unlock(&target->lock);
	if (refused) {
		snprintf(answer, sizeof(answer),
		    "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: %s\r\n"
		    "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
		    id);
		return send_all(connection->fd, answer, strlen(answer));
	}
	target->on_run(target, id, path);
	pause_for(target->work_s);
	pthread_mutex_lock(&target->lock);
	if (target->running > 0)
		target->running--;
	pthread_mutex_unlock(&target->lock);
	snprintf(body, sizeof(body), "%s by %s", id, target->id);
	snprintf(answer, sizeof(answer),
	    "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: s.%s\r\n"
	    "Server-Load: %d,0,%d\r\n%sContent-Length: %zu\r\n\r\n%s",
	    id, id, target->running + 1, target->slots,
	    target->leaving ? LEAVING_FIELDS : "", strlen(body), body);
	return send_all(connection->fd, answer, strlen(answer)) &&
	    strstr(answer, LEAVING_FIELDS) == NULL;
}

static void *
serve_target(void *ctx)
{
	target_connection_t *connection = ctx;
	target_t *target = connection->target;
	stream_t *stream = calloc(1, sizeof(*stream));
	message_t *message = calloc(1, sizeof(*message));
	bool open = true;

	stream->fd = connection->fd;
	while (open && read_message(stream, message)) {
		open = serve_request(connection, message);
		free(message->body);
	}
	pthread_mutex_lock(&target->lock);
	if (target->connections[connection->slot] == connection->fd)
		target->connections[connection->slot] = -1;
	close(connection->fd);
	pthread_mutex_unlock(&target->lock);
	free(connection);
	free(stream);
	free(message);
	return NULL;
}

static void *
accept_target(void *ctx)
{
	target_t *target = ctx;
	int listener = target->fd;
	int on = 1;

	for (;;) {
		target_connection_t *connection;
		int fd = accept(listener, NULL, NULL);
		int slot;

		if (fd < 0)
			return NULL;
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		pthread_mutex_lock(&target->lock);
		for (slot = 0; slot < CONNECTIONS_MAX; slot++) {
			if (target->connections[slot] < 0)
				break;
		}
		if (target->fd != listener || slot == CONNECTIONS_MAX) {
			close(fd);
			pthread_mutex_unlock(&target->lock);
			continue;
		}
		target->connections[slot] = fd;
		pthread_mutex_unlock(&target->lock);
		connection = calloc(1, sizeof(*connection));
		connection->target = target;
		connection->fd = fd;
		connection->slot = slot;
		start_thread(serve_target, connection);
	}
}

/* VMs */

#define PLACES_MAX 6

typedef struct place {
	const char *name;
	const char *region;
} place_t;

typedef struct vm {
	char name[32];
	place_t place;
	int front;
	int ready;
	int directory;
	int peer;
	int metrics;
	pid_t pid; /* 0: it does not run */
	int process; /* index in `processes` */
	double started;
	char settings[512];
	char log[512];
} vm_t;

/* The settings of a small deployment, as its template fills them in. */
static void
write_settings(vm_t *vm, const char *folder, const door_t *door,
    const place_t *places, int place_count)
{
	char name[sizeof(vm->name)];
	FILE *out;
	int i;

	strcpy(name, vm->name);
	vm->front = free_port();
	vm->ready = free_port();
	vm->directory = free_port();
	vm->peer = free_port();
	vm->metrics = free_port();
	snprintf(
	    vm->settings, sizeof(vm->settings), "%.400s/%s.json", folder, name);
	snprintf(vm->log, sizeof(vm->log), "%.400s/%s.log", folder, name);
	out = fopen(vm->settings, "w");
	if (out == NULL)
		cannot_run("no settings file");
	fprintf(out,
	    "{\"vm\":\"%s\",\"region\":\"%s\",\"place\":\"%s\","
	    "\"peer_port\":%d,\"gossip_period_ms\":500,\"suspicion_ms\":2000,"
	    "\"edge\":{\"callers\":\"127.0.0.1:%d\","
	    "\"readiness\":\"127.0.0.1:%d\",\"directory\":\"127.0.0.1:%d\","
	    "\"store\":\"127.0.0.1:%d\",\"metrics_port\":%d,"
	    "\"link_mbps\":700.0,\"places\":[",
	    vm->name, vm->place.region, vm->place.name, vm->peer, vm->front,
	    vm->ready, vm->directory, door->port, vm->metrics);
	for (i = 0; i < place_count; i++)
		fprintf(out, "%s{\"place\":\"%s\",\"region\":\"%s\"}",
		    i == 0 ? "" : ",", places[i].name, places[i].region);
	fprintf(out,
	    "],\"cold_over\":1.5,\"cold_slack\":5,\"retry_ratio\":0.2,"
	    "\"rate_slack\":20,\"retry_slack\":120,\"retry_window_ms\":10000,"
	    "\"heartbeat_ms\":1500,\"drain_ms\":2500,\"stop_grace_ms\":6000},"
	    "\"limits\":{\"memory_mb\":182,\"max_connections\":1200},"
	    "\"log\":{\"file\":\"-\"}}\n");
	fclose(out);
}

static void
start_vm(vm_t *vm)
{
	pid_t pid = fork();

	if (pid < 0 || process_count == PROCESSES_MAX)
		cannot_run("no process");
	if (pid == 0) {
		FILE *log = fopen(vm->log, "a");

		prctl(PR_SET_PDEATHSIG, SIGKILL);
		dup2(fileno(log), STDOUT_FILENO);
		dup2(fileno(log), STDERR_FILENO);
		execl("target/bin/spindled", "target/bin/spindled",
		    vm->settings, (char *)NULL);
		_exit(127);
	}
	vm->pid = pid;
	vm->process = process_count;
	processes[process_count++] = pid;
	vm->started = now();
	note("%s is started", vm->name);
}

/* Ends the VM with a signal and waits; kills it after the grace period. */
static inline void
stop_vm(vm_t *vm, double grace_s)
{
	double end = now() + grace_s;
	int status = 0;

	note("%s gets SIGTERM", vm->name);
	kill(vm->pid, SIGTERM);
	while (waitpid(vm->pid, &status, WNOHANG) == 0) {
		if (now() >= end) {
			kill(vm->pid, SIGKILL);
			waitpid(vm->pid, &status, 0);
			note("%s is killed after the grace period", vm->name);
			break;
		}
		pause_for(0.01);
	}
	processes[vm->process] = 0;
	vm->pid = 0;
	note("%s has ended, status %d", vm->name, status);
}

/* The process of the VM ends at once. */
static inline void
kill_vm(vm_t *vm)
{
	kill(vm->pid, SIGKILL);
	waitpid(vm->pid, NULL, 0);
	processes[vm->process] = 0;
	vm->pid = 0;
	note("%s is killed", vm->name);
}

/* Clients */

/* Further header fields of the calling thread's requests, each with CRLF. */
static __thread const char *client_fields = "";

typedef struct answer {
	int status; /* 0: none */
	bool leaving; /* it bears Server-Leaving */
	char body[256];
} answer_t;

static answer_t
send_request(const vm_t *vm, const char *method, const char *path,
    const char *id, int deadline_ms, const char *body)
{
	struct timeval limit = {.tv_sec = deadline_ms / 1000 + 1};
	stream_t *stream = calloc(1, sizeof(*stream));
	message_t *message = calloc(1, sizeof(*message));
	answer_t answer = {0};
	char head[1024];

	snprintf(head, sizeof(head),
	    "%s %s HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: %s\r\n"
	    "Deadline-Ms: %d\r\n%sContent-Length: %zu\r\n\r\n%s",
	    method, path, id, deadline_ms, client_fields, strlen(body), body);
	stream->fd = connect_to(vm->front);
	if (stream->fd >= 0) {
		setsockopt(
		    stream->fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
		if (send_all(stream->fd, head, strlen(head)) &&
		    read_message(stream, message)) {
			char text[8];

			sscanf(message->head, "HTTP/1.1 %d", &answer.status);
			answer.leaving = find_field(
			    message, "Server-Leaving", text, sizeof(text));
			snprintf(answer.body, sizeof(answer.body), "%s",
			    message->body);
			free(message->body);
		}
		close(stream->fd);
	}
	free(stream);
	free(message);
	return answer;
}

static bool
is_ready(const vm_t *vm)
{
	stream_t *stream = calloc(1, sizeof(*stream));
	message_t *message = calloc(1, sizeof(*message));
	static const char text[] =
	    "GET /api/readiness HTTP/1.1\r\nHost: a\r\n\r\n";
	bool ready = false;

	stream->fd = connect_to(vm->ready);
	if (stream->fd >= 0) {
		if (send_all(stream->fd, text, sizeof(text) - 1) &&
		    read_message(stream, message)) {
			ready = strncmp(message->head, "HTTP/1.1 200", 12) == 0;
			free(message->body);
		}
		close(stream->fd);
	}
	free(stream);
	free(message);
	return ready;
}

static void
wait_until_ready(const vm_t *vm)
{
	double end = now() + 10;

	while (!is_ready(vm)) {
		if (now() >= end)
			cannot_run("a VM is not ready");
		pause_for(0.05);
	}
	note("%s is ready", vm->name);
}

/* A new id of a client attempt. */
static void
make_id(char *out, size_t size)
{
	static unsigned int last;

	snprintf(out, size, "%08x%08x", (unsigned int)getpid(),
	    __atomic_add_fetch(&last, 1, __ATOMIC_RELAXED));
}

#endif
