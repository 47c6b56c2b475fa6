#include "entry/message_parser.hpp"

#include <catch2/catch.hpp>

namespace {

using bronzehub::entry::message_head;
using bronzehub::entry::message_kind;
using bronzehub::entry::message_parser;
using state = message_parser::state;

struct parsed {
    explicit parsed(message_kind kind, std::size_t limit = 1000)
        : parser(kind, limit,
                 {[this](message_head& given) { head = given; },
                  [this](std::string_view bytes) { body.append(bytes); }}) {}
    message_head head;
    std::string body;
    message_parser parser;
};

}  // namespace

// Guards against the rest of one message that is read as part of another.
TEST_CASE("a message ends where its framing says") {
    const auto [bytes, body, left] =
        GENERATE(table<std::string, std::string, std::size_t>({
            {"GET / HTTP/1.1\r\nHost: h\r\n\r\nGET", "", 3},
            {"POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nabrest", "ab", 4},
            {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
             "2\r\nab\r\n1\r\nc\r\n0\r\n\r\nXY",
             "abc", 2},
        }));
    parsed request(message_kind::request);
    CHECK(request.parser.feed(bytes) == bytes.size() - left);
    CHECK(request.parser.where() == state::complete);
    CHECK(request.body == body);
}

// Guards against a request that is hidden in another one.
// NOLINTBEGIN(bugprone-suspicious-missing-comma): literals are joined.
TEST_CASE("ambiguous or malformed requests are refused") {
    const auto bytes = GENERATE(values<std::string>({
        "POST / HTTP/1.1\r\nContent-Length: 4\r\n"
        "Transfer-Encoding: chunked\r\n\r\n",
        "POST / HTTP/1.1\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\n",
        "POST / HTTP/1.1\r\nContent-Length: -4\r\n\r\n",
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked, gzip\r\n\r\n",
        "CONNECT h:80 HTTP/1.1\r\nHost: h\r\n\r\n",
        "nonsense\r\n\r\n",
    }));
    CAPTURE(bytes);
    parsed request(message_kind::request);
    request.parser.feed(bytes);
    CHECK(request.parser.where() == state::failed);
}

// NOLINTEND(bugprone-suspicious-missing-comma)

TEST_CASE("a head beyond the limit is told apart from a malformed one") {
    parsed request(message_kind::request, 50);
    request.parser.feed("GET / HTTP/1.1\r\nX: " + std::string(100, 'a') +
                        "\r\n\r\n");
    CHECK(request.parser.where() == state::head_too_large);
    CHECK(request.parser.error() == "head over 50 bytes");
}

// Guards against a head without end that is kept until the memory is full.
TEST_CASE("a head without end is too large, whatever it repeats") {
    const auto [begin, piece, reason] =
        GENERATE(table<std::string, std::string, std::string>({
            {"HTTP/1.1 200 ", "a", "too many header bytes"},
            {"HTTP/1.1 200 OK\r\n", "a", "head over 65536 bytes"},
            {"HTTP/1.1 200 OK\r\nX: ", "a", "head over 65536 bytes"},
            {"HTTP/1.1 200 OK\r\n", "x: y\r\n", "too many header bytes"},
            {"", "\r\n", "too many header bytes"},
            {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "a",
             "too many header bytes"},
            {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
             "x: y\r\n", "too many header bytes"},
        }));
    CAPTURE(begin, piece);
    parsed response(message_kind::response, std::size_t{64} * 1024);
    response.parser.feed(begin);
    std::size_t taken = 0;
    constexpr std::size_t bound = std::size_t{100} * 1024;
    while (response.parser.error().empty() && taken < bound) {
        taken += response.parser.feed(piece);
    }
    CHECK(std::string(response.parser.error()).find(reason) !=
          std::string::npos);
    CHECK(taken <= std::size_t{80} * 1024);
}

// Guards against a response that was cut off and looks complete.
TEST_CASE(
    "the end of the connection completes only a response without length") {
    const auto [bytes, expected] = GENERATE(table<std::string, state>({
        {"HTTP/1.1 200 OK\r\n\r\nabc", state::complete},
        {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc", state::failed},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
         state::failed},
        {"HTTP/1.1 200 OK\r\nContent-L", state::in_head},
    }));
    CAPTURE(bytes);
    parsed response(message_kind::response);
    response.parser.feed(bytes);
    response.parser.finish();
    CHECK(response.parser.where() == expected);
}

// Guards against a length that is taken for one of a body where none follows.
TEST_CASE("a head tells the length of the body that follows") {
    const auto [bytes, expected] =
        GENERATE(table<std::string, std::optional<std::uint64_t>>({
            {"200 OK\r\nContent-Length: 1000000000000\r\n\r\n", 1000000000000},
            {"200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", std::nullopt},
            {"200 OK\r\n\r\n", std::nullopt},
            {"304 Not Modified\r\nContent-Length: 5\r\n\r\n", std::nullopt},
        }));
    CAPTURE(bytes);
    parsed response(message_kind::response);
    response.parser.feed("HTTP/1.1 " + bytes);
    CHECK(response.head.content_length == expected);
}

// Guards against chunks that are sent to a caller who can't read them.
TEST_CASE("a head tells whether the other side understands chunks") {
    const auto [version, expected] = GENERATE(
        table<std::string, bool>({{"HTTP/1.0", false}, {"HTTP/1.1", true}}));
    parsed request(message_kind::request);
    request.parser.feed("GET / " + version + "\r\nHost: h\r\n\r\n");
    CHECK(request.head.allows_chunks == expected);
}

TEST_CASE("the response to HEAD has no body") {
    parsed response(message_kind::response);
    response.parser.next(true);
    response.parser.feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n");
    CHECK(response.parser.where() == state::complete);
    CHECK_FALSE(response.head.content_length.has_value());
}
