#include "entry/response_limits.hpp"

#include <catch2/catch.hpp>

using bronzehub::entry::head_error;
using bronzehub::entry::max_rejection_bytes;
using bronzehub::entry::max_response_bytes;
using bronzehub::entry::response_outline;
using bronzehub::entry::response_overhead;

namespace {

constexpr std::size_t limit = response_overhead::max_bytes;

}  // namespace

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
            {"stream, resumed", {true, true, false, {}, true}, ""},
            {"no stream, resumed",
             {false, true, false, 5, true},
             "no stream in answer to a resumption"},
            {"rejection, resumed", {false, false, true, 5, true}, ""},
        }));
    CAPTURE(what);
    CHECK(head_error(response) == expected);
}

// Guards against bytes without end that belong to no body, and against a long
// body in small parts that is taken for them.
TEST_CASE("what comes besides a body is limited") {
    const auto [what, received, body, skipped_body, skipped, expected] =
        GENERATE(table<std::string, std::size_t, std::size_t, std::size_t, int,
                       std::string>(
            {{"nothing", 0, 0, 0, 0, ""},
             {"largest overhead", limit, 0, 0, 1, ""},
             {"too much overhead", limit + 1, 0, 0, 1,
              "over 262144 bytes besides the response body"},
             {"long body", 100 * limit, 99 * limit, 0, 0, ""},
             {"long body in chunks of a byte", 600 * limit, 100 * limit, 0, 0,
              ""},
             {"chunk extensions", 100 * limit, limit, 0, 0,
              "over 262144 bytes besides the response body"},
             {"largest skipped body", max_response_bytes, 0, max_response_bytes,
              1, ""},
             {"too large a skipped body", max_response_bytes + 1, 0,
              max_response_bytes + 1, 1,
              "over 16777216 bytes of skipped responses"},
             {"most responses skipped", 100, 0, 0, 100, ""},
             {"too many responses skipped", 100, 0, 0, 101,
              "over 100 responses skipped"}}));
    CAPTURE(what);
    response_overhead tested;
    tested.on_received(received);
    tested.on_body(body);
    tested.on_skipped_body(skipped_body);
    for (int i = 0; i < skipped; ++i) {
        tested.on_skipped_response();
    }
    CHECK(tested.limit_error() == expected);
}
