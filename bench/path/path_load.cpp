// Measures what a path adds to small requests: latency at a fixed rate and the
// highest rate, first directly to a server, then through another address.
// Prints one JSON line for each figure.
#include <docopt.h>

#include <cmath>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "load.hpp"

namespace bronzehub::bench {
namespace {

using command_line = std::map<std::string, docopt::value>;

constexpr const char* usage =
    R"(Measures latency and rate of small requests over loopback.

Usage:
  path_load --direct=<address> [--through=<address>] [options]
  path_load --help

Options:
  --direct=<address>     Server without the measured path, as ip:port.
  --through=<address>    The measured path, as ip:port.
  --direct-path=<path>   Request target for the server [default: /].
  --through-path=<path>  Request target for the path [default: /].
  --key=<key>            Bearer key for the path.
  --method=<method>      Request method [default: GET].
  --body=<text>          Request body.
  --rate=<n>             Requests per second for latency [default: 100].
  --seconds=<s>          Length of each of the runs [default: 5].
  --connections=<n>      Keep-alive connections [default: 16].
  --design=<name>        Value of "design" in the lines [default: bronzehub].
  --help                 Show this text.
)";

// Bounds of one run, so that a mistyped option cannot load the machine.
constexpr double max_rate = 20'000;
constexpr int max_seconds = 60;
constexpr int max_connections = 256;

// Targets from the design page, section 1.3.
constexpr double max_added_milliseconds = 1;
constexpr double min_requests_per_second = 1000;

struct settings {
    load_target direct;
    std::optional<load_target> through;
    double rate = 0;
    std::chrono::seconds time{};
    std::size_t connections = 0;
    std::string design;
};

asio::ip::tcp::endpoint parse_address(const std::string& text) {
    const std::size_t colon = text.rfind(':');
    int port = 0;
    if (colon == std::string::npos ||
        !absl::SimpleAtoi(text.substr(colon + 1), &port) || port <= 0 ||
        port > 65535) {
        throw std::invalid_argument("expected ip:port, found " + text);
    }
    const auto address = asio::ip::make_address(text.substr(0, colon));
    if (!address.is_loopback()) {
        throw std::invalid_argument("not a loopback address: " + text);
    }
    return {address, static_cast<std::uint16_t>(port)};
}

template <class Number>
Number parse_number(const command_line& options, const std::string& name,
                    Number limit) {
    const double value = std::stod(options.at(name).asString());
    if (!(value > 0) || value > static_cast<double>(limit)) {
        throw std::invalid_argument(
            absl::StrCat(name, " must be above 0 and at most ", limit));
    }
    return static_cast<Number>(value);
}

load_target make_target(const command_line& options, const std::string& address,
                        const std::string& path, const std::string& key) {
    const std::string body =
        options.at("--body") ? options.at("--body").asString() : "";
    load_target target{parse_address(address), {}};
    target.request = absl::StrCat(options.at("--method").asString(), " ", path,
                                  " HTTP/1.1\r\nHost: ", address, "\r\n");
    if (!key.empty()) {
        absl::StrAppend(&target.request, "Authorization: Bearer ", key, "\r\n");
    }
    absl::StrAppend(&target.request, "Content-Length: ", body.size(),
                    "\r\n\r\n", body);
    return target;
}

settings parse(const command_line& options) {
    settings result;
    const std::string key =
        options.at("--key") ? options.at("--key").asString() : "";
    result.direct = make_target(options, options.at("--direct").asString(),
                                options.at("--direct-path").asString(), "");
    if (options.at("--through")) {
        result.through =
            make_target(options, options.at("--through").asString(),
                        options.at("--through-path").asString(), key);
    }
    result.rate = parse_number(options, "--rate", max_rate);
    result.time =
        std::chrono::seconds(parse_number(options, "--seconds", max_seconds));
    result.connections = static_cast<std::size_t>(
        parse_number(options, "--connections", max_connections));
    result.design = options.at("--design").asString();
    return result;
}

// Prints figures under one design.
class reporter {
public:
    explicit reporter(std::string design) : design_(std::move(design)) {}

    void figure(const std::string& name, double value,
                const std::string& unit) const {
        print(name, value, unit, nullptr, nullptr);
    }

    void at_most(const std::string& name, double value, const std::string& unit,
                 double target) const {
        print(name, value, unit, target, value <= target);
    }

    void at_least(const std::string& name, double value,
                  const std::string& unit, double target) const {
        print(name, value, unit, target, value >= target);
    }

private:
    void print(const std::string& name, double value, const std::string& unit,
               const nlohmann::ordered_json& target,
               const nlohmann::ordered_json& met) const {
        constexpr double precision = 1000;
        const nlohmann::ordered_json line{
            {"name", name},
            {"design", design_},
            {"value", std::round(value * precision) / precision},
            {"unit", unit},
            {"target", target},
            {"met", met}};
        std::cout << line.dump() << std::endl;
    }

    std::string design_;
};

struct measured {
    load_result at_rate;
    load_result at_most;
};

measured measure(const settings& run, const load_target& target,
                 const std::string& name, const reporter& report) {
    constexpr auto warm_up = std::chrono::milliseconds(500);
    run_load(target, {run.connections, warm_up, 0});
    measured result;
    result.at_rate = run_load(target, {run.connections, run.time, run.rate});
    result.at_most = run_load(target, {run.connections, run.time, 0});
    report.figure("path_" + name + "_latency_median",
                  result.at_rate.quantile(0.5), "ms");
    report.figure("path_" + name + "_latency_p95",
                  result.at_rate.quantile(0.95), "ms");
    report.at_most(
        "path_" + name + "_failures",
        static_cast<double>(result.at_rate.failures + result.at_most.failures),
        "requests", 0);
    return result;
}

void run(const settings& wanted) {
    const reporter report(wanted.design);
    const measured direct = measure(wanted, wanted.direct, "direct", report);
    report.figure("path_direct_rate", direct.at_most.completed_per_second(),
                  "requests/s");
    if (!wanted.through) {
        return;
    }
    const measured through =
        measure(wanted, *wanted.through, "through", report);
    report.at_least("path_through_rate", through.at_most.completed_per_second(),
                    "requests/s", min_requests_per_second);
    report.at_most("path_added_latency_median",
                   through.at_rate.quantile(0.5) - direct.at_rate.quantile(0.5),
                   "ms", max_added_milliseconds);
    report.figure(
        "path_added_latency_p95",
        through.at_rate.quantile(0.95) - direct.at_rate.quantile(0.95), "ms");
}

}  // namespace
}  // namespace bronzehub::bench

int main(int argc, char** argv) {
    const auto options =
        docopt::docopt(bronzehub::bench::usage, {argv + 1, argv + argc}, true);
    try {
        bronzehub::bench::run(bronzehub::bench::parse(options));
        return 0;
    } catch (const std::exception& error) {
        std::cerr << "path_load: " << error.what() << '\n';
        return 2;
    }
}
