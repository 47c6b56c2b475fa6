#include "platform/platform.hpp"

namespace bronzehub::platform {

bool may_have_been_applied(const absl::Status& status) {
    return status.code() == absl::StatusCode::kUnknown;
}

}  // namespace bronzehub::platform
