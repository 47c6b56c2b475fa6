// The platform's table service, object store and host list as bronzehub sees
// them.
//
// The services are given as hooks, so that deciding libraries can be tested
// against an in-memory fake and the daemon can plug in an HTTP client. Every
// operation is asynchronous: it returns at once and later calls its callback
// exactly once, on the caller's decision thread.
//
// Status codes, the same for every operation:
//   kAborted           a condition did not hold; nothing was applied
//   kUnavailable       the service refused or could not be reached; nothing
//                      was applied
//   kUnknown           a write was sent and its response was lost; it may or
//                      may not have been applied. Read before deciding.
//   kInvalidArgument   the service rejected the request as malformed
//   kResourceExhausted the service asked the caller to slow down
#ifndef BRONZEHUB_PLATFORM_PLATFORM_HPP
#define BRONZEHUB_PLATFORM_PLATFORM_HPP

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "base/strong_id.hpp"

namespace bronzehub::platform {

template <class T>
using callback = std::function<void(absl::StatusOr<T>)>;

struct row {
    std::string value;
    std::uint64_t version = 0;  // Rises with every write of the row.
};

struct keyed_row {
    std::string key;
    row content;
};

// One conditional write of a transaction.
struct conditional_write {
    std::string table;
    std::string key;
    // The version that the row must have; nothing: the row must not exist.
    std::optional<std::uint64_t> expected_version;
    // The new value; nothing: the row is deleted.
    std::optional<std::string> value;
};

// The result of a transaction: all writes applied, or none.
struct transaction_result {
    bool applied = false;
    // New versions in the order of the writes, when applied.
    std::vector<std::uint64_t> versions;
    // Indices of writes whose condition did not hold, when not applied.
    std::vector<std::size_t> conflicts;
};

struct list_query {
    std::string table;
    std::string prefix;
    std::string after;  // Keys greater than this one.
    std::uint32_t limit = 100;
};

struct table_service {
    // An absent row is an empty optional, not an error.
    std::function<void(std::string table, std::string key,
                       callback<std::optional<row>> done)>
        read;
    // Never fails with kAborted: conflicts are part of the result.
    std::function<void(std::vector<conditional_write> writes,
                       callback<transaction_result> done)>
        transact;
    // Rows in key order.
    std::function<void(list_query query, callback<std::vector<keyed_row>> done)>
        list;
};

struct object_store {
    std::function<void(std::string key,
                       callback<std::optional<std::string>> done)>
        read;
    // Objects are written once; kAborted when the key exists.
    std::function<void(std::string key, std::string value, callback<bool> done)>
        create;
};

enum class listed_state { live, leaving };

// One line of the platform's host list. Backend servers are listed by address.
struct listed_host {
    std::string name;
    std::string address;
    base::failure_domain_id failure_domain;
    listed_state state = listed_state::live;
};

struct host_list {
    std::function<void(callback<std::vector<listed_host>> done)> read;
};

// Whether a failed write may have been applied.
bool may_have_been_applied(const absl::Status& status);

}  // namespace bronzehub::platform

#endif
