#include "entry/share_exchange.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace bronzehub::entry {
namespace {

// Hashed to choose a collector, as the name of an engine is to choose its
// owner.
constexpr std::string_view collector_hash_key = "shares";

double finite_or_zero(double value) {
    return std::isfinite(value) ? value : 0;
}

}  // namespace

share_exchange::share_exchange(host_directory& hosts,
                               const overload::share_meter& meter,
                               overload::fleet_shares& fleet, base::clock clock,
                               datagram_sender send, std::uint64_t incarnation)
    : hosts_(hosts),
      meter_(meter),
      fleet_(fleet),
      clock_(std::move(clock)),
      send_(std::move(send)),
      incarnation_(incarnation) {}

void share_exchange::tick() {
    const entry_host collector = choose_collector();
    if (collector.name != collector_) {
        collector_ = collector.name;
        last_heard_at_ = clock_.now();
    }
    if (collector.name == hosts_.self().name) {
        publish_sums();
    } else {
        report_to(collector);
    }
}

entry_host share_exchange::choose_collector() const {
    const entry_host& assigned = hosts_.owner(
        collector_hash_key, hosts_.self().failure_domain, unresponsive_);
    if (assigned.name != hosts_.self().name || unresponsive_.empty() ||
        has_reporters()) {
        return assigned;
    }
    // This host would be the next collector, but no other host reports to it,
    // so only this host has lost the former collectors. A peer still receives
    // the sums and forwards them to hosts that report to it.
    const auto peers = hosts_.domain_peers();
    const auto other =
        std::ranges::find_if(peers, [this](const entry_host& host) {
            return !unresponsive_.contains(host.name);
        });
    return other == peers.end() ? assigned : *other;
}

bool share_exchange::has_reporters() const {
    return std::ranges::any_of(host_reports_, [this](const auto& entry) {
        return entry.first != hosts_.self().name &&
               clock_.now() - entry.second.received_at <
                   overload::fleet_shares::max_age;
    });
}

void share_exchange::publish_sums() {
    host_reports_[hosts_.self().name] = {meter_.recent_usage(), clock_.now(),
                                         ""};
    const usage_list domain_sums = sum_reports(host_reports_);
    send_to_other_domains(domain_sums);
    const std::vector<usage_list> parts{domain_sums,
                                        sum_reports(domain_reports_)};
    const usage_list fleet_sums = overload::merge_usage(parts);
    for (const entry_host& peer : hosts_.domain_peers()) {
        send(peer.address, message_type::fleet_shares, fleet_sums);
    }
    fleet_.update(fleet_sums);
}

void share_exchange::send_to_other_domains(const usage_list& domain_sums) {
    std::set<std::string> others;
    for (const entry_host& host : hosts_.peers()) {
        others.insert(host.failure_domain);
    }
    others.erase(hosts_.self().failure_domain);
    for (const std::string& other : others) {
        // Sends to the host that last sent the sums of that domain, or else to
        // the collector that the hash assigns to it.
        const auto last_sender = domain_reports_.find(other);
        const entry_host& assigned = hosts_.owner(collector_hash_key, other);
        if (last_sender != domain_reports_.end()) {
            send(last_sender->second.sender_address,
                 message_type::domain_shares, domain_sums);
        } else if (assigned.failure_domain == other) {
            send(assigned.address, message_type::domain_shares, domain_sums);
        }
    }
}

void share_exchange::report_to(const entry_host& collector) {
    if (clock_.now() - last_heard_at_ > collector_timeout) {
        ++statistics_.collectors_passed_over;
        unresponsive_.insert(collector.name);
        return;  // The next tick chooses another collector.
    }
    send(collector.address, message_type::host_shares, meter_.recent_usage());
}

void share_exchange::send(const std::string& address, message_type type,
                          usage_list usage) {
    std::ranges::sort(usage, std::greater<>(),
                      &overload::organisation_usage::requested);
    usage.resize(std::min(usage.size(), max_organisations));
    host_message message;
    message.type = static_cast<std::uint8_t>(type);
    message.host = hosts_.self().name;
    message.incarnation = incarnation_;
    message.failure_domain = hosts_.self().failure_domain;
    std::ranges::transform(usage, std::back_inserter(message.shares),
                           [](const overload::organisation_usage& each) {
                               return organisation_usage_message{
                                   each.organisation, each.requested,
                                   each.granted};
                           });
    send_(address, encode_message(message));
}

share_exchange::usage_list share_exchange::sum_reports(
    std::map<std::string, report>& reports) {
    std::erase_if(reports, [this](const auto& entry) {
        return clock_.now() - entry.second.received_at >
               overload::fleet_shares::max_age;
    });
    std::vector<usage_list> contents;
    contents.reserve(reports.size());
    for (const auto& [from, each] : reports) {
        contents.push_back(each.usage);
    }
    return overload::merge_usage(contents);
}

void share_exchange::on_fleet_sums(const usage_list& sums) {
    last_heard_at_ = clock_.now();
    fleet_.update(sums);
    // Hosts that report to this one receive nothing from its collector, so they
    // get the sums from here.
    for (const auto& [name, each] : host_reports_) {
        if (clock_.now() - each.received_at < overload::fleet_shares::max_age) {
            send(each.sender_address, message_type::fleet_shares, sums);
        }
    }
}

void share_exchange::on_message(const std::string& from,
                                const host_message& message) {
    const auto decode = [&] {
        usage_list result;
        std::ranges::transform(message.shares, std::back_inserter(result),
                               [](const organisation_usage_message& each) {
                                   return overload::organisation_usage{
                                       each.organisation,
                                       finite_or_zero(each.asked),
                                       finite_or_zero(each.granted)};
                               });
        return result;
    };
    switch (static_cast<message_type>(message.type)) {
        case message_type::host_shares:
            host_reports_[message.host] = {decode(), clock_.now(), from};
            break;
        case message_type::domain_shares:
            domain_reports_[message.failure_domain] = {decode(), clock_.now(),
                                                       from};
            break;
        case message_type::fleet_shares:
            unresponsive_.erase(message.host);
            if (message.host == collector_) {
                on_fleet_sums(decode());
            }
            break;
        default:
            break;
    }
}

}  // namespace bronzehub::entry
