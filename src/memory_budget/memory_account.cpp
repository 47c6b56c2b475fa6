#include "memory_budget/memory_account.hpp"

#include <algorithm>
#include <utility>

namespace bronzehub::memory_budget {
namespace {

using std::chrono::duration;

// Memory for what is not counted: the program, what it knows about the fleet,
// and buffers that are used for a moment only.
constexpr std::size_t min_reserve_bytes = std::size_t{32} * 1024 * 1024;
constexpr double reserve_fraction = 0.25;
// The rest of the memory is lost to rounding and fragmentation.
constexpr double usable_fraction = 0.75;
constexpr double large_fraction = 0.75;
// Part of its memory that the process uses at most; the rest is for what it
// allocates until it is measured again.
constexpr double max_process_fraction = 0.9;
// The least size of an account, for a few requests of the largest body size.
constexpr std::size_t min_account_bytes = std::size_t{16} * 1024 * 1024;

std::size_t scaled(std::size_t bytes, double fraction) {
    return static_cast<std::size_t>(static_cast<double>(bytes) * fraction);
}

}  // namespace

std::string_view to_string(memory_cause cause) {
    constexpr std::array<std::string_view, memory_cause_count> names{
        "connections", "headers",   "bodies", "pipelined",
        "unread",      "responses", "unsent"};
    return names[static_cast<std::size_t>(cause)];
}

memory_limits limits_for(std::size_t memory_bytes) {
    memory_limits limits;
    if (memory_bytes == 0) {
        return limits;
    }
    const std::size_t reserve =
        std::max(min_reserve_bytes, scaled(memory_bytes, reserve_fraction));
    const std::size_t rest =
        memory_bytes > reserve ? memory_bytes - reserve : 0;
    limits.process_bytes = memory_bytes;
    limits.total_bytes =
        std::max(min_account_bytes, scaled(rest, usable_fraction));
    limits.large_bytes = scaled(limits.total_bytes, large_fraction);
    return limits;
}

void memory_account::on_resident_bytes(std::size_t resident_bytes) {
    if (!is_limited()) {
        return;
    }
    const std::size_t uncounted =
        resident_bytes > total_ ? resident_bytes - total_ : 0;
    const std::size_t usable =
        scaled(limits_.process_bytes, max_process_fraction);
    const std::size_t rest = usable > uncounted ? usable - uncounted : 0;
    limits_.total_bytes = std::min(initial_limits_.total_bytes,
                                   std::max(min_account_bytes, rest));
    limits_.large_bytes = scaled(limits_.total_bytes, large_fraction);
}

void memory_account::change(memory_holder& holder, memory_cause cause,
                            std::size_t bytes) {
    auto& held = holder.by_cause_[static_cast<std::size_t>(cause)];
    auto& sum = by_cause_[static_cast<std::size_t>(cause)];
    const std::size_t before = holder.total_;
    sum = sum - held + bytes;
    holder.total_ = before - held + bytes;
    total_ = total_ - held + bytes;
    held = bytes;
    large_total_ =
        large_total_ - large_part(before) + large_part(holder.total_);
}

bool memory_account::has_room(const memory_holder& asker,
                              std::size_t added_bytes) const {
    if (total_ + added_bytes > limits_.total_bytes) {
        return false;
    }
    const std::size_t after = asker.total_ + added_bytes;
    return after <= limits_.small_bytes ||
           large_total_ - large_part(asker.total_) + after <=
               limits_.large_bytes;
}

memory_holder* memory_account::find_yielding(const memory_holder& asker,
                                             bool stalled_only) const {
    const base::time_point now = clock_.now();
    // Bytes times the time for which they have stood still.
    const auto weight = [now](const memory_holder* holder) {
        return static_cast<double>(holder->total_) *
               (1e-3 + duration<double>(now - holder->moved_at_).count());
    };
    memory_holder* result = nullptr;
    for (memory_holder* holder : holders_) {
        const bool may_yield =
            holder != &asker && holder->state_ != holder_state::kept &&
            holder->total_ > holder->held_for(memory_cause::connections) &&
            (stalled_only ? holder->has_stalled()
                          : holder->state_ == holder_state::receiving &&
                                holder->total_ > limits_.small_bytes);
        if (may_yield && (!result || weight(holder) > weight(result))) {
            result = holder;
        }
    }
    return result;
}

bool memory_account::make_room(const memory_holder& asker,
                               std::size_t added_bytes) {
    // A small request may also take the place of a large one that still
    // arrives.
    const bool is_small = asker.total_ + added_bytes <= limits_.small_bytes;
    for (const bool stalled_only : {true, false}) {
        while ((stalled_only || is_small) && !has_room(asker, added_bytes)) {
            memory_holder* yielding = find_yielding(asker, stalled_only);
            if (yielding == nullptr) {
                break;
            }
            ++given_way_;
            const std::size_t before = total_;
            yielding->state_ = holder_state::kept;
            yielding->give_way_();
            if (total_ >= before) {
                break;
            }
        }
    }
    return has_room(asker, added_bytes);
}

memory_holder::memory_holder(memory_account& account,
                             std::function<void()> give_way)
    : account_(account),
      give_way_(std::move(give_way)),
      index_(account.holders_.size()),
      moved_at_(account.clock_.now()) {
    account.holders_.push_back(this);
}

memory_holder::~memory_holder() {
    release();
    set(memory_cause::connections, 0);
    memory_holder* last = account_.holders_.back();
    account_.holders_[index_] = last;
    last->index_ = index_;
    account_.holders_.pop_back();
}

bool memory_holder::try_set(memory_cause cause, std::size_t bytes) {
    const std::size_t held = held_for(cause);
    if (bytes > held && !account_.has_room(*this, bytes - held) &&
        !account_.make_room(*this, bytes - held)) {
        return false;
    }
    set(cause, bytes);
    return true;
}

void memory_holder::release() {
    for (std::size_t i = 0; i < memory_cause_count; ++i) {
        if (const auto cause = static_cast<memory_cause>(i);
            cause != memory_cause::connections) {
            set(cause, 0);
        }
    }
}

void memory_holder::set_state(holder_state state) {
    if (std::exchange(state_, state) != state) {
        moved_at_ = account_.clock_.now();
        moved_since_ = 0;
    }
}

void memory_holder::on_moved(std::size_t bytes) {
    moved_since_ += bytes;
    if (static_cast<double>(moved_since_) >=
        static_cast<double>(total_) * account_.limits_.min_moved_fraction) {
        moved_at_ = account_.clock_.now();
        moved_since_ = 0;
    }
}

bool memory_holder::has_stalled() const {
    return still_for() >= account_.limits_.stall_time;
}

}  // namespace bronzehub::memory_budget
