#include "daemon/callers_api.hpp"

#include <utility>
#include <variant>

#include "calls/call_responses.hpp"

namespace bronzehub::daemon {
namespace {

using base::refusal;
using base::refusal_code;

// Another host of the fleet can take the call at once.
constexpr std::chrono::seconds drain_retry_after{1};
constexpr std::chrono::seconds configuration_retry_after{3};

}  // namespace

callers_api::callers_api(const configuration::snapshot_holder& configuration,
                         std::string request_prefix, callers_hooks hooks)
    : configuration_(configuration),
      request_prefix_(std::move(request_prefix)),
      hooks_(std::move(hooks)) {}

std::variant<calls::routed_call, refusal> callers_api::route(
    http_server::request&& request) const {
    thread_local const configuration::rcu_thread registration;
    if (draining_.load()) {
        return refusal{refusal_code::draining, base::call_outcome::not_run,
                       "this host is shutting down; repeat the call",
                       drain_retry_after};
    }
    const configuration::snapshot_guard current(configuration_);
    if (!current) {
        return refusal{refusal_code::configuration_missing,
                       base::call_outcome::not_run,
                       "this host has no fleet configuration yet",
                       configuration_retry_after};
    }
    return calls::route(*current, std::move(request));
}

void callers_api::handle(http_server::request request,
                         std::shared_ptr<http_server::response_writer> writer) {
    const std::uint64_t id = next_id_.fetch_add(1);
    std::string request_id = request_prefix_ + std::to_string(id);
    auto routed = route(std::move(request));
    if (const auto* refused = std::get_if<refusal>(&routed)) {
        refused_.fetch_add(1);
        calls::respond_refusal(*writer, *refused, request_id);
        return;
    }
    hooks_.admit(id, std::move(request_id),
                 std::get<calls::routed_call>(std::move(routed)),
                 std::move(writer));
}

}  // namespace bronzehub::daemon
