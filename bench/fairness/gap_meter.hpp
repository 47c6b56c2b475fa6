// Measures the fairness gap as the design page defines it.
//
// For every pair of organisations that both wait, service is counted from the
// moment at which both wait, and only for calls admitted after it.
#ifndef BRONZEHUB_BENCH_FAIRNESS_GAP_METER_HPP
#define BRONZEHUB_BENCH_FAIRNESS_GAP_METER_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace bronzehub::bench {

// Times in seconds, service in seconds of one slot. Not thread-safe.
class gap_meter {
public:
    // `capacity` is the number of slots in the fleet.
    gap_meter(std::vector<double> weights, double capacity);

    void set_waiting(std::size_t organisation, bool waiting, double now);
    void admitted(std::size_t organisation, std::uint64_t call);
    void running(std::uint64_t call, double now);
    void ended(std::uint64_t call, double now);

    // Compares all pairs.
    void sample(double now);

    // Counts from now on, and forgets the largest gap.
    void restart(double now);

    // Seconds of the fleet's capacity.
    double largest_gap() const { return largest_gap_; }

    // The largest gap of the last sample.
    double present_gap() const { return present_gap_; }

    // Service of the organisation since the beginning.
    double served(std::size_t organisation, double now) const;

private:
    struct call_state {
        std::size_t organisation = 0;
        std::optional<double> running_since = std::nullopt;
    };
    struct old_call {
        std::uint64_t call = 0;
        double served = 0;  // At the moment of the baseline.
    };
    // What an organisation had received when a pair began to wait.
    struct baseline {
        double served = 0;
        std::vector<old_call> old_calls;
        double old_served = 0;  // By old calls that have ended since.
    };

    double served_by(std::uint64_t call, double now) const;
    double since(std::size_t organisation, double start, double now);
    void begin(std::size_t organisation, double now);
    void drop_unused_baselines();

    std::vector<double> weights_;
    double capacity_;
    std::vector<std::optional<double>> waiting_since_;
    std::vector<double> ended_service_;
    std::vector<std::map<std::uint64_t, call_state>> calls_;
    std::map<std::uint64_t, std::size_t> organisation_of_;
    // By organisation, then by the moment.
    std::vector<std::map<double, baseline>> baselines_;
    double largest_gap_ = 0;
    double present_gap_ = 0;
};

}  // namespace bronzehub::bench

#endif
