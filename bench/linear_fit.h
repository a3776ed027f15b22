#ifndef MONSOONSPINDLE_TESTS_LINEAR_FIT_H
#define MONSOONSPINDLE_TESTS_LINEAR_FIT_H

#include <stddef.h>

/* Least squares fit of y = intercept + slope * x. */
typedef struct linear_fit {
	double slope;
	double intercept;
	double r_squared;
} linear_fit_t;

linear_fit_t fit_line(const double *x, const double *y, size_t count);

/*
 * Prints the fit of the quantity `what`, measured in `unit`, as a function of
 * `by`, and its value for x = `at`.
 */
void print_fit(const char *what, const char *unit, const char *by,
    const double *x, const double *y, size_t count, double at);

/* Returns the CPU time of this process. */
double get_cpu_seconds(void);

#endif
