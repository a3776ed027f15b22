#ifndef MONSOONSPINDLE_COORD_READER_RANK_H
#define MONSOONSPINDLE_COORD_READER_RANK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Which VMs of a data centre read the platform's tables for the others. All
 * that follow a table read it from its reader, so a reader needs a fast link;
 * and tables with small urgent rows have another reader than those with large
 * rows, which would delay them on the same link.
 */

/* A VM that may be a reader. */
typedef struct msp_reader {
	const char *name; /* borrowed */
	uint32_t link_mbps; /* of its link; 0: not known */
	bool is_suspect; /* by the membership */
	uint64_t score; /* filled in by msp_rank_readers() */
} msp_reader_t;

/* What the rows of a table are like. */
typedef enum msp_reader_table {
	MSP_READER_LARGE_ROWS,
	MSP_READER_URGENT_ROWS,
} msp_reader_table_t;

/*
 * Sorts the VMs, best first: those that are not suspect, then by the speed of
 * their links, then by rendezvous score for `key`.
 */
void msp_rank_readers(msp_reader_t *readers, size_t count, uint64_t key);

/*
 * Returns the index of the reader of a table among ranked VMs; `count` must not
 * be 0. The second VM reads urgent rows if its link is as fast as the first's.
 */
size_t msp_choose_reader(
    const msp_reader_t *ranked, size_t count, msp_reader_table_t table);

#endif
