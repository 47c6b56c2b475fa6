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
    void defer(base::duration delay, std::function<void()> resume);

    // Call every few ms.
    void tick();

    std::size_t deferred_count() const { return deferred_.size(); }

private:
    struct deferred_read {
        base::time_point due;
        std::function<void()> resume;
    };

    base::clock clock_;
    std::vector<deferred_read> deferred_;
};

}  // namespace bronzehub::entry

#endif
