// Connections to backend servers, kept for reuse.
#ifndef BRONZEHUB_ENTRY_BACKEND_POOL_HPP
#define BRONZEHUB_ENTRY_BACKEND_POOL_HPP

#include <deque>
#include <map>
#include <memory>
#include <string>

#include "entry/backend_connection.hpp"

namespace bronzehub::entry {

// Not thread-safe.
class backend_pool {
public:
    // A request that must not run twice only uses a connection that was in use
    // this recently: one that the other side closes meanwhile would leave
    // unknown whether the request ran.
    static constexpr std::chrono::milliseconds fresh_for{250};
    // Idle time for a repeatable request when the server announced no limit.
    static constexpr std::chrono::milliseconds default_idle_limit{1000};
    // Taken off an announced limit, which is in whole seconds.
    static constexpr std::chrono::milliseconds idle_margin{1000};
    // Idle connections kept for one backend server.
    static constexpr std::size_t max_idle_per_server = 16;

    explicit backend_pool(event_loop& loop) : loop_(loop) {}

    // A free connection, new or kept. `server` names one start of a backend
    // server.
    std::shared_ptr<backend_connection> acquire(const std::string& server,
                                                const std::string& address,
                                                bool repeatable);

    // Takes a connection back. One that is closed is dropped.
    void release(const std::string& server,
                 std::shared_ptr<backend_connection> connection);

    // Closes the idle connections of a server that is gone.
    void forget(const std::string& server) { idle_.erase(server); }

    // Closes connections that were idle for too long.
    void reap();

    std::uint64_t opened_count() const { return opened_; }
    std::uint64_t reused_count() const { return reused_; }

private:
    bool is_usable(const backend_connection& connection, bool repeatable) const;

    event_loop& loop_;
    std::map<std::string, std::deque<std::shared_ptr<backend_connection>>>
        idle_;
    std::uint64_t opened_ = 0;
    std::uint64_t reused_ = 0;
};

}  // namespace bronzehub::entry

#endif
