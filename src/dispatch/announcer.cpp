#include "dispatch/announcer.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

#include "base/hash.hpp"

namespace bronzehub::dispatch {
namespace {

using accounting::work_key;

std::uint32_t announced_at(
    const std::map<base::host_id, std::uint32_t>& announced,
    const base::host_id& host) {
    const auto found = announced.find(host);
    return found == announced.end() ? 0 : found->second;
}

// A dispatcher that knows a count to a factor of two runs dry no sooner than
// the next flush, and is told at once when it does.
bool differs(std::uint32_t announced, std::uint32_t waiting) {
    return waiting > 2 * announced || 2 * waiting < announced;
}

}  // namespace

announcer::announcer(announcer_options options, count_hook count,
                     send_hook send)
    : options_(std::move(options)),
      count_(std::move(count)),
      send_(std::move(send)) {}

std::vector<base::host_id> announcer::set_routes(
    std::span<const dispatch_route> routes) {
    const auto before = std::exchange(routes_, {});
    by_service_.clear();
    hosts_.clear();
    std::set<base::host_id> gained;
    std::map<base::service_id, std::map<base::host_id, base::failure_domain_id>>
        found;
    for (const dispatch_route& route : routes) {
        routes_[route.backend_server] = route;
        hosts_.insert(route.host);
        found[route.service][route.host] = route.failure_domain;
        const auto old = before.find(route.backend_server);
        if (old == before.end() || old->second.host != route.host) {
            gained.insert(route.host);
        }
    }
    // This daemon first, its failure domain next, then an order of its own,
    // so that entry daemons do not all turn to the same dispatchers.
    const auto rank = [&](const auto& entry) {
        return std::tuple(entry.first != options_.host,
                          entry.second != options_.failure_domain,
                          base::stable_hash(options_.host + entry.first));
    };
    for (const auto& [service, hosts] : found) {
        std::vector<std::pair<base::host_id, base::failure_domain_id>> sorted(
            hosts.begin(), hosts.end());
        std::ranges::sort(sorted, {}, rank);
        for (const auto& [host, domain] : sorted) {
            by_service_[service].push_back(host);
        }
    }
    for (auto& [key, queue] : queues_) {
        // A host that gained a role may have lost what it knew.
        const auto service = found.find(key.service);
        std::erase_if(queue.announced, [&](const auto& entry) {
            return gained.contains(entry.first) || service == found.end() ||
                   !service->second.contains(entry.first);
        });
        dirty_.insert(key);
    }
    return {gained.begin(), gained.end()};
}

bool announcer::has_dispatcher(base::service_id service) const {
    return by_service_.contains(service);
}

std::optional<base::host_id> announcer::dispatcher_of(
    base::backend_server_id server) const {
    const auto found = routes_.find(server);
    return found == routes_.end() ? std::nullopt
                                  : std::optional(found->second.host);
}

bool announcer::may_grant(const base::host_id& host) const {
    return std::ranges::any_of(queues_, [&](const auto& entry) {
        return announced_at(entry.second.announced, host) > 0;
    });
}

bool announcer::must_hear_now(const queue_state& queue,
                              const base::host_id& host, std::size_t rank,
                              std::uint32_t waiting) const {
    const std::uint32_t announced = announced_at(queue.announced, host);
    if (waiting == 0) {
        return announced > 0;
    }
    return announced == 0 && rank < queue.fan_out;
}

std::uint64_t announcer::last_grant(const queue_state& queue,
                                    const base::host_id& host) {
    const auto found = queue.seen.find(host);
    return found == queue.seen.end() ? 0 : found->second.id;
}

void announcer::announce(const work_key& key, const base::host_id& host) {
    protocol::waiting_row row = count_(key);
    queue_state& queue = queues_[key];
    queue.announced[host] = row.waiting;
    row.last_grant = last_grant(queue, host);
    send_(host, protocol::work_announcement{.rows = {row}});
}

void announcer::changed(const work_key& key) {
    dirty_.insert(key);
    const auto service = by_service_.find(key.service);
    if (service == by_service_.end()) {
        return;
    }
    queue_state& queue = queues_[key];
    if (queue.fan_out == 0 && count_(key).waiting > 0) {
        queue.fan_out = options_.first_fan_out;
    }
    // A send may deliver to this daemon and start the call, so the count is
    // read again for every host.
    const std::vector<base::host_id> hosts = service->second;
    for (std::size_t rank = 0; rank < hosts.size(); ++rank) {
        if (must_hear_now(queues_[key], hosts[rank], rank,
                          count_(key).waiting)) {
            announce(key, hosts[rank]);
        }
    }
    if (count_(key).waiting == 0) {
        queues_[key].fan_out = 0;
    }
}

void announcer::granted(const work_key& key, const protocol::sender& dispatcher,
                        std::uint64_t grant_id) {
    queue_state& queue = queues_[key];
    std::uint32_t& announced = queue.announced[dispatcher.host];
    announced -= std::min<std::uint32_t>(announced, 1);
    seen_grant& seen = queue.seen[dispatcher.host];
    // A dispatcher that restarted numbers its grants from the beginning.
    seen = seen.incarnation == dispatcher.incarnation
               ? seen_grant{seen.incarnation, std::max(seen.id, grant_id)}
               : seen_grant{dispatcher.incarnation, grant_id};
}

void announcer::declined(const work_key& key) {
    if (count_(key).waiting == 0) {
        changed(key);
    } else {
        dirty_.insert(key);
    }
}

void announcer::collect(
    const work_key& key, queue_state& queue,
    std::map<base::host_id, protocol::work_announcement>& out) {
    const auto service = by_service_.find(key.service);
    if (service == by_service_.end()) {
        return;
    }
    protocol::waiting_row row = count_(key);
    const auto& hosts = service->second;
    queue.fan_out =
        row.waiting == 0
            ? 0
            : std::min(hosts.size(),
                       std::max(options_.first_fan_out, 2 * queue.fan_out));
    for (std::size_t rank = 0; rank < hosts.size(); ++rank) {
        const std::uint32_t announced =
            announced_at(queue.announced, hosts[rank]);
        const bool included = rank < queue.fan_out || announced > 0;
        if (included && differs(announced, row.waiting)) {
            queue.announced[hosts[rank]] = row.waiting;
            row.last_grant = last_grant(queue, hosts[rank]);
            out[hosts[rank]].rows.push_back(row);
        }
    }
}

void announcer::flush() {
    std::map<base::host_id, protocol::work_announcement> out;
    for (const work_key& key : std::exchange(dirty_, {})) {
        queue_state& queue = queues_[key];
        collect(key, queue, out);
        const auto service = by_service_.find(key.service);
        if (service != by_service_.end() && queue.fan_out > 0 &&
            queue.fan_out < service->second.size()) {
            dirty_.insert(key);
        }
    }
    for (auto& [host, announcement] : out) {
        send_(host, std::move(announcement));
    }
}

void announcer::send_usage(const protocol::usage_report& report) {
    std::map<base::host_id, protocol::usage_report> out;
    for (const base::host_id& host : hosts_) {
        out[host].complete = report.complete;
    }
    for (const protocol::usage_row& row : report.rows) {
        const work_key key{
            .service = base::service_id(row.service),
            .organisation = base::organisation_id(row.organisation)};
        const auto service = by_service_.find(key.service);
        if (service == by_service_.end()) {
            continue;
        }
        for (const base::host_id& host : service->second) {
            queue_state& queue = queues_[key];
            queue.announced[host] = row.waiting;
            out[host].rows.push_back(row);
            out[host].rows.back().last_grant = last_grant(queue, host);
        }
    }
    for (auto& [host, part] : out) {
        if (part.complete || !part.rows.empty()) {
            send_(host, std::move(part));
        }
    }
}

}  // namespace bronzehub::dispatch
