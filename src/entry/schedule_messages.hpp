// Datagrams between a host that holds callers and the host that schedules for
// an engine.
//
// Each message stands by itself and may be lost, repeated or late: numbers are
// never reused within an incarnation, an ask that is known already is answered
// with its present state, and running work is listed every half second.
#ifndef BRONZEHUB_ENTRY_SCHEDULE_MESSAGES_HPP
#define BRONZEHUB_ENTRY_SCHEDULE_MESSAGES_HPP

#include <cstdint>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bronzehub::entry {

enum class message_type : std::uint8_t {
    ask = 1,
    answer = 2,
    first_event = 3,
    release = 4,
    inventory = 5,
    knowledge = 6,
    listing_request = 7,
    listing = 8,
    hello = 9,
    farewell = 10,
    // What a host's callers asked and got, of a failure domain's hosts, and of
    // the fleet's.
    host_shares = 11,
    domain_shares = 12,
    fleet_shares = 13,
};

// What a reader of the store knows, and when it was certainly the newest.
struct knowledge_message {
    std::uint64_t configuration_version = 0;
    std::int64_t configuration_store_ms = 0;
    std::uint64_t listing_hash = 0;
    std::int64_t listing_store_ms = 0;
    MSGPACK_DEFINE_ARRAY(configuration_version, configuration_store_ms,
                         listing_hash, listing_store_ms)
};

struct server_message {
    std::string id;
    std::string service;
    std::string address;
    std::string failure_domain;
    std::uint32_t slots = 0;
    std::uint64_t started_at_ms = 0;
    bool draining = false;
    MSGPACK_DEFINE_ARRAY(id, service, address, failure_domain, slots,
                         started_at_ms, draining)
};

// One part of a listing of backend servers; parts fit in a datagram.
struct listing_message {
    std::uint64_t hash = 0;
    std::int64_t store_ms = 0;
    std::uint32_t part = 0;
    std::uint32_t parts = 1;
    std::vector<server_message> servers;
    MSGPACK_DEFINE_ARRAY(hash, store_ms, part, parts, servers)
};

struct shared_part_message {
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
    MSGPACK_DEFINE_ARRAY(id, tokens)
};

// A request for a place on an engine, or one that runs.
struct work_message {
    std::uint64_t number = 0;
    std::string engine;
    std::uint32_t slots = 0;
    std::uint64_t memory_tokens = 0;
    std::string organisation;
    double cost = 0;
    std::uint32_t own_tokens = 0;
    std::uint32_t output_tokens = 0;
    std::vector<shared_part_message> shared;
    // From the sending of the message; negative when it has passed.
    std::int64_t start_within_us = 0;
    std::int64_t give_up_within_us = 0;
    bool may_wait = false;
    bool started = false;
    MSGPACK_DEFINE_ARRAY(number, engine, slots, memory_tokens, organisation,
                         cost, own_tokens, output_tokens, shared,
                         start_within_us, give_up_within_us, may_wait, started)
};

// Recent sums of one organisation, in the unit of shares.
struct share_message {
    std::string organisation;
    double asked = 0;
    double granted = 0;
    MSGPACK_DEFINE_ARRAY(organisation, asked, granted)
};

struct schedule_message {
    static constexpr std::uint32_t current_version = 1;

    std::uint32_t version = current_version;
    std::uint8_t type = 0;
    // Host name and start of the sender.
    std::string host;
    std::uint64_t incarnation = 0;
    // `ask`: one; `inventory`: all that runs on engines of the receiver.
    std::vector<work_message> work;
    // `answer`, `first_event`, `release`.
    std::uint64_t number = 0;
    std::string engine;
    // `answer`: an `overload::engine_decision`.
    std::uint8_t decision = 0;
    std::int64_t retry_after_ms = 0;
    // `first_event`: whether it was in time.
    bool in_time = true;
    // `knowledge`, `listing`: at most one.
    std::vector<knowledge_message> knowledge;
    std::vector<listing_message> listing;
    // `hello`, `domain_shares`: where the sender is.
    std::string failure_domain;
    // `host_shares`, `domain_shares`, `fleet_shares`.
    std::vector<share_message> shares;
    MSGPACK_DEFINE_ARRAY(version, type, host, incarnation, work, number, engine,
                         decision, retry_after_ms, in_time, knowledge, listing,
                         failure_domain, shares)
};

std::string encode_message(const schedule_message& message);

// Nothing for bytes that are not a message of this version.
std::optional<schedule_message> decode_message(std::string_view bytes);

}  // namespace bronzehub::entry

#endif
