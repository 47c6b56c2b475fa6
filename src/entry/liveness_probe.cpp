#include "entry/liveness_probe.hpp"

#include <algorithm>
#include <asio/ip/tcp.hpp>
#include <memory>
#include <utility>

#include "base/ip_endpoint.hpp"
#include "entry/engine_pool.hpp"

namespace bronzehub::entry {

using asio::ip::tcp;
using overload::connect_result;
using step = overload::server_end_check::step;

void liveness_probe::check(const fleet_state::backend_server& server,
                           callback done) {
    const std::string instance = instance_name(server);
    const auto [entry, is_new] = checks_.try_emplace(
        instance,
        running_check{
            server, overload::server_end_check(loop_.clock()), {}, 0});
    entry->second.callers.push_back(std::move(done));
    if (is_new) {
        perform_next_step(instance);
    }
}

void liveness_probe::perform_next_step(const std::string& instance) {
    const auto found = checks_.find(instance);
    if (found == checks_.end()) {
        return;
    }
    running_check& check = found->second;
    const auto listed = servers_.all().find(check.server.id);
    if (listed != servers_.all().end() &&
        listed->second.started_at_ms > check.server.started_at_ms) {
        check.decision.on_restart_listed();
    }
    switch (check.decision.next_step()) {
        case step::connect_to_server:
            connect(check.server.address,
                    [this, instance](connect_result result) {
                        checks_.at(instance).decision.on_server_connect(result);
                        perform_next_step(instance);
                    });
            return;
        case step::connect_to_neighbours:
            connect_to_neighbours(instance, check);
            return;
        case step::wait:
            loop_.run_after(check.decision.pause(), [this, instance] {
                checks_.at(instance).decision.on_pause_over();
                perform_next_step(instance);
            });
            return;
        case step::finish:
            loop_.run_after(base::duration(0),
                            [this, instance] { finish(instance); });
            return;
    }
}

void liveness_probe::connect_to_neighbours(const std::string& instance,
                                           running_check& check) {
    std::vector<std::string> addresses;
    for (const auto& [id, server] : servers_.all()) {
        if (id != check.server.id &&
            server.failure_domain == check.server.failure_domain) {
            addresses.push_back(server.address);
        }
    }
    if (addresses.empty()) {
        check.decision.on_neighbours_connect(false);
        perform_next_step(instance);
        return;
    }
    const std::size_t count = std::min(addresses.size(), max_neighbours);
    std::ranges::rotate(
        addresses,
        addresses.begin() + static_cast<std::ptrdiff_t>(check.neighbours_tried %
                                                        addresses.size()));
    check.neighbours_tried += count;
    struct summary {
        std::size_t pending = 0;
        bool any_accepted = false;
    };
    const auto results = std::make_shared<summary>(summary{count, false});
    for (std::size_t i = 0; i < count; ++i) {
        connect(addresses[i], [this, instance, results](connect_result result) {
            results->any_accepted =
                results->any_accepted || result == connect_result::accepted;
            if (--results->pending == 0) {
                checks_.at(instance).decision.on_neighbours_connect(
                    results->any_accepted);
                perform_next_step(instance);
            }
        });
    }
}

void liveness_probe::connect(const std::string& address,
                             const connect_callback& done) {
    asio::error_code error;
    const auto parsed = base::parse_ip_endpoint(address);
    const auto ip =
        asio::ip::make_address(parsed ? parsed->address : "", error);
    if (error) {
        loop_.run_after(base::duration(0),
                        [done] { done(connect_result::failed); });
        return;
    }
    ++probe_count_;
    const auto socket = std::make_shared<tcp::socket>(loop_.context());
    const auto timer = loop_.run_after(timeout, [socket] {
        asio::error_code ignored;  // The result is an aborted connect.
        std::ignore = socket->close(ignored);
    });
    socket->async_connect(
        tcp::endpoint(ip, parsed->port),
        [this, done, socket, timer](const asio::error_code& failed) {
            loop_.cancel(timer);
            done(!failed ? connect_result::accepted
                 : failed == asio::error::connection_refused
                     ? connect_result::refused
                     : connect_result::failed);
        });
}

void liveness_probe::finish(const std::string& instance) {
    const auto node = checks_.extract(instance);
    for (const callback& done : node.mapped().callers) {
        done(node.mapped().decision.has_ended());
    }
}

}  // namespace bronzehub::entry
