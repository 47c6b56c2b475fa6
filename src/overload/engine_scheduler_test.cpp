#include "overload/engine_scheduler.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
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

// The scheduler of one engine, which records the calls of its callbacks.
struct engine_fixture {
    explicit engine_fixture(bronzehub::overload::engine_capacity options)
        : tested(options, fleet, time.view(),
                 scheduler_callbacks{[this](const scheduled_request_id& id) {
                                         granted.push_back(id.number);
                                     },
                                     [this](const scheduled_request_id& id,
                                            duration retry_after) {
                                         refused.push_back(id.number);
                                         last_retry_after = retry_after;
                                         on_refused(id.number);
                                     },
                                     [this](const scheduled_request_id& id) {
                                         unreachable.push_back(id.number);
                                     }}) {}

    scheduled_request make_request(std::uint64_t number,
                                   const std::string& organisation,
                                   duration max_wait = 100ms) const {
        scheduled_request result;
        result.id = {"host/1", number};
        result.organisation = organisation;
        result.cost = 1000;
        result.own_tokens = 500;
        result.output_tokens = 250;
        result.start_deadline = time.now() + max_wait;
        return result;
    }

    paused_clock time;
    bronzehub::overload::fleet_shares fleet{time.view()};
    std::vector<std::uint64_t> granted;
    std::vector<std::uint64_t> refused;
    std::vector<std::uint64_t> unreachable;
    std::function<void(std::uint64_t)> on_refused = [](std::uint64_t) {};
    duration last_retry_after{};
    engine_scheduler tested;
};

}  // namespace

// Load pattern: more requests than slots. Guards against requests that queue
// inside the engine, where no other request can be granted before them.
TEST_CASE("requests beyond the slots wait until a slot is released") {
    engine_fixture engine({.slots = 2});
    CHECK(engine.tested.submit(engine.make_request(1, "a")) ==
          engine_decision::granted);
    CHECK(engine.tested.submit(engine.make_request(2, "a")) ==
          engine_decision::granted);
    CHECK(engine.tested.submit(engine.make_request(3, "a")) ==
          engine_decision::waiting);
    CHECK(engine.tested.submit(engine.make_request(3, "a")) ==
          engine_decision::waiting);
    engine.tested.release({"host/1", 1});
    CHECK(engine.granted == std::vector<std::uint64_t>{3});
    CHECK(engine.tested.running() == 2);
}

// Load pattern: one organisation sends requests all the time; the callers of
// another use a single overloaded host, so that their requests reach the
// scheduler shortly before their start deadline. Guards against refusing all
// requests of the second one before a slot is released.
TEST_CASE("requests of an underserved organisation may wait longer") {
    engine_fixture engine({.slots = 1});
    std::uint64_t next = 1;
    std::map<std::uint64_t, std::string> organisations;
    std::map<std::string, int> served;
    const auto submit = [&](const std::string& organisation, duration max_wait,
                            duration extension) {
        auto request = engine.make_request(next, organisation, max_wait);
        request.extended_start_deadline = request.start_deadline + extension;
        organisations[next] = organisation;
        if (engine.tested.submit(request) == engine_decision::granted) {
            engine.granted.push_back(next);
        }
        ++next;
    };
    submit("flood", 100ms, 0ms);
    for (int release = 0; release < 100; ++release) {
        // The slot is released every 60 ms.
        for (int step = 0; step < 6; ++step) {
            submit("flood", 100ms, 100ms);
            if (step % 3 == 0) {
                submit("late", 10ms, 100ms);
            }
            engine.time.advance(10ms);
            engine.tested.tick();
        }
        const std::uint64_t running = engine.granted.back();
        ++served[organisations[running]];
        engine.tested.release({"host/1", running});
    }
    CHECK(served["late"] >= served["flood"] / 2);
    CHECK(served["flood"] >= served["late"]);
}

// Guards against a caller that waits for a response that can no longer be in
// time.
TEST_CASE("requests that can't start in time are refused") {
    engine_fixture engine({.slots = 1});
    engine.tested.submit(engine.make_request(1, "a"));
    CHECK(engine.tested.submit(engine.make_request(2, "a", 50ms)) ==
          engine_decision::waiting);
    auto not_waiting = engine.make_request(3, "a");
    not_waiting.may_wait = false;
    CHECK(engine.tested.submit(not_waiting) == engine_decision::refused);
    engine.time.advance(60ms);
    engine.tested.tick();
    CHECK(engine.refused == std::vector<std::uint64_t>{2});
    CHECK(engine.last_retry_after >= 250ms);
}

