#include "configuration/change.hpp"

#include <algorithm>

#include "configuration/validation.hpp"

namespace bronzehub::configuration {
namespace {

std::string text_of(const std::string& id) {
    return "\"" + id + "\"";
}

std::string text_of(const owned_key_id& id) {
    return "\"" + id.key + "\" of organisation " +
           std::to_string(id.organisation.value());
}

template <class Tag>
std::string text_of(base::strong_id<Tag> id) {
    return std::to_string(id.value());
}

// Where each kind of object is kept, and the counter of its numbers.
template <class T>
struct collection;

template <>
struct collection<organisation> {
    static constexpr std::string_view name = "organisation";
    static auto& list(fleet_configuration& in) { return in.organisations; }
    static auto& next(fleet_configuration& in) { return in.next.organisation; }
};

template <>
struct collection<service> {
    static constexpr std::string_view name = "service";
    static auto& list(fleet_configuration& in) { return in.services; }
    static auto& next(fleet_configuration& in) { return in.next.service; }
};

template <>
struct collection<backend_server> {
    static constexpr std::string_view name = "backend server";
    static auto& list(fleet_configuration& in) { return in.backend_servers; }
    static auto& next(fleet_configuration& in) {
        return in.next.backend_server;
    }
};

template <>
struct collection<operator_account> {
    static constexpr std::string_view name = "operator";
    static auto& list(fleet_configuration& in) { return in.operators; }
};

template <class T>
absl::Status not_found(const typename identity<T>::type& id) {
    return absl::NotFoundError(std::string(collection<T>::name) + " " +
                               text_of(id) + " does not exist");
}

template <class T>
absl::Status already_exists(std::string_view kind, const T& id) {
    return absl::AlreadyExistsError(std::string(kind) + " " + text_of(id) +
                                    " exists already");
}

template <class T>
auto find_in(std::vector<T>& list, const typename identity<T>::type& id) {
    return std::ranges::find(list, id, &identity<T>::of);
}

// Numbers only rise, so that a number always means the same object.
template <class T>
absl::Status take_number(fleet_configuration& to, const T& value) {
    if constexpr (requires { collection<T>::next(to); }) {
        auto& next = collection<T>::next(to);
        if (value.id != next) {
            return absl::InvalidArgumentError(std::string(collection<T>::name) +
                                              " number " + text_of(value.id) +
                                              " is not the next free one, " +
                                              text_of(next));
        }
        next = decltype(value.id)(value.id.value() + 1);
    }
    return absl::OkStatus();
}

template <class T>
absl::Status check_fields(const T& value) {
    base::json_errors faults;
    base::validate_value(value, "", faults);
    return base::to_status(faults);
}

class item_applier {
public:
    explicit item_applier(fleet_configuration& to) : to_(to) {}

    template <class T>
    absl::Status operator()(const added<T>& item) const {
        auto& list = collection<T>::list(to_);
        if (find_in(list, identity<T>::of(item.value)) != list.end()) {
            return already_exists(collection<T>::name,
                                  identity<T>::of(item.value));
        }
        if (absl::Status status = check_fields(item.value); !status.ok()) {
            return status;
        }
        if (absl::Status status = take_number(to_, item.value); !status.ok()) {
            return status;
        }
        list.push_back(item.value);
        return absl::OkStatus();
    }

    template <class T>
    absl::Status operator()(const updated<T>& item) const {
        auto& list = collection<T>::list(to_);
        const auto found = find_in(list, identity<T>::of(item.value));
        if (found == list.end()) {
            return not_found<T>(identity<T>::of(item.value));
        }
        if (absl::Status status = check_fields(item.value); !status.ok()) {
            return status;
        }
        return replace(*found, item.value);
    }

    template <class T>
    absl::Status operator()(const removed<T>& item) const {
        auto& list = collection<T>::list(to_);
        const auto found = find_in(list, item.id);
        if (found == list.end()) {
            return not_found<T>(item.id);
        }
        list.erase(found);
        return absl::OkStatus();
    }

    absl::Status operator()(const added<owned_key>& item) const {
        organisation* owner = owner_of(item.value.organisation);
        if (owner == nullptr) {
            return not_found<organisation>(item.value.organisation);
        }
        if (find_key(*owner, item.value.key.id) != owner->keys.end()) {
            return already_exists("key", identity<owned_key>::of(item.value));
        }
        owner->keys.push_back(item.value.key);
        return check_fields(item.value);
    }

    absl::Status operator()(const updated<owned_key>& item) const {
        return with_key(identity<owned_key>::of(item.value),
                        [&](organisation&, auto found) {
                            *found = item.value.key;
                            return check_fields(item.value);
                        });
    }

    absl::Status operator()(const removed<owned_key>& item) const {
        return with_key(item.id, [](organisation& owner, auto found) {
            owner.keys.erase(found);
            return absl::OkStatus();
        });
    }

private:
    template <class T>
    static absl::Status replace(T& old, const T& value) {
        old = value;
        return absl::OkStatus();
    }

    static absl::Status replace(organisation& old, const organisation& value) {
        if (!value.keys.empty()) {
            return absl::InvalidArgumentError(
                "an update of an organisation carries no keys");
        }
        std::vector<api_key> keys = std::move(old.keys);
        old = value;
        old.keys = std::move(keys);
        return absl::OkStatus();
    }

    organisation* owner_of(base::organisation_id id) const {
        const auto found = find_in(to_.organisations, id);
        return found == to_.organisations.end() ? nullptr : &*found;
    }

    static std::vector<api_key>::iterator find_key(organisation& owner,
                                                   const std::string& id) {
        return std::ranges::find(owner.keys, id, &api_key::id);
    }

    template <class Use>
    absl::Status with_key(const owned_key_id& id, Use use) const {
        organisation* owner = owner_of(id.organisation);
        if (owner == nullptr) {
            return not_found<organisation>(id.organisation);
        }
        const auto found = find_key(*owner, id.key);
        if (found == owner->keys.end()) {
            return absl::NotFoundError("key " + text_of(id) +
                                       " does not exist");
        }
        return use(*owner, found);
    }

    fleet_configuration& to_;
};

// Applies the items of one change and moves to its version.
absl::Status step(fleet_configuration& to, const configuration_change& change) {
    if (change.version != to.version + 1) {
        return absl::FailedPreconditionError(
            "change leads to version " + std::to_string(change.version) +
            ", but the configuration has version " +
            std::to_string(to.version));
    }
    for (const change_item& item : change.items) {
        if (absl::Status status = apply_item(to, item); !status.ok()) {
            return status;
        }
    }
    to.version = change.version;
    return absl::OkStatus();
}

}  // namespace

absl::Status apply_item(fleet_configuration& to, const change_item& item) {
    return std::visit(item_applier(to), item);
}

absl::StatusOr<fleet_configuration> apply(const fleet_configuration& from,
                                          const configuration_change& change) {
    return apply_all(from, std::span(&change, 1));
}

absl::StatusOr<fleet_configuration> apply_all(
    const fleet_configuration& from,
    std::span<const configuration_change> changes) {
    fleet_configuration result = from;
    for (const configuration_change& change : changes) {
        if (absl::Status status = step(result, change); !status.ok()) {
            return status;
        }
    }
    base::json_errors faults;
    validate(result, faults);
    if (!faults.empty()) {
        return base::to_status(faults);
    }
    return result;
}

absl::StatusOr<configuration_change> read_change(std::string_view text) {
    return base::read_document<configuration_change>(text);
}

std::string write_change(const configuration_change& change) {
    return base::write_document(change);
}

}  // namespace bronzehub::configuration
