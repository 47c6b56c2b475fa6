// Tells a backend server that has ended from one that only closed a connection
// or can't be reached.
//
// Performs the connects of `overload::server_end_check`, which are closed
// without sending anything.
#ifndef BRONZEHUB_ENTRY_LIVENESS_PROBE_HPP
#define BRONZEHUB_ENTRY_LIVENESS_PROBE_HPP

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "fleet_state/backend_servers.hpp"
#include "net/event_loop.hpp"
#include "overload/server_end_check.hpp"

namespace bronzehub::entry {

// Not thread-safe. Must live until the event loop has stopped.
class liveness_probe {
public:
    using callback = std::function<void(bool has_ended)>;

    // A server that doesn't respond within this time does not count as ended.
    static constexpr std::chrono::milliseconds timeout{400};
    // Servers of the failure domain that are tried at the same time. One that
    // accepts is enough, and some may have ended, too.
    static constexpr std::size_t max_neighbours = 3;

    liveness_probe(net::event_loop& loop,
                   const fleet_state::backend_directory& servers)
        : loop_(loop), servers_(servers) {}

    // Calls `done` exactly once, later. Callers that ask about the same
    // instance at the same time share one check.
    void check(const fleet_state::backend_server& server, callback done);

    // Number of connections opened so far.
    std::uint64_t probe_count() const { return probe_count_; }

private:
    using connect_callback = std::function<void(overload::connect_result)>;

    struct running_check {
        fleet_state::backend_server server;
        overload::server_end_check decision;
        std::vector<callback> callers;
        // Number of neighbours tried so far.
        std::size_t neighbours_tried = 0;
    };

    void perform_next_step(const std::string& instance);
    void connect_to_neighbours(const std::string& instance,
                               running_check& check);
    void connect(const std::string& address, const connect_callback& done);
    void finish(const std::string& instance);

    net::event_loop& loop_;
    const fleet_state::backend_directory& servers_;
    // By instance of the server.
    std::map<std::string, running_check> checks_;
    std::uint64_t probe_count_ = 0;
};

}  // namespace bronzehub::entry

#endif
