#include "fleet_state/read_schedule.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "base/hash.hpp"

namespace bronzehub::fleet_state {
namespace {

using seconds = std::chrono::duration<double>;
using std::chrono::milliseconds;

// Shares of the greatest permitted age: a reader that misses one read is
// replaced in time, and all hosts have read before the data is too old.
constexpr double read_interval_share = 0.3;
constexpr double first_backup_share = 0.5;
constexpr double max_backup_share = 0.8;
// The servers' registrations change about once in the longer interval.
constexpr seconds shortest_read_interval{0.6};
constexpr seconds longest_read_interval{1.2};
// The age above which a host reads grows with the logarithm of its rank, so
// that the number of readers doubles in equal steps of the age. From this rank
// on, it is the greatest.
constexpr double last_rank = 64;
// The first delay of a host of a higher rank is this part of its longest one.
constexpr int initial_backoff_divisor = 4;
// Ranks whose hosts call an unreachable store as often as the reader does.
constexpr std::size_t eager_ranks = 3;

base::duration to_duration(seconds value) {
    return std::chrono::duration_cast<base::duration>(value);
}

}  // namespace

read_schedule_options make_read_schedule_options(base::duration max_age) {
    read_schedule_options result;
    const seconds age = max_age;
    result.read_interval =
        to_duration(std::clamp(read_interval_share * age,
                               shortest_read_interval, longest_read_interval));
    result.first_backup_age = to_duration(first_backup_share * age);
    result.max_backup_age = to_duration(max_backup_share * age);
    return result;
}

std::size_t reader_rank(std::string_view self,
                        std::span<const std::string> others) {
    const auto score = [](std::string_view host) {
        return std::pair(base::stable_hash(host), host);
    };
    const auto own_score = score(self);
    return static_cast<std::size_t>(
        std::ranges::count_if(others, [&](const std::string& other) {
            return other != self && score(other) > own_score;
        }));
}

read_schedule::read_schedule(read_schedule_options options, base::clock clock)
    : options_(options), clock_(std::move(clock)) {
    std::ranges::for_each(states_, [this](data_state& state) {
        state.confirmed_at = clock_.now();
    });
}

void read_schedule::on_confirmed(store_data data, base::time_point at_time) {
    data_state& state = at(data);
    state.confirmed_at = std::max(state.confirmed_at, at_time);
}

base::duration read_schedule::backup_age() const {
    const double step = std::min(
        std::log2(static_cast<double>(rank_)) / std::log2(last_rank), 1.0);
    return options_.first_backup_age +
           to_duration(step * seconds(options_.max_backup_age -
                                      options_.first_backup_age));
}

bool read_schedule::may_read(store_data data) const {
    const data_state& state = at(data);
    const base::time_point now = clock_.now();
    const bool store_failed = backoff_ > base::duration(0);
    return !state.in_progress && now >= state.next_at && now >= retry_at_ &&
           !(store_failed &&
             std::ranges::any_of(states_, &data_state::in_progress));
}

bool read_schedule::is_due(store_data data) const {
    return may_read(data) &&
           (rank_ == 0 || clock_.now() - at(data).confirmed_at > backup_age());
}

void read_schedule::on_read_started(store_data data) {
    data_state& state = at(data);
    state.started_as_backup = rank_ > 0 && is_due(data);
    state.in_progress = true;
}

bool read_schedule::on_read_succeeded(store_data data) {
    data_state& state = at(data);
    state.in_progress = false;
    backoff_ = {};
    retry_at_ = {};
    return state.started_as_backup;
}

base::duration read_schedule::backoff_limit() const {
    if (rank_ < eager_ranks) {
        return options_.max_backoff;
    }
    return std::min(options_.max_backup_backoff,
                    options_.max_backoff *
                        static_cast<base::duration::rep>(rank_) /
                        static_cast<base::duration::rep>(eager_ranks));
}

void read_schedule::on_read_failed(store_data data) {
    at(data).in_progress = false;
    const base::duration limit = backoff_limit();
    const base::duration first = rank_ < eager_ranks
                                     ? options_.initial_backoff
                                     : limit / initial_backoff_divisor;
    backoff_ =
        backoff_ == base::duration(0) ? first : std::min(2 * backoff_, limit);
    retry_at_ = clock_.now() + backoff_;
}

void read_schedule::postpone(store_data data, base::duration delay) {
    at(data).next_at = clock_.now() + delay;
}

}  // namespace bronzehub::fleet_state
