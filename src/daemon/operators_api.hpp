// The operators' listener: readiness, metrics, the state dump and the
// administration interface.
#ifndef BRONZEHUB_DAEMON_OPERATORS_API_HPP
#define BRONZEHUB_DAEMON_OPERATORS_API_HPP

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "base/refusal.hpp"
#include "configuration/model.hpp"
#include "configuration/snapshot_holder.hpp"
#include "http_server/server.hpp"

namespace bronzehub::daemon {

// Every hook may be called on any I/O thread and answers through its callback
// or return value.
struct operators_hooks {
    std::function<bool()> ready;
    std::function<std::string()> metrics_text;
    std::function<nlohmann::json()> status;
    std::function<nlohmann::json()> dump;
    std::function<void()> drain;
};

// Thread-safe.
class operators_api {
public:
    operators_api(const configuration::snapshot_holder& configuration,
                  operators_hooks hooks);

    void handle(const http_server::request& request,
                const std::shared_ptr<http_server::response_writer>& writer);

private:
    struct response {
        int status = 200;
        std::string content_type = "application/json";
        std::string body;
    };

    response respond(const http_server::request& request) const;
    response respond_authorised(const http_server::request& request,
                                std::string_view path) const;
    // The operator behind the bearer key may act in `role`.
    bool is_authorised(const http_server::request& request,
                       configuration::operator_role role) const;

    const configuration::snapshot_holder& configuration_;
    operators_hooks hooks_;
};

}  // namespace bronzehub::daemon

#endif
