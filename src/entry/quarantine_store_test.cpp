#include "entry/quarantine_store.hpp"

#include <catch2/catch.hpp>

namespace {

using namespace std::chrono_literals;
using bronzehub::entry::decode_quarantine;
using bronzehub::entry::encode_quarantine;
using bronzehub::entry::encode_segment_key;
using bronzehub::platform_wire::stored_row;

}  // namespace

TEST_CASE("a stored quarantine lasts until its end in the store's time") {
    const stored_row row{encode_segment_key(0x91bd3f06),
                         encode_quarantine(5000ms, "host-1"), 1, false};
    CHECK(row.key == "91bd3f06");
    const auto decoded = decode_quarantine(row, 2000ms);
    REQUIRE(decoded.has_value());
    CHECK(decoded->first == 0x91bd3f06);
    CHECK(decoded->second == 3000ms);
    CHECK_FALSE(decode_quarantine(row, 5000ms).has_value());
}

// Guards against an end so late that the time left can't be represented.
TEST_CASE("a stored quarantine has a limited length") {
    const stored_row row{"12", R"({"ends_at_ms":9223372036854775807})", 1,
                         false};
    const auto decoded = decode_quarantine(row, 0ms);
    REQUIRE(decoded.has_value());
    CHECK(decoded->second == 24h);
}

// Guards against rows of other writers that quarantine a segment or end the
// process.
TEST_CASE("rows that are no quarantine are ignored") {
    const auto [key, value] = GENERATE(table<const char*, const char*>({
        {"", R"({"ends_at_ms":5000})"},
        {"xyz", R"({"ends_at_ms":5000})"},
        {"12 ", R"({"ends_at_ms":5000})"},
        {"11112222333344445", R"({"ends_at_ms":5000})"},
        {"12", ""},
        {"12", "{"},
        {"12", "[]"},
        {"12", "{}"},
        {"12", R"({"ends_at_ms":"5000"})"},
        {"12", R"({"ends_at_ms":5000.5})"},
        {"12", R"({"ends_at_ms":-1})"},
    }));
    CHECK_FALSE(decode_quarantine({key, value, 1, false}, 0ms).has_value());
}
