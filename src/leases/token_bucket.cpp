#include "leases/token_bucket.hpp"

#include <algorithm>

namespace bronzehub::leases {

token_bucket::token_bucket(base::clock time, double rate, double burst)
    : time_(std::move(time)),
      rate_(rate),
      burst_(burst),
      filled_at_(time_.now()) {}

bool token_bucket::take(double units) {
    fill();
    if (level_ < std::min(units, burst_)) {
        return false;
    }
    level_ -= units;
    return true;
}

void token_bucket::drain() {
    fill();
    level_ = std::min(level_, 0.0);
}

void token_bucket::fill() {
    const base::time_point now = time_.now();
    const std::chrono::duration<double> elapsed = now - filled_at_;
    level_ = std::min(burst_, level_ + elapsed.count() * rate_);
    filled_at_ = now;
}

}  // namespace bronzehub::leases
