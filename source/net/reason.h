#ifndef MONSOONSPINDLE_NET_REASON_H
#define MONSOONSPINDLE_NET_REASON_H

/* Returns the reason phrase of an HTTP status, "" if it is unknown; static. */
const char *msp_get_reason_phrase(int http_status);

#endif
