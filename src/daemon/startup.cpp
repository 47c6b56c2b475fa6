#include "daemon/startup.hpp"

#include <algorithm>
#include <array>
#include <chrono>

#include "absl/strings/str_cat.h"
#include "base/refusal.hpp"
#include "calls/call_responses.hpp"
#include "configuration/json_form.hpp"
#include "daemon/endpoint.hpp"

namespace bronzehub::daemon {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t first_configuration_version = 1;

}  // namespace

calls::manager_options manager_options_of(
    const settings::daemon_settings& from) {
    calls::manager_options options;
    options.stream_idle_timeout = from.limits.idle_timeout;
    options.relay.collect_bytes = from.limits.answer_bytes;
    options.recorded_response_bytes = from.limits.answer_bytes;
    return options;
}

http_server::options server_options_of(const settings::daemon_settings& from,
                                       const std::string& listener) {
    const endpoint where = split_endpoint(listener);
    http_server::options options;
    options.address = where.address;
    options.port = where.port;
    options.threads = from.threads.workers;
    options.max_body_bytes = from.limits.body_bytes;
    options.max_header_bytes = from.limits.header_bytes;
    options.read_timeout = from.limits.read_timeout;
    options.write_timeout = from.limits.write_timeout;
    options.max_connections = from.limits.caller_connections;
    return options;
}

std::uint64_t new_incarnation() {
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count());
}

http_server::rejection make_rejection(int status) {
    struct row {
        int status;
        base::refusal_code code;
    };
    constexpr std::array table{
        row{408, base::refusal_code::request_timeout},
        row{413, base::refusal_code::request_too_large},
        row{503, base::refusal_code::backlog_full},
    };
    const auto found = std::ranges::find(table, status, &row::status);
    const base::refusal why{
        found == table.end() ? base::refusal_code::bad_request : found->code,
        base::call_outcome::not_run,
        "the request could not be read, status " + std::to_string(status),
        std::nullopt};
    return {calls::refusal_headers(why, ""), calls::refusal_body(why, "")};
}

absl::Status check_initial_configuration(
    const settings::daemon_settings& settings) {
    if (!settings.initial_configuration) {
        return absl::OkStatus();
    }
    const auto value =
        configuration::read_configuration(*settings.initial_configuration);
    if (!value.ok()) {
        return absl::InvalidArgumentError(
            absl::StrCat("initial_configuration: ", value.status().message()));
    }
    if (value->version != first_configuration_version) {
        return absl::InvalidArgumentError(absl::StrCat(
            "initial_configuration.version: found ", value->version,
            ", expected ", first_configuration_version));
    }
    return absl::OkStatus();
}

}  // namespace bronzehub::daemon
