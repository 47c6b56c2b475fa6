// Connects the calls of this daemon with the claims of their idempotency keys.
#ifndef BRONZEHUB_DAEMON_CLAIM_LINK_HPP
#define BRONZEHUB_DAEMON_CLAIM_LINK_HPP

#include <functional>
#include <unordered_map>

#include "calls/call_manager.hpp"
#include "claims/claim_registry.hpp"

namespace bronzehub::daemon {

// Belongs to the decision thread. Must outlive the call manager that uses its
// hooks.
class claim_link {
public:
    // `post` runs a function later on the decision thread.
    claim_link(claims::claim_registry& registry,
               std::function<void(std::function<void()>)> post);

    calls::claim_hooks hooks();

private:
    using decided = std::function<void(calls::claim_decision)>;

    void acquire(calls::call_id id, const calls::routed_call& call,
                 decided done);
    void complete(calls::call_id id, calls::recorded_response response);
    // Runs `action` with the claim of the call and forgets the claim.
    void release(calls::call_id id,
                 const std::function<void(claims::claim_id)>& action);

    claims::claim_registry& registry_;
    std::function<void(std::function<void()>)> post_;
    std::unordered_map<calls::call_id, claims::claim_id> claims_;
};

// What a verdict on a claim means for the call that asked.
calls::claim_decision decision_of(const claims::claim_decision& decision);

}  // namespace bronzehub::daemon

#endif
