#include "slopes.hpp"

#include <malloc.h>

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "dispatch/dispatcher.hpp"
#include "dispatch/entry_dispatch.hpp"
#include "protocol/codec.hpp"

namespace bronzehub::bench {
namespace {

constexpr base::service_id service(1);

struct point {
    double size = 0;
    double value = 0;
};

struct line {
    double slope = 0;
    double intercept = 0;
    double correlation = 0;  // Squared.
};

line fit(const std::vector<point>& points) {
    const auto n = static_cast<double>(points.size());
    double x = 0;
    double y = 0;
    double xx = 0;
    double xy = 0;
    double yy = 0;
    for (const point& p : points) {
        x += p.size;
        y += p.value;
        xx += p.size * p.size;
        xy += p.size * p.value;
        yy += p.value * p.value;
    }
    const double covariance = n * xy - x * y;
    const double spread_x = n * xx - x * x;
    const double spread_y = n * yy - y * y;
    const double slope = covariance / spread_x;
    const double correlation =
        spread_y > 0 ? covariance * covariance / (spread_x * spread_y) : 1;
    return {.slope = slope,
            .intercept = (y - slope * x) / n,
            .correlation = correlation};
}

void print(const std::string& name, const std::string& unit,
           const std::vector<point>& points) {
    nlohmann::ordered_json out;
    out["name"] = "slopes/" + name;
    out["unit"] = unit;
    for (const point& p : points) {
        out["points"].push_back({p.size, p.value});
    }
    const line fitted = fit(points);
    out["slope"] = fitted.slope;
    out["intercept"] = fitted.intercept;
    out["r2"] = fitted.correlation;
    std::cout << out.dump() << '\n';
}

double heap_bytes() {
    return static_cast<double>(mallinfo2().uordblks);
}

double microseconds(const std::function<void()>& run, std::size_t times) {
    const auto start = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < times; ++i) {
        run();
    }
    const std::chrono::duration<double, std::micro> spent =
        std::chrono::steady_clock::now() - start;
    return spent.count() / static_cast<double>(times);
}

struct scale {
    std::size_t organisations = 810;
    std::size_t hosts = 8;
    std::size_t replicas = 8;
    std::size_t hosts_per_organisation = 8;
};

// One dispatcher under full backlog: every tenth organisation waits.
class loaded_dispatcher {
public:
    explicit loaded_dispatcher(const scale& size)
        : heap_before_(heap_bytes()),
          size_(size),
          decide_({.host = "h0", .failure_domain = "d0"}, time_.view(),
                  [this](const base::host_id& host,
                         const protocol::slot_grant& grant) {
                      grants_.emplace_back(host, grant);
                  }) {
        connect();
        for (std::size_t i = 0; i < size_.hosts; ++i) {
            decide_.on_usage_report(from(i), report(i, true));
        }
        announce();
        decide_.set_backend_servers(servers());
        decide_.tick();
    }

    double heap() const { return heap_bytes() - heap_before_; }

    // One grant cycle: a release and the grant that follows.
    void cycle() {
        time_.advance(std::chrono::milliseconds(10));
        const auto [host, grant] = grants_.front();
        grants_.pop_front();
        decide_.on_release({.host = host, .incarnation = 1},
                           {.grant_id = grant.grant_id,
                            .term = grant.term,
                            .backend_server = grant.backend_server,
                            .reason = protocol::release_reason::completed,
                            .served = 100,
                            .duration_ms = 2000});
        if (++cycles_ % waiting_per_row == 0) {
            announce();
        }
    }

    void merge_report() {
        const std::size_t host = reports_++ % size_.hosts;
        decide_.on_usage_report(from(host), report(host, false));
    }

    std::size_t rows_per_report() const { return report(0, false).rows.size(); }

private:
    static constexpr std::uint32_t waiting_per_row = 200;

    protocol::sender from(std::size_t host) {
        return {.host = "h" + std::to_string(host),
                .incarnation = 1,
                .sequence = ++sequence_};
    }

    void connect() {
        std::vector<dispatch::live_host> hosts;
        hosts.reserve(size_.hosts);
        for (std::size_t i = 0; i < size_.hosts; ++i) {
            hosts.push_back({"h" + std::to_string(i), "d0"});
        }
        decide_.set_live_hosts(hosts);
        for (std::size_t i = 0; i < size_.hosts; ++i) {
            decide_.on_inventory(from(i), {});
        }
    }

    std::vector<dispatch::dispatched_server> servers() const {
        std::vector<dispatch::dispatched_server> result;
        result.reserve(size_.replicas);
        for (std::size_t i = 0; i < size_.replicas; ++i) {
            result.push_back({.id = base::backend_server_id(
                                  static_cast<std::uint32_t>(i + 1)),
                              .service = service,
                              .slots = 16});
        }
        return result;
    }

