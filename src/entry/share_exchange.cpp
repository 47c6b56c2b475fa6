#include "entry/share_exchange.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace bronzehub::entry {
namespace {

// What collectors are chosen by, as an engine's name for its owner.
constexpr std::string_view collector_key = "shares";

}  // namespace

share_exchange::share_exchange(host_directory& hosts,
                               const overload::share_meter& own,
                               overload::fleet_shares& fleet, base::clock clock,
                               datagram_sender send, std::uint64_t incarnation)
    : hosts_(hosts),
      own_(own),
      fleet_(fleet),
      clock_(std::move(clock)),
      send_(std::move(send)),
      incarnation_(incarnation) {}

void share_exchange::tick() {
    const entry_host collector = choose_collector();
    if (collector.name != collector_) {
        collector_ = collector.name;
        heard_at_ = clock_.now();
    }
    if (collector.name == hosts_.self().name) {
        collect();
    } else {
        report_to(collector);
    }
}

entry_host share_exchange::choose_collector() const {
    const entry_host& due =
        hosts_.owner(collector_key, hosts_.self().failure_domain, silent_);
    if (due.name != hosts_.self().name || silent_.empty() || is_reported_to()) {
        return due;
    }
    // This host would come next, but nobody else passed over the same
    // collectors: a neighbour hears the sums that it misses.
    const auto neighbours = hosts_.domain_peers();
    const auto other =
        std::ranges::find_if(neighbours, [this](const entry_host& host) {
            return !silent_.contains(host.name);
        });
    return other == neighbours.end() ? due : *other;
}

bool share_exchange::is_reported_to() const {
    return std::ranges::any_of(host_reports_, [this](const auto& entry) {
        return entry.first != hosts_.self().name &&
               clock_.now() - entry.second.at < overload::fleet_shares::max_age;
    });
}

void share_exchange::collect() {
    host_reports_[hosts_.self().name] = {own_.recent_usage(), clock_.now(), ""};
    const shares domain = sum_of(host_reports_);
    tell_other_domains(domain);
    const std::vector<shares> parts{domain, sum_of(domain_reports_)};
    const shares fleet = overload::merge_usage(parts);
    for (const entry_host& neighbour : hosts_.domain_peers()) {
        send(neighbour.address, message_type::fleet_shares, fleet);
    }
    fleet_.update(fleet);
}

void share_exchange::tell_other_domains(const shares& domain) {
    std::set<std::string> others;
    for (const entry_host& host : hosts_.peers()) {
        others.insert(host.failure_domain);
    }
    others.erase(hosts_.self().failure_domain);
    for (const std::string& other : others) {
        // The collector that told sums lately, else the one that is due.
        const auto heard = domain_reports_.find(other);
        const entry_host& due = hosts_.owner(collector_key, other);
        if (heard != domain_reports_.end()) {
            send(heard->second.address, message_type::domain_shares, domain);
        } else if (due.failure_domain == other) {
            send(due.address, message_type::domain_shares, domain);
        }
    }
}

void share_exchange::report_to(const entry_host& collector) {
    if (clock_.now() - heard_at_ > collector_silent_after) {
        ++statistics_.collectors_passed_over;
        silent_.insert(collector.name);
        return;  // The next one is chosen at the next tick.
    }
    send(collector.address, message_type::host_shares, own_.recent_usage());
}

void share_exchange::send(const std::string& address, message_type type,
                          shares content) {
    std::ranges::sort(content, std::greater<>(),
                      &overload::organisation_usage::requested);
    content.resize(std::min(content.size(), most_organisations));
    host_message message;
    message.type = static_cast<std::uint8_t>(type);
    message.host = hosts_.self().name;
    message.incarnation = incarnation_;
    message.failure_domain = hosts_.self().failure_domain;
    std::ranges::transform(content, std::back_inserter(message.shares),
                           [](const overload::organisation_usage& each) {
                               return organisation_usage_message{
                                   each.organisation, each.requested,
                                   each.granted};
                           });
    send_(address, encode_message(message));
}

share_exchange::shares share_exchange::sum_of(
    std::map<std::string, report>& reports) {
    std::erase_if(reports, [this](const auto& entry) {
        return clock_.now() - entry.second.at > overload::fleet_shares::max_age;
    });
    std::vector<shares> contents;
    contents.reserve(reports.size());
    for (const auto& [from, each] : reports) {
        contents.push_back(each.content);
    }
    return overload::merge_usage(contents);
}

void share_exchange::on_fleet_shares(const shares& sums) {
    heard_at_ = clock_.now();
    fleet_.update(sums);
    // Hosts that report here passed over the collector that this host hears.
    for (const auto& [name, each] : host_reports_) {
        if (clock_.now() - each.at < overload::fleet_shares::max_age) {
            send(each.address, message_type::fleet_shares, sums);
        }
    }
}

void share_exchange::on_message(const std::string& from,
                                const host_message& message) {
    const auto decode = [&] {
        shares result;
        std::ranges::transform(message.shares, std::back_inserter(result),
                               [](const organisation_usage_message& each) {
                                   return overload::organisation_usage{
                                       each.organisation, each.asked,
                                       each.granted};
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
            silent_.erase(message.host);
            if (message.host == collector_) {
                on_fleet_shares(decode());
            }
            break;
        default:
            break;
    }
}

}  // namespace bronzehub::entry
