#include "entry/read_pacer.hpp"

#include <catch2/catch.hpp>
#include <string>

using bronzehub::base::paused_clock;
using bronzehub::entry::read_pacer;
using namespace std::chrono_literals;

// Guards against streams that are never read again, and against one that is
// read before its time.
TEST_CASE("held reads go on when they are due, in order") {
    paused_clock time;
    read_pacer tested(time.view());
    std::string resumed;
    tested.defer(30ms, [&] { resumed += 'b'; });
    tested.defer(10ms, [&] { resumed += 'a'; });
    tested.defer(30ms, [&] { resumed += 'c'; });
    tested.tick();
    CHECK(resumed.empty());
    time.advance(10ms);
    tested.tick();
    CHECK(resumed == "a");
    CHECK(tested.deferred_count() == 2);
    time.advance(20ms);
    tested.tick();
    CHECK(resumed == "abc");
    CHECK(tested.deferred_count() == 0);
}

// Guards against a read that is lost because it is held again while others are
// resumed.
TEST_CASE("a resumed read may be held again") {
    paused_clock time;
    read_pacer tested(time.view());
    int reads = 0;
    std::function<void()> read = [&] {
        ++reads;
        tested.defer(10ms, read);
    };
    read();
    for (int turn = 0; turn < 5; ++turn) {
        time.advance(10ms);
        tested.tick();
    }
    CHECK(reads == 6);
    CHECK(tested.deferred_count() == 1);
}
