#include "calls/routing.hpp"

#include <catch2/catch.hpp>

#include "base/hash.hpp"

namespace bronzehub::calls {
namespace {

using base::refusal_code;

configuration::configuration_snapshot make_configuration() {
    configuration::fleet_configuration value;
    value.version = 1;
    configuration::organisation owner;
    owner.id = base::organisation_id(7);
    owner.keys = {{"current", base::sha256_hex("good"), false},
                  {"old", base::sha256_hex("revoked"), true}};
    value.organisations.push_back(std::move(owner));
    configuration::service model;
    model.id = base::service_id(1);
    model.kind = configuration::service_kind::model;
    model.path_prefix = "/model";
    model.maximum_request_bytes = 64;
    configuration::service plain;
    plain.id = base::service_id(2);
    plain.path_prefix = "/plain";
    plain.repeatable_calls = {{"GET", "/prices/*"}};
    value.services = {model, plain};
    return configuration::configuration_snapshot(std::move(value));
}

http_server::request make_request(std::string method, std::string target,
                                  std::string body = {}) {
    http_server::request request;
    request.method = std::move(method);
    request.target = std::move(target);
    request.headers = {{"Authorization", "Bearer good"}};
    request.body = std::move(body);
    return request;
}

// Guards against a bad request that reaches a backend server, and against a
// refusal whose code changes.
TEST_CASE("bad requests are refused as not run with a stable code") {
    struct row {
        std::string name;
        std::string method;
        std::string target;
        std::string body;
        base::http_headers headers;
        refusal_code code;
    };
    const base::http_headers good{{"Authorization", "Bearer good"}};
    const auto with = [&](std::string name, std::string value) {
        return base::http_headers{good[0], {std::move(name), std::move(value)}};
    };
    const std::string completions = "/model/v1/completions";
    const auto bad = GENERATE_COPY(values<row>({
        {"no key", "GET", "/plain/x", "", {}, refusal_code::unauthenticated},
        {"unknown key",
         "GET",
         "/plain/x",
         "",
         {{"Authorization", "Bearer bad"}},
         refusal_code::unauthenticated},
        {"revoked key",
         "GET",
         "/plain/x",
         "",
         {{"Authorization", "Bearer revoked"}},
         refusal_code::unauthenticated},
        {"other scheme",
         "GET",
         "/plain/x",
         "",
         {{"Authorization", "Basic good"}},
         refusal_code::unauthenticated},
        {"unknown service", "GET", "/plainer", "", good,
         refusal_code::unknown_service},
        {"unknown model path", "POST", "/model/v1/files", "{}", good,
         refusal_code::unknown_service},
        {"method of a model", "GET", completions, "{}", good,
         refusal_code::method_not_allowed},
        {"body is not JSON", "POST", completions, "{", good,
         refusal_code::bad_request},
        {"body is not an object", "POST", completions, "[]", good,
         refusal_code::bad_request},
        {"stream is not a boolean", "POST", completions, R"({"stream":1})",
         good, refusal_code::bad_request},
        {"body too large", "POST", completions, std::string(65, 'x'), good,
         refusal_code::request_too_large},
        {"deadline of 0", "GET", "/plain/x", "",
         with("Bronzehub-Deadline-Ms", "0"), refusal_code::bad_request},
        {"deadline not a number", "GET", "/plain/x", "",
         with("Bronzehub-Deadline-Ms", "5s"), refusal_code::bad_request},
        {"negative hint", "GET", "/plain/x", "",
         with("Bronzehub-Cost-Hint", "-1"), refusal_code::bad_request},
        {"hint not a number", "GET", "/plain/x", "",
         with("Bronzehub-Cost-Hint", "nan"), refusal_code::bad_request},
        {"empty idempotency key", "GET", "/plain/x", "",
         with("Idempotency-Key", ""), refusal_code::bad_request},
        {"long idempotency key", "GET", "/plain/x", "",
         with("Idempotency-Key", std::string(256, 'k')),
         refusal_code::bad_request},
    }));
    CAPTURE(bad.name);
    auto request = make_request(bad.method, bad.target, bad.body);
    request.headers = bad.headers;

    const auto routed = route(make_configuration(), std::move(request));

    REQUIRE(std::holds_alternative<base::refusal>(routed));
    const auto& refused = std::get<base::refusal>(routed);
    CHECK(base::to_string(refused.code) == base::to_string(bad.code));
    CHECK(refused.outcome == base::call_outcome::not_run);
    CHECK_FALSE(refused.message.empty());
}

// Guards against a call that may not be repeated being taken for one that may.
TEST_CASE("only listed calls of a plain service are repeatable") {
    const auto [method, target, repeatable] =
        GENERATE(table<std::string, std::string, bool>({
            {"GET", "/plain/prices/3", true},
            {"GET", "/plain/prices/3?x=1", true},
            {"POST", "/plain/prices/3", false},
            {"GET", "/plain/prices/3/4", false},
            {"GET", "/plain/prices", false},
        }));
    CAPTURE(method, target);
    const auto routed =
        route(make_configuration(), make_request(method, target));
    REQUIRE(std::holds_alternative<routed_call>(routed));
    const auto& call = std::get<routed_call>(routed);
    CHECK(call.repeatable == repeatable);
    CHECK(call.path == target.substr(std::string("/plain").size()));
}

// Guards against responses that cannot be recorded for their key because the
// caller, like most, accepts encodings.
TEST_CASE("encodings are accepted only for calls without a key") {
    const std::string key = GENERATE(as<std::string>(), "", "k");
    auto request = make_request("POST", "/plain/x");
    request.headers.push_back({"Accept-Encoding", "gzip"});
    if (!key.empty()) {
        request.headers.push_back({std::string(idempotency_key_header), key});
    }
    const auto routed = route(make_configuration(), std::move(request));
    REQUIRE(std::holds_alternative<routed_call>(routed));
    const auto& headers = std::get<routed_call>(routed).headers;
    CHECK(base::find_header(headers, "Accept-Encoding").has_value() ==
          key.empty());
}

// Guards against a caller's credential or control header reaching a backend
// server.
TEST_CASE("credentials and control headers are not forwarded") {
    auto request = make_request("GET", "/plain/x");
    request.headers.push_back({"Bronzehub-Deadline-Ms", "250"});
    request.headers.push_back({"X-Request-Id", "forged"});
    request.headers.push_back({"Accept", "text/plain"});
    const auto routed = route(make_configuration(), std::move(request));
    REQUIRE(std::holds_alternative<routed_call>(routed));
    const auto& call = std::get<routed_call>(routed);
    CHECK(call.headers == base::http_headers{{"Accept", "text/plain"}});
    CHECK(call.deadline == std::chrono::milliseconds(250));
    CHECK(call.organisation == base::organisation_id(7));
}

}  // namespace
}  // namespace bronzehub::calls
