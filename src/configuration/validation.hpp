// Rules that span several objects of a configuration.
#ifndef BRONZEHUB_CONFIGURATION_VALIDATION_HPP
#define BRONZEHUB_CONFIGURATION_VALIDATION_HPP

#include "base/json_fields.hpp"
#include "configuration/model.hpp"

namespace bronzehub::configuration {

// Adds a fault for every duplicate number, name, key, address or path prefix,
// for every reference to an object that does not exist, and for limits that
// contradict each other. O(n) in the number of objects.
void validate(const fleet_configuration& value, base::json_errors& faults);

}  // namespace bronzehub::configuration

#endif
