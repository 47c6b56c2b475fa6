#include "entry/read_pacer.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace bronzehub::entry {

void read_pacer::hold(base::duration hold, std::function<void()> resume) {
    held_.push_back({clock_.now() + hold, std::move(resume)});
}

void read_pacer::tick() {
    const base::time_point now = clock_.now();
    // A resumed read may hold back the next one, so the list is replaced first.
    std::vector<held_read> due;
    std::vector<held_read> later;
    std::ranges::partition_copy(
        held_, std::back_inserter(due), std::back_inserter(later),
        [now](const held_read& read) { return read.due <= now; });
    held_ = std::move(later);
    std::ranges::for_each(due, [](const held_read& read) { read.resume(); });
}

}  // namespace bronzehub::entry
