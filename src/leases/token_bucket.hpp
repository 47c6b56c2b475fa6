// Paces work against a shared resource with a rate limit.
#ifndef BRONZEHUB_LEASES_TOKEN_BUCKET_HPP
#define BRONZEHUB_LEASES_TOKEN_BUCKET_HPP

#include "base/clock.hpp"

namespace bronzehub::leases {

// Fills at `rate` units a second up to `burst` units. Not thread-safe.
class token_bucket {
public:
    // Starts empty: a predecessor may just have used what the resource allows.
    token_bucket(base::clock time, double rate, double burst);

    // Takes `units` when they are there. More than `burst` is taken once the
    // bucket is full, and leaves it in debt.
    bool take(double units);

    // Forgets what has been saved up.
    void drain();

private:
    void fill();

    base::clock time_;
    double rate_;
    double burst_;
    double level_ = 0;
    base::time_point filled_at_;
};

}  // namespace bronzehub::leases

#endif
