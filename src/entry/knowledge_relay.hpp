// Hands on what one host of a failure domain read from the store.
//
// The reader tells its neighbours after each read which configuration and
// which listing of backend servers are the newest, with the store's time of
// the reading. A neighbour that has the same ones refreshes their age; one
// that lacks the listing asks the reader for it; one that lacks the
// configuration reads it from the store, as that changes seldom.
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

struct relay_hooks {
    // The configuration of this version was the newest at this store time.
    std::function<void(std::uint64_t version, std::chrono::milliseconds)>
        on_configuration_known;
    // The listing that this host holds was the newest at this store time.
    std::function<void(std::chrono::milliseconds)> on_listing_known;
    // A whole listing arrived.
    std::function<void(const std::vector<fleet_state::backend_server>&,
                       std::chrono::milliseconds)>
        on_listing;
};

// Not thread-safe.
class knowledge_relay {
public:
    // Servers in one part of a listing; a part stays well under the size of a
    // datagram.
    static constexpr std::size_t servers_per_part = 200;
    // A listing that was asked for is asked for again after this time.
    static constexpr std::chrono::milliseconds request_again_after{150};

    knowledge_relay(host_directory& hosts, base::clock clock,
                    datagram_sender send, std::uint64_t incarnation,
                    relay_hooks hooks);

    // This host read the store: tell the neighbours.
    void on_configuration_read(std::uint64_t version,
                               std::chrono::milliseconds store_time);
    void on_listing_read(std::span<const fleet_state::backend_server> servers,
                         std::chrono::milliseconds store_time);

    // This host has a listing from elsewhere.
    void hold(std::span<const fleet_state::backend_server> servers,
              std::chrono::milliseconds store_time);

    // Starting and stopping.
    void say_hello();
    void say_farewell();

    // A message of one of the types that this class sends; others are ignored.
    void on_message(const std::string& from, const schedule_message& message);

    std::uint64_t listing_hash() const { return known_.listing_hash; }

private:
    void tell_neighbours();
    void on_knowledge(const std::string& from,
                      const knowledge_message& knowledge);
    void on_part(const listing_message& part);
    void send_listing(const std::string& to);
    void send(const std::string& to, const schedule_message& message) const;
    schedule_message make(message_type type) const;

    host_directory& hosts_;
    base::clock clock_;
    datagram_sender send_;
    std::uint64_t incarnation_;
    relay_hooks hooks_;
    knowledge_message known_;
    std::vector<server_message> listing_;
    base::time_point requested_at_{};
    // Parts of the listing that is arriving.
    std::uint64_t arriving_hash_ = 0;
    std::map<std::uint32_t, std::vector<server_message>> arriving_;
};

// The same for equal listings, whatever their order.
std::uint64_t hash_listing(
    std::span<const fleet_state::backend_server> servers);

}  // namespace bronzehub::entry

#endif
