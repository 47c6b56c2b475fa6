#include "planning/plan.hpp"
#include "planning/named_changes.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <tuple>

namespace bronzehub::planning {
namespace {

using configuration::change_item;
using configuration::fleet_configuration;
using nlohmann::json;

// Smaller differences are rounding.
constexpr double smallest_share_change = 1e-6;

std::string text_of(const std::string& id) {
    return id;
}

std::string text_of(const configuration::owned_key_id& id) {
    return id.key + " of organisation " +
           std::to_string(id.organisation.value());
}

template <class Tag>
std::string text_of(base::strong_id<Tag> id) {
    return std::to_string(id.value());
}

template <class T>
auto id_of(const configuration::removed<T>& item) {
    return item.id;
}

template <class Change>
auto id_of(const Change& item) {
    using object = decltype(item.value);
    return configuration::identity<std::remove_const_t<object>>::of(item.value);
}

// A key's digest is shortened in what operators read: enough to see that it
// changes, too little to search for the key.
constexpr std::size_t shown_digest_characters = 8;

void shorten_digests(json& value) {
    if (!value.is_structured()) {
        return;
    }
    for (const char* name : {"sha256", "key_sha256"}) {
        if (value.is_object() && value.contains(name)) {
            value[name] = value[name].get<std::string>().substr(
                0, shown_digest_characters);
        }
    }
    for (json& each : value) {
        shorten_digests(each);
    }
}

// The object that an item concerns, as JSON; empty when it does not exist.
template <class T>
std::string json_or_empty(const T* object) {
    if (object == nullptr) {
        return "";
    }
    json value = base::write_value(*object);
    shorten_digests(value);
    return base::dump_json(value);
}

std::string object_json(const fleet_configuration& in,
                        base::organisation_id id) {
    return json_or_empty(configuration::find_organisation(in, id));
}

std::string object_json(const fleet_configuration& in, base::service_id id) {
    return json_or_empty(configuration::find_service(in, id));
}

std::string object_json(const fleet_configuration& in,
                        base::backend_server_id id) {
    return json_or_empty(configuration::find_backend_server(in, id));
}

std::string object_json(const fleet_configuration& in, const std::string& id) {
    return json_or_empty(configuration::find_operator(in, id));
}

std::string object_json(const fleet_configuration& in,
                        const configuration::owned_key_id& id) {
    const auto* owner = configuration::find_organisation(in, id.organisation);
    if (owner == nullptr) {
        return "";
    }
    const auto key =
        std::ranges::find(owner->keys, id.key, &configuration::api_key::id);
    return json_or_empty(key == owner->keys.end() ? nullptr : &*key);
}

std::string object_json(const fleet_configuration& in,
                        const change_item& item) {
    return std::visit(
        [&](const auto& change) { return object_json(in, id_of(change)); },
        item);
}

using share_map = std::map<std::pair<base::service_id, base::organisation_id>,
                           std::pair<double, double>>;

// Adds the share of every organisation in every service to `shares`.
void collect_shares(const fleet_configuration& from, bool after,
                    share_map& shares) {
    for (const configuration::service& service : from.services) {
        double sum = 0;
        for (const configuration::organisation& each : from.organisations) {
            sum += weight_of(each, service.id);
        }
        for (const configuration::organisation& each : from.organisations) {
            auto& share = shares[{service.id, each.id}];
            (after ? share.second : share.first) =
                weight_of(each, service.id) / sum;
        }
    }
}

template <class T>
std::string name_of(const T* before, const T* after) {
    return after != nullptr ? after->name : before->name;
}

void add_share_effects(const fleet_configuration& before,
                       const fleet_configuration& after,
                       plan_effects& effects) {
    share_map shares;
    collect_shares(before, false, shares);
    collect_shares(after, true, shares);
    for (const auto& [ids, share] : shares) {
        if (std::abs(share.first - share.second) < smallest_share_change) {
            continue;
        }
        effects.shares.push_back({name_of(find_service(before, ids.first),
                                          find_service(after, ids.first)),
                                  name_of(find_organisation(before, ids.second),
                                          find_organisation(after, ids.second)),
                                  share.first, share.second});
    }
    std::ranges::sort(effects.shares, {}, [](const share_effect& each) {
        return std::tuple(-std::abs(each.to - each.from), each.service,
                          each.organisation);
    });
    if (effects.shares.size() > largest_share_list) {
        effects.shares_omitted = effects.shares.size() - largest_share_list;
        effects.shares.resize(largest_share_list);
    }
}

struct capacity {
    std::uint64_t servers = 0;
    std::uint64_t slots = 0;
    friend bool operator==(const capacity&, const capacity&) = default;
};

capacity capacity_of(const fleet_configuration& in, base::service_id id) {
    capacity sum;
    for (const configuration::backend_server& each : in.backend_servers) {
        const bool counts =
            each.service == id &&
            each.state == configuration::backend_server_state::active;
        sum.servers += counts ? 1 : 0;
        sum.slots += counts ? each.maximum_slots : 0;
    }
    return sum;
}

void add_capacity_effects(const fleet_configuration& before,
                          const fleet_configuration& after,
                          plan_effects& effects) {
    std::map<base::service_id, std::string> names;
    for (const fleet_configuration* each : {&before, &after}) {
        for (const configuration::service& service : each->services) {
            names[service.id] = service.name;
        }
    }
    for (const auto& [id, name] : names) {
        const capacity from = capacity_of(before, id);
        const capacity to = capacity_of(after, id);
        if (from != to) {
            effects.capacities.push_back(
                {name, from.servers, to.servers, from.slots, to.slots});
        }
    }
}

// Gives the added objects of an intent that have no number the next free one.
void assign_numbers(json& document, const fleet_configuration& base) {
    std::map<std::string, std::uint32_t> next{
        {"add_organisation", base.next.organisation.value()},
        {"add_service", base.next.service.value()},
        {"add_backend_server", base.next.backend_server.value()}};
    if (!document.is_object() || !document.contains("items") ||
        !document["items"].is_array()) {
        return;
    }
    for (json& item : document["items"]) {
        for (auto& [kind, number] : next) {
            if (item.is_object() && item.contains(kind) &&
                item[kind].is_object()) {
                item[kind].emplace("id", number++);
            }
        }
    }
}

}  // namespace

absl::StatusOr<intent> read_intent(std::string_view text,
                                   const fleet_configuration& base) {
    base::json_errors faults;
    json document = base::parse_json(text, faults);
    if (!faults.empty()) {
        return base::to_status(faults);
    }
    absl::StatusOr<json> typed =
        resolve_named_changes(std::move(document), base);
    if (!typed.ok()) {
        return typed.status();
    }
    assign_numbers(*typed, base);
    return base::read_document<intent>(base::dump_json(*typed));
}

std::string describe(const change_item& item) {
    std::string name(base::variant_names<change_item>::all[item.index()]);
    std::ranges::replace(name, '_', ' ');
    return name + " " +
           std::visit([](const auto& change) { return text_of(id_of(change)); },
                      item);
}

std::string describe(const std::vector<change_item>& items) {
    std::string text;
    for (const change_item& item : items) {
        text.append(text.empty() ? "" : ", ").append(describe(item));
    }
    return text;
}

absl::StatusOr<plan> make_plan(std::string id, std::string author,
                               const intent& wanted,
                               const fleet_configuration& base) {
    if (wanted.items.empty()) {
        return absl::InvalidArgumentError("the intent contains no change");
    }
    plan result{std::move(id), base.version, std::move(author),
                wanted.reason, wanted.items, {}};
    const absl::StatusOr<fleet_configuration> after =
        configuration::apply(base, {base.version + 1, result.id, wanted.items});
    if (!after.ok()) {
        return after.status();
    }
    for (const change_item& item : wanted.items) {
        result.effects.differences.push_back({describe(item),
                                              object_json(base, item),
                                              object_json(*after, item)});
    }
    add_share_effects(base, *after, result.effects);
    add_capacity_effects(base, *after, result.effects);
    return result;
}

std::string write_readable_plan(const plan& value) {
    json document = base::write_value(value);
    shorten_digests(document);
    return base::dump_json(document);
}

std::string write_plan(const plan& value) {
    return base::write_document(value);
}

absl::StatusOr<plan> read_plan(std::string_view text) {
    return base::read_document<plan>(text);
}

}  // namespace bronzehub::planning
