// Datagrams between entry hosts: slot requests for model engines, newest known
// store contents, host membership and organisation usage.
//
// Datagrams may be lost, duplicated, reordered or delayed. Handling a message
// is therefore idempotent: request numbers are never reused within an
// incarnation (one lifetime of a host process), a slot request that is already
// known is answered with its current state, and every host lists its running
// requests to the hosts that schedule them every half second.
//
// Messages are packed as arrays, so the order of the fields is part of the
// protocol.
#ifndef BRONZEHUB_ENTRY_SCHEDULE_MESSAGES_HPP
#define BRONZEHUB_ENTRY_SCHEDULE_MESSAGES_HPP

#include <cstdint>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "evacuation/evacuated_domains.hpp"

namespace bronzehub::entry {

enum class message_type : std::uint8_t {
    // Asks the host that schedules for an engine for a slot there.
    slot_request = 1,
    // Tells whether the slot is granted, refused or waited for.
    slot_response = 2,
    // The first event of a granted request arrived from the engine.
    first_event = 3,
    // The request ended or was withdrawn.
    release = 4,
    // All granted requests of the sender on engines that the receiver
    // schedules.
    inventory = 5,
    // Versions of the newest store contents that the sender knows.
    knowledge = 6,
    // Asks for the listing of backend servers.
    listing_request = 7,
    // One part of the listing of backend servers.
    listing = 8,
    // The sender started.
    hello = 9,
    // The sender is about to stop.
    leave = 10,
    // Requested and granted amounts by organisation: of the callers of one
    // host, of all hosts of a failure domain, and of the fleet.
    host_shares = 11,
    domain_shares = 12,
    fleet_shares = 13,
    // A backend server announced to the sender that it is about to stop.
    server_leaving = 14,
    // Asks for the newest configuration.
    configuration_request = 15,
    // One part of the configuration.
    configuration = 16,
    // Entry hosts that are announced in the store.
    hosts = 17,
    // Tells the arbiter what the sender saw of suspect prompt segments, and
    // asks
    // for trials. The response is a `segment_table`.
    segment_report = 18,
    // The segments that are suspect or quarantined, from the arbiter.
    segment_table = 19,
    // The evacuated failure domains, for hosts of other failure domains.
    evacuated_domains = 20,
};

// The newest versions of the store's contents that a host knows. The `store_ms`
// fields give the store's time at which each was confirmed to be the newest.
struct knowledge_message {
    std::uint64_t configuration_version = 0;
    std::int64_t configuration_store_ms = 0;
    std::uint64_t listing_hash = 0;
    std::int64_t listing_store_ms = 0;
    // The evacuated failure domains as of this version of the store; 0 if the
    // sender does not know them.
    std::uint64_t evacuation_version = 0;
    evacuation::domain_set evacuated_domains;
    // Era of the store to which that version belongs.
    std::uint64_t evacuation_era = 0;
    // Failure domains evacuated in an earlier era that the store doesn't have
    // yet.
    evacuation::domain_set unconfirmed_domains;
    MSGPACK_DEFINE_ARRAY(configuration_version, configuration_store_ms,
                         listing_hash, listing_store_ms, evacuation_version,
                         evacuated_domains, evacuation_era, unconfirmed_domains)
};

// One backend server of a listing.
struct server_message {
    std::string id;
    std::string service;
    std::string address;
    std::string failure_domain;
    std::uint32_t slots = 0;
    std::uint64_t started_at_ms = 0;
    bool draining = false;
    // How much longer the server is slow after its start; negative if it did
    // not report that.
    std::int64_t cold_remaining_ms = -1;
    MSGPACK_DEFINE_ARRAY(id, service, address, failure_domain, slots,
                         started_at_ms, draining, cold_remaining_ms)
};

// One part of a listing of backend servers. A listing is split so that each
// part fits into a datagram.
struct listing_message {
    // Hash of the whole listing.
    std::uint64_t hash = 0;
    // Store time at which the listing was read.
    std::int64_t store_ms = 0;
    // Index of this part, less than `parts`.
    std::uint32_t part = 0;
    std::uint32_t parts = 1;
    std::vector<server_message> servers;
    MSGPACK_DEFINE_ARRAY(hash, store_ms, part, parts, servers)
};

// One part of a configuration, which is split so that each part fits into a
// datagram.
struct configuration_message {
    std::uint64_t version = 0;
    // Hash of the whole text.
    std::uint64_t hash = 0;
    // Store time at which the configuration was read.
    std::int64_t store_ms = 0;
    // Host that read it from the store, if the receiver is to forward it. Empty
    // in the response to a request.
    std::string origin;
    // Index of this part, less than `parts`.
    std::uint32_t part = 0;
    std::uint32_t parts = 1;
    std::string text;
    MSGPACK_DEFINE_ARRAY(version, hash, store_ms, origin, part, parts, text)
};

// An entry host as announced in the store.
struct announced_host_message {
    std::string name;
    std::string address;
    std::string failure_domain;
    std::uint64_t row_version = 0;
    MSGPACK_DEFINE_ARRAY(name, address, failure_domain, row_version)
};

// A run of prompt tokens whose cache entries are shared by all requests with
// the same segment.
struct prompt_segment_message {
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
    MSGPACK_DEFINE_ARRAY(id, tokens)
};

// A request that waits for an engine slot or runs in one.
struct scheduled_request_message {
    std::uint64_t number = 0;
    std::string engine;
    // Capacity of the engine: concurrent requests, and tokens that its memory
    // holds (0: unknown).
    std::uint32_t slots = 0;
    std::uint64_t memory_tokens = 0;
    std::string organisation;
    // Weighted tokens that the request charges to its organisation's share.
    double cost = 0;
    // Prompt tokens outside the shared segments.
    std::uint32_t own_tokens = 0;
    // Expected number of generated tokens.
    std::uint32_t output_tokens = 0;
    std::vector<prompt_segment_message> shared;
    // Time left until the latest start at which the first event is still in
    // time, and until the latest start for an organisation below its fair
    // share. Counted from the sending of the message; negative when past.
    std::int64_t start_within_us = 0;
    std::int64_t give_up_within_us = 0;
    // If false, the request is refused unless a slot is free at once.
    bool may_wait = false;
    // Whether the first event has arrived.
    bool started = false;
    MSGPACK_DEFINE_ARRAY(number, engine, slots, memory_tokens, organisation,
                         cost, own_tokens, output_tokens, shared,
                         start_within_us, give_up_within_us, may_wait, started)
};

// Recent usage of one organisation, in weighted tokens.
struct organisation_usage_message {
    std::string organisation;
    double asked = 0;
    double granted = 0;
    MSGPACK_DEFINE_ARRAY(organisation, asked, granted)
};

// An engine ended before the first event of a request.
struct segment_crash_message {
    std::string engine;
    std::vector<std::uint64_t> segments;
    // Time from sending the request to the engine until this message was sent.
    std::int64_t sent_before_us = 0;
    // Failure domain of the host that saw it, and whether the engine is in it.
    std::string failure_domain;
    bool is_local = false;
    MSGPACK_DEFINE_ARRAY(engine, segments, sent_before_us, failure_domain,
                         is_local)
};

// Asks to send one request with restricted segments.
struct segment_trial_message {
    std::uint64_t number = 0;
    std::vector<std::uint64_t> segments;
    MSGPACK_DEFINE_ARRAY(number, segments)
};

struct segment_report_message {
    // Increases with each report of the sender; repeated in the response.
    std::uint64_t number = 0;
    std::vector<segment_crash_message> crashes;
    // Suspect segments of a request whose first event arrived.
    std::vector<std::uint64_t> cleared;
    std::vector<segment_trial_message> trials;
    // Numbers of the trials of the sender that ended.
    std::vector<std::uint64_t> ended_trials;
    MSGPACK_DEFINE_ARRAY(number, crashes, cleared, trials, ended_trials)
};

struct suspect_segment_message {
    std::uint64_t id = 0;
    std::uint32_t crashes = 0;
    MSGPACK_DEFINE_ARRAY(id, crashes)
};

struct quarantined_segment_message {
    std::uint64_t id = 0;
    std::int64_t remaining_ms = 0;
    // Whether the store has the quarantine.
    bool stored = false;
    MSGPACK_DEFINE_ARRAY(id, remaining_ms, stored)
};

struct segment_table_message {
    // Number of the report that this message responds to; 0 if none.
    std::uint64_t acknowledged = 0;
    // Whether the sender knows what the store has.
    bool complete = false;
    std::vector<suspect_segment_message> suspects;
    std::vector<quarantined_segment_message> quarantined;
    // Trials that the receiver may begin.
    std::vector<std::uint64_t> granted_trials;
    MSGPACK_DEFINE_ARRAY(acknowledged, complete, suspects, quarantined,
                         granted_trials)
};

// The envelope of every datagram between hosts. `type` determines which of the
// optional fields are used.
struct host_message {
    static constexpr std::uint32_t current_version = 1;

