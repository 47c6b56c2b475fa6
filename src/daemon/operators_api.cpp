#include "daemon/operators_api.hpp"

#include <algorithm>
#include <array>
#include <utility>

#include "base/hash.hpp"
#include "base/json_fields.hpp"

namespace bronzehub::daemon {
namespace {

using configuration::operator_role;

constexpr std::string_view bearer_prefix = "Bearer ";
constexpr int status_ok = 200;
constexpr int status_accepted = 202;
constexpr int status_unauthorised = 401;
constexpr int status_not_found = 404;
constexpr int status_method_not_allowed = 405;
constexpr int status_unavailable = 503;

std::string error_body(std::string_view code, std::string_view message) {
    nlohmann::json error;
    error["code"] = code;
    error["message"] = message;
    return base::dump_json({{"error", std::move(error)}});
}

}  // namespace

operators_api::operators_api(
    const configuration::snapshot_holder& configuration, operators_hooks hooks)
    : configuration_(configuration), hooks_(std::move(hooks)) {}

void operators_api::handle(
    const http_server::request& request,
    const std::shared_ptr<http_server::response_writer>& writer) {
    const response result = respond(request);
    writer->respond(result.status, {{"Content-Type", result.content_type}},
                    result.body);
}

bool operators_api::is_authorised(const http_server::request& request,
                                  operator_role role) const {
    thread_local const configuration::rcu_thread registration;
    const auto text = base::find_header(request.headers, "Authorization");
    if (!text || !text->starts_with(bearer_prefix)) {
        return false;
    }
    const configuration::snapshot_guard current(configuration_);
    if (!current) {
        return false;
    }
    const auto* account = current->find_operator_key(
        base::sha256_hex(text->substr(bearer_prefix.size())));
    return account != nullptr && configuration::has_role(*account, role);
}

operators_api::response operators_api::respond(
    const http_server::request& request) const {
    const std::string_view target = request.target;
    const std::string_view path = target.substr(0, target.find('?'));
    // Probes of the balancer and scrapers carry no credential; what they read
    // names no organisation's key.
    if (path == "/live") {
        return {status_ok, "text/plain", "live\n"};
    }
    if (path == "/ready") {
        return hooks_.ready()
                   ? response{status_ok, "text/plain", "ready\n"}
                   : response{status_unavailable, "text/plain", "not ready\n"};
    }
    if (path == "/metrics") {
        return {status_ok, "text/plain; version=0.0.4", hooks_.metrics_text()};
    }
    return respond_authorised(request, path);
}

operators_api::response operators_api::respond_authorised(
    const http_server::request& request, std::string_view path) const {
    struct route {
        std::string_view method;
        std::string_view path;
        operator_role role;
        std::function<response()> run;
    };
    const std::array routes{
        route{"GET", "/dump", operator_role::read,
              [&] { return response{.body = base::dump_json(hooks_.dump())}; }},
        route{
            "GET", "/admin/v1/status", operator_role::read,
            [&] { return response{.body = base::dump_json(hooks_.status())}; }},
        route{"POST", "/admin/v1/drain", operator_role::confirm,
              [&] {
                  hooks_.drain();
                  return response{.status = status_accepted,
                                  .body = R"({"draining":true})"};
              }},
    };
    const auto found = std::ranges::find(routes, path, &route::path);
    if (found == routes.end()) {
        return {status_not_found, "application/json",
                error_body("not_found", "no such resource")};
    }
    if (!is_authorised(request, found->role)) {
        return {status_unauthorised, "application/json",
                error_body("unauthenticated",
                           "Authorization: expected the bearer key of an "
                           "operator with the needed role")};
    }
    if (found->method != request.method) {
        return {
            status_method_not_allowed, "application/json",
            error_body("method_not_allowed",
                       std::string("expected ") + std::string(found->method))};
    }
    return found->run();
}

}  // namespace bronzehub::daemon
