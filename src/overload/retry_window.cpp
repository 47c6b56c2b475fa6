#include "overload/retry_window.hpp"

#include <algorithm>
#include <numeric>

namespace bronzehub::overload {

retry_window::counts& retry_window::current(std::string_view service) {
    auto found = services_.find(service);
    if (found == services_.end()) {
        found = services_.emplace(std::string(service), counts{}).first;
    }
    counts& entry = found->second;
    const base::duration step = options_.window / buckets;
    const std::int64_t now = clock_.now().time_since_epoch() / step;
    const std::int64_t passed =
        std::min<std::int64_t>(now - entry.newest, buckets);
    for (std::int64_t i = 1; i <= passed; ++i) {
        const auto slot = static_cast<std::size_t>((now - passed + i) %
                                                   std::int64_t{buckets});
        entry.requests.at(slot) = 0;
        entry.repeats.at(slot) = 0;
    }
    entry.newest = now;
    return entry;
}

void retry_window::on_request(std::string_view service) {
    counts& entry = current(service);
    ++entry.requests.at(static_cast<std::size_t>(entry.newest) % buckets);
}

bool retry_window::try_retry(std::string_view service) {
    counts& entry = current(service);
    const double requests =
        std::accumulate(entry.requests.begin(), entry.requests.end(), 0.0);
    const double repeats =
        std::accumulate(entry.repeats.begin(), entry.repeats.end(), 0.0);
    const double allowed =
        used_share * (options_.ratio * requests +
                      options_.extra / static_cast<double>(hosts_));
    if (repeats + 1 > allowed) {
        return false;
    }
    ++entry.repeats.at(static_cast<std::size_t>(entry.newest) % buckets);
    return true;
}

}  // namespace bronzehub::overload