    std::uint32_t version = current_version;
    // A `message_type`.
    std::uint8_t type = 0;
    // Name and incarnation of the sending host.
    std::string host;
    std::uint64_t incarnation = 0;
    // In a `slot_request` exactly one entry; in an `inventory` all granted
    // requests on the receiver's engines.
    std::vector<scheduled_request_message> work;
    // Number and engine of the request, in a `slot_response`, `first_event` or
    // `release`.
    std::uint64_t number = 0;
    std::string engine;
    // In a `slot_response`: an `overload::engine_decision`, and after a refusal
    // the time after which the caller should retry. In a `release`: whether the
    // engine was unreachable.
    std::uint8_t decision = 0;
    std::int64_t retry_after_ms = 0;
    // In a `first_event`: whether the event met its latency target.
    bool in_time = true;
    // At most one entry, in a `knowledge` or a `listing` message respectively.
    // A `server_leaving` message has a listing with that server only. Of the
    // knowledge in an `evacuated_domains` message, only those are read.
    std::vector<knowledge_message> knowledge;
    std::vector<listing_message> listing;
    // Failure domain of the sender; read from `hello` and `domain_shares`.
    std::string failure_domain;
    // In `host_shares`, `domain_shares` and `fleet_shares`.
    std::vector<organisation_usage_message> shares;
    // At most one entry, in a `configuration` message.
    std::vector<configuration_message> configuration;
    std::vector<announced_host_message> hosts;
    // At most one entry each, in a message of that type.
    std::vector<segment_report_message> segment_reports;
    std::vector<segment_table_message> segment_tables;
    // In a `slot_response` that grants a slot on a cold engine: time from the
    // request for the slot within which the request must be sent to the engine.
    // Zero if it may be sent at any time.
    std::int64_t send_within_ms = 0;
    MSGPACK_DEFINE_ARRAY(version, type, host, incarnation, work, number, engine,
                         decision, retry_after_ms, in_time, knowledge, listing,
                         failure_domain, shares, configuration, hosts,
                         segment_reports, segment_tables, send_within_ms)
};

std::string encode_message(const host_message& message);

// Returns nullopt if `bytes` is not a well-formed message of the current
// version.
std::optional<host_message> decode_message(std::string_view bytes);

}  // namespace bronzehub::entry

#endif
