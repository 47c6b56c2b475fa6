// The configuration in force, readable from many threads without locks.
//
// Uses liburcu (memb): a reader pays no atomic read-modify-write and never
// waits for a writer. Every reading thread holds an `rcu_thread` for as long
// as it reads.
//
// Example:
//   rcu_thread registration;                 // once per thread
//   const snapshot_guard current(holder);    // per call, short
//   if (current) { use(current->version()); }
#ifndef BRONZEHUB_CONFIGURATION_SNAPSHOT_HOLDER_HPP
#define BRONZEHUB_CONFIGURATION_SNAPSHOT_HOLDER_HPP

#include <atomic>
#include <memory>
#include <mutex>

#include "configuration/snapshot.hpp"

namespace bronzehub::configuration {

using snapshot_pointer = std::shared_ptr<const configuration_snapshot>;

// Registers the calling thread as a reader until it is destroyed. Registers
// once when nested. Must be destroyed on the thread that created it.
class rcu_thread {
public:
    rcu_thread();
    ~rcu_thread();

    rcu_thread(const rcu_thread&) = delete;
    rcu_thread& operator=(const rcu_thread&) = delete;
};

// Holds the highest version that was accepted. Thread-safe.
class snapshot_holder {
public:
    snapshot_holder();
    // No thread may read any more.
    ~snapshot_holder();

    snapshot_holder(const snapshot_holder&) = delete;
    snapshot_holder& operator=(const snapshot_holder&) = delete;

    // Takes `next` into force when its version is higher than the current
    // one; otherwise changes nothing and returns false. Waits until no reader
    // can hold the replaced pointer, so it must not be called inside a
    // `snapshot_guard`.
    bool accept(snapshot_pointer next);

    // The version in force; 0 when there is none. Needs no registration.
    std::uint64_t version() const { return version_.load(); }

    // A shared reference for work that outlives a `snapshot_guard`; null when
    // there is none. The thread must be registered.
    snapshot_pointer share() const;

private:
    friend class snapshot_guard;
    struct node;

    std::mutex writers_;
    node* current_ = nullptr;
    std::atomic<std::uint64_t> version_{0};
};

// Reads the configuration in force while it lives. Keep it short: it delays
// `accept`. The thread must be registered.
class snapshot_guard {
public:
    explicit snapshot_guard(const snapshot_holder& holder);
    ~snapshot_guard();

    snapshot_guard(const snapshot_guard&) = delete;
    snapshot_guard& operator=(const snapshot_guard&) = delete;

    explicit operator bool() const { return snapshot_ != nullptr; }
    const configuration_snapshot& operator*() const { return *snapshot_; }
    const configuration_snapshot* operator->() const { return snapshot_; }

private:
    const configuration_snapshot* snapshot_ = nullptr;
};

}  // namespace bronzehub::configuration

#endif
