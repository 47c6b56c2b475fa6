#include "configuration/snapshot_holder.hpp"

#include <urcu/urcu-memb.h>

namespace bronzehub::configuration {
namespace {

// liburcu does not allow a thread to register twice.
thread_local int registrations = 0;

}  // namespace

rcu_thread::rcu_thread() {
    if (registrations++ == 0) {
        urcu_memb_register_thread();
    }
}

rcu_thread::~rcu_thread() {
    if (--registrations == 0) {
        urcu_memb_unregister_thread();
    }
}

struct snapshot_holder::node {
    snapshot_pointer snapshot;
};

snapshot_holder::snapshot_holder() = default;

snapshot_holder::~snapshot_holder() {
    delete current_;
}

bool snapshot_holder::accept(snapshot_pointer next) {
    const std::lock_guard lock(writers_);
    if (next == nullptr || next->version() <= version_.load()) {
        return false;
    }
    const std::uint64_t version = next->version();
    const std::unique_ptr<node> replaced(current_);
    rcu_assign_pointer(current_, new node{std::move(next)});
    version_.store(version);
    urcu_memb_synchronize_rcu();
    return true;
}

snapshot_pointer snapshot_holder::share() const {
    urcu_memb_read_lock();
    const node* held = rcu_dereference(current_);
    snapshot_pointer shared = held == nullptr ? nullptr : held->snapshot;
    urcu_memb_read_unlock();
    return shared;
}

snapshot_guard::snapshot_guard(const snapshot_holder& holder) {
    urcu_memb_read_lock();
    const snapshot_holder::node* held = rcu_dereference(holder.current_);
    snapshot_ = held == nullptr ? nullptr : held->snapshot.get();
}

snapshot_guard::~snapshot_guard() {
    urcu_memb_read_unlock();
}

}  // namespace bronzehub::configuration
