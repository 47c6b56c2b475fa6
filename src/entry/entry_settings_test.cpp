#include "entry/entry_settings.hpp"

#include <catch2/catch.hpp>

using bronzehub::entry::parse_entry_settings;

namespace {

std::string settings(const std::string& host, const std::string& bounds) {
    return R"(// A comment.
{"host":)" +
           host +
           R"(,"listeners":{"callers":"10.0.0.1:80","readiness":"10.0.0.1:81",
"operators":"10.0.0.1:82","peers":"10.0.0.1:83"},
"store":{"address":"10.0.0.9:80"},"bounds":)" +
           bounds + "}";
}

const std::string host = R"({"name":"n","failure_domain":"a"})";

}  // namespace

TEST_CASE("settings are JSON with comments") {
    const auto parsed = parse_entry_settings(
        settings(host, R"({"grace_period_ms":8e3,"retry_extra":56.5,
                            "evacuation_ms":4000})"));
    REQUIRE(parsed.ok());
    CHECK(parsed->bounds.evacuation_ms == 4000);
    CHECK(parsed->bounds.grace_period_ms == 8000);
    CHECK(parsed->bounds.retry_extra == 56.5);
    CHECK(parsed->listeners.peers == "10.0.0.1:83");
}

// Guards against a daemon that starts with wrong values because it ignored a
// misspelled key or an invalid value.
TEST_CASE("the error names each invalid setting") {
    const auto [text, expected_key] = GENERATE(table<std::string, std::string>({
        {settings(host, R"({"retry_extr":1})"), "bounds.retry_extr"},
        {settings(host, R"({"revocation_ms":"x"})"), "bounds.revocation_ms"},
        {settings(host, R"({"revocation_ms":-1})"), "bounds.revocation_ms"},
        {settings(R"({"name":""})", "{}"), "host.name"},
        {settings(R"({"name":""})", "{}"), "host.failure_domain"},
        {R"({"store":{"address":"nowhere"}})", "store.address"},
        {R"({"store":{"address":"nowhere"}})", "listeners"},
        {"{", "JSON"},
        {"", "JSON"},
        {R"({"limits":{"descriptors":3}})", "limits.descriptors"},
        {R"({"log":{"level":"loud"}})", "log.level"},
        {R"({"log":{},"log":{}})", "log"},
    }));
    CAPTURE(text);
    const auto parsed = parse_entry_settings(text);
    REQUIRE_FALSE(parsed.ok());
    CHECK(parsed.status().ToString().find(expected_key) != std::string::npos);
}
