// Distributes store contents that one host has read to the other hosts of its
// failure domain, so that only few hosts have to poll the store.
//
// After each read, the reading host sends its peers the version of the newest
// configuration, the hash of the newest listing of backend servers, and the
// store's time of the read. A peer that holds the same contents refreshes their
// age. A peer with older contents requests the new ones from the sender.
//
// A new configuration is also forwarded along a tree of the hosts, as it is
// large and many hosts need it at once. A host that does not get it either way
// reads it from the store.
#ifndef BRONZEHUB_ENTRY_KNOWLEDGE_RELAY_HPP
#define BRONZEHUB_ENTRY_KNOWLEDGE_RELAY_HPP

#include <chrono>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <vector>

#include "base/clock.hpp"
#include "entry/host_directory.hpp"
#include "entry/schedule_link.hpp"
#include "entry/schedule_messages.hpp"
#include "evacuation/evacuated_domains.hpp"
#include "fleet_state/backend_servers.hpp"

namespace bronzehub::entry {

// Called when a peer sends store contents.
struct relay_callbacks {
    // The configuration of this version was the newest at this store time; 0 if
    // there was none.
    std::function<void(std::uint64_t version, std::chrono::milliseconds)>
        on_configuration_version;
    // All parts of a configuration have arrived. It was read at this store
    // time. Returns whether the text is valid and newer than the known one.
    std::function<bool(const std::string& text, std::chrono::milliseconds)>
        on_configuration;
    // The listing that this host holds was the newest at this store time.
    std::function<void(std::chrono::milliseconds)> on_listing_confirmed;
    // All parts of a new listing have arrived. It was read at this store time.
    // Returns whether the host uses it; if not, it is requested again.
    std::function<bool(const std::vector<fleet_state::backend_server>&,
                       std::chrono::milliseconds)>
        on_listing;
    // This backend server announced that it is about to stop.
    std::function<void(const fleet_state::backend_server&)> on_server_leaving;
    // Another host told which failure domains are evacuated.
    std::function<void(evacuation::domain_report)> on_evacuated_domains;
};

// Not thread-safe.
class knowledge_relay {
public:
    // Contents of one part of a listing, of a configuration or of a list of
    // hosts, in bytes without the framing. Such a part stays well below the
    // size limit of a datagram.
    static constexpr std::size_t max_part_bytes = std::size_t{32} * 1024;
    // Shortest time between two requests for the same contents.
    static constexpr std::chrono::milliseconds request_interval{150};

    knowledge_relay(host_directory& hosts, base::clock clock,
                    datagram_sender send, std::uint64_t incarnation,
                    relay_callbacks callbacks);

    // Called when this host has read the configuration or the listing from the
    // store. Sends the version, and changed contents, to the peers of the
    // failure domain. `version` is 0 if there is no configuration yet.
    void on_configuration_read(std::uint64_t version, const std::string& text,
                               std::chrono::milliseconds store_time);
    void on_listing_read(std::span<const fleet_state::backend_server> servers,
                         std::chrono::milliseconds store_time);

    // Whether another host has sent a newer listing since a read of the store
    // was sent that now returns one of `store_time`. A later read is used even
    // if its store time is earlier: the clock of the store may be set back.
    bool supersedes_read(base::time_point sent_at,
                         std::chrono::milliseconds store_time) const {
        return sent_at <= listing_received_at_ &&
               store_time.count() < known_.listing_store_ms;
    }

    // Sets the listing that this host holds without sending anything.
    void set_listing(std::span<const fleet_state::backend_server> servers,
                     std::chrono::milliseconds store_time);

    // Sets the evacuated failure domains that this host knows without sending
    // anything; `on_configuration_read` sends them to the failure domain.
    void set_evacuated_domains(const evacuation::domain_report& report);
    // Sends them to the hosts of all other failure domains.
    void send_evacuated_domains();

    // Requests the configuration from the host that last told of a newer one,
    // unless it was requested a moment ago.
    void request_configuration();

    // Tells the peers of the failure domain that a backend server announced its
    // stop.
    void send_server_leaving(const fleet_state::backend_server& server);

    // Sends the hosts that are announced in the store to the peers of the
    // failure domain.
    void send_hosts(std::span<const announced_host_message> hosts);

    // Tells all other hosts that this host starts, or that it stops.
    void send_hello();
    void send_leave();

    // Handles messages of the types that this class sends; ignores others.
    void on_message(const std::string& from, const host_message& message);

    // Hash of the listing that this host holds.
    std::uint64_t listing_hash() const { return known_.listing_hash; }

private:
    void send_knowledge();
    void on_knowledge(const std::string& from, const host_message& message);
    void on_evacuated_domains(const host_message& message);
    void on_hello(const std::string& from, const host_message& message);
    void on_listing_part(const listing_message& part);
    void on_configuration_part(const configuration_message& part);
    void send_listing(const std::string& to);
    // Sends the configuration that this host holds. The receiver forwards it if
    // `origin`, the host that read it from the store, is not empty.
    void send_configuration(const std::string& to, const std::string& origin);
    void forward_configuration(const std::string& origin);
    void send(const std::string& to, const host_message& message) const;
    void send_to_domain(const host_message& message) const;
    host_message make_message(message_type type) const;

    host_directory& hosts_;
    base::clock clock_;
    datagram_sender send_;
    std::uint64_t incarnation_;
    relay_callbacks callbacks_;
    // Versions of the newest contents that this host knows.
    knowledge_message known_;
    std::vector<server_message> listing_;
    std::string configuration_text_;
    base::time_point listing_requested_at_{};
    // When the last listing of another host was accepted.
    base::time_point listing_received_at_ = base::time_point::min();
    base::time_point configuration_requested_at_{};
    // Address of the host that last told of a newer configuration.
    std::string configuration_source_;
    // Identifies the configuration that is being received, and its parts by
    // index.
    configuration_message incoming_configuration_;
    std::map<std::uint32_t, std::string> incoming_configuration_parts_;
    // Hash of the listing that is being received, and its parts by index.
    std::uint64_t incoming_hash_ = 0;
    std::map<std::uint32_t, std::vector<server_message>> incoming_parts_;
};

// Returns a hash that does not depend on the order of `servers`.
std::uint64_t hash_listing(
    std::span<const fleet_state::backend_server> servers);

}  // namespace bronzehub::entry

#endif
