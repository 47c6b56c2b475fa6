// Slopes of the configuration and the claims for the capacity page: time to
// apply a change, size of a snapshot, memory per organisation, size of a
// change and of a claim row, at three sizes. Prints one JSON line a figure.
#include <malloc.h>

#include <array>
#include <chrono>
#include <cstdio>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "base/hash.hpp"
#include "claims/claim_row.hpp"
#include "configuration/change.hpp"
#include "configuration/snapshot.hpp"

namespace {

namespace base = bronzehub::base;
namespace claims = bronzehub::claims;
namespace configuration = bronzehub::configuration;
using configuration::fleet_configuration;

constexpr std::array<std::size_t, 3> sizes{900, 2700, 8100};
constexpr int repetitions = 20;

struct point {
    double size = 0;
    double value = 0;
};

struct line_fit {
    double slope = 0;
    double intercept = 0;
};

line_fit fit(const std::vector<point>& points) {
    double x = 0;
    double y = 0;
    for (const point& each : points) {
        x += each.size;
        y += each.value;
    }
    x /= static_cast<double>(points.size());
    y /= static_cast<double>(points.size());
    double covariance = 0;
    double variance = 0;
    for (const point& each : points) {
        covariance += (each.size - x) * (each.value - y);
        variance += (each.size - x) * (each.size - x);
    }
    const double slope = covariance / variance;
    return {slope, y - slope * x};
}

void print(const std::string& name, const std::string& unit,
           const std::vector<point>& points) {
    nlohmann::ordered_json line;
    line["name"] = "slopes/" + name;
    line["unit"] = unit;
    line["points"] = nlohmann::json::array();
    for (const point& each : points) {
        line["points"].push_back({each.size, each.value});
    }
    const line_fit result = fit(points);
    line["slope"] = result.slope;
    line["intercept"] = result.intercept;
    std::printf("%s\n", line.dump().c_str());
}

void print_value(const std::string& name, double value,
                 const std::string& unit) {
    nlohmann::ordered_json line{{"name", name},      {"design", "bronzehub"},
                                {"value", value},    {"unit", unit},
                                {"target", nullptr}, {"met", nullptr}};
    std::printf("%s\n", line.dump().c_str());
}

configuration::organisation make_organisation(std::uint32_t number) {
    configuration::organisation owner;
    owner.id = base::organisation_id(number);
    owner.name = "organisation-" + std::to_string(number);
    for (const char* key : {"first", "second"}) {
        owner.keys.push_back({key, base::sha256_hex(owner.name + key), false});
    }
    return owner;
}

fleet_configuration make_configuration(std::size_t organisations) {
    fleet_configuration value;
    value.version = 1;
    for (std::uint32_t i = 1; i <= organisations; ++i) {
        value.organisations.push_back(make_organisation(i));
    }
    value.next.organisation =
        base::organisation_id(static_cast<std::uint32_t>(organisations) + 1);
    return value;
}

double allocated_bytes() {
    return static_cast<double>(mallinfo2().uordblks);
}

double microseconds_each(const std::function<void()>& run) {
    const auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < repetitions; ++i) {
        run();
    }
    const std::chrono::duration<double, std::micro> taken =
        std::chrono::steady_clock::now() - start;
    return taken.count() / repetitions;
}

configuration::configuration_change make_change() {
    configuration::organisation changed = make_organisation(7);
    changed.keys.clear();
    changed.default_weight = 2;
    return {2,
            "host-1-1700000000000-1",
            {configuration::updated<configuration::organisation>{changed}}};
}

void measure_claims() {
    claims::claim_row row;
    row.attempt = "host-1-1700000000000-1";
    row.host = "host-1";
    row.incarnation = 1700000000000;
    row.body_digest = base::sha256_hex("body");
    row.state = claims::claim_state::done;
    row.response =
        claims::stored_response{200, "application/json",
                                claims::encode_body(std::string(120, 'x')), ""};
    print_value("claims/row_size",
                static_cast<double>(claims::write_claim_row(row).size()), "B");
    print_value("claims/writes_per_keyed_call", 2, "writes");
}

}  // namespace

int main() {
    std::vector<point> apply_time;
    std::vector<point> load_time;
    std::vector<point> text_size;
    std::vector<point> memory;
    const auto change = make_change();
    for (const std::size_t size : sizes) {
        const auto x = static_cast<double>(size);
        const double before = allocated_bytes();
        const auto snapshot =
            std::make_unique<configuration::configuration_snapshot>(
                make_configuration(size));
        memory.push_back({x, allocated_bytes() - before});
        const auto& value = snapshot->value();
        apply_time.push_back(
            {x, microseconds_each([&] {
                 const configuration::configuration_snapshot next(
                     *configuration::apply(value, change));
             })});
        const std::string text = configuration::write_configuration(value);
        text_size.push_back({x, static_cast<double>(text.size())});
        load_time.push_back({x, microseconds_each([&] {
                                 (void)configuration::read_configuration(text);
                             })});
    }
    print("configuration/apply_change_time", "us", apply_time);
    print("configuration/read_snapshot_time", "us", load_time);
    print("configuration/snapshot_size", "B", text_size);
    print("configuration/snapshot_memory", "B", memory);
    print_value("configuration/change_size",
                static_cast<double>(configuration::write_change(change).size()),
                "B");
    measure_claims();
    return 0;
}
