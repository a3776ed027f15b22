#include "monsoonspindle/coord/membership.h"

#define CODEC(number, arg, res)                                               \
	{                                                                     \
		.procedure = (number), .argument = (xdrproc_t)xdr_##arg,      \
		.argument_size = sizeof(arg), .result = (xdrproc_t)xdr_##res, \
		.result_size = sizeof(res),                                   \
	}
#define ONE_WAY(number, arg)                                             \
	{                                                                \
		.procedure = (number), .argument = (xdrproc_t)xdr_##arg, \
		.argument_size = sizeof(arg),                            \
	}

static const msp_gossip_codec_t codecs[] = {
    CODEC(MSP_GOSSIP_PING, msp_gossip_ping_t, msp_gossip_ack_t),
    ONE_WAY(MSP_GOSSIP_PING_REQ, msp_gossip_ping_req_t),
    ONE_WAY(MSP_GOSSIP_PING_OK, msp_gossip_ping_ok_t),
    ONE_WAY(MSP_GOSSIP_ANNOUNCE, msp_gossip_ping_t),
    CODEC(MSP_GOSSIP_SYNC, msp_gossip_sync_t, msp_gossip_page_t),
    CODEC(MSP_GOSSIP_EXCHANGE, msp_gossip_exchange_t, msp_gossip_summaries_t),
};

const msp_gossip_codec_t *
msp_find_gossip_codec(uint32_t procedure)
{
	size_t i;

	for (i = 0; i < sizeof(codecs) / sizeof(codecs[0]); i++) {
		if (codecs[i].procedure == procedure)
			return &codecs[i];
	}
	return NULL;
}
