// Reads and writes structs as JSON, with strict validation. One schema of a
// struct serves both the reader and the writer.
//
// The reader reports all errors of a document at once, each with its path, what
// was found and what was expected: unknown, missing and duplicate keys, wrong
// types and values out of range. Use it for documents that people write and for
// rows that daemons store, not for the bodies of calls.
//
// A struct is supported by a specialisation of `json_schema`:
//   template <> struct json_schema<limits> {
//       static void fields(auto& visitor, auto& value) {
//           visitor.required("maximum", value.maximum, number_range{1, 100});
//       }
//   };
// An enum is supported by a specialisation of `enum_names`, a variant by one of
// `variant_names`. A variant is an object with one member, whose key is the
// name of the alternative.
#ifndef BRONZEHUB_BASE_JSON_FIELDS_HPP
#define BRONZEHUB_BASE_JSON_FIELDS_HPP

#include <algorithm>
#include <chrono>
#include <concepts>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <type_traits>
#include <variant>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "base/strong_id.hpp"

namespace bronzehub::base {

// A syntax or validation error in a document.
struct json_error {
    // Such as "a.b[3]"; empty for the whole document, "byte 12" for the
    // position of a syntax error.
    std::string path;
    std::string found;
    std::string expected;

    friend bool operator==(const json_error&, const json_error&) = default;
};

using json_errors = std::vector<json_error>;

// One line for each error: "<path>: found <found>, expected <expected>".
std::string to_string(std::span<const json_error> errors);

// kInvalidArgument with the text of all errors, or OK when there are none.
absl::Status to_status(std::span<const json_error> errors);

enum class json_comments : std::uint8_t { rejected, ignored };

// Parses a document and reports syntax errors and duplicate keys. After a
// syntax error, `is_discarded()` of the result is true.
nlohmann::json parse_json(std::string_view text, json_errors& errors,
                          json_comments comments = json_comments::rejected);

// Writes compact JSON. Invalid UTF-8 is replaced.
std::string dump_json(const nlohmann::json& value);

// The path of a member ("a.b") or an element ("a[3]"). The path of the document
// itself is empty.
std::string member_path(std::string_view parent, std::string_view key);
std::string element_path(std::string_view parent, std::size_t index);

// The JSON text of a value for error messages, cut off when it is long.
std::string abbreviate(const nlohmann::json& value);

// The fields of a struct. Specialise it in the header that declares the struct.
template <class T>
struct json_schema;

// The names of the values of an enum. A specialisation declares
// `static constexpr std::array<enum_entry<E>, N> all`.
template <class E>
struct enum_names;

// The names of the alternatives of a variant, in their order. A specialisation
// declares `static constexpr std::array<std::string_view, N> all`.
template <class V>
struct variant_names;

template <class E>
struct enum_entry {
    E value;
    std::string_view name;
};

// The name of `value`, or "" when `enum_names` does not list it.
template <class E>
    requires std::is_enum_v<E>
constexpr std::string_view enum_name(E value) {
    for (const auto& entry : enum_names<E>::all) {
        if (entry.value == value) {
            return entry.name;
        }
    }
    return "";
}

// Accepts every value of the type of the field.
struct any_value {};

// Accepts numbers from `low` to `high`, both included.
struct number_range {
    double low = 0;
    double high = 0;
};

// Accepts strings for which `accepts` returns true; every string when it is
// null. `expected` describes the accepted strings in error messages.
struct string_rule {
    std::string_view expected;
    bool (*accepts)(std::string_view) = nullptr;
};

// Integers up to 2^53: those that JSON readers represent exactly even when they
// store numbers as double.
inline constexpr number_range safe_integer_range{0, 9007199254740992.0};

namespace detail {

// A value that is being read, with its path and the list of errors.
struct value_context {
    const nlohmann::json& value;
    const std::string& path;
    json_errors& errors;

