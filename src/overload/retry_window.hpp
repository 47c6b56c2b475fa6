// Limits the retries of the whole fleet to a budget for each service.
//
// In any window of a few seconds, the budget of a service is a fixed ratio of
// its requests plus a fixed number of extra retries. Each host spends at most
// its own part of the budget, so the limit holds without communication, even
// while hosts are partitioned. Load pattern: backend servers fail and each
// failed request would be retried at once.
#ifndef BRONZEHUB_OVERLOAD_RETRY_WINDOW_HPP
#define BRONZEHUB_OVERLOAD_RETRY_WINDOW_HPP

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "base/clock.hpp"

namespace bronzehub::overload {

struct retry_window_options {
    // Retries for each request of the service.
    double ratio = 0.1;
    // Additional retries of the whole fleet in one window.
    double extra = 0;
    base::duration window = std::chrono::seconds(10);
};

// Not thread-safe.
class retry_window {
public:
    // Fraction of the budget that is spent. The rest covers requests that fall
    // into different windows at this host and at the backend servers, and the
    // retries that a restarted host has forgotten.
    static constexpr double usable_fraction = 0.5;

    retry_window(retry_window_options options, base::clock clock)
        : options_(options), clock_(std::move(clock)) {}

    // Sets the number of hosts that share the budget. Zero counts as 1.
    void set_hosts(std::size_t hosts) { hosts_ = hosts == 0 ? 1 : hosts; }

    // Records that a caller's request for the service arrived.
    void on_request(std::string_view service);

    // Charges one retry to the budget. Returns false, and charges nothing, if
    // the budget is exhausted.
    bool try_retry(std::string_view service);

private:
    // Time slices of the sliding window.
    static constexpr std::size_t bucket_count = 20;

    // Requests and retries of one service, by time slice modulo `bucket_count`.
    struct service_counts {
        std::array<std::uint32_t, bucket_count> requests{};
        std::array<std::uint32_t, bucket_count> retries{};
        // Number of the newest time slice since the epoch of the clock.
        std::int64_t newest_slice = 0;
    };

    // The counts of the service, without the slices that left the window.
    service_counts& current_counts(std::string_view service);

    retry_window_options options_;
    base::clock clock_;
    std::size_t hosts_ = 1;
    std::map<std::string, service_counts, std::less<>> services_;
};

}  // namespace bronzehub::overload

#endif
