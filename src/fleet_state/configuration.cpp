#include "fleet_state/configuration.hpp"

#include <algorithm>
#include <cctype>
#include <functional>
#include <numeric>
#include <utility>

namespace bronzehub::fleet_state {
namespace {

std::string route_key(std::string_view host, std::string_view prefix) {
    std::string key;
    key.reserve(host.size() + 1 + prefix.size());
    std::ranges::transform(host, std::back_inserter(key), [](unsigned char c) {
        return static_cast<char>(std::tolower(c));
    });
    key.push_back('\0');
    key.append(prefix);
    return key;
}

}  // namespace

configuration::configuration(configuration_content content)
    : content_(std::move(content)) {
    for (std::size_t i = 0; i < content_.routes.size(); ++i) {
        const route& entry = content_.routes[i];
        routes_[route_key(entry.host, entry.path_prefix)] = i;
    }
    for (std::size_t i = 0; i < content_.services.size(); ++i) {
        services_[content_.services[i].name] = i;
    }
}

const route* configuration::find_route(std::string_view host,
                                       std::string_view path) const {
    host = host.substr(0, host.find(':'));
    path = path.substr(0, path.find('?'));
    std::string key = route_key(host, path);
    const std::size_t host_size = host.size() + 1;
    // Path prefixes end with a slash, so only prefixes of `path` that end with
    // one can match. The longest is tried first.
    while (key.size() > host_size) {
        const std::size_t slash = key.rfind('/');
        if (slash == std::string::npos || slash < host_size) {
            break;
        }
        key.resize(slash + 1);
        if (const auto found = routes_.find(key); found != routes_.end()) {
            return &content_.routes[found->second];
        }
        key.resize(slash);
    }
    return nullptr;
}

const service* configuration::find_service(std::string_view name) const {
    const auto found = services_.find(std::string(name));
    return found == services_.end() ? nullptr
                                    : &content_.services[found->second];
}

const service& configuration::choose_service(const route& route,
                                             std::uint64_t hash) const {
    static const service unknown{};
    const std::uint64_t total = std::transform_reduce(
        route.services.begin(), route.services.end(), std::uint64_t{0},
        std::plus<>(),
        [](const auto& choice) { return std::uint64_t{choice.weight}; });
    std::uint64_t remaining = hash % total;
    auto chosen = route.services.begin();
    while (remaining >= chosen->weight) {
        remaining -= chosen->weight;
        ++chosen;
    }
    const service* found = find_service(chosen->service);
    return found == nullptr ? unknown : *found;
}

const organisation* configuration::find_organisation_by_key(
    std::string_view key) const {
    const auto found = content_.keys.find(std::string(key));
    return found == content_.keys.end()
               ? nullptr
               : &content_.organisations[found->second];
}

}  // namespace bronzehub::fleet_state
