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
