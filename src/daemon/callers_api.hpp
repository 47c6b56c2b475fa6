// The callers' listener: turns HTTP requests into calls.
#ifndef BRONZEHUB_DAEMON_CALLERS_API_HPP
#define BRONZEHUB_DAEMON_CALLERS_API_HPP

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "calls/routing.hpp"
#include "configuration/snapshot_holder.hpp"
#include "http_server/server.hpp"

namespace bronzehub::daemon {

struct callers_hooks {
    // Hands a call to the decision thread.
    std::function<void(std::uint64_t id, std::string request_id,
                       calls::routed_call,
                       std::shared_ptr<http_server::response_writer>)>
        admit;
};

// Thread-safe: `handle` runs on every I/O thread. Reads the configuration
// without locks.
class callers_api {
public:
    // `request_prefix` starts every request id and is unique for this
    // incarnation of the daemon.
    callers_api(const configuration::snapshot_holder& configuration,
                std::string request_prefix, callers_hooks hooks);

    void handle(http_server::request request,
                std::shared_ptr<http_server::response_writer> writer);

    // From now on every request is refused as not run.
    void set_draining() { draining_.store(true); }

    // Requests refused before they became calls.
    std::uint64_t refused() const { return refused_.load(); }

private:
    std::variant<calls::routed_call, base::refusal> route(
        http_server::request&& request) const;

    const configuration::snapshot_holder& configuration_;
    std::string request_prefix_;
    callers_hooks hooks_;
    std::atomic<bool> draining_ = false;
    std::atomic<std::uint64_t> next_id_ = 1;
    std::atomic<std::uint64_t> refused_ = 0;
};

}  // namespace bronzehub::daemon

#endif
