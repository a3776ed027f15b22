#ifndef SUPPORT_RPC_FIXTURE_H
#define SUPPORT_RPC_FIXTURE_H

#include <netinet/in.h>

#include "net_fixture.h"

/* Two RPC endpoints, and a plain UDP socket for tests that act as a peer. */

#define PROGRAM 0x20001234
#define VERSION 3
#define PROC_ADD 1 /* adds one; rejects 13 as a bad request, fails for 14 */
#define PROC_ONE_WAY 2 /* sends no reply */
#define PROC_LARGE 3 /* its reply is larger than a datagram may be */
#define TEXT_MAX 64 /* bytes of the argument of PROC_ONE_WAY */

typedef struct rpc_test {
	msp_loop_t *loop;
	msp_rpc_t *server;
	msp_rpc_t *client;
	struct sockaddr_in server_address;
	int raw; /* a plain UDP socket */
	struct sockaddr_in raw_address;
	unsigned int one_way_count;
	unsigned int done_count;
	msp_status_t status;
	uint32_t result;
} rpc_test_t;

/* Encodes 1,600 bytes, which is more than a datagram may have. */
bool_t xdr_large(XDR *xdr, ...);

/* Set-up and clean-up for cmocka; *state is a rpc_test_t. */
int set_up_rpc(void **state);
int tear_down_rpc(void **state);
void store_result(void *ctx, msp_status_t status, void *result);
void call_add(rpc_test_t *test, const struct sockaddr_in *to, uint32_t number);
void assert_served(rpc_test_t *test);

#endif
