#include "entry/response_limits.hpp"

#include <catch2/catch.hpp>

using bronzehub::entry::check_head;
using bronzehub::entry::max_rejection_bytes;
using bronzehub::entry::max_response_bytes;
using bronzehub::entry::response_outline;

// Guards against a body that is read although it can't be delivered, and
// against a response that is not read although it can.
TEST_CASE("a head tells whether its response can be delivered") {
    const auto [what, response, expected] =
        GENERATE(table<std::string, response_outline, std::string>({
            {"signed", {false, true, false, {}}, ""},
            {"largest", {false, true, false, max_response_bytes}, ""},
            {"too large",
             {false, true, false, max_response_bytes + 1},
             "response body over 16777216 bytes"},
            {"unsigned",
             {false, false, false, 5},
             "response without a signature"},
            {"rejection", {false, false, true, max_rejection_bytes}, ""},
            {"large rejection",
             {false, false, true, max_rejection_bytes + 1},
             "response body over 65536 bytes"},
            {"stream", {true, true, false, max_response_bytes + 1}, ""},
        }));
    CAPTURE(what);
    CHECK(check_head(response) == expected);
}
