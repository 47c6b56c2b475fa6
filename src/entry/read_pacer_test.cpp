#include "entry/read_pacer.hpp"

#include <catch2/catch.hpp>
#include <string>

using bronzehub::base::paused_clock;
using bronzehub::entry::read_pacer;
using namespace std::chrono_literals;

// Guards against streams that are never read again after a deferral, and
// against reads that resume before they are due.
TEST_CASE("deferred reads go on when they are due, in order") {
    paused_clock clock;
    read_pacer pacer(clock.view());
    std::string resumed;
    pacer.defer(30ms, [&] { resumed += 'b'; });
    pacer.defer(10ms, [&] { resumed += 'a'; });
    pacer.defer(30ms, [&] { resumed += 'c'; });
    pacer.tick();
    CHECK(resumed.empty());
    clock.advance(10ms);
    pacer.tick();
    CHECK(resumed == "a");
    CHECK(pacer.deferred_count() == 2);
    clock.advance(20ms);
    pacer.tick();
    CHECK(resumed == "abc");
    CHECK(pacer.deferred_count() == 0);
}

// Guards against a read that is lost because it is deferred again while the
// list of deferred reads is being processed.
TEST_CASE("a resumed read may be deferred again") {
    paused_clock clock;
    read_pacer pacer(clock.view());
    int reads = 0;
    std::function<void()> read = [&] {
        ++reads;
        pacer.defer(10ms, read);
    };
    read();
    for (int turn = 0; turn < 5; ++turn) {
        clock.advance(10ms);
        pacer.tick();
    }
    CHECK(reads == 6);
    CHECK(pacer.deferred_count() == 1);
}
