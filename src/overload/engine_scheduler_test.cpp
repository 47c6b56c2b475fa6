#include "overload/engine_scheduler.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <vector>

namespace {

using namespace std::chrono_literals;
using bronzehub::base::duration;
using bronzehub::base::paused_clock;
using bronzehub::overload::engine_decision;
using bronzehub::overload::engine_scheduler;
using bronzehub::overload::scheduled_request;
using bronzehub::overload::scheduled_request_id;
using bronzehub::overload::scheduler_callbacks;

// One engine's schedule with what its hooks were told.
struct bench {
    explicit bench(bronzehub::overload::engine_capacity options)
        : tested(options, fleet, time.view(),
                 scheduler_callbacks{
                     [this](const scheduled_request_id& id) {
                         granted.push_back(id.number);
                     },
                     [this](const scheduled_request_id& id, duration retry) {
                         refused.push_back(id.number);
                         last_retry = retry;
                     }}) {}

    scheduled_request work(std::uint64_t number,
                           const std::string& organisation,
                           duration patience = 100ms) const {
        scheduled_request result;
        result.id = {"host/1", number};
        result.organisation = organisation;
        result.cost = 1000;
        result.own_tokens = 500;
        result.output_tokens = 250;
        result.start_deadline = time.now() + patience;
        return result;
    }

    paused_clock time;
    bronzehub::overload::fleet_shares fleet{time.view()};
    std::vector<std::uint64_t> granted;
    std::vector<std::uint64_t> refused;
    duration last_retry{};
    engine_scheduler tested;
};

}  // namespace

// Load pattern: more requests than slots. Guards against a request that queues
// inside the engine, where nothing can be put before it.
TEST_CASE("work beyond the slots waits and starts when one is free") {
    bench engine({.slots = 2});
    CHECK(engine.tested.submit(engine.work(1, "a")) ==
          engine_decision::granted);
    CHECK(engine.tested.submit(engine.work(2, "a")) ==
          engine_decision::granted);
    CHECK(engine.tested.submit(engine.work(3, "a")) ==
          engine_decision::waiting);
    CHECK(engine.tested.submit(engine.work(3, "a")) ==
          engine_decision::waiting);
    engine.tested.release({"host/1", 1});
    CHECK(engine.granted == std::vector<std::uint64_t>{3});
    CHECK(engine.tested.running() == 2);
}

// Load pattern: one organisation asks at every moment, the callers of another
// all come through one host without time, so that their requests reach the
// schedule with little time left. Guards against a fair order that the second
// one never gets a place in.
TEST_CASE("an organisation short of its share waits longer for its turn") {
    bench engine({.slots = 1});
    std::uint64_t next = 1;
    std::map<std::uint64_t, std::string> owners;
    std::map<std::string, int> served;
    const auto submit = [&](const std::string& organisation, duration patience,
                            duration more) {
        auto work = engine.work(next, organisation, patience);
        work.extended_start_deadline = work.start_deadline + more;
        owners[next] = organisation;
        if (engine.tested.submit(work) == engine_decision::granted) {
            engine.granted.push_back(next);
        }
        ++next;
    };
    submit("flood", 100ms, 0ms);
    for (int release = 0; release < 100; ++release) {
        // The slot is free every 60 ms.
        for (int step = 0; step < 6; ++step) {
            submit("flood", 100ms, 100ms);
            if (step % 3 == 0) {
                submit("late", 10ms, 100ms);
            }
            engine.time.advance(10ms);
            engine.tested.tick();
        }
        const std::uint64_t running = engine.granted.back();
        ++served[owners[running]];
        engine.tested.release({"host/1", running});
    }
    CHECK(served["late"] >= served["flood"] / 2);
    CHECK(served["flood"] >= served["late"]);
}

// Guards against a caller that is kept waiting for what can't be in time.
TEST_CASE("work that can't start in time is refused") {
    bench engine({.slots = 1});
    engine.tested.submit(engine.work(1, "a"));
    CHECK(engine.tested.submit(engine.work(2, "a", 50ms)) ==
          engine_decision::waiting);
    auto impatient = engine.work(3, "a");
    impatient.may_wait = false;
    CHECK(engine.tested.submit(impatient) == engine_decision::refused);
    engine.time.advance(60ms);
    engine.tested.tick();
    CHECK(engine.refused == std::vector<std::uint64_t>{2});
    CHECK(engine.last_retry >= 250ms);
}

