// The memory that callers make a host hold, and who gives way when it is full.
//
// Answers the load of callers that the host does not control: many of them hold
// requests of legal size at once, stop short of the end or don't read their
// responses, and stay connected. Small requests that move must be served
// meanwhile, and a large one too when there is room.
#ifndef BRONZEHUB_MEMORY_BUDGET_MEMORY_ACCOUNT_HPP
#define BRONZEHUB_MEMORY_BUDGET_MEMORY_ACCOUNT_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <string_view>
#include <vector>

#include "base/clock.hpp"

namespace bronzehub::memory_budget {

// What memory is held for.
enum class memory_cause : std::uint8_t {
    // Connection objects, whether or not a request is active.
    connections,
    // Header and trailer fields, with the memory that each one allocates.
    headers,
    // Bodies of requests, with their capacity.
    bodies,
    // Requests that follow one that is still being served.
    pipelined,
    // Bytes in the kernel of a connection that is not read at the moment.
    unread,
    // Responses of backend servers that are not complete yet.
    responses,
    // Responses that the kernel has not accepted yet.
    unsent,
};
constexpr std::size_t memory_cause_count = 7;

std::string_view to_string(memory_cause cause);

struct memory_limits {
    static constexpr std::size_t unlimited =
        std::numeric_limits<std::size_t>::max();

    // What the whole process may use.
    std::size_t process_bytes = unlimited;
    std::size_t total_bytes = unlimited;
    // Part of the total for holders of more than `small_bytes`. The rest is
    // left to small requests.
    std::size_t large_bytes = unlimited;
    // Room for the head and the body of an ordinary request.
    std::size_t small_bytes = std::size_t{32} * 1024;
    // A holder that moves less than `min_moved_fraction` of what it holds
    // within this time has stalled. The product of both is below the pace at
    // which a body must arrive to be complete within the default idle timeout.
    std::chrono::milliseconds stall_time{1000};
    double min_moved_fraction = 1.0 / 16;
};

// Returns the limits for a process that may use `memory_bytes`; unlimited if
// that is 0.
memory_limits limits_for(std::size_t memory_bytes);

class memory_holder;

// Sums what all holders hold and decides which of them give way. Performs no
// I/O. Not thread-safe. Must outlive its holders.
class memory_account {
public:
    memory_account(memory_limits limits, base::clock clock)
        : initial_limits_(limits), limits_(limits), clock_(std::move(clock)) {}
    memory_account(const memory_account&) = delete;
    memory_account& operator=(const memory_account&) = delete;

    bool is_limited() const {
        return limits_.total_bytes != memory_limits::unlimited;
    }
    std::size_t held_bytes() const { return total_; }
    std::size_t held_bytes(memory_cause cause) const {
        return by_cause_[static_cast<std::size_t>(cause)];
    }
    // Number of requests for memory that were denied for a cause.
    std::uint64_t denied_count(memory_cause cause) const {
        return denied_[static_cast<std::size_t>(cause)];
    }
    // Number of holders that had to give way to others.
    std::uint64_t given_way_count() const { return given_way_; }
    const memory_limits& limits() const { return limits_; }

    // Lowers the limits while the rest of the process takes more than what was
    // reserved for it. Must be called now and then with the resident bytes of
    // the process.
    void on_resident_bytes(std::size_t resident_bytes);

private:
    friend class memory_holder;

    void change(memory_holder& holder, memory_cause cause, std::size_t bytes);
    bool make_room(const memory_holder& asker, std::size_t added_bytes);
    bool has_room(const memory_holder& asker, std::size_t added_bytes) const;
    std::size_t large_part(std::size_t bytes) const {
        return bytes > limits_.small_bytes ? bytes : 0;
    }
    // Returns the holder that gives way first, or null. With `stalled_only`,
    // only holders that have stalled are considered.
    memory_holder* find_yielding(const memory_holder& asker,
                                 bool stalled_only) const;

    // As given, and as lowered.
    memory_limits initial_limits_;
    memory_limits limits_;
    base::clock clock_;
    std::vector<memory_holder*> holders_;
    std::array<std::size_t, memory_cause_count> by_cause_{};
    std::array<std::uint64_t, memory_cause_count> denied_{};
    std::size_t total_ = 0;
    // Sum over the holders of more than `small_bytes`.
    std::size_t large_total_ = 0;
    std::uint64_t given_way_ = 0;
};

// What a holder is waiting for, which decides whether it may have to give way.
enum class holder_state : std::uint8_t {
    // Has no request, or a whole one that waits or runs. Never gives way.
    kept,
    // Its request has not arrived completely.
    receiving,
    // Its response is complete or paused, and the caller has to read it.
    sending,
};

// What one connection holds. Releases it when destroyed. Not thread-safe.
class memory_holder {
public:
    // `give_way` must release what the holder holds, but may not destroy it.
    memory_holder(memory_account& account, std::function<void()> give_way);
    ~memory_holder();
    memory_holder(const memory_holder&) = delete;
    memory_holder& operator=(const memory_holder&) = delete;

    // Records what is held for a cause now, whether or not there is room.
    void set(memory_cause cause, std::size_t bytes) {
        if (bytes != held_for(cause)) {
            account_.change(*this, cause, bytes);
        }
    }
    // Records it only if there is room, for which others may have to give way.
    // Returns whether there is. A decrease is always recorded.
    bool try_set(memory_cause cause, std::size_t bytes);
    // Releases everything but the connection itself.
    void release();

    void set_state(holder_state state);
    // Records that bytes of the request or the response moved.
    void on_moved(std::size_t bytes);

    std::size_t held_bytes() const { return total_; }
    std::size_t held_for(memory_cause cause) const {
        return by_cause_[static_cast<std::size_t>(cause)];
    }
    // Counts a request for memory that was denied for good.
    void on_denied(memory_cause cause) {
        ++account_.denied_[static_cast<std::size_t>(cause)];
    }
    // Time since enough of what is held moved.
    base::duration still_for() const {
        return account_.clock_.now() - moved_at_;
    }
    bool has_stalled() const;

private:
    friend class memory_account;

    memory_account& account_;
    std::function<void()> give_way_;
    std::size_t index_;
    std::array<std::size_t, memory_cause_count> by_cause_{};
    std::size_t total_ = 0;
    holder_state state_ = holder_state::kept;
    // When enough bytes had moved for the last time, and the bytes since.
    base::time_point moved_at_;
    std::size_t moved_since_ = 0;
};

}  // namespace bronzehub::memory_budget

#endif
