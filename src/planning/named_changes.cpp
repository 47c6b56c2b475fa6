#include "planning/named_changes.hpp"

#include <algorithm>
#include <functional>
#include <set>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"
#include "configuration/json_form.hpp"

namespace bronzehub::planning {
namespace {

using configuration::fleet_configuration;
using configuration::organisation;
using nlohmann::json;

struct named_change {
    bool removes = false;
    std::string kind;
    std::string name;
    json fields = json::object();
};

using item_or_error = absl::StatusOr<json>;

absl::Status not_found(const std::string& kind, const std::string& name) {
    return absl::NotFoundError(
        absl::StrCat(kind, " ", name, " does not exist"));
}

absl::StatusOr<named_change> read_change(const json& text) {
    const auto invalid = [&](const char* expected) {
        return absl::InvalidArgumentError(
            absl::StrCat("changes: found ", base::abbreviate(text),
                         ", expected ", expected));
    };
    if (!text.is_object()) {
        return invalid("an object with action, kind, name and fields");
    }
    named_change result;
    const std::string action = text.value("action", "");
    if (action != "set" && action != "remove") {
        return invalid("action \"set\" or \"remove\"");
    }
    result.removes = action == "remove";
    result.kind = text.value("kind", "");
    result.name = text.value("name", "");
    result.fields = text.value("fields", json::object());
    if (result.kind.empty() || result.name.empty() ||
        !result.fields.is_object()) {
        return invalid("kind and name, and fields as an object");
    }
    return result;
}

template <class Object>
const Object* find_by_name(const std::vector<Object>& objects,
                           const std::string& name) {
    const auto found = std::ranges::find(objects, name, &Object::name);
    return found == objects.end() ? nullptr : &*found;
}

json make_item(const std::string& kind, json value) {
    json item;
    item[kind] = std::move(value);
    return item;
}

// An organisation's keys only change through changes of keys.
json without_keys(json value) {
    value.erase("keys");
    return value;
}

template <class Object>
item_or_error change_object(const named_change& change,
                            const std::vector<Object>& objects,
                            const std::string& type) {
    const Object* existing = find_by_name(objects, change.name);
    if (change.removes) {
        if (existing == nullptr) {
            return not_found(change.kind, change.name);
        }
        return make_item("remove_" + type, {{"id", existing->id.value()}});
    }
    json value = existing == nullptr
                     ? json{{"name", change.name}}
                     : without_keys(base::write_value(*existing));
    value.merge_patch(change.fields);
    return make_item((existing == nullptr ? "add_" : "update_") + type,
                     std::move(value));
}

// Splits "ORGANISATION/REST" and finds the organisation.
struct owned_name {
    const organisation* owner = nullptr;
    std::string rest;
};

absl::StatusOr<owned_name> split_owned(const named_change& change,
                                       const fleet_configuration& base) {
    const std::size_t slash = change.name.find('/');
    if (slash == std::string::npos) {
        return absl::InvalidArgumentError(
            absl::StrCat(change.kind, ": found name ", change.name,
                         ", expected ORGANISATION/NAME"));
    }
    const std::string owner = change.name.substr(0, slash);
    const organisation* found = find_by_name(base.organisations, owner);
    if (found == nullptr) {
        return not_found("organisation", owner);
    }
    return owned_name{found, change.name.substr(slash + 1)};
}

item_or_error change_key(const named_change& change,
                         const fleet_configuration& base) {
    const auto name = split_owned(change, base);
    if (!name.ok()) {
        return name.status();
    }
    const std::uint32_t owner = name->owner->id.value();
    const auto existing = std::ranges::find(name->owner->keys, name->rest,
                                            &configuration::api_key::id);
    const bool exists = existing != name->owner->keys.end();
    if (change.removes) {
        if (!exists) {
            return not_found("key", change.name);
        }
        return make_item("remove_key",
                         {{"organisation", owner}, {"key", name->rest}});
    }
    json key = exists ? base::write_value(*existing) : json{{"id", name->rest}};
    key.merge_patch(change.fields);
    return make_item(exists ? "update_key" : "add_key",
                     {{"organisation", owner}, {"key", std::move(key)}});
}

item_or_error change_share(const named_change& change,
                           const fleet_configuration& base) {
    const auto name = split_owned(change, base);
    if (!name.ok()) {
        return name.status();
    }
    const auto* service = find_by_name(base.services, name->rest);
    if (service == nullptr) {
        return not_found("service", name->rest);
    }
    json value = without_keys(base::write_value(*name->owner));
    json weights = json::array();
    std::ranges::copy_if(value["weights"], std::back_inserter(weights),
                         [&](const json& weight) {
                             return weight["service"] != service->id.value();
                         });
    if (!change.removes) {
        json weight{{"service", service->id.value()}};
        weight.merge_patch(change.fields);
        weights.push_back(std::move(weight));
    }
    value["weights"] = std::move(weights);
    return make_item("update_organisation", std::move(value));
}

item_or_error make_typed(const named_change& change,
                         const fleet_configuration& base) {
    if (change.kind == "organisation") {
        return change_object(change, base.organisations, "organisation");
    }
    if (change.kind == "service") {
        return change_object(change, base.services, "service");
    }
    if (change.kind == "backend") {
        return change_object(change, base.backend_servers, "backend_server");
    }
    if (change.kind == "key") {
        return change_key(change, base);
    }
    if (change.kind == "share") {
        return change_share(change, base);
    }
    return absl::InvalidArgumentError(
        absl::StrCat("changes: found kind ", change.kind,
                     ", expected organisation, service, backend, key or "
                     "share"));
}

// What a change writes as a whole: a second change of it would undo the first.
std::string written_object(const named_change& change) {
    return change.kind == "share"
               ? "organisation " + change.name.substr(0, change.name.find('/'))
               : change.kind + " " + change.name;
}

}  // namespace

absl::StatusOr<json> resolve_named_changes(json intent,
                                           const fleet_configuration& base) {
    if (!intent.is_object() || !intent.contains("changes")) {
        return intent;
    }
    if (!intent["changes"].is_array() || intent.contains("items")) {
        return absl::InvalidArgumentError(
            "intent: expected either an array \"changes\" or \"items\"");
    }
    json items = json::array();
    std::set<std::string> written;
    for (const json& text : intent["changes"]) {
        const auto change = read_change(text);
        if (!change.ok()) {
            return change.status();
        }
        if (!written.insert(written_object(*change)).second) {
            return absl::InvalidArgumentError(
                absl::StrCat("changes: ", written_object(*change),
                             " is changed twice; use one change"));
        }
        auto item = make_typed(*change, base);
        if (!item.ok()) {
            return item.status();
        }
        items.push_back(*std::move(item));
    }
    intent.erase("changes");
    intent["items"] = std::move(items);
    return intent;
}

}  // namespace bronzehub::planning
