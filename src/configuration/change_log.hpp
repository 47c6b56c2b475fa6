// Recent changes and the newest configuration, for peers that are behind.
#ifndef BRONZEHUB_CONFIGURATION_CHANGE_LOG_HPP
#define BRONZEHUB_CONFIGURATION_CHANGE_LOG_HPP

#include <deque>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "configuration/change.hpp"
#include "configuration/snapshot_holder.hpp"

namespace bronzehub::configuration {

// What brings a daemon from one version to a later one: changes
// `from_version + 1` to `to_version` in order, or a snapshot at `to_version`
// when `snapshot` is not empty. Both are JSON.
struct configuration_update {
    std::uint64_t from_version = 0;
    std::uint64_t to_version = 0;
    std::vector<std::string> changes;
    std::string snapshot;
    // The newest version that the source knows, when that is above
    // `to_version`; the receiver asks again.
    std::uint64_t newest_version = 0;
};

// Not thread-safe; belongs to the decision thread. Memory is bounded by the
// limits and one configuration.
class change_log {
public:
    struct limits {
        std::size_t changes = 1024;
        std::size_t bytes = 4u << 20;
        // Changes of one update; a peer that is further behind asks again.
        std::size_t changes_per_update = 256;
    };

    change_log() : change_log(limits{}) {}
    explicit change_log(limits bounds) : limits_(bounds) {}

    // Records the changes that lead to `current`. When they do not continue
    // the log, it starts again with them; without changes it starts empty.
    void record(snapshot_pointer current, std::span<const std::string> changes);

    // Changes when the log covers everything after `have_version`, otherwise
    // a snapshot; nothing when the peer is not behind.
    std::optional<configuration_update> update_for(
        std::uint64_t have_version) const;

private:
    std::uint64_t first_version() const;
    configuration_update changes_after(std::uint64_t have_version) const;
    configuration_update snapshot_update(std::uint64_t have_version) const;
    void restart();
    void trim();

    limits limits_;
    snapshot_pointer current_;
    std::deque<std::string> changes_;  // The last leads to `current_`.
    std::size_t bytes_ = 0;
    mutable std::string snapshot_text_;  // Of `current_`, when not empty.
};

}  // namespace bronzehub::configuration

#endif
