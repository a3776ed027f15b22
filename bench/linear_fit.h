#ifndef MONSOONSPINDLE_TESTS_LINEAR_FIT_H
#define MONSOONSPINDLE_TESTS_LINEAR_FIT_H

#include <stddef.h>

/* Least squares: y = intercept + slope * x. */
typedef struct linear_fit {
	double slope;
	double intercept;
	double r_squared;
} linear_fit_t;

linear_fit_t fit_line(const double *x, const double *y, size_t count);

/* Prints the fit, and its value at `at`. */
void print_fit(const char *what, const char *unit, const char *by,
    const double *x, const double *y, size_t count, double at);

/* Processor time of this process, in seconds. */
double get_cpu_seconds(void);

#endif
