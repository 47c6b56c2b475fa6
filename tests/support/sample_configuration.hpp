// A small valid configuration: two organisations, one service, one backend
// server and three operators.
#ifndef BRONZEHUB_TESTS_SUPPORT_SAMPLE_CONFIGURATION_HPP
#define BRONZEHUB_TESTS_SUPPORT_SAMPLE_CONFIGURATION_HPP

#include "base/hash.hpp"
#include "configuration/change.hpp"

namespace bronzehub::testing {

inline configuration::fleet_configuration sample_configuration(
    std::uint64_t version = 1) {
    using namespace configuration;  // NOLINT(google-build-using-namespace)
    fleet_configuration value;
    value.version = version;
    value.next = {base::organisation_id(3), base::service_id(2),
                  base::backend_server_id(2)};
    organisation north{base::organisation_id(1), "north"};
    north.keys.push_back({"k1", base::sha256_hex("north-key"), false});
    value.organisations = {north, {base::organisation_id(2), "south"}};
    service chat{base::service_id(1), "chat"};
    chat.path_prefix = "/chat";
    value.services = {chat};
    value.backend_servers = {{base::backend_server_id(1), "b1",
                              base::service_id(1), "10.0.0.1:80", "d1", 2, 4}};
    value.operators = {{"ann", base::sha256_hex("ann"), {operator_role::read}},
                       {"bob", base::sha256_hex("bob"), {operator_role::plan}},
                       {"cat",
                        base::sha256_hex("cat"),
                        {operator_role::plan, operator_role::confirm}}};
    return value;
}

// The change to `version` that gives organisation 1 this weight.
inline configuration::configuration_change weight_change(std::uint64_t version,
                                                         double weight) {
    configuration::organisation north{base::organisation_id(1), "north"};
    north.default_weight = weight;
    return {version,
            "p" + std::to_string(version),
            {configuration::updated<configuration::organisation>{north}}};
}

}  // namespace bronzehub::testing

#endif
