#include "edge_callers.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <unistd.h>

#include <sys/socket.h>

#include <cmocka.h>

#define PIECE_MAX 48 /* bytes */
#define PIECE_DELAY_MAX (3 * MSP_MS)
#define ACT_DELAY_MAX (60 * MSP_MS)
#define FINISH_TIME_MAX (15 * MSP_SECOND)
#define REPEATABLE_PERCENT 25
#define CLOSE_PERCENT 10 /* of the connections after a response */

static uint64_t
pick_below(edge_callers_t *callers, uint64_t bound)
{
	return bound == 0 ? 0 : msp_next_random(&callers->rng) % bound;
}

static msp_time_t
get_now(const edge_callers_t *callers)
{
	return msp_now(&callers->targets->fixture->env);
}

static void
connect_caller(edge_callers_t *callers, edge_caller_t *caller)
{
	struct sockaddr_in sa = {
	    .sin_family = AF_INET,
	    .sin_port = htons(callers->targets->fixture->caller_port),
	    .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};

	caller->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	assert_true(caller->fd >= 0);
	if (connect(caller->fd, (struct sockaddr *)&sa, sizeof(sa)) != 0 &&
	    errno != EINPROGRESS) {
		close(caller->fd);
		caller->fd = -1;
		return;
	}
	caller->served = 0;
	callers->connection_count++;
}

