#include "caller_request_parse.h"

#include <ctype.h>
#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "client_blocks.h"
#include "daemon.h"
#include "proxy_codec.h"

#define REQUEST_RETRIES 2 /* retries and hedges of one read */
#define DEADLINE_MAX_MS (10 * 60 * 1000U)
#define ATTEMPT_MAX 1000000

static msp_status_t
read_id(
    const daemon_t *daemon, const msp_request_t *request, proxy_request_t *work)
{
	const char *id = msp_find_header(&request->headers, "x-request-id");
	size_t i;

	if (id == NULL || id[0] == '\0') {
		snprintf(work->id, sizeof(work->id), "%.40s-%016" PRIx64,
		    daemon->settings->vm, daemon->env.random(daemon->env.ctx));
		return MSP_OK;
	}
	if (strlen(id) >= sizeof(work->id))
		return msp_fail(MSP_E_BAD_REQUEST,
		    "X-Request-ID: over %zu bytes", sizeof(work->id) - 1);
	for (i = 0; id[i] != '\0'; i++) {
		if (!isgraph((unsigned char)id[i]))
			return msp_fail(MSP_E_BAD_REQUEST,
			    "X-Request-ID: not visible ASCII");
	}
	snprintf(work->id, sizeof(work->id), "%s", id);
	return MSP_OK;
}

static msp_status_t
read_number(const msp_request_t *request, const char *name, uint32_t min,
    uint32_t max, uint32_t *out)
{
	const char *text = msp_find_header(&request->headers, name);
	unsigned long value;
	char *end;

	if (text == NULL)
		return MSP_OK;
	errno = 0;
	value = strtoul(text, &end, 10);
	if (!isdigit((unsigned char)text[0]) || *end != '\0' || errno != 0 ||
	    value < min || value > max)
		return msp_fail(
		    MSP_E_BAD_REQUEST, "%s: not %u to %u", name, min, max);
	*out = (uint32_t)value;
	return MSP_OK;
}

static msp_status_t
read_key(const msp_request_t *request, proxy_request_t *work)
{
	const char *key = msp_find_header(&request->headers, "idempotency-key");
	size_t len = 0;
	size_t i;

	if (key == NULL)
		return MSP_OK;
	len = strlen(key);
	/* The draft standard writes the key as a quoted string. */
	if (len >= 2 && key[0] == '"' && key[len - 1] == '"') {
		key++;
		len -= 2;
	}
	if (len == 0 || len >= sizeof(work->key))
		return msp_fail(MSP_E_BAD_REQUEST,
		    "Idempotency-Key: not 1 to %zu bytes",
		    sizeof(work->key) - 1);
	for (i = 0; i < len; i++) {
		if (!isgraph((unsigned char)key[i]))
			return msp_fail(MSP_E_BAD_REQUEST,
			    "Idempotency-Key: not visible ASCII");
	}
	memcpy(work->key, key, len);
	work->key[len] = '\0';
	return MSP_OK;
}

/* Splits /v1/services/S/rest into the service and the target's path. */
static msp_status_t
read_path(const msp_request_t *request, proxy_request_t *work)
{
	const char *name = request->path + sizeof(SERVICES_PATH) - 1;
	size_t len = strcspn(name, "/?");
	const char *rest = name + len;

	if (len == 0 || len >= sizeof(work->service))
		return msp_fail(
		    MSP_E_UNKNOWN_SERVICE, "the path names no service");
	memcpy(work->service, name, len);
	work->service[len] = '\0';
	snprintf(work->request.path, sizeof(work->request.path), "%s%s",
	    rest[0] == '/' ? "" : "/", rest);
	return MSP_OK;
}

static msp_digest_t
fingerprint(const proxy_request_t *work)
{
	const msp_request_t *request = &work->request;
	msp_digest_t digest = msp_digest(work->service, strlen(work->service));

	digest =
	    msp_chain_digest(digest, request->method, strlen(request->method));
	digest = msp_chain_digest(digest, request->path, strlen(request->path));
	return msp_chain_digest(
	    digest, msp_buffer_text(&request->body), request->body.len);
}

/* Reads the class and the deadline of the request from its route. */
static msp_status_t
read_route(
    const daemon_t *daemon, const msp_request_t *request, proxy_request_t *work)
{
	const msp_service_t *service =
	    msp_find_service(get_daemon_release(daemon), work->service);
	const msp_service_route_t *route;
	uint32_t deadline_ms;
	msp_status_t status;

	if (service == NULL)
		return msp_fail(
		    MSP_E_UNKNOWN_SERVICE, "no service \"%s\"", work->service);
	route = msp_match_service_route(
	    service, request->method, work->request.path);
	/* What is not declared a read is a commit. */
	work->class = route == NULL ? MSP_CLASS_COMMIT : route->class;
	work->is_idempotent = work->class != MSP_CLASS_COMMIT;
	deadline_ms = service->deadline_ms;
	if (route != NULL && route->deadline_ms != 0)
		deadline_ms = route->deadline_ms;
	status = read_number(
	    request, "request-timeout", 1, DEADLINE_MAX_MS, &deadline_ms);
	if (status != MSP_OK)
		return status;
	work->deadline = work->arrival + deadline_ms * MSP_MS;
	work->retries_left = work->is_idempotent ? REQUEST_RETRIES : 0;
	if (!work->is_idempotent && work->key[0] == '\0')
		return msp_fail(MSP_E_NO_IDEMPOTENCY_KEY,
		    "%s %s is not declared a read: send an Idempotency-Key",
		    request->method, work->request.path);
	return MSP_OK;
}

/* A client that no block holds counts as one of this VM's region. */
static void
read_client_region(const daemon_t *daemon, const msp_exchange_t *exchange,
    proxy_request_t *work)
{
	const char *region = daemon->settings->region;
	const char *place;

	find_client_place(daemon->client_blocks,
	    msp_exchange_client_address(exchange), &region, &place);
	snprintf(
	    work->client_region, sizeof(work->client_region), "%s", region);
}

msp_status_t
parse_caller_request(struct daemon *daemon, caller_request_t *entry)
{
	const msp_request_t *request = msp_exchange_request(entry->exchange);
	proxy_request_t *work = &entry->proxy;
	msp_status_t status;

	work->arrival = correct_arrival_for_pause(
	    daemon, msp_exchange_arrival(entry->exchange));
	read_client_region(daemon, entry->exchange, work);
	memcpy(work->request.method, request->method,
	    sizeof(work->request.method));
	status = read_id(daemon, request, work);
	if (status != MSP_OK)
		return status;
	status = read_key(request, work);
	if (status != MSP_OK)
		return status;
	status = read_number(
	    request, "request-attempt", 1, ATTEMPT_MAX, &entry->attempt_number);
	if (status != MSP_OK)
		return status;
	status = read_path(request, work);
	if (status != MSP_OK)
		return status;
	if (!is_daemon_ready(daemon))
		return msp_fail(
		    MSP_E_NOT_READY, "no release in force here yet");
	status = read_route(daemon, request, work);
	if (status != MSP_OK)
		return status;
	status =
	    copy_end_to_end_headers(&request->headers, &work->request.headers);
	if (status == MSP_OK && request->body.len > 0)
		status = msp_append_data(
		    &work->request.body, request->body.data, request->body.len);
	work->fingerprint = fingerprint(work);
	return status;
}
