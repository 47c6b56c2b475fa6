#include "base/clock.hpp"

#include <catch2/catch.hpp>

namespace bronzehub::base {
namespace {

// Guards against a view that keeps the time at which it was taken.
TEST_CASE("views of a paused clock follow its advances") {
    paused_clock time;
    const clock view = time.view();
    const time_point before = view.now();

    time.advance(std::chrono::seconds(5));

    CHECK(view.now() - before == std::chrono::seconds(5));
    CHECK(view.now() == time.now());
}

}  // namespace
}  // namespace bronzehub::base
