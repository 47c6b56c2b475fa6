#include "hedging/extra_work_limit.hpp"

#include <algorithm>

namespace bronzehub::hedging {
namespace {

// Factor by which each request lets the largest one be forgotten.
constexpr double forget_factor = 0.999;

}  // namespace

void extra_work_limit::on_request(std::string_view service, double work) {
    if (share_ <= 0 || work <= 0) {
        return;
    }
    auto found = services_.find(service);
    if (found == services_.end()) {
        found = services_.emplace(std::string(service), allowance{}).first;
    }
    allowance& entry = found->second;
    entry.largest = std::max(entry.largest * forget_factor, work);
    entry.saved = std::min(entry.saved + share_ * work,
                           max_saved_requests * entry.largest);
}

bool extra_work_limit::try_spend(std::string_view service, double work) {
    const auto found = services_.find(service);
    if (share_ <= 0 || found == services_.end() || found->second.saved < work) {
        return false;
    }
    found->second.saved -= work;
    return true;
}

}  // namespace bronzehub::hedging
