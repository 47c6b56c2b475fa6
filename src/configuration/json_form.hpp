// JSON form of the fleet configuration, strict in both directions.
#ifndef BRONZEHUB_CONFIGURATION_JSON_FORM_HPP
#define BRONZEHUB_CONFIGURATION_JSON_FORM_HPP

#include <array>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "base/json_fields.hpp"
#include "configuration/model.hpp"

namespace bronzehub::configuration {

// Reads and validates a configuration. Every fault of the document is added
// to `faults`; the result is usable only when none was added.
fleet_configuration read_configuration(std::string_view text,
                                       base::json_errors& faults);

// The same; kInvalidArgument names every fault, one line each.
absl::StatusOr<fleet_configuration> read_configuration(std::string_view text);

// Compact JSON; equal configurations give equal text.
std::string write_configuration(const fleet_configuration& value);

// Letters, digits, ".", "_" and "-"; up to 100 characters.
extern const base::string_rule name_rule;
// 64 lower-case hexadecimal digits.
extern const base::string_rule digest_rule;
// An IPv4 address or an IPv6 address in brackets, a colon and a port.
extern const base::string_rule address_rule;
extern const base::string_rule path_prefix_rule;
extern const base::string_rule path_pattern_rule;
extern const base::string_rule method_rule;

}  // namespace bronzehub::configuration

namespace bronzehub::base {

template <>
struct enum_names<configuration::service_kind> {
    using kind = configuration::service_kind;
    static constexpr std::array<enum_entry<kind>, 2> all{
        {{kind::model, "model"}, {kind::plain, "plain"}}};
};

template <>
struct enum_names<configuration::backend_server_state> {
    using state = configuration::backend_server_state;
    static constexpr std::array<enum_entry<state>, 2> all{
        {{state::active, "active"}, {state::leaving, "leaving"}}};
};

template <>
struct enum_names<configuration::operator_role> {
    using role = configuration::operator_role;
    static constexpr std::array<enum_entry<role>, 3> all{
        {{role::read, "read"},
         {role::plan, "plan"},
         {role::confirm, "confirm"}}};
};

namespace configuration_ranges {

// A weight of 0 would starve an organisation.
inline constexpr number_range weight{0.001, 1000};
inline constexpr number_range cost{0, 1e6};
inline constexpr number_range waiting_calls{1, 1e6};
inline constexpr number_range slots{1, 10000};
inline constexpr number_range deadline_ms{1, 86400000};
inline constexpr number_range request_bytes{1, 1 << 30};
inline constexpr number_range target_ms{1, 600000};

}  // namespace configuration_ranges

template <>
struct json_schema<configuration::api_key> {
    static void fields(auto& form, auto& value) {
        form.required("id", value.id, configuration::name_rule);
        form.required("sha256", value.sha256, configuration::digest_rule);
        form.optional("revoked", value.revoked);
    }
};

template <>
struct json_schema<configuration::service_weight> {
    static void fields(auto& form, auto& value) {
        form.required("service", value.service);
        form.required("weight", value.weight, configuration_ranges::weight);
    }
};

template <>
struct json_schema<configuration::organisation_limits> {
    static void fields(auto& form, auto& value) {
        form.optional("maximum_waiting_calls", value.maximum_waiting_calls,
                      configuration_ranges::waiting_calls);
    }
};

template <>
struct json_schema<configuration::organisation> {
    static void fields(auto& form, auto& value) {
        form.required("id", value.id);
        form.required("name", value.name, configuration::name_rule);
        form.optional("default_weight", value.default_weight,
                      configuration_ranges::weight);
        form.optional("weights", value.weights);
        form.optional("limits", value.limits);
        form.optional("keys", value.keys);
    }
};

template <>
struct json_schema<configuration::call_rule> {
    static void fields(auto& form, auto& value) {
        form.required("method", value.method, configuration::method_rule);
        form.required("path", value.path, configuration::path_pattern_rule);
    }
};

template <>
struct json_schema<configuration::unit_costs> {
    static void fields(auto& form, auto& value) {
        const auto& range = configuration_ranges::cost;
        form.optional("per_input_token", value.per_input_token, range);
        form.optional("per_output_token", value.per_output_token, range);
        form.optional("per_call", value.per_call, range);
    }
};

template <>
struct json_schema<configuration::service> {
    static void fields(auto& form, auto& value) {
        form.required("id", value.id);
        form.required("name", value.name, configuration::name_rule);
        form.required("kind", value.kind);
        form.required("path_prefix", value.path_prefix,
                      configuration::path_prefix_rule);
        form.optional("repeatable_calls", value.repeatable_calls);
        form.optional("costs", value.costs);
        form.optional("default_deadline_ms", value.default_deadline,
                      configuration_ranges::deadline_ms);
        form.optional("maximum_request_bytes", value.maximum_request_bytes,
                      configuration_ranges::request_bytes);
        form.optional("target_first_token_ms", value.target_first_token,
                      configuration_ranges::target_ms);
        form.optional("target_between_tokens_ms", value.target_between_tokens,
                      configuration_ranges::target_ms);
    }
};

template <>
struct json_schema<configuration::backend_server> {
    static void fields(auto& form, auto& value) {
        form.required("id", value.id);
        form.required("name", value.name, configuration::name_rule);
        form.required("service", value.service);
        form.required("address", value.address, configuration::address_rule);
        form.required("failure_domain", value.failure_domain,
                      configuration::name_rule);
        form.optional("initial_slots", value.initial_slots,
                      configuration_ranges::slots);
        form.required("maximum_slots", value.maximum_slots,
                      configuration_ranges::slots);
        form.optional("state", value.state);
        form.optional("checks_fencing", value.checks_fencing);
    }
};

template <>
struct json_schema<configuration::operator_account> {
    static void fields(auto& form, auto& value) {
        form.required("name", value.name, configuration::name_rule);
        form.required("key_sha256", value.key_sha256,
                      configuration::digest_rule);
        form.required("roles", value.roles);
    }
};

template <>
struct json_schema<configuration::next_numbers> {
    static void fields(auto& form, auto& value) {
        form.required("organisation", value.organisation);
        form.required("service", value.service);
        form.required("backend_server", value.backend_server);
    }
};

template <>
struct json_schema<configuration::fleet_configuration> {
    static void fields(auto& form, auto& value) {
        form.required("version", value.version, safe_integer_range);
        form.optional("next", value.next);
        form.required("organisations", value.organisations);
        form.required("services", value.services);
        form.required("backend_servers", value.backend_servers);
        form.required("operators", value.operators);
    }
};

}  // namespace bronzehub::base

#endif
