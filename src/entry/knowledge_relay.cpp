#include "entry/knowledge_relay.hpp"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/hash.hpp"

namespace bronzehub::entry {
namespace {

// Parts of one listing or configuration.
constexpr std::uint32_t max_parts = 1000;
// Hosts with a lower rank send what they know to a host that starts.
constexpr std::size_t greeting_ranks = 2;

using fleet_state::backend_server;
using fleet_state::backend_state;
using std::chrono::milliseconds;

server_message to_message(const backend_server& server) {
    return {server.id,
            server.service,
            server.address,
            server.failure_domain,
            server.slots,
            server.started_at_ms,
            server.state == backend_state::draining,
            server.cold_remaining ? server.cold_remaining->count() : -1};
}

backend_server from_message(const server_message& message) {
    backend_server result;
    result.id = message.id;
    result.service = message.service;
    result.address = message.address;
    result.failure_domain = message.failure_domain;
    result.slots = message.slots;
    result.started_at_ms = message.started_at_ms;
    result.state =
        message.draining ? backend_state::draining : backend_state::available;
    if (message.cold_remaining_ms >= 0) {
        result.cold_remaining = milliseconds(message.cold_remaining_ms);
    }
    return result;
}

std::size_t packed_size(const server_message& server) {
    // Generous for the framing and the numbers.
    constexpr std::size_t fixed_bytes = 48;
    return fixed_bytes + server.id.size() + server.service.size() +
           server.address.size() + server.failure_domain.size();
}

std::size_t packed_size(const announced_host_message& host) {
    constexpr std::size_t fixed_bytes = 32;
    return fixed_bytes + host.name.size() + host.address.size() +
           host.failure_domain.size();
}

// Splits a list into parts of at most `max_part_bytes`. Returns at least one
// part.
template <class Item>
std::vector<std::vector<Item>> split_into_parts(std::span<const Item> items) {
    std::vector<std::vector<Item>> parts(1);
    std::size_t bytes = 0;
    for (const Item& item : items) {
        const std::size_t size = packed_size(item);
        if (bytes + size > knowledge_relay::max_part_bytes &&
            !parts.back().empty()) {
            parts.emplace_back();
            bytes = 0;
        }
        parts.back().push_back(item);
        bytes += size;
    }
    return parts;
}

}  // namespace

std::uint64_t hash_listing(std::span<const backend_server> servers) {
    std::uint64_t sum = servers.size();
    for (const backend_server& server : servers) {
        sum += base::stable_hash(absl::StrCat(
            server.id, "\n", server.service, "\n", server.address, "\n",
            server.failure_domain, "\n", server.slots, "\n",
            server.started_at_ms, "\n", static_cast<int>(server.state)));
        // In whole seconds, so that a server that is warming up changes the
        // listing only a few times.
        const auto cold_s = std::chrono::ceil<std::chrono::seconds>(
            server.cold_remaining.value_or(milliseconds(0)));
        if (cold_s.count() > 0) {
            sum += base::stable_hash(
                absl::StrCat(server.id, "\n", cold_s.count()));
        }
    }
    return sum;
}

knowledge_relay::knowledge_relay(host_directory& hosts, base::clock clock,
                                 datagram_sender send,
                                 std::uint64_t incarnation,
                                 relay_callbacks callbacks)
    : hosts_(hosts),
      clock_(std::move(clock)),
      send_(std::move(send)),
      incarnation_(incarnation),
      callbacks_(std::move(callbacks)) {}

host_message knowledge_relay::make_message(message_type type) const {
    host_message message;
    message.type = static_cast<std::uint8_t>(type);
    message.host = hosts_.self().name;
    message.incarnation = incarnation_;
    message.failure_domain = hosts_.self().failure_domain;
    return message;
}

void knowledge_relay::send(const std::string& to,
                           const host_message& message) const {
    send_(to, encode_message(message));
}

void knowledge_relay::send_to_domain(const host_message& message) const {
    const std::string bytes = encode_message(message);
    std::ranges::for_each(hosts_.domain_peers(), [&](const entry_host& host) {
        send_(host.address, bytes);
    });
}

void knowledge_relay::on_configuration_read(std::uint64_t version,
                                            const std::string& text,
                                            milliseconds store_time) {
    known_.configuration_store_ms = store_time.count();
    if (version > known_.configuration_version) {
        known_.configuration_version = version;
        configuration_text_ = text;
        forward_configuration(hosts_.self().name);
    }
    send_knowledge();
}

void knowledge_relay::forward_configuration(const std::string& origin) {
    std::ranges::for_each(hosts_.forwarding_targets(origin),
                          [&](const entry_host& host) {
                              send_configuration(host.address, origin);
                          });
}

void knowledge_relay::send_configuration(const std::string& to,
                                         const std::string& origin) {
    if (configuration_text_.empty()) {
        return;
    }
    configuration_message content;
    content.version = known_.configuration_version;
    content.hash = base::stable_hash(configuration_text_);
    content.store_ms = known_.configuration_store_ms;
    content.origin = origin;
    content.parts = static_cast<std::uint32_t>(
        (configuration_text_.size() + max_part_bytes - 1) / max_part_bytes);
    for (content.part = 0; content.part < content.parts; ++content.part) {
        content.text = configuration_text_.substr(content.part * max_part_bytes,
                                                  max_part_bytes);
        host_message message = make_message(message_type::configuration);
        message.configuration.push_back(content);
        send(to, message);
    }
}

void knowledge_relay::request_configuration() {
    if (!configuration_source_.empty() &&
        clock_.now() - configuration_requested_at_ > request_interval) {
        configuration_requested_at_ = clock_.now();
        send(configuration_source_,
             make_message(message_type::configuration_request));
    }
}

void knowledge_relay::on_configuration_part(const configuration_message& part) {
    if (part.version <= known_.configuration_version ||
        part.part >= part.parts || part.parts > max_parts) {
        return;
    }
    if (part.version != incoming_configuration_.version ||
        part.hash != incoming_configuration_.hash) {
        incoming_configuration_ = part;
        incoming_configuration_parts_.clear();
    }
    incoming_configuration_parts_[part.part] = part.text;
    if (incoming_configuration_parts_.size() < part.parts) {
        return;
    }
    std::string text;
    for (const auto& [index, part_text] : incoming_configuration_parts_) {
        text.append(part_text);
    }
    incoming_configuration_parts_.clear();
    incoming_configuration_ = {};
    const milliseconds store_time(part.store_ms);
    if (base::stable_hash(text) != part.hash ||
        !callbacks_.on_configuration(text, store_time)) {
        return;
    }
    known_.configuration_version = part.version;
    known_.configuration_store_ms = part.store_ms;
    configuration_text_ = std::move(text);
    if (!part.origin.empty()) {
        forward_configuration(part.origin);
    }
}

void knowledge_relay::send_server_leaving(const backend_server& server) {
    host_message message = make_message(message_type::server_leaving);
    message.listing.emplace_back().servers.push_back(to_message(server));
    send_to_domain(message);
}

void knowledge_relay::send_hosts(
    std::span<const announced_host_message> hosts) {
    for (auto& part : split_into_parts(hosts)) {
        host_message message = make_message(message_type::hosts);
        message.hosts = std::move(part);
        send_to_domain(message);
    }
}

void knowledge_relay::set_listing(std::span<const backend_server> servers,
                                  milliseconds store_time) {
    listing_.clear();
    std::ranges::transform(servers, std::back_inserter(listing_), to_message);
    known_.listing_hash = hash_listing(servers);
    known_.listing_store_ms = store_time.count();
}

void knowledge_relay::on_listing_read(std::span<const backend_server> servers,
                                      milliseconds store_time) {
    const std::uint64_t previous_hash = known_.listing_hash;
    set_listing(servers, store_time);
    if (known_.listing_hash != previous_hash) {
        // Sends a changed listing without waiting for requests, so that a
        // server that is being removed gets no new calls from any host.
        std::ranges::for_each(
            hosts_.domain_peers(),
            [this](const entry_host& host) { send_listing(host.address); });
    }
    send_knowledge();
}

void knowledge_relay::set_evacuated_domains(
    const evacuation::domain_report& report) {
    known_.evacuation_era = report.version.era;
    known_.evacuation_version = report.version.version;
    known_.evacuated_domains = report.stored;
    known_.unconfirmed_domains = report.unconfirmed;
}

void knowledge_relay::send_evacuated_domains() {
    host_message message = make_message(message_type::evacuated_domains);
    message.knowledge.push_back(known_);
    const std::string bytes = encode_message(message);
    std::ranges::for_each(hosts_.peers(), [&](const entry_host& host) {
        if (host.failure_domain != hosts_.self().failure_domain) {
            send_(host.address, bytes);
        }
    });
}

void knowledge_relay::on_evacuated_domains(const host_message& message) {
    // A host of an older release does not send the version.
    if (!message.knowledge.empty() &&
        message.knowledge.front().evacuation_version > 0) {
        const knowledge_message& content = message.knowledge.front();
        callbacks_.on_evacuated_domains(
            {{content.evacuation_era, content.evacuation_version},
             content.evacuated_domains,
             content.unconfirmed_domains});
    }
}

void knowledge_relay::send_knowledge() {
    host_message message = make_message(message_type::knowledge);
    message.knowledge.push_back(known_);
    send_to_domain(message);
}

void knowledge_relay::send_hello() {
    std::ranges::for_each(hosts_.peers(), [this](const entry_host& host) {
        send(host.address, make_message(message_type::hello));
    });
}

void knowledge_relay::send_leave() {
    std::ranges::for_each(hosts_.peers(), [this](const entry_host& host) {
        send(host.address, make_message(message_type::leave));
    });
}

void knowledge_relay::send_listing(const std::string& to) {
    auto parts = split_into_parts(std::span<const server_message>(listing_));
    for (std::size_t i = 0; i < parts.size(); ++i) {
        listing_message content;
        content.hash = known_.listing_hash;
        content.store_ms = known_.listing_store_ms;
        content.part = static_cast<std::uint32_t>(i);
        content.parts = static_cast<std::uint32_t>(parts.size());
        content.servers = std::move(parts[i]);
        host_message message = make_message(message_type::listing);
        message.listing.push_back(std::move(content));
        send(to, message);
    }
}

void knowledge_relay::on_message(const std::string& from,
                                 const host_message& message) {
    switch (static_cast<message_type>(message.type)) {
        case message_type::knowledge:
            on_knowledge(from, message);
            break;
        case message_type::listing_request:
            if (known_.listing_store_ms > 0) {
                send_listing(from);
            }
            break;
        case message_type::listing:
            if (!message.listing.empty()) {
                on_listing_part(message.listing.front());
            }
            break;
        case message_type::configuration_request:
            send_configuration(from, "");
            break;
        case message_type::configuration:
            if (!message.configuration.empty()) {
                on_configuration_part(message.configuration.front());
            }
            break;
        case message_type::server_leaving:
            if (!message.listing.empty()) {
                std::ranges::for_each(
                    message.listing.front().servers,
                    [this](const server_message& server) {
                        callbacks_.on_server_leaving(from_message(server));
                    });
            }
            break;
        case message_type::hosts:
            std::ranges::for_each(
                message.hosts, [this](const announced_host_message& host) {
                    hosts_.on_announcement(
                        {host.name, host.address, host.failure_domain},
                        host.row_version);
                });
            break;
        case message_type::evacuated_domains:
            on_evacuated_domains(message);
            break;
        case message_type::hello:
            on_hello(from, message);
            break;
        case message_type::leave:
            hosts_.on_leave(message.host, message.incarnation);
            break;
        default:
            break;
    }
}

void knowledge_relay::on_hello(const std::string& from,
                               const host_message& message) {
    hosts_.on_hello({message.host, from, message.failure_domain});
    const bool has_knowledge =
        known_.configuration_store_ms > 0 || known_.listing_store_ms > 0;
    if (has_knowledge &&
        message.failure_domain == hosts_.self().failure_domain &&
        hosts_.reader_rank() < greeting_ranks) {
        host_message greeting = make_message(message_type::knowledge);
        greeting.knowledge.push_back(known_);
        send(from, greeting);
    }
}

void knowledge_relay::on_knowledge(const std::string& from,
                                   const host_message& message) {
    if (message.knowledge.empty()) {
        return;
    }
    const knowledge_message& knowledge = message.knowledge.front();
    hosts_.on_forwarded(message.host);
    // Before the configuration, with which this host may begin to serve.
    on_evacuated_domains(message);
    if (knowledge.configuration_store_ms > 0) {
        if (knowledge.configuration_version > known_.configuration_version) {
            configuration_source_ = from;
        } else if (knowledge.configuration_version ==
                   known_.configuration_version) {
            known_.configuration_store_ms =
                std::max(known_.configuration_store_ms,
                         knowledge.configuration_store_ms);
        }
        callbacks_.on_configuration_version(
            knowledge.configuration_version,
            milliseconds(knowledge.configuration_store_ms));
    }
    if (knowledge.listing_store_ms == 0) {
        return;
    }
    if (knowledge.listing_hash == known_.listing_hash) {
        known_.listing_store_ms =
            std::max(known_.listing_store_ms, knowledge.listing_store_ms);
        callbacks_.on_listing_confirmed(
            milliseconds(knowledge.listing_store_ms));
        return;
    }
    if (knowledge.listing_store_ms > known_.listing_store_ms &&
        clock_.now() - listing_requested_at_ > request_interval) {
        listing_requested_at_ = clock_.now();
        send(from, make_message(message_type::listing_request));
    }
}

void knowledge_relay::on_listing_part(const listing_message& part) {
    if (part.store_ms <= known_.listing_store_ms || part.part >= part.parts ||
        part.parts > max_parts) {
        return;
    }
    if (part.hash != incoming_hash_) {
        incoming_hash_ = part.hash;
        incoming_parts_.clear();
    }
    incoming_parts_[part.part] = part.servers;
    if (incoming_parts_.size() < part.parts) {
        return;
    }
    std::vector<backend_server> servers;
    for (const auto& [part_index, messages] : incoming_parts_) {
        std::ranges::transform(messages, std::back_inserter(servers),
                               from_message);
    }
    incoming_parts_.clear();
    incoming_hash_ = 0;
    if (hash_listing(servers) != part.hash) {
        // The parts belong to different listings. The next `knowledge` message
        // leads to a new request.
        return;
    }
    if (callbacks_.on_listing(servers, milliseconds(part.store_ms))) {
        listing_received_at_ = clock_.now();
        set_listing(servers, milliseconds(part.store_ms));
    }
}

}  // namespace bronzehub::entry
