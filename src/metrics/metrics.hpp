// Counters, gauges and distributions, and their Prometheus text format.
//
// Creating a series takes a lock and allocates. Keep the returned reference,
// whose updates are cheap.
//
// Example:
//   registry metrics_registry;
//   counter& calls = metrics_registry.add_counter(
//       "calls_total", "Calls received.", {{"service", "plain"}});
//   calls.increment();
//   std::string text = metrics_registry.to_prometheus_text();
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

// A total that only increases. Thread-safe and lock-free.
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

// A value that can increase and decrease. Thread-safe and lock-free.
class gauge {
public:
    void set(double value) { value_.store(value, std::memory_order_relaxed); }
    void add(double by) { value_.fetch_add(by, std::memory_order_relaxed); }
    double value() const { return value_.load(std::memory_order_relaxed); }

private:
    std::atomic<double> value_ = 0;
};

// Count, sum and quantiles of all samples since its creation. Thread-safe:
// takes a lock for a short time.
//
// The quantiles are estimated by the P-square algorithm in constant memory. Up
// to `max_exact_samples` samples they are exact (nearest rank), because the
// algorithm has no estimate before it has a sample for each of its markers.
class distribution {
public:
    static constexpr std::array quantiles{0.5, 0.95, 0.99};
    static constexpr std::size_t max_exact_samples = 2 * quantiles.size() + 3;

    struct summary {
        std::uint64_t count = 0;
        double sum = 0;
        // The values of `quantiles`, in the same order; zero without samples.
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
    // The first samples, for exact quantiles.
    std::array<double, max_exact_samples> first_samples_{};
};

// A name and value that tell the series of one metric apart.
struct label {
    std::string name;
    std::string value;
};
using labels = std::vector<label>;

// Owns the series, which are identified by name and labels. Thread-safe. The
// same name and labels give the same series. References are valid for the
// lifetime of the registry.
//
// Names must follow the rules of Prometheus. All series of a name have the same
// type and the help text that was given first; adding a series of another type
// aborts the process.
class registry {
public:
    counter& add_counter(std::string_view name, std::string_view help,
                         const labels& series_labels = {});
    gauge& add_gauge(std::string_view name, std::string_view help,
                     const labels& series_labels = {});
    distribution& add_distribution(std::string_view name, std::string_view help,
                                   const labels& series_labels = {});

    // Adds a gauge whose value is read by `to_prometheus_text`. `read` is
    // called with the registry locked, from any thread, and must not use the
    // registry.
    void add_gauge_callback(std::string_view name, std::string_view help,
                            std::function<double()> read,
                            const labels& series_labels = {});

    // All series in the Prometheus text exposition format 0.0.4, ordered by
    // name and labels. O(number of series).
    std::string to_prometheus_text() const;

private:
    using gauge_callback = std::function<double()>;
    using series = std::variant<counter, gauge, gauge_callback, distribution>;

    // All series of one name.
    struct family {
        std::string help;
        std::string_view type;
        // Series by their labels as formatted, without the braces.
        std::map<std::string, series> series_by_labels;
    };

    template <class Series>
    Series& add(std::string_view name, std::string_view help,
                std::string_view type, const labels& series_labels);

    mutable std::mutex mutex_;
    std::map<std::string, family, std::less<>> families_;
};

}  // namespace bronzehub::metrics

#endif
