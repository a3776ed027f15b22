#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include "monsoonspindle/config.h"

#define MINIMAL                                                              \
	"\"vm\":\"rkv-a1\",\"region\":\"reykjavik\",\"place\":\"rkv-a\","    \
	"\"address\":\"127.0.0.1\",\"caller_port\":8001,\"peer_port\":8002," \
	"\"operator_port\":8003,\"operator_token\":\"0123456789abcdef\","    \
	"\"platform\":{\"address\":\"127.0.0.1\",\"port\":9000}"

typedef struct invalid_case {
	const char *text;
	msp_status_t status;
	const char *key; /* in the message */
	const char *detail; /* in the message */
} invalid_case_t;

static const invalid_case_t invalid_cases[] = {
    {"", MSP_E_SYNTAX, "document", "unexpected end of text"},
    {"[]", MSP_E_SYNTAX, "document", "not a JSON object"},
    {"{" MINIMAL, MSP_E_SYNTAX, "document", "',' or closing bracket expected"},
    {"{" MINIMAL "} x", MSP_E_SYNTAX, "document", "text after the end"},
    {"{" MINIMAL ",}", MSP_E_SYNTAX, "document", "key in quotes expected"},
    {"{/* " MINIMAL "}", MSP_E_SYNTAX, "document", "unterminated comment"},
    {"{'vm':'a'}", MSP_E_SYNTAX, "document", "key in quotes expected"},
    {"{\"vm\":NaN}", MSP_E_SYNTAX, "vm", "value expected"},
    {"{\"vm\":01}", MSP_E_SYNTAX, "vm", "leading 0"},
    {"{\"vm\":\"a", MSP_E_SYNTAX, "vm", "unterminated string"},
    {"{\"vm\":\"a\xff\"}", MSP_E_SYNTAX, "vm", "not valid UTF-8"},
    {"{\"vm\":\"a\xc0\x80\"}", MSP_E_SYNTAX, "vm", "not valid UTF-8"},
    {"{\"vm\":\"a\xed\xa0\x80\"}", MSP_E_SYNTAX, "vm", "not valid UTF-8"},
    {"{\"vm\":\"a\\u0000\"}", MSP_E_SYNTAX, "vm", "\\u0000"},
    {"{\"vm\":\"\\x\"}", MSP_E_SYNTAX, "vm", "invalid escape sequence"},
    {"{\"v\\u006d\":\"a\"}", MSP_E_SYNTAX, "document",
	"escape sequence in a key"},
    {"{\"a\":[[[[[[[[[[[[[1]]]]]]]]]]]]]}", MSP_E_SYNTAX, "a[0]",
	"nested deeper than 12"},
    {"{" MINIMAL ",\"vm\":\"b\"}", MSP_E_RANGE, "vm", "key given twice"},
    {"{" MINIMAL ",\"log\":{\"level\":\"info\",\"level\":\"warn\"}}",
	MSP_E_RANGE, "log.level", "key given twice"},
    {"{" MINIMAL ",\"seeds\":[{\"address\":\"::1\",\"address\":\"::1\"}]}",
	MSP_E_RANGE, "seeds[0].address", "key given twice"},
    {"{" MINIMAL ",\"vmm\":1}", MSP_E_RANGE, "vmm", "unknown key"},
    {"{" MINIMAL ",\"limits\":{\"max\":1}}", MSP_E_RANGE, "limits.max",
	"unknown key"},
    {"{}", MSP_E_RANGE, "vm", "missing; name of this VM"},
    {"{\"vm\":\"a\"}", MSP_E_RANGE, "region", "missing"},
    {"{" MINIMAL ",\"seeds\":[{\"address\":\"::1\"}]}", MSP_E_RANGE,
	"seeds[0].peer_port", "missing"},
    {"{" MINIMAL ",\"seeds\":{}}", MSP_E_RANGE, "seeds", "list expected"},
    {"{" MINIMAL ",\"seeds\":[1]}", MSP_E_RANGE, "seeds[0]", "object expected"},
    {"{" MINIMAL ",\"limits\":null}", MSP_E_RANGE, "limits", "object expected"},
    {"{" MINIMAL ",\"lookup_ttl_ms\":\"5\"}", MSP_E_RANGE, "lookup_ttl_ms",
	"integer expected"},
    {"{" MINIMAL ",\"lookup_ttl_ms\":500.0}", MSP_E_RANGE, "lookup_ttl_ms",
	"integer expected"},
    {"{" MINIMAL ",\"lookup_ttl_ms\":1e3}", MSP_E_RANGE, "lookup_ttl_ms",
	"integer expected"},
    {"{" MINIMAL ",\"lookup_ttl_ms\":99}", MSP_E_RANGE, "lookup_ttl_ms",
	"99 is out of range 100..60000"},
    {"{" MINIMAL ",\"lookup_ttl_ms\":-100}", MSP_E_RANGE, "lookup_ttl_ms",
	"out of range 100..60000"},
    {"{" MINIMAL ",\"lookup_ttl_ms\":99999999999999999999999}", MSP_E_RANGE,
	"lookup_ttl_ms", "out of range 100..60000"},
    {"{" MINIMAL ",\"lookup_ttl_ms\":4294967396}", MSP_E_RANGE, "lookup_ttl_ms",
	"out of range 100..60000"},
    {"{" MINIMAL ",\"limits\":{\"max_connections\":15}}", MSP_E_RANGE,
	"limits.max_connections", "out of range 16..65536"},
    {"{" MINIMAL ",\"log\":{\"level\":\"loud\"}}", MSP_E_RANGE, "log.level",
	"none of error, warn, info, debug"},
    {"{" MINIMAL ",\"suspicion_ms\":399}", MSP_E_RANGE, "suspicion_ms",
	"below twice gossip_period_ms, 400"},
};

