// A simulated fleet: real entry and dispatcher objects, simple replicas and a
// network that only delays or drops messages.
#ifndef BRONZEHUB_BENCH_FAIRNESS_FLEET_HPP
#define BRONZEHUB_BENCH_FAIRNESS_FLEET_HPP

#include <array>
#include <cstdint>
#include <deque>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "dispatch/dispatcher.hpp"
#include "dispatch/entry_dispatch.hpp"
#include "event_queue.hpp"
#include "gap_meter.hpp"
#include "workload.hpp"

namespace bronzehub::bench {

struct measured {
    double gap = 0;              // Seconds of fleet capacity.
    double gap_after_heal = 0;   // Counted from the healing.
    double gap_settled = 0;      // Counted from ten seconds later.
    double largest_request = 0;  // Seconds of fleet capacity.
    double newcomer_seconds = 0;
    double utilisation = 0;
    double bytes_per_second = 0;     // Per daemon, sent.
    std::uint64_t alarms = 0;        // At all daemons.
    std::uint64_t false_alarms = 0;  // Without a gap beyond the bound.
    // From the first gap beyond the bound to the first alarm.
    std::optional<double> alarm_delay = std::nullopt;
    bool breached = false;
    double unused_share = 0;  // Grants released unused.
    std::uint64_t started = 0;
    double decision_seconds = 0;  // Wall time.
};

// One run. Not thread-safe.
class fleet {
public:
    fleet(fleet_size size, workload load, design chosen, std::uint64_t seed);
    ~fleet();
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;

    measured run();

private:
    struct daemon;
    struct replica_state {
        std::size_t failure_domain = 0;
        std::uint32_t running = 0;
        std::deque<std::uint64_t> queue;
    };
    struct call_state {
        std::size_t organisation = 0;
        std::size_t daemon = 0;
        double duration = 0;
        std::optional<std::size_t> replica = std::nullopt;  // Set when started.
        std::optional<double> running_since = std::nullopt;
    };

    double now() const;
    static base::duration to_duration(double seconds);

    void start_daemon(std::size_t index);
    void kill_daemon(std::size_t index);
    void schedule_kills();
    void schedule_partition();
    void break_calls_across();
    void schedule_ticks(std::size_t index, std::uint64_t incarnation);
    void schedule_sample();
    void sample();

    bool separated(std::size_t left, std::size_t right, bool cut) const;
    void refresh_views();
    void refresh_view(std::size_t index);
    void refresh_slices();
    std::vector<std::vector<std::uint32_t>> slice_slots() const;
    std::size_t dispatcher_of(std::size_t replica, std::size_t observer) const;

    void send(std::size_t from, const base::host_id& to, protocol::body body);
    void forward_totals(std::size_t from, const protocol::message& message);
    void transmit(std::size_t from, std::size_t to, protocol::message message);
    void deliver(std::size_t to, const protocol::message& message);

    void begin_organisation(std::size_t organisation);
    void submit(std::size_t organisation);
    std::size_t choose_daemon(std::size_t organisation);
    double choose_duration();
    void change_waiting(std::size_t organisation, int change);
    void start_call(std::uint64_t id, std::size_t replica);
    void run_call(std::uint64_t id);
    void end_call(std::uint64_t id, bool completed);
    void leave_replica(std::uint64_t id);
    void on_alarm(const dispatch::fairness_event& event);
    void measure_breach();
    void measure_newcomer();
    void measure_utilisation();

    // Runs a deciding function and adds up its wall time.
    template <class Function>
    auto decide(Function&& function);

    fleet_size size_;
    workload load_;
    design design_;
    std::mt19937_64 random_;
    event_queue events_;
    base::time_point origin_;
    std::vector<std::unique_ptr<daemon>> daemons_;
    std::vector<std::uint64_t> incarnations_;
    std::vector<bool> believed_dead_;
    std::vector<std::vector<base::time_point>> link_free_;
    std::vector<replica_state> replicas_;
    std::unordered_map<std::uint64_t, call_state> calls_;
    std::vector<double> weights_;
    std::vector<std::size_t> waiting_;
    gap_meter meter_;
    gap_meter truth_;  // Never restarted; judges the fairness alarm.
    std::optional<double> breach_began_;
    std::optional<double> breach_seen_;
    std::uint64_t next_call_ = 1;
    bool cut_ = false;
    bool believed_cut_ = false;
    std::size_t total_waiting_ = 0;
    std::uint32_t total_running_ = 0;
    double busy_ = 0;
    double capacity_while_waiting_ = 0;
    double last_utilisation_ = 0;
    std::uint64_t bytes_ = 0;
    std::uint64_t grants_ = 0;
    std::uint64_t unused_ = 0;
    std::size_t decision_depth_ = 0;
    std::deque<std::pair<double, double>> newcomer_served_;
    std::optional<double> newcomer_reached_;
    measured result_;
};

}  // namespace bronzehub::bench

#endif
