#include "world.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define PROGRAM "target/bin/spindled"
#define CLIENT_ADDRESS "127.0.0.1"
#define PORT_END 32768
#define READY_MAX_S 20

static FILE *record_file;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static double start_s;
static uint16_t next_port;
static char folder[] = "/tmp/review-3-XXXXXX";
static bool has_folder;
static machine_t machines[WORLD_MACHINES];
static int machine_count;
static pthread_mutex_t process_lock = PTHREAD_MUTEX_INITIALIZER;
static pid_t program_pid;
static sigset_t stop_signals;

static double
read_clock(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (double)now.tv_sec + (double)now.tv_nsec / 1e9;
}

double
now_s(void)
{
	return read_clock() - start_s;
}

void
sleep_until(double at_s)
{
	double left = at_s - now_s();

	if (left > 0)
		usleep((useconds_t)(left * 1e6));
}

/* Ends the processes if the program is told to stop. */
static void *
wait_for_stop(void *ctx)
{
	int number;

	(void)ctx;
	sigwait(&stop_signals, &number);
	give_up("stopped by signal %d", number);
}

/* All threads leave these signals to one. */
static void
watch_signals(void)
{
	pthread_t thread;

	signal(SIGPIPE, SIG_IGN);
	sigemptyset(&stop_signals);
	sigaddset(&stop_signals, SIGTERM);
	sigaddset(&stop_signals, SIGINT);
	sigaddset(&stop_signals, SIGHUP);
	pthread_sigmask(SIG_BLOCK, &stop_signals, NULL);
	program_pid = getpid();
	if (pthread_create(&thread, NULL, wait_for_stop, NULL) != 0)
		exit(2);
}

void
open_record(const char *path)
{
	start_s = read_clock();
	watch_signals();
	srandom((unsigned int)time(NULL) ^ (unsigned int)getpid());
	record_file = fopen(path, "w");
	if (record_file == NULL) {
		perror(path);
		exit(2);
	}
}

void
record(const char *format, ...)
{
	va_list args;

	pthread_mutex_lock(&record_lock);
	fprintf(record_file, "%6.0f ms  ", now_s() * 1000);
	va_start(args, format);
	vfprintf(record_file, format, args);
	va_end(args);
	fputc('\n', record_file);
	fflush(record_file);
	pthread_mutex_unlock(&record_lock);
}

void
give_up(const char *format, ...)
{
	va_list args;

	va_start(args, format);
	vfprintf(stderr, format, args);
	va_end(args);
	fputc('\n', stderr);
	close_world();
	_exit(2);
}

bool
has_trouble(void)
{
	const char *trouble = getenv("TROUBLE");

	return trouble == NULL || strcmp(trouble, "0") != 0;
}

/* Ports */

void
set_port_range(uint16_t first)
{
	next_port = (uint16_t)(first + getpid() % 700);
}

static int
bind_port(const char *address, uint16_t port, int type)
{
	struct sockaddr_in name = {
	    .sin_family = AF_INET, .sin_port = htons(port)};
	int one = 1;
	int fd = socket(AF_INET, type, 0);

	inet_pton(AF_INET, address, &name.sin_addr);
	if (type == SOCK_STREAM)
		setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&name, sizeof(name)) == 0)
		return fd;
	close(fd);
	return -1;
}

static bool
is_free(const char *address, uint16_t port)
{
	int stream = bind_port(address, port, SOCK_STREAM);
	int datagram = bind_port(address, port, SOCK_DGRAM);

	if (stream >= 0)
		close(stream);
	if (datagram >= 0)
		close(datagram);
	return stream >= 0 && datagram >= 0;
}

/* Of its own, also beside another run. */
static void
print_address(int number, char *out, size_t size)
{
	snprintf(out, size, "127.0.%d.%d", 1 + getpid() % 250, number);
}

/* A port that is free at the addresses of the case, for TCP and UDP. */
uint16_t
pick_port(void)
{
	char address[32];
	bool free;
	int i;

	for (; next_port < PORT_END; next_port++) {
		free = is_free(CLIENT_ADDRESS, next_port);
		for (i = 1; i <= WORLD_MACHINES && free; i++) {
			print_address(i, address, sizeof(address));
			free = is_free(address, next_port);
		}
		if (free)
			return next_port++;
	}
	give_up("no free port");
}

