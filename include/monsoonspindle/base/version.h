#ifndef MONSOONSPINDLE_BASE_VERSION_H
#define MONSOONSPINDLE_BASE_VERSION_H

/* Version of the library and of both programs. */
#define MSP_VERSION "0.1.0"

#endif
