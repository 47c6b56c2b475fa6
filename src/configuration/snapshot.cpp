#include "configuration/snapshot.hpp"

#include <algorithm>

namespace bronzehub::configuration {
namespace {

template <class Map, class Key>
auto find_or_null(const Map& map, const Key& key) -> typename Map::mapped_type {
    const auto found = map.find(key);
    return found == map.end() ? typename Map::mapped_type{} : found->second;
}

// Removes and returns the first segment of a path that starts with "/".
std::string_view take_segment(std::string_view& path) {
    path.remove_prefix(1);
    const std::string_view segment = path.substr(0, path.find('/'));
    path.remove_prefix(segment.size());
    return segment;
}

}  // namespace

configuration_snapshot::configuration_snapshot(fleet_configuration value)
    : value_(std::move(value)) {
    for (const organisation& each : value_.organisations) {
        organisations_.emplace(each.id, &each);
        for (const api_key& key : each.keys) {
            keys_.emplace(key.sha256, key_owner{&each, &key});
        }
    }
    for (const service& each : value_.services) {
        services_.emplace(each.id, &each);
        prefixes_.emplace(each.path_prefix, &each);
    }
    for (const backend_server& each : value_.backend_servers) {
        backend_servers_.emplace(each.id, &each);
        by_service_[each.service].push_back(&each);
    }
    for (const operator_account& each : value_.operators) {
        operator_keys_.emplace(each.key_sha256, &each);
    }
}

key_owner configuration_snapshot::find_key(std::string_view sha256) const {
    return find_or_null(keys_, sha256);
}

const operator_account* configuration_snapshot::find_operator_key(
    std::string_view sha256) const {
    return find_or_null(operator_keys_, sha256);
}

const service* configuration_snapshot::find_service_by_path(
    std::string_view path) const {
    while (!path.empty()) {
        if (const service* found = find_or_null(prefixes_, path)) {
            return found;
        }
        const std::size_t slash = path.rfind('/');
        path = path.substr(0, slash == std::string_view::npos ? 0 : slash);
    }
    return nullptr;
}

const organisation* configuration_snapshot::find(
    base::organisation_id id) const {
    return find_or_null(organisations_, id);
}

const service* configuration_snapshot::find(base::service_id id) const {
    return find_or_null(services_, id);
}

const backend_server* configuration_snapshot::find(
    base::backend_server_id id) const {
    return find_or_null(backend_servers_, id);
}

const std::vector<const backend_server*>&
configuration_snapshot::backend_servers_of(base::service_id id) const {
    static const std::vector<const backend_server*> none;
    const auto found = by_service_.find(id);
    return found == by_service_.end() ? none : found->second;
}

double weight_of(const organisation& owner, base::service_id id) {
    const auto found =
        std::ranges::find(owner.weights, id, &service_weight::service);
    return found == owner.weights.end() ? owner.default_weight : found->weight;
}

bool path_matches(std::string_view pattern, std::string_view path) {
    while (!pattern.empty() && !path.empty()) {
        const std::string_view wanted = take_segment(pattern);
        if (wanted == "**" && pattern.empty()) {
            return true;
        }
        const std::string_view segment = take_segment(path);
        const bool matches =
            wanted == "*" ? !segment.empty() : wanted == segment;
        if (!matches) {
            return false;
        }
    }
    return pattern.empty() && path.empty();
}

bool is_repeatable(const service& target, std::string_view method,
                   std::string_view path) {
    if (!path.starts_with(target.path_prefix)) {
        return false;
    }
    std::string_view relative = path.substr(target.path_prefix.size());
    if (relative.empty()) {
        relative = "/";
    }
    return relative.front() == '/' &&
           std::ranges::any_of(target.repeatable_calls,
                               [&](const call_rule& rule) {
                                   return rule.method == method &&
                                          path_matches(rule.path, relative);
                               });
}

}  // namespace bronzehub::configuration
