#include "settings/settings.hpp"

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "settings/checks.hpp"
#include "settings/json_document.hpp"
#include "settings/settings_table.hpp"

namespace bronzehub::settings {
namespace {

using nlohmann::json;

const setting_row* find_row(std::string_view key) {
    const auto rows = settings_table();
    const auto row = std::ranges::find(rows, key, &setting_row::key);
    return row == rows.end() ? nullptr : &*row;
}

// Returns whether `pattern` is an object that contains other keys.
bool is_key_group(const std::string& pattern) {
    return std::ranges::any_of(settings_table(), [&](const setting_row& row) {
        return row.key.starts_with(pattern + ".");
    });
}

std::string join_key(const std::string& parent, std::string_view child) {
    return parent.empty() ? std::string(child)
                          : absl::StrCat(parent, ".", std::string(child));
}

// Returns the sorted names of the keys that the object at `pattern` may have.
std::set<std::string> known_keys(const std::string& pattern) {
    const std::string prefix = pattern.empty() ? "" : pattern + ".";
    std::set<std::string> names;
    for (const setting_row& row : settings_table()) {
        if (row.key.starts_with(prefix)) {
            const std::string_view rest = row.key.substr(prefix.size());
            names.emplace(rest.substr(0, rest.find_first_of(".[")));
        }
    }
    return names;
}

// Reads a JSON document into `load_result::settings` and adds an error for each
// value that the settings table does not allow. A `path` gives the position of
// a value in the document, for example "peers.seeds[1].host". A `pattern` is
// the same path as the table writes it, with "[]" instead of "[1]".
class document_reader {
public:
    document_reader(std::string_view file, load_result& result)
        : file_(file), result_(result) {}

    // Returns false if `text` is not a JSON object, so that no key was read.
    bool read(std::string_view text) {
        const json_document document = parse_json_document(text);
        for (const std::string& key : document.duplicate_keys) {
            report(key, "a duplicate key", "each key once");
        }
        if (!document.syntax_error.empty()) {
            report("", document.syntax_error, "JSON with comments");
            return false;
        }
        if (!document.root.is_object()) {
            report("", document.root.type_name(), "JSON object");
            return false;
        }
        read_object("", "", document.root);
        return true;
    }

    void report(std::string key, std::string found, std::string expected) {
        result_.errors.push_back({std::string(file_), std::move(key),
                                  std::move(found), std::move(expected)});
    }

private:
    void read_object(const std::string& pattern, const std::string& path,
                     const json& object) {
        for (const auto& [name, value] : object.items()) {
            read_key(pattern, path, name, value);
        }
        report_missing(pattern, path, object);
    }

    void read_key(const std::string& pattern, const std::string& path,
                  const std::string& name, const json& value) {
        const std::string key = join_key(pattern, name);
        const std::string key_path = join_key(path, name);
        if (const setting_row* row = find_row(key)) {
            read_value(*row, key_path, value);
        } else if (!is_key_group(key)) {
            report(key_path, "an unknown key",
                   absl::StrCat("one of ",
                                absl::StrJoin(known_keys(pattern), ", ")));
        } else if (!value.is_object()) {
            report(key_path, value.type_name(), "JSON object");
        } else {
            read_object(key, key_path, value);
        }
    }

    void read_value(const setting_row& row, const std::string& path,
                    const json& value) {
        if (!is_valid_value(row, value)) {
            report(path, describe_value(row, value), describe_expected(row));
        } else if (row.kind == value_kind::list) {
            read_list(row, path, value);
        } else {
            row.store(result_.settings, value);
        }
    }

    void read_list(const setting_row& row, const std::string& path,
                   const json& list) {
        const std::string pattern = absl::StrCat(std::string(row.key), "[]");
        std::size_t index = 0;
        for (const json& element : list) {
            const std::string element_path =
                absl::StrCat(path, "[", index++, "]");
            row.store(result_.settings, element);
            if (element.is_object()) {
                read_object(pattern, element_path, element);
            } else {
                report(element_path, element.type_name(), "JSON object");
            }
        }
    }

