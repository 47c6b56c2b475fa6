// Strict JSON for structs: one description of the fields serves the reader and
// the writer.
//
// The reader reports every fault of a document in one run, each with its path,
// what was found and what was expected: unknown, missing and duplicate keys,
// wrong types and values out of range. Use it for documents that people write
// and for rows that daemons store. Not meant for bodies of calls.
//
// A struct takes part by a specialisation:
//   template <> struct json_schema<limits> {
//       static void fields(auto& form, auto& value) {
//           form.required("maximum", value.maximum, number_range{1, 100});
//       }
//   };
// An enum takes part by a specialisation of `enum_names`, a variant by one of
// `variant_names`; a variant is an object with one member named after the
// alternative.
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

// One fault of a document.
struct json_error {
    std::string path;
    std::string found;
    std::string expected;

    friend bool operator==(const json_error&, const json_error&) = default;
};

using json_errors = std::vector<json_error>;

// One line per fault: "<path>: found <found>, expected <expected>".
std::string to_string(std::span<const json_error> faults);

// kInvalidArgument with every fault, or OK for an empty list.
absl::Status to_status(std::span<const json_error> faults);

enum class json_comments : std::uint8_t { rejected, ignored };

// Parses a document and reports syntax errors and duplicate keys. The result
// is discarded (`is_discarded()`) after a syntax error.
nlohmann::json parse_json(std::string_view text, json_errors& faults,
                          json_comments comments = json_comments::rejected);

// Compact text; invalid UTF-8 is replaced.
std::string dump_json(const nlohmann::json& value);

// "a.b" and "a[3]" for members and elements; the document itself is "".
std::string member_path(std::string_view parent, std::string_view key);
std::string element_path(std::string_view parent, std::size_t index);

// A short form of a value for messages.
std::string abbreviate(const nlohmann::json& value);

// Fields of a struct; specialised next to the struct.
template <class T>
struct json_schema;

// Names of an enum's values: `static constexpr std::array<enum_entry<E>, N>
// all`.
template <class E>
struct enum_names;

// Names of a variant's alternatives in their order:
// `static constexpr std::array<std::string_view, N> all`.
template <class V>
struct variant_names;

template <class E>
struct enum_entry {
    E value;
    std::string_view name;
};

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

// Rules for values.
struct any_value {};

struct number_range {
    double low = 0;
    double high = 0;
};

struct string_rule {
    std::string_view expected;
    bool (*accepts)(std::string_view) = nullptr;
};

// Numbers up to 2^53, the largest that every JSON reader keeps exact.
inline constexpr number_range safe_integer_range{0, 9007199254740992.0};

namespace detail {

struct value_context {
    const nlohmann::json& value;
    const std::string& path;
    json_errors& faults;

