#include "configuration/validation.hpp"

#include <set>
#include <string>
#include <unordered_set>

namespace bronzehub::configuration {
namespace {

using base::element_path;
using base::json_errors;
using base::member_path;

std::string text_of(const std::string& value) {
    return "\"" + value + "\"";
}

template <class Tag>
std::string text_of(base::strong_id<Tag> id) {
    return std::to_string(id.value());
}

// Reports the second and later uses of a value that must be unique. A value
// that is missing was reported by the reader already.
template <class T>
class unique_values {
public:
    explicit unique_values(json_errors& faults) : faults_(faults) {}

    void add(const T& value, std::string path) {
        if (value != T{} && !seen_.insert(value).second) {
            faults_.push_back(
                {std::move(path), text_of(value) + " again", "a unique value"});
        }
    }

private:
    json_errors& faults_;
    std::unordered_set<T> seen_;
};

using service_ids = std::unordered_set<base::service_id>;

service_ids collect_service_ids(const fleet_configuration& value) {
    service_ids ids;
    for (const service& each : value.services) {
        ids.insert(each.id);
    }
    return ids;
}

void require_service(const service_ids& known, base::service_id id,
                     std::string path, json_errors& faults) {
    if (id != base::service_id{} && !known.contains(id)) {
        faults.push_back(
            {std::move(path), text_of(id), "the number of a service"});
    }
}

// Checks numbers and names of one list of objects.
template <class T, class Id>
void validate_identities(std::string_view list, const std::vector<T>& objects,
                         Id next, json_errors& faults) {
    unique_values<Id> ids(faults);
    unique_values<std::string> names(faults);
    for (std::size_t i = 0; i < objects.size(); ++i) {
        const std::string path = element_path(list, i);
        ids.add(objects[i].id, member_path(path, "id"));
        names.add(objects[i].name, member_path(path, "name"));
        if (objects[i].id >= next) {
            faults.push_back({member_path(path, "id"), text_of(objects[i].id),
                              "a number below the next one, " + text_of(next)});
        }
    }
}

void validate_weights(const organisation& owner, const std::string& path,
                      const service_ids& known, json_errors& faults) {
    unique_values<base::service_id> services(faults);
    for (std::size_t i = 0; i < owner.weights.size(); ++i) {
        const std::string at = member_path(
            element_path(member_path(path, "weights"), i), "service");
        services.add(owner.weights[i].service, at);
        require_service(known, owner.weights[i].service, at, faults);
    }
}

void validate_organisations(const fleet_configuration& value,
                            const service_ids& known, json_errors& faults) {
    unique_values<std::string> digests(faults);
    for (std::size_t i = 0; i < value.organisations.size(); ++i) {
        const organisation& each = value.organisations[i];
        const std::string path = element_path("organisations", i);
        validate_weights(each, path, known, faults);
        unique_values<std::string> key_ids(faults);
        for (std::size_t k = 0; k < each.keys.size(); ++k) {
            const std::string at = element_path(member_path(path, "keys"), k);
            key_ids.add(each.keys[k].id, member_path(at, "id"));
            digests.add(each.keys[k].sha256, member_path(at, "sha256"));
        }
    }
}

void validate_services(const fleet_configuration& value, json_errors& faults) {
    unique_values<std::string> prefixes(faults);
    for (std::size_t i = 0; i < value.services.size(); ++i) {
        prefixes.add(value.services[i].path_prefix,
                     member_path(element_path("services", i), "path_prefix"));
    }
}

void validate_backend_servers(const fleet_configuration& value,
                              const service_ids& known, json_errors& faults) {
    unique_values<std::string> addresses(faults);
    for (std::size_t i = 0; i < value.backend_servers.size(); ++i) {
        const backend_server& each = value.backend_servers[i];
        const std::string path = element_path("backend_servers", i);
        addresses.add(each.address, member_path(path, "address"));
        require_service(known, each.service, member_path(path, "service"),
                        faults);
        if (each.initial_slots > each.maximum_slots) {
            faults.push_back({member_path(path, "initial_slots"),
                              std::to_string(each.initial_slots),
                              "at most maximum_slots, " +
                                  std::to_string(each.maximum_slots)});
        }
    }
}

void validate_operators(const fleet_configuration& value, json_errors& faults) {
    unique_values<std::string> names(faults);
    unique_values<std::string> digests(faults);
    for (std::size_t i = 0; i < value.operators.size(); ++i) {
        const operator_account& each = value.operators[i];
        const std::string path = element_path("operators", i);
        names.add(each.name, member_path(path, "name"));
        digests.add(each.key_sha256, member_path(path, "key_sha256"));
        if (std::set(each.roles.begin(), each.roles.end()).size() !=
            each.roles.size()) {
            faults.push_back({member_path(path, "roles"), "a role twice",
                              "each role at most once"});
        }
    }
}

}  // namespace

void validate(const fleet_configuration& value, json_errors& faults) {
    const service_ids known = collect_service_ids(value);
    validate_identities("organisations", value.organisations,
                        value.next.organisation, faults);
    validate_identities("services", value.services, value.next.service, faults);
    validate_identities("backend_servers", value.backend_servers,
                        value.next.backend_server, faults);
    validate_organisations(value, known, faults);
    validate_services(value, faults);
    validate_backend_servers(value, known, faults);
    validate_operators(value, faults);
}

}  // namespace bronzehub::configuration
