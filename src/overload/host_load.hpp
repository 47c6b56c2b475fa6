// Whether this host has processor time for more requests.
//
// Load pattern: the callers of one large organisation all come to one host,
// whose processor is then used up while its neighbours are idle. Requests that
// the host reads late are abandoned by their callers, and work on them is in
// vain. The host measures how late its own timer runs. While it is late, it
// refuses part of the requests at once, which is cheap and lets their callers
// try another host, try_exempt events of streams on in batches, and in the end
// stops calling itself ready.
#ifndef BRONZEHUB_OVERLOAD_HOST_LOAD_HPP
#define BRONZEHUB_OVERLOAD_HOST_LOAD_HPP

#include <chrono>
#include <optional>

#include "base/clock.hpp"

namespace bronzehub::overload {

// Not thread-safe.
class host_load {
public:
    // The timer that is measured runs this often.
    static constexpr std::chrono::milliseconds sample_interval{10};
    // Lateness that the refused part is steered to. A request takes several
    // turns of the loop, each as long as the lateness, and the targets of
    // callers are a few hundred ms.
    static constexpr std::chrono::milliseconds target_lateness{30};
    // The refused part follows the relative error of the lateness by a
    // proportional and an integral part, as active queue management does (RFC
    // 8033). An accepted request costs some ms on the weakest hosts, so that a
    // part of 0.1 is as much as a host can do at a thousand requests a second:
    // with these gains the lateness settles within half a second there, and
    // more slowly where requests are cheaper.
    static constexpr double proportional_gain = 0.1;
    static constexpr double integral_gain_per_s = 2.5;
    // The host is no longer ready when it refused more than `unready_share` for
    // `unready_after`: its callers go to another host of the failure domain
    // while it works off what it accepted. It is ready again when it refused
    // less than `ready_share` for `ready_after`. A crowd of callers is thereby
    // served by several hosts in turn.
    static constexpr double unready_share = 0.4;
    static constexpr double ready_share = 0.05;
    static constexpr std::chrono::milliseconds unready_after{500};
    static constexpr std::chrono::milliseconds ready_after{1000};

    // Refusals that may be put off, about those of a tenth of a second on a
    // flooded host; more would only delay the control.
    static constexpr double most_refusals_due = 64;

    // Part of the time for passing events on in which a late host may hold them
    // back; the rest is for the way and for its lateness.
    static constexpr int event_hold_divisor = 2;

    explicit host_load(base::clock clock) : clock_(std::move(clock)) {}

    // The timer ran this much later than it was due.
    void on_sample(base::duration lateness);

    // Part of the requests to refuse, from 0 to 1.
    double refusal_ratio() const { return share_; }
    // Whether to accept the next request. Refusals are spread evenly.
    bool accept();
    // A request that had to be refused was let in: the next one is refused for
    // it.
    void defer_refusal();
    bool is_ready() const { return ready_; }
    // Whether events wait noticeably before they are handled.
    bool is_late() const { return lateness_ > target_lateness / 4; }
    // For how long to hold back events of a stream that must be passed on
    // within `limit`, so that several are passed on together; zero while the
    // host has time.
    base::duration event_batching_delay(base::duration limit) const;
    // Smoothed lateness.
    base::duration lateness() const { return lateness_; }

private:
    base::clock clock_;
    base::duration lateness_{};
    double integral_ = 0;
    double share_ = 0;
    // Refused parts that have not yet made up a whole request.
    double refusals_due_ = 0;
    bool ready_ = true;
    // Since when the refused part speaks against the present readiness.
    std::optional<base::time_point> against_since_;
};

}  // namespace bronzehub::overload

#endif
