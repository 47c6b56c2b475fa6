#include "entry/read_pacer.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace bronzehub::entry {

void read_pacer::defer(base::duration delay, std::function<void()> resume) {
    deferred_reads_.push_back({clock_.now() + delay, std::move(resume)});
}

void read_pacer::tick() {
    const base::time_point now = clock_.now();
    // The list is replaced first, because `resume` may call `defer`.
    std::vector<deferred_read> due;
    std::vector<deferred_read> not_due;
    std::ranges::partition_copy(
        deferred_reads_, std::back_inserter(due), std::back_inserter(not_due),
        [now](const deferred_read& read) { return read.due <= now; });
    deferred_reads_ = std::move(not_due);
    std::ranges::for_each(due,
                          [](const deferred_read& read) { read.resume(); });
}

}  // namespace bronzehub::entry
