#include "soak_message.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define HEAD_END "\r\n\r\n"
#define HEAD_MAX 65536
#define FIELD_SIZE 64
#define BASE_HEX 16

/* Returns the place after the first `text` in `data`, or NULL. */
static const char *
find_end(const char *data, size_t len, const char *text)
{
	size_t text_len = strlen(text);
	size_t at;

	for (at = 0; at + text_len <= len; at++) {
		if (memcmp(data + at, text, text_len) == 0)
			return data + at + text_len;
	}
	return NULL;
}

bool
get_soak_field(
    const soak_message_t *message, const char *name, char *out, size_t size)
{
	const char *line = strstr(message->head, "\r\n");
	size_t name_len = strlen(name);
	size_t len;

	for (; line != NULL; line = strstr(line, "\r\n")) {
		line += 2;
		if (strncasecmp(line, name, name_len) != 0 ||
		    line[name_len] != ':')
			continue;
		line += name_len + 1;
		line += strspn(line, " ");
		len = strcspn(line, "\r");
		snprintf(out, size, "%.*s", (int)len, line);
		return true;
	}
	return false;
}

void
drop_soak_message(soak_message_t *message)
{
	free(message->head);
	msp_drop_buffer(&message->body);
	*message = (soak_message_t){0};
}

static bool
parse_start(soak_message_t *message, bool is_response)
{
	if (is_response)
		return sscanf(message->head, "HTTP/1.1 %3d ",
			   &message->status) == 1;
	return sscanf(message->head, "%15s %127s HTTP/1.1", message->method,
		   message->path) == 2 &&
	    message->path[0] == '/';
}

/* Decodes chunks from `at`; sets *at to the byte after them. */
static soak_parse_t
take_chunks(const char **at, const char *end, msp_buffer_t *body)
{
	const char *line_end;
	size_t len;

	for (;;) {
		line_end = find_end(*at, (size_t)(end - *at), "\r\n");
		if (line_end == NULL)
			return SOAK_INCOMPLETE;
		len = strtoul(*at, NULL, BASE_HEX);
		if ((size_t)(end - line_end) < len + 2)
			return SOAK_INCOMPLETE;
		msp_append_data(body, line_end, len);
		*at = line_end + len;
		if (memcmp(*at, "\r\n", 2) != 0)
			return SOAK_MALFORMED;
		*at += 2;
		if (len == 0)
			return SOAK_COMPLETE;
	}
}

static soak_parse_t
take_body(const char **at, const char *end, soak_message_t *message)
{
	char text[FIELD_SIZE];
	size_t len;

	if (get_soak_field(message, "Transfer-Encoding", text, sizeof(text)))
		return take_chunks(at, end, &message->body);
	if (!get_soak_field(message, "Content-Length", text, sizeof(text)))
		return SOAK_COMPLETE;
	len = strtoul(text, NULL, 10);
	if ((size_t)(end - *at) < len)
		return SOAK_INCOMPLETE;
	msp_append_data(&message->body, *at, len);
	*at += len;
	return SOAK_COMPLETE;
}

bool
peek_soak_request(const msp_buffer_t *in, soak_message_t *message)
{
	const char *end =
	    in->len == 0 ? NULL : find_end(in->data, in->len, HEAD_END);

	*message = (soak_message_t){0};
	if (end == NULL)
		return false;
	message->head = strndup(in->data, (size_t)(end - in->data));
	if (parse_start(message, false))
		return true;
	drop_soak_message(message);
	return false;
}

soak_parse_t
take_soak_message(msp_buffer_t *in, bool is_response, soak_message_t *message)
{
	const char *end = in->data + in->len;
	const char *at;
	size_t used;
	soak_parse_t parse = SOAK_MALFORMED;

	*message = (soak_message_t){0};
	if (in->len == 0)
		return SOAK_INCOMPLETE;
	at = find_end(in->data, in->len, HEAD_END);
	if (at == NULL)
		return in->len > HEAD_MAX ? SOAK_MALFORMED : SOAK_INCOMPLETE;
	message->head = strndup(in->data, (size_t)(at - in->data));
	if (parse_start(message, is_response))
		parse = take_body(&at, end, message);
	if (parse != SOAK_COMPLETE) {
		drop_soak_message(message);
		return parse;
	}
	used = (size_t)(at - in->data);
	memmove(in->data, in->data + used, in->len - used);
	in->len -= used;
	in->data[in->len] = '\0';
	return SOAK_COMPLETE;
}
