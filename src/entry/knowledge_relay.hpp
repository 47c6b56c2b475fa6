// Distributes store contents that one host has read to the other hosts of its
// failure domain, so that only few hosts have to poll the store.
//
// After each read, the reading host sends its peers the version of the newest
// configuration, the hash of the newest listing of backend servers, and the
// store's time of the read. A peer that holds the same contents refreshes their
// age. A peer with an older listing requests the new one from the sender. A
// peer with an older configuration reads the new one from the store itself,
// because the configuration rarely changes.
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
#include "fleet_state/backend_servers.hpp"

namespace bronzehub::entry {

// Called when a peer sends store contents.
struct relay_callbacks {
    // The configuration of this version was the newest at this store time.
    std::function<void(std::uint64_t version, std::chrono::milliseconds)>
        on_configuration_version;
    // The listing that this host holds was the newest at this store time.
    std::function<void(std::chrono::milliseconds)> on_listing_confirmed;
    // All parts of a new listing have arrived. It was read at this store time.
    std::function<void(const std::vector<fleet_state::backend_server>&,
                       std::chrono::milliseconds)>
        on_listing;
};

// Not thread-safe.
class knowledge_relay {
public:
    // Servers in one part of a listing. Such a part stays well below the size
    // limit of a datagram.
    static constexpr std::size_t servers_per_part = 200;
    // Shortest time between two requests for a listing.
    static constexpr std::chrono::milliseconds listing_request_interval{150};

    knowledge_relay(host_directory& hosts, base::clock clock,
                    datagram_sender send, std::uint64_t incarnation,
                    relay_callbacks callbacks);

    // Called when this host has read the configuration or the listing from the
    // store. Sends the version, and a changed listing, to the peers of the
    // failure domain.
    void on_configuration_read(std::uint64_t version,
                               std::chrono::milliseconds store_time);
    void on_listing_read(std::span<const fleet_state::backend_server> servers,
                         std::chrono::milliseconds store_time);

    // Sets the listing that this host holds without sending anything.
    void set_listing(std::span<const fleet_state::backend_server> servers,
                     std::chrono::milliseconds store_time);

    // Tells all other hosts that this host starts, or that it stops.
    void send_hello();
    void send_leave();

    // Handles messages of the types that this class sends; ignores others.
    void on_message(const std::string& from, const host_message& message);

    // Hash of the listing that this host holds.
    std::uint64_t listing_hash() const { return known_.listing_hash; }

private:
    void send_knowledge();
    void on_knowledge(const std::string& from,
                      const knowledge_message& knowledge);
    void on_listing_part(const listing_message& part);
    void send_listing(const std::string& to);
    void send(const std::string& to, const host_message& message) const;
    host_message make_message(message_type type) const;

    host_directory& hosts_;
    base::clock clock_;
    datagram_sender send_;
    std::uint64_t incarnation_;
    relay_callbacks callbacks_;
    // Versions of the newest contents that this host knows.
    knowledge_message known_;
    std::vector<server_message> listing_;
    base::time_point listing_requested_at_{};
    // Hash of the listing that is being received, and its parts by index.
    std::uint64_t incoming_hash_ = 0;
    std::map<std::uint32_t, std::vector<server_message>> incoming_parts_;
};

// Returns a hash that does not depend on the order of `servers`.
std::uint64_t hash_listing(
    std::span<const fleet_state::backend_server> servers);

}  // namespace bronzehub::entry

#endif