// Load pattern: one organisation sends ten times the requests of the others and
// twice what the engine can serve. Guards against refusing requests of the
// others in favour of that organisation.
TEST_CASE("a flooding organisation does not take the share of others") {
    engine_fixture engine({.slots = 4});
    std::map<std::uint64_t, std::string> organisations;
    std::map<std::string, int> requested;
    std::map<std::string, int> served;
    std::vector<std::pair<bronzehub::base::time_point, std::uint64_t>> running;
    std::uint64_t number = 0;
    const auto start = [&](std::uint64_t id) {
        ++served[organisations[id]];
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
            organisations[number] = organisation;
            ++requested[organisation];
            if (engine.tested.submit(engine.make_request(
                    number, organisation)) == engine_decision::granted) {
                start(number);
            }
        }
        for (const std::uint64_t id : std::exchange(engine.granted, {})) {
            start(id);
        }
    }
    CHECK(served["small-1"] > 0.9 * requested["small-1"]);
    CHECK(served["small-2"] > 0.9 * requested["small-2"]);
    // No slot is idle while requests wait.
    CHECK(served["flood"] + served["small-1"] + served["small-2"] >
          0.95 * 4 * 10 * 20);
}

// Load pattern: long prompts that arrive together. Guards against a KV cache
// that overflows while responses are streamed.
TEST_CASE("granted requests fit in the memory of the engine") {
    engine_fixture engine({.slots = 64, .memory_tokens = 10000});
    auto first = engine.make_request(1, "a");
    first.shared_segments = {{7, 4000}};
    auto second = engine.make_request(2, "a");
    second.shared_segments = {{7, 4000}};
    auto third = engine.make_request(3, "a");
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

// Guards against slots that are never released after the host of their requests
// failed, and against releasing a slot that was granted after the host sent its
// list of running requests.
TEST_CASE("running requests are reconciled with the list of their host") {
    engine_fixture engine({.slots = 3});
    engine.tested.submit(engine.make_request(1, "a"));
    engine.tested.submit(engine.make_request(2, "a"));
    engine.time.advance(1s);
    engine.tested.submit(engine.make_request(3, "a"));
    engine.tested.reconcile("host/1", {1}, engine.time.now() - 300ms);
    CHECK(engine.tested.running() == 2);
    CHECK(engine.tested.contains({"host/1", 3}));
    engine.tested.release_host("host/1");
    CHECK(engine.tested.running() == 0);
}

// Load pattern: the requests of one organisation reach few engines, where it
// gets as many grants as others, but the others are served on all engines.
// Guards against a fair order that considers the grants of one engine only.
TEST_CASE("the organisation with the fewest grants in the fleet is next") {
    engine_fixture engine({.slots = 1});
    engine.tested.submit(engine.make_request(1, "few engines"));
    engine.fleet.update(std::vector<bronzehub::overload::organisation_usage>{
        {"all engines", 900000, 300000}, {"few engines", 300000, 50000}});
    engine.tested.submit(engine.make_request(2, "all engines"));
    engine.tested.submit(engine.make_request(3, "few engines"));
    engine.tested.release({"host/1", 1});
    CHECK(engine.granted == std::vector<std::uint64_t>{3});
}

// Guards against a Retry-After of many seconds for an organisation that is far
// below its fair share, because a single engine granted it nothing.
TEST_CASE("Retry-After follows the backlog of the whole fleet") {
    const auto [requested, granted, min, max] =
        GENERATE(table<double, double, duration, duration>(
            {{300000, 100000, 4s, 4s},
             {300000, 290000, 250ms, 250ms},
             {300000, 1000, 20s, 20s}}));
    engine_fixture engine({.slots = 1});
    engine.fleet.update(std::vector<bronzehub::overload::organisation_usage>{
        {"a", requested, granted}, {"b", 900000, 900000}});
    CHECK(engine.tested.retry_after("a") >= min);
    CHECK(engine.tested.retry_after("a") <= max);
}

// Load pattern: an underserved organisation always has waiting requests. Guards
// against granting the oldest one first, which serves all of them late.
TEST_CASE("requests in time come before late ones of the organisation") {
    engine_fixture engine({.slots = 1});
    engine.fleet.update(std::vector<bronzehub::overload::organisation_usage>{
        {"a", 300000, 50000}, {"b", 900000, 300000}});
    engine.tested.submit(engine.make_request(1, "b"));
    auto late = engine.make_request(2, "a", 50ms);
    late.extended_start_deadline = late.start_deadline + 400ms;
    CHECK(engine.tested.submit(late) == engine_decision::waiting);
    engine.time.advance(100ms);
    engine.tested.tick();
    CHECK(engine.tested.submit(engine.make_request(3, "a", 50ms)) ==
          engine_decision::waiting);
    engine.tested.release({"host/1", 1});
    engine.tested.release({"host/1", 3});
    CHECK(engine.granted == std::vector<std::uint64_t>{3, 2});
}

// Load pattern: the mean time between two grants of an engine is longer than
// requests can wait, and an underserved organisation sends it one request at a
// time. Guards against refusing each of them because of the mean, although a
// slot may be released earlier.
TEST_CASE("an underserved organisation waits for an early release") {
    const auto [granted_to_a, decision] = GENERATE(
        table<double, engine_decision>({{50000, engine_decision::waiting},
                                        {300000, engine_decision::refused}}));
    engine_fixture engine({.slots = 1});
    // A slot is released every 200 ms, and the next request waits for it.
    engine.tested.submit(engine.make_request(1, "b"));
    for (std::uint64_t number = 1; number < 30; ++number) {
        engine.tested.submit(engine.make_request(number + 1, "b", 1s));
        engine.time.advance(200ms);
        engine.tested.release({"host/1", number});
    }
    REQUIRE(engine.granted.back() == 30);
    engine.fleet.update(std::vector<bronzehub::overload::organisation_usage>{
        {"a", 300000, granted_to_a}, {"b", 900000, 300000}});
    CHECK(engine.tested.submit(engine.make_request(31, "a", 100ms)) ==
          decision);
}

// Load pattern: the organisation with the highest demand takes every slot that
// is released. Guards against refusing requests of others because the engine is
// always full.
TEST_CASE("an organisation above its fair share leaves slots for others") {
    engine_fixture engine({.slots = 10});
    engine.fleet.update(std::vector<bronzehub::overload::organisation_usage>{
        {"much", 900000, 300000},
        {"little", 90000, 50000},
        {"b", 900000, 200000}});
    std::uint64_t number = 0;
    while (engine.tested.running() < 8) {
        engine.tested.submit(engine.make_request(++number, "much"));
    }
    CHECK(engine.tested.submit(engine.make_request(++number, "much")) ==
          engine_decision::waiting);
    CHECK(engine.tested.submit(engine.make_request(++number, "little")) ==
          engine_decision::granted);
    CHECK(engine.tested.submit(engine.make_request(++number, "b")) ==
          engine_decision::granted);
    CHECK(engine.tested.running() == 10);
    engine.tested.release({"host/1", 1});
    CHECK(engine.granted.empty());
}

// Load pattern: long prompts of which more wait than an engine can prefill in
// time. Guards against an equilibrium in which a large part of the first events
// is late, which cost their callers most of the value of the responses.
TEST_CASE("few first events are late under permanent overload") {
    // Speed of an engine, and sizes of prompts, according to the users' sheets.
    const auto [tokens_per_ms, prompt_tokens] =
        GENERATE(table<double, std::uint32_t>(
            {{57, 9190}, {57, 2890}, {157, 6610}, {82, 1800}}));
    constexpr auto prefill_target = 250ms;
    constexpr int warm_up = 1000;
    constexpr int measured = 4000;
    engine_fixture engine({.slots = 64});
    std::uint64_t next_number = 1;
    const auto submit_one = [&] {
        auto request = engine.make_request(next_number++, "a", 1h);
        request.own_tokens = prompt_tokens;
        if (engine.tested.submit(request) == engine_decision::granted) {
            engine.granted.push_back(request.id.number);
        }
    };
    for (int i = 0; i < 40; ++i) {
        submit_one();
    }
    std::map<std::uint64_t, bronzehub::base::time_point> granted_at;
    std::size_t seen = 0;
    int late = 0;
    for (int ended = 0; ended < warm_up + measured; ++ended) {
        for (; seen < engine.granted.size(); ++seen) {
            granted_at[engine.granted[seen]] = engine.time.now();
        }
        REQUIRE(static_cast<std::size_t>(ended) < engine.granted.size());
        const std::uint64_t number =
            engine.granted[static_cast<std::size_t>(ended)];
        engine.time.advance(std::chrono::duration_cast<duration>(
            std::chrono::duration<double, std::milli>(prompt_tokens /
                                                      tokens_per_ms)));
        const auto since_grant = engine.time.now() - granted_at[number];
        late += ended >= warm_up && since_grant > prefill_target ? 1 : 0;
        engine.tested.on_first_event({"host/1", number}, since_grant,
                                     since_grant <= prefill_target);
        engine.tested.release({"host/1", number});
        submit_one();
    }
    CHECK(late < measured / 10);
}

// Load pattern: an engine that is down but still listed. Its slots are free at
// once again, so that it would grant and fail the requests of all hosts while
// other engines refuse them. Guards against that, against requests that wait
// there in vain, and against an engine that stays unused when it is back.
TEST_CASE("an engine that can't be reached gets single requests only") {
    engine_fixture engine({.slots = 2});
    for (std::uint64_t number = 1; number <= 2; ++number) {
        REQUIRE(engine.tested.submit(engine.make_request(number, "a")) ==
                engine_decision::granted);
    }
    for (std::uint64_t number = 3; number <= 5; ++number) {
        REQUIRE(engine.tested.submit(engine.make_request(number, "a")) ==
                engine_decision::waiting);
    }
    engine.tested.release_unreached({"host/1", 1});
    engine.tested.release_unreached({"host/1", 2});
    CHECK(engine.granted == std::vector<std::uint64_t>{3, 4});
    CHECK(engine.unreachable.empty());
    engine.tested.release_unreached({"host/1", 3});
    CHECK(engine.unreachable == std::vector<std::uint64_t>{5});
    engine.tested.release_unreached({"host/1", 4});
    CHECK(engine.tested.running() == 0);

    duration delay = 2 * engine_scheduler::first_probe_delay;
    for (std::uint64_t number = 10; number < 20; number += 2) {
        CHECK(engine.tested.submit(engine.make_request(number, "a")) ==
              engine_decision::unreachable);
        engine.time.advance(delay);
        CHECK(engine.tested.submit(engine.make_request(number, "a")) ==
              engine_decision::granted);
        CHECK(engine.tested.submit(engine.make_request(number + 1, "a")) ==
              engine_decision::unreachable);
        engine.tested.release_unreached({"host/1", number});
        delay =
            std::min<duration>(2 * delay, engine_scheduler::max_probe_delay);
    }
    engine.time.advance(delay);
    CHECK(engine.tested.submit(engine.make_request(20, "a")) ==
          engine_decision::granted);
    engine.tested.on_first_event({"host/1", 20}, 10ms, true);
    CHECK(engine.tested.submit(engine.make_request(21, "a")) ==
          engine_decision::granted);
}

// Guards against an engine that is passed over because single connections
// failed while others were served.
TEST_CASE("failed connections between served requests do not stop an engine") {
    engine_fixture engine({.slots = 4});
    for (std::uint64_t number = 1; number <= 20; ++number) {
        REQUIRE(engine.tested.submit(engine.make_request(number, "a")) ==
                engine_decision::granted);
        if (number % 3 == 0) {
            engine.tested.on_first_event({"host/1", number}, 10ms, true);
            engine.tested.release({"host/1", number});
        } else {
            engine.tested.release_unreached({"host/1", number});
        }
    }
    CHECK(engine.unreachable.empty());
}

// Guards against memory in use that falls below zero, after which the engine
// would get no request beside a running one. A caller states the sizes.
TEST_CASE("a segment that was first stated without tokens is counted") {
    engine_fixture engine({.slots = 4, .memory_tokens = 10000});
    std::uint64_t number = 0;
    for (const std::uint32_t tokens : {0U, 2000U}) {
        auto request = engine.make_request(++number, "a");
        request.shared_segments = {{7, tokens}};
        REQUIRE(engine.tested.submit(request) == engine_decision::granted);
    }
    CHECK(engine.tested.memory_in_use() == 2 * 750 + 2000);
    engine.tested.release({"host/1", 1});
    engine.tested.release({"host/1", 2});
    CHECK(engine.tested.memory_in_use() == 0);
}

// Guards against a schedule that grows with each segment that a caller makes
// up: segments without tokens, many small ones, or an engine of unknown memory.
TEST_CASE("the number of remembered segments is bounded") {
    const auto [memory_tokens, tokens, limit] =
        GENERATE(table<std::uint64_t, std::uint32_t, std::size_t>({
            {1000000, 0, 0},
            {1000000, 1, engine_scheduler::max_cached_segments},
            {0, 100, engine_scheduler::max_cached_segments},
        }));
    engine_fixture engine({.slots = 4, .memory_tokens = memory_tokens});
    for (std::uint64_t number = 1;
         number <= engine_scheduler::max_cached_segments + 10; ++number) {
        auto request = engine.make_request(number, "a");
        request.shared_segments = {{number, tokens}};
        REQUIRE(engine.tested.submit(request) == engine_decision::granted);
        engine.tested.release({"host/1", number});
    }
    CHECK(engine.tested.cached_segments() == limit);
}

// Guards against a request that is refused although its caller has ended it
// meanwhile: the refusal of one request can end the trial of a prompt segment
// that others wait for.
TEST_CASE("a refusal may end other waiting requests") {
    engine_fixture engine({.slots = 1});
    engine.on_refused = [&](std::uint64_t number) {
        engine.tested.release({"host/1", number + 1});
    };
    for (std::uint64_t number = 1; number <= 7; ++number) {
        engine.tested.submit(engine.make_request(number, "a"));
    }
    REQUIRE(engine.tested.waiting() == 6);
    engine.time.advance(200ms);
    engine.tested.tick();
    CHECK(engine.refused == std::vector<std::uint64_t>{2, 4, 6});
    CHECK(engine.tested.waiting() == 0);
}
