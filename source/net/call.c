#include <ctype.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "client.h"
#include "fields.h"
#include "socket.h"

#define BODY_WRITE_MAX (64 * 1024) /* bytes written per turn of the loop */
/* Bytes of the head that libwebsockets writes besides the path. */
#define HEAD_OVERHEAD_MAX 512
#define STATUS_LINE_MAX 1024 /* bytes, with the reason and the final 0 */
/* Time after which the rate of a response tells how long the rest will take. */
#define RATE_KNOWN_AFTER (500 * MSP_MS)

static void
set_call_deadline(msp_call_t *call, msp_time_t due)
{
	msp_set_deadline(&call->deadline,
	    due < call->response_deadline ? due : call->response_deadline);
}

/* Restarts the timeout of the next pause within the response. */
static void
restart_stall_timeout(msp_call_t *call)
{
	set_call_deadline(call,
	    call->stall_timeout_ms == 0
		? call->response_deadline
		: msp_loop_now() + call->stall_timeout_ms * MSP_MS);
}

/*
 * Replaces the Host field by the request's own host. libwebsockets reuses a
 * connection only if the Host field that it writes itself is the address of the
 * server. *at is the end of the fields that it has written.
 */
static bool
replace_host(const msp_call_t *call, unsigned char **at, unsigned char *end)
{
	static const char name[] = "\r\nHost: ";
	const char *host = call->request.host;
	size_t old_len = strlen(call->origin->address);
	size_t new_len = strlen(host);
	size_t head_max = strlen(call->request.path) + HEAD_OVERHEAD_MAX;
	unsigned char *value = NULL;
	size_t back; /* distance of the Host field from *at */

	for (back = sizeof(name) - 1 + old_len; back < head_max; back++) {
		if (memcmp(*at - back, name, sizeof(name) - 1) == 0) {
			value = *at - back + sizeof(name) - 1;
			break;
		}
	}
	if (value == NULL ||
	    memcmp(value, call->origin->address, old_len) != 0 ||
	    new_len > old_len + (size_t)(end - *at))
		return false;
	memmove(
	    value + new_len, value + old_len, (size_t)(*at - value) - old_len);
	memcpy(value, host, new_len);
	*at = *at + new_len - old_len;
	return true;
}

int
msp_write_request_head(msp_call_t *call, unsigned char **at, size_t len)
{
	struct lws *wsi = call->connection->wsi;
	unsigned char *end = *at + len;
	msp_buffer_t *body = &call->request.body;
	bool bodiless = strcmp(call->request.method, "GET") == 0 ||
	    strcmp(call->request.method, "HEAD") == 0;

	/* libwebsockets may send the head at any time from here on. */
	call->maybe_sent = true;
	call->state = MSP_CALL_SENT;
	msp_identify_client_connection(call->connection);
	if (!call->connection->socket_options_set)
		msp_set_tcp_options(lws_get_socket_fd(wsi));
	call->connection->socket_options_set = true;
	set_call_deadline(call,
	    call->first_byte_timeout_ms == 0
		? call->response_deadline
		: msp_loop_now() + call->first_byte_timeout_ms * MSP_MS);
	if (call->request.host[0] != '\0' && !replace_host(call, at, end))
		return -1;
	if (!msp_write_fields(wsi, &call->request.headers, at, end))
		return -1;
	if (body->len == 0 && bodiless)
		return 0;
	if (lws_add_http_header_content_length(wsi, body->len, at, end) != 0)
		return -1;
	if (body->len > 0) {
		lws_client_http_body_pending(wsi, 1);
		lws_callback_on_writable(wsi);
	}
	return 0;
}

int
msp_write_request_body(msp_call_t *call)
{
	struct lws *wsi = call->connection->wsi;
	msp_buffer_t *body = &call->request.body;
	size_t len = body->len - call->body_sent;
	bool is_last;
	unsigned char buffer[LWS_PRE + BODY_WRITE_MAX];

	if (len == 0)
		return 0;
	if (len > BODY_WRITE_MAX)
		len = BODY_WRITE_MAX;
	memcpy(buffer + LWS_PRE, body->data + call->body_sent, len);
	call->body_sent += len;
	is_last = call->body_sent == body->len;
	if (is_last)
		lws_client_http_body_pending(wsi, 0);
	else
		lws_callback_on_writable(wsi);
	if (is_last) {
		/* It is not sent again, and the response may take long. */
		msp_drop_buffer(body);
		call->body_sent = 0;
	}
	return lws_write(wsi, buffer + LWS_PRE, len,
		   is_last ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP) < 0
	    ? -1
	    : 0;
}

/*
 * Reads the response's transfer encoding and length; false if the length is
 * invalid or given for a chunked response.
 */
static bool
read_framing(msp_call_t *call)
{
	struct lws *wsi = call->connection->wsi;

	call->chunked =
	    lws_hdr_total_length(wsi, WSI_TOKEN_HTTP_TRANSFER_ENCODING) > 0;
	return msp_parse_content_length(wsi, &call->content_length) &&
	    !(call->chunked && call->content_length >= 0);
}

/*
 * Whether the status line has a final status: three digits, from 200 to 599.
 * libwebsockets takes any number that the line begins with.
 */
