// Typed changes: the only way from one version of the configuration to the
// next.
//
// A change carries the version that it leads to and applies to exactly the
// version before. Applying the same changes in order gives equal
// configurations on every daemon.
#ifndef BRONZEHUB_CONFIGURATION_CHANGE_HPP
#define BRONZEHUB_CONFIGURATION_CHANGE_HPP

#include <array>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "absl/status/statusor.h"
#include "configuration/json_form.hpp"
#include "configuration/model.hpp"

namespace bronzehub::configuration {

// An API key together with the organisation that it belongs to.
struct owned_key {
    base::organisation_id organisation;
    api_key key;

    friend bool operator==(const owned_key&, const owned_key&) = default;
};

struct owned_key_id {
    base::organisation_id organisation;
    std::string key;

    friend bool operator==(const owned_key_id&, const owned_key_id&) = default;
};

// How one kind of object is identified in a change.
template <class T>
struct identity {
    using type = decltype(T::id);
    static type of(const T& value) { return value.id; }
};

template <>
struct identity<operator_account> {
    using type = std::string;
    static type of(const operator_account& value) { return value.name; }
};

template <>
struct identity<owned_key> {
    using type = owned_key_id;
    static type of(const owned_key& value) {
        return {value.organisation, value.key.id};
    }
};

// A new object. Its number must be the next free one.
template <class T>
struct added {
    T value;
    friend bool operator==(const added&, const added&) = default;
};

// New content of an existing object. An organisation keeps its keys, which
// only change through changes of keys; `value.keys` must be empty.
template <class T>
struct updated {
    T value;
    friend bool operator==(const updated&, const updated&) = default;
};

template <class T>
struct removed {
    typename identity<T>::type id;
    friend bool operator==(const removed&, const removed&) = default;
};

using change_item = std::variant<
    added<organisation>, updated<organisation>, removed<organisation>,
    added<owned_key>, updated<owned_key>, removed<owned_key>, added<service>,
    updated<service>, removed<service>, added<backend_server>,
    updated<backend_server>, removed<backend_server>, added<operator_account>,
    updated<operator_account>, removed<operator_account>>;

struct configuration_change {
    std::uint64_t version = 0;  // The version after the change.
    std::string plan;           // Id of the plan that it confirms.
    std::vector<change_item> items;

    friend bool operator==(const configuration_change&,
                           const configuration_change&) = default;
};

// Applies one item without changing the version and without the rules that
// span several objects. kNotFound, kAlreadyExists or kInvalidArgument.
absl::Status apply_item(fleet_configuration& to, const change_item& item);

// The configuration after `change`. kFailedPrecondition when `change` does
// not lead from the version of `from` to the next one; otherwise the error of
// the first item or kInvalidArgument with every fault of the result.
absl::StatusOr<fleet_configuration> apply(const fleet_configuration& from,
                                          const configuration_change& change);

// Applies several changes in order and checks the rules that span several
// objects once, at the end. O(size of `from` + items).
absl::StatusOr<fleet_configuration> apply_all(
    const fleet_configuration& from,
    std::span<const configuration_change> changes);

absl::StatusOr<configuration_change> read_change(std::string_view text);
std::string write_change(const configuration_change& change);

}  // namespace bronzehub::configuration

namespace bronzehub::base {

template <>
struct variant_names<configuration::change_item> {
    static constexpr std::array<std::string_view, 15> all{
        "add_organisation",
        "update_organisation",
        "remove_organisation",
        "add_key",
        "update_key",
        "remove_key",
        "add_service",
        "update_service",
        "remove_service",
        "add_backend_server",
        "update_backend_server",
        "remove_backend_server",
        "add_operator",
        "update_operator",
        "remove_operator"};
    static_assert(all.size() ==
                  std::variant_size_v<configuration::change_item>);
};

template <class T>
struct json_schema<configuration::added<T>> {
    static void fields(auto& form, auto& value) {
        json_schema<T>::fields(form, value.value);
    }
};

template <class T>
struct json_schema<configuration::updated<T>> {
    static void fields(auto& form, auto& value) {
        json_schema<T>::fields(form, value.value);
    }
};

template <class T>
struct json_schema<configuration::removed<T>> {
    static void fields(auto& form, auto& value) {
        if constexpr (requires { value.id.key; }) {
            form.required("organisation", value.id.organisation);
            form.required("key", value.id.key, configuration::name_rule);
        } else if constexpr (requires { value.id.value(); }) {
            form.required("id", value.id);
        } else {
            form.required("name", value.id, configuration::name_rule);
        }
    }
};

template <>
struct json_schema<configuration::owned_key> {
    static void fields(auto& form, auto& value) {
        form.required("organisation", value.organisation);
        form.required("key", value.key);
    }
};

template <>
struct json_schema<configuration::configuration_change> {
    static void fields(auto& form, auto& value) {
        form.required("version", value.version,
                      number_range{1, safe_integer_range.high});
        form.required("plan", value.plan, configuration::name_rule);
        form.required("items", value.items);
    }
};

}  // namespace bronzehub::base

#endif
