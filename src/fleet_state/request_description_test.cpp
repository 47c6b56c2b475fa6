#include "fleet_state/request_description.hpp"

#include <catch2/catch.hpp>

namespace {

using bronzehub::fleet_state::is_rejected_for_weights;
using bronzehub::fleet_state::request_description;
using bronzehub::fleet_state::response_description;

using version = std::optional<std::uint64_t>;
using server_id = std::optional<std::string>;

}  // namespace

// Guards against a server that is left out for all callers because one caller
// expects other weights, and against requests to an address whose owner
// changed.
TEST_CASE("a misdirected request tells why it was rejected") {
    const auto [expects, expected, id, weights, for_weights] =
        GENERATE(table<bool, version, server_id, version, bool>({
            {false, {}, {}, {}, false},
            {false, {}, "a", 2, false},
            {true, 1, {}, {}, true},
            {true, 1, {}, 2, true},
            {true, 1, "a", 2, true},
            {true, {}, "a", 2, true},
            {true, 1, "b", 2, false},
            // The expectation is met, so the rejection has another reason.
            {true, 1, {}, 1, false},
        }));
    request_description request;
    request.expects_weights = expects;
    request.expected_weights = expected;
    response_description rejection;
    rejection.server_id = id;
    rejection.weights = weights;
    CHECK(is_rejected_for_weights(request, rejection, "a") == for_weights);
}
