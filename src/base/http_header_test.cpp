#include "base/http_header.hpp"

#include <catch2/catch.hpp>

namespace bronzehub::base {
namespace {

// Guards against a lookup that depends on upper and lower case in a field name.
TEST_CASE("header lookup ignores case and returns the first value") {
    const http_headers headers{{"Retry-After", "1"}, {"RETRY-AFTER", "2"}};
    CHECK(find_header(headers, "retry-after") == "1");
    CHECK_FALSE(find_header(headers, "retry").has_value());
}

// Guards against response splitting: a value that is copied from a request must
// not end its header line.
TEST_CASE("a header with control characters is invalid") {
    const auto [name, value, valid] =
        GENERATE(table<std::string, std::string, bool>({
            {"X-Request-Id", "a b\t\xc3\xa9", true},
            {"X-Request-Id", "a\r\nSet-Cookie: b", false},
            {"X-Request-Id", std::string("a\0b", 3), false},
            {"X Request", "a", false},
            {"X:", "a", false},
            {"", "a", false},
        }));
    CHECK(is_valid_header({name, value}) == valid);
}

// Guards against forwarding fields of one connection to the next.
TEST_CASE("connection and framing fields are hop-by-hop") {
    CHECK(is_hop_by_hop_header("Transfer-Encoding"));
    CHECK_FALSE(is_hop_by_hop_header("Authorization"));
}

}  // namespace
}  // namespace bronzehub::base
