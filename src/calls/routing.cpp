#include "calls/routing.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "base/hash.hpp"

namespace bronzehub::calls {
namespace {

using base::call_outcome;
using base::refusal;
using base::refusal_code;

constexpr std::string_view bearer_prefix = "Bearer ";
constexpr std::chrono::milliseconds max_deadline = std::chrono::hours(24);

constexpr std::array<std::string_view, 2> completion_paths{
    "/v1/chat/completions", "/v1/completions"};

// Fields of the caller that end at this hop.
constexpr std::array<std::string_view, 5> consumed_headers{
    "Authorization", "Host", deadline_header, cost_hint_header,
    request_id_header};

absl::string_view as_absl(std::string_view text) {
    return {text.data(), text.size()};
}

refusal refuse(refusal_code code, std::string message) {
    return {code, call_outcome::not_run, std::move(message), std::nullopt};
}

std::string_view path_of(std::string_view target) {
    return target.substr(0, target.find('?'));
}

bool is_consumed(std::string_view name) {
    return base::is_hop_by_hop_header(name) ||
           base::equal_header_names(name, "Content-Length") ||
           std::ranges::any_of(consumed_headers, [&](std::string_view other) {
               return base::equal_header_names(name, other);
           });
}

base::http_headers forwarded(const base::http_headers& headers) {
    base::http_headers result;
    std::ranges::copy_if(headers, std::back_inserter(result),
                         [](const base::http_header& field) {
                             return !is_consumed(field.name);
                         });
    return result;
}

template <class Number>
std::optional<Number> parse_number(std::string_view text) {
    Number value{};
    const auto [end, error] =
        std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

// Reads the optional conditions from the headers into `call`.
std::optional<refusal> read_conditions(const base::http_headers& headers,
                                       routed_call& call) {
    if (const auto text = base::find_header(headers, deadline_header)) {
        const auto value = parse_number<std::int64_t>(*text);
        if (!value || *value < 1 || *value > max_deadline.count()) {
            return refuse(refusal_code::bad_request,
                          absl::StrCat(as_absl(deadline_header), ": found \"",
                                       as_absl(*text),
                                       "\", expected milliseconds from 1 to ",
                                       max_deadline.count()));
        }
        call.deadline = std::chrono::milliseconds(*value);
    }
    if (const auto text = base::find_header(headers, cost_hint_header)) {
        const auto value = parse_number<double>(*text);
        if (!value || !(*value >= 0)) {
            return refuse(
                refusal_code::bad_request,
                absl::StrCat(as_absl(cost_hint_header), ": found \"",
                             as_absl(*text),
                             "\", expected cost units of at least 0"));
        }
        call.cost_hint = value;
    }
    if (const auto key = base::find_header(headers, idempotency_key_header)) {
        if (key->empty() || key->size() > max_idempotency_key_bytes) {
            return refuse(
                refusal_code::bad_request,
                absl::StrCat(as_absl(idempotency_key_header), ": found ",
                             key->size(), " bytes, expected 1 to ",
                             max_idempotency_key_bytes));
        }
        call.idempotency_key = std::string(*key);
    }
    return std::nullopt;
}

// Model calls are completions; their body says whether the answer streams.
std::optional<refusal> read_completion(std::string_view path,
                                       routed_call& call) {
    if (std::ranges::find(completion_paths, path) == completion_paths.end()) {
        return refuse(refusal_code::unknown_service,
                      absl::StrCat("path: found ", as_absl(path),
                                   ", expected /v1/chat/completions or "
                                   "/v1/completions behind the service"));
    }
    if (call.method != "POST") {
        return refuse(
            refusal_code::method_not_allowed,
            absl::StrCat("method: found ", call.method, ", expected POST"));
    }
    const auto body = nlohmann::json::parse(call.body, nullptr, false);
    if (!body.is_object()) {
        return refuse(refusal_code::bad_request,
                      "body: expected a JSON object");
    }
    const auto stream = body.find("stream");
    if (stream != body.end() && !stream->is_boolean()) {
        return refuse(refusal_code::bad_request,
                      "body: stream: expected true or false");
    }
    call.streamed = stream != body.end() && stream->get<bool>();
    // Generating again has no effect outside the answer.
    call.repeatable = true;
    return std::nullopt;
}

// The organisation that the bearer key belongs to, or the refusal.
std::variant<const configuration::organisation*, refusal> authenticate(
    const configuration::configuration_snapshot& configuration,
    const base::http_headers& headers) {
    const auto text = base::find_header(headers, "Authorization");
    if (!text || !text->starts_with(bearer_prefix)) {
        return refuse(refusal_code::unauthenticated,
                      "Authorization: expected \"Bearer <key>\"");
    }
    const auto owner = configuration.find_key(
        base::sha256_hex(text->substr(bearer_prefix.size())));
    // A revoked key gets the same answer as an unknown one, so that the answer
    // does not tell which keys existed.
    if (owner.owner == nullptr || owner.key->revoked) {
        return refuse(refusal_code::unauthenticated,
                      "Authorization: the key is not valid");
    }
    return owner.owner;
}

}  // namespace

std::variant<routed_call, refusal> route(
    const configuration::configuration_snapshot& configuration,
    http_server::request&& request) {
    const auto identity = authenticate(configuration, request.headers);
    if (const auto* refused = std::get_if<refusal>(&identity)) {
        return *refused;
    }
    const auto* organisation =
        std::get<const configuration::organisation*>(identity);
    const std::string_view path = path_of(request.target);
    const auto* service = configuration.find_service_by_path(path);
    if (service == nullptr) {
        return refuse(
            refusal_code::unknown_service,
            absl::StrCat("no service is configured for path ", as_absl(path)));
    }
    if (request.body.size() > service->maximum_request_bytes) {
        return refuse(refusal_code::request_too_large,
                      absl::StrCat("body: found ", request.body.size(),
                                   " bytes, expected at most ",
                                   service->maximum_request_bytes));
    }
    routed_call call;
    call.organisation = organisation->id;
    call.service = service->id;
    call.kind = service->kind;
    call.costs = service->costs;
    call.deadline = service->default_deadline;
    call.waiting_limit = organisation->limits.maximum_waiting_calls;
    if (auto refused = read_conditions(request.headers, call)) {
        return *std::move(refused);
    }
    call.repeatable =
        configuration::is_repeatable(*service, request.method, path);
    const std::size_t prefix = service->path_prefix.size();
    const std::string local_path(path.substr(prefix));
    call.path = request.target.substr(prefix);
    if (!call.path.starts_with('/')) {
        call.path.insert(0, 1, '/');
    }
    call.headers = forwarded(request.headers);
    if (call.idempotency_key) {
        // An encoded response is not recorded.
        std::erase_if(call.headers, [](const base::http_header& field) {
            return base::equal_header_names(field.name, "Accept-Encoding");
        });
    }
    call.method = std::move(request.method);
    call.body = std::move(request.body);
    if (service->kind == configuration::service_kind::model) {
        if (auto refused = read_completion(local_path, call)) {
            return *std::move(refused);
        }
    }
    return call;
}

}  // namespace bronzehub::calls
