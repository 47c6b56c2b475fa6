// The platform's hooks over an in-memory store, with injected faults.
//
// For tests of libraries that decide over the platform. An operation takes
// effect when it is called; its callback is queued and runs from `run`, never
// inside the call, as with the real client.
//
// Example:
//   memory_platform platform;
//   lease_keeper keeper(platform.tables(), ...);
//   platform.fail_next(fault::answer_lost, operation_kind::write);
//   keeper.renew();
//   platform.run();
#ifndef BRONZEHUB_PLATFORM_MEMORY_PLATFORM_HPP
#define BRONZEHUB_PLATFORM_MEMORY_PLATFORM_HPP

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <vector>

#include "platform/memory_store.hpp"
#include "platform/platform.hpp"

namespace bronzehub::platform {

enum class fault {
    none,
    unavailable,         // kUnavailable, not applied.
    resource_exhausted,  // kResourceExhausted, not applied.
    answer_lost,         // Applied; a write gets kUnknown, a read kUnavailable.
    request_lost,        // Not applied; the same status as `answer_lost`.
    hold_request,        // Applied and answered only after `release`.
    hold_answer,         // Applied at once, answered only after `release`.
};

enum class operation_kind { any, read, write };

// Successful and failed operations since construction.
struct operation_counts {
    std::uint64_t reads = 0;  // Table, list, object and host list reads.
    std::uint64_t writes = 0;
};

// Not thread-safe. Must outlive the hooks that it hands out.
class memory_platform {
public:
    memory_platform() = default;
    memory_platform(const memory_platform&) = delete;
    memory_platform& operator=(const memory_platform&) = delete;

    table_service tables();
    object_store objects();
    host_list hosts();

    // Runs queued callbacks, and those that they queue, until none is left.
    // Returns how many ran.
    std::size_t run();
    // Runs only the queued callback that was queued first; false without one.
    bool run_one();

    // Applies to every operation of the kind until replaced.
    void set_fault(fault mode, operation_kind kind = operation_kind::any);
    // Applies to the next `count` operations of the kind, before any fault
    // that `set_fault` set. Several calls queue up.
    void fail_next(fault mode, operation_kind kind = operation_kind::any,
                   std::size_t count = 1);

    // Operations held by `hold_request` or `hold_answer`, oldest first.
    std::size_t held() const { return held_.size(); }
    // Lets one held operation continue. `index` must be below `held()`.
    void release(std::size_t index = 0);
    void release_all();

    void set_hosts(std::vector<listed_host> hosts);
    // Keeps answering with the present list, whatever `set_hosts` says.
    void freeze_hosts();
    void thaw_hosts();

    // Direct access, without faults and counts.
    memory_store& store() { return store_; }
    const operation_counts& counts() const { return counts_; }

private:
    struct planned_fault {
        fault mode;
        operation_kind kind;
    };

    // `apply` performs the operation and returns its result.
    template <class T>
    void perform(operation_kind kind,
                 const std::function<absl::StatusOr<T>()>& apply,
                 const callback<T>& done);
    void queue(std::function<void()> run) { ready_.push_back(std::move(run)); }
    fault take_fault(operation_kind kind);

    memory_store store_;
    operation_counts counts_;
    std::deque<std::function<void()>> ready_;
    std::vector<std::function<void()>> held_;
    std::vector<planned_fault> planned_;
    planned_fault lasting_{fault::none, operation_kind::any};
    std::vector<listed_host> hosts_;
    std::optional<std::vector<listed_host>> frozen_hosts_;
};

}  // namespace bronzehub::platform

#endif
