#include <catch2/catch.hpp>

#include "capacity/replica_capacity.hpp"

namespace bronzehub::capacity {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::duration target = milliseconds(80);

// A replica of 4 slots, so that one call decides.
struct replica {
    replica() : capacity({{.initial_slots = 4}, {}}, time.view()) {}

    // Runs one call and returns its epoch.
    std::uint64_t run(call_result result,
                      base::duration per_unit = target / 2) {
        const std::uint64_t epoch = capacity.on_granted();
        time.advance(per_unit * 2);
        capacity.on_released({epoch, result, per_unit, per_unit * 2, 2});
        return epoch;
    }

    // Runs one call while the other slots are taken.
    void run_full(base::duration per_unit) {
        const std::uint32_t others = capacity.free() - 1;
        for (std::uint32_t i = 0; i < others; ++i) {
            capacity.on_granted();
        }
        run(call_result::completed, per_unit);
        for (std::uint32_t i = 0; i < others; ++i) {
            capacity.on_released({0, call_result::unused});
        }
    }

    void report(std::uint32_t queued) {
        capacity.on_report({time.now(), queued});
    }

    void eject() {
        for (int i = 0; i < 3; ++i) {
            run(call_result::failed);
        }
        REQUIRE(capacity.state() == health_state::ejected);
    }

