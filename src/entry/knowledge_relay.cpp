#include "entry/knowledge_relay.hpp"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/hash.hpp"

namespace bronzehub::entry {
namespace {

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
            server.state == backend_state::draining};
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
    return result;
}

}  // namespace

std::uint64_t hash_listing(std::span<const backend_server> servers) {
    std::uint64_t sum = servers.size();
    for (const backend_server& server : servers) {
        sum += base::stable_hash(absl::StrCat(
            server.id, "\n", server.service, "\n", server.address, "\n",
            server.failure_domain, "\n", server.slots, "\n",
            server.started_at_ms, "\n", static_cast<int>(server.state)));
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

void knowledge_relay::on_configuration_read(std::uint64_t version,
                                            milliseconds store_time) {
    known_.configuration_version = version;
    known_.configuration_store_ms = store_time.count();
    send_knowledge();
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

void knowledge_relay::send_knowledge() {
    host_message message = make_message(message_type::knowledge);
    message.knowledge.push_back(known_);
    const std::string bytes = encode_message(message);
    std::ranges::for_each(hosts_.domain_peers(), [&](const entry_host& host) {
        send_(host.address, bytes);
    });
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
    const auto parts =
        static_cast<std::uint32_t>(listing_.size() / servers_per_part + 1);
    for (std::uint32_t part = 0; part < parts; ++part) {
        host_message message = make_message(message_type::listing);
        listing_message content;
        content.hash = known_.listing_hash;
        content.store_ms = known_.listing_store_ms;
        content.part = part;
        content.parts = parts;
        const std::size_t begin = part * servers_per_part;
        const std::size_t end =
            std::min(begin + servers_per_part, listing_.size());
        content.servers.assign(
            listing_.begin() + static_cast<std::ptrdiff_t>(begin),
            listing_.begin() + static_cast<std::ptrdiff_t>(end));
        message.listing.push_back(std::move(content));
        send(to, message);
    }
}

void knowledge_relay::on_message(const std::string& from,
                                 const host_message& message) {
    switch (static_cast<message_type>(message.type)) {
        case message_type::knowledge:
            if (!message.knowledge.empty()) {
                on_knowledge(from, message.knowledge.front());
            }
            break;
        case message_type::listing_request:
            if (!listing_.empty()) {
                send_listing(from);
            }
            break;
        case message_type::listing:
            if (!message.listing.empty()) {
                on_listing_part(message.listing.front());
            }
            break;
        case message_type::hello:
            hosts_.on_hello({message.host, from, message.failure_domain});
            break;
        case message_type::leave:
            hosts_.on_leave(message.host);
            break;
        default:
            break;
    }
}

void knowledge_relay::on_knowledge(const std::string& from,
                                   const knowledge_message& knowledge) {
    if (knowledge.configuration_version > 0) {
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
        clock_.now() - listing_requested_at_ > listing_request_interval) {
        listing_requested_at_ = clock_.now();
        send(from, make_message(message_type::listing_request));
    }
}

void knowledge_relay::on_listing_part(const listing_message& part) {
    if (part.store_ms <= known_.listing_store_ms) {
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
    set_listing(servers, milliseconds(part.store_ms));
    callbacks_.on_listing(servers, milliseconds(part.store_ms));
}

}  // namespace bronzehub::entry
