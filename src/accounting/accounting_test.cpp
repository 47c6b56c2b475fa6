#include <catch2/catch.hpp>

#include "accounting/cost.hpp"
#include "accounting/cost_estimator.hpp"
#include "accounting/usage_counters.hpp"
#include "accounting/usage_merge.hpp"

namespace bronzehub::accounting {
namespace {

constexpr work_key key{.service = base::service_id(1),
                       .organisation = base::organisation_id(2)};

protocol::usage_report report_of(bool complete, double total,
                                 double remainder = 0) {
    return {.complete = complete,
            .rows = {{.service = 1,
                      .organisation = 2,
                      .served_total = total,
                      .expected_remainder = remainder}}};
}

struct merged_total {
    usage_merge merge;
    double served = 0;
    double remainder = 0;

    void apply(std::uint64_t incarnation, std::uint64_t sequence,
               const protocol::usage_report& report) {
        merge.merge(
            {.host = "a", .incarnation = incarnation, .sequence = sequence},
            report, [this](const usage_change& change) {
                served += change.served;
                remainder += change.remainder;
            });
    }
};

// Guards against plain calls being charged by tokens.
TEST_CASE("cost follows the rates of the service") {
    CHECK(cost_units({}, 100, 50) == Approx(60));
    CHECK(cost_units(plain_service_rates(), 100, 50) == Approx(1));
}

// Guards against a false hint buying more than a factor of four.
TEST_CASE("a hint moves the estimate by a bounded factor") {
    cost_estimator estimator;
    for (int i = 0; i < 100; ++i) {
        estimator.record(key, 0, 0, 100);
    }
    const auto [hint, expected] = GENERATE(table<double, double>(
        {{1, 25}, {50, 50}, {1e9, 400}, {-1, 100}, {0, 100}}));
    CHECK(estimator.estimate(key, 0, hint) == Approx(expected).epsilon(0.01));
}

// Guards against long calls being taken for short ones once they outlived
// every short call.
TEST_CASE("what remains grows once a call has outlived the short ones") {
    cost_estimator estimator;
    for (int i = 0; i < 400; ++i) {
        estimator.record(key, 0, 0, i % 20 == 0 ? 2000 : 10);
    }
    CHECK(estimator.estimate(key, 0, std::nullopt) ==
          Approx(109.5).epsilon(0.02));
    CHECK(estimator.expected_remainder(key, 0, std::nullopt, 20) ==
          Approx(1980).epsilon(0.02));
    CHECK(estimator.expected_remainder(key, 0, std::nullopt, 4000) ==
          Approx(1000));
}

// Guards against an estimate from only those long calls that ended early:
// while most still run, a newcomer's history shows the shortest first.
TEST_CASE("long calls count while they still run") {
    cost_estimator estimator;
    for (int i = 0; i < 10; ++i) {
        estimator.advance(key, 0, 0, 2000);
    }
    estimator.record(key, 0, 0, 500);
    CHECK(estimator.estimate(key, 0, std::nullopt) > 1900);
    CHECK(estimator.expected_remainder(key, 0, std::nullopt, 100) > 1700);
}

// Guards against a new organisation being estimated without any knowledge.
TEST_CASE("a new organisation is estimated by its service") {
    cost_estimator estimator(7);
    constexpr work_key other{.service = key.service,
                             .organisation = base::organisation_id(9)};
    CHECK(estimator.estimate(other, 0, std::nullopt) == Approx(7));
    estimator.record(key, 0, 0, 40);
    CHECK(estimator.estimate(other, 0, std::nullopt) == Approx(40));
}

// Guards against reports that repeat unchanged rows every half second.
TEST_CASE("a report carries changed rows only unless it is complete") {
    usage_counters counters;
    counters.at(key).served_total = 5;
    CHECK(counters.take_report(false).rows.size() == 1);
    CHECK(counters.take_report(false).rows.empty());
    CHECK(counters.take_report(true).rows.size() == 1);
}

// Guards against service counted twice or lost when reports are lost,
// repeated or reordered.
TEST_CASE("every unit counts once whatever happens to reports") {
    merged_total all;
    all.apply(1, 1, report_of(true, 0));
    using order = std::vector<std::pair<std::uint64_t, double>>;
    const auto reports = GENERATE(values<order>({{{2, 10}, {3, 20}, {4, 30}},
                                                 {{2, 10}, {2, 10}, {4, 30}},
                                                 {{4, 30}, {2, 10}, {3, 20}},
                                                 {{4, 30}}}));
    for (const auto& [sequence, total] : reports) {
        all.apply(1, sequence, report_of(false, total));
    }
    CHECK(all.served == Approx(30));
}

// Guards against a late report bringing back work that has ended.
TEST_CASE("an older report does not change the running work") {
    merged_total all;
    all.apply(1, 5, report_of(true, 0, 40));
    all.apply(1, 4, report_of(false, 0, 90));
    CHECK(all.remainder == Approx(40));
}

// Guards against a restarted receiver charging all service since the start.
TEST_CASE("the first report of an unknown incarnation is the baseline") {
    merged_total all;
    all.apply(3, 900, report_of(false, 5000));
    CHECK(all.served == 0);
    all.apply(3, 901, report_of(false, 5010));
    CHECK(all.served == Approx(10));
}

// Guards against a restarted sender whose totals start again at zero, and
// against reports of its former life that arrive late.
TEST_CASE("a restarted sender starts again and its old reports are ignored") {
    merged_total all;
    all.apply(1, 1, report_of(true, 0));
    all.apply(1, 2, report_of(false, 100, 50));
    all.apply(2, 1, report_of(true, 0));
    all.apply(1, 3, report_of(false, 900, 50));
    all.apply(2, 2, report_of(false, 7));
    CHECK(all.served == Approx(107));
    CHECK(all.remainder == Approx(0));
}

// Guards against running work of a dead host that counts forever.
TEST_CASE("a dead host's running work is dropped and its totals kept") {
    merged_total all;
    all.apply(1, 1, report_of(true, 100, 60));
    all.merge.drop_running("a", [&](const usage_change& change) {
        all.remainder += change.remainder;
    });
    all.apply(1, 2, report_of(false, 130, 20));
    CHECK(all.served == Approx(30));
    CHECK(all.remainder == Approx(20));
}

}  // namespace
}  // namespace bronzehub::accounting
