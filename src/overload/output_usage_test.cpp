#include "overload/output_usage.hpp"

#include <catch2/catch.hpp>

namespace {

using bronzehub::fleet_state::request_description;
using bronzehub::overload::output_usage;

request_description make_request(std::uint32_t maximum,
                                 std::optional<std::uint32_t> estimate) {
    request_description result;
    result.prompt_tokens = 100;
    result.max_output_tokens = maximum;
    result.expected_output_tokens = estimate;
    return result;
}

}  // namespace

// Load pattern: two organisations generate 84 tokens in 12 events; one states a
// maximum of 4,096. Guards against a share that depends on what is stated.
TEST_CASE("equal streams are charged alike whatever their requests state") {
    const auto [maximum, estimate] =
        GENERATE(table<std::uint32_t, std::optional<std::uint32_t>>({
            {4096, std::nullopt},
            {4096, 4096},
            {4096, 1},
            {96, 84},
        }));
    output_usage tested;
    const auto honest = make_request(96, 84);
    const auto other = make_request(maximum, estimate);
    std::optional<double> honest_tokens;
    std::optional<double> other_tokens;
    for (int round = 0; round < 200; ++round) {
        honest_tokens = tested.on_ended({"honest", "r"}, "s", honest, 12, true);
        other_tokens = tested.on_ended({"other", "r"}, "s", other, 12, true);
    }
    REQUIRE(honest_tokens.has_value());
    CHECK(*other_tokens == Approx(*honest_tokens).epsilon(0.06));
    CHECK(
        tested.expected_tokens({"other", "r"}, other) ==
        Approx(tested.expected_tokens({"honest", "r"}, honest)).epsilon(0.06));
    CHECK(*honest_tokens <= 96);
}

// Guards against a correction by a number that nothing has shown yet.
TEST_CASE("nothing is corrected before the tokens of an event are known") {
    output_usage tested;
    const auto request = make_request(4096, std::nullopt);
    for (std::uint32_t i = 0; i + 1 < output_usage::min_streams; ++i) {
        CHECK_FALSE(tested.on_ended({"a", "r"}, "s", request, 12, true));
        CHECK_FALSE(tested.on_ended({"a", "r"}, "s", request, 3, true));
        CHECK_FALSE(tested.on_ended({"a", "r"}, "s", request, 12, false));
    }
    CHECK(tested.expected_tokens({"a", "r"}, request) == 2048);
    CHECK(tested.on_ended({"a", "r"}, "s", request, 12, true));
}

// Guards against a learnt length that is charged above the stated maximum, at
// which an engine stops.
TEST_CASE("a request is not charged above its maximum") {
    output_usage tested;
    for (int round = 0; round < 100; ++round) {
        tested.on_ended({"a", "r"}, "s", make_request(700, 10), 100, true);
    }
    CHECK(tested.expected_tokens({"a", "r"}, make_request(50, 40)) <= 50);
}
