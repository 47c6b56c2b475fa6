// Membership of the entry hosts, and the assignment of engines to the hosts
// that schedule for them.
//
// Each host announces itself in a table of the store: it rewrites its row at a
// fixed interval, and a row that stays unchanged expires. A host that leaves a
// request unanswered becomes suspect for a limited time; a suspect host owns no
// engines, so its engines pass to the next host at once. This class only keeps
// state and decides; it does no I/O.
#ifndef BRONZEHUB_ENTRY_HOST_DIRECTORY_HPP
#define BRONZEHUB_ENTRY_HOST_DIRECTORY_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.hpp"

namespace bronzehub::entry {

struct entry_host {
    std::string name;
    // "IP:port" at which the host receives datagrams.
    std::string address;
    std::string failure_domain;
};

// Returns the JSON text of the row in which a host announces itself.
std::string encode_host(const entry_host& host, std::uint64_t incarnation);
// Returns nullopt if `text` is not a valid announcement.
std::optional<entry_host> decode_host(std::string_view name,
                                      std::string_view text);

// Not thread-safe.
class host_directory {
public:
    // Interval at which a host rewrites its row. Hosts also announce their
    // start and stop by datagrams; the rows are for hosts that missed those.
    static constexpr std::chrono::seconds announce_interval{60};
    // A host whose row has not changed for this long is removed.
    static constexpr std::chrono::seconds announcement_lifetime{200};
    // A host stays suspect for the initial period. The period doubles with each
    // further unanswered request, up to the maximum, until a message of the
    // host arrives.
    static constexpr std::chrono::milliseconds initial_suspicion_period{1000};
    static constexpr std::chrono::milliseconds max_suspicion_period{8000};

    host_directory(entry_host self, base::clock clock);

    // Handles the row of a host as read from the table. A row with the same
    // `row_version` as before does not extend the lifetime of the host.
    void on_announcement(const entry_host& host, std::uint64_t row_version);

    // Handles the datagram with which a host announces its start.
    void on_hello(const entry_host& host);
    // Handles the datagram with which a host announces that it is about to
    // stop. The host is not usable from then on.
    void on_leave(std::string_view name, std::uint64_t incarnation = 0);

    // Called when a host left a request unanswered. A host from which no
    // message has ever arrived, such as one whose row outlived it, stays
    // suspect for the lifetime of its row.
    void mark_suspect(std::string_view name);
    // Called for each message of a host. Messages of the incarnation that
    // announced its stop do not make the host usable again.
    void clear_suspicion(std::string_view name, std::uint64_t incarnation = 0);

    // Called when this host had to read the store as a backup: no host with a
    // lower rank forwarded what it read. Those hosts do not count as readers
    // until they forward something.
    void mark_silent_readers();
    // Called when a host forwarded what it read from the store.
    void on_forwarded(std::string_view name);

    // Returns the host that schedules for an engine, by rendezvous hashing over
    // the hosts of the engine's failure domain that are not suspect, or over
    // all hosts that are not suspect if that domain has none.
    const entry_host& owner(std::string_view engine,
                            std::string_view failure_domain) const;
    // Like the above, but leaves out the hosts in `excluded`. This host is
    // always a candidate.
    const entry_host& owner(
        std::string_view engine, std::string_view failure_domain,
        const std::set<std::string, std::less<>>& excluded) const;

    // Number of known hosts, suspect or not, that come before this host in the
    // rendezvous order of the engine. Does not depend on which hosts respond,
    // so that all hosts with the same announcements agree on it.
    std::size_t rank(std::string_view engine,
                     std::string_view failure_domain) const;

    const entry_host& self() const { return self_; }
    // Number of known hosts, this one included.
    std::size_t host_count() const;
    // The other known hosts of this host's failure domain, suspect or not.
    std::vector<entry_host> domain_peers() const;
    // The other known hosts of all failure domains, suspect or not.
    std::vector<entry_host> peers() const;
    // Rank of this host among the hosts of its failure domain that read the
    // store. Suspect hosts and silent readers do not count.
    std::size_t reader_rank() const;
    // The hosts of this failure domain to which this host forwards what
    // `origin` read from the store. The hosts form a tree with `origin` at its
    // root, so that no host sends more than `tree_degree` copies.
    std::vector<entry_host> forwarding_targets(std::string_view origin) const;
    static constexpr std::size_t tree_degree = 4;
    // Removes hosts whose last announcement is older than
    // `announcement_lifetime`.
    void remove_expired();

private:
    struct known_host {
        entry_host host;
        std::uint64_t row_version = 0;
        base::time_point last_announced_at;
        base::time_point suspect_until{};
        base::duration suspicion_period{};
        // A message of the host has arrived.
        bool heard = false;
        // Incarnation that announced that it is about to stop.
        std::optional<std::uint64_t> stopping_incarnation;
        bool silent_reader = false;
    };

    // Whether the host can be expected to answer.
    bool is_usable(const known_host& known) const {
        return !known.stopping_incarnation &&
               known.suspect_until <= clock_.now();
    }

    entry_host self_;
    base::clock clock_;
    std::map<std::string, known_host, std::less<>> hosts_;
};

}  // namespace bronzehub::entry

#endif
