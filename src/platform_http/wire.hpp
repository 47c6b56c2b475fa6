// The HTTP form of the platform's operations.
//
// `*_call` functions build requests; `parse_*` functions turn a reply into a
// result, with the status codes that platform.hpp lists.
#ifndef BRONZEHUB_PLATFORM_HTTP_WIRE_HPP
#define BRONZEHUB_PLATFORM_HTTP_WIRE_HPP

#include <optional>
#include <span>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "platform/platform.hpp"
#include "platform_http/transfers.hpp"

namespace bronzehub::platform {

http_call read_row_call(const std::string& table, const std::string& key);
http_call list_call(const list_query& query);
http_call read_object_call(const std::string& key);
http_call create_object_call(const std::string& key, std::string value);
http_call hosts_call();

// kInvalidArgument when a text is not UTF-8, which JSON cannot carry.
absl::StatusOr<http_call> transact_call(
    std::span<const conditional_write> writes);

absl::StatusOr<std::optional<row>> parse_row(const http_reply& reply);
absl::StatusOr<std::vector<keyed_row>> parse_list(const http_reply& reply);
absl::StatusOr<transaction_result> parse_transaction(const http_reply& reply);
absl::StatusOr<std::optional<std::string>> parse_object(http_reply reply);
absl::StatusOr<bool> parse_created(const http_reply& reply);
absl::StatusOr<std::vector<listed_host>> parse_hosts(const http_reply& reply);

}  // namespace bronzehub::platform

#endif