static void
disconnect_caller(edge_callers_t *callers, edge_caller_t *caller, bool reset)
{
	struct linger linger = {.l_onoff = 1, .l_linger = 0};

	if (reset)
		setsockopt(
		    caller->fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
	close(caller->fd);
	caller->fd = -1;
	callers->cut_count += caller->id_count;
	caller->id_count = 0;
	caller->sent = 0;
	caller->next_request =
	    get_now(callers) + pick_below(callers, callers->pause_max + 1);
	msp_clear_buffer(&caller->output);
	msp_clear_buffer(&caller->input);
}

/* Appends the body in chunks of a few bytes, and trailers. */
static void
append_chunks(edge_callers_t *callers, msp_buffer_t *out, const char *body)
{
	size_t at = 0;
	size_t len;

	while (at < BUSY_TARGET_BODY_LEN) {
		len = 1 + pick_below(callers, 20);
		len = len < BUSY_TARGET_BODY_LEN - at
		    ? len
		    : BUSY_TARGET_BODY_LEN - at;
		msp_append_printf(
		    out, "%zx\r\n%.*s\r\n", len, (int)len, body + at);
		at += len;
	}
	msp_append_printf(out, "0\r\nX-Trailer: 1\r\n\r\n");
}

/* Appends one more request to the caller's output. */
static void
append_request(edge_callers_t *callers, edge_caller_t *caller)
{
	bool is_repeatable = pick_below(callers, 100) < REPEATABLE_PERCENT;
	bool chunked = caller->manner == CALLER_SENDS_CHUNKS;
	unsigned int number = ++callers->request_count;
	char *id = caller->ids[caller->id_count++];
	msp_buffer_t *out = &caller->output;
	char body[BUSY_TARGET_BODY_LEN + 1];
	uint32_t deadline_ms = callers->deadline_min_ms +
	    (uint32_t)pick_below(callers,
		callers->deadline_max_ms - callers->deadline_min_ms + 1);

	snprintf(id, sizeof(caller->ids[0]), "c-%u", number);
	snprintf(body, sizeof(body), "%0*u", BUSY_TARGET_BODY_LEN, number);
	record_request(callers->targets->ledger, id, is_repeatable);
	msp_append_printf(out,
	    "POST /%s/%u HTTP/1.1\r\nHost: a.example\r\nRequest-Id: %s\r\n"
	    "Deadline-Ms: %u\r\n%s",
	    is_repeatable ? "read" : "write", number, id, deadline_ms,
	    caller->manner == CALLER_EXPECTS_CONTINUE
		? "Expect: 100-continue\r\n"
		: "");
	if (chunked)
		msp_append_printf(out, "Transfer-Encoding: chunked\r\n\r\n");
	else
		msp_append_printf(
		    out, "Content-Length: %d\r\n\r\n", BUSY_TARGET_BODY_LEN);
	caller->stall_at = 0;
	if (caller->manner == CALLER_STALLS_IN_HEAD)
		caller->stall_at = 1 + pick_below(callers, out->len - 1);
	if (caller->manner == CALLER_STALLS_IN_BODY)
		caller->stall_at =
		    out->len + pick_below(callers, BUSY_TARGET_BODY_LEN);
	if (chunked)
		append_chunks(callers, out, body);
	else
		msp_append_data(out, body, BUSY_TARGET_BODY_LEN);
	caller->give_up = get_now(callers) +
	    (deadline_ms + callers->patience_ms) * MSP_MS +
	    (caller->stall_at > 0 ? 2 * callers->stall : 0);
}

static void
begin_requests(edge_callers_t *callers, edge_caller_t *caller)
{
	unsigned int more = 0;

	if (caller->fd < 0)
		connect_caller(callers, caller);
	if (caller->fd < 0)
		return;
	do
		caller->manner =
		    (caller_manner_t)pick_below(callers, CALLER_MANNER_COUNT);
	while ((callers->manners & (1U << caller->manner)) == 0);
	caller->sent = 0;
	caller->next_send = 0;
	caller->next_act = 0;
	msp_clear_buffer(&caller->output);
	append_request(callers, caller);
	if (caller->manner == CALLER_PIPELINES)
		more = 1 + (unsigned int)pick_below(callers, 2);
	while (more-- > 0)
		append_request(callers, caller);
	if (caller->manner == CALLER_HALF_CLOSES ||
	    caller->manner == CALLER_RESETS ||
	    caller->manner == CALLER_SENDS_EARLY)
		caller->next_act =
		    get_now(callers) + 1 + pick_below(callers, ACT_DELAY_MAX);
}

/* Returns the number of bytes to send now and the pause after them. */
static size_t
choose_piece(edge_callers_t *callers, edge_caller_t *caller, msp_time_t *pause)
{
	size_t left = caller->output.len - caller->sent;
	size_t len = left;

	*pause = 0;
	if (caller->sent < caller->stall_at) {
		*pause = callers->stall * (90 + pick_below(callers, 21)) / 100;
		return caller->stall_at - caller->sent;
	}
	if (caller->manner == CALLER_SENDS_PIECES ||
	    caller->manner == CALLER_SENDS_CHUNKS) {
		*pause = pick_below(callers, PIECE_DELAY_MAX);
		len = 1 + pick_below(callers, PIECE_MAX);
	}
	return len < left ? len : left;
}

static void
write_caller(edge_callers_t *callers, edge_caller_t *caller)
{
	msp_time_t now = get_now(callers);
	msp_time_t pause;
	size_t len;
	ssize_t sent;

	if (caller->sent == caller->output.len || now < caller->next_send)
		return;
	len = choose_piece(callers, caller, &pause);
	sent = send(caller->fd, caller->output.data + caller->sent, len,
	    MSG_DONTWAIT | MSG_NOSIGNAL);
	if (sent < 0)
		return; /* Not connected yet, or closed: see the read. */
	caller->sent += (size_t)sent;
	caller->next_send = now + pause;
}

/* Returns the value of a field of the head that ends at `end`, or NULL. */
static const char *
find_field(const char *text, const char *end, const char *name)
{
	size_t len = strlen(name);
	const char *line;

	for (line = text;
	     (line = strstr(line, "\r\n")) != NULL && line < end;) {
		line += 2;
		if (strncasecmp(line, name, len) == 0 && line[len] == ':')
			return line + len + 1 + strspn(line + len + 1, " ");
	}
	return NULL;
}

/*
 * Takes one complete response from the input. Returns its status, or 0 if there
 * is none.
 */
static int
take_response(msp_buffer_t *input, bool *close_after, char *id, size_t id_size)
{
	const char *text = msp_buffer_text(input);
	const char *end = strstr(text, "\r\n\r\n");
	const char *field;
	size_t total;
	int http_status;

	if (end == NULL)
		return 0;
	assert_int_equal(sscanf(text, "HTTP/1.%*d %d", &http_status), 1);
	total = (size_t)(end - text) + 4;
	field = find_field(text, end, "content-length");
	if (field != NULL)
		total += strtoul(field, NULL, 10);
	if (input->len < total)
		return 0;
	field = find_field(text, end, "request-id");
	id[0] = '\0';
	if (field != NULL)
		snprintf(
		    id, id_size, "%.*s", (int)strcspn(field, "\r\n"), field);
	field = find_field(text, end, "connection");
	*close_after = field != NULL && strncasecmp(field, "close", 5) == 0;
	memmove(input->data, input->data + total, input->len - total);
	input->len -= total;
	input->data[input->len] = '\0';
	return http_status;
}

static void
take_responses(edge_callers_t *callers, edge_caller_t *caller)
{
	bool close_after = false;
	char id[64];
	int http_status;

	while (!close_after &&
	    (http_status = take_response(
		 &caller->input, &close_after, id, sizeof(id))) != 0) {
		if (http_status < 200)
			continue;
		callers->statuses[http_status < 600 ? http_status : 0]++;
		assert_true(caller->id_count > 0);
		if (id[0] != '\0')
			assert_string_equal(id, caller->ids[0]);
		record_answer(
		    callers->targets->ledger, caller->ids[0], http_status);
		caller->id_count--;
		caller->served++;
		memmove(caller->ids[0], caller->ids[1],
		    caller->id_count * sizeof(caller->ids[0]));
	}
	if (!close_after && caller->id_count > 0)
		return;
	if (close_after || caller->manner == CALLER_HALF_CLOSES ||
	    caller->sent < caller->output.len ||
	    pick_below(callers, 100) < CLOSE_PERCENT)
		disconnect_caller(callers, caller, false);
	caller->next_request =
	    get_now(callers) + pick_below(callers, callers->pause_max + 1);
}

static void
read_caller(edge_callers_t *callers, edge_caller_t *caller)
{
	char data[16384];
	ssize_t len = recv(caller->fd, data, sizeof(data), MSG_DONTWAIT);

	if (len < 0 && (errno == EAGAIN || errno == ENOTCONN))
		return;
	if (len <= 0) {
		disconnect_caller(callers, caller, false);
		return;
	}
	msp_append_data(&caller->input, data, (size_t)len);
	take_responses(callers, caller);
}

static void
act(edge_callers_t *callers, edge_caller_t *caller)
{
	caller->next_act = 0;
	if (caller->sent < caller->output.len)
		return;
	if (caller->manner == CALLER_HALF_CLOSES)
		shutdown(caller->fd, SHUT_WR);
	else if (caller->manner == CALLER_RESETS)
		disconnect_caller(callers, caller, true);
	else if (caller->id_count < CALLER_IDS_MAX)
		append_request(callers, caller);
}

static void
step_caller(edge_callers_t *callers, edge_caller_t *caller)
{
	msp_time_t now = get_now(callers);

	if (caller->id_count == 0 && !callers->stopping &&
	    now >= caller->next_request)
		begin_requests(callers, caller);
	if (caller->fd >= 0)
		write_caller(callers, caller);
	if (caller->fd >= 0)
		read_caller(callers, caller);
	if (caller->fd >= 0 && caller->id_count > 0 && caller->next_act != 0 &&
	    now >= caller->next_act)
		act(callers, caller);
	if (caller->fd >= 0 && caller->id_count > 0 && now >= caller->give_up)
		disconnect_caller(callers, caller, false);
}

void
open_edge_callers(edge_callers_t *callers)
{
	unsigned int i;

	callers->callers = calloc(callers->count, sizeof(edge_caller_t));
	assert_non_null(callers->callers);
	for (i = 0; i < callers->count; i++)
		callers->callers[i].fd = -1;
}

void
close_edge_callers(edge_callers_t *callers)
{
	unsigned int i;

	for (i = 0; i < callers->count; i++) {
		edge_caller_t *caller = &callers->callers[i];

		if (caller->fd >= 0)
			disconnect_caller(callers, caller, false);
		msp_drop_buffer(&caller->output);
		msp_drop_buffer(&caller->input);
	}
	free(callers->callers);
}

void
step_edge_callers(edge_callers_t *callers)
{
	unsigned int i;

	step_edge_fixture(callers->targets->fixture);
	step_busy_targets(callers->targets);
	for (i = 0; i < callers->count; i++)
		step_caller(callers, &callers->callers[i]);
}

void
run_edge_callers(edge_callers_t *callers, msp_time_t duration)
{
	msp_time_t end = get_now(callers) + duration;

	while (get_now(callers) < end)
		step_edge_callers(callers);
}

static bool
has_requests(const edge_callers_t *callers)
{
	unsigned int i;

	for (i = 0; i < callers->count; i++) {
		if (callers->callers[i].id_count > 0)
			return true;
	}
	return have_busy_targets_jobs(callers->targets);
}

void
finish_edge_callers(edge_callers_t *callers)
{
	msp_time_t end = get_now(callers) + FINISH_TIME_MAX;

	callers->stopping = true;
	while (has_requests(callers) && get_now(callers) < end)
		step_edge_callers(callers);
	assert_false(has_requests(callers));
	/* For requests that would still be sent to a target. */
	run_edge_callers(callers, 500 * MSP_MS);
}

void
print_edge_callers(const edge_callers_t *callers, const char *name)
{
	unsigned int i;

	print_message("%s: %u requests on %u connections, %u cut, answers",
	    name, callers->request_count, callers->connection_count,
	    callers->cut_count);
	for (i = 0; i < 600; i++) {
		if (callers->statuses[i] > 0)
			print_message(" %u: %u", i, callers->statuses[i]);
	}
	print_message("\n");
}
