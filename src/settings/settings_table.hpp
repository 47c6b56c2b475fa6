// The table of every key of a settings file.
//
// The parser, the defaults and the reference page docs/settings.md all read
// this table, so that they cannot differ. A new setting is one new row.
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
    name,      // 1 to 63 of a-z, 0-9, '-', '.' and '_'.
    variable,  // The name of an environment variable.
    secret,    // Text whose value is never shown.
    address,   // IP:port.
    url,       // http:// or https:// with a host.
    number,    // Integer in a range.
    time,      // Integer number of milliseconds in a range.
    level,     // One of the log levels.
    list,      // Array of objects; its rows have "[]" in their keys.
    object,    // Opaque JSON object.
};

struct setting_row {
    std::string_view key;  // "[]" stands for each element of a list.
    value_kind kind = value_kind::name;
    std::string_view unit;
    std::optional<std::string_view> fallback;  // JSON text.
    bool required = false;
    std::int64_t minimum = 0;  // Of the number, or of a secret's length.
    std::int64_t maximum = 0;
    std::string_view meaning;
    // Writes a checked value to its field. For a list it is called once for
    // each element, before the rows of the element.
    void (*store)(daemon_settings& to, const nlohmann::json& value) = nullptr;
};

std::span<const setting_row> settings_table();

// What a value of the row must be, in words, for faults and the reference.
std::string describe_expected(const setting_row& row);

// The reference page in Markdown.
std::string settings_reference();

}  // namespace bronzehub::settings

#endif
