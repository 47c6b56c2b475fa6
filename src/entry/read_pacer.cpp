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
    const auto due = std::ranges::stable_partition(
        held_, [now](const held_read& read) { return read.due > now; });
    // A resumed read may hold back the next one.
    std::vector<held_read> resumed(std::make_move_iterator(due.begin()),
                                   std::make_move_iterator(due.end()));
    held_.erase(due.begin(), due.end());
    std::ranges::for_each(resumed,
                          [](const held_read& read) { read.resume(); });
}

}  // namespace bronzehub::entry
