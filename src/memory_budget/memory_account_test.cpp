// Replays crowds of callers against the account, without a network.
#include "memory_budget/memory_account.hpp"

#include <catch2/catch.hpp>
#include <deque>
#include <memory>

namespace bronzehub::memory_budget {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t mib = std::size_t{1024} * 1024;
constexpr std::size_t body_bytes = 4 * mib;
constexpr std::size_t small_bytes = std::size_t{30} * 1024;

// Callers with one request each; those that give way release their memory.
class replay {
public:
    explicit replay(std::size_t memory_bytes)
        : account_(limits_for(memory_bytes), time_.view()) {}

    struct caller {
        std::unique_ptr<memory_holder> holder;
        bool gave_way = false;
    };

    caller& add(holder_state state) {
        caller& added = callers_.emplace_back();
        added.holder = std::make_unique<memory_holder>(account_, [&added] {
            added.gave_way = true;
            added.holder->release();
        });
        added.holder->set_state(state);
        return added;
    }
    // Returns how many of `count` callers got room for a body.
    int add_bodies(int count, holder_state state) {
        int granted = 0;
        for (int i = 0; i < count; ++i) {
            auto& holder = *add(state).holder;
            granted += holder.try_set(memory_cause::bodies, body_bytes) ? 1 : 0;
        }
        return granted;
    }

    base::paused_clock time_;
    memory_account account_;
    std::deque<caller> callers_;
};

}  // namespace

// Guards against a host that cannot serve a single large request, or that
// promises more memory than it has.
TEST_CASE("the account fits the memory of the host") {
    const auto [memory, bodies] = GENERATE(table<std::size_t, int>({
        {40 * mib, 3},
        {96 * mib, 9},
        {110 * mib, 10},
        {260 * mib, 27},
        {512 * mib, 54},
    }));
    CAPTURE(memory);
    replay crowd(memory);
    CHECK(crowd.add_bodies(200, holder_state::receiving) == bodies);
    CHECK(crowd.account_.held_bytes() < memory / 2);
    CHECK(crowd.add(holder_state::receiving)
              .holder->try_set(memory_cause::headers, 2048));
}

TEST_CASE("without a stated memory nobody is denied") {
    replay crowd(0);
    CHECK(crowd.add_bodies(2000, holder_state::receiving) == 2000);
}

// Guards against a crowd that stops short of the end of its bodies and keeps
// all room for as long as its connections stay open.
TEST_CASE("callers that move little give way first") {
    const auto [state, moved_per_step, yields] =
        GENERATE(table<holder_state, std::size_t, bool>({
            {holder_state::receiving, 0, true},
            {holder_state::sending, 0, true},
            // Slower than a body must arrive to be complete in time.
            {holder_state::receiving, 10, true},
            {holder_state::receiving, 300 * 1024, false},
            {holder_state::sending, 300 * 1024, false},
            // Whole requests.
            {holder_state::kept, 0, false},
        }));
    replay crowd(96 * mib);
    const int granted = crowd.add_bodies(20, state);
    for (int step = 0; step < 10; ++step) {
        crowd.time_.advance(milliseconds(500));
        for (auto& caller : crowd.callers_) {
            caller.holder->on_moved(moved_per_step);
        }
    }
    CHECK(crowd.add_bodies(1, holder_state::receiving) == (yields ? 1 : 0));
    CHECK(crowd.account_.given_way_count() == (yields ? 1U : 0U));
    CHECK(granted == 9);
}

// Guards against small requests that are refused because large ones, which
// move, or many half-open ones fill the account.
TEST_CASE("a small request takes the place of a large incomplete one") {
    replay crowd(96 * mib);
    crowd.add_bodies(9, holder_state::receiving);
    crowd.time_.advance(milliseconds(10));
    int denied = 0;
    for (int i = 0; i < 1400; ++i) {
        auto& holder = *crowd.add(holder_state::receiving).holder;
        denied += holder.try_set(memory_cause::headers, small_bytes) ? 0 : 1;
    }
    CHECK(denied == 0);
    CHECK(crowd.account_.held_bytes() <= crowd.account_.limits().total_bytes);
    CHECK(crowd.account_.given_way_count() > 0);
}

// Guards against a host that runs out of memory because what it knows about a
// large fleet takes more than the reserve.
TEST_CASE("the account shrinks while the rest of the process needs more") {
    const auto [resident, bodies] = GENERATE(table<std::size_t, int>({
        {10 * mib, 9},
        {50 * mib, 6},
        {300 * mib, 3},
    }));
    CAPTURE(resident);
    replay crowd(96 * mib);
    crowd.account_.on_resident_bytes(resident);
    CHECK(crowd.add_bodies(20, holder_state::receiving) == bodies);
    crowd.callers_.clear();
    crowd.account_.on_resident_bytes(10 * mib);
    CHECK(crowd.add_bodies(20, holder_state::receiving) == 9);
}

// Guards against an account that fills up with what was released long ago.
TEST_CASE("what is released is free") {
    replay crowd(96 * mib);
    crowd.add_bodies(9, holder_state::kept);
    crowd.callers_.pop_front();
    CHECK(crowd.add_bodies(2, holder_state::kept) == 1);
    crowd.callers_.clear();
    CHECK(crowd.account_.held_bytes() == 0);
    CHECK(crowd.add_bodies(10, holder_state::kept) == 9);
}

}  // namespace bronzehub::memory_budget
