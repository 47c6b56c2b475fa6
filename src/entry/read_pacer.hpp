// Holds back the next read of streams on a host that is short of time.
//
// Each read and write of a stream costs the same for one event as for several.
// A host that runs late reads a stream only so often that its events stay
// within the time in which they must be passed on.
#ifndef BRONZEHUB_ENTRY_READ_PACER_HPP
#define BRONZEHUB_ENTRY_READ_PACER_HPP

#include <functional>
#include <vector>

#include "base/clock.hpp"

namespace bronzehub::entry {

// Not thread-safe.
class read_pacer {
public:
    explicit read_pacer(base::clock clock) : clock_(std::move(clock)) {}

    // Calls `resume` at the first `tick` that comes at least `hold` from now.
    void hold(base::duration hold, std::function<void()> resume);

    // Call every few ms.
    void tick();

    std::size_t held() const { return held_.size(); }

private:
    struct held_read {
        base::time_point due;
        std::function<void()> resume;
    };

    base::clock clock_;
    std::vector<held_read> held_;
};

}  // namespace bronzehub::entry

#endif
