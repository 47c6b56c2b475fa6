#include "platform/memory_store.hpp"

#include <set>

#include "absl/status/status.h"

namespace bronzehub::platform {

std::optional<row> memory_store::read(std::string_view table,
                                      std::string_view key) const {
    const auto found = rows_.find({std::string(table), std::string(key)});
    if (found == rows_.end()) {
        return std::nullopt;
    }
    return found->second;
}

absl::StatusOr<transaction_result> memory_store::transact(
    std::span<const conditional_write> writes) {
    std::set<address> named;
    for (const conditional_write& write : writes) {
        if (!named.emplace(write.table, write.key).second) {
            return absl::InvalidArgumentError(
                "transaction: a row is named twice");
        }
    }
    if (writes.empty()) {
        return absl::InvalidArgumentError("transaction: no writes");
    }
    transaction_result result;
    for (std::size_t index = 0; index < writes.size(); ++index) {
        if (!holds(writes[index])) {
            result.conflicts.push_back(index);
        }
    }
    result.applied = result.conflicts.empty();
    if (result.applied) {
        for (const conditional_write& write : writes) {
            result.versions.push_back(apply(write));
        }
    }
    return result;
}

std::uint64_t memory_store::put(const std::string& table,
                                const std::string& key, std::string value) {
    rows_[{table, key}] = {std::move(value), ++last_version_};
    return last_version_;
}

std::vector<keyed_row> memory_store::list(const list_query& query) const {
    std::vector<keyed_row> result;
    auto next = query.after < query.prefix
                    ? rows_.lower_bound({query.table, query.prefix})
                    : rows_.upper_bound({query.table, query.after});
    while (next != rows_.end() && result.size() < query.limit &&
           next->first.first == query.table &&
           next->first.second.starts_with(query.prefix)) {
        result.push_back({next->first.second, next->second});
        ++next;
    }
    return result;
}

std::optional<std::string> memory_store::read_object(
    std::string_view key) const {
    const auto found = objects_.find(key);
    if (found == objects_.end()) {
        return std::nullopt;
    }
    return found->second;
}

bool memory_store::create_object(const std::string& key, std::string value) {
    return objects_.emplace(key, std::move(value)).second;
}

bool memory_store::holds(const conditional_write& write) const {
    const auto found = rows_.find({write.table, write.key});
    if (found == rows_.end()) {
        return !write.expected_version;
    }
    return write.expected_version == found->second.version;
}

std::uint64_t memory_store::apply(const conditional_write& write) {
    if (write.value) {
        return put(write.table, write.key, *write.value);
    }
    rows_.erase({write.table, write.key});
    return ++last_version_;
}

}  // namespace bronzehub::platform
