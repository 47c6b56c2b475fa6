#include "entry/liveness_probe.hpp"

#include <asio/ip/tcp.hpp>
#include <memory>
#include <utility>

#include "base/ip_endpoint.hpp"
#include "entry/engine_pool.hpp"

namespace bronzehub::entry {

using asio::ip::tcp;

void liveness_probe::check(const fleet_state::backend_server& server,
                           callback done) {
    const std::string instance = instance_name(server);
    auto& callers = waiting_[instance];
    callers.push_back(std::move(done));
    if (callers.size() > 1) {
        return;
    }
    asio::error_code error;
    const auto parsed = base::parse_ip_endpoint(server.address);
    const auto address =
        asio::ip::make_address(parsed ? parsed->address : "", error);
    if (error) {
        loop_.run_after(base::duration(0),
                        [this, instance] { finish(instance, false); });
        return;
    }
    ++probe_count_;
    const auto socket = std::make_shared<tcp::socket>(loop_.context());
    const auto timer = loop_.run_after(timeout, [socket] {
        asio::error_code ignored;  // The result is an aborted connect.
        std::ignore = socket->close(ignored);
    });
    socket->async_connect(
        tcp::endpoint(address, parsed->port),
        [this, instance, socket, timer](const asio::error_code& failed) {
            loop_.cancel(timer);
            finish(instance, failed == asio::error::connection_refused);
        });
}

void liveness_probe::finish(const std::string& instance, bool has_ended) {
    const auto node = waiting_.extract(instance);
    if (node.empty()) {
        return;
    }
    for (const callback& done : node.mapped()) {
        done(has_ended);
    }
}

}  // namespace bronzehub::entry
