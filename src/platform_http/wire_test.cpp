#include "platform_http/wire.hpp"

#include <catch2/catch.hpp>

namespace bronzehub::platform {
namespace {

// Guards against a write that is reported as not applied although it may
// have been, and the reverse.
TEST_CASE("each reply has the documented status for a read and a write") {
    using result = transfer_result;
    using code = absl::StatusCode;
    const auto [transfer, status, read, write] =
        GENERATE(table<transfer_result, long, code, code>({
            {result::not_sent, 0, code::kUnavailable, code::kUnavailable},
            {result::broken, 0, code::kUnavailable, code::kUnknown},
            {result::rejected, 0, code::kResourceExhausted,
             code::kResourceExhausted},
            {result::completed, 400, code::kInvalidArgument,
             code::kInvalidArgument},
            {result::completed, 408, code::kUnavailable, code::kUnknown},
            {result::completed, 429, code::kResourceExhausted,
             code::kResourceExhausted},
            {result::completed, 500, code::kUnavailable, code::kUnknown},
            {result::completed, 503, code::kUnavailable, code::kUnavailable},
            {result::completed, 504, code::kUnavailable, code::kUnknown},
            {result::completed, 200, code::kUnavailable, code::kUnknown},
            {result::completed, 302, code::kUnavailable, code::kUnknown},
        }));
    CAPTURE(status);
    const http_reply reply{transfer, status, "not JSON", "error"};
    CHECK(parse_list(reply).status().code() == read);
    CHECK(parse_transaction(reply).status().code() == write);
}

// Guards against an exception that escapes into the caller.
TEST_CASE("a value that JSON cannot carry is an invalid argument") {
    const conditional_write write{"t", "k", {}, "\xff"};
    CHECK(transact_call(std::span(&write, 1)).status().code() ==
          absl::StatusCode::kInvalidArgument);
}

}  // namespace
}  // namespace bronzehub::platform
