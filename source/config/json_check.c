#include "json_check.h"

#include <stdbool.h>
#include <stdio.h>
#include <string.h>

#include "utf8.h"

/* A key of an object, as a part of the text. */
typedef struct json_key {
	const char *start;
	size_t len;
} json_key_t;

typedef struct scanner {
	const char *text;
	size_t len;
	size_t pos;
	unsigned int line;
	unsigned int depth;
	const char *origin;
	char path[JSON_PATH_SIZE];
	size_t path_len;
} scanner_t;

static msp_status_t scan_value(scanner_t *scanner);

static msp_status_t
fail(const scanner_t *scanner, const char *what)
{
	const char *path = scanner->path_len > 0 ? scanner->path : "document";

	return msp_fail(MSP_E_SYNTAX, "%s: line %u: %s: %s", scanner->origin,
	    scanner->line, path, what);
}

static int
peek(const scanner_t *scanner)
{
	if (scanner->pos >= scanner->len)
		return -1;
	return (unsigned char)scanner->text[scanner->pos];
}

static bool
starts_with(const scanner_t *scanner, const char *literal)
{
	size_t len = strlen(literal);

	return scanner->len - scanner->pos >= len &&
	    memcmp(scanner->text + scanner->pos, literal, len) == 0;
}

static void
advance(scanner_t *scanner)
{
	if (scanner->text[scanner->pos] == '\n')
		scanner->line++;
	scanner->pos++;
}

static msp_status_t
skip_comment(scanner_t *scanner)
{
	bool block = starts_with(scanner, "/*");

	scanner->pos += 2;
	while (peek(scanner) >= 0) {
		if (block && starts_with(scanner, "*/")) {
			scanner->pos += 2;
			return MSP_OK;
		}
		if (!block && peek(scanner) == '\n')
			return MSP_OK;
		advance(scanner);
	}
	return block ? fail(scanner, "unterminated comment") : MSP_OK;
}

static msp_status_t
skip_space(scanner_t *scanner)
{
	msp_status_t status;
	int c;

	for (;;) {
		c = peek(scanner);
		if (c == ' ' || c == '\t' || c == '\n' || c == '\r') {
			advance(scanner);
			continue;
		}
		if (!starts_with(scanner, "//") && !starts_with(scanner, "/*"))
			return MSP_OK;
		status = skip_comment(scanner);
		if (status != MSP_OK)
			return status;
	}
}

static msp_status_t
scan_escape(scanner_t *scanner)
{
	size_t i;
	int c;

	scanner->pos++;
	c = peek(scanner);
	if (c <= 0 || strchr("\"\\/bfnrtu", c) == NULL)
		return fail(scanner, "invalid escape sequence in a string");
	scanner->pos++;
	if (c != 'u')
		return MSP_OK;
	if (starts_with(scanner, "0000"))
		return fail(scanner, "\\u0000 in a string");
	for (i = 0; i < 4; i++) {
		c = peek(scanner);
		if (c <= 0 || strchr("0123456789abcdefABCDEF", c) == NULL)
			return fail(
			    scanner, "invalid \\u escape sequence in a string");
		scanner->pos++;
	}
	return MSP_OK;
}

static msp_status_t
scan_string(scanner_t *scanner)
{
	msp_status_t status;
	size_t char_len;
	int c;

	scanner->pos++;
	while ((c = peek(scanner)) != '"') {
		if (c < 0)
			return fail(scanner, "unterminated string");
		if (c < 0x20)
			return fail(scanner, "control character in a string");
		if (c == '\\') {
			status = scan_escape(scanner);
			if (status != MSP_OK)
				return status;
			continue;
		}
		char_len = utf8_length(
		    scanner->text + scanner->pos, scanner->len - scanner->pos);
		if (char_len == 0)
			return fail(scanner, "string is not valid UTF-8");
		scanner->pos += char_len;
	}
	scanner->pos++;
	return MSP_OK;
}

static size_t
skip_digits(scanner_t *scanner)
{
	size_t count = 0;

	while (peek(scanner) >= '0' && peek(scanner) <= '9') {
		scanner->pos++;
		count++;
	}
	return count;
}

static msp_status_t
scan_number(scanner_t *scanner)
{
	size_t start;

	if (peek(scanner) == '-')
		scanner->pos++;
	start = scanner->pos;
	if (skip_digits(scanner) == 0)
		return fail(scanner, "value expected");
	if (scanner->text[start] == '0' && scanner->pos - start > 1)
		return fail(scanner, "number with a leading 0");
	if (peek(scanner) == '.') {
		scanner->pos++;
		if (skip_digits(scanner) == 0)
			return fail(scanner, "malformed number");
	}
	if (peek(scanner) == 'e' || peek(scanner) == 'E') {
		scanner->pos++;
		if (peek(scanner) == '+' || peek(scanner) == '-')
			scanner->pos++;
		if (skip_digits(scanner) == 0)
			return fail(scanner, "malformed number");
	}
	return MSP_OK;
}

static msp_status_t
scan_literal(scanner_t *scanner)
{
	static const char *const literals[] = {"true", "false", "null"};
	size_t i;

	for (i = 0; i < sizeof(literals) / sizeof(literals[0]); i++) {
		if (!starts_with(scanner, literals[i]))
			continue;
		scanner->pos += strlen(literals[i]);
		return MSP_OK;
	}
	return scan_number(scanner);
}

