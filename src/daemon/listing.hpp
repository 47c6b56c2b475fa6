// Pages of the configuration's objects for operators.
#ifndef BRONZEHUB_DAEMON_LISTING_HPP
#define BRONZEHUB_DAEMON_LISTING_HPP

#include <nlohmann/json.hpp>
#include <string_view>

#include "absl/status/statusor.h"
#include "configuration/model.hpp"

namespace bronzehub::daemon {

enum class listed_kind { organisations, services, backend_servers };

inline constexpr std::size_t default_page_size = 100;
inline constexpr std::size_t max_page_size = 1000;

// One page: `{"version", "items", "next_after"}`. The query takes `after` (a
// number; objects with greater numbers follow) and `limit`. `next_after` is
// missing on the last page. Digests of keys are left out.
//
// Errors: kInvalidArgument for an unknown or malformed parameter.
absl::StatusOr<nlohmann::json> list_page(
    const configuration::fleet_configuration& configuration, listed_kind kind,
    std::string_view query);

}  // namespace bronzehub::daemon

#endif
