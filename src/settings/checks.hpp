// Validates single values of a settings file, and the consistency of values
// that depend on each other.
#ifndef BRONZEHUB_SETTINGS_CHECKS_HPP
#define BRONZEHUB_SETTINGS_CHECKS_HPP

#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

#include "settings/settings.hpp"
#include "settings/settings_table.hpp"

namespace bronzehub::settings {

// Returns whether `value` has the type and lies in the range that `row` gives.
bool is_valid_value(const setting_row& row, const nlohmann::json& value);

// Returns `value` as error messages show it: as JSON, truncated when long. For
// a secret, returns only its length or its JSON type.
std::string describe_value(const setting_row& row, const nlohmann::json& value);

// Returns whether `text` is IP:port with a numeric IP and a port from 1 to
// 65535.
bool is_address(std::string_view text);

// Returns whether the IP of `address` (IP:port) is 0.0.0.0 or ::, which stands
// for every network interface of the host.
bool is_wildcard(std::string_view address);

// Receives one error: the path of the key, what was found and what is allowed.
using error_reporter = std::function<void(std::string key, std::string found,
                                          std::string expected)>;

// Reports values that are valid on their own but contradict each other.
void check_consistency(const daemon_settings& settings,
                       const error_reporter& report);

}  // namespace bronzehub::settings

#endif
