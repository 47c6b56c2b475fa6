// JSON responses as text for a terminal.
#ifndef BRONZEHUB_CLI_FORMATTING_HPP
#define BRONZEHUB_CLI_FORMATTING_HPP

#include <nlohmann/json.hpp>
#include <string>

namespace bronzehub::cli {

// Keeps the order in which the daemon sends keys.
using document = nlohmann::ordered_json;

// One "key: value" line per scalar, nested objects indented, lists of objects
// as tables. Depends on no particular document, so that daemons can add keys.
std::string format_text(const document& value);

}  // namespace bronzehub::cli

#endif
