#ifndef CONFIG_FINDING_H
#define CONFIG_FINDING_H

#include "monsoonspindle/config/check_routes.h"

/* Writes findings about one entry after the other. */
typedef struct finding_writer {
	const msp_finding_callback_t *callback;
	char place[MSP_ROUTE_NAME_SIZE + 32];
} finding_writer_t;

/* check_routes.c: the first route with the same host and prefix; or NULL. */
const msp_path_route_t *find_same_route(
    const msp_route_table_t *table, const msp_path_route_t *route);

void set_finding_place(finding_writer_t *writer, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
void report_finding(finding_writer_t *writer, msp_finding_level_t level,
    const char *fmt, ...) __attribute__((format(printf, 3, 4)));

#endif
