// JSON with comments, read with the path of every duplicate key.
//
// nlohmann-json keeps the last value of a duplicate key silently, which would
// hide a fault of a hand-written file.
#ifndef BRONZEHUB_SETTINGS_JSON_DOCUMENT_HPP
#define BRONZEHUB_SETTINGS_JSON_DOCUMENT_HPP

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace bronzehub::settings {

struct json_document {
    nlohmann::json root;                      // Null after a syntax error.
    std::vector<std::string> duplicate_keys;  // Paths such as "a.b[2].c".
    std::string syntax_error;                 // With line and column.
};

json_document read_json_document(std::string_view text);

}  // namespace bronzehub::settings

#endif
