#include "cold_start/grant_pace.hpp"

#include <catch2/catch.hpp>

#include "cold_start/schedule_gate.hpp"

namespace {

using namespace std::chrono_literals;
namespace cold_start = bronzehub::cold_start;
using bronzehub::base::duration;
using bronzehub::base::paused_clock;
using bronzehub::overload::engine_decision;
using bronzehub::overload::engine_scheduler;
using bronzehub::overload::scheduled_request;
using bronzehub::overload::scheduled_request_id;
using cold_start::divide_pace;
using cold_start::engine_terms;
using cold_start::grant_lifetime;
using cold_start::grant_pace;
using cold_start::pace_limits;
using cold_start::schedule_gate;
using cold_start::settling_time;
using cold_start::slot_decision;

// One owner with the schedule of one engine.
struct owner_fixture {
    owner_fixture() {
        gate.set_hooks(
            {[this](std::string_view) {
                 return is_limited ? std::optional(terms) : std::nullopt;
             },
             [this](std::string_view, std::string_view) { return rank; }});
        time.advance(settling_time);
    }

    engine_decision submit(std::uint32_t own_tokens = 100,
                           bool may_wait = true) {
        scheduled_request request;
        request.id = {"host/1", next++};
        request.organisation = "o";
        request.own_tokens = own_tokens;
        request.start_deadline = time.now() + 500ms;
        request.may_wait = may_wait;
        last = gate.decide("i-1/1", scheduler, request);
        return last.decision;
    }
    void receive_first_event(std::uint64_t number) {
        gate.before_first_event("i-1/1", scheduler);
        scheduler.on_first_event({"host/1", number}, {}, true);
    }
    // Sends a request each 10 ms; returns the number of grants.
    int grants_within(duration length, std::uint32_t own_tokens = 100,
                      bool responds = true) {
        int result = 0;
        for (duration at{}; at < length; at += 10ms) {
            if (submit(own_tokens) == engine_decision::granted) {
                ++result;
                if (responds) {
                    receive_first_event(next - 1);
                }
            }
            time.advance(10ms);
        }
        return result;
    }

    paused_clock time;
    bronzehub::overload::fleet_shares fleet{time.view()};
    std::vector<std::uint64_t> granted;
    std::vector<std::uint64_t> paced;
    engine_scheduler scheduler{{.slots = 100, .memory_tokens = 0},
                               fleet,
                               time.view(),
                               {[this](const scheduled_request_id& id) {
                                    granted.push_back(id.number);
                                    gate.on_waiting_granted("i-1/1");
                                },
                                [](const scheduled_request_id&, duration) {},
                                [](const scheduled_request_id&) {},
                                [this](const scheduled_request_id& id) {
                                    paced.push_back(id.number);
                                }}};
    schedule_gate gate{time.view()};
    engine_terms terms{divide_pace(10, 20), 3s, true, "a"};
    bool is_limited = true;
    std::size_t rank = 0;
    std::uint64_t next = 1;
    slot_decision last;
};

}  // namespace

// Guards against more than the bound when one host is unknown to the others,
// so that two hosts count themselves first and a third one second.
TEST_CASE("two first granters and a second one keep to the bound") {
    const auto [tolerated, bound, first, second] =
        GENERATE(table<double, double, std::size_t, std::size_t>({
            {10, 20, 8, 4},
            {3, 20, 3, 3},
            {10, 10, 4, 2},
            {1, 1, 0, 0},
        }));
    const pace_limits limits = divide_pace(tolerated, bound);
    CHECK(limits.first == first);
    CHECK(limits.second == second);
    CHECK(static_cast<double>(2 * limits.first + limits.second) <= bound);
}

// Load pattern: 100 requests a second for an engine that has just started and
// has 100 free slots.
TEST_CASE("a cold engine gets its pace") {
    const auto [rank, own_tokens, least, most] =
        GENERATE(table<std::size_t, std::uint32_t, int, int>({
            {0, 100, 8, 8},
            {0, 2000, 4, 4},
            {1, 100, 4, 4},
            {2, 100, 0, 0},
        }));
    owner_fixture owner;
    owner.rank = rank;
    const int count = owner.grants_within(1s, own_tokens);
    CHECK(count >= least);
    CHECK(count <= most);
    CHECK(owner.last.decision == engine_decision::paced);
}

// Guards against requests that queue behind a cold engine while other engines
// have free slots, and against callers that are told to return too early.
TEST_CASE("a cold engine over its pace refuses at once") {
    owner_fixture owner;
    CHECK(owner.submit() == engine_decision::granted);
    CHECK(owner.last.send_within == grant_lifetime);
    CHECK(owner.submit() == engine_decision::paced);
    CHECK(owner.last.retry_after >= 50ms);
    owner.time.advance(owner.last.retry_after + 30ms);
    CHECK(owner.submit() == engine_decision::granted);
}

// The previous process of the host may have granted requests a moment ago.
TEST_CASE("a host that has just started grants nothing on cold engines") {
    owner_fixture owner;
    schedule_gate started{owner.time.view()};
    started.set_hooks(
        {[&](std::string_view) { return std::optional(owner.terms); },
         [](std::string_view, std::string_view) { return std::size_t{0}; }});
    scheduled_request request;
    request.id = {"host/1", 1};
    CHECK(started.decide("i-1/1", owner.scheduler, request).decision ==
          engine_decision::paced);
    owner.time.advance(settling_time);
    CHECK(started.decide("i-1/1", owner.scheduler, request).decision ==
          engine_decision::granted);
}

// Load pattern: an engine under full load becomes cold. The grants before count
// too, and requests that wait must not start when slots become free.
TEST_CASE("an engine that becomes cold gives up its queue") {
    owner_fixture owner;
    owner.terms.is_cold = false;
    owner.scheduler.set_capacity({.slots = 10, .memory_tokens = 0});
    for (int i = 0; i < 10; ++i) {
        CHECK(owner.submit(1) == engine_decision::granted);
    }
    CHECK(owner.submit(1) == engine_decision::waiting);
    owner.terms.is_cold = true;
    owner.gate.before_release("i-1/1", owner.scheduler, true);
    owner.scheduler.release({"host/1", 1});
    CHECK(owner.paced == std::vector<std::uint64_t>{11});
    CHECK(owner.granted.empty());
    CHECK(owner.submit(1) == engine_decision::paced);
}

// Load pattern: an engine goes dark or ends, and comes back while it is still
// listed. Guards against the requests of all hosts for its free slots at once.
TEST_CASE("an engine that was silent is cold when it returns") {
    const bool refuses_connections = GENERATE(false, true);
    owner_fixture owner;
    owner.terms.is_cold = false;
    owner.submit();
    owner.receive_first_event(1);
    owner.submit();
    if (refuses_connections) {
        for (int i = 0; i < grant_pace::unreached_limit; ++i) {
            owner.gate.before_release("i-1/1", owner.scheduler, false);
        }
    } else {
        owner.time.advance(grant_pace::silence_timeout + 1ms);
    }
    CHECK(owner.grants_within(1s, 100, false) <= 8);
    owner.receive_first_event(2);
    CHECK(owner.grants_within(1s) <= 8);
    owner.time.advance(3s);
    CHECK(owner.grants_within(1s) > 8);
}

// Guards against a changed schedule where no service limits cold servers.
TEST_CASE("an engine without a limit is scheduled as before") {
    owner_fixture owner;
    owner.is_limited = false;
    CHECK(owner.grants_within(1s) == 100);
    CHECK(owner.submit() == engine_decision::waiting);
    CHECK(owner.last.send_within.count() == 0);
}
