// fairness_bench: compares designs of fair dispatch on a simulated fleet that
// runs the real entry and dispatcher objects. Prints one JSON line a figure.
#include <charconv>
#include <cmath>
#include <iostream>
#include <nlohmann/json.hpp>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "fleet.hpp"
#include "slopes.hpp"
#include "workload.hpp"

namespace bronzehub::bench {
namespace {

struct bench_options {
    bool timing = false;
    bool slopes = false;
    std::uint64_t seed = 1;
    std::string design;    // Only this one, when not empty.
    std::string workload;  // Only this one, when not empty.
    std::size_t replicas = 0;
};

enum class goal { at_most, at_least };

struct figure {
    std::string name;
    double value = 0;
    std::string unit;
    double target = 0;
    goal direction = goal::at_most;
};

double rounded(double value) {
    constexpr double digits = 1e4;
    return std::round(value * digits) / digits;
}

void print(const std::string& prefix, const std::string& design,
           const figure& entry) {
    const bool met = entry.direction == goal::at_most
                         ? entry.value <= entry.target
                         : entry.value >= entry.target;
    nlohmann::ordered_json line;
    line["name"] = prefix + "/" + entry.name;
    line["design"] = design;
    line["value"] = rounded(entry.value);
    line["unit"] = entry.unit;
    line["target"] = rounded(entry.target);
    line["met"] = met;
    std::cout << line.dump() << '\n';
}

std::vector<figure> gap_figures(const workload& load, const measured& run) {
    constexpr double bound = 1;
    constexpr double debt = 5;
    const double target = bound + run.largest_request;
    if (load.partition_from) {
        return {{"gap_before_partition", run.gap, "s", target},
                {"gap_after_healing", run.gap_after_heal, "s", debt},
                {"gap_10_s_after_healing", run.gap_settled, "s", target}};
    }
    return {{"fairness_gap", run.gap, "s", target}};
}

std::vector<figure> figures_of(const workload& load, const measured& run,
                               const bench_options& options) {
    std::vector<figure> result = gap_figures(load, run);
    if (load.newcomer_at) {
        result.push_back(
            {"newcomer_to_90_percent", run.newcomer_seconds, "s", 5});
    }
    if (!load.partition_from) {
        result.push_back(
            {"utilisation", run.utilisation, "ratio", 0.97, goal::at_least});
    }
    result.push_back(
        {"control_bytes_per_node", run.bytes_per_second, "B/s", 12000});
    result.push_back({"unused_grants", run.unused_share, "ratio", 0.05});
    result.push_back({"alarms", static_cast<double>(run.alarms), "count",
                      run.breached ? 1e9 : 0});
    result.push_back(
        {"false_alarms", static_cast<double>(run.false_alarms), "count", 0});
    if (run.alarm_delay) {
        // Neither side of a partition can see the other's counters.
        const double unseen =
            load.partition_from ? *load.partition_to - *load.partition_from : 0;
        result.push_back({"alarm_delay", *run.alarm_delay, "s", 10 + unseen});
    }
    if (options.timing) {
        constexpr double us = 1e6;
        result.push_back(
            {"decision_time_per_call",
             run.decision_seconds * us / static_cast<double>(run.started), "us",
             100});
    }
    return result;
}

void run_all(const bench_options& options) {
    std::vector<std::size_t> sizes{20, 12};
    if (options.replicas > 0) {
        sizes = {options.replicas};
    }
    for (const std::size_t replicas : sizes) {
        for (const workload& load : all_workloads()) {
            if (!options.workload.empty() && load.name != options.workload) {
                continue;
            }
            for (const design& chosen : all_designs()) {
                if (!options.design.empty() && chosen.name != options.design) {
                    continue;
                }
                fleet model({.replicas = replicas, .detection = load.detection},
                            load, chosen, options.seed);
                const measured run = model.run();
                const std::string prefix =
                    load.name + "/" + std::to_string(replicas);
                for (const figure& entry : figures_of(load, run, options)) {
                    print(prefix, chosen.name, entry);
                }
            }
        }
    }
}

template <class Number>
bool parse(std::string_view text, Number& number) {
    const std::string digits(text);
    const char* end = digits.c_str() + digits.size();
    return std::from_chars(digits.c_str(), end, number).ptr == end;
}

bool parse_option(std::string_view argument, bench_options& options) {
    const auto value_of = [&](std::string_view name) {
        return argument.starts_with(name) ? argument.substr(name.size())
                                          : std::string_view();
    };
    if (argument == "--timing") {
        options.timing = true;
        return true;
    }
    if (argument == "--slopes") {
        options.slopes = true;
        return true;
    }
    if (const auto value = value_of("--seed="); !value.empty()) {
        return parse(value, options.seed);
    }
    if (const auto value = value_of("--replicas="); !value.empty()) {
        return parse(value, options.replicas);
    }
    if (const auto value = value_of("--design="); !value.empty()) {
        options.design = value;
        return true;
    }
    if (const auto value = value_of("--workload="); !value.empty()) {
        options.workload = value;
        return true;
    }
    return false;
}

}  // namespace

int run(std::span<char*> arguments) {
    bench_options options;
    for (const char* argument : arguments) {
        if (!parse_option(argument, options)) {
            std::cerr << "usage: fairness_bench [--slopes] [--seed=N] "
                         "[--timing] [--replicas=N] [--design=NAME] "
                         "[--workload=NAME]\n";
            return 2;
        }
    }
    if (options.slopes) {
        print_slopes();
    } else {
        run_all(options);
    }
    return 0;
}

}  // namespace bronzehub::bench

int main(int argc, char** argv) {
    return bronzehub::bench::run(
        std::span(argv, static_cast<std::size_t>(argc)).subspan(1));
}
