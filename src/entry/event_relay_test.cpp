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
    CHECK(tested.feed(event(1) + event(2)) == event(2));
    CHECK(tested.feed(event(3)) == event(3));
    CHECK_FALSE(tested.failed());
}

// Guards against bytes without end that fill the memory, and against a server
// that repeats events for ever.
TEST_CASE("a stream that cannot go on fails and keeps nothing") {
    const auto [what, bytes, reason] =
        GENERATE(table<std::string, std::string, std::string>({
            {"event without end",
             std::string(event_relay::max_event_bytes / 8 + 1, 'a'),
             "event over 1048576 bytes"},
            {"gap", event(9), "event missing behind a resumption"},
            {"repeats", event(1), "events repeated out of order"},
        }));
    CAPTURE(what);
    event_relay tested;
    tested.feed(event(1) + event(2));
    tested.restart();
    for (int i = 0; i < 8; ++i) {
        CHECK(tested.feed(bytes).empty());
    }
    CHECK(tested.failure() == reason);
    CHECK_FALSE(tested.has_partial());
    CHECK(tested.feed(event(3)).empty());
    CHECK(tested.events() == 2);
}

// Guards against a stream that ends with a run that never got as far as the
// caller.
TEST_CASE(
    "a run from the first event is behind until it reaches the last one") {
    const auto [run, behind] = GENERATE(table<std::string, bool>({
        {"", false},
        {event(1), true},
        {event(1) + event(2), false},
        {event(1) + event(2) + event(3), false},
        {event(3), false},
    }));
    CAPTURE(run);
    event_relay tested;
    tested.feed(event(1) + event(2));
    CHECK_FALSE(tested.is_behind());
    tested.restart();
    tested.feed(run);
    CHECK(tested.is_behind() == behind);
}

// Guards against events that come twice, because no id says where the stream
// is to go on.
TEST_CASE("a stream can go on elsewhere only behind an event with an id") {
    const auto [stream, expected] = GENERATE(table<std::string, bool>({
        {"", false},
        {"data: x\n\n", false},
        {event(1), true},
        {event(1) + "data: x\n\n", false},
        {"data: x\n\n" + event(1), true},
        {event(1) + "data: part", true},
    }));
    CAPTURE(stream);
    event_relay tested;
    tested.feed(stream);
    CHECK(tested.can_resume() == expected);
}

// Guards against whole events that are lost with the bytes behind them.
TEST_CASE("events before a failure are passed on") {
    event_relay tested;
    const std::string endless(event_relay::max_event_bytes + 1, 'a');
    CHECK(tested.feed(event(1) + endless) == event(1));
    CHECK(tested.failed());
    CHECK_FALSE(tested.has_partial());
}

TEST_CASE("a version line before the id does not hide it") {
    event_relay tested;
    tested.feed("some-version: 2\nid: 9\ndata: x\n\n");
    CHECK(tested.last_id() == 9);
}

// Guards against a stream that breaks off although it could go on, because its
// last block is a comment, which is no event.
TEST_CASE("a comment behind an event with an id does not stop a resumption") {
    const std::string comment =
        GENERATE(as<std::string>(), ": keep-alive\n\n", "retry: 1000\n\n");
    CAPTURE(comment);
    event_relay tested;
    tested.feed(event(1) + comment);
    CHECK(tested.can_resume());
}

// Guards against a second run that is held to rules of a resumption although
// the first one passed on nothing.
TEST_CASE("ids of a first run and of a repeated one may increase alike") {
    const int attempts = GENERATE(1, 2);
    CAPTURE(attempts);
    event_relay tested;
    if (attempts == 2) {
        tested.feed("id: 1\nda");
        tested.restart();
    }
    const std::string stream = event(2) + event(4);
    CHECK(tested.feed(stream) == stream);
    CHECK_FALSE(tested.failed());
}
