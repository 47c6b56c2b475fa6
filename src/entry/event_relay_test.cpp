#include "entry/event_relay.hpp"

#include <catch2/catch.hpp>

using bronzehub::entry::event_relay;

namespace {

std::string event(int id) {
    return "id: " + std::to_string(id) + "\ndata: x" + std::to_string(id) +
           "\n\n";
}

}  // namespace

// Guards against half an event that reaches the caller.
TEST_CASE("only whole events are passed on, however the bytes are cut") {
    const std::string stream = event(1) + event(2) + event(3);
    const auto step = GENERATE(1U, 2U, 5U, 7U, 100U);
    event_relay tested;
    std::string passed;
    for (std::size_t at = 0; at < stream.size(); at += step) {
        const auto whole =
            tested.feed(std::string_view(stream).substr(at, step));
        CHECK((whole.empty() || whole.ends_with("\n\n")));
        passed.append(whole);
    }
    CHECK(passed == stream);
    CHECK(tested.events() == 3);
    CHECK(tested.last_id() == 3);
    CHECK_FALSE(tested.has_partial());
}

// Guards against an event that is missing or comes twice where two runs meet.
TEST_CASE("a stream that goes on elsewhere has no gap and no repeat") {
    event_relay tested;
    tested.feed(event(1) + event(2) + "id: 3\nda");
    CHECK(tested.has_partial());
    tested.restart();
    CHECK_FALSE(tested.has_partial());
    CHECK(tested.feed(event(2) + event(3)) == event(3));
    CHECK_FALSE(tested.failed());
    tested.restart();
    CHECK(tested.feed(event(5)).empty());
    CHECK(tested.failed());
}

// Guards against the fault of one server that is held against the next.
TEST_CASE("a gap at one server does not spoil the resumption at the next") {
    event_relay tested;
    tested.feed(event(1));
    tested.restart();
    CHECK(tested.feed(event(3)).empty());
    CHECK(tested.failed());
    tested.restart();
    CHECK_FALSE(tested.failed());
    CHECK(tested.feed(event(2) + event(3)) == event(2) + event(3));
}

TEST_CASE("a version line before the id does not hide it") {
    event_relay tested;
    tested.feed("some-version: 2\nid: 9\ndata: x\n\n");
    CHECK(tested.last_id() == 9);
}
