// Checks of single values and of values that must fit each other.
#ifndef BRONZEHUB_SETTINGS_CHECKS_HPP
#define BRONZEHUB_SETTINGS_CHECKS_HPP

#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

#include "settings/settings.hpp"
#include "settings/settings_table.hpp"

namespace bronzehub::settings {

// Whether `value` has the type and range of the row.
bool is_valid(const setting_row& row, const nlohmann::json& value);

// The value as a fault shows it; a secret is described, never shown.
std::string describe_found(const setting_row& row, const nlohmann::json& value);

// Whether the text is IP:port with a numeric IP and a port from 1 to 65535.
bool is_address(std::string_view text);

// Whether the address of IP:port accepts connections on every interface.
bool is_wildcard(std::string_view address);

using error_reporter = std::function<void(std::string key, std::string found,
                                          std::string expected)>;

// Reports values that are valid alone and contradict each other.
void check_references(const daemon_settings& settings,
                      const error_reporter& report);

}  // namespace bronzehub::settings

#endif
