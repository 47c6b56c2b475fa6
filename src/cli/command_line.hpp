// The command line of `bronzehub`: usage text, arguments and exit codes.
#ifndef BRONZEHUB_CLI_COMMAND_LINE_HPP
#define BRONZEHUB_CLI_COMMAND_LINE_HPP

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "absl/status/statusor.h"

namespace bronzehub::cli {

// Scripts depend on these numbers; docs/design.md, section 8.
enum class exit_code : std::uint8_t {
    done = 0,
    refused = 1,
    usage = 2,
    unreachable = 3,
    invalid_input = 4,
    conflict = 5,
};

enum class verb : std::uint8_t {
    help,
    version,
    check_settings,
    explain,
    status,
    dump,
    metrics,
    drain,
    plan_create,
    plan_show,
    plan_confirm,
    plan_drop,
    object_set,
    object_remove,
};

struct command_line {
    verb action = verb::help;
    std::string file;               // Of check-settings and plan create.
    std::vector<std::string> logs;  // Of explain; empty: standard input.
    std::string request;            // Id of a request.
    std::string plan;               // Id of a plan.
    std::string object_kind;  // organisation, share, key, service or backend.
    std::string object_name;
    std::vector<std::string> fields;  // FIELD=VALUE texts.
    bool json = false;
    std::string address;   // Empty: environment variable or default.
    std::string key_file;  // Empty: environment variable.
    std::chrono::seconds timeout{10};
};

// Parses the arguments after the program's name.
//
// Errors: kInvalidArgument with the reason, in one line.
absl::StatusOr<command_line> parse_command_line(
    const std::vector<std::string>& arguments);

// What --help prints: usage, options, examples and exit codes.
std::string help_text();

// Only the usage, for errors.
std::string usage_text();

}  // namespace bronzehub::cli

#endif
