#include <string.h>

#include "ctl.h"

typedef struct command {
	const char *name;
	size_t min_args;
	size_t max_args;
	ctl_exit_t (*run)(ctl_t *ctl);
} command_t;

static const command_t commands[] = {
    {"apply", 1, 1, run_apply},
    {"diff", 1, 1, run_diff},
    {"drain", 2, 2, run_drain},
    {"history", 0, 0, run_history},
    {"status", 0, 0, run_status},
    {"members", 0, 0, run_members},
    {"doubt", 0, 4, run_doubt},
    {"metrics", 0, 0, run_metrics},
};

static const command_t *
find_command(const ctl_options_t *options)
{
	size_t i;

	for (i = 0; i < sizeof(commands) / sizeof(commands[0]); i++) {
		const command_t *command = &commands[i];

		if (strcmp(command->name, options->command) != 0)
			continue;
		if (options->arg_count >= command->min_args &&
		    options->arg_count <= command->max_args)
			return command;
		print_ctl_error("%s takes %zu to %zu arguments", command->name,
		    command->min_args, command->max_args);
		return NULL;
	}
	print_ctl_error("unknown command \"%s\"; see --help", options->command);
	return NULL;
}

int
main(int argc, char **argv)
{
	ctl_t ctl = {.env = msp_system_env()};
	const command_t *command;
	ctl_exit_t code = CTL_USAGE;

	/* explain and check read local files only: no --vm or --token is
	 * needed. */
	if (argc > 1 && strcmp(argv[1], "explain") == 0)
		return run_explain(argc - 2, argv + 2);
	if (argc > 1 && strcmp(argv[1], "check") == 0)
		return run_check(argc - 1, argv + 1);
	if (!parse_options(argc, argv, &ctl.options, &code))
		return code;
	command = find_command(&ctl.options);
	if (command == NULL)
		return CTL_USAGE;
	if (!open_ctl(&ctl)) {
		print_ctl_error("%s", msp_last_message());
		return CTL_UNREACHABLE;
	}
	code = command->run(&ctl);
	close_ctl(&ctl);
	return code;
}