    void report(std::string expected) const {
        errors.push_back({path, abbreviate(value), std::move(expected)});
    }
};

std::string describe_range(std::string_view kind, number_range range);
bool read_integer(const value_context& context, number_range range,
                  std::uint64_t& out);
void read_number(const value_context& context, number_range range, double& out);
void read_text(const value_context& context, const string_rule& rule,
               std::string& out);

template <class T>
concept has_json_schema = requires { sizeof(json_schema<T>); };

template <class T>
struct is_vector : std::false_type {};
template <class T>
struct is_vector<std::vector<T>> : std::true_type {};

template <class T>
struct is_optional : std::false_type {};
template <class T>
struct is_optional<std::optional<T>> : std::true_type {};

template <class T>
struct is_variant : std::false_type {};
template <class... Ts>
struct is_variant<std::variant<Ts...>> : std::true_type {};

template <class T>
struct is_strong_id : std::false_type {};
template <class Tag>
struct is_strong_id<strong_id<Tag>> : std::true_type {};

}  // namespace detail

template <class T, class Rule>
void read_value(const detail::value_context& context, T& out, const Rule& rule);

// Reads the members of one object. `finish` reports the members that no field
// was read from.
class json_reader {
public:
    json_reader(const nlohmann::json& object, std::string path,
                json_errors& errors);

    // Reads a member; reports an error when it is missing.
    template <class T, class Rule = any_value>
    void required(std::string_view key, T& out, const Rule& rule = {}) {
        if (!member(key, out, rule)) {
            report_missing(key);
        }
    }

    // Reads a member; leaves `out` unchanged when it is missing.
    template <class T, class Rule = any_value>
    void optional(std::string_view key, T& out, const Rule& rule = {}) {
        member(key, out, rule);
    }

    void finish();

private:
    template <class T, class Rule>
    bool member(std::string_view key, T& out, const Rule& rule) {
        read_keys_.push_back(key);
        const auto found = object_.find(key);
        if (found == object_.end()) {
            return false;
        }
        const std::string path = member_path(path_, key);
        read_value(detail::value_context{*found, path, errors_}, out, rule);
        return true;
    }

    void report_missing(std::string_view key);

    const nlohmann::json& object_;
    std::string path_;
    json_errors& errors_;
    std::vector<std::string_view> read_keys_;
};

template <class E>
void read_enum(const detail::value_context& context, E& out) {
    std::string expected = "one of";
    for (const auto& entry : enum_names<E>::all) {
        if (context.value.is_string() &&
            context.value.get_ref<const std::string&>() == entry.name) {
            out = entry.value;
            return;
        }
        expected.append(" ").append(entry.name);
    }
    context.report(std::move(expected));
}

template <class T>
void read_struct(const detail::value_context& context, T& out) {
    if (!context.value.is_object()) {
        context.report("object");
        return;
    }
    json_reader reader(context.value, context.path, context.errors);
    json_schema<T>::fields(reader, out);
    reader.finish();
}

template <class T, class Rule>
void read_array(const detail::value_context& context, std::vector<T>& out,
                const Rule& rule) {
    if (!context.value.is_array()) {
        context.report("array");
        return;
    }
    out.clear();
    out.reserve(context.value.size());
    for (const nlohmann::json& element : context.value) {
        const std::string path = element_path(context.path, out.size());
        read_value(detail::value_context{element, path, context.errors},
                   out.emplace_back(), rule);
    }
}

template <std::size_t Index = 0, class V>
void read_alternative(const detail::value_context& context,
                      std::size_t target_index, V& out) {
    if constexpr (Index < std::variant_size_v<V>) {
        if (target_index == Index) {
            read_value(context, out.template emplace<Index>(), any_value{});
        } else {
            read_alternative<Index + 1>(context, target_index, out);
        }
    }
}

template <class V>
void read_variant(const detail::value_context& context, V& out) {
    const auto& names = variant_names<V>::all;
    if (!context.value.is_object() || context.value.size() != 1) {
        context.report("object with one member");
        return;
    }
    const auto member = context.value.begin();
    const auto name = std::find(names.begin(), names.end(), member.key());
    const std::string path = member_path(context.path, member.key());
    if (name == names.end()) {
        context.errors.push_back({path, "unknown key", "a known alternative"});
        return;
    }
    read_alternative(detail::value_context{*member, path, context.errors},
                     static_cast<std::size_t>(name - names.begin()), out);
}

template <class T, class Rule>
void read_integer_as(const detail::value_context& context, T& out,
                     const Rule& rule) {
    number_range range{0, safe_integer_range.high};
    if constexpr (std::same_as<Rule, number_range>) {
        range = rule;
    } else if constexpr (detail::is_strong_id<T>::value) {
        // Identifiers start at 1. The highest one is excluded because the next
        // identifier to assign must also fit in 32 bits.
        range = {1, 4294967294.0};
    } else if constexpr (sizeof(T) == 4) {
        range.high = 4294967295.0;
    }
    std::uint64_t number = 0;
    if (!detail::read_integer(context, range, number)) {
        return;
    }
    if constexpr (detail::is_strong_id<T>::value) {
        out = T(static_cast<std::uint32_t>(number));
    } else {
        out = static_cast<T>(number);
    }
}

template <class T, class Rule>
void read_value(const detail::value_context& context, T& out,
                const Rule& rule) {
    if constexpr (detail::has_json_schema<T>) {
        read_struct(context, out);
    } else if constexpr (detail::is_vector<T>::value) {
        read_array(context, out, rule);
    } else if constexpr (detail::is_optional<T>::value) {
        read_value(context, out.emplace(), rule);
    } else if constexpr (detail::is_variant<T>::value) {
        read_variant(context, out);
    } else if constexpr (std::is_enum_v<T>) {
        read_enum(context, out);
    } else if constexpr (std::same_as<T, bool>) {
        context.value.is_boolean() ? void(out = context.value.get<bool>())
                                   : context.report("true or false");
    } else if constexpr (std::same_as<T, double>) {
        detail::read_number(context, rule, out);
    } else if constexpr (std::same_as<T, std::string>) {
        if constexpr (std::same_as<Rule, string_rule>) {
            detail::read_text(context, rule, out);
        } else {
            detail::read_text(context, string_rule{}, out);
        }
    } else if constexpr (std::same_as<T, std::chrono::milliseconds>) {
        std::uint64_t count = static_cast<std::uint64_t>(out.count());
        read_integer_as(context, count, rule);
        out = std::chrono::milliseconds(count);
    } else {
        read_integer_as(context, out, rule);
    }
}

template <class T>
nlohmann::json write_value(const T& value);

// Writes the members of one object. Empty optionals are omitted.
class json_writer {
public:
    explicit json_writer(nlohmann::json& object) : object_(object) {}

