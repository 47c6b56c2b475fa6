#include <catch2/catch.hpp>

#include "admission/backlog.hpp"
#include "admission/retry_budget.hpp"

namespace bronzehub::admission {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::organisation_id organisation(1);
constexpr base::service_id service(2);

// Guards against an unbounded backlog and against refusals that claim more
// than "not run".
TEST_CASE("a call is refused before it would wait in vain") {
    base::paused_clock time;
    backlog calls({.per_queue = 3, .in_all = 5});
    for (int i = 0; i < 4; ++i) {
        calls.add();
    }
    using base::refusal_code;
    const auto [length, wait, left, code] =
        GENERATE(table<std::size_t, int, int, refusal_code>(
            {{3, 0, 10, refusal_code::backlog_full},
             {0, 11, 10, refusal_code::deadline_unreachable},
             {0, 0, 0, refusal_code::deadline_exceeded}}));
    const auto refused = calls.check(length, seconds(wait), time.now(),
                                     time.now() + seconds(left));
    REQUIRE(refused.has_value());
    CHECK(refused->code == code);
    CHECK(refused->outcome == base::call_outcome::not_run);
    CHECK_FALSE(calls.check(0, {}, time.now(), time.now() + seconds(1)));
    calls.add();
    CHECK(calls.check(0, {}, time.now(), time.now() + seconds(1)).has_value());
}

// Guards against pauses without work being taken for slow service.
TEST_CASE("the wait estimate follows the rate of service") {
    base::paused_clock time;
    wait_estimator wait;
    CHECK(wait.estimate(5, time.now()) == base::duration::zero());
    for (int i = 0; i < 50; ++i) {
        wait.started(time.now(), true);
        time.advance(milliseconds(100));
    }
    wait.started(time.now(), false);
    time.advance(seconds(100));
    CHECK(std::chrono::round<milliseconds>(wait.estimate(5, time.now())) ==
          milliseconds(500));
}

// Guards against a queue that stands still being promised its old rate.
TEST_CASE("a queue that stands still is estimated slower") {
    base::paused_clock time;
    wait_estimator wait;
    wait.started(time.now(), true);
    time.advance(milliseconds(100));
    wait.started(time.now(), true);
    time.advance(seconds(60));
    CHECK(wait.estimate(9, time.now()) > seconds(50));
}

// Guards against retries that multiply the load of failing backend servers.
TEST_CASE("retries stay within a tenth of the calls plus one a second") {
    base::paused_clock time;
    retry_budget budget({}, time.view());
    const auto granted = [&](int asked) {
        int count = 0;
        for (int i = 0; i < asked; ++i) {
            count += budget.try_retry(organisation, service) ? 1 : 0;
        }
        return count;
    };
    CHECK(granted(5) == 1);
    for (int i = 0; i < 30; ++i) {
        budget.call_sent(organisation, service);
    }
    CHECK(granted(5) == 3);
    time.advance(seconds(2));
    CHECK(granted(5) == 2);
    time.advance(seconds(3600));
    CHECK(granted(50) == 10);
    CHECK(budget.try_retry(base::organisation_id(9), service));
}

}  // namespace
}  // namespace bronzehub::admission
