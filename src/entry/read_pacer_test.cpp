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
    tested.hold(30ms, [&] { resumed += 'b'; });
    tested.hold(10ms, [&] { resumed += 'a'; });
    tested.hold(30ms, [&] { resumed += 'c'; });
    tested.tick();
    CHECK(resumed.empty());
    time.advance(10ms);
    tested.tick();
    CHECK(resumed == "a");
    CHECK(tested.held() == 2);
    time.advance(20ms);
    tested.tick();
    CHECK(resumed == "abc");
    CHECK(tested.held() == 0);
}

// Guards against a read that is lost because it is held again while others are
// resumed.
TEST_CASE("a resumed read may be held again") {
    paused_clock time;
    read_pacer tested(time.view());
    int reads = 0;
    std::function<void()> read = [&] {
        ++reads;
        tested.hold(10ms, read);
    };
    read();
    for (int turn = 0; turn < 5; ++turn) {
        time.advance(10ms);
        tested.tick();
    }
    CHECK(reads == 6);
    CHECK(tested.held() == 1);
}
