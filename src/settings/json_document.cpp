#include "settings/json_document.hpp"

#include <set>

#include "absl/strings/str_cat.h"

namespace bronzehub::settings {
namespace {

using nlohmann::json;

// Follows the parser through the document and records repeated keys.
class duplicate_finder {
public:
    explicit duplicate_finder(std::vector<std::string>& found)
        : found_(found) {}

    void on_event(json::parse_event_t event, const json& parsed) {
        switch (event) {
            case json::parse_event_t::object_start:
                enter(false);
                break;
            case json::parse_event_t::array_start:
                enter(true);
                break;
            case json::parse_event_t::key:
                on_key(parsed.get<std::string>());
                break;
            case json::parse_event_t::value:
                count_element();
                break;
            case json::parse_event_t::object_end:
            case json::parse_event_t::array_end:
                open_.pop_back();
                break;
        }
    }

private:
    struct container {
        bool is_array = false;
        std::size_t elements = 0;
        std::string key;
        std::set<std::string> seen;
    };

    void enter(bool is_array) {
        count_element();
        open_.push_back({is_array, 0, "", {}});
    }

    void count_element() {
        if (!open_.empty()) {
            ++open_.back().elements;
        }
    }

    void on_key(const std::string& key) {
        open_.back().key = key;
        if (!open_.back().seen.insert(key).second) {
            found_.push_back(path());
        }
    }

    std::string path() const {
        std::string text;
        for (const container& each : open_) {
            if (each.is_array) {
                absl::StrAppend(&text, "[", each.elements - 1, "]");
            } else {
                absl::StrAppend(&text, text.empty() ? "" : ".", each.key);
            }
        }
        return text;
    }

    std::vector<std::string>& found_;
    std::vector<container> open_;
};

}  // namespace

json_document read_json_document(std::string_view text) {
    json_document document;
    duplicate_finder finder(document.duplicate_keys);
    const auto follow = [&finder](int /*depth*/, json::parse_event_t event,
                                  json& parsed) {
        finder.on_event(event, parsed);
        return true;
    };
    try {
        document.root = json::parse(text, follow, true, true);
    } catch (const json::exception& error) {
        document.syntax_error = error.what();
    }
    return document;
}

}  // namespace bronzehub::settings
