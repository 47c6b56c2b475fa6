#include "admission/retry_budget.hpp"

#include <algorithm>

namespace bronzehub::admission {

retry_budget::bucket& retry_budget::refilled_bucket(
    base::organisation_id organisation, base::service_id service) {
    const base::time_point now = clock_.now();
    const auto [entry, added] = buckets_.try_emplace(
        {organisation, service},
        bucket{.tokens = options_.per_second, .refilled = now});
    bucket& found = entry->second;
    const std::chrono::duration<double> elapsed = now - found.refilled;
    found.tokens =
        std::min(options_.capacity,
                 found.tokens + options_.per_second * elapsed.count());
    found.refilled = now;
    return found;
}

void retry_budget::call_sent(base::organisation_id organisation,
                             base::service_id service) {
    bucket& found = refilled_bucket(organisation, service);
    found.tokens =
        std::min(options_.capacity, found.tokens + options_.per_call);
}

bool retry_budget::try_retry(base::organisation_id organisation,
                             base::service_id service) {
    bucket& found = refilled_bucket(organisation, service);
    // Ten additions of a tenth must buy one token despite rounding.
    constexpr double rounding = 1e-9;
    if (found.tokens < 1 - rounding) {
        return false;
    }
    found.tokens -= 1;
    return true;
}

}  // namespace bronzehub::admission