    bool uses(std::size_t organisation, std::size_t host) const {
        return (organisation + host) % size_.hosts <
               size_.hosts_per_organisation;
    }

    protocol::usage_report report(std::size_t host, bool complete) const {
        protocol::usage_report result{.complete = complete, .rows = {}};
        for (std::size_t i = 0; i < size_.organisations; ++i) {
            if (uses(i, host) && (complete || i % 10 == 0)) {
                result.rows.push_back(
                    {.service = service.value(),
                     .organisation = static_cast<std::uint32_t>(i),
                     .served_total = 10.0 * static_cast<double>(reports_),
                     .running = 1,
                     .expected_remainder = 100,
                     .waiting = i % 10 == 0 ? waiting_per_row : 0});
            }
        }
        return result;
    }

    void announce() {
        for (std::size_t host = 0; host < size_.hosts; ++host) {
            protocol::work_announcement all;
            for (std::size_t i = 0; i < size_.organisations; i += 10) {
                if (uses(i, host)) {
                    all.rows.push_back(
                        {.service = service.value(),
                         .organisation = static_cast<std::uint32_t>(i),
                         .waiting = waiting_per_row});
                }
            }
            decide_.on_announcement(from(host), all);
        }
    }

    double heap_before_;
    scale size_;
    base::paused_clock time_;
    std::deque<std::pair<base::host_id, protocol::slot_grant>> grants_;
    std::uint64_t sequence_ = 0;
    std::size_t reports_ = 0;
    std::size_t cycles_ = 0;
    dispatch::dispatcher decide_;
};

void measure(const std::string& against, const std::vector<double>& sizes,
             const std::function<scale(double)>& at) {
    constexpr std::size_t cycles = 4000;
    std::vector<point> decision;
    std::vector<point> merge;
    std::vector<point> memory;
    for (const double size : sizes) {
        loaded_dispatcher loaded(at(size));
        memory.push_back({size, loaded.heap()});
        decision.push_back(
            {size, microseconds([&] { loaded.cycle(); }, cycles)});
        const double report = microseconds([&] { loaded.merge_report(); }, 200);
        merge.push_back(
            {size, report / static_cast<double>(loaded.rows_per_report())});
    }
    print(against + "/grant_cycle_time", "us", decision);
    print(against + "/usage_row_merge_time", "us", merge);
    print(against + "/dispatcher_memory", "B", memory);
}

double size_of(protocol::body body) {
    constexpr double framing = 9;
    return framing + static_cast<double>(
                         protocol::encode({.from = {.host = "host-0123",
                                                    .incarnation = 1700000000,
                                                    .sequence = 100000},
                                           .content = std::move(body)})
                             .size());
}

void print_bytes() {
    std::vector<point> usage;
    for (const std::size_t rows : {1, 10, 100}) {
        protocol::usage_report report;
        for (std::size_t i = 0; i < rows; ++i) {
            report.rows.push_back(
                {.service = 7,
                 .organisation = static_cast<std::uint32_t>(1000 + i),
                 .served_total = 123456.5,
                 .running = 12,
                 .expected_remainder = 2345.5,
                 .waiting = 40});
        }
        usage.push_back({static_cast<double>(rows), size_of(report)});
    }
    print("usage_rows/report_size", "B", usage);
    std::vector<point> cycle;
    const double once = size_of(protocol::slot_grant{.grant_id = 123456,
                                                     .term = 0xdeadbe01,
                                                     .backend_server = 3000,
                                                     .service = 7,
                                                     .organisation = 4000}) +
                        size_of(protocol::grant_release{
                            .grant_id = 123456,
                            .term = 0xdeadbe01,
                            .backend_server = 3000,
                            .reason = protocol::release_reason::completed,
                            .served = 432.1,
                            .first_byte_ms = 321,
                            .duration_ms = 4321,
                            .output_units = 400});
    for (const double calls : {1.0, 10.0, 100.0}) {
        cycle.push_back({calls, calls * once});
    }
    print("grant_cycles/grant_and_release_size", "B", cycle);
}

}  // namespace

void print_slopes() {
    measure("organisations", {900, 2700, 8100}, [](double size) {
        return scale{.organisations = static_cast<std::size_t>(size)};
    });
    measure("entry_daemons", {8, 70, 210, 420}, [](double size) {
        return scale{.organisations = 810,
                     .hosts = static_cast<std::size_t>(size)};
    });
    measure("replicas", {8, 50, 200}, [](double size) {
        return scale{.replicas = static_cast<std::size_t>(size)};
    });
    print_bytes();
}

}  // namespace bronzehub::bench
