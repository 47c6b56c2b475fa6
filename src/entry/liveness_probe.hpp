// Tells a backend server that has ended from one that only closed a connection.
//
// A process that has ended no longer listens, so connections to its address are
// refused. The probe opens one connection and closes it without sending
// anything.
#ifndef BRONZEHUB_ENTRY_LIVENESS_PROBE_HPP
#define BRONZEHUB_ENTRY_LIVENESS_PROBE_HPP

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "fleet_state/backend_servers.hpp"
#include "net/event_loop.hpp"

namespace bronzehub::entry {

// Not thread-safe. Must live until the event loop has stopped.
class liveness_probe {
public:
    using callback = std::function<void(bool has_ended)>;

    // A server that doesn't respond within this time does not count as ended.
    static constexpr std::chrono::milliseconds timeout{400};

    explicit liveness_probe(net::event_loop& loop) : loop_(loop) {}

    // Calls `done` exactly once, later. Callers that ask about the same
    // instance at the same time share one connection.
    void check(const fleet_state::backend_server& server, callback done);

    // Number of connections opened so far.
    std::uint64_t probe_count() const { return probe_count_; }

private:
    void finish(const std::string& instance, bool has_ended);

    net::event_loop& loop_;
    // Callers that wait for a result, by instance of the server.
    std::map<std::string, std::vector<callback>> waiting_;
    std::uint64_t probe_count_ = 0;
};

}  // namespace bronzehub::entry

#endif
