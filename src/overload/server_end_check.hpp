// Tells a backend server that has ended from one that can't be reached.
//
// Load pattern: the links of a failure domain reset all connections and refuse
// new ones for seconds, while its servers go on. A refused connection alone
// would make each of them look ended, and the prompt segments that most
// requests share would be blamed for it.
//
// A server counts as ended if its port refuses connections both before and
// after another server of its failure domain accepted one.
#ifndef BRONZEHUB_OVERLOAD_SERVER_END_CHECK_HPP
#define BRONZEHUB_OVERLOAD_SERVER_END_CHECK_HPP

#include <chrono>
#include <cstdint>
#include <utility>

#include "base/clock.hpp"

namespace bronzehub::overload {

// What became of a connect.
enum class connect_result : std::uint8_t { accepted, refused, failed };

// Not thread-safe. Does no I/O: the owner performs `next_step` and reports its
// result, until a step is `finish`.
class server_end_check {
public:
    enum class step : std::uint8_t {
        connect_to_server,
        // Connect to some other servers of the failure domain.
        connect_to_neighbours,
        // Wait for `pause()`, then call `on_pause_over`.
        wait,
        finish,
    };

    // Connections that are cut at the same time are refused within this time of
    // each other.
    static constexpr std::chrono::milliseconds min_pause{100};
    // Pause while none of the servers of the domain accepts a connection.
    static constexpr std::chrono::milliseconds retry_pause{500};
    // A domain that can't be reached for longer than this leaves the question
    // open. Most cuts of a network last longer or end by then.
    static constexpr std::chrono::seconds max_duration{3};

    explicit server_end_check(base::clock clock)
        : clock_(std::move(clock)), started_at_(clock_.now()) {}

    step next_step() const { return step_; }
    base::duration pause() const { return pause_; }
    // Whether the server has ended; false while that is not certain.
    bool has_ended() const { return has_ended_; }

    void on_server_connect(connect_result result);
    void on_neighbours_connect(bool any_accepted);
    void on_pause_over();
    // The listing shows a later start of the server.
    void on_restart_listed();

private:
    void finish(bool has_ended);

    base::clock clock_;
    base::time_point started_at_;
    step step_ = step::connect_to_server;
    base::duration pause_ = min_pause;
    bool neighbour_accepted_ = false;
    bool has_ended_ = false;
};

}  // namespace bronzehub::overload

#endif
