#include "calls/event_splitter.hpp"

#include <catch2/catch.hpp>

namespace bronzehub::calls {
namespace {

// Guards against an event that is lost, repeated or cut when the network
// splits the stream at any byte.
TEST_CASE("events come out whole for every split of the stream") {
    const std::string stream =
        "data: {\"a\":1}\n\n: comment\n\ndata: {\"b\":2}\n\ndata: [DONE]\n\n";
    for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
        CAPTURE(cut);
        event_splitter splitter;
        std::string out(splitter.feed(std::span(stream).first(cut)));
        CHECK((out.empty() || out.ends_with("\n\n")));
        out += splitter.feed(std::span(stream).subspan(cut));
        CHECK(out == stream);
        CHECK(splitter.events() == 2);
        CHECK(splitter.done());
        CHECK(splitter.last_event() == "{\"b\":2}");
    }
}

// Guards against a resumed stream that repeats events that were not counted.
TEST_CASE("an event counts by its data, whatever stands before it") {
    const auto [event, count] = GENERATE(table<std::string, std::uint64_t>({
        {"data: 1\n\n", 1},
        {"data:1\n\n", 1},
        {"event: delta\ndata: 1\n\n", 1},
        {"id: 7\nevent: delta\ndata: 1\ndata: 2\n\n", 1},
        {": comment\n\n", 0},
        {"event: ping\n\n", 0},
        {"data: [DONE]\n\n", 0},
        {"event: end\ndata:[DONE]\n\n", 0},
    }));
    CAPTURE(event);
    event_splitter splitter;
    CHECK(splitter.feed(event) == event);
    CHECK(splitter.events() == count);
    CHECK(splitter.done() == event.ends_with("[DONE]\n\n"));
}

// Guards against unbounded memory when a backend server never ends an event.
TEST_CASE("an event over the limit is reported") {
    event_splitter splitter;
    const std::string piece(event_splitter::max_event_bytes, 'x');
    splitter.feed(piece);
    CHECK_FALSE(splitter.overflowed());
    splitter.feed(piece);
    CHECK(splitter.overflowed());
}

}  // namespace
}  // namespace bronzehub::calls
