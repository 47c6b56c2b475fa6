// How fast and how closely the estimate of slots finds what an engine can run.
//
// The fake engine's time between tokens rises linearly with its batch and
// meets the target exactly at the true number of slots. Work always waits.
// Load reports come each second and are one second old. Prints one JSON line a
// figure; runs on a paused clock.
#include <algorithm>
#include <iostream>
#include <random>
#include <string>
#include <vector>

#include "base/clock.hpp"
#include "capacity/replica_capacity.hpp"

namespace bronzehub::capacity {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::duration target = milliseconds(80);
constexpr base::duration step = milliseconds(10);
constexpr base::duration run_time = seconds(300);
constexpr base::duration settled_after = seconds(120);

struct running_call {
    base::time_point started;
    base::time_point first_token;
    double tokens_left = 0;
    std::uint32_t tokens = 0;
    std::uint64_t epoch = 0;
};

// An engine that is kept full by its only dispatcher.
class full_engine {
public:
    explicit full_engine(std::uint32_t true_slots)
        : true_slots_(true_slots), capacity_({}, time_.view()) {}

    void run_step() {
        fill();
        time_.advance(step);
        const double progress = static_cast<double>(step.count()) /
                                static_cast<double>(token_time().count());
        std::vector<running_call> left;
        for (running_call& call : calls_) {
            call.tokens_left -= progress;
            if (call.tokens_left > 0) {
                left.push_back(call);
            } else {
                release(call);
            }
        }
        calls_ = std::move(left);
        report();
    }

    std::uint32_t slots() const { return capacity_.estimated_slots(); }
    base::duration token_time() const {
        // A quarter of the target at an empty batch.
        const double load = static_cast<double>(calls_.size()) / true_slots_;
        return std::chrono::duration_cast<base::duration>(target *
                                                          (0.25 + 0.75 * load));
    }

private:
    void fill() {
        std::uniform_int_distribution<std::uint32_t> length(20, 200);
        while (capacity_.free() > 0) {
            const std::uint32_t tokens = length(random_);
            calls_.push_back({time_.now(), time_.now() + token_time(),
                              static_cast<double>(tokens), tokens,
                              capacity_.on_granted()});
        }
    }

    void release(const running_call& call) {
        capacity_.on_released({call.epoch, call_result::completed,
                               call.first_token - call.started,
                               time_.now() - call.started, call.tokens});
    }

    void report() {
        if (time_.now() >= next_report_) {
            next_report_ = time_.now() + seconds(1);
            capacity_.on_report({time_.now() - seconds(1), 0});
        }
    }

    std::uint32_t true_slots_;
    base::paused_clock time_;
    replica_capacity capacity_;
    std::mt19937_64 random_{1};
    std::vector<running_call> calls_;
    base::time_point next_report_;
};

void print(const std::string& name, double value, const std::string& unit,
           const std::string& target_json, bool met) {
    std::cout << R"({"name":")" << name << R"(","design":"aimd","value":)"
              << value << R"(,"unit":")" << unit << R"(","target":)"
              << target_json << R"(,"met":)" << (met ? "true" : "false")
              << "}\n";
}

void measure(std::uint32_t true_slots) {
    full_engine engine(true_slots);
    double found_after = -1;
    double slot_sum = 0;
    double slow_sum = 0;
    int samples = 0;
    for (base::duration elapsed{}; elapsed < run_time; elapsed += step) {
        engine.run_step();
        const double share = static_cast<double>(engine.slots()) / true_slots;
        if (found_after < 0 && share >= 0.9 && share <= 1.1) {
            found_after = std::chrono::duration<double>(elapsed).count();
        }
        if (elapsed >= settled_after) {
            slot_sum += share;
            slow_sum += static_cast<double>(engine.token_time().count()) /
                        static_cast<double>(target.count());
            ++samples;
        }
    }
    const std::string suffix = "_at_" + std::to_string(true_slots);
    print("capacity_time_to_within_a_tenth" + suffix, found_after, "s", "60",
          found_after >= 0 && found_after <= 60);
    const double share = slot_sum / samples;
    print("capacity_slots_of_true_count" + suffix, share, "share", "0.97",
          share >= 0.97);
    const double slowness = slow_sum / samples;
    print("capacity_token_time_of_target" + suffix, slowness, "share", "1.05",
          slowness <= 1.05);
}

}  // namespace
}  // namespace bronzehub::capacity

int main() {
    for (const std::uint32_t true_slots : {4U, 32U, 128U}) {
        bronzehub::capacity::measure(true_slots);
    }
    return 0;
}