    template <class T, class Rule = any_value>
    void required(std::string_view key, const T& value, const Rule& = {}) {
        if constexpr (detail::is_optional<T>::value) {
            if (value.has_value()) {
                object_[std::string(key)] = write_value(*value);
            }
        } else {
            object_[std::string(key)] = write_value(value);
        }
    }

    template <class T, class Rule = any_value>
    void optional(std::string_view key, const T& value, const Rule& rule = {}) {
        required(key, value, rule);
    }

private:
    nlohmann::json& object_;
};

template <class T>
nlohmann::json write_value(const T& value) {
    if constexpr (detail::has_json_schema<T>) {
        nlohmann::json object = nlohmann::json::object();
        json_writer writer(object);
        json_schema<T>::fields(writer, value);
        return object;
    } else if constexpr (detail::is_vector<T>::value) {
        nlohmann::json array = nlohmann::json::array();
        std::transform(value.begin(), value.end(), std::back_inserter(array),
                       [](const auto& item) { return write_value(item); });
        return array;
    } else if constexpr (detail::is_variant<T>::value) {
        nlohmann::json object = nlohmann::json::object();
        const auto name = variant_names<T>::all[value.index()];
        object[std::string(name)] = std::visit(
            [](const auto& alternative) { return write_value(alternative); },
            value);
        return object;
    } else if constexpr (std::is_enum_v<T>) {
        return std::string(enum_name(value));
    } else if constexpr (std::same_as<T, std::chrono::milliseconds>) {
        return static_cast<std::uint64_t>(value.count());
    } else if constexpr (detail::is_strong_id<T>::value) {
        return value.value();
    } else {
        return value;
    }
}

// Reads a document of type T. All errors are added to `errors`; the result is
// valid only when none was added.
template <class T>
T read_document(std::string_view text, json_errors& errors) {
    T result;
    const nlohmann::json document = parse_json(text, errors);
    if (!document.is_discarded()) {
        const std::string root;
        read_value(detail::value_context{document, root, errors}, result,
                   any_value{});
    }
    return result;
}

// Reads a document of type T.
//
// Errors: kInvalidArgument, with the text of all errors in the document.
template <class T>
absl::StatusOr<T> read_document(std::string_view text) {
    json_errors errors;
    T result = read_document<T>(text, errors);
    if (!errors.empty()) {
        return to_status(errors);
    }
    return result;
}

// Checks a value that code has built against the rules of its schema.
template <class T>
void validate_value(const T& value, const std::string& path,
                    json_errors& errors) {
    T copy;
    const nlohmann::json written = write_value(value);
    read_value(detail::value_context{written, path, errors}, copy, any_value{});
}

template <class T>
std::string write_document(const T& value) {
    return dump_json(write_value(value));
}

}  // namespace bronzehub::base

#endif
