// Keeps the repeats of the whole fleet within their budget.
//
// The budget of a service is a share of its requests plus a fixed number in
// any window of a few seconds. Each host spends at most its own share of both,
// so the sum holds without exchange, also while hosts are cut off from each
// other. Answers the pattern in which backend servers fail and every caller's
// request would be sent again at once.
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
    // Repeats for each request of the service.
    double ratio = 0.1;
    // Repeats that the whole fleet may make besides.
    double extra = 0;
    base::duration window = std::chrono::seconds(10);
};

// Not thread-safe.
class retry_window {
public:
    // Part of the budget that is spent. The rest covers requests that are
    // counted in another window here than at the backend servers, and the
    // repeats of a host that restarted and forgot its own.
    static constexpr double used_share = 0.5;

    retry_window(retry_window_options options, base::clock clock)
        : options_(options), clock_(std::move(clock)) {}

    // Hosts that share the budget; at least 1.
    void set_hosts(std::size_t hosts) { hosts_ = hosts == 0 ? 1 : hosts; }

    // A caller's request for the service arrived.
    void on_request(std::string_view service);

    // Takes one repeat; false when the budget is used up.
    bool try_retry(std::string_view service);

private:
    static constexpr std::size_t buckets = 20;

    struct counts {
        std::array<std::uint32_t, buckets> requests{};
        std::array<std::uint32_t, buckets> repeats{};
        std::int64_t newest = 0;
    };

    counts& current(std::string_view service);

    retry_window_options options_;
    base::clock clock_;
    std::size_t hosts_ = 1;
    std::map<std::string, counts, std::less<>> services_;
};

}  // namespace bronzehub::overload

#endif
