// The failure domains that operators evacuated: until one is taken back, no
// request may be sent to its backend servers.
//
// A host learns the set by reading the store, by watching it, or from another
// host that read it. Datagrams between hosts may be lost, duplicated and
// reordered, and a response of the store may arrive after a newer datagram.
// Each source therefore states the era and the version of the store up to which
// it is complete, and only a newer one changes anything.
//
// With a new era, the store has lost what was written last, and the operators
// write it again. A domain that the new era doesn't name therefore stays
// evacuated, but unconfirmed: until a change in the new era takes it back, or
// until the store still lacks it when the operators have had time to write.
//
// Load pattern: a domain that is evacuated, taken back and evacuated again
// within a second, while the store turns some hosts away, is slow, discards its
// history or comes back from an older copy. A host that loses all its sources
// keeps the last known set: a domain stays evacuated until the host learns that
// it was taken back.
#ifndef BRONZEHUB_EVACUATION_EVACUATED_DOMAINS_HPP
#define BRONZEHUB_EVACUATION_EVACUATED_DOMAINS_HPP

#include <chrono>
#include <cstdint>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.hpp"
#include "fleet_state/store_version.hpp"

namespace bronzehub::evacuation {

using domain_set = std::set<std::string, std::less<>>;

// What a host knows of the evacuated domains, as it tells other hosts.
struct domain_report {
    // Version of the store up to which the report is complete.
    fleet_state::store_version version;
    // The domains that the store has as evacuated in that version.
    domain_set stored;
    // Domains evacuated in an earlier era that the store doesn't have yet.
    domain_set unconfirmed;
};

// A domain was evacuated or taken back in this version of the store.
struct domain_change {
    std::string domain;
    std::uint64_t version = 0;
    bool evacuated = false;
};

// How the set in force changed.
struct set_change {
    std::vector<std::string> added;
    std::vector<std::string> removed;

    bool is_empty() const { return added.empty() && removed.empty(); }
};

// Not thread-safe.
class evacuated_domains {
public:
    // Evacuated domains that are taken into account; the first ones by name. A
    // list of so many names fits into a datagram, and fleets have far fewer
    // domains.
    static constexpr std::size_t max_domains = 128;
    // Time from the first reading of an era within which operators write again
    // what the store lost.
    static constexpr std::chrono::seconds rewrite_time{6};

    explicit evacuated_domains(base::clock clock);

    // Handles the complete set, as the store or another host reports it. A
    // report of the known version may end the time of unconfirmed domains; an
    // older one is ignored.
    set_change on_set(domain_report report);

    // Handles all changes after `base_version` up to `version`, oldest first.
    // Ignored if the known set is older than `base_version` or newer than
    // `version`, or if these are of different eras.
    set_change on_changes(fleet_state::store_version base_version,
                          std::span<const domain_change> changes,
                          fleet_state::store_version version);

    // Whether a set, possibly an empty one, has been learnt. A host that does
    // not know the set must not send requests.
    bool is_known() const { return known_; }
    // The version up to which the set is complete.
    const fleet_state::store_version& version() const {
        return report_.version;
    }
    // The domains in force, unconfirmed ones included.
    const domain_set& domains() const { return domains_; }
    const domain_report& report() const { return report_; }

private:
    // Derives the domains in force from the report.
    set_change apply();

    base::clock clock_;
    bool known_ = false;
    domain_report report_;
    // When the store must have confirmed the unconfirmed domains.
    base::time_point confirm_until_{};
    domain_set domains_;
};

}  // namespace bronzehub::evacuation

#endif
