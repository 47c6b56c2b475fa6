// Detects that this host lacks processor time and controls load shedding.
//
// The host measures the lateness of a periodic timer. While the timer is late,
// the host refuses a fraction of the requests at once, which is cheap and lets
// callers try another host, and forwards the events of streams in batches. If
// the overload lasts, the host reports itself as not ready. Load pattern: all
// callers of a large organisation use one host, whose processor is saturated
// while other hosts are idle. Callers give up on requests that the host reads
// late, so that work on them is wasted.
#ifndef BRONZEHUB_OVERLOAD_HOST_LOAD_HPP
#define BRONZEHUB_OVERLOAD_HOST_LOAD_HPP

#include <chrono>
#include <optional>

#include "base/clock.hpp"

namespace bronzehub::overload {

// Not thread-safe.
class host_load {
public:
    // Interval of the timer whose lateness is measured.
    static constexpr std::chrono::milliseconds sample_interval{10};
    // Setpoint of the controller. A request takes several iterations of the
    // event loop, each as long as the lateness, and the latency targets of
    // callers are a few hundred milliseconds.
    static constexpr std::chrono::milliseconds target_lateness{30};
    // Gains of the proportional-integral controller that sets the refusal ratio
    // from the relative error of the lateness, as in active queue management
    // (RFC 8033). An accepted request takes some milliseconds on the weakest
    // hosts, so that at a thousand requests per second such a host can serve a
    // tenth of them. With these gains its lateness settles within half a
    // second, and more slowly where requests are cheaper.
    static constexpr double proportional_gain = 0.1;
    static constexpr double integral_gain_per_s = 2.5;
    // The host becomes not ready when the refusal ratio was above
    // `unready_refusal_ratio` for `unready_after`: its callers then go to
    // another host of the failure domain while it completes the accepted
    // requests. It becomes ready again when the ratio was below
    // `ready_refusal_ratio` for `ready_after`. Many callers are thereby served
    // by several hosts in turn.
    static constexpr double unready_refusal_ratio = 0.4;
    static constexpr double ready_refusal_ratio = 0.05;
    static constexpr std::chrono::milliseconds unready_after{500};
    static constexpr std::chrono::milliseconds ready_after{1000};

    // Limit of deferred refusals, about those of a tenth of a second on a
    // flooded host. More would only delay the effect of the controller.
    static constexpr double max_deferred_refusals = 64;

    // A late host delays events for at most the delivery limit divided by this.
    // The rest of the limit covers the network and the lateness.
    static constexpr int batching_delay_divisor = 2;

    explicit host_load(base::clock clock) : clock_(std::move(clock)) {}

    // Records that the timer fired this much after it was due.
    void on_sample(base::duration lateness);

    // Fraction of the requests to refuse, from 0 to 1.
    double refusal_ratio() const { return refusal_ratio_; }
    // Whether to accept the next request. Refusals are spread evenly over the
    // requests.
    bool accept();
    // Records that a request was admitted although `accept` refused it, so that
    // a later request is refused in its place.
    void defer_refusal();
    // Whether the host should report itself as ready for new callers.
    bool is_ready() const { return ready_; }
    // Whether the events of the event loop wait noticeably before they are
    // handled.
    bool is_late() const { return lateness_ > target_lateness / 4; }
    // For how long to delay the events of a stream, which must be forwarded
    // within `delivery_limit`, so that several are forwarded together. Zero
    // while the host is not late.
    base::duration event_batching_delay(base::duration delivery_limit) const;
    // Smoothed lateness of the timer.
    base::duration lateness() const { return lateness_; }

private:
    base::clock clock_;
    base::duration lateness_{};
    // Integral term of the controller.
    double integral_ = 0;
    double refusal_ratio_ = 0;
    // Number of due refusals, including the fraction that does not yet make up
    // a whole request.
    double refusals_due_ = 0;
    bool ready_ = true;
    // Since when the refusal ratio requires the other readiness state.
    std::optional<base::time_point> transition_due_since_;
};

}  // namespace bronzehub::overload

#endif
