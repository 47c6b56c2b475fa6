#include "entry/backend_pool.hpp"

#include <algorithm>
#include <utility>

namespace bronzehub::entry {

base::duration backend_pool::max_idle(
    const std::optional<base::duration>& announced, bool idempotent) {
    if (!announced) {
        return idempotent ? default_keep_alive_timeout : unannounced_idle;
    }
    return idempotent
               ? *announced - keep_alive_margin
               : std::min<base::duration>(*announced / announced_idle_divisor,
                                          max_non_idempotent_idle);
}

bool backend_pool::is_usable(const backend_connection& connection,
                             bool idempotent) const {
    return connection.is_free() &&
           loop_.now() - connection.idle_since() <
               max_idle(connection.keep_alive_timeout(), idempotent);
}

std::shared_ptr<backend_connection> backend_pool::acquire(
    const std::string& instance, const std::string& address, bool idempotent) {
    auto& connections = idle_[instance];
    // Reuses the most recently used connection first, so that surplus ones
    // reach their timeout and are closed.
    while (!connections.empty()) {
        if (!is_usable(*connections.back(), idempotent)) {
            if (!connections.back()->is_closed() && !idempotent &&
                is_usable(*connections.back(), true)) {
                break;  // An idempotent request can still use it.
            }
            connections.pop_back();
            continue;
        }
        auto connection = std::move(connections.back());
        connections.pop_back();
        ++reused_count_;
        return connection;
    }
    ++opened_count_;
    return std::make_shared<backend_connection>(loop_, address,
                                                receive_buffer_bytes_);
}

void backend_pool::release(const std::string& instance,
                           std::shared_ptr<backend_connection> connection) {
    auto& connections = idle_[instance];
    if (connection->is_free() && connections.size() < max_idle_per_instance) {
        connections.push_back(std::move(connection));
    } else {
        connection->close();
    }
}

void backend_pool::reap() {
    for (auto& [instance, connections] : idle_) {
        std::erase_if(connections, [this](const auto& connection) {
            return !is_usable(*connection, true);
        });
    }
    std::erase_if(idle_,
                  [](const auto& entry) { return entry.second.empty(); });
}

}  // namespace bronzehub::entry
