// Limits retries to a share of the calls, so that retries cannot multiply the
// load on backend servers that already fail.
//
// One token bucket for each (organisation, service). Only repeatable calls
// may ask.
#ifndef BRONZEHUB_ADMISSION_RETRY_BUDGET_HPP
#define BRONZEHUB_ADMISSION_RETRY_BUDGET_HPP

#include <map>
#include <utility>

#include "base/clock.hpp"
#include "base/strong_id.hpp"

namespace bronzehub::admission {

struct retry_budget_options {
    double per_call = 0.1;  // Tokens that a sent call earns.
    double per_second = 1;  // Tokens that time earns: the floor.
    double capacity = 10;   // Tokens that a bucket holds.
};

// Not thread-safe.
class retry_budget {
public:
    retry_budget(retry_budget_options options, base::clock clock)
        : options_(options), clock_(std::move(clock)) {}

    // A call, not a retry, was sent.
    void call_sent(base::organisation_id organisation,
                   base::service_id service);

    // Takes a token. False means that the call must not be retried.
    bool try_retry(base::organisation_id organisation,
                   base::service_id service);

private:
    struct bucket {
        double tokens = 0;
        base::time_point refilled;
    };

    bucket& refilled_bucket(base::organisation_id organisation,
                            base::service_id service);

    retry_budget_options options_;
    base::clock clock_;
    std::map<std::pair<base::organisation_id, base::service_id>, bucket>
        buckets_;
};

}  // namespace bronzehub::admission

#endif
