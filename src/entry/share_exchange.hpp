// Distributes to all hosts how much each organisation requested of and was
// granted on the engines of the fleet.
//
// Every interval, each host reports the usage by its own callers to the
// collector of its failure domain. A collector adds up the reports, sends the
// sum to the collectors of the other failure domains, and sends the sum of the
// fleet to the hosts of its own. Each host thus sends and receives one datagram
// per interval, and learns what other hosts granted about two intervals later.
//
// The collector is chosen by rendezvous hashing, like the owner of an engine. A
// host that hears nothing from its collector chooses the next one, until the
// former sends sums again. Two collectors in one failure domain do no harm: a
// host takes the sums of the one that it reports to, and a host that receives
// reports but is not a collector by its own choice forwards the sums that it
// receives.
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
    // Fair shares are enforced second by second, and a report takes up to three
    // hops, one per interval, to reach the other hosts.
    static constexpr std::chrono::milliseconds interval{250};
    // A collector is replaced after this time, six intervals, without sums.
    static constexpr std::chrono::milliseconds collector_timeout{1500};
    // A message holds only the organisations that requested most. This limits
    // it to 2 KB, or 8 KB a second in each direction. An organisation that is
    // left out requests little, and counts as the one that was granted least.
    static constexpr std::size_t max_organisations = 64;

    // `meter` counts the usage by the callers of this host; the sums of the
    // fleet go to `fleet`. Both must outlive this object.
    share_exchange(host_directory& hosts, const overload::share_meter& meter,
                   overload::fleet_shares& fleet, base::clock clock,
                   datagram_sender send, std::uint64_t incarnation);

    // Sends the messages of one interval. To be called every `interval`.
    void tick();

    // Handles messages of the types that this class sends; ignores others.
    void on_message(const std::string& from, const host_message& message);

    struct statistics {
        // How often this host replaced a collector that had timed out.
        std::uint64_t collectors_passed_over = 0;
    };
    const statistics& read_statistics() const { return statistics_; }

private:
    using usage_list = std::vector<overload::organisation_usage>;

    struct report {
        usage_list usage;
        base::time_point received_at;
        std::string sender_address;
    };

    entry_host choose_collector() const;
    // Whether other hosts currently report to this one.
    bool has_reporters() const;
    // Acts as the collector: sums up the reports and sends the sums.
    void publish_sums();
    void report_to(const entry_host& collector);
    void on_fleet_sums(const usage_list& sums);
    void send_to_other_domains(const usage_list& domain_sums);
    void send(const std::string& address, message_type type, usage_list usage);
    // Returns the sum of `reports`, after removing those that are too old.
    usage_list sum_reports(std::map<std::string, report>& reports);

    host_directory& hosts_;
    const overload::share_meter& meter_;
    overload::fleet_shares& fleet_;
    base::clock clock_;
    datagram_sender send_;
    std::uint64_t incarnation_;
    // Reports of the hosts of this failure domain, by host name.
    std::map<std::string, report> host_reports_;
    // Sums of the other failure domains, by failure domain.
    std::map<std::string, report> domain_reports_;
    // Name of the collector.
    std::string collector_;
    // Hosts that timed out as collectors and have sent no sums since.
    std::set<std::string, std::less<>> unresponsive_;
    // When the collector was chosen or last sent sums.
    base::time_point last_heard_at_{};
    statistics statistics_;
};

}  // namespace bronzehub::entry

#endif
