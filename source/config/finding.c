#include "finding.h"

#include <stdarg.h>
#include <stdio.h>

#define TEXT_SIZE 768 /* bytes of a finding; longer ones are cut */

void
set_finding_place(finding_writer_t *writer, const char *fmt, ...)
{
	va_list args;

	va_start(args, fmt);
	vsnprintf(writer->place, sizeof(writer->place), fmt, args);
	va_end(args);
}

void
report_finding(
    finding_writer_t *writer, msp_finding_level_t level, const char *fmt, ...)
{
	char text[TEXT_SIZE];
	msp_finding_t finding = {
	    .level = level, .place = writer->place, .text = text};
	va_list args;

	va_start(args, fmt);
	vsnprintf(text, sizeof(text), fmt, args);
	va_end(args);
	writer->callback->report(writer->callback->ctx, &finding);
}
