// What one daemon believes of the others, and the rules by which a claim
// changes that belief.
//
// A claim with a higher incarnation wins. At the same incarnation `leaving`
// beats `alive`, `suspect` beats both, and `dead` beats `suspect`. A death
// that arrives for a member that is believed to be alive only makes it
// suspect, so that it can object before anyone acts on it.
#ifndef BRONZEHUB_MEMBERSHIP_MEMBER_TABLE_HPP
#define BRONZEHUB_MEMBERSHIP_MEMBER_TABLE_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.hpp"
#include "base/strong_id.hpp"
#include "protocol/messages.hpp"

namespace bronzehub::membership {

using protocol::member_state;
using protocol::member_update;

struct member {
    base::host_id host;
    std::string address;
    base::failure_domain_id failure_domain;
    std::uint64_t incarnation = 0;
    member_state state = member_state::alive;
    // Stays set while a leaving member is suspected; cleared by a restart.
    bool leaving = false;
    std::uint64_t configuration_version = 0;
    base::time_point since;  // When `state` last changed.

    bool is_live() const { return state != member_state::dead; }
};

member_update to_update(const member& value);

// Where a claim comes from decides how far it is trusted.
enum class claim_source : std::uint8_t {
    // Passed on by members; may be old.
    gossip,
    // The complete view of a member, trusted like gossip.
    view,
    // The same from the other side of a healed partition:
    // revives members that it reaches, without a new incarnation.
    healed_view,
    // The complete view that a daemon asked for because it has none or its own
    // is old: believed in everything that is not older than its own.
    requested_view,
};

struct claim_result {
    const member* subject = nullptr;
    // The state before the claim; nothing when the member was unknown.
    std::optional<member_state> before;
    bool changed = false;  // State, leaving mark or incarnation.
    bool pass_on = false;  // Other members should hear of it.
    // The claim was not believed, and a probe should settle who is right.
    bool contradicted = false;
    bool version_raised = false;
};

// Not thread-safe; belongs to one `membership`.
class member_table {
public:
    // Applies a claim. O(log n).
    claim_result apply(const member_update& claim, claim_source source,
                       base::time_point now);

    const member* find(const base::host_id& host) const;

    // Whether the host is remembered as dead.
    bool is_dead(const base::host_id& host) const;

    // Removes dead members whose state is older than `oldest`, so that memory
    // and views stay bounded when hosts are replaced under new names.
    void forget_dead(base::time_point oldest);

    const std::map<base::host_id, member>& all() const { return members_; }
    std::size_t dead_count() const { return dead_count_; }
    std::size_t live_count() const { return members_.size() - dead_count_; }

private:
    claim_result insert(const member_update& claim, claim_source source,
                        base::time_point now);
    static bool is_accepted(const member& known, const member_update& claim,
                            claim_source source);
    void write(member& known, const member_update& claim, member_state state,
               base::time_point now);

    std::map<base::host_id, member> members_;
    std::size_t dead_count_ = 0;
};

}  // namespace bronzehub::membership

#endif
