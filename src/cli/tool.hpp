// What each command of `bronzehub` does.
#ifndef BRONZEHUB_CLI_TOOL_HPP
#define BRONZEHUB_CLI_TOOL_HPP

#include <functional>
#include <iosfwd>
#include <optional>
#include <string>

#include "absl/status/statusor.h"
#include "cli/admin_client.hpp"
#include "cli/command_line.hpp"

namespace bronzehub::cli {

// Everything outside the program. Hooks, so that tests need no daemon.
struct tool_environment {
    admin_sender send;
    // Reads a file; "-" is standard input.
    std::function<absl::StatusOr<std::string>(const std::string& path)>
        read_file;
    std::function<std::optional<std::string>(const std::string& name)> variable;
    std::ostream& out;
    std::ostream& error;
};

// Runs the program with the arguments after its name. Results go to `out`,
// errors with cause and remedy to `error`.
exit_code run_tool(const std::vector<std::string>& arguments,
                   const tool_environment& environment);

// The intent that sets fields of an object, or removes it, as JSON for
// POST /admin/v1/plans:
//   {"reason": "organisation set north",
//    "changes": [{"action": "set", "kind": "organisation", "name": "north",
//                 "fields": {"default_weight": 2}}]}
// A value that is JSON keeps its type; any other text is a string.
//
// Errors: kInvalidArgument for a field that is not FIELD=VALUE or comes twice.
absl::StatusOr<std::string> make_intent(const command_line& command);

}  // namespace bronzehub::cli

#endif
