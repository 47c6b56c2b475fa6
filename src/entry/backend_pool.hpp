// Pool of idle connections to backend servers.
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
    // Longest idle time of a connection that is reused for a request that is
    // not idempotent, if the server announced no keep-alive timeout. If the
    // server closed the connection while the request is sent, it would be
    // unknown whether the request ran.
    static constexpr std::chrono::milliseconds unannounced_idle{250};
    // Longest such time after an announcement, besides a quarter of the
    // announced time. Within it, a connection that went silent is detected.
    static constexpr std::chrono::milliseconds max_non_idempotent_idle{2000};
    static constexpr int announced_idle_divisor = 4;
    // Longest idle time of a connection that is reused for an idempotent
    // request if the server announced no keep-alive timeout.
    static constexpr std::chrono::milliseconds default_keep_alive_timeout{1000};
    // Subtracted from the announced keep-alive timeout, which has a resolution
    // of one second.
    static constexpr std::chrono::milliseconds keep_alive_margin{1000};
    // Idle connections that are kept for each server instance.
    static constexpr std::size_t max_idle_per_instance = 16;

    explicit backend_pool(net::event_loop& loop, int receive_buffer_bytes = 0)
        : loop_(loop), receive_buffer_bytes_(receive_buffer_bytes) {}

    // Returns an idle connection, or a new one that connects when it is first
    // used. `instance` is the `instance_name` of the backend server.
    std::shared_ptr<backend_connection> acquire(const std::string& instance,
                                                const std::string& address,
                                                bool idempotent);

    // Returns a connection to the pool. Closes it if it can't be reused or
    // enough connections to the instance are idle.
    void release(const std::string& instance,
                 std::shared_ptr<backend_connection> connection);

    // Closes the idle connections to an instance that no longer exists.
    void forget(const std::string& instance) { idle_.erase(instance); }

    // Closes connections that were idle for too long to be reused.
    void reap();

    // Connections that `acquire` created and reused.
    std::uint64_t opened_count() const { return opened_count_; }
    std::uint64_t reused_count() const { return reused_count_; }

    // Longest idle time of a connection that is reused. `announced` is the
    // server's keep-alive timeout, if it announced one.
    static base::duration max_idle(
        const std::optional<base::duration>& announced, bool idempotent);

private:
    // Whether a request may be sent on the connection.
    bool is_usable(const backend_connection& connection, bool idempotent) const;

    net::event_loop& loop_;
    int receive_buffer_bytes_;
    // By instance name; the most recently used connection is last.
    std::map<std::string, std::deque<std::shared_ptr<backend_connection>>>
        idle_;
    std::uint64_t opened_count_ = 0;
    std::uint64_t reused_count_ = 0;
};

}  // namespace bronzehub::entry

#endif
