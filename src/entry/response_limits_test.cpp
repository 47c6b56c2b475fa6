#include "entry/response_limits.hpp"

#include <catch2/catch.hpp>

using bronzehub::entry::head_error;
using bronzehub::entry::max_rejection_bytes;
using bronzehub::entry::max_response_bytes;
using bronzehub::entry::response_overhead;
using bronzehub::entry::response_properties;

namespace {

constexpr std::size_t overhead_limit = response_overhead::max_overhead_bytes;

}  // namespace

// Guards against reading the body of a response that can't be delivered, and
// against failing a response that can.
TEST_CASE("the head of a response shows whether it can be delivered") {
    const auto [name, response, expected] =
        GENERATE(table<std::string, response_properties, std::string>({
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
    CAPTURE(name);
    CHECK(head_error(response) == expected);
}

// Guards against an unlimited number of bytes that belong to no body, and
// against failing a long body that arrives in small chunks.
TEST_CASE("what a server sends outside a response body is limited") {
    const auto [name, received, body, skipped_body, skipped, expected] =
        GENERATE(table<std::string, std::size_t, std::size_t, std::size_t, int,
                       std::string>(
            {{"nothing", 0, 0, 0, 0, ""},
             {"largest overhead", overhead_limit, 0, 0, 1, ""},
             {"too much overhead", overhead_limit + 1, 0, 0, 1,
              "over 262144 bytes besides the response body"},
             {"long body", 100 * overhead_limit, 99 * overhead_limit, 0, 0, ""},
             {"long body in chunks of a byte", 600 * overhead_limit,
              100 * overhead_limit, 0, 0, ""},
             {"chunk extensions", 100 * overhead_limit, overhead_limit, 0, 0,
              "over 262144 bytes besides the response body"},
             {"largest skipped body", max_response_bytes, 0, max_response_bytes,
              1, ""},
             {"too large a skipped body", max_response_bytes + 1, 0,
              max_response_bytes + 1, 1,
              "over 16777216 bytes of skipped responses"},
             {"most responses skipped", 100, 0, 0, 100, ""},
             {"too many responses skipped", 100, 0, 0, 101,
              "over 100 responses skipped"}}));
    CAPTURE(name);
    response_overhead overhead;
    overhead.on_received(received);
    overhead.on_body(body);
    overhead.on_skipped_body(skipped_body);
    for (int i = 0; i < skipped; ++i) {
        overhead.on_skipped_response();
    }
    CHECK(overhead.limit_error() == expected);
}