// Load pattern: one organisation asks for ten times what the others do, twice
// what the engine serves. Guards against its taking the share of the others.
TEST_CASE("a flooding organisation does not take the share of others") {
    bench engine({.slots = 4});
    std::map<std::uint64_t, std::string> owner;
    std::map<std::string, int> asked;
    std::map<std::string, int> served;
    std::vector<std::pair<bronzehub::base::time_point, std::uint64_t>> running;
    std::uint64_t number = 0;
    const auto start = [&](std::uint64_t id) {
        ++served[owner[id]];
        running.emplace_back(engine.time.now() + 100ms, id);
    };
    for (int step = 0; step < 2000; ++step) {
        engine.time.advance(10ms);
        std::erase_if(running, [&](const auto& entry) {
            if (entry.first > engine.time.now()) {
                return false;
            }
            engine.tested.on_first_event({"host/1", entry.second}, 10ms, true);
            engine.tested.release({"host/1", entry.second});
            return true;
        });
        engine.tested.tick();
        std::vector<std::string> arrivals(step % 2 == 0 ? 2 : 1, "flood");
        if (step % 10 == 0) {
            arrivals.push_back("small-1");
        }
        if (step % 10 == 5) {
            arrivals.push_back("small-2");
        }
        for (const auto& organisation : arrivals) {
            ++number;
            owner[number] = organisation;
            ++asked[organisation];
            if (engine.tested.submit(engine.work(number, organisation)) ==
                engine_decision::granted) {
                start(number);
            }
        }
        for (const std::uint64_t id : std::exchange(engine.granted, {})) {
            start(id);
        }
    }
    CHECK(served["small-1"] > 0.9 * asked["small-1"]);
    CHECK(served["small-2"] > 0.9 * asked["small-2"]);
    // No slot is idle while work waits.
    CHECK(served["flood"] + served["small-1"] + served["small-2"] >
          0.95 * 4 * 10 * 20);
}

// Load pattern: long prompts that arrive together. Guards against memory that
// runs out in the middle of streams.
TEST_CASE("granted work fits in the engine's memory") {
    bench engine({.slots = 64, .memory_tokens = 10000});
    auto first = engine.work(1, "a");
    first.shared_segments = {{7, 4000}};
    auto second = engine.work(2, "a");
    second.shared_segments = {{7, 4000}};
    auto third = engine.work(3, "a");
    third.shared_segments = {{8, 4000}};
    CHECK(engine.tested.submit(first) == engine_decision::granted);
    CHECK(engine.tested.submit(second) == engine_decision::granted);
    CHECK(engine.tested.memory_in_use() == 4000 + 2 * 750);
    CHECK(engine.tested.submit(third) == engine_decision::waiting);
    engine.tested.release({"host/1", 1});
    engine.tested.release({"host/1", 2});
    CHECK(engine.granted == std::vector<std::uint64_t>{3});
    engine.tested.release({"host/1", 3});
    CHECK(engine.tested.memory_in_use() == 0);
}

// Guards against slots that leak when a host with running work is lost, and
// against grants that are dropped because a list of running work was older.
TEST_CASE("running work is reconciled with what its host lists") {
    bench engine({.slots = 3});
    engine.tested.submit(engine.work(1, "a"));
    engine.tested.submit(engine.work(2, "a"));
    engine.time.advance(1s);
    engine.tested.submit(engine.work(3, "a"));
    engine.tested.reconcile("host/1", {1}, engine.time.now() - 300ms);
    CHECK(engine.tested.running() == 2);
    CHECK(engine.tested.contains({"host/1", 3}));
    engine.tested.release_host("host/1");
    CHECK(engine.tested.running() == 0);
}

