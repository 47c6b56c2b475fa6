// An immutable configuration with the lookups that the request path needs.
//
// Built once per version and then shared by many threads.
#ifndef BRONZEHUB_CONFIGURATION_SNAPSHOT_HPP
#define BRONZEHUB_CONFIGURATION_SNAPSHOT_HPP

#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "configuration/model.hpp"

namespace bronzehub::configuration {

// The owner of an API key.
struct key_owner {
    const organisation* owner = nullptr;
    const api_key* key = nullptr;
};

// Thread-safe after construction. References into it live as long as it does.
class configuration_snapshot {
public:
    // `value` must be valid (see `validate`). O(n).
    explicit configuration_snapshot(fleet_configuration value);

    configuration_snapshot(const configuration_snapshot&) = delete;
    configuration_snapshot& operator=(const configuration_snapshot&) = delete;

    const fleet_configuration& value() const { return value_; }
    std::uint64_t version() const { return value_.version; }

    // The owner of the key with this SHA-256; null members when no key has it.
    // A revoked key is returned with its mark, so that the caller of it can be
    // told apart from an unknown one.
    key_owner find_key(std::string_view sha256) const;

    // The operator whose key has this SHA-256, or null.
    const operator_account* find_operator_key(std::string_view sha256) const;

    // The service with the longest prefix of `path` that ends at a segment
    // boundary, or null. `path` is without query. O(segments).
    const service* find_service_by_path(std::string_view path) const;

    const organisation* find(base::organisation_id id) const;
    const service* find(base::service_id id) const;
    const backend_server* find(base::backend_server_id id) const;

    // The backend servers of a service in the order of the configuration.
    const std::vector<const backend_server*>& backend_servers_of(
        base::service_id id) const;

private:
    struct text_hash {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const {
            return std::hash<std::string_view>{}(text);
        }
    };
    template <class T>
    using text_map =
        std::unordered_map<std::string, T, text_hash, std::equal_to<>>;

    fleet_configuration value_;
    text_map<key_owner> keys_;
    text_map<const operator_account*> operator_keys_;
    text_map<const service*> prefixes_;
    std::unordered_map<base::organisation_id, const organisation*>
        organisations_;
    std::unordered_map<base::service_id, const service*> services_;
    std::unordered_map<base::backend_server_id, const backend_server*>
        backend_servers_;
    std::unordered_map<base::service_id, std::vector<const backend_server*>>
        by_service_;
};

// The weight of an organisation in the fair order of a service.
double weight_of(const organisation& owner, base::service_id id);

// Whether a call may be sent twice. `path` is the full path of the call,
// without query; the service's prefix must be a prefix of it.
bool is_repeatable(const service& target, std::string_view method,
                   std::string_view path);

// Whether `path` matches the pattern of a call rule.
bool path_matches(std::string_view pattern, std::string_view path);

}  // namespace bronzehub::configuration

#endif
