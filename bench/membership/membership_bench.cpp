// What membership costs and how fast it decides, at 8, 60 and 420 members.
//
// Prints one JSON line a figure. Runs on a paused clock with messages delayed
// by 1 to 2 ms, except for the time per tick, which is the machine's.
#include <algorithm>
#include <array>
#include <iomanip>
#include <iostream>
#include <optional>
#include <string>
#include <vector>

#include "membership/fake_network.hpp"

namespace bronzehub::membership {
namespace {

using std::chrono::seconds;

constexpr std::array<std::size_t, 3> sizes{8, 60, 420};

// Limits of the design page for all control traffic of a node.
constexpr double bytes_target = 12'000;
constexpr double core_share_target = 0.035;
constexpr double detection_target = 3;
constexpr double rejoin_target = 10;

double in_seconds(base::duration time) {
    return std::chrono::duration<double>(time).count();
}

void print(const std::string& name, double value, const std::string& unit,
           std::optional<double> target = std::nullopt) {
    std::cout << R"({"name":")" << name << R"(","design":"swim","value":)"
              << std::setprecision(4) << value << R"(,"unit":")" << unit
              << R"(","target":)";
    if (target) {
        std::cout << *target << R"(,"met":)"
                  << (value <= *target ? "true" : "false");
    } else {
        std::cout << R"(null,"met":null)";
    }
    std::cout << "}\n" << std::flush;
}

std::string with_size(const std::string& name, std::size_t hosts) {
    return name + "_at_" + std::to_string(hosts);
}

// A joined network whose comparisons of views have reached their longest
// interval.
void start_steady(fake_network& network) {
    network.start_all();
    network.run_for(seconds(150));
}

struct line {
    double slope = 0;
    double start = 0;
};

// Least squares.
line fit(const std::vector<double>& x, const std::vector<double>& y) {
    const auto n = static_cast<double>(x.size());
    double sum_x = 0;
    double sum_y = 0;
    double sum_xx = 0;
    double sum_xy = 0;
    for (std::size_t i = 0; i < x.size(); ++i) {
        sum_x += x[i];
        sum_y += y[i];
        sum_xx += x[i] * x[i];
        sum_xy += x[i] * y[i];
    }
    const double slope =
        (n * sum_xy - sum_x * sum_y) / (n * sum_xx - sum_x * sum_x);
    return {slope, (sum_y - slope * sum_x) / n};
}

double bytes_per_second(fake_network& network, base::duration time) {
    const std::uint64_t before = network.bytes;
    network.run_for(time);
    return static_cast<double>(network.bytes - before) / in_seconds(time) /
           static_cast<double>(network.size());
}

// Returns bytes per second and node.
double measure_steady(std::size_t hosts) {
    fake_network network({.hosts = hosts, .measure = true});
    start_steady(network);
    const base::duration busy_before = network.busy;
    const std::uint64_t ticks_before = network.ticks;
    constexpr base::duration measured = seconds(120);

    const double bytes = bytes_per_second(network, measured);

    const double busy = in_seconds(network.busy - busy_before);
    const auto ticks = static_cast<double>(network.ticks - ticks_before);
    print(with_size("membership_bytes", hosts), bytes, "B/s/node",
          bytes_target);
    print(with_size("membership_time_per_tick", hosts), busy / ticks * 1e6,
          "us");
    print(with_size("membership_core_share", hosts),
          busy / in_seconds(measured) / static_cast<double>(hosts), "core/node",
          core_share_target);
    return bytes;
}

void measure_detection(std::size_t hosts, std::uint64_t runs) {
    std::vector<double> times;
    for (std::uint64_t seed = 1; seed <= runs; ++seed) {
        fake_network network({.hosts = hosts, .seed = seed});
        network.start_all();
        network.run_for(seconds(15));
        network.stop(1);
        times.push_back(in_seconds(network.run_until(
            [&network] { return network.is_converged(); }, seconds(30))));
    }
    std::ranges::sort(times);
    print(with_size("membership_detection_median", hosts),
          times[times.size() / 2], "s", detection_target);
    print(with_size("membership_detection_longest", hosts), times.back(), "s",
          detection_target);
}

// Cuts one of three failure domains off for a minute.
void measure_partition(std::size_t hosts) {
    fake_network network({.hosts = hosts, .measure = true});
    start_steady(network);
    network.is_cut = [](std::size_t from, std::size_t to) {
        return (from % 3 == 0) != (to % 3 == 0);
    };
    network.run_for(seconds(60));
    network.is_cut = [](std::size_t, std::size_t) { return false; };
    const std::uint64_t before = network.bytes;
    constexpr base::duration watched = seconds(20);
    print(with_size("membership_rejoin", hosts),
          in_seconds(network.settle(watched)), "s", rejoin_target);
    print(with_size("membership_rejoin_bytes", hosts),
          static_cast<double>(network.bytes - before) / in_seconds(watched) /
              static_cast<double>(hosts),
          "B/s/node", bytes_target);
}

// Bytes that failures cost: one host is stopped and started again every
// `interval`.
double measure_failures(std::size_t hosts, base::duration interval) {
    fake_network network({.hosts = hosts, .measure = true});
    start_steady(network);
    const std::uint64_t before = network.bytes;
    constexpr base::duration measured = seconds(600);
    std::uint64_t incarnation = 2;
    for (base::duration elapsed{}; elapsed < measured; elapsed += interval) {
        network.stop(hosts - 1);
        network.run_for(interval / 2);
        network.start(hosts - 1, incarnation++);
        network.run_for(interval / 2);
    }
    return static_cast<double>(network.bytes - before) / in_seconds(measured) /
           static_cast<double>(hosts);
}

void measure_failure_slope(std::size_t hosts) {
    std::vector<double> failures_per_day;
    std::vector<double> bytes;
    for (const base::duration interval :
         {seconds(50), seconds(100), seconds(300)}) {
        failures_per_day.push_back(86'400 / in_seconds(interval));
        bytes.push_back(measure_failures(hosts, interval));
    }
    print(with_size("membership_bytes_per_daily_failure", hosts),
          fit(failures_per_day, bytes).slope, "B/s/node");
}

void measure_all() {
    std::vector<double> members;
    std::vector<double> bytes;
    for (const std::size_t hosts : sizes) {
        members.push_back(static_cast<double>(hosts));
        bytes.push_back(measure_steady(hosts));
    }
    const line growth = fit(members, bytes);
    print("membership_bytes_per_member", growth.slope, "B/s/node");
    print("membership_bytes_fixed", growth.start, "B/s/node");
    measure_detection(8, 20);
    measure_detection(60, 10);
    measure_detection(420, 3);
    for (const std::size_t hosts : sizes) {
        measure_partition(hosts);
    }
    measure_failure_slope(8);
    measure_failure_slope(60);
    measure_failure_slope(420);
}

}  // namespace
}  // namespace bronzehub::membership

int main() {
    bronzehub::membership::measure_all();
    return 0;
}
