// When the platform's store said something: the era, then the version.
//
// The store numbers its transactions with one counter. It may come back from an
// older copy; the counter then goes back, and versions are given out a second
// time. The store announces that with a new era, which is one higher than the
// last one. A version alone therefore doesn't order two readings of the store.
#ifndef BRONZEHUB_FLEET_STATE_STORE_VERSION_HPP
#define BRONZEHUB_FLEET_STATE_STORE_VERSION_HPP

#include <compare>
#include <cstdint>
#include <optional>

namespace bronzehub::fleet_state {

struct store_version {
    // 0 for a store that doesn't announce its era.
    std::uint64_t era = 0;
    std::uint64_t version = 0;

    friend auto operator<=>(const store_version&,
                            const store_version&) = default;
};

// Keeps the newest era that this host has seen in responses of the store. Not
// thread-safe.
class store_era {
public:
    enum class change : std::uint8_t {
        none,
        // The store came back from a copy, or announces its era for the first
        // time.
        risen,
        // The response is of an earlier era than the newest one.
        fallen,
        // The response doesn't tell its era although an earlier one did.
        missing
    };

    struct observation {
        // The era of the response. Without a usable announcement, the newest
        // one: a store that stops announcing its era is still used.
        std::uint64_t era = 0;
        // How that differs from the response before, so that a store that
        // repeats a fault is reported once.
        change changed = change::none;
    };

    // Handles the era that a response announces, if any.
    observation on_response(std::optional<std::uint64_t> announced);

    std::uint64_t newest() const { return newest_; }

private:
    std::uint64_t newest_ = 0;
    change last_fault_ = change::none;
};

}  // namespace bronzehub::fleet_state

#endif
