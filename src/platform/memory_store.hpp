// A table and object store in memory with the platform's semantics.
//
// The in-memory fake of the platform and the stand-in's platform role share
// it, so that both give the same answers. Not for production use: nothing in
// it survives the process.
#ifndef BRONZEHUB_PLATFORM_MEMORY_STORE_HPP
#define BRONZEHUB_PLATFORM_MEMORY_STORE_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/status/statusor.h"
#include "platform/platform.hpp"

namespace bronzehub::platform {

// Not thread-safe.
class memory_store {
public:
    std::optional<row> read(std::string_view table, std::string_view key) const;

    // Applies every write or none. kInvalidArgument when the list is empty or
    // names a row twice.
    absl::StatusOr<transaction_result> transact(
        std::span<const conditional_write> writes);

    // Writes without a condition and returns the new version.
    std::uint64_t put(const std::string& table, const std::string& key,
                      std::string value);

    // Rows in key order. O(log rows + limit).
    std::vector<keyed_row> list(const list_query& query) const;

    std::optional<std::string> read_object(std::string_view key) const;

    // Returns false when the object exists.
    bool create_object(const std::string& key, std::string value);

private:
    using address = std::pair<std::string, std::string>;  // Table and key.

    bool holds(const conditional_write& write) const;
    std::uint64_t apply(const conditional_write& write);

    std::map<address, row> rows_;
    std::map<std::string, std::string, std::less<>> objects_;
    // One counter for all rows, so that a row that is deleted and created
    // again never repeats a version.
    std::uint64_t last_version_ = 0;
};

}  // namespace bronzehub::platform

#endif
