// Parses JSON with comments and reports the path of every duplicate key.
//
// nlohmann-json silently keeps only the last value of a duplicate key, which
// would hide a mistake in a hand-written file.
#ifndef BRONZEHUB_SETTINGS_JSON_DOCUMENT_HPP
#define BRONZEHUB_SETTINGS_JSON_DOCUMENT_HPP

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace bronzehub::settings {

struct json_document {
    nlohmann::json root;                      // JSON null after a syntax error.
    std::vector<std::string> duplicate_keys;  // Paths, for example "a.b[2].c".
    std::string syntax_error;  // Empty, or a message with line and column.
};

// Parses `text`. A syntax error is returned in `syntax_error`, not thrown.
json_document parse_json_document(std::string_view text);

}  // namespace bronzehub::settings

#endif
