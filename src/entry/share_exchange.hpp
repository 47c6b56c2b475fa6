// Exchanges among all hosts what organisations asked for and were granted.
//
// Each host reports to the collector of its failure domain. Collectors add up
// the reports, tell each other the sums of their domains and tell the hosts of
// their own domain the sums of the fleet. A host so sends and receives a
// datagram each interval, and knows what every other granted about two
// intervals ago. A collector is chosen like the owner of an engine. One that
// stays silent is passed over until it tells sums again. Two at once are
// harmless, as a host listens to the one that it reports to; one that is no
// collector in its own view hands on the sums that it hears.
#ifndef BRONZEHUB_ENTRY_SHARE_EXCHANGE_HPP
#define BRONZEHUB_ENTRY_SHARE_EXCHANGE_HPP

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "entry/host_directory.hpp"
#include "entry/schedule_link.hpp"
#include "entry/schedule_messages.hpp"
#include "overload/fleet_shares.hpp"
#include "overload/share_meter.hpp"

namespace bronzehub::entry {

// Not thread-safe.
class share_exchange {
public:
    // Shares are judged second by second; three hops are on the way.
    static constexpr std::chrono::milliseconds interval{250};
    // A collector that told nothing for this long, six intervals, is passed
    // over.
    static constexpr std::chrono::milliseconds collector_silent_after{1500};
    // A message holds the organisations that asked most: 2 KB, or 8 KB a second
    // and direction. One that is left out asks little and counts as served
    // least.
    static constexpr std::size_t most_organisations = 64;

    share_exchange(host_directory& hosts, const overload::share_meter& own,
                   overload::fleet_shares& fleet, base::clock clock,
                   datagram_sender send, std::uint64_t incarnation);

    // Every `interval`.
    void tick();

    // A message of one of the types that this class sends; others are ignored.
    void on_message(const std::string& from, const host_message& message);

    struct statistics {
        std::uint64_t collectors_passed_over = 0;
    };
    const statistics& read_statistics() const { return statistics_; }

private:
    using shares = std::vector<overload::organisation_usage>;

    struct report {
        shares content;
        base::time_point at;
        // Of the sender.
        std::string address;
    };

    entry_host choose_collector() const;
    // Whether other hosts take this one for the collector.
    bool is_reported_to() const;
    void collect();
    void report_to(const entry_host& collector);
    void on_fleet_shares(const shares& sums);
    void tell_other_domains(const shares& domain);
    void send(const std::string& address, message_type type, shares content);
    // The sum of the reports that are not too old; forgets the others.
    shares sum_of(std::map<std::string, report>& reports);

    host_directory& hosts_;
    const overload::share_meter& own_;
    overload::fleet_shares& fleet_;
    base::clock clock_;
    datagram_sender send_;
    std::uint64_t incarnation_;
    // Of the hosts of the own domain by host, and of the others by domain.
    std::map<std::string, report> host_reports_;
    std::map<std::string, report> domain_reports_;
    std::string collector_;
    // Collectors that were passed over and told nothing since.
    std::set<std::string, std::less<>> silent_;
    // When the collector was chosen or last heard.
    base::time_point heard_at_{};
    statistics statistics_;
};

}  // namespace bronzehub::entry

#endif
