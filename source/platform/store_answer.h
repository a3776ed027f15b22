#ifndef MSP_PLATFORM_STORE_ANSWER_H
#define MSP_PLATFORM_STORE_ANSWER_H

#include "captured_reply.h"
#include "monsoonspindle/net/http_client.h"
#include "store_call.h"

/*
 * Turns the platform's HTTP answer to `args` into a reply, always with a
 * status. A malformed answer, or one to another question, is MSP_E_LOST.
 */
void msp_read_store_answer(const msp_store_call_t *args,
    const msp_call_result_t *result, msp_captured_reply_t *captured);

#endif
