#include "monsoonspindle/coord/reader_rank.h"

#include <stdlib.h>

#include "monsoonspindle/coord/rendezvous.h"

static int
compare_readers(const void *a, const void *b)
{
	const msp_reader_t *left = a;
	const msp_reader_t *right = b;

	if (left->is_suspect != right->is_suspect)
		return left->is_suspect ? 1 : -1;
	if (left->link_mbps != right->link_mbps)
		return left->link_mbps > right->link_mbps ? -1 : 1;
	if (left->score != right->score)
		return left->score > right->score ? -1 : 1;
	return 0;
}

void
msp_rank_readers(msp_reader_t *readers, size_t count, uint64_t key)
{
	size_t i;

	for (i = 0; i < count; i++)
		readers[i].score = msp_rendezvous_score(readers[i].name, key);
	if (count > 1)
		qsort(readers, count, sizeof(*readers), compare_readers);
}

size_t
msp_choose_reader(
    const msp_reader_t *ranked, size_t count, msp_reader_table_t table)
{
	if (table == MSP_READER_LARGE_ROWS || count < 2)
		return 0;
	return ranked[1].link_mbps == ranked[0].link_mbps &&
		!ranked[1].is_suspect
	    ? 1
	    : 0;
}
