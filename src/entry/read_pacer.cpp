#include "entry/read_pacer.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace bronzehub::entry {

void read_pacer::defer(base::duration delay, std::function<void()> resume) {
    deferred_.push_back({clock_.now() + delay, std::move(resume)});
}

void read_pacer::tick() {
    const base::time_point now = clock_.now();
    // A resumed read may hold back the next one, so the list is replaced first.
    std::vector<deferred_read> due;
    std::vector<deferred_read> later;
    std::ranges::partition_copy(
        deferred_, std::back_inserter(due), std::back_inserter(later),
        [now](const deferred_read& read) { return read.due <= now; });
    deferred_ = std::move(later);
    std::ranges::for_each(due,
                          [](const deferred_read& read) { read.resume(); });
}

}  // namespace bronzehub::entry
