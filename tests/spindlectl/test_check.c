#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>
#include <sys/wait.h>

/* The command check of spindlectl, run as operators do. */

#define OUTPUT_SIZE 8192
#define ROUTE(name_, prefix_, members_)                       \
	"{\"name\":\"" name_ "\",\"host\":\"A.example\","     \
	"\"prefix\":\"" prefix_ "\",\"kind\":\"idempotent\"," \
	"\"timeoutMs\":2000,\"targetLatencyMs\":500" members_ "}"
#define DESK ",\"service\":\"desk\""
#define DOCUMENT(version_, routes_, services_, more_)        \
	"{\"version\":\"" version_ "\",\"routes\":[" routes_ \
	"],\"services\":[" services_ "]" more_ "}"
#define ONE_SERVICE "{\"name\":\"desk\"}"
#define PLAIN DOCUMENT("r7", ROUTE("a", "/a/", DESK), ONE_SERVICE, "")
#define WITH(organisations_)                                 \
	DOCUMENT("r8", ROUTE("a", "/a/", DESK), ONE_SERVICE, \
	    ",\"tenants\":[" organisations_ "]")
#define NORTH \
	"{\"name\":\"north\",\"apiKeys\":[\"k\"],\"ratePerS\":5,\"burst\":5}"

typedef struct check_case {
	const char *name;
	const char *document;
	const char *against; /* NULL: no comparison */
	const char *arguments;
	int code;
	const char *lines[4]; /* each is a part of the output */
} check_case_t;

static const check_case_t cases[] = {
    {"clean", PLAIN, NULL, "", 0, {"clean"}},
    {"no document", "{", NULL, "", 2, {"error: document: "}},
    {"an empty document", "{}", NULL, "", 2,
	{"error: version: ", "error: routes: ", "error: services: "}},
    {"all that can't be read",
	DOCUMENT("7", ROUTE("a", "/a/", "") "," ROUTE("b", "/b/", DESK) ",5",
	    ONE_SERVICE ",{}", ""),
	NULL, "", 2,
	{"error: version: ", "error: services[1]: ", "error: routes[0]: ",
	    "error: routes[2]: "}},
    {"an unknown service",
	DOCUMENT(
	    "r7", ROUTE("a", "/a/", ",\"service\":\"none\""), ONE_SERVICE, ""),
	NULL, "", 2,
	{"error: route a: ", "no service \"none\"",
	    "warning: service desk: no route"}},
    {"prefixes",
	DOCUMENT("r7",
	    ROUTE("a", "/a/", DESK) "," ROUTE("b", "/a/", DESK) "," ROUTE(
		"c", "/c", DESK),
	    ONE_SERVICE, ""),
	NULL, "", 2,
	{"error: route b: never matches: route a has its host and prefix",
	    "error: route c: "}},
    {"weights",
	DOCUMENT("r7",
	    ROUTE("a", "/a/",
		",\"backends\":[{\"service\":\"desk\",\"weight\":1},"
		"{\"service\":\"vault\",\"weight\":0}]"),
	    ONE_SERVICE ",{\"name\":\"vault\"}", ""),
	NULL, "", 1, {"warning: route a: service vault has the weight 0"}},
    {"objective above the timeout",
	DOCUMENT("r7",
	    "{\"name\":\"a\",\"host\":\"h\",\"prefix\":\"/\",\"kind\":"
	    "\"idempotent\",\"timeoutMs\":100,\"targetLatencyMs\":101" DESK "}",
	    ONE_SERVICE, ""),
	NULL, "", 1, {"warning: route a: its latency objective of 101 ms"}},
    {"homes without a data centre",
	DOCUMENT("r7", ROUTE("a", "/a/", DESK ",\"homeRegions\":[\"n\",\"m\"]"),
	    ONE_SERVICE, ""),
	NULL, "--region m", 1,
	{"warning: route a: no data centre is in its home region n"}},
    {"homes with nothing in common",
	DOCUMENT("r7", ROUTE("a", "/a/", DESK ",\"homeRegions\":[\"n\"]"),
	    ONE_SERVICE,
	    ",\"tenants\":[{\"name\":\"o\",\"apiKeys\":[\"k\"],"
	    "\"homeRegions\":[\"m\"]}]"),
	NULL, "", 1, {"warning: organisation o: is refused on route a"}},
    {"an organisation without keys", WITH("{\"name\":\"o\",\"apiKeys\":[]}"),
	NULL, "", 1, {"warning: organisation o: has no key"}},
    {"two organisations with a key",
	WITH(NORTH ",{\"name\":\"o\",\"apiKeys\":[\"k\"]}"), NULL, "", 2,
	{"error: tenants: organisations north and o have the same key"}},
    {"limits",
	WITH("{\"name\":\"o\",\"apiKeys\":[\"k\"],\"ratePerS\":5,"
	     "\"burst\":2}"),
	NULL, "--vms 9", 1,
	{"warning: organisation o: its burst of 2 is less",
	    "note: organisation o: its rate of 5 a second is below"}},
    {"no change", PLAIN, PLAIN, "", 1, {"warning: version: 7 is not above 7"}},
    {"routes that change",
	DOCUMENT("r8",
	    ROUTE("a", "/a/", ",\"service\":\"vault\"") "," ROUTE(
		"b", "/b/", DESK),
	    ONE_SERVICE ",{\"name\":\"vault\"}", ""),
	PLAIN, "", 0,
	{"note: route a: service vault gets 100% of its requests, 0% before",
	    "note: route a: service desk gets none",
	    "note: route b: is added for a.example/b/",
	    "note: service vault: is added"}},
    {"services that change",
	DOCUMENT("r8", ROUTE("a", "/a/", DESK),
	    "{\"name\":\"desk\",\"healthPath\":\"/h\",\"maxConns\":7,"
	    "\"coldPerS\":2.5,\"coldStartS\":3}",
	    ""),
	PLAIN, "", 0,
	{"note: service desk: health path: \"/h\", \"\" before",
	    "note: service desk: connections to a target: 7, 0 before",
	    "note: service desk: requests a second of a cold target: 2.5, 0",
	    "note: service desk: time until warm, ms: 3000, 0 before"}},
    {"a service that is removed", PLAIN,
	DOCUMENT("r6", ROUTE("a", "/a/", DESK),
	    ONE_SERVICE ",{\"name\":\"vault\"}", ""),
	"", 0, {"note: service vault: is removed"}},
    {"a route that is removed",
	DOCUMENT("r8", ROUTE("b", "/b/", DESK), ONE_SERVICE, ""), PLAIN, "", 0,
	{"note: route a: is removed"}},
    {"organisations begin", WITH(NORTH), PLAIN, "", 0,
	{"note: organisation north: is added",
	    "note: organisations: requests need keys from now on"}},
    {"keys and limits that change",
	DOCUMENT("r9", ROUTE("a", "/a/", DESK), ONE_SERVICE,
	    ",\"tenants\":[{\"name\":\"north\",\"apiKeys\":[\"new\"],"
	    "\"ratePerS\":3,\"burst\":5}]"),
	WITH(NORTH), "", 0,
	{"is added", "is taken away: its requests get 401",
	    "note: organisation north: its rate is lowered: 3 a second, 5"}},
    {"output for programs", PLAIN, PLAIN, "--json", 1,
	{"\"level\":\"warning\"", "\"place\":\"version\""}},
    {"arguments", PLAIN, NULL, "--vms x", 2, {""}},
};

