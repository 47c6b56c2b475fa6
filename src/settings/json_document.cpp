#include "settings/json_document.hpp"

#include <set>

#include "absl/strings/str_cat.h"

namespace bronzehub::settings {
namespace {

using nlohmann::json;

// Handles the parser's events and records the path of every duplicate key.
class duplicate_key_finder {
public:
    explicit duplicate_key_finder(std::vector<std::string>& duplicate_paths)
        : duplicate_paths_(duplicate_paths) {}

    void on_event(json::parse_event_t event, const json& parsed) {
        switch (event) {
            case json::parse_event_t::object_start:
                enter_container(false);
                break;
            case json::parse_event_t::array_start:
                enter_container(true);
                break;
            case json::parse_event_t::key:
                on_key(parsed.get<std::string>());
                break;
            case json::parse_event_t::value:
                count_element();
                break;
            case json::parse_event_t::object_end:
            case json::parse_event_t::array_end:
                open_containers_.pop_back();
                break;
        }
    }

private:
    // An object or array whose end has not been parsed yet.
    struct container {
        bool is_array = false;
        std::size_t element_count = 0;
        std::string key;  // The last key of an object.
        std::set<std::string> seen_keys;
    };

    void enter_container(bool is_array) {
        count_element();
        open_containers_.push_back({is_array, 0, "", {}});
    }

    void count_element() {
        if (!open_containers_.empty()) {
            ++open_containers_.back().element_count;
        }
    }

    void on_key(const std::string& key) {
        open_containers_.back().key = key;
        if (!open_containers_.back().seen_keys.insert(key).second) {
            duplicate_paths_.push_back(current_path());
        }
    }

    std::string current_path() const {
        std::string text;
        for (const container& open_container : open_containers_) {
            if (open_container.is_array) {
                absl::StrAppend(&text, "[", open_container.element_count - 1,
                                "]");
            } else {
                absl::StrAppend(&text, text.empty() ? "" : ".",
                                open_container.key);
            }
        }
        return text;
    }

    std::vector<std::string>& duplicate_paths_;
    std::vector<container> open_containers_;
};

}  // namespace

json_document parse_json_document(std::string_view text) {
    json_document document;
    duplicate_key_finder finder(document.duplicate_keys);
    const auto on_event = [&finder](int /*depth*/, json::parse_event_t event,
                                    json& parsed) {
        finder.on_event(event, parsed);
        return true;
    };
    try {
        document.root = json::parse(text, on_event, true, true);
    } catch (const json::exception& error) {
        document.syntax_error = error.what();
    }
    return document;
}

}  // namespace bronzehub::settings
