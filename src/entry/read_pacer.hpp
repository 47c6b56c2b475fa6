// Postpones reads of streams on a host that lacks processor time.
//
// A read or write of a stream costs about the same for one event as for
// several. A host whose event loop runs late therefore reads each stream less
// often, but often enough to forward its events within the required time.
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

    // Calls `resume` at the first `tick` at least `delay` from now.
    void defer(base::duration delay, std::function<void()> resume);

    // Resumes the reads that are due. Must be called every few ms.
    void tick();

    // Number of postponed reads.
    std::size_t deferred_count() const { return deferred_reads_.size(); }

private:
    struct deferred_read {
        base::time_point due;
        std::function<void()> resume;
    };

    base::clock clock_;
    std::vector<deferred_read> deferred_reads_;
};

}  // namespace bronzehub::entry

#endif
