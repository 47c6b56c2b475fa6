#include "daemon/peer_link.hpp"

#include <algorithm>
#include <utility>

#include "base/hash.hpp"
#include "daemon/endpoint.hpp"

namespace bronzehub::daemon {
namespace {

using membership::member;
using membership::member_state;

// Membership raises a daemon's incarnation by one each time that it objects to
// a false suspicion. The low bits leave room for that, so that the incarnation
// of the process can still be read from the rest.
constexpr unsigned objection_bits = 16;

std::uint64_t process_incarnation(const member& value) {
    return value.incarnation >> objection_bits;
}

membership::membership_options membership_options_of(
    const settings::daemon_settings& from, std::uint64_t incarnation) {
    membership::membership_options options;
    options.host = from.host.name;
    options.address = from.listeners.peers_advertised;
    options.failure_domain = from.host.failure_domain;
    options.incarnation = incarnation << objection_bits;
    for (const settings::seed_peer& seed : from.peers.seeds) {
        if (seed.host != from.host.name) {
            options.seeds.push_back({seed.host, seed.address});
        }
    }
    // Daemons that start together must not probe in the same order.
    options.random_seed = base::stable_hash(from.host.name, incarnation);
    return options;
}

peer::transport_options transport_options_of(
    const settings::daemon_settings& from) {
    peer::transport_options options;
    options.host = from.host.name;
    options.shared_key = from.peers.shared_key;
    options.max_message_bytes = from.peers.maximum_message_bytes;
    return options;
}

std::string_view name_of(member_state state) {
    switch (state) {
        case member_state::alive:
            return "alive";
        case member_state::suspect:
            return "suspect";
        case member_state::leaving:
            return "leaving";
        case member_state::dead:
            return "dead";
    }
    return "";
}

bool is_membership_message(const protocol::body& content) {
    return std::holds_alternative<protocol::probe>(content) ||
           std::holds_alternative<protocol::probe_ack>(content) ||
           std::holds_alternative<protocol::probe_request>(content);
}

}  // namespace

peer_link::peer_link(asio::io_context& context,
                     const settings::daemon_settings& settings,
                     std::uint64_t incarnation, const base::clock& clock,
                     logging::logger& log, peer_hooks hooks)
    : settings_(settings),
      incarnation_(incarnation),
      log_(log),
      hooks_(std::move(hooks)),
      transport_(context, transport_options_of(settings), transport_hooks(),
                 clock),
      members_(membership_options_of(settings, incarnation), clock,
               membership_hooks()) {}

absl::Status peer_link::listen() {
    const endpoint where = split_endpoint(settings_.listeners.peers);
    return transport_.listen(where.address, where.port);
}

membership::membership_hooks peer_link::membership_hooks() {
    return {
        .send =
            [this](const membership::peer_address& to, protocol::body content) {
                transport_.set_peer(to.host, to.address);
                transport_.send(to.host, make_message(std::move(content)));
            },
        .on_change =
            [this](const membership::member_change& change) {
                on_member_change(change);
            },
        .on_configuration_version =
            [this](const member& from) {
                hooks_.on_version(from.host, from.configuration_version);
            },
    };
}

peer::transport_hooks peer_link::transport_hooks() {
    peer::transport_hooks result;
    result.on_message = [this](const protocol::message& received) {
        receive(received);
    };
    result.on_connect_failed = [this](const base::host_id&,
                                      const std::string& address,
                                      const absl::Status& status) {
        report_connect_failure(address, status);
    };
    return result;
}

// A host that is down is membership's matter; a wrong key or version needs an
// operator.
void peer_link::report_connect_failure(const std::string& address,
                                       const absl::Status& status) {
    if (absl::IsPermissionDenied(status) || absl::IsUnimplemented(status)) {
        log_.error("peer refused", {logging::field("address", address),
                                    logging::field("cause", status)});
    }
}

void peer_link::on_member_change(const membership::member_change& change) {
    changed_ = true;
    const member& now = change.now;
    if (now.state == member_state::dead) {
        died_.push_back(now.host);
    } else if (now.host != settings_.host.name) {
        transport_.set_peer(now.host, now.address);
    }
    log_.info("member changed", {logging::field("host", now.host),
                                 logging::field("incarnation", now.incarnation),
                                 logging::field("state", name_of(now.state))});
}

protocol::message peer_link::make_message(protocol::body content) {
    return {{settings_.host.name, incarnation_, ++sequence_},
            std::move(content)};
}

void peer_link::receive(const protocol::message& received) {
    if (is_membership_message(received.content)) {
        members_.receive(received.from, received.content);
        return;
    }
    hooks_.on_message(received);
}

void peer_link::send(const base::host_id& host, protocol::body content) {
    transport_.send(host, make_message(std::move(content)));
}

void peer_link::broadcast(const protocol::body& content) {
    std::vector<base::host_id> hosts;
    for (const auto& [host, state] : members_.members()) {
        if (state.is_live()) {
            hosts.push_back(host);
        }
    }
    transport_.send(hosts, make_message(content));
}

std::vector<membership::dispatch_host> peer_link::hosts() const {
    return members_.is_refreshing() ? std::vector<membership::dispatch_host>()
                                    : members_.dispatch_hosts();
}

bool peer_link::is_dead(const base::host_id& host,
                        std::uint64_t incarnation) const {
    if (host == settings_.host.name) {
        return incarnation < incarnation_;
    }
    const member* known = members_.find(host);
    if (known == nullptr) {
        return false;
    }
    const std::uint64_t current = process_incarnation(*known);
    return current > incarnation ||
           (current == incarnation && !known->is_live());
}

bool peer_link::is_poller() const {
    // The least name of the failure domain, so that one daemon of a domain
    // polls while views agree, and at least one when they do not.
    const auto hosts = members_.dispatch_hosts();
    return std::ranges::none_of(hosts, [&](const auto& other) {
        return other.failure_domain == settings_.host.failure_domain &&
               !other.leaving && other.host < settings_.host.name;
    });
}

void peer_link::tick() {
    members_.tick();
    for (const base::host_id& host : std::exchange(died_, {})) {
        hooks_.on_dead(host);
    }
    if (std::exchange(changed_, false)) {
        hooks_.on_change();
    }
}

nlohmann::json peer_link::dump() const {
    nlohmann::json result = nlohmann::json::array();
    const auto add = [&](const member& value) {
        result.push_back({
            {"host", value.host},
            {"address", value.address},
            {"failure_domain", value.failure_domain},
            {"incarnation", value.incarnation},
            {"state", name_of(value.state)},
            {"leaving", value.leaving},
            {"configuration_version", value.configuration_version},
        });
    };
    add(members_.self());
    for (const auto& [host, value] : members_.members()) {
        add(value);
    }
    return result;
}

}  // namespace bronzehub::daemon
