// The failure domains that operators evacuated: until one is taken back, no
// request may be sent to its backend servers.
//
// A host learns the set by reading the store, by watching it, or from another
// host that read it. Datagrams between hosts may be lost, duplicated and
// reordered, and a response of the store may arrive after a newer datagram.
// Each source therefore states the version of the store up to which it is
// complete, and only a newer version changes anything. The version counter of
// the store never restarts.
//
// Load pattern: a domain that is evacuated, taken back and evacuated again
// within a second, while the store turns some hosts away, is slow or discards
// its history. A host that loses all its sources keeps the last known set: a
// domain stays evacuated until the host learns that it was taken back.
#ifndef BRONZEHUB_EVACUATION_EVACUATED_DOMAINS_HPP
#define BRONZEHUB_EVACUATION_EVACUATED_DOMAINS_HPP

#include <cstdint>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bronzehub::evacuation {

using domain_set = std::set<std::string, std::less<>>;

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

    // Handles the complete set as of this version.
    set_change on_set(domain_set domains, std::uint64_t version);

    // Handles all changes after `base_version` up to `version`, oldest first.
    // Ignored if the known set is older than `base_version`.
    set_change on_changes(std::uint64_t base_version,
                          std::span<const domain_change> changes,
                          std::uint64_t version);

    // Whether a set, possibly an empty one, has been learnt. A host that does
    // not know the set must not send requests.
    bool is_known() const { return known_; }
    // The version up to which the set is complete.
    std::uint64_t version() const { return version_; }
    const domain_set& domains() const { return domains_; }

private:
    set_change apply(domain_set domains, std::uint64_t version);

    bool known_ = false;
    std::uint64_t version_ = 0;
    domain_set domains_;
};

}  // namespace bronzehub::evacuation

#endif
