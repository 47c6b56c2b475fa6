// Decides when a host reads the store itself.
//
// Store calls are the scarcest resource of a large fleet; if every host read
// the store, their number would grow with the fleet. Therefore one host of each
// failure domain reads and forwards what it read. The others are its backups,
// each with a rank: the older the newest data that a host has, the more ranks
// read the store themselves. The next rank thus takes over from a reader that
// fails, and every host reads when no host forwards data.
//
// Load patterns: hundreds of hosts that start within a second; a reader that is
// lost or can't reach the store; a store that is down for all hosts or turns
// some of them away, which must not make every host call it again and again.
// The class performs no I/O; its owner reads the store.
#ifndef BRONZEHUB_FLEET_STATE_READ_SCHEDULE_HPP
#define BRONZEHUB_FLEET_STATE_READ_SCHEDULE_HPP

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <set>
#include <span>
#include <string>
#include <string_view>

#include "base/clock.hpp"

namespace bronzehub::fleet_state {

// What is read from the store.
enum class store_data : std::uint8_t { configuration, servers };

// The readers' intervals and ages, derived from the age at which data must not
// be acted on any more.
struct read_schedule_options {
    // Interval at which the reader confirms its data.
    base::duration read_interval{};
    // Age of the data above which the host of rank 1 reads.
    base::duration first_backup_age{};
    // Age of the data above which every host reads.
    base::duration max_backup_age{};
    // Delay after a failed read. It doubles with each further failure, up to
    // `max_backoff` for the hosts of the lowest ranks. For the others, both
    // grow with the rank, the maximum up to `max_backup_backoff`: the hosts of
    // a failure domain together still notice at once when the store answers
    // again.
    base::duration initial_backoff = std::chrono::milliseconds(100);
    base::duration max_backoff = std::chrono::milliseconds(800);
    base::duration max_backup_backoff = std::chrono::milliseconds(4800);
};

// Returns the options for data that must not be older than `max_age`.
read_schedule_options make_read_schedule_options(base::duration max_age);

// Rank of `self` among the hosts of its failure domain by a hash of their
// names, which all hosts compute alike. `others` may contain `self`. The host
// of rank 0 always reads.
std::size_t reader_rank(std::string_view self,
                        std::span<const std::string> others);

// Not thread-safe.
class read_schedule {
public:
    // Until data is confirmed for the first time, its age counts from now.
    read_schedule(read_schedule_options options, base::clock clock);

    const read_schedule_options& options() const { return options_; }

    // Sets the rank of this host among the readers of its failure domain.
    void set_rank(std::size_t rank) { rank_ = rank; }
    std::size_t rank() const { return rank_; }

    // Records that the data of this host was the newest at this time, as read
    // by this host or by another one.
    void on_confirmed(store_data data, base::time_point at);

    // Whether to read now.
    bool is_due(store_data data) const;
    // Whether a read that another reason requires may start now.
    bool may_read(store_data data) const;

    // Records the start and the end of a read.
    void on_read_started(store_data data);
    // Returns whether the read was started because the hosts of a lower rank
    // had confirmed nothing for too long.
    bool on_read_succeeded(store_data data);
    void on_read_failed(store_data data);
    // Postpones the next read of this data.
    void postpone(store_data data, base::duration delay);

private:
    struct data_state {
        bool in_progress = false;
        // The read in progress was due although the rank was not 0.
        bool started_as_backup = false;
        base::time_point confirmed_at;
        base::time_point next_at{};
    };

    data_state& at(store_data data) {
        return states_.at(static_cast<std::size_t>(data));
    }
    const data_state& at(store_data data) const {
        return states_.at(static_cast<std::size_t>(data));
    }
    // Age of the data above which this host reads.
    base::duration backup_age() const;
    base::duration backoff_limit() const;

    read_schedule_options options_;
    base::clock clock_;
    std::size_t rank_ = 0;
    std::array<data_state, 2> states_;
    // After a failed read, the store is called again no earlier than this, and
    // only once until a call succeeds.
    base::time_point retry_at_{};
    base::duration backoff_{};
};

}  // namespace bronzehub::fleet_state

#endif