static bool
has_final_status(struct lws *wsi)
{
	char text[STATUS_LINE_MAX];

	return lws_hdr_copy(wsi, text, sizeof(text), WSI_TOKEN_HTTP) > 0 &&
	    text[0] >= '2' && text[0] <= '5' &&
	    isdigit((unsigned char)text[1]) &&
	    isdigit((unsigned char)text[2]) &&
	    (text[3] == ' ' || text[3] == '\0');
}

int
msp_read_response_head(msp_call_t *call)
{
	struct lws *wsi = call->connection->wsi;
	msp_response_t *response = &call->response;

	call->state = MSP_CALL_RECEIVING;
	call->response_began = msp_loop_now();
	if (call->transfer_timeout_ms != 0)
		call->response_deadline =
		    call->response_began + call->transfer_timeout_ms * MSP_MS;
	restart_stall_timeout(call);
	response->status = (int)lws_http_client_http_response(wsi);
	call->bodiless = strcmp(call->request.method, "HEAD") == 0 ||
	    response->status == 204 || response->status == 304;
	/*
	 * After an interim response (1xx) libwebsockets would take the final
	 * one for its body.
	 */
	if (!has_final_status(wsi) ||
	    msp_copy_fields(wsi, &response->headers) != MSP_OK ||
	    !read_framing(call)) {
		msp_end_call(call, MSP_E_TRUNCATED_RESPONSE);
		return -1;
	}
	if (call->bodiless) {
		/* libwebsockets would wait for a body, so close instead. */
		msp_end_call(call, MSP_OK);
		return -1;
	}
	response->body.limit = call->client->options.max_response_body;
	response->body.budget = call->client->options.body_budget;
	if (call->content_length > (long long)response->body.limit) {
		msp_end_call(call, MSP_E_RESPONSE_TOO_LARGE);
		return -1;
	}
	return 0;
}

/* Whether the response will exceed its transfer time at its present rate. */
static bool
is_too_slow(const msp_call_t *call)
{
	msp_time_t elapsed = msp_loop_now() - call->response_began;
	double received = (double)call->response.body.len;

	if (call->transfer_timeout_ms == 0 || call->content_length <= 0 ||
	    elapsed < RATE_KNOWN_AFTER)
		return false;
	return (double)elapsed * (double)call->content_length >
	    received * call->transfer_timeout_ms * MSP_MS;
}

/*
 * The call whose response holds most memory and is still being received, other
 * than `call`, if it is larger than that; or NULL.
 */
static msp_call_t *
find_larger_response(msp_call_t *call)
{
	msp_map_t *origins = call->client->origins;
	msp_call_t *largest = call;
	size_t cursor = 0;
	void *value;

	while (msp_map_next(origins, &cursor, NULL, &value)) {
		const msp_origin_t *origin = value;
		msp_client_connection_t *connection;

		LIST_FOREACH(connection, &origin->connections, all_link) {
			msp_call_t *other = connection->call;

			if (other != NULL &&
			    other->state == MSP_CALL_RECEIVING &&
			    other->response.body.capacity >
				largest->response.body.capacity)
				largest = other;
		}
	}
	return largest == call ? NULL : largest;
}

/* Appends data, for which larger responses give way if memory is short. */
static msp_status_t
append_to_response(msp_call_t *call, const char *data, size_t len)
{
	msp_status_t status;
	msp_call_t *larger;

	for (;;) {
		status = msp_append_data(&call->response.body, data, len);
		if (status != MSP_E_NO_MEMORY)
			return status;
		larger = find_larger_response(call);
		if (larger == NULL)
			return MSP_E_TOO_LARGE;
		msp_give_way(larger);
	}
}

int
msp_read_response_body(msp_call_t *call, const char *data, size_t len)
{
	msp_status_t status;

	if (call->gives_way) {
		msp_end_call(call, MSP_E_RESPONSE_TOO_LARGE);
		return -1;
	}
	restart_stall_timeout(call);
	status = append_to_response(call, data, len);
	if (status == MSP_OK && is_too_slow(call))
		status = MSP_E_DEADLINE;
	if (status == MSP_OK)
		return 0;
	msp_end_call(call,
	    status == MSP_E_TOO_LARGE ? MSP_E_RESPONSE_TOO_LARGE : status);
	return -1;
}

/* Whether the response is known to be complete. */
static bool
is_complete(const msp_call_t *call)
{
	if (call->state != MSP_CALL_RECEIVING || call->gives_way)
		return false;
	/*
	 * libwebsockets also reports a chunked response as complete if the
	 * connection ends before the last chunk. It is really complete if that
	 * was reported by a read of its last bytes, and not by one that found
	 * only the end of the stream.
	 */
	if (call->chunked)
		return call->connection->reading && !call->connection->at_eof;
	return call->content_length >= 0 &&
	    (size_t)call->content_length == call->response.body.len;
}

static bool
is_own_response(msp_call_t *call)
{
	msp_call_result_t result = msp_get_call_result(call);

	return call->judge == NULL || call->judge(call->ctx, &result);
}

int
msp_end_response(msp_call_t *call)
{
	msp_client_connection_t *connection = call->connection;
	bool complete = is_complete(call);
	/* After a response of another request, this call's own may follow. */
	bool keep = complete && is_own_response(call);

	connection->last_active = msp_loop_now();
	msp_end_call(call, complete ? MSP_OK : MSP_E_TRUNCATED_RESPONSE);
	/* A connection that is closed is released by that event. */
	if (keep)
		msp_release_client_connection(connection);
	return keep ? 0 : -1;
}