/*
 * Appends ".key" or "[index]" to the path, unless it would overflow. Returns
 * the old length, for pop_path().
 */
static size_t
push_path(scanner_t *scanner, const json_key_t *key, size_t index)
{
	size_t old_len = scanner->path_len;
	size_t room = sizeof(scanner->path) - old_len;
	int len;

	if (key == NULL)
		len = snprintf(scanner->path + old_len, room, "[%zu]", index);
	else
		len = snprintf(scanner->path + old_len, room, "%s%.*s",
		    old_len > 0 ? "." : "", key->len > 64 ? 64 : (int)key->len,
		    key->start);
	if (len > 0 && (size_t)len < room)
		scanner->path_len += (size_t)len;
	scanner->path[scanner->path_len] = '\0';
	return old_len;
}

static void
pop_path(scanner_t *scanner, size_t old_len)
{
	scanner->path_len = old_len;
	scanner->path[old_len] = '\0';
}

static msp_status_t
scan_key(scanner_t *scanner, json_key_t *key)
{
	msp_status_t status;

	if (peek(scanner) != '"')
		return fail(scanner, "key in quotes expected");
	key->start = scanner->text + scanner->pos + 1;
	status = scan_string(scanner);
	if (status != MSP_OK)
		return status;
	key->len = (size_t)(scanner->text + scanner->pos - key->start) - 1;
	if (memchr(key->start, '\\', key->len) != NULL)
		return fail(scanner, "escape sequence in a key");
	return MSP_OK;
}

static bool
is_same_key(const json_key_t *a, const json_key_t *b)
{
	if (a->start == NULL || b->start == NULL || a->len != b->len)
		return false;
	return memcmp(a->start, b->start, a->len) == 0;
}

static msp_status_t
check_duplicate_key(scanner_t *scanner, const json_key_t *keys, size_t count)
{
	const json_key_t *key = &keys[count];
	size_t i;

	for (i = 0; i < count; i++) {
		if (is_same_key(&keys[i], key))
			return msp_fail(MSP_E_RANGE,
			    "%s: line %u: %s: key given twice", scanner->origin,
			    scanner->line, scanner->path);
	}
	return MSP_OK;
}

static msp_status_t
scan_member(scanner_t *scanner, json_key_t *keys, size_t count)
{
	msp_status_t status;
	size_t old_len;

	status = scan_key(scanner, &keys[count]);
	if (status != MSP_OK)
		return status;
	old_len = push_path(scanner, &keys[count], 0);
	status = check_duplicate_key(scanner, keys, count);
	if (status == MSP_OK)
		status = skip_space(scanner);
	if (status == MSP_OK && peek(scanner) != ':')
		status = fail(scanner, "':' expected");
	if (status != MSP_OK)
		return status;
	scanner->pos++;
	status = scan_value(scanner);
	if (status == MSP_OK)
		pop_path(scanner, old_len);
	return status;
}

static msp_status_t
scan_element(scanner_t *scanner, size_t index)
{
	size_t old_len = push_path(scanner, NULL, index);
	msp_status_t status = scan_value(scanner);

	if (status == MSP_OK)
		pop_path(scanner, old_len);
	return status;
}

/* Scans an object, or a list if `keys` is NULL, up to its closing bracket. */
static msp_status_t
scan_members(scanner_t *scanner, json_key_t *keys)
{
	int close = keys != NULL ? '}' : ']';
	msp_status_t status;
	size_t count = 0;

	scanner->pos++;
	status = skip_space(scanner);
	if (status == MSP_OK && peek(scanner) == close) {
		scanner->pos++;
		return MSP_OK;
	}
	while (status == MSP_OK) {
		if (keys != NULL && count == JSON_KEYS_MAX)
			return fail(scanner, "more than 64 keys in an object");
		status = keys != NULL ? scan_member(scanner, keys, count)
				      : scan_element(scanner, count);
		count++;
		if (status == MSP_OK)
			status = skip_space(scanner);
		if (status != MSP_OK)
			return status;
		if (peek(scanner) == close) {
			scanner->pos++;
			return MSP_OK;
		}
		if (peek(scanner) != ',')
			return fail(scanner, "',' or closing bracket expected");
		scanner->pos++;
		status = skip_space(scanner);
	}
	return status;
}

static msp_status_t
scan_object(scanner_t *scanner)
{
	json_key_t keys[JSON_KEYS_MAX] = {{0}};

	return scan_members(scanner, keys);
}

static msp_status_t
scan_value(scanner_t *scanner)
{
	msp_status_t status = skip_space(scanner);
	int c = peek(scanner);

	if (status != MSP_OK)
		return status;
	if (c < 0)
		return fail(scanner, "unexpected end of text");
	if (c == '"')
		return scan_string(scanner);
	if (c != '{' && c != '[')
		return scan_literal(scanner);
	if (scanner->depth == JSON_DEPTH_MAX)
		return fail(scanner, "nested deeper than 12");
	scanner->depth++;
	status = c == '{' ? scan_object(scanner) : scan_members(scanner, NULL);
	scanner->depth--;
	return status;
}

msp_status_t
check_json(const char *text, size_t len, const char *origin)
{
	scanner_t scanner = {
	    .text = text, .len = len, .line = 1, .origin = origin};
	msp_status_t status = scan_value(&scanner);

	if (status == MSP_OK)
		status = skip_space(&scanner);
	if (status == MSP_OK && scanner.pos < len)
		status = fail(&scanner, "text after the end of the document");
	return status;
}
