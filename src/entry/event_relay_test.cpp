#include "entry/event_relay.hpp"

#include <catch2/catch.hpp>

using bronzehub::entry::event_relay;

namespace {

std::string event(int id) {
    return "id: " + std::to_string(id) + "\ndata: x" + std::to_string(id) +
           "\n\n";
}

}  // namespace

// Guards against delivery of a partial event when the network splits an event
// at any byte.
TEST_CASE("only complete events are passed on, however the bytes are split") {
    const std::string stream = event(1) + event(2) + event(3);
    const auto chunk_size = GENERATE(1U, 2U, 5U, 7U, 100U);
    event_relay relay;
    std::string delivered;
    for (std::size_t at = 0; at < stream.size(); at += chunk_size) {
        const auto complete =
            relay.feed(std::string_view(stream).substr(at, chunk_size));
        CHECK((complete.empty() || complete.ends_with("\n\n")));
        delivered.append(complete);
    }
    CHECK(delivered == stream);
    CHECK(relay.event_count() == 3);
    CHECK(relay.last_event_id() == 3);
    CHECK_FALSE(relay.has_partial_event());
}

// Guards against lost or duplicated events when a second server resumes the
// stream.
TEST_CASE("a resumed stream carries on without gaps or duplicates") {
    event_relay relay;
    relay.feed(event(1) + event(2) + "id: 3\nda");
    CHECK(relay.has_partial_event());
    relay.switch_server();
    CHECK_FALSE(relay.has_partial_event());
    CHECK(relay.feed(event(2) + event(3)) == event(3));
    CHECK_FALSE(relay.failed());
    relay.switch_server();
    CHECK(relay.feed(event(5)).empty());
    CHECK(relay.failed());
}

// Guards against an error of one server that still fails the stream of the next
// server.
TEST_CASE("a gap at one server has no effect on the next server's stream") {
    event_relay relay;
    relay.feed(event(1));
    relay.switch_server();
    CHECK(relay.feed(event(3)).empty());
    CHECK(relay.failed());
    relay.switch_server();
    CHECK_FALSE(relay.failed());
    CHECK(relay.feed(event(1) + event(2)) == event(2));
    CHECK(relay.feed(event(3)) == event(3));
    CHECK_FALSE(relay.failed());
}

// Guards against unbounded memory use when an event never ends, and against a
// server that sends the same events forever.
TEST_CASE("an unusable stream fails and buffers nothing from then on") {
    const auto [name, bytes, error] =
        GENERATE(table<std::string, std::string, std::string>({
            {"event without end",
             std::string(event_relay::max_event_bytes / 8 + 1, 'a'),
             "event over 1048576 bytes"},
            {"gap", event(9), "event missing behind a resumption"},
            {"repeats", event(1), "events repeated out of order"},
        }));
    CAPTURE(name);
    event_relay relay;
    relay.feed(event(1) + event(2));
    relay.switch_server();
    for (int i = 0; i < 8; ++i) {
        CHECK(relay.feed(bytes).empty());
    }
    CHECK(relay.error() == error);
    CHECK_FALSE(relay.has_partial_event());
    CHECK(relay.feed(event(3)).empty());
    CHECK(relay.event_count() == 2);
}

// Guards against a response that counts as complete although the last server
// ended its replay before the last event that the caller had received.
TEST_CASE("a replay is behind until it reaches the last delivered event") {
    const auto [replay, replaying] = GENERATE(table<std::string, bool>({
        {"", false},
        {event(1), true},
        {event(1) + event(2), false},
        {event(1) + event(2) + event(3), false},
        {event(3), false},
    }));
    CAPTURE(replay);
    event_relay relay;
    relay.feed(event(1) + event(2));
    CHECK_FALSE(relay.is_replaying());
    relay.switch_server();
    relay.feed(replay);
    CHECK(relay.is_replaying() == replaying);
}

// Guards against duplicated events: without the id of the last delivered event,
// the next server does not know where to continue.
TEST_CASE("no stream is resumable with data behind its last event id") {
    const auto [stream, resumable] = GENERATE(table<std::string, bool>({
        {"", false},
        {"data: x\n\n", false},
        {event(1), true},
        {event(1) + "data: x\n\n", false},
        {"data: x\n\n" + event(1), true},
        {event(1) + "data: part", true},
    }));
    CAPTURE(stream);
    event_relay relay;
    relay.feed(stream);
    CHECK(relay.can_resume() == resumable);
}

// Guards against the loss of complete events that arrive together with bytes
// that fail the stream.
TEST_CASE("complete events before an error are passed on") {
    event_relay relay;
    const std::string unterminated(event_relay::max_event_bytes + 1, 'a');
    CHECK(relay.feed(event(1) + unterminated) == event(1));
    CHECK(relay.failed());
    CHECK_FALSE(relay.has_partial_event());
}

// Guards against an id that is not found when another field precedes it.
TEST_CASE("a version line before the id does not hide it") {
    event_relay relay;
    relay.feed("some-version: 2\nid: 9\ndata: x\n\n");
    CHECK(relay.last_event_id() == 9);
}

// Guards against a resumable stream that is given up because its last block has
// no data and is therefore not an event.
TEST_CASE("a block without data behind the last event id allows a resumption") {
    const std::string comment =
        GENERATE(as<std::string>(), ": keep-alive\n\n", "retry: 1000\n\n");
    CAPTURE(comment);
    event_relay relay;
    relay.feed(event(1) + comment);
    CHECK(relay.can_resume());
}

// Guards against gap detection in the stream of a second server when the first
// one delivered no event: ids may then increase by more than one.
TEST_CASE(
    "without delivered events, a repeated run may skip ids like a first run") {
    const int servers = GENERATE(1, 2);
    CAPTURE(servers);
    event_relay relay;
    if (servers == 2) {
        relay.feed("id: 1\nda");
        relay.switch_server();
    }
    const std::string stream = event(2) + event(4);
    CHECK(relay.feed(stream) == stream);
    CHECK_FALSE(relay.failed());
}