/* Messages */

bool
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

static int
read_byte(stream_t *stream)
{
	ssize_t len;

	if (stream->at == stream->len) {
		len = recv(stream->fd, stream->data, sizeof(stream->data), 0);
		if (len <= 0)
			return -1;
		stream->at = 0;
		stream->len = (size_t)len;
	}
	return (unsigned char)stream->data[stream->at++];
}

/* Reads a line without its end; false at the end of the connection. */
static bool
read_line(stream_t *stream, char *line, size_t size)
{
	size_t len = 0;
	int byte;

	while ((byte = read_byte(stream)) != '\n') {
		if (byte < 0)
			return false;
		if (byte != '\r' && len + 1 < size)
			line[len++] = (char)byte;
	}
	line[len] = '\0';
	return true;
}

const char *
find_field(const message_t *message, const char *name)
{
	size_t i;

	for (i = 0; i < message->field_count; i++) {
		if (strcasecmp(message->fields[i][0], name) == 0)
			return message->fields[i][1];
	}
	return NULL;
}

static void
add_field(message_t *message, char *line)
{
	char *value = strchr(line, ':');
	size_t at = message->field_count;

	if (value == NULL || at == WORLD_FIELDS)
		return;
	*value++ = '\0';
	value += strspn(value, " \t");
	snprintf(message->fields[at][0], WORLD_TEXT, "%.*s", WORLD_TEXT - 1,
	    line);
	snprintf(message->fields[at][1], WORLD_TEXT, "%.*s", WORLD_TEXT - 1,
	    value);
	message->field_count++;
}

bool
read_message(stream_t *stream, message_t *message)
{
	char line[WORLD_PATH];
	const char *length;
	size_t i;
	int byte;

	message->field_count = 0;
	message->body = NULL;
	message->body_len = 0;
	if (!read_line(stream, message->start, sizeof(message->start)))
		return false;
	for (;;) {
		if (!read_line(stream, line, sizeof(line)))
			return false;
		if (line[0] == '\0')
			break;
		add_field(message, line);
	}
	message->chunked = find_field(message, "Transfer-Encoding") != NULL;
	length = find_field(message, "Content-Length");
	message->body_len = length == NULL ? 0 : strtoul(length, NULL, 10);
	message->body = calloc(1, message->body_len + 1);
	for (i = 0; i < message->body_len; i++) {
		byte = read_byte(stream);
		if (byte < 0) {
			free(message->body);
			message->body = NULL;
			return false;
		}
		message->body[i] = (char)byte;
	}
	return true;
}

/* Listeners */

typedef struct listener {
	int fd;
	serve_t *serve;
	void *ctx;
} listener_t;

typedef struct connection {
	listener_t *listener;
	int fd;
} connection_t;

static void *
run_connection(void *ctx)
{
	connection_t connection = *(connection_t *)ctx;

	free(ctx);
	connection.listener->serve(connection.listener->ctx, connection.fd);
	close(connection.fd);
	return NULL;
}

static void
start_thread(void *(*run)(void *), void *ctx)
{
	pthread_attr_t attributes;
	pthread_t thread;

	pthread_attr_init(&attributes);
	pthread_attr_setstacksize(&attributes, 256 * 1024);
	pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
	if (pthread_create(&thread, &attributes, run, ctx) != 0)
		give_up("no thread");
	pthread_attr_destroy(&attributes);
}

static void *
run_listener(void *ctx)
{
	listener_t *listener = ctx;
	connection_t *connection;
	int one = 1;
	int fd;

	while ((fd = accept(listener->fd, NULL, NULL)) >= 0) {
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		connection = malloc(sizeof(*connection));
		*connection = (connection_t){.listener = listener, .fd = fd};
		start_thread(run_connection, connection);
	}
	return NULL;
}

void
open_listener(uint16_t port, serve_t *serve, void *ctx)
{
	listener_t *listener = calloc(1, sizeof(*listener));

	listener->serve = serve;
	listener->ctx = ctx;
	listener->fd = bind_port(CLIENT_ADDRESS, port, SOCK_STREAM);
	if (listener->fd < 0 || listen(listener->fd, 512) != 0)
		give_up("no listener at port %u", port);
	start_thread(run_listener, listener);
}

