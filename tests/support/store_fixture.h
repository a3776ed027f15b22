#ifndef STORE_FIXTURE_H
#define STORE_FIXTURE_H

#include "monsoonspindle/net.h"
#include "monsoonspindle/platform.h"

#define FIXTURE_ROWS_MAX 16

/* Implementation of msp_store_t under test. */
typedef enum store_kind {
	STORE_MEMORY,
	STORE_HTTP,
	STORE_KINDS
} store_kind_t;

/* A copy of a reply and of the data that it points to. */
typedef struct saved_reply {
	unsigned int done_count; /* calls of save_reply() */
	msp_status_t status;
	uint64_t version;
	size_t row_count;
	char keys[FIXTURE_ROWS_MAX][64];
	uint64_t versions[FIXTURE_ROWS_MAX];
	msp_buffer_t values[FIXTURE_ROWS_MAX]; /* data NULL: no row */
	msp_buffer_t object;
	size_t vm_count;
	msp_vm_t vm; /* the first one */
} saved_reply_t;

/*
 * A memory store on the system's clock, called directly or over HTTP: through
 * msp_http_store_t, an HTTP client, an HTTP server and msp_store_service_t, all
 * in this process.
 */
typedef struct store_fixture {
	msp_store_t store; /* the one under test */
	msp_memory_store_t *memory;
	msp_store_faults_t *faults; /* of `memory` */
	msp_loop_t *loop; /* this and the next four: NULL without HTTP */
	msp_store_service_t *service;
	msp_http_server_t *server;
	msp_http_client_t *client;
	msp_http_store_t *http_store;
	msp_env_t env;
	uint32_t timeout_ms;
	saved_reply_t reply; /* of the last call */
} store_fixture_t;

store_fixture_t *new_store_fixture(store_kind_t kind);
void drop_store_fixture(store_fixture_t *fixture);

/* Runs the loop and the memory store until the pending call is answered. */
void await_reply(store_fixture_t *fixture);

/* Each makes one call and returns its status; the data is in `reply`. */
msp_status_t put_row(store_fixture_t *fixture, const char *key,
    uint64_t version, const void *value, size_t len);
msp_status_t transact(store_fixture_t *fixture, const msp_txn_t *txn);
msp_status_t get_rows(
    store_fixture_t *fixture, const char *const *keys, size_t count);
msp_status_t get_row(store_fixture_t *fixture, const char *key);
msp_status_t scan_rows(store_fixture_t *fixture, const char *prefix,
    const char *after, size_t limit);
msp_status_t put_object(
    store_fixture_t *fixture, const char *name, const void *data, size_t len);
msp_status_t get_object(store_fixture_t *fixture, const char *name);
msp_status_t list_vms(store_fixture_t *fixture);

/* Callback that copies a reply to `ctx`, a saved_reply_t. */
void save_reply(void *ctx, const msp_store_reply_t *reply);

#endif
