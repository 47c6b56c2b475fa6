// Intents that name objects, as people write them, turned into typed changes.
//
//   {"reason": "...", "changes": [
//       {"action": "set", "kind": "organisation", "name": "north",
//        "fields": {"default_weight": 2}}]}
//
// `set` adds an object that does not exist and updates the given fields of one
// that does; `remove` removes it. Kinds: organisation, service, backend, key
// (name "ORGANISATION/KEY") and share (name "ORGANISATION/SERVICE", field
// `weight`; remove falls back to the default weight).
#ifndef BRONZEHUB_PLANNING_NAMED_CHANGES_HPP
#define BRONZEHUB_PLANNING_NAMED_CHANGES_HPP

#include <nlohmann/json.hpp>

#include "absl/status/statusor.h"
#include "configuration/model.hpp"

namespace bronzehub::planning {

// Replaces the member `changes` of an intent by `items`. An intent without
// `changes` is returned as it is.
//
// Errors: kInvalidArgument for a change of another form, an unknown kind or
// action, or an object that two changes name; kNotFound for an object that
// must exist and does not.
absl::StatusOr<nlohmann::json> resolve_named_changes(
    nlohmann::json intent, const configuration::fleet_configuration& base);

}  // namespace bronzehub::planning

#endif
