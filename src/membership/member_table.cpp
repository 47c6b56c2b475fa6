#include "membership/member_table.hpp"

#include <algorithm>

namespace bronzehub::membership {
namespace {

// Order of states at the same incarnation.
int rank(member_state state) {
    switch (state) {
        case member_state::alive:
            return 0;
        case member_state::leaving:
            return 1;
        case member_state::suspect:
            return 2;
        case member_state::dead:
            return 3;
    }
    return 0;
}

bool raise_version(member& known, const member_update& claim) {
    if (claim.incarnation < known.incarnation ||
        claim.configuration_version <= known.configuration_version) {
        return false;
    }
    known.configuration_version = claim.configuration_version;
    return true;
}

bool is_sudden_death(const member& known, const member_update& claim) {
    return claim.state == member_state::dead &&
           (known.state == member_state::alive ||
            known.state == member_state::leaving);
}

bool is_refused_revival(const member& known, const member_update& claim) {
    return known.state == member_state::dead &&
           claim.state != member_state::dead &&
           claim.incarnation == known.incarnation;
}

// The sender of a view has passed its content on already, except to the other
// side of a partition.
bool is_news(claim_source source) {
    return source == claim_source::gossip ||
           source == claim_source::healed_view;
}

}  // namespace

member_update to_update(const member& value) {
    return {value.host,        value.address, value.failure_domain,
            value.incarnation, value.state,   value.configuration_version};
}

claim_result member_table::apply(const member_update& claim,
                                 claim_source source, base::time_point now) {
    const auto found = members_.find(claim.host);
    if (found == members_.end()) {
        return insert(claim, source, now);
    }
    member& known = found->second;
    claim_result result{&known, known.state};
    if (is_accepted(known, claim, source)) {
        const bool sudden = is_sudden_death(known, claim);
        if (sudden && source == claim_source::healed_view) {
            result.contradicted = true;
            return result;
        }
        const bool doubted = sudden && source != claim_source::requested_view;
        result.changed = true;
        // Members that believe this one dead reject the same incarnation, so
        // passing on a revival at the same incarnation is useless.
        result.pass_on =
            is_news(source) && (claim.incarnation > known.incarnation ||
                                rank(claim.state) > rank(known.state));
        write(known, claim, doubted ? member_state::suspect : claim.state, now);
    }
    result.contradicted = result.contradicted ||
                          (source == claim_source::view && !result.changed &&
                           is_refused_revival(known, claim));
    result.version_raised = raise_version(known, claim);
    return result;
}

bool member_table::is_accepted(const member& known, const member_update& claim,
                               claim_source source) {
    if (claim.incarnation != known.incarnation) {
        return claim.incarnation > known.incarnation;
    }
    const bool revival =
        known.state == member_state::dead && claim.state != member_state::dead;
    return rank(claim.state) > rank(known.state) ||
           (revival && (source == claim_source::healed_view ||
                        source == claim_source::requested_view));
}

claim_result member_table::insert(const member_update& claim,
                                  claim_source source, base::time_point now) {
    member& added = members_[claim.host];
    added.host = claim.host;
    added.state = member_state::alive;
    write(added, claim, claim.state, now);
    added.since = now;
    added.configuration_version = claim.configuration_version;
    claim_result result{&added, std::nullopt, true, is_news(source)};
    result.version_raised = claim.configuration_version > 0;
    return result;
}

void member_table::write(member& known, const member_update& claim,
                         member_state state, base::time_point now) {
    if (known.state != state) {
        known.since = now;
    }
    dead_count_ += state == member_state::dead ? 1 : 0;
    dead_count_ -= known.state == member_state::dead ? 1 : 0;
    known.leaving = state == member_state::leaving ||
                    (known.leaving && state != member_state::alive);
    known.address = claim.address;
    known.failure_domain = claim.failure_domain;
    known.incarnation = claim.incarnation;
    known.state = state;
}

const member* member_table::find(const base::host_id& host) const {
    const auto found = members_.find(host);
    return found == members_.end() ? nullptr : &found->second;
}

bool member_table::is_dead(const base::host_id& host) const {
    const member* known = find(host);
    return known != nullptr && known->state == member_state::dead;
}

void member_table::forget_dead(base::time_point oldest) {
    dead_count_ -= std::erase_if(members_, [oldest](const auto& entry) {
        return entry.second.state == member_state::dead &&
               entry.second.since < oldest;
    });
}

}  // namespace bronzehub::membership
