#include "base/clock.hpp"

namespace bronzehub::base {
namespace {

// Paused clocks start well after the epoch, so that subtracting a timeout from
// the current time does not give a negative time.
constexpr duration paused_start = std::chrono::hours(24);

time_point time_after(duration elapsed) {
    return time_point(paused_start + elapsed);
}

}  // namespace

clock monotonic_clock() {
    return clock([] { return std::chrono::steady_clock::now(); });
}

paused_clock::paused_clock()
    : elapsed_(std::make_shared<std::atomic<duration::rep>>(0)) {}

clock paused_clock::view() const {
    return clock(
        [elapsed = elapsed_] { return time_after(duration(elapsed->load())); });
}

time_point paused_clock::now() const {
    return time_after(duration(elapsed_->load()));
}

void paused_clock::advance(duration step) {
    elapsed_->fetch_add(step.count());
}

}  // namespace bronzehub::base