    void report(std::string expected) const {
        faults.push_back({path, abbreviate(value), std::move(expected)});
    }
};

std::string describe_range(std::string_view kind, number_range range);
bool read_integer(const value_context& at, number_range range,
                  std::uint64_t& out);
void read_number(const value_context& at, number_range range, double& out);
void read_text(const value_context& at, const string_rule& rule,
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
void read_value(const detail::value_context& at, T& out, const Rule& rule);

// Reads the members of one object. `finish` reports the unknown ones.
class json_reader {
public:
    json_reader(const nlohmann::json& object, std::string path,
                json_errors& faults);

    // A missing member is a fault.
    template <class T, class Rule = any_value>
    void required(std::string_view key, T& out, const Rule& rule = {}) {
        if (!member(key, out, rule)) {
            report_missing(key);
        }
    }

    // A missing member keeps the value that `out` has.
    template <class T, class Rule = any_value>
    void optional(std::string_view key, T& out, const Rule& rule = {}) {
        member(key, out, rule);
    }

    void finish();

private:
    template <class T, class Rule>
    bool member(std::string_view key, T& out, const Rule& rule) {
        known_.push_back(key);
        const auto found = object_.find(key);
        if (found == object_.end()) {
            return false;
        }
        const std::string path = member_path(path_, key);
        read_value(detail::value_context{*found, path, faults_}, out, rule);
        return true;
    }

    void report_missing(std::string_view key);

    const nlohmann::json& object_;
    std::string path_;
    json_errors& faults_;
    std::vector<std::string_view> known_;
};

template <class E>
void read_enum(const detail::value_context& at, E& out) {
    std::string expected = "one of";
    for (const auto& entry : enum_names<E>::all) {
        if (at.value.is_string() &&
            at.value.get_ref<const std::string&>() == entry.name) {
            out = entry.value;
            return;
        }
        expected.append(" ").append(entry.name);
    }
    at.report(std::move(expected));
}

template <class T>
void read_struct(const detail::value_context& at, T& out) {
    if (!at.value.is_object()) {
        at.report("object");
        return;
    }
    json_reader reader(at.value, at.path, at.faults);
    json_schema<T>::fields(reader, out);
    reader.finish();
}

template <class T, class Rule>
void read_array(const detail::value_context& at, std::vector<T>& out,
                const Rule& rule) {
    if (!at.value.is_array()) {
        at.report("array");
        return;
    }
    out.clear();
    out.reserve(at.value.size());
    for (const nlohmann::json& element : at.value) {
        const std::string path = element_path(at.path, out.size());
        read_value(detail::value_context{element, path, at.faults},
                   out.emplace_back(), rule);
    }
}

template <std::size_t Index = 0, class V>
void read_alternative(const detail::value_context& at, std::size_t wanted,
                      V& out) {
    if constexpr (Index < std::variant_size_v<V>) {
        if (wanted == Index) {
            read_value(at, out.template emplace<Index>(), any_value{});
        } else {
            read_alternative<Index + 1>(at, wanted, out);
        }
    }
}

template <class V>
void read_variant(const detail::value_context& at, V& out) {
    const auto& names = variant_names<V>::all;
    if (!at.value.is_object() || at.value.size() != 1) {
        at.report("object with one member");
        return;
    }
    const auto member = at.value.begin();
    const auto name = std::find(names.begin(), names.end(), member.key());
    const std::string path = member_path(at.path, member.key());
    if (name == names.end()) {
        at.faults.push_back({path, "unknown key", "a known alternative"});
        return;
    }
    read_alternative(detail::value_context{*member, path, at.faults},
                     static_cast<std::size_t>(name - names.begin()), out);
}

template <class T, class Rule>
void read_integer_as(const detail::value_context& at, T& out,
                     const Rule& rule) {
    number_range range{0, safe_integer_range.high};
    if constexpr (std::same_as<Rule, number_range>) {
        range = rule;
    } else if constexpr (detail::is_strong_id<T>::value) {
        // The number after the highest one must exist.
        range = {1, 4294967294.0};
    } else if constexpr (sizeof(T) == 4) {
        range.high = 4294967295.0;
    }
    std::uint64_t number = 0;
    if (!detail::read_integer(at, range, number)) {
        return;
    }
    if constexpr (detail::is_strong_id<T>::value) {
        out = T(static_cast<std::uint32_t>(number));
    } else {
        out = static_cast<T>(number);
    }
}

template <class T, class Rule>
void read_value(const detail::value_context& at, T& out, const Rule& rule) {
    if constexpr (detail::has_json_schema<T>) {
        read_struct(at, out);
    } else if constexpr (detail::is_vector<T>::value) {
        read_array(at, out, rule);
    } else if constexpr (detail::is_optional<T>::value) {
        read_value(at, out.emplace(), rule);
    } else if constexpr (detail::is_variant<T>::value) {
        read_variant(at, out);
    } else if constexpr (std::is_enum_v<T>) {
        read_enum(at, out);
    } else if constexpr (std::same_as<T, bool>) {
        at.value.is_boolean() ? void(out = at.value.get<bool>())
                              : at.report("true or false");
    } else if constexpr (std::same_as<T, double>) {
        detail::read_number(at, rule, out);
    } else if constexpr (std::same_as<T, std::string>) {
        if constexpr (std::same_as<Rule, string_rule>) {
            detail::read_text(at, rule, out);
        } else {
            detail::read_text(at, string_rule{}, out);
        }
    } else if constexpr (std::same_as<T, std::chrono::milliseconds>) {
        std::uint64_t count = static_cast<std::uint64_t>(out.count());
        read_integer_as(at, count, rule);
        out = std::chrono::milliseconds(count);
    } else {
        read_integer_as(at, out, rule);
    }
}

template <class T>
nlohmann::json write_value(const T& value);

// Writes the members of one object; empty optionals are left out.
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
            [](const auto& held) { return write_value(held); }, value);
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

// Reads a document of type T. Every fault is added to `faults`; the result is
// usable only when none was added.
template <class T>
T read_document(std::string_view text, json_errors& faults) {
    T result;
    const nlohmann::json document = parse_json(text, faults);
    if (!document.is_discarded()) {
        const std::string root;
        read_value(detail::value_context{document, root, faults}, result,
                   any_value{});
    }
    return result;
}

// Reads a document of type T; kInvalidArgument names every fault.
template <class T>
absl::StatusOr<T> read_document(std::string_view text) {
    json_errors faults;
    T result = read_document<T>(text, faults);
    if (!faults.empty()) {
        return to_status(faults);
    }
    return result;
}

// Checks a value that was built by code against the rules of its form.
template <class T>
void validate_value(const T& value, const std::string& path,
                    json_errors& faults) {
    T copy;
    const nlohmann::json written = write_value(value);
    read_value(detail::value_context{written, path, faults}, copy, any_value{});
}

template <class T>
std::string write_document(const T& value) {
    return dump_json(write_value(value));
}

}  // namespace bronzehub::base

#endif