    // Reports the required keys that `object` lacks, including those of nested
    // objects that are absent. Nested objects that are present report their own
    // missing keys.
    void report_missing(const std::string& pattern, const std::string& path,
                        const json& object) {
        const std::string prefix = pattern.empty() ? "" : pattern + ".";
        for (const setting_row& row : settings_table()) {
            if (!row.required || !row.key.starts_with(prefix)) {
                continue;
            }
            const std::string_view rest = row.key.substr(prefix.size());
            const std::size_t end = rest.find_first_of(".[");
            const bool in_list = end != std::string_view::npos &&
                                 rest.find('[') != std::string_view::npos;
            if (!in_list &&
                !object.contains(std::string(rest.substr(0, end)))) {
                report(join_key(path, rest), "nothing", describe_expected(row));
            }
        }
    }

    std::string_view file_;
    load_result& result_;
};

// Sets `shared_key` to the value of the environment variable named by
// `shared_key_variable`, so that callers only need to read `shared_key`.
void resolve_shared_key(peer_settings& peers,
                        const environment_reader& environment,
                        const error_reporter& report) {
    if (peers.shared_key_variable.empty() || !peers.shared_key.empty()) {
        return;
    }
    const auto value = environment(peers.shared_key_variable);
    const setting_row* row = find_row("peers.shared_key");
    if (!value || !is_valid_value(*row, json(*value))) {
        report("peers.shared_key_variable",
               absl::StrCat(
                   "environment variable ", peers.shared_key_variable,
                   value ? absl::StrCat(" with ", value->size(), " characters")
                         : " not set"),
               absl::StrCat("a variable that holds ", describe_expected(*row)));
        return;
    }
    peers.shared_key = *value;
}

// Derives the values that depend on other keys or on the environment, and
// reports values that contradict each other.
void resolve_and_check(load_result& result,
                       const environment_reader& environment,
                       const error_reporter& report) {
    listener_settings& listeners = result.settings.listeners;
    if (listeners.peers_advertised.empty()) {
        listeners.peers_advertised = listeners.peers;
    }
    check_consistency(result.settings, report);
    resolve_shared_key(result.settings.peers, environment, report);
}

}  // namespace

std::string_view to_string(log_level level) {
    switch (level) {
        case log_level::trace:
            return "trace";
        case log_level::debug:
            return "debug";
        case log_level::info:
            return "info";
        case log_level::warning:
            return "warning";
        case log_level::error:
            return "error";
    }
    return "unknown";
}

std::string to_string(const settings_error& error) {
    return absl::StrCat(error.file, ": ",
                        error.key.empty() ? "" : error.key + ": ", "found ",
                        error.found, "; expected ", error.expected);
}

environment_reader process_environment() {
    return [](const std::string& name) -> std::optional<std::string> {
        const char* value = std::getenv(name.c_str());
        return value == nullptr ? std::nullopt
                                : std::optional<std::string>(value);
    };
}

daemon_settings default_settings() {
    daemon_settings settings;
    for (const setting_row& row : settings_table()) {
        if (row.default_json && row.kind != value_kind::list) {
            row.store(settings, json::parse(*row.default_json));
        }
    }
    return settings;
}

load_result load_settings(std::string_view text, std::string_view file,
                          const environment_reader& environment) {
    load_result result{default_settings(), {}};
    document_reader reader(file, result);
    if (!reader.read(text)) {
        return result;
    }
    const auto report = [&reader](std::string key, std::string found,
                                  std::string expected) {
        reader.report(std::move(key), std::move(found), std::move(expected));
    };
    resolve_and_check(result, environment, report);
    return result;
}

load_result load_settings_file(const std::string& path,
                               const environment_reader& environment) {
    std::ifstream input(path, std::ios::binary);
    std::ostringstream content;
    if (!input || !(content << input.rdbuf())) {
        return {default_settings(),
                {{path, "", "a file that cannot be read", "a readable file"}}};
    }
    return load_settings(content.str(), path, environment);
}

}  // namespace bronzehub::settings