/* Processes of the daemon */

static void
write_settings(const machine_t *machine, const char *region,
    const char *places, uint16_t directory, uint16_t peer)
{
	FILE *file = fopen(machine->settings, "w");

	if (file == NULL)
		give_up("%s: %s", machine->settings, strerror(errno));
	/* What deploy/settings.json.template makes of a small deployment. */
	fprintf(file,
	    "{ \"vm\": \"edge-%s-%d\", \"region\": \"%s\", \"place\": \"%s\",\n"
	    "\"peer_port\": %u, \"gossip_period_ms\": 500, "
	    "\"suspicion_ms\": 2000,\n"
	    "\"edge\": { \"callers\": \"%s:%u\", \"readiness\": \"%s:%u\",\n"
	    "\"directory\": \"%s:%u\", \"store\": \"" CLIENT_ADDRESS ":%u\",\n"
	    "\"metrics_port\": %u, \"link_mbps\": 700.0,\n"
	    "\"places\": [%s],\n"
	    "\"cold_over\": 1.5, \"cold_slack\": 5, \"retry_ratio\": 0.2,\n"
	    "\"rate_slack\": 20,\n"
	    "\"retry_slack\": 120, \"retry_window_ms\": 10000,\n"
	    "\"heartbeat_ms\": 1500, \"drain_ms\": 2500, "
	    "\"stop_grace_ms\": 6000 },\n"
	    "\"limits\": { \"memory_mb\": 182, \"max_connections\": 1200 },\n"
	    "\"log\": { \"file\": \"-\" } }\n",
	    machine->zone, machine->number, region, machine->zone, peer,
	    machine->address, machine->front, machine->address, machine->ready,
	    machine->address, directory, store_port(), pick_port(), places);
	fclose(file);
}

/*
 * Only to be called by the first thread: the process ends with the thread that
 * has started it, however that ends.
 */
static pid_t
run_program(const machine_t *machine)
{
	sigset_t none;
	pid_t pid = fork();
	int log;

	if (pid != 0)
		return pid;
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	sigemptyset(&none);
	sigprocmask(SIG_SETMASK, &none, NULL);
	if (getppid() != program_pid)
		_exit(127);
	log = open(machine->log, O_WRONLY | O_CREAT | O_APPEND, 0600);
	dup2(log, STDOUT_FILENO);
	dup2(log, STDERR_FILENO);
	execl(PROGRAM, PROGRAM, machine->settings, (char *)NULL);
	_exit(127);
}

static void
start_process(machine_t *machine)
{
	pthread_mutex_lock(&process_lock);
	machine->pid = run_program(machine);
	pthread_mutex_unlock(&process_lock);
	if (machine->pid < 0)
		give_up("no process");
}

machine_t *
start_machine(const char *zone, const char *region, const char *places)
{
	machine_t *machine = &machines[machine_count];
	uint16_t directory;
	uint16_t peer;

	if (!has_folder && mkdtemp(folder) == NULL)
		give_up("no folder");
	has_folder = true;
	machine->number = ++machine_count;
	print_address(
	    machine->number, machine->address, sizeof(machine->address));
	snprintf(machine->zone, sizeof(machine->zone), "%s", zone);
	snprintf(machine->settings, sizeof(machine->settings), "%s/%d.json",
	    folder, machine->number);
	snprintf(machine->log, sizeof(machine->log), "%s/%d.log", folder,
	    machine->number);
	machine->front = pick_port();
	machine->ready = pick_port();
	directory = pick_port();
	peer = pick_port();
	write_settings(machine, region, places, directory, peer);
	start_process(machine);
	return machine;
}

static int
connect_to(const char *address, uint16_t port)
{
	struct sockaddr_in name = {
	    .sin_family = AF_INET, .sin_port = htons(port)};
	int one = 1;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	inet_pton(AF_INET, address, &name.sin_addr);
	if (connect(fd, (struct sockaddr *)&name, sizeof(name)) != 0) {
		close(fd);
		return -1;
	}
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	return fd;
}

