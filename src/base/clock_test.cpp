#include "base/clock.hpp"

#include <catch2/catch.hpp>

namespace bronzehub::base {
namespace {

// Guards against a view whose time stays at the time of its creation.
TEST_CASE("a view of a paused clock advances with the clock") {
    paused_clock time;
    const clock view = time.view();
    const time_point before = view.now();

    time.advance(std::chrono::seconds(5));

    CHECK(view.now() - before == std::chrono::seconds(5));
    CHECK(view.now() == time.now());
}

}  // namespace
}  // namespace bronzehub::base