/* Replacements in the minimal settings. */
static const struct {
	const char *from;
	const char *to;
	const char *key;
	const char *detail;
} replacement_cases[] = {
    {"\"rkv-a1\"", "\"\"", "vm", "0 bytes, out of range 1..63 bytes"},
    {"\"rkv-a1\"", "\"Rkv\"", "vm", "not a name"},
    {"\"rkv-a1\"", "\"-a\"", "vm", "not a name"},
    {"\"rkv-a1\"", "true", "vm", "string expected"},
    {"\"rkv-a1\"",
	"\"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\"",
	"vm", "64 bytes, out of range 1..63"},
    {"\"127.0.0.1\"", "\"localhost\"", "address", "not an IP address"},
    {"\"127.0.0.1\"", "\"127.0.0.256\"", "address", "not an IP address"},
    {"8001", "0", "caller_port", "0 is out of range 1..65535"},
    {"8001", "65536", "caller_port", "65536 is out of range 1..65535"},
    {"8002", "8001", "peer_port", "must differ"},
    {"8003", "8002", "operator_port", "must differ"},
    {"0123456789abcdef", "short", "operator_token", "out of range 16..127"},
    {"0123456789abcdef", "0123456789abcde\\u0007", "operator_token",
	"printable ASCII"},
    {"{\"address\":\"127.0.0.1\",\"port\":9000}", "7", "platform",
	"object expected"},
};

static void
assert_rejected(const char *text, size_t len, msp_status_t status,
    const char *key, const char *detail)
{
	msp_settings_t settings;
	const char *message;

	if (msp_parse_settings(text, len, "vm.json", &settings) != status)
		fail_msg("%s: not %s but %s", text, msp_status_name(status),
		    msp_last_message());
	message = msp_last_message();
	if (strncmp(message, "vm.json: ", 9) != 0 ||
	    strstr(message, key) == NULL || strstr(message, detail) == NULL)
		fail_msg("%s: message \"%s\"", text, message);
}

static void
invalid_settings_errors_contain_key_and_reason(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(invalid_cases) / sizeof(invalid_cases[0]); i++)
		assert_rejected(invalid_cases[i].text,
		    strlen(invalid_cases[i].text), invalid_cases[i].status,
		    invalid_cases[i].key, invalid_cases[i].detail);
}

