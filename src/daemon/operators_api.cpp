#include "daemon/operators_api.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/hash.hpp"
#include "base/json_fields.hpp"
#include "daemon/listing.hpp"

namespace bronzehub::daemon {
namespace {

using configuration::operator_role;

constexpr std::string_view bearer_prefix = "Bearer ";
constexpr std::string_view confirm_suffix = "/confirm";
constexpr int status_ok = 200;
constexpr int status_created = 201;
constexpr int status_accepted = 202;
constexpr int status_unauthorised = 401;
constexpr int status_not_found = 404;
constexpr int status_method_not_allowed = 405;
constexpr int status_unavailable = 503;

std::string error_body(std::string_view code, std::string_view message) {
    nlohmann::json error;
    error["code"] = code;
    error["message"] = message;
    nlohmann::json body;
    body["error"] = std::move(error);
    return base::dump_json(body);
}

struct error_form {
    absl::StatusCode code;
    int http_status;
    std::string_view name;
};

// The stable codes of the administration interface.
constexpr std::array error_forms{
    error_form{absl::StatusCode::kPermissionDenied, 403, "forbidden"},
    error_form{absl::StatusCode::kInvalidArgument, 400, "invalid"},
    error_form{absl::StatusCode::kNotFound, 404, "not_found"},
    error_form{absl::StatusCode::kAlreadyExists, 409, "already_exists"},
    error_form{absl::StatusCode::kAborted, 409, "base_moved"},
    error_form{absl::StatusCode::kFailedPrecondition, 409, "not_open"},
    error_form{absl::StatusCode::kUnavailable, 503, "unavailable"},
    error_form{absl::StatusCode::kUnknown, 504, "outcome_unknown"},
};

error_form form_of(const absl::Status& status) {
    const auto found =
        std::ranges::find(error_forms, status.code(), &error_form::code);
    return found != error_forms.end()
               ? *found
               : error_form{status.code(), 500, "internal"};
}

std::string_view text_of(absl::string_view text) {
    return {text.data(), text.size()};
}

}  // namespace

// One resource of the administration interface.
struct operators_api::route {
    std::string_view method;
    std::string_view path;
    // True: the path is followed by "/" and the id of an object.
    bool has_item = false;
    std::string_view suffix;
    operator_role role = operator_role::read;
    std::function<void(const operators_api&, const exchange&, const respond&)>
        run;

