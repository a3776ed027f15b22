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

#define READ_RETRIES_MAX 2 /* retries and hedged requests of a read */
#define DEADLINE_MAX_MS (10 * 60 * 1000U)
#define ATTEMPT_MAX 1000000

static msp_status_t
parse_id(
    const daemon_t *daemon, const msp_request_t *http, proxy_request_t *proxy)
{
	const char *id = msp_find_header(&http->headers, "x-request-id");
	size_t i;

	if (id == NULL || id[0] == '\0') {
		snprintf(proxy->id, sizeof(proxy->id), "%.40s-%016" PRIx64,
		    daemon->settings->vm, daemon->env.random(daemon->env.ctx));
		return MSP_OK;
	}
	if (strlen(id) >= sizeof(proxy->id))
		return msp_fail(MSP_E_BAD_REQUEST,
		    "X-Request-ID: longer than %zu bytes",
		    sizeof(proxy->id) - 1);
	for (i = 0; id[i] != '\0'; i++) {
		if (!isgraph((unsigned char)id[i]))
			return msp_fail(MSP_E_BAD_REQUEST,
			    "X-Request-ID: must be visible ASCII");
	}
	snprintf(proxy->id, sizeof(proxy->id), "%s", id);
	return MSP_OK;
}

static msp_status_t
parse_number(const msp_request_t *http, const char *name, uint32_t min,
    uint32_t max, uint32_t *out)
{
	const char *text = msp_find_header(&http->headers, name);
	unsigned long value;
	char *end;

	if (text == NULL)
		return MSP_OK;
	errno = 0;
	value = strtoul(text, &end, 10);
	if (!isdigit((unsigned char)text[0]) || *end != '\0' || errno != 0 ||
	    value < min || value > max)
		return msp_fail(MSP_E_BAD_REQUEST,
		    "%s: must be a number from %u to %u", name, min, max);
	*out = (uint32_t)value;
	return MSP_OK;
}

static msp_status_t
parse_key(const msp_request_t *http, proxy_request_t *proxy)
{
	const char *key = msp_find_header(&http->headers, "idempotency-key");
	size_t len = 0;
	size_t i;

	if (key == NULL)
		return MSP_OK;
	len = strlen(key);
	/* The IETF draft of this header writes the key as a quoted string. */
	if (len >= 2 && key[0] == '"' && key[len - 1] == '"') {
		key++;
		len -= 2;
	}
	if (len == 0 || len >= sizeof(proxy->key))
		return msp_fail(MSP_E_BAD_REQUEST,
		    "Idempotency-Key: must have 1 to %zu bytes",
		    sizeof(proxy->key) - 1);
	for (i = 0; i < len; i++) {
		if (!isgraph((unsigned char)key[i]))
			return msp_fail(MSP_E_BAD_REQUEST,
			    "Idempotency-Key: must be visible ASCII");
	}
	memcpy(proxy->key, key, len);
	proxy->key[len] = '\0';
	return MSP_OK;
}

/* Splits /v1/services/S/rest into the service and the path for the target. */
static msp_status_t
parse_path(const msp_request_t *http, proxy_request_t *proxy)
{
	const char *name = http->path + sizeof(SERVICES_PATH) - 1;
	size_t len = strcspn(name, "/?");
	const char *target_path = name + len;

	if (len == 0 || len >= sizeof(proxy->service))
		return msp_fail(MSP_E_UNKNOWN_SERVICE,
		    "path: service name is missing or too long");
	memcpy(proxy->service, name, len);
	proxy->service[len] = '\0';
	snprintf(proxy->request.path, sizeof(proxy->request.path), "%s%s",
	    target_path[0] == '/' ? "" : "/", target_path);
	return MSP_OK;
}

static msp_digest_t
compute_fingerprint(const proxy_request_t *proxy)
{
	const msp_request_t *http = &proxy->request;
	msp_digest_t digest =
	    msp_digest(proxy->service, strlen(proxy->service));

	digest = msp_chain_digest(digest, http->method, strlen(http->method));
	digest = msp_chain_digest(digest, http->path, strlen(http->path));
	return msp_chain_digest(
	    digest, msp_buffer_text(&http->body), http->body.len);
}

/* Sets the class, the deadline and the retries by the service's route. */
static msp_status_t
apply_route(
    const daemon_t *daemon, const msp_request_t *http, proxy_request_t *proxy)
{
	const msp_service_t *service =
	    msp_find_service(get_daemon_release(daemon), proxy->service);
	const msp_service_route_t *route;
	uint32_t deadline_ms;
	msp_status_t status;

	if (service == NULL)
		return msp_fail(MSP_E_UNKNOWN_SERVICE, "unknown service \"%s\"",
		    proxy->service);
	route =
	    msp_match_service_route(service, http->method, proxy->request.path);
	/* A request that matches no route counts as non-idempotent. */
	proxy->class = route == NULL ? MSP_CLASS_COMMIT : route->class;
	proxy->is_idempotent = proxy->class != MSP_CLASS_COMMIT;
	deadline_ms = service->deadline_ms;
	if (route != NULL && route->deadline_ms != 0)
		deadline_ms = route->deadline_ms;
	status = parse_number(
	    http, "request-timeout", 1, DEADLINE_MAX_MS, &deadline_ms);
	if (status != MSP_OK)
		return status;
	proxy->deadline = proxy->arrival + deadline_ms * MSP_MS;
	proxy->retries_left = proxy->is_idempotent ? READ_RETRIES_MAX : 0;
	if (!proxy->is_idempotent && proxy->key[0] == '\0')
		return msp_fail(MSP_E_NO_IDEMPOTENCY_KEY,
		    "%s %s is not declared a read: Idempotency-Key is required",
		    http->method, proxy->request.path);
	return MSP_OK;
}

/* A client in no block of the release is assumed to be in this VM's region. */
static void
set_client_region(const daemon_t *daemon, const msp_exchange_t *exchange,
    proxy_request_t *proxy)
{
	const char *region = daemon->settings->region;
	const char *place;

	find_client_place(daemon->client_blocks,
	    msp_exchange_client_address(exchange), &region, &place);
	snprintf(
	    proxy->client_region, sizeof(proxy->client_region), "%s", region);
}

msp_status_t
parse_caller_request(struct daemon *daemon, caller_request_t *request)
{
	const msp_request_t *http = msp_exchange_request(request->exchange);
	proxy_request_t *proxy = &request->proxy;
	msp_status_t status;

	proxy->arrival = correct_arrival_for_pause(
	    daemon, msp_exchange_arrival(request->exchange));
	set_client_region(daemon, request->exchange, proxy);
	memcpy(
	    proxy->request.method, http->method, sizeof(proxy->request.method));
	status = parse_id(daemon, http, proxy);
	if (status != MSP_OK)
		return status;
	status = parse_key(http, proxy);
	if (status != MSP_OK)
		return status;
	status = parse_number(
	    http, "request-attempt", 1, ATTEMPT_MAX, &request->attempt_number);
	if (status != MSP_OK)
		return status;
	status = parse_path(http, proxy);
	if (status != MSP_OK)
		return status;
	if (!is_daemon_ready(daemon))
		return msp_fail(
		    MSP_E_NOT_READY, "this VM has not loaded a release yet");
	status = apply_route(daemon, http, proxy);
	if (status != MSP_OK)
		return status;
	status =
	    copy_end_to_end_headers(&http->headers, &proxy->request.headers);
	if (status == MSP_OK && http->body.len > 0)
		status = msp_append_data(
		    &proxy->request.body, http->body.data, http->body.len);
	proxy->fingerprint = compute_fingerprint(proxy);
	return status;
}