static void
invalid_value_errors_contain_key_and_reason(void **state)
{
	static const char minimal[] = "{" MINIMAL "}";
	const char *match;
	char text[1024];
	size_t i;

	(void)state;
	for (i = 0;
	     i < sizeof(replacement_cases) / sizeof(replacement_cases[0]);
	     i++) {
		match = strstr(minimal, replacement_cases[i].from);
		assert_non_null(match);
		snprintf(text, sizeof(text), "%.*s%s%s", (int)(match - minimal),
		    minimal, replacement_cases[i].to,
		    match + strlen(replacement_cases[i].from));
		assert_rejected(text, strlen(text), MSP_E_RANGE,
		    replacement_cases[i].key, replacement_cases[i].detail);
	}
}

static void
every_truncation_is_rejected(void **state)
{
	static const char complete[] =
	    "{" MINIMAL ",\"seeds\":[{\"address\":\"::1\","
	    "\"peer_port\":7}],\"log\":{}}";
	msp_settings_t settings;
	size_t len;
	char *truncated;

	(void)state;
	for (len = 0; len < sizeof(complete) - 1; len++) {
		truncated = malloc(len + 1);
		assert_non_null(truncated);
		memcpy(truncated, complete, len);
		truncated[len] = '\0';
		assert_int_equal(
		    msp_parse_settings(truncated, len, "truncated", &settings),
		    MSP_E_SYNTAX);
		free(truncated);
	}
	assert_int_equal(
	    msp_parse_settings(complete, len, "complete", &settings), MSP_OK);
	msp_drop_settings(&settings);
}

static void
file_with_comments_gets_defaults(void **state)
{
	static const char text[] =
	    "// a VM\n{" MINIMAL ", /* more */ \"seeds\":[{\"address\":"
	    "\"0:0::1\",\"peer_port\":7}]}\n";
	char path[] = "/tmp/settings-XXXXXX";
	msp_settings_t settings;
	int fd = mkstemp(path);

	(void)state;
	assert_true(fd >= 0);
	assert_int_equal(write(fd, text, strlen(text)), strlen(text));
	close(fd);
	assert_int_equal(msp_load_settings(path, &settings), MSP_OK);
	unlink(path);
	assert_string_equal(settings.vm, "rkv-a1");
	assert_int_equal(settings.operator_port, 8003);
	assert_int_equal(settings.platform.port, 9000);
	assert_int_equal(settings.seed_count, 1);
	assert_string_equal(settings.seeds[0].address, "::1");
	assert_int_equal(settings.limits.max_body_bytes, 1 << 20);
	assert_int_equal(settings.claim_batch_ms, 5);
	assert_int_equal(settings.log.level, MSP_LOG_INFO);
	assert_string_equal(settings.log.file, "");
	msp_drop_settings(&settings);
	assert_int_equal(msp_load_settings(path, &settings), MSP_E_IO);
	assert_non_null(strstr(msp_last_message(), path));
}

static void
help_lists_every_key(void **state)
{
	static const char *const keys[] = {"operator_token", "platform.port",
	    "seeds[].peer_port", "limits.max_answer_bytes", "log.level",
	    "claim_retention_s"};
	msp_buffer_t help = {0};
	size_t i;

	(void)state;
	assert_int_equal(msp_print_settings_help(&help), MSP_OK);
	for (i = 0; i < sizeof(keys) / sizeof(keys[0]); i++)
		assert_non_null(strstr(msp_buffer_text(&help), keys[i]));
	msp_drop_buffer(&help);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(invalid_settings_errors_contain_key_and_reason),
	    cmocka_unit_test(invalid_value_errors_contain_key_and_reason),
	    cmocka_unit_test(every_truncation_is_rejected),
	    cmocka_unit_test(file_with_comments_gets_defaults),
	    cmocka_unit_test(help_lists_every_key),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