// Load pattern: the work of an organisation meets few engines, on which it is
// served as much as others, while these are served on all engines. Guards
// against an order that contains one engine only.
TEST_CASE("work of the organisation that the fleet served least is next") {
    bench engine({.slots = 1});
    engine.tested.submit(engine.work(1, "few engines"));
    engine.fleet.update(std::vector<bronzehub::overload::organisation_usage>{
        {"all engines", 900000, 300000}, {"few engines", 300000, 50000}});
    engine.tested.submit(engine.work(2, "all engines"));
    engine.tested.submit(engine.work(3, "few engines"));
    engine.tested.release({"host/1", 1});
    CHECK(engine.granted == std::vector<std::uint64_t>{3});
}

// Guards against an organisation far below its share that is told to stay away
// for many seconds, as one engine granted it nothing.
TEST_CASE("an organisation comes back after its backlog of the whole fleet") {
    const auto [asked, granted, low, high] =
        GENERATE(table<double, double, duration, duration>(
            {{300000, 100000, 4s, 4s},
             {300000, 290000, 250ms, 250ms},
             {300000, 1000, 20s, 20s}}));
    bench engine({.slots = 1});
    engine.fleet.update(std::vector<bronzehub::overload::organisation_usage>{
        {"a", asked, granted}, {"b", 900000, 900000}});
    CHECK(engine.tested.retry_after("a") >= low);
    CHECK(engine.tested.retry_after("a") <= high);
}

// Load pattern: an organisation short of its share has work waiting all the
// time. Guards against serving all of it late, the oldest first.
TEST_CASE("work that still starts in time goes before late work of its kind") {
    bench engine({.slots = 1});
    engine.fleet.update(std::vector<bronzehub::overload::organisation_usage>{
        {"a", 300000, 50000}, {"b", 900000, 300000}});
    engine.tested.submit(engine.work(1, "b"));
    auto old = engine.work(2, "a", 50ms);
    old.extended_start_deadline = old.start_deadline + 400ms;
    CHECK(engine.tested.submit(old) == engine_decision::waiting);
    engine.time.advance(100ms);
    engine.tested.tick();
    CHECK(engine.tested.submit(engine.work(3, "a", 50ms)) ==
          engine_decision::waiting);
    engine.tested.release({"host/1", 1});
    engine.tested.release({"host/1", 3});
    CHECK(engine.granted == std::vector<std::uint64_t>{3, 2});
}

// Load pattern: an engine frees a slot less often than a target allows to wait,
// and the requests of an organisation short of its share meet it one by one.
// Guards against refusing each of them on the average wait.
TEST_CASE("work of a short organisation waits for a slot that may come early") {
    const auto [granted_of_a, decision] = GENERATE(
        table<double, engine_decision>({{50000, engine_decision::waiting},
                                        {300000, engine_decision::refused}}));
    bench engine({.slots = 1});
    // A slot is free every 200 ms.
    for (std::uint64_t number = 1; number < 30; ++number) {
        engine.tested.submit(engine.work(number, "b"));
        engine.time.advance(200ms);
        engine.tested.release({"host/1", number});
    }
    engine.tested.submit(engine.work(30, "b"));
    engine.fleet.update(std::vector<bronzehub::overload::organisation_usage>{
        {"a", 300000, granted_of_a}, {"b", 900000, 300000}});
    CHECK(engine.tested.submit(engine.work(31, "a", 100ms)) == decision);
}

// Load pattern: the organisation that asks most finds every slot as it gets
// free. Guards against work of others that is refused at a full engine.
TEST_CASE("an organisation above its share leaves room for others") {
    bench engine({.slots = 10});
    engine.fleet.update(std::vector<bronzehub::overload::organisation_usage>{
        {"much", 900000, 300000},
        {"little", 90000, 50000},
        {"b", 900000, 200000}});
    std::uint64_t number = 0;
    while (engine.tested.running() < 8) {
        engine.tested.submit(engine.work(++number, "much"));
    }
    CHECK(engine.tested.submit(engine.work(++number, "much")) ==
          engine_decision::waiting);
    CHECK(engine.tested.submit(engine.work(++number, "little")) ==
          engine_decision::granted);
    CHECK(engine.tested.submit(engine.work(++number, "b")) ==
          engine_decision::granted);
    CHECK(engine.tested.running() == 10);
    engine.tested.release({"host/1", 1});
    CHECK(engine.granted.empty());
}
