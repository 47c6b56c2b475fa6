// The fleet configuration: what operators decide and every daemon obeys.
//
// A configuration is a value with a version. Daemons exchange it as JSON (see
// `json_form.hpp`), read it through a `configuration_snapshot`, and change it
// only by typed changes (see `change.hpp`). Settings of one process, such as
// its addresses, are not part of it.
#ifndef BRONZEHUB_CONFIGURATION_MODEL_HPP
#define BRONZEHUB_CONFIGURATION_MODEL_HPP

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "base/strong_id.hpp"

namespace bronzehub::configuration {

// The credential of a caller. Only the digest of the key is kept.
struct api_key {
    std::string id;
    std::string sha256;  // Lower-case hexadecimal.
    bool revoked = false;

    friend bool operator==(const api_key&, const api_key&) = default;
};

// An organisation's weight in the fair order of one service.
struct service_weight {
    base::service_id service;
    double weight = 1;

    friend bool operator==(const service_weight&,
                           const service_weight&) = default;
};

struct organisation_limits {
    // Calls that may wait per service on one daemon.
    std::uint32_t maximum_waiting_calls = 1000;

    friend bool operator==(const organisation_limits&,
                           const organisation_limits&) = default;
};

struct organisation {
    base::organisation_id id;
    std::string name{};
    double default_weight = 1;  // For services that `weights` does not name.
    std::vector<service_weight> weights{};
    organisation_limits limits{};
    std::vector<api_key> keys{};

    friend bool operator==(const organisation&, const organisation&) = default;
};

enum class service_kind { model, plain };

// Calls that may be sent twice. `path` is relative to the service's prefix: a
// segment `*` matches any one segment, a last segment `**` matches the rest.
struct call_rule {
    std::string method;
    std::string path;

    friend bool operator==(const call_rule&, const call_rule&) = default;
};

// Cost units charged for one unit of work.
struct unit_costs {
    double per_input_token = 0.1;
    double per_output_token = 1;
    double per_call = 0;

    friend bool operator==(const unit_costs&, const unit_costs&) = default;
};

struct service {
    base::service_id id;
    std::string name{};
    service_kind kind = service_kind::plain;
    std::string path_prefix{};  // Starts with "/" and does not end with it.
    std::vector<call_rule> repeatable_calls{};
    unit_costs costs{};
    std::chrono::milliseconds default_deadline{60000};
    std::uint64_t maximum_request_bytes = 1 << 20;
    std::chrono::milliseconds target_first_token{720};
    std::chrono::milliseconds target_between_tokens{80};

    friend bool operator==(const service&, const service&) = default;
};

enum class backend_server_state { active, leaving };

struct backend_server {
    base::backend_server_id id;
    std::string name{};
    base::service_id service;
    std::string address;  // IP:port; an IPv6 address is in brackets.
    base::failure_domain_id failure_domain;
    std::uint32_t initial_slots = 1;
    std::uint32_t maximum_slots = 1;
    backend_server_state state = backend_server_state::active;
    // Whether it rejects commands that carry an old fencing token.
    bool checks_fencing = false;

    friend bool operator==(const backend_server&,
                           const backend_server&) = default;
};

enum class operator_role { read, plan, confirm };

struct operator_account {
    std::string name{};
    std::string key_sha256;  // Lower-case hexadecimal.
    std::vector<operator_role> roles{};

    friend bool operator==(const operator_account&,
                           const operator_account&) = default;
};

// Numbers that the next added object receives. They only rise, so that the
// number of a removed object is never given to another.
struct next_numbers {
    base::organisation_id organisation{1};
    base::service_id service{1};
    base::backend_server_id backend_server{1};

    friend bool operator==(const next_numbers&, const next_numbers&) = default;
};

struct fleet_configuration {
    std::uint64_t version = 0;  // 0: nothing was confirmed yet.
    next_numbers next;
    std::vector<organisation> organisations;
    std::vector<service> services;
    std::vector<backend_server> backend_servers;
    std::vector<operator_account> operators;

    friend bool operator==(const fleet_configuration&,
                           const fleet_configuration&) = default;
};

bool has_role(const operator_account& account, operator_role role);

// The object with this number or name, or null. Linear; the request path uses
// `configuration_snapshot`.
const organisation* find_organisation(const fleet_configuration& in,
                                      base::organisation_id id);
const service* find_service(const fleet_configuration& in, base::service_id id);
const backend_server* find_backend_server(const fleet_configuration& in,
                                          base::backend_server_id id);
const operator_account* find_operator(const fleet_configuration& in,
                                      const std::string& name);

}  // namespace bronzehub::configuration

#endif
