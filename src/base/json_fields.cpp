#include "base/json_fields.hpp"

#include <cmath>
#include <unordered_set>

namespace bronzehub::base {
namespace {

using nlohmann::json;

// Longest JSON text of a value in an error message, in bytes.
constexpr std::size_t max_abbreviated_bytes = 60;
// Objects and arrays inside each other. The writer of the library recurses, so
// that a deeply nested document could exhaust the stack.
constexpr std::size_t max_nesting = 64;

// Reports keys that occur twice in one object, which the parser of the library
// accepts silently. Visits the tokens of a document without building it.
class duplicate_finder : public nlohmann::json_sax<json> {
public:
    explicit duplicate_finder(json_errors& errors) : errors_(errors) {}

    bool null() override { return value(); }
    bool boolean(bool) override { return value(); }
    bool number_integer(number_integer_t) override { return value(); }
    bool number_unsigned(number_unsigned_t) override { return value(); }
    bool number_float(number_float_t, const string_t&) override {
        return value();
    }
    bool string(string_t&) override { return value(); }
    bool binary(binary_t&) override { return value(); }
    bool start_object(std::size_t) override { return open(false); }
    bool start_array(std::size_t) override { return open(true); }
    bool end_object() override { return close(); }
    bool end_array() override { return close(); }

    bool key(string_t& name) override {
        frame& object = frames_.back();
        object.path = member_path(object.base, name);
        if (!object.seen.insert(name).second) {
            errors_.push_back({object.path, "duplicate key", "one value"});
        }
        return true;
    }

    bool parse_error(std::size_t position, const std::string&,
                     const nlohmann::detail::exception& error) override {
        errors_.push_back({"byte " + std::to_string(position), error.what(),
                           "a JSON document"});
        return false;
    }

private:
    // An object or array that has not ended.
    struct frame {
        std::string base;
        bool is_array = false;
        std::size_t next_index = 0;
        std::string path;
        std::unordered_set<std::string> seen;
    };

    // Path of the value that begins. Counts the elements of an array.
    std::string next_path() {
        if (frames_.empty()) {
            return "";
        }
        frame& parent = frames_.back();
        return parent.is_array ? element_path(parent.base, parent.next_index++)
                               : parent.path;
    }

    bool value() {
        next_path();
        return true;
    }

    bool open(bool is_array) {
        if (frames_.size() >= max_nesting) {
            errors_.push_back({"", "deeper nesting",
                               "at most " + std::to_string(max_nesting) +
                                   " levels of nesting"});
            return false;
        }
        frame opened;
        opened.base = next_path();
        opened.is_array = is_array;
        frames_.push_back(std::move(opened));
        return true;
    }

    bool close() {
        frames_.pop_back();
        return true;
    }

    json_errors& errors_;
    std::vector<frame> frames_;
};

std::string format_number(double value) {
    if (value == std::floor(value) &&
        std::abs(value) <= safe_integer_range.high) {
        return std::to_string(static_cast<std::int64_t>(value));
    }
    return json(value).dump();
}

}  // namespace

std::string to_string(std::span<const json_error> errors) {
    std::string lines;
    for (const json_error& error : errors) {
        lines.append(lines.empty() ? "" : "\n");
        lines.append(error.path.empty() ? "(document)" : error.path);
        lines.append(": found ").append(error.found);
        lines.append(", expected ").append(error.expected);
    }
    return lines;
}

absl::Status to_status(std::span<const json_error> errors) {
    return errors.empty() ? absl::OkStatus()
                          : absl::InvalidArgumentError(to_string(errors));
}

nlohmann::json parse_json(std::string_view text, json_errors& errors,
                          json_comments comments) {
    const bool ignore_comments = comments == json_comments::ignored;
    duplicate_finder finder(errors);
    if (!json::sax_parse(text, &finder, json::input_format_t::json, true,
                         ignore_comments)) {
        return json(json::value_t::discarded);
    }
    return json::parse(text, nullptr, false, ignore_comments);
}

std::string dump_json(const nlohmann::json& value) {
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string member_path(std::string_view parent, std::string_view key) {
    std::string path(parent);
    path.append(parent.empty() ? "" : ".");
    return path.append(key);
}

std::string element_path(std::string_view parent, std::size_t index) {
    return std::string(parent) + "[" + std::to_string(index) + "]";
}

std::string abbreviate(const nlohmann::json& value) {
    std::string text = dump_json(value);
    if (text.size() > max_abbreviated_bytes) {
        text.resize(max_abbreviated_bytes);
        text += "...";
    }
    return text;
}

json_reader::json_reader(const nlohmann::json& object, std::string path,
                         json_errors& errors)
    : object_(object), path_(std::move(path)), errors_(errors) {}

void json_reader::report_missing(std::string_view key) {
    errors_.push_back({member_path(path_, key), "nothing", "a value"});
}

void json_reader::finish() {
    for (const auto& [key, value] : object_.items()) {
        if (std::find(read_keys_.begin(), read_keys_.end(), key) ==
            read_keys_.end()) {
            errors_.push_back(
                {member_path(path_, key), "unknown key", "no such key"});
        }
    }
}

namespace detail {

std::string describe_range(std::string_view kind, number_range range) {
    return std::string(kind) + " from " + format_number(range.low) + " to " +
           format_number(range.high);
}

bool read_integer(const value_context& context, number_range range,
                  std::uint64_t& out) {
    const bool fits = context.value.is_number_unsigned() &&
                      context.value.get<double>() >= range.low &&
                      context.value.get<double>() <= range.high;
    if (!fits) {
        context.report(describe_range("integer", range));
        return false;
    }
    out = context.value.get<std::uint64_t>();
    return true;
}

void read_number(const value_context& context, number_range range,
                 double& out) {
    const bool fits = context.value.is_number() &&
                      context.value.get<double>() >= range.low &&
                      context.value.get<double>() <= range.high;
    if (!fits) {
        context.report(describe_range("number", range));
        return;
    }
    out = context.value.get<double>();
}

void read_text(const value_context& context, const string_rule& rule,
               std::string& out) {
    if (!context.value.is_string()) {
        context.report(rule.expected.empty() ? "string"
                                             : std::string(rule.expected));
        return;
    }
    out = context.value.get<std::string>();
    if (rule.accepts != nullptr && !rule.accepts(out)) {
        context.report(std::string(rule.expected));
    }
}

}  // namespace detail
}  // namespace bronzehub::base
