// An in-memory table service and object store whose answers a test controls.
//
// Every operation is held until the test delivers it, in any order and with
// any fault, or is delivered at once when `deliver_at_once` is set.
#ifndef BRONZEHUB_TESTS_SUPPORT_FAKE_PLATFORM_HPP
#define BRONZEHUB_TESTS_SUPPORT_FAKE_PLATFORM_HPP

#include <map>
#include <utility>

#include "platform/platform.hpp"

namespace bronzehub::testing {

enum class delivery {
    good,
    unavailable,  // Not applied, and the caller is told so.
    answer_lost,  // Applied, but the caller is told kUnknown.
    write_lost,   // Not applied; the caller is told kUnknown.
    write_late,   // As before, but the write is held and arrives later.
    stale,        // A read sees the rows before their last write.
};

class fake_platform {
public:
    struct operation {
        bool is_write = false;
        std::string table;
        std::string key;
        std::function<void(delivery)> deliver;
    };
    using row_key = std::pair<std::string, std::string>;

    bool deliver_at_once = false;
    // How operations that are delivered at once end.
    std::function<delivery(const operation&)> choose;
    std::vector<operation> held;
    std::map<row_key, platform::row> rows;
    std::map<std::string, std::string> stored_objects;
    // Told of each applied write.
    std::function<void(const platform::conditional_write&)> observe;

    platform::table_service tables() {
        platform::table_service service;
        service.read = [this](const std::string& table, const std::string& key,
                              const auto& done) {
            add<std::optional<platform::row>>(
                false, table, key, done, [this, table, key](delivery how) {
                    const auto& from = how == delivery::stale ? stale_ : rows;
                    const auto found = from.find({table, key});
                    return found == from.end() ? std::nullopt
                                               : std::optional(found->second);
                });
        };
        service.transact = [this](const auto& writes, const auto& done) {
            const std::string table = writes.front().table;
            const std::string key = writes.front().key;
            add<platform::transaction_result>(
                true, table, key, done,
                [this, writes](delivery) { return transact(writes); });
        };
        service.list = [this](const platform::list_query& query,
                              const auto& done) {
            add<std::vector<platform::keyed_row>>(
                false, query.table, query.prefix, done,
                [this, query](delivery how) { return list(query, how); });
        };
        return service;
    }

    platform::object_store objects() {
        platform::object_store store;
        store.read = [this](const std::string& key, const auto& done) {
            add<std::optional<std::string>>(
                false, "object", key, done, [this, key](delivery) {
                    const auto found = stored_objects.find(key);
                    return found == stored_objects.end()
                               ? std::nullopt
                               : std::optional(found->second);
                });
        };
        store.create = [this](const std::string& key, const std::string& value,
                              const auto& done) {
            add<bool>(true, "object", key, done, [this, key, value](delivery) {
                return absl::StatusOr<bool>(
                    stored_objects.emplace(key, value).second
                        ? absl::StatusOr<bool>(true)
                        : absl::AbortedError("the object exists"));
            });
        };
        return store;
    }

    // Delivers the held operation `index`.
    void deliver(std::size_t index, delivery how) {
        const operation chosen = std::move(held.at(index));
        held.erase(held.begin() + static_cast<std::ptrdiff_t>(index));
        chosen.deliver(how);
    }

    void deliver_all(delivery how = delivery::good) {
        while (!held.empty()) {
            deliver(0, how);
        }
    }

private:
    template <class T, class Effect>
    void add(bool is_write, std::string table, std::string key,
             const platform::callback<T>& done, const Effect& effect) {
        operation added{is_write, std::move(table), std::move(key), {}};
        added.deliver = [this, is_write, done, effect](delivery how) {
            if (how == delivery::write_late && is_write) {
                held.push_back({true, "late", "", [effect](delivery) {
                                    static_cast<void>(effect(delivery::good));
                                }});
                done(absl::UnknownError("answer lost"));
            } else if (how == delivery::unavailable ||
                       (!is_write && how != delivery::good &&
                        how != delivery::stale)) {
                done(absl::UnavailableError("platform unavailable"));
            } else if (how == delivery::write_lost) {
                done(absl::UnknownError("answer lost"));
            } else if (how == delivery::answer_lost) {
                static_cast<void>(effect(how));
                done(absl::UnknownError("answer lost"));
            } else {
                done(effect(how));
            }
        };
        if (deliver_at_once) {
            added.deliver(choose ? choose(added) : delivery::good);
        } else {
            held.push_back(std::move(added));
        }
    }

    platform::transaction_result transact(
        const std::vector<platform::conditional_write>& writes) {
        platform::transaction_result result;
        for (std::size_t i = 0; i < writes.size(); ++i) {
            const auto found = rows.find({writes[i].table, writes[i].key});
            const std::optional<std::uint64_t> version =
                found == rows.end() ? std::nullopt
                                    : std::optional(found->second.version);
            if (version != writes[i].expected_version) {
                result.conflicts.push_back(i);
            }
        }
        result.applied = result.conflicts.empty();
        for (std::size_t i = 0; result.applied && i < writes.size(); ++i) {
            result.versions.push_back(apply(writes[i]));
        }
        return result;
    }

    std::uint64_t apply(const platform::conditional_write& write) {
        const row_key key{write.table, write.key};
        stale_.erase(key);
        if (const auto old = rows.find(key); old != rows.end()) {
            stale_.emplace(key, old->second);
        }
        ++next_version_;
        rows.erase(key);
        if (write.value) {
            rows.emplace(key, platform::row{*write.value, next_version_});
        }
        if (observe) {
            observe(write);
        }
        return next_version_;
    }

    std::vector<platform::keyed_row> list(const platform::list_query& query,
                                          delivery how) const {
        std::vector<platform::keyed_row> found;
        for (const auto& [key, row] : how == delivery::stale ? stale_ : rows) {
            if (key.first == query.table &&
                key.second.starts_with(query.prefix) &&
                key.second > query.after && found.size() < query.limit) {
                found.push_back({key.second, row});
            }
        }
        return found;
    }

    std::map<row_key, platform::row> stale_;
    std::uint64_t next_version_ = 0;
};

}  // namespace bronzehub::testing

#endif
