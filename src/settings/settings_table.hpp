// The table of all keys of a settings file.
//
// The parser, the defaults and the reference page docs/settings.md are all
// derived from this table, so they cannot contradict each other. To add a
// setting, add a row and the member that its `store` function writes.
#ifndef BRONZEHUB_SETTINGS_SETTINGS_TABLE_HPP
#define BRONZEHUB_SETTINGS_SETTINGS_TABLE_HPP

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "settings/settings.hpp"

namespace bronzehub::settings {

enum class value_kind : std::uint8_t {
    name,                  // 1 to 63 of a-z, 0-9, '-', '.' and '_'.
    environment_variable,  // The name of an environment variable.
    secret,                // Text that error messages must not contain.
    address,               // IP:port.
    url,                   // http:// or https:// with a host.
    number,                // Integer in a range.
    duration,              // Integer number of milliseconds in a range.
    log_level,             // One of the names of log_level.
    list,    // Array of objects; the table has a row for each of their members.
    object,  // JSON object whose content is not checked.
};

struct setting_row {
    // Path of the key; "[]" stands for the index of a list element.
    std::string_view key;
    value_kind kind = value_kind::name;
    std::string_view unit;
    std::optional<std::string_view> default_json;  // Absent without a default.
    bool required = false;
    // Bounds, inclusive, of a number, a duration or the length of a secret. For
    // a list, `maximum` bounds the number of elements.
    std::int64_t minimum = 0;
    std::int64_t maximum = 0;
    std::string_view description;
    // Writes a valid value to its member of `settings`. For a list, it is
    // called once for each element and appends an empty element, whose
    // members are then written by the rows with "[]" in their keys.
    void (*store)(daemon_settings& settings,
                  const nlohmann::json& value) = nullptr;
};

std::span<const setting_row> settings_table();

// Describes the valid values of `row`, for error messages and the reference
// page.
std::string describe_expected(const setting_row& row);

// Returns the reference page of all settings in Markdown.
std::string generate_reference_page();

}  // namespace bronzehub::settings

#endif