static bool
is_ready(const machine_t *machine)
{
	static const char text[] = "GET /api/readiness HTTP/1.1\r\n"
				   "Host: ready\r\n\r\n";
	stream_t stream = {.fd = connect_to(machine->address, machine->ready)};
	message_t *message = calloc(1, sizeof(*message));
	bool ready = false;

	if (stream.fd >= 0 && send_all(stream.fd, text, sizeof(text) - 1) &&
	    read_message(&stream, message))
		ready = strstr(message->start, " 200") != NULL;
	if (stream.fd >= 0)
		close(stream.fd);
	free(message->body);
	free(message);
	return ready;
}

void
wait_until_ready(void)
{
	double end = now_s() + READY_MAX_S;
	int i = 0;

	while (i < machine_count) {
		if (is_ready(&machines[i])) {
			i++;
			continue;
		}
		if (now_s() > end)
			give_up("machine %d is not ready", i + 1);
		usleep(100000);
	}
}

void
stop_machine(machine_t *machine)
{
	kill(machine->pid, SIGTERM);
}

bool
start_machine_if_ended(machine_t *machine)
{
	if (waitpid(machine->pid, NULL, WNOHANG) != machine->pid)
		return false;
	start_process(machine);
	return true;
}

void
close_world(void)
{
	int i;

	/* Never given back: nothing is started any more. */
	pthread_mutex_lock(&process_lock);
	for (i = 0; i < machine_count; i++) {
		if (machines[i].pid <= 0)
			continue;
		kill(machines[i].pid, SIGKILL);
		waitpid(machines[i].pid, NULL, 0);
	}
	for (i = 0; i < machine_count && getenv("KEEP") == NULL; i++) {
		unlink(machines[i].settings);
		unlink(machines[i].log);
	}
	if (has_folder && getenv("KEEP") == NULL)
		rmdir(folder);
	else if (has_folder)
		fprintf(stderr, "logs: %s\n", folder);
}

/* Clients */

void
draw_request_id(char *id, size_t size)
{
	snprintf(id, size, "%08lx%08lx", random() & 0xffffffff,
	    random() & 0xffffffff);
}

void
open_client(client_t *client, const machine_t *machine)
{
	client->machine = machine;
	client->key = NULL;
	client->stream.fd = -1;
}

void
close_client(client_t *client)
{
	if (client->stream.fd >= 0)
		close(client->stream.fd);
	client->stream.fd = -1;
}

void
ask(client_t *client, const char *method, const char *path, int deadline_ms,
    answer_t *answer)
{
	message_t *message = calloc(1, sizeof(*message));
	const char *close_field;
	char text[WORLD_PATH * 2];
	struct timeval wait = {.tv_sec = deadline_ms / 1000 + 1};
	int len;

	if (answer->request_id[0] == '\0')
		draw_request_id(
		    answer->request_id, sizeof(answer->request_id));
	answer->status = 0;
	if (client->stream.fd < 0) {
		client->stream = (stream_t){
		    .fd = connect_to(
			client->machine->address, client->machine->front)};
		if (client->stream.fd >= 0)
			setsockopt(client->stream.fd, SOL_SOCKET, SO_RCVTIMEO,
			    &wait, sizeof(wait));
	}
	len = snprintf(text, sizeof(text),
	    "%s %s HTTP/1.1\r\nHost: review.example\r\nRequest-Id: %s\r\n"
	    "Deadline-Ms: %d\r\nReview-Machine: %d\r\n%s%s%s%s\r\n",
	    method, path, answer->request_id, deadline_ms,
	    client->machine->number,
	    client->key == NULL ? "" : "Authorization: Bearer ",
	    client->key == NULL ? "" : client->key,
	    client->key == NULL ? "" : "\r\n",
	    strcmp(method, "GET") == 0 ? "" : "Content-Length: 0\r\n");
	if (client->stream.fd < 0 ||
	    !send_all(client->stream.fd, text, (size_t)len) ||
	    !read_message(&client->stream, message)) {
		close_client(client);
	} else {
		sscanf(message->start, "HTTP/1.1 %d", &answer->status);
		close_field = find_field(message, "Connection");
		if (close_field != NULL &&
		    strcasecmp(close_field, "close") == 0)
			close_client(client);
	}
	free(message->body);
	free(message);
}
