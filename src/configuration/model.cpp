#include "configuration/model.hpp"

#include <algorithm>

namespace bronzehub::configuration {
namespace {

template <class T, class Key>
const T* find_by(const std::vector<T>& objects, Key T::* member,
                 const Key& wanted) {
    const auto found = std::ranges::find(objects, wanted, member);
    return found == objects.end() ? nullptr : &*found;
}

}  // namespace

bool has_role(const operator_account& account, operator_role role) {
    return std::ranges::find(account.roles, role) != account.roles.end();
}

const organisation* find_organisation(const fleet_configuration& in,
                                      base::organisation_id id) {
    return find_by(in.organisations, &organisation::id, id);
}

const service* find_service(const fleet_configuration& in,
                            base::service_id id) {
    return find_by(in.services, &service::id, id);
}

const backend_server* find_backend_server(const fleet_configuration& in,
                                          base::backend_server_id id) {
    return find_by(in.backend_servers, &backend_server::id, id);
}

const operator_account* find_operator(const fleet_configuration& in,
                                      const std::string& name) {
    return find_by(in.operators, &operator_account::name, name);
}

}  // namespace bronzehub::configuration
