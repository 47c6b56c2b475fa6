// The operators' listener: readiness, metrics, the state dump and the
// administration interface.
#ifndef BRONZEHUB_DAEMON_OPERATORS_API_HPP
#define BRONZEHUB_DAEMON_OPERATORS_API_HPP

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "configuration/model.hpp"
#include "configuration/snapshot_holder.hpp"
#include "http_server/server.hpp"
#include "planning/planner.hpp"

namespace bronzehub::daemon {

// Hooks without a callback run on the I/O thread and may block it; the others
// answer later, on any thread.
struct operators_hooks {
    using operator_account = configuration::operator_account;

    // Why this host takes no calls; empty when it does.
    std::function<std::string()> not_ready_cause;
    std::function<std::string()> metrics_text;
    std::function<nlohmann::json()> status;
    std::function<nlohmann::json()> dump;
    std::function<void()> drain;
    std::function<void(operator_account, std::string intent,
                       planning::planner::plan_callback)>
        propose;
    std::function<void(operator_account, std::string plan_id,
                       planning::planner::plan_callback)>
        get_plan;
    std::function<void(operator_account, std::string plan_id,
                       planning::planner::confirm_callback)>
        confirm;
    std::function<void(operator_account, std::string plan_id,
                       planning::planner::plan_callback)>
        drop;
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
    using respond = std::function<void(response)>;
    // An authorised request, split into its parts.
    struct exchange {
        const http_server::request& request;
        std::string_view path;
        std::string_view query;
        // What follows the route's path: the id of an object.
        std::string item;
        const configuration::operator_account& account;
        const configuration::configuration_snapshot& configuration;
    };
    struct route;

    bool answer_probe(std::string_view path, const respond& done) const;
    void answer_authorised(const http_server::request& request,
                           std::string_view path, const respond& done) const;
    static const std::vector<route>& routes();

    void propose(const exchange& in, const respond& done) const;
    void get_plan(const exchange& in, const respond& done) const;
    void confirm(const exchange& in, const respond& done) const;
    void drop(const exchange& in, const respond& done) const;

    static response plan_response(int status,
                                  const absl::StatusOr<planning::plan>& plan);

    const configuration::snapshot_holder& configuration_;
    operators_hooks hooks_;
};

}  // namespace bronzehub::daemon

#endif
