// Plans: what an operator wants, what it would change, and whether it was
// confirmed.
//
// An intent is a list of typed changes. Planning applies it to the
// configuration in force without changing anything, and shows every change
// with its effect. `planner.hpp` stores and confirms plans.
#ifndef BRONZEHUB_PLANNING_PLAN_HPP
#define BRONZEHUB_PLANNING_PLAN_HPP

#include <optional>
#include <string>
#include <vector>

#include "configuration/change.hpp"
#include "configuration/snapshot.hpp"

namespace bronzehub::planning {

struct intent {
    std::string reason;
    std::vector<configuration::change_item> items;
};

// One change: the object's JSON before and after; empty when it does not
// exist. `action` names the change and the object.
struct difference {
    std::string action;
    std::string from;
    std::string to;

    friend bool operator==(const difference&, const difference&) = default;
};

// An organisation's share of a service while all organisations have waiting
// work: its weight divided by the sum of weights.
struct share_effect {
    std::string service;
    std::string organisation;
    double from = 0;
    double to = 0;
};

// Slots of the active backend servers of a service at their maximum.
struct capacity_effect {
    std::string service;
    std::uint64_t servers_from = 0;
    std::uint64_t servers_to = 0;
    std::uint64_t slots_from = 0;
    std::uint64_t slots_to = 0;
};

struct plan_effects {
    std::vector<difference> differences;
    // The largest share effects first, at most `largest_share_list`.
    std::vector<share_effect> shares;
    std::uint64_t shares_omitted = 0;
    std::vector<capacity_effect> capacities;
};

// A plan lists at most this many shares; a new organisation changes the share
// of every other one.
inline constexpr std::size_t largest_share_list = 100;

enum class plan_state { proposed, confirmed, dropped };

struct plan {
    std::string id;
    std::uint64_t base_version = 0;
    std::string author;
    std::string reason;
    std::vector<configuration::change_item> items;
    plan_effects effects;
    plan_state state = plan_state::proposed;
    std::optional<std::uint64_t> confirmed_version{};
};

// Reads an intent, whose changes are typed (`items`) or by name (`changes`, see
// named_changes.hpp). An added object may leave its number out; it receives the
// next free one of `base`.
absl::StatusOr<intent> read_intent(
    std::string_view text, const configuration::fleet_configuration& base);

// The plan for an intent on `base`. Fails as `configuration::apply` does.
absl::StatusOr<plan> make_plan(std::string id, std::string author,
                               const intent& wanted,
                               const configuration::fleet_configuration& base);

// One line per item, for example "update organisation 3".
std::string describe(const configuration::change_item& item);
std::string describe(const std::vector<configuration::change_item>& items);

// The form that is stored.
std::string write_plan(const plan& value);
// The form that operators read, with shortened digests of keys.
std::string write_readable_plan(const plan& value);
absl::StatusOr<plan> read_plan(std::string_view text);

}  // namespace bronzehub::planning

namespace bronzehub::base {

template <>
struct enum_names<planning::plan_state> {
    using state = planning::plan_state;
    static constexpr std::array<enum_entry<state>, 3> all{
        {{state::proposed, "proposed"},
         {state::confirmed, "confirmed"},
         {state::dropped, "dropped"}}};
};

template <>
struct json_schema<planning::intent> {
    static void fields(auto& form, auto& value) {
        form.required("reason", value.reason);
        form.required("items", value.items);
    }
};

template <>
struct json_schema<planning::difference> {
    static void fields(auto& form, auto& value) {
        form.required("action", value.action);
        form.required("from", value.from);
        form.required("to", value.to);
    }
};

template <>
struct json_schema<planning::share_effect> {
    static void fields(auto& form, auto& value) {
        form.required("service", value.service);
        form.required("organisation", value.organisation);
        form.required("from", value.from, number_range{0, 1});
        form.required("to", value.to, number_range{0, 1});
    }
};

template <>
struct json_schema<planning::capacity_effect> {
    static void fields(auto& form, auto& value) {
        form.required("service", value.service);
        form.required("servers_from", value.servers_from);
        form.required("servers_to", value.servers_to);
        form.required("slots_from", value.slots_from);
        form.required("slots_to", value.slots_to);
    }
};

template <>
struct json_schema<planning::plan_effects> {
    static void fields(auto& form, auto& value) {
        form.required("differences", value.differences);
        form.required("shares", value.shares);
        form.required("shares_omitted", value.shares_omitted);
        form.required("capacities", value.capacities);
    }
};

template <>
struct json_schema<planning::plan> {
    static void fields(auto& form, auto& value) {
        form.required("id", value.id, configuration::name_rule);
        form.required("base_version", value.base_version);
        form.required("author", value.author, configuration::name_rule);
        form.required("reason", value.reason);
        form.required("items", value.items);
        form.required("effects", value.effects);
        form.required("state", value.state);
        form.optional("confirmed_version", value.confirmed_version);
    }
};

}  // namespace bronzehub::base

#endif