    // The id in `full`, empty for a route without one; nothing when the path
    // is another one.
    std::optional<std::string_view> match(std::string_view full) const {
        if (!full.starts_with(path)) {
            return std::nullopt;
        }
        std::string_view rest = full.substr(path.size());
        if (!has_item) {
            return rest.empty() ? std::optional(rest) : std::nullopt;
        }
        if (!rest.starts_with('/') || !rest.ends_with(suffix) ||
            rest.size() <= suffix.size() + 1) {
            return std::nullopt;
        }
        rest = rest.substr(1, rest.size() - 1 - suffix.size());
        return rest.find('/') == std::string_view::npos ? std::optional(rest)
                                                        : std::nullopt;
    }
};

const std::vector<operators_api::route>& operators_api::routes() {
    using api = operators_api;
    const auto json_route =
        [](std::string_view path,
           std::function<nlohmann::json()> operators_hooks::* hook) {
            return route{
                "GET",
                path,
                false,
                "",
                operator_role::read,
                [hook](const api& self, const exchange&, const respond& done) {
                    done({.body = base::dump_json((self.hooks_.*hook)())});
                }};
        };
    const auto list_route = [](std::string_view path, listed_kind kind) {
        return route{
            "GET",
            path,
            false,
            "",
            operator_role::read,
            [kind](const api&, const exchange& in, const respond& done) {
                const auto page =
                    list_page(in.configuration.value(), kind, in.query);
                if (!page.ok()) {
                    const error_form form = form_of(page.status());
                    done({.status = form.http_status,
                          .body = error_body(
                              form.name, text_of(page.status().message()))});
                    return;
                }
                done({.body = base::dump_json(*page)});
            }};
    };
    // Never destroyed: handlers may still run while the process ends.
    static const auto& table = *new std::vector<route>{
        json_route("/dump", &operators_hooks::dump),
        json_route("/admin/v1/status", &operators_hooks::status),
        list_route("/admin/v1/organisations", listed_kind::organisations),
        list_route("/admin/v1/services", listed_kind::services),
        list_route("/admin/v1/backend-servers", listed_kind::backend_servers),
        {"POST", "/admin/v1/drain", false, "", operator_role::confirm,
         [](const api& self, const exchange&, const respond& done) {
             self.hooks_.drain();
             done({.status = status_accepted, .body = R"({"draining":true})"});
         }},
        {"POST", "/admin/v1/plans", false, "", operator_role::plan,
         std::mem_fn(&api::propose)},
        {"GET", "/admin/v1/plans", true, "", operator_role::read,
         std::mem_fn(&api::get_plan)},
        {"DELETE", "/admin/v1/plans", true, "", operator_role::plan,
         std::mem_fn(&api::drop)},
        {"POST", "/admin/v1/plans", true, confirm_suffix,
         operator_role::confirm, std::mem_fn(&api::confirm)},
    };
    return table;
}

operators_api::operators_api(
    const configuration::snapshot_holder& configuration, operators_hooks hooks)
    : configuration_(configuration), hooks_(std::move(hooks)) {}

void operators_api::handle(
    const http_server::request& request,
    const std::shared_ptr<http_server::response_writer>& writer) {
    const std::string_view target = request.target;
    const std::string_view path = target.substr(0, target.find('?'));
    const respond done = [writer](response result) {
        writer->respond(result.status, {{"Content-Type", result.content_type}},
                        std::move(result.body));
    };
    if (!answer_probe(path, done)) {
        answer_authorised(request, path, done);
    }
}

// Probes of the balancer and scrapers carry no credential; what they read
// names no organisation's key.
bool operators_api::answer_probe(std::string_view path,
                                 const respond& done) const {
    if (path == "/live") {
        done({status_ok, "text/plain", "live\n"});
    } else if (path == "/ready") {
        const std::string cause = hooks_.not_ready_cause();
        done(cause.empty() ? response{status_ok, "text/plain", "ready\n"}
                           : response{status_unavailable, "text/plain",
                                      "not ready: " + cause + "\n"});
    } else if (path == "/metrics") {
        done({status_ok, "text/plain; version=0.0.4", hooks_.metrics_text()});
    } else {
        return false;
    }
    return true;
}

void operators_api::answer_authorised(const http_server::request& request,
                                      std::string_view path,
                                      const respond& done) const {
    thread_local const configuration::rcu_thread registration;
    // Held by reference count: a plan may take longer than a reader's section
    // should last.
    const auto current = configuration_.share();
    const auto text = base::find_header(request.headers, "Authorization");
    const auto* account = current && text && text->starts_with(bearer_prefix)
                              ? current->find_operator_key(base::sha256_hex(
                                    text->substr(bearer_prefix.size())))
                              : nullptr;
    if (account == nullptr) {
        done({status_unauthorised, "application/json",
              error_body("unauthenticated",
                         "Authorization: expected \"Bearer <key>\" with an "
                         "operator's key")});
        return;
    }
    bool path_exists = false;
    for (const route& candidate : routes()) {
        const auto item = candidate.match(path);
        if (!item) {
            continue;
        }
        path_exists = true;
        if (candidate.method != request.method) {
            continue;
        }
        if (!configuration::has_role(*account, candidate.role)) {
            done({form_of(absl::PermissionDeniedError("")).http_status,
                  "application/json",
                  error_body("forbidden",
                             "the operator lacks the role that "
                             "this resource needs")});
            return;
        }
        const std::string_view target = request.target;
        const std::size_t query = std::min(path.size() + 1, target.size());
        candidate.run(*this,
                      {request, path, target.substr(query), std::string(*item),
                       *account, *current},
                      done);
        return;
    }
    path_exists ? done({status_method_not_allowed, "application/json",
                        error_body("method_not_allowed",
                                   "the resource has no such method")})
                : done({status_not_found, "application/json",
                        error_body("not_found", "no such resource")});
}

operators_api::response operators_api::plan_response(
    int status, const absl::StatusOr<planning::plan>& plan) {
    if (!plan.ok()) {
        const error_form form = form_of(plan.status());
        return {form.http_status, "application/json",
                error_body(form.name, text_of(plan.status().message()))};
    }
    return {status, "application/json", planning::write_readable_plan(*plan)};
}

void operators_api::propose(const exchange& in, const respond& done) const {
    hooks_.propose(in.account, in.request.body,
                   [done](const absl::StatusOr<planning::plan>& plan) {
                       done(plan_response(status_created, plan));
                   });
}

void operators_api::get_plan(const exchange& in, const respond& done) const {
    hooks_.get_plan(in.account, in.item,
                    [done](const absl::StatusOr<planning::plan>& plan) {
                        done(plan_response(status_ok, plan));
                    });
}

void operators_api::drop(const exchange& in, const respond& done) const {
    hooks_.drop(in.account, in.item,
                [done](const absl::StatusOr<planning::plan>& plan) {
                    done(plan_response(status_ok, plan));
                });
}

void operators_api::confirm(const exchange& in, const respond& done) const {
    hooks_.confirm(
        in.account, in.item,
        [done](const absl::StatusOr<planning::confirmation>& result) {
            if (!result.ok()) {
                done(plan_response(status_ok, result.status()));
                return;
            }
            nlohmann::json body;
            body["version"] = result->version;
            body["repeated"] = result->repeated;
            done({.body = base::dump_json(body)});
        });
}

}  // namespace bronzehub::daemon
