#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "monsoonspindle/base.h"
#include "monsoonspindle/config.h"

static msp_note_t *
parse(const char *text)
{
	msp_note_t *note;

	if (msp_parse_note(text, strlen(text), "note", &note) != MSP_OK)
		fail_msg("%s: %s", text, msp_last_message());
	return note;
}

static const struct {
	const char *text;
	const char *key;
	const char *message;
} invalid_notes[] = {
    {"", "document", "unexpected end of text"},
    {"{\"id\":\"a\"}", "document", "at least 1 item"},
    {"{\"id\":\"a\",\"id\":\"b\"}", "id", "key given twice"},
    {"{\"id\":\"a b\"}", "id", "not a name"},
    {"{\"id\":7}", "id", "string expected"},
    {"{\"ids\":7}", "ids", "unknown key"},
    {"{\"base_version\":-1}", "base_version", "out of range 0.."},
    {"{\"base_version\":1}", "base_digest", "go together"},
    {"{\"base_digest\":\"0123456789abcdef0123456789abcdef\"}", "base_version",
	"go together"},
    {"{\"base_version\":1,\"base_digest\":\"00\"}", "base_digest",
	"out of range 32..32"},
    {"{\"base_version\":1,\"base_digest\":"
     "\"0123456789ABCDEF0123456789abcdef\"}",
	"base_digest", "hex"},
    {"{\"add\":null}", "add", "object expected"},
    {"{\"add\":[]}", "add", "object expected"},
    {"{\"add\":{\"zones\":[]}}", "add.zones", "unknown key"},
    {"{\"add\":{\"regions\":{}}}", "add.regions", "list expected"},
    {"{\"add\":{\"regions\":[\"r\"]}}", "add.regions[0]", "object expected"},
    {"{\"add\":{\"regions\":[{}]}}", "add.regions[0].name", "missing"},
    {"{\"add\":{\"regions\":[{\"name\":\"r\",\"x\":1}]}}", "add.regions[0].x",
	"unknown key"},
    {"{\"withdraw\":{\"regions\":[{\"name\":\"r\"}]}}", "withdraw.regions[0]",
	"string expected"},
    {"{\"add\":{\"regions\":[{\"name\":\"r\"}]},\"withdraw\":{\"regions\":"
     "[\"r\"]}}",
	"regions.r", "more than once"},
    {"{\"add\":{\"links\":[{\"name\":\"l\",\"region_a\":\"a\",\"region_b\":"
     "\"b\",\"max_requests_per_s\":0,\"max_bytes_per_s\":1}]}}",
	"add.links[0].max_requests_per_s", "0 is out of range 1.."},
    {"{\"add\":{\"targets\":[{\"name\":\"t\",\"service\":\"s\",\"place\":"
     "\"p\",\"address\":\"10.0.0.1\",\"port\":80,\"slots\":0}]}}",
	"add.targets[0].slots", "0 is out of range 1..10000"},
    {"{\"add\":{\"targets\":[{\"name\":\"t\",\"service\":\"s\",\"place\":"
     "\"p\",\"address\":\"10.0.0\",\"port\":80,\"slots\":1}]}}",
	"add.targets[0].address", "not an IP address"},
    {"{\"add\":{\"blocks\":[{\"prefix\":\"10.0.0.1/8\",\"region\":\"r\"}]}}",
	"add.blocks[0].prefix", "bits after the prefix"},
    {"{\"add\":{\"blocks\":[{\"prefix\":\"10.0.0.0/33\",\"region\":\"r\"}]}}",
	"add.blocks[0].prefix", "33, not 0..32"},
    {"{\"add\":{\"blocks\":[{\"prefix\":\"::/129\",\"region\":\"r\"}]}}",
	"add.blocks[0].prefix", "129, not 0..128"},
    {"{\"add\":{\"blocks\":[{\"prefix\":\"10.0.0.0\",\"region\":\"r\"}]}}",
	"add.blocks[0].prefix", "IP address/bits"},
    {"{\"withdraw\":{\"blocks\":[\"10.0.0.0/-1\"]}}", "withdraw.blocks[0]",
	"0..32"},
    {"{\"add\":{\"services\":[{\"name\":\"s\",\"routes\":[{\"method\":"
     "\"GET\",\"prefix\":\"/\"}]}]}}",
	"add.services[0].routes[0].class", "missing"},
    {"{\"add\":{\"services\":[{\"name\":\"s\",\"priority\":\"speed\"}]}}",
	"add.services[0].priority", "none of latency, headroom"},
    {"{\"add\":{\"services\":[{\"name\":\"s\",\"hedging\":1}]}}",
	"add.services[0].hedging", "true or false"},
};

static void
invalid_note_errors_contain_key_and_reason(void **state)
{
	msp_note_t *note;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(invalid_notes) / sizeof(invalid_notes[0]); i++) {
		const char *text = invalid_notes[i].text;

		if (msp_parse_note(text, strlen(text), "bad.json", &note) !=
		    MSP_E_INVALID_NOTE)
			fail_msg("%s: accepted", text);
		if (strstr(msp_last_message(), "bad.json: ") == NULL ||
		    strstr(msp_last_message(), invalid_notes[i].key) == NULL ||
		    strstr(msp_last_message(), invalid_notes[i].message) ==
			NULL)
			fail_msg("%s: \"%s\"", text, msp_last_message());
	}
}

static void
conflicts_are_the_common_items(void **state)
{
	msp_note_t *a = parse("{\"withdraw\":{\"targets\":[\"t1\",\"t3\"],"
			      "\"blocks\":[\"10.0.0.0/8\"]}}");
	msp_note_t *b =
	    parse("{\"withdraw\":{\"targets\":[\"t3\",\"t4\"],"
		  "\"places\":[\"t1\"]},\"add\":{\"blocks\":["
		  "{\"prefix\":\"10.0.0.0/8\",\"region\":\"r\"}]}}");
	msp_buffer_t conflicts = {0};

	(void)state;
	assert_int_equal(msp_find_note_conflicts(a, b, &conflicts), 2);
	assert_string_equal(
	    msp_buffer_text(&conflicts), "target t3, block 10.0.0.0/8");
	msp_drop_buffer(&conflicts);
	msp_drop_note(a);
	msp_drop_note(b);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(invalid_note_errors_contain_key_and_reason),
	    cmocka_unit_test(conflicts_are_the_common_items),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
