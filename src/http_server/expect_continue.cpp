#include "http_server/expect_continue.hpp"

#include <algorithm>
#include <vector>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/str_split.h"

namespace bronzehub::http_server {
namespace {

bool is_expectation(absl::string_view line) {
    const std::vector<absl::string_view> parts =
        absl::StrSplit(line, absl::MaxSplits(':', 1));
    return parts.size() == 2 && absl::EqualsIgnoreCase(parts[0], "Expect") &&
           absl::EqualsIgnoreCase(absl::StripAsciiWhitespace(parts[1]),
                                  "100-continue");
}

}  // namespace

bool expects_continue(std::string_view received) {
    // The first test is cheap and fails for nearly every request.
    if (received.find("100-") == received.npos ||
        !received.ends_with("\r\n\r\n")) {
        return false;
    }
    const std::vector<absl::string_view> lines = absl::StrSplit(
        absl::string_view(received.data(), received.size()), "\r\n");
    return absl::EndsWith(lines.front(), " HTTP/1.1") &&
           std::ranges::any_of(lines, is_expectation);
}

}  // namespace bronzehub::http_server
