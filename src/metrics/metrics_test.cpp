#include "metrics/metrics.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <thread>

namespace bronzehub::metrics {
namespace {

// Guards against a text that Prometheus cannot parse because of its order,
// types, escapes or numbers.
TEST_CASE("the metrics are written in the Prometheus text format") {
    registry metrics_registry;
    metrics_registry.add_gauge("waiting", "Waiting\ncalls \\ now.").set(2.5);
    metrics_registry
        .add_counter("calls_total", "Calls.", {{"service", "b\"\\\n"}})
        .increment(3);
    metrics_registry.add_counter("calls_total", "Calls.", {{"service", "a"}});
    metrics_registry.add_gauge_callback("slots", "Slots.", [] { return 1e6; });
    distribution& seconds = metrics_registry.add_distribution(
        "seconds", "Time.", {{"stage", "wait"}});
    for (const double sample : {4.0, 0.5, 3.0, 2.0}) {
        seconds.record(sample);
    }
    CHECK(metrics_registry.to_prometheus_text() ==
          "# HELP calls_total Calls.\n"
          "# TYPE calls_total counter\n"
          "calls_total{service=\"a\"} 0\n"
          "calls_total{service=\"b\\\"\\\\\\n\"} 3\n"
          "# HELP seconds Time.\n"
          "# TYPE seconds summary\n"
          "seconds{stage=\"wait\",quantile=\"0.5\"} 2\n"
          "seconds{stage=\"wait\",quantile=\"0.95\"} 4\n"
          "seconds{stage=\"wait\",quantile=\"0.99\"} 4\n"
          "seconds_sum{stage=\"wait\"} 9.5\n"
          "seconds_count{stage=\"wait\"} 4\n"
          "# HELP slots Slots.\n"
          "# TYPE slots gauge\n"
          "slots 1e+06\n"
          "# HELP waiting Waiting\\ncalls \\\\ now.\n"
          "# TYPE waiting gauge\n"
          "waiting 2.5\n");
}

// Guards against wrong quantiles when there are too many samples to keep.
TEST_CASE("estimated quantiles are close to the true ones") {
    distribution samples;
    constexpr int count = 10'007;
    // The multiplier is coprime to the count, so each value occurs once.
    for (int i = 0; i < count; ++i) {
        samples.record(static_cast<double>(i * 7919LL % count));
    }
    const distribution::summary read = samples.read();
    CHECK(read.count == count);
    for (std::size_t i = 0; i < read.values.size(); ++i) {
        CHECK(read.values[i] ==
              Approx(distribution::quantiles[i] * count).epsilon(0.01));
    }
}

// Guards against two series with the same name and labels in the text.
TEST_CASE("the same name and labels give the same series") {
    registry metrics_registry;
    counter& first = metrics_registry.add_counter("a", "A.", {{"x", "1"}});
    CHECK(&first == &metrics_registry.add_counter("a", "A.", {{"x", "1"}}));
    CHECK(&first != &metrics_registry.add_counter("a", "A.", {{"x", "2"}}));
}

// Guards against updates that are lost when threads update a series at once.
TEST_CASE("updates from several threads all count") {
    registry metrics_registry;
    counter& total = metrics_registry.add_counter("total", "T.");
    gauge& level = metrics_registry.add_gauge("level", "L.");
    distribution& samples = metrics_registry.add_distribution("samples", "S.");
    constexpr int thread_count = 4;
    std::vector<std::thread> threads;
    threads.reserve(thread_count);
    for (int thread = 0; thread < thread_count; ++thread) {
        threads.emplace_back([&] {
            for (int i = 0; i < 1000; ++i) {
                total.increment();
                level.add(1);
                samples.record(1);
            }
        });
    }
    std::ranges::for_each(threads, &std::thread::join);
    CHECK(total.value() == 4000);
    CHECK(level.value() == 4000);
    CHECK(samples.read().sum == 4000);
}

}  // namespace
}  // namespace bronzehub::metrics
