// The other entry hosts, and which of them schedules for which engine.
//
// Hosts announce themselves by rows of a table that each of them rewrites every
// few seconds. An answer that stays out makes a host suspect for a while, so
// that its engines pass to the next host at once. Decides only; no I/O.
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
    // "IP:port" for datagrams.
    std::string address;
    std::string failure_domain;
};

// The row in which a host announces itself.
std::string encode_host(const entry_host& host, std::uint64_t incarnation);
// Nothing for a row that is not an announcement.
std::optional<entry_host> decode_host(std::string_view name,
                                      std::string_view text);

// Not thread-safe.
class host_directory {
public:
    // Announcements are written at this interval.
    // Starts and ends are told by datagrams at once, so rows only serve hosts
    // that missed those.
    static constexpr std::chrono::seconds announce_interval{24};
    // A row that did not change for this long is of a host that is gone.
    static constexpr std::chrono::seconds announcement_lifetime{80};
    static constexpr std::chrono::milliseconds first_suspicion{1000};
    static constexpr std::chrono::milliseconds longest_suspicion{8000};

    host_directory(entry_host self, base::clock clock);

    // A row as read from the table.
    void on_announcement(const entry_host& host, std::uint64_t row_version);

    // A host told of itself by a datagram.
    void on_hello(const entry_host& host);
    // A host is about to stop.
    void on_farewell(std::string_view name);

    void mark_suspect(std::string_view name);
    void clear_suspicion(std::string_view name);

    // The host that schedules for an engine: of its failure domain while one
    // of those is in sight, else of all.
    const entry_host& owner(std::string_view engine,
                            std::string_view failure_domain) const;
    // The same among the hosts that are not in `excluded`, and this one.
    const entry_host& owner(
        std::string_view engine, std::string_view failure_domain,
        const std::set<std::string, std::less<>>& excluded) const;

    const entry_host& self() const { return self_; }
    // Hosts that announced themselves lately, this one included.
    std::size_t host_count() const;
    // The others of them, in this host's failure domain or in all.
    std::vector<entry_host> domain_peers() const;
    std::vector<entry_host> peers() const;
    // Rank of this host among the readers of its failure domain; hosts that
    // are suspect do not count.
    std::size_t reader_rank() const;
    // Forgets hosts whose announcements ended.
    void expire();

private:
    struct entry {
        entry_host host;
        std::uint64_t row_version = 0;
        base::time_point announced_at;
        base::time_point suspect_until{};
        base::duration suspicion{};
    };

    entry_host self_;
    base::clock clock_;
    std::map<std::string, entry, std::less<>> hosts_;
};

}  // namespace bronzehub::entry

#endif