static void
write_file(const char *path, const char *text)
{
	FILE *file = fopen(path, "w");

	assert_non_null(file);
	fputs(text, file);
	fclose(file);
}

static int
run_case(const check_case_t *c, char *output, size_t size)
{
	const char *out = getenv("OUT");
	char document[] = "/tmp/check-XXXXXX";
	char against[] = "/tmp/check-XXXXXX";
	char command[512];
	FILE *pipe;
	size_t len;

	assert_non_null(out);
	close(mkstemp(document));
	close(mkstemp(against));
	write_file(document, c->document);
	write_file(against, c->against == NULL ? "" : c->against);
	snprintf(command, sizeof(command),
	    "%s/bin/spindlectl check %s %s %s %s 2>/dev/null", out, document,
	    c->arguments, c->against == NULL ? "" : "--against",
	    c->against == NULL ? "" : against);
	pipe = popen(command, "r");
	assert_non_null(pipe);
	len = fread(output, 1, size - 1, pipe);
	output[len] = '\0';
	unlink(document);
	unlink(against);
	return WEXITSTATUS(pclose(pipe));
}

static void
findings_and_exit_codes_are_as_listed(void **state)
{
	char output[OUTPUT_SIZE];
	size_t i;
	size_t j;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		const check_case_t *c = &cases[i];
		int code = run_case(c, output, sizeof(output));

		if (code != c->code)
			fail_msg("%s: exit %d\n%s", c->name, code, output);
		for (j = 0; j < 4 && c->lines[j] != NULL; j++) {
			if (strstr(output, c->lines[j]) == NULL)
				fail_msg("%s: no \"%s\" in\n%s", c->name,
				    c->lines[j], output);
		}
	}
}

/* Guards against keys in what operators pass around. */
static void
keys_are_not_printed(void **state)
{
	static const check_case_t c = {"keys",
	    DOCUMENT("r9", ROUTE("a", "/a/", DESK), ONE_SERVICE,
		",\"tenants\":[{\"name\":\"o\",\"apiKeys\":[\"secret-1\"]}]"),
	    DOCUMENT("r8", ROUTE("a", "/a/", DESK), ONE_SERVICE,
		",\"tenants\":[{\"name\":\"o\",\"apiKeys\":[\"secret-2\"]}]"),
	    "", 0, {NULL}};
	char output[OUTPUT_SIZE];

	(void)state;
	assert_int_equal(run_case(&c, output, sizeof(output)), 0);
	assert_non_null(strstr(output, "is taken away"));
	assert_null(strstr(output, "secret"));
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(findings_and_exit_codes_are_as_listed),
	    cmocka_unit_test(keys_are_not_printed),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
