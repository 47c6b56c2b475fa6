// Whether this host has processor time for more requests.
//
// Load pattern: the callers of one large organisation all come to one host,
// whose processor is then used up while its neighbours are idle. Requests that
// the host reads late are abandoned by their callers, and work on them is in
// vain. The host measures how late its own timer runs. While it is late, it
// refuses new requests at once, which is cheap and lets their callers try
// another host, and it stops calling itself ready.
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
    // From this lateness on a part of the new requests is refused, and all of
    // them at the second one; between, the part grows evenly, so that the host
    // settles where it is busy and still in time. A request takes several turns
    // of the loop, each as long as the lateness, and the targets of callers
    // are a few hundred ms.
    static constexpr std::chrono::milliseconds refuse_from{10};
    static constexpr std::chrono::milliseconds refuse_all{50};
    // The host is no longer ready when it refused this part of the requests
    // for `unready_after`, and ready again when it refused less than the other
    // part for `ready_after`.
    static constexpr double unready_share = 0.4;
    static constexpr double ready_share = 0.05;
    static constexpr std::chrono::milliseconds unready_after{500};
    static constexpr std::chrono::milliseconds ready_after{1000};

    explicit host_load(base::clock clock) : clock_(std::move(clock)) {}

    // The timer ran this much later than it was due.
    void on_sample(base::duration lateness);

    // Part of the new requests to refuse, from 0 to 1.
    double refused_share() const;
    // Whether to accept a request; `draw` is spread evenly from 0 to 1.
    bool accepts(double draw) const { return draw >= refused_share(); }
    bool is_ready() const { return ready_; }
    // Smoothed lateness.
    base::duration lateness() const { return lateness_; }

private:
    base::clock clock_;
    base::duration lateness_{};
    bool ready_ = true;
    // Since when the refused part speaks against the present readiness.
    std::optional<base::time_point> against_since_;
};

}  // namespace bronzehub::overload

#endif
