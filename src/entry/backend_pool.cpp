#include "entry/backend_pool.hpp"

#include <utility>

namespace bronzehub::entry {

bool backend_pool::is_usable(const backend_connection& connection,
                             bool repeatable) const {
    if (!connection.is_free()) {
        return false;
    }
    const base::duration idle = loop_.now() - connection.idle_since();
    if (!repeatable) {
        return idle < fresh_for;
    }
    return idle < (connection.keep_alive_timeout()
                       ? *connection.keep_alive_timeout() - idle_margin
                       : base::duration(default_idle_limit));
}

std::shared_ptr<backend_connection> backend_pool::acquire(
    const std::string& server, const std::string& address, bool repeatable) {
    auto& kept = idle_[server];
    // The most recently used first: the others can then grow old and close.
    while (!kept.empty()) {
        if (!is_usable(*kept.back(), repeatable)) {
            if (!kept.back()->is_closed() && !repeatable &&
                is_usable(*kept.back(), true)) {
                break;  // Left for a request that may be repeated.
            }
            kept.pop_back();
            continue;
        }
        auto connection = std::move(kept.back());
        kept.pop_back();
        ++reused_;
        return connection;
    }
    ++opened_;
    return std::make_shared<backend_connection>(loop_, address);
}

void backend_pool::release(const std::string& server,
                           std::shared_ptr<backend_connection> connection) {
    auto& kept = idle_[server];
    if (connection->is_free() && kept.size() < max_idle_per_server) {
        kept.push_back(std::move(connection));
    } else {
        connection->close();
    }
}

void backend_pool::reap() {
    for (auto& [server, kept] : idle_) {
        std::erase_if(kept, [this](const auto& connection) {
            return !is_usable(*connection, true);
        });
    }
    std::erase_if(idle_,
                  [](const auto& entry) { return entry.second.empty(); });
}

}  // namespace bronzehub::entry