    base::paused_clock time;
    replica_capacity capacity;
};

// Guards against slots that grow without need or evidence, or stay too many.
TEST_CASE("slots follow the load report and the time per unit") {
    const auto [queued, full, per_unit, expected] =
        GENERATE(table<int, bool, base::duration, std::uint32_t>({
            {0, true, target / 2, 5},    // Everything allows one more.
            {0, false, target / 2, 4},   // Slots are idle.
            {-1, true, target / 2, 4},   // No report.
            {3, true, target / 2, 3},    // The engine queues.
            {0, true, target * 2, 3},    // Too slow.
            {-1, false, target * 2, 3},  // Too slow without a report.
        }));
    CAPTURE(queued, full, per_unit.count());
    replica tested;
    if (queued >= 0) {
        tested.report(static_cast<std::uint32_t>(queued));
    }

    if (full) {
        tested.run_full(per_unit);
    } else {
        tested.run(call_result::completed, per_unit);
    }

    CHECK(tested.capacity.estimated_slots() == expected);
}

// Guards against a lagging report that is counted for several calls.
TEST_CASE("a report is used once") {
    replica tested;
    tested.report(3);

    tested.run(call_result::completed);
    tested.run(call_result::completed);

    CHECK(tested.capacity.estimated_slots() == 3);
}

// Guards against a report that is judged by calls from before it.
TEST_CASE("calls that ended before a report was taken do not use it") {
    slot_estimator estimator({.initial_slots = 4});
    const base::time_point taken{seconds(10)};
    estimator.on_report({taken, 5});

    estimator.on_call_ended({taken - seconds(2), taken, target / 2, true});
    CHECK(estimator.slots() == 4);

    estimator.on_call_ended({taken, taken + milliseconds(1), target / 2, true});
    CHECK(estimator.slots() == 3);
}

// Guards against a long good time that hides the beginning of a bad one.
TEST_CASE("a slow call lowers the slots at once after many good ones") {
    replica tested;
    for (int i = 0; i < 100; ++i) {
        tested.run(call_result::completed);
    }

    tested.run(call_result::completed, target * 2);

    CHECK(tested.capacity.estimated_slots() == 3);
}

// Guards against an estimate that never rises because calls take longer than
// the interval of the reports.
TEST_CASE("a waiting report is kept until enough calls have ended") {
    slot_estimator estimator({.initial_slots = 8});
    base::time_point now{seconds(10)};

    for (int i = 0; i < 2; ++i) {
        estimator.on_report({now, 0});
        now += seconds(1);
        estimator.on_call_ended({now - seconds(1), now, target / 2, true});
    }

    CHECK(estimator.slots() == 10);
}

// Guards against one burst of slow calls that lowers the slots many times.
TEST_CASE("calls of the larger batch do not lower the slots again") {
    slot_estimator estimator({.initial_slots = 4});
    const base::time_point start{seconds(10)};

    for (int i = 0; i < 4; ++i) {
        estimator.on_call_ended({start, start + seconds(1), target * 3, true});
    }

    CHECK(estimator.slots() == 3);
}

// Guards against a broken replica that fails every caller, and against one
// that a single failure removes.
TEST_CASE("consecutive failures eject and a success between them does not") {
    replica tested;
    tested.run(call_result::failed);
    tested.run(call_result::failed);
    tested.run(call_result::completed);
    tested.run(call_result::failed);
    CHECK(tested.capacity.state() == health_state::healthy);

    tested.run(call_result::failed);
    tested.run(call_result::failed);

    CHECK(tested.capacity.state() == health_state::ejected);
    CHECK(tested.capacity.free() == 0);
}

// Guards against a broken replica that is probed at a high rate, or never.
TEST_CASE("the probe interval doubles up to its limit") {
    replica tested;
    tested.eject();
    for (const int wait : {1, 2, 4, 8, 16, 30, 30}) {
        tested.time.advance(seconds(wait) - milliseconds(1));
        CHECK(tested.capacity.free() == 0);
        tested.time.advance(milliseconds(1));
        REQUIRE(tested.capacity.free() == 1);
        const std::uint64_t epoch = tested.capacity.on_granted();
        CHECK(tested.capacity.free() == 0);
        tested.capacity.on_released({epoch, call_result::failed});
    }
}

// Guards against a replica that is flooded the moment it answers again.
TEST_CASE("slots double with each success until the estimate is reached") {
    replica tested;
    tested.eject();
    tested.time.advance(seconds(1));

    tested.run(call_result::completed);
    CHECK(tested.capacity.state() == health_state::recovering);
    CHECK(tested.capacity.free() == 2);
    tested.run(call_result::completed);
    CHECK(tested.capacity.state() == health_state::healthy);
    CHECK(tested.capacity.free() == 4);
}

// Guards against a recovering replica that needs three more failures.
TEST_CASE("one failure while recovering ejects again") {
    replica tested;
    tested.eject();
    tested.time.advance(seconds(1));
    tested.run(call_result::completed);

    tested.run(call_result::failed);

    CHECK(tested.capacity.state() == health_state::ejected);
    CHECK(tested.capacity.next_probe() == tested.time.now() + seconds(2));
}

// Guards against a late success that readmits a replica, a late failure that
// delays it, and hanging calls that keep a probe from being sent.
TEST_CASE("calls from before an ejection do not count") {
    replica tested;
    const std::uint64_t late = tested.capacity.on_granted();
    const std::uint64_t hanging = tested.capacity.on_granted();
    tested.eject();
    const base::time_point probe = tested.capacity.next_probe();

    tested.capacity.on_released({late, call_result::completed, {}, {}, 1});
    CHECK(tested.capacity.state() == health_state::ejected);
    tested.capacity.on_released({late, call_result::failed});
    CHECK(tested.capacity.next_probe() == probe);

    CHECK(hanging == late);
    tested.time.advance(seconds(1));
    CHECK(tested.capacity.free() == 1);
}

// Guards against new work on a replica that leaves, and against a dispatcher
// that takes over and grants slots which are in use.
TEST_CASE("leaving and inherited calls take slots away") {
    replica tested;
    tested.capacity.set_inherited(3);
    CHECK(tested.capacity.free() == 1);
    tested.capacity.set_inherited(9);
    CHECK(tested.capacity.free() == 0);
    tested.capacity.set_inherited(0);

    tested.capacity.set_leaving(true);
    CHECK(tested.capacity.free() == 0);
}

}  // namespace
}  // namespace bronzehub::capacity
