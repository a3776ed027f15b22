#include "linear_fit.h"

#include <stdio.h>
#include <time.h>

linear_fit_t
fit_line(const double *x, const double *y, size_t count)
{
	double n = (double)count;
	double mean_x = 0;
	double mean_y = 0;
	double xx = 0;
	double xy = 0;
	double yy = 0;
	linear_fit_t fit = {0};
	size_t i;

	for (i = 0; i < count; i++) {
		mean_x += x[i] / n;
		mean_y += y[i] / n;
	}
	for (i = 0; i < count; i++) {
		xx += (x[i] - mean_x) * (x[i] - mean_x);
		xy += (x[i] - mean_x) * (y[i] - mean_y);
		yy += (y[i] - mean_y) * (y[i] - mean_y);
	}
	fit.slope = xx > 0 ? xy / xx : 0;
	fit.intercept = mean_y - fit.slope * mean_x;
	fit.r_squared = xx > 0 && yy > 0 ? xy * xy / (xx * yy) : 1;
	return fit;
}

void
print_fit(const char *what, const char *unit, const char *by, const double *x,
    const double *y, size_t count, double at)
{
	linear_fit_t fit = fit_line(x, y, count);

	printf("fit: %s = %.4g + %.4g * %s (%s, r2 %.3f); at %g: %.4g\n", what,
	    fit.intercept, fit.slope, by, unit, fit.r_squared, at,
	    fit.intercept + fit.slope * at);
}

double
get_cpu_seconds(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return (double)ts.tv_sec + (double)ts.tv_nsec / 1e9;
}
