#include "base/refusal.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>
#include <string>

namespace bronzehub::base {
namespace {

// Guards against a code that was added without an entry in the table, and
// against two codes with the same name.
TEST_CASE("every refusal code has a unique name and an error status") {
    std::set<std::string_view> names;
    for (const refusal_code code : all_refusal_codes()) {
        CAPTURE(std::string(to_string(code)));
        CHECK(names.insert(to_string(code)).second);
        CHECK(http_status(code) >= 400);
        CHECK(http_status(code) < 600);
    }
    CHECK(all_refusal_codes().back() == refusal_code::internal);
    CHECK(names.size() == static_cast<std::size_t>(refusal_code::internal) + 1);
}

}  // namespace
}  // namespace bronzehub::base
