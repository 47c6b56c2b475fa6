#include "fleet_state/configuration.hpp"

#include <catch2/catch.hpp>
#include <map>

using bronzehub::fleet_state::configuration;
using bronzehub::fleet_state::configuration_content;
using bronzehub::fleet_state::route;
using bronzehub::fleet_state::weighted_service;

namespace {

route make_route(const std::string& name, const std::string& prefix) {
    route result;
    result.name = name;
    result.host = "Shop.example";
    result.path_prefix = prefix;
    result.services = {{"s", 1}};
    return result;
}

configuration make_configuration() {
    configuration_content content;
    content.routes = {make_route("all", "/"), make_route("a", "/a/"),
                      make_route("ab", "/a/b/")};
    content.organisations = {{"one", {}}};
    content.keys = {{"key-1", 0}};
    content.requires_keys = true;
    return configuration(std::move(content));
}

}  // namespace

// Guards against a request that is routed by a shorter path prefix than the
// longest that matches.
TEST_CASE("the longest matching path prefix selects the route") {
    const auto [host, path, expected] =
        GENERATE(table<std::string, std::string, std::string>({
            {"shop.example", "/a/b/c", "ab"},
            {"shop.example", "/a/b/", "ab"},
            {"shop.example", "/a/b", "a"},
            {"shop.example", "/a/x?y=/a/b/", "a"},
            {"SHOP.example:80", "/a/", "a"},
            {"shop.example", "/ab/", "all"},
            {"shop.example", "/", "all"},
            {"other.example", "/a/", ""},
            {"shop.example", "", ""},
        }));
    const configuration tested = make_configuration();
    const route* found = tested.find_route(host, path);
    CHECK((found == nullptr ? "" : found->name) == expected);
}

// Guards against an API key that is attributed to the wrong organisation.
TEST_CASE("an API key identifies its holder") {
    const configuration tested = make_configuration();
    REQUIRE(tested.find_organisation_by_key("key-1") != nullptr);
    CHECK(tested.find_organisation_by_key("key-1")->name == "one");
    CHECK(tested.find_organisation_by_key("key-2") == nullptr);
}

// Guards against a split that favours a service, and against a process that
// ends because a route names a service that the configuration does not define.
TEST_CASE("the services of a route are drawn by their weights") {
    using expected_shares = std::map<std::string, int>;
    const auto [services, expected] =
        GENERATE(table<std::vector<weighted_service>, expected_shares>({
            {{{"one", 1}}, {{"one", 100}}},
            {{{"one", 1}, {"two", 3}}, {{"one", 25}, {"two", 75}}},
            {{{"two", 3}, {"one", 1}, {"two", 6}}, {{"one", 10}, {"two", 90}}},
            {{{"missing", 1}, {"one", 1}}, {{"", 50}, {"one", 50}}},
        }));
    configuration_content content;
    content.routes = {make_route("all", "/")};
    content.routes[0].services = services;
    content.services.resize(2);
    content.services[0].name = "one";
    content.services[1].name = "two";
    const configuration tested(std::move(content));
    const route* found = tested.find_route("shop.example", "/");
    REQUIRE(found != nullptr);
    expected_shares shares;
    for (std::uint64_t hash = 0; hash < 100; ++hash) {
        ++shares[tested.choose_service(*found, hash).name];
    }
    CHECK(shares == expected);
}
