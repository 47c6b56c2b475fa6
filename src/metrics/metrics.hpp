// Counters, gauges and distributions, and their Prometheus text form.
//
// Use it for figures that operators read. Creating a series takes a lock and
// allocates; keep the returned reference, whose updates are cheap.
//
// Example:
//   registry figures;
//   counter& calls = figures.add_counter("calls_total", "Calls received.",
//                                        {{"service", "plain"}});
//   calls.increment();
//   std::string page = figures.to_prometheus_text();
#ifndef BRONZEHUB_METRICS_METRICS_HPP
#define BRONZEHUB_METRICS_METRICS_HPP

#include <array>
#include <atomic>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace bronzehub::metrics {

// A total that only grows. Thread-safe and lock-free.
class counter {
public:
    void increment(std::uint64_t by = 1) {
        value_.fetch_add(by, std::memory_order_relaxed);
    }
    std::uint64_t value() const {
        return value_.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::uint64_t> value_ = 0;
};

// A value that rises and falls. Thread-safe and lock-free.
class gauge {
public:
    void set(double value) { value_.store(value, std::memory_order_relaxed); }
    void add(double by) { value_.fetch_add(by, std::memory_order_relaxed); }
    double value() const { return value_.load(std::memory_order_relaxed); }

private:
    std::atomic<double> value_ = 0;
};

// Count, sum and quantiles of the samples since the start. Thread-safe by a
// lock that is held for a few comparisons.
//
// The quantiles are estimated by the P-square algorithm in constant memory.
// Up to `exact_samples` samples they are exact (nearest rank), because the
// algorithm has no estimate before it has filled its markers.
class distribution {
public:
    static constexpr std::array quantiles{0.5, 0.95, 0.99};
    static constexpr std::size_t exact_samples = 2 * quantiles.size() + 3;

    struct summary {
        std::uint64_t count = 0;
        double sum = 0;
        // In the order of `quantiles`; zero without samples.
        std::array<double, quantiles.size()> values{};
    };

    distribution();

    void record(double sample);
    summary read() const;

private:
    using accumulator = boost::accumulators::accumulator_set<
        double, boost::accumulators::stats<
                    boost::accumulators::tag::sum,
                    boost::accumulators::tag::extended_p_square>>;

    mutable std::mutex mutex_;
    accumulator samples_;
    std::array<double, exact_samples> first_{};
};

struct label {
    std::string name;
    std::string value;
};
using labels = std::vector<label>;

// Owns series by name and labels. Thread-safe. References stay valid for the
// registry's life, and the same name and labels give the same series.
//
// Names follow Prometheus' rules and keep one type and one help text each;
// another type under a known name is a broken invariant and terminates.
class registry {
public:
    counter& add_counter(std::string_view name, std::string_view help,
                         const labels& with = {});
    gauge& add_gauge(std::string_view name, std::string_view help,
                     const labels& with = {});
    distribution& add_distribution(std::string_view name, std::string_view help,
                                   const labels& with = {});

    // A gauge whose value is read when the page is made. `read` is called with
    // the registry locked, from any thread, and must not call the registry.
    void add_gauge_callback(std::string_view name, std::string_view help,
                            std::function<double()> read,
                            const labels& with = {});

    // The text exposition format 0.0.4, ordered by name and labels.
    // O(number of series).
    std::string to_prometheus_text() const;

private:
    using gauge_callback = std::function<double()>;
    using series = std::variant<counter, gauge, gauge_callback, distribution>;

    struct family {
        std::string help;
        std::string_view type;
        // By label text, without braces.
        std::map<std::string, series> members;
    };

    template <class Series>
    Series& add(std::string_view name, std::string_view help,
                std::string_view type, const labels& with);

    mutable std::mutex mutex_;
    std::map<std::string, family, std::less<>> families_;
};

}  // namespace bronzehub::metrics

#endif
