#ifndef MSP_PLATFORM_STORE_DATA_H
#define MSP_PLATFORM_STORE_DATA_H

#include "monsoonspindle/platform/memory_store.h"
#include "store_call.h"
#include "table.h"
#include "table_undo.h"
#include "vm_list.h"

/* The data of a memory store. */
typedef struct msp_store_data {
	msp_table_t table;
	msp_table_t objects; /* each object is a row */
	msp_undo_t undo; /* of `table` */
	uint64_t era; /* 0: the store names none */
	msp_vm_list_t vms;
	msp_store_stats_t stats;
} msp_store_data_t;

void msp_init_store_data(msp_store_data_t *data);
void msp_clear_store_data(msp_store_data_t *data);

bool msp_is_store_write(const msp_store_call_t *call);

/* Applies a transaction to the table of rows. */
msp_status_t msp_transact_store_data(
    msp_store_data_t *data, const msp_txn_t *txn, msp_time_t now);

/* Applies `call` and stores the reply in it. */
void msp_run_store_call(
    msp_store_data_t *data, msp_store_call_t *call, msp_time_t now);

#endif
