#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <argtable2.h>

#include "daemon.h"
#include "log.h"
#include "monsoonspindle/base/version.h"

#define EXIT_USAGE 2
#define ARG_ERRORS_MAX 20

static const char *const level_names[] = {
    [MSP_LOG_ERROR] = "error",
    [MSP_LOG_WARN] = "warn",
    [MSP_LOG_INFO] = "info",
    [MSP_LOG_DEBUG] = "debug",
};

static int
print_settings_help(void)
{
	msp_buffer_t text = {0};

	if (msp_print_settings_help(&text) != MSP_OK)
		return EXIT_FAILURE;
	fputs(msp_buffer_text(&text), stdout);
	msp_drop_buffer(&text);
	return EXIT_SUCCESS;
}

static int
run(const char *path, const msp_settings_t *settings, bool standalone)
{
	daemon_t *daemon;

	if (open_log(settings->vm, level_names[settings->log.level],
		settings->log.file) != MSP_OK) {
		fprintf(stderr, "spindled: %s\n", msp_last_message());
		return EXIT_USAGE;
	}
	daemon = start_daemon(settings, standalone);
	if (daemon == NULL) {
		fprintf(stderr, "spindled: %s\n", msp_last_message());
		close_log();
		return EXIT_FAILURE;
	}
	if (settings->edge.callers.port != 0 &&
	    watch_settings_file(daemon, path) != MSP_OK)
		log_error("event=settings state=not-followed error=%s",
		    msp_last_message());
	run_daemon(daemon);
	drop_daemon(daemon);
	close_log();
	return EXIT_SUCCESS;
}

static int
load_and_run(const char *path, bool check_only, bool standalone)
{
	msp_settings_t settings;
	int code = EXIT_SUCCESS;

	if (msp_load_settings(path, &settings) != MSP_OK) {
		fprintf(stderr, "spindled: %s\n", msp_last_message());
		return EXIT_USAGE;
	}
	if (check_only)
		printf("%s: settings of VM %s are valid\n", path, settings.vm);
	else
		code = run(path, &settings, standalone);
	msp_drop_settings(&settings);
	return code;
}

int
main(int argc, char **argv)
{
	struct arg_file *settings =
	    arg_file0(NULL, NULL, "SETTINGS", "settings file, JSON");
	struct arg_lit *check =
	    arg_lit0(NULL, "check", "check the settings and start nothing");
	struct arg_lit *standalone =
	    arg_lit0(NULL, "standalone", "hold the platform's store in memory");
	struct arg_lit *settings_help = arg_lit0(
	    NULL, "help-settings", "describe each key of the settings");
	struct arg_lit *help = arg_lit0("h", "help", "show this text");
	struct arg_lit *version = arg_lit0(NULL, "version", "show the version");
	struct arg_end *end = arg_end(ARG_ERRORS_MAX);
	void *table[] = {
	    settings, check, standalone, settings_help, help, version, end};
	int errors;
	int code = EXIT_SUCCESS;

	errors = arg_parse(argc, argv, table);
	if (help->count > 0) {
		printf("usage: spindled [options] SETTINGS\n");
		arg_print_glossary(stdout, table, "  %-20s %s\n");
	} else if (version->count > 0) {
		printf("spindled %s\n", MSP_VERSION);
	} else if (settings_help->count > 0) {
		code = print_settings_help();
	} else if (errors > 0 || settings->count != 1) {
		arg_print_errors(stderr, end, "spindled");
		fprintf(stderr, "usage: spindled [options] SETTINGS\n");
		code = EXIT_USAGE;
	} else {
		code = load_and_run(settings->filename[0], check->count > 0,
		    standalone->count > 0);
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return code;
}
