// What became of one request, from the logs of entry daemons.
#ifndef BRONZEHUB_CLI_EXPLANATION_HPP
#define BRONZEHUB_CLI_EXPLANATION_HPP

#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"

namespace bronzehub::cli {

struct log_source {
    std::string name;
    // JSON lines. Other lines, for example of a process manager, are skipped.
    std::string text;
};

// The lines of the request in order of time, and its cause in one sentence. A
// change of the host that made a decision, such as the loss of the store, is
// shown with the decision that it led to.
//
// Errors: kNotFound when no line names the request; it may have been left out,
// which the message tells.
absl::StatusOr<std::string> explain_request(
    std::string_view request_id, const std::vector<log_source>& sources);

}  // namespace bronzehub::cli

#endif
