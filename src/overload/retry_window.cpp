#include "overload/retry_window.hpp"

#include <algorithm>
#include <numeric>

namespace bronzehub::overload {

retry_window::service_counts& retry_window::current_counts(
    std::string_view service) {
    auto found = services_.find(service);
    if (found == services_.end()) {
        found = services_.emplace(std::string(service), service_counts{}).first;
    }
    service_counts& entry = found->second;
    const base::duration slice_length = options_.window / bucket_count;
    const std::int64_t slice = clock_.now().time_since_epoch() / slice_length;
    const std::int64_t passed =
        std::min<std::int64_t>(slice - entry.newest_slice, bucket_count);
    for (std::int64_t i = 1; i <= passed; ++i) {
        const auto bucket = static_cast<std::size_t>(
            (slice - passed + i) % std::int64_t{bucket_count});
        entry.requests.at(bucket) = 0;
        entry.retries.at(bucket) = 0;
    }
    entry.newest_slice = slice;
    return entry;
}

void retry_window::on_request(std::string_view service) {
    service_counts& entry = current_counts(service);
    ++entry.requests.at(static_cast<std::size_t>(entry.newest_slice) %
                        bucket_count);
}

bool retry_window::try_retry(std::string_view service) {
    service_counts& entry = current_counts(service);
    const double requests =
        std::accumulate(entry.requests.begin(), entry.requests.end(), 0.0);
    const double retries =
        std::accumulate(entry.retries.begin(), entry.retries.end(), 0.0);
    const double allowed =
        usable_fraction * (options_.ratio * requests +
                           options_.extra / static_cast<double>(hosts_));
    if (retries + 1 > allowed) {
        return false;
    }
    ++entry.retries.at(static_cast<std::size_t>(entry.newest_slice) %
                       bucket_count);
    return true;
}

}  // namespace bronzehub::overload
