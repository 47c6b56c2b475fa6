#include "net/message_parser.hpp"

#include <catch2/catch.hpp>

namespace {

using bronzehub::net::message_head;
using bronzehub::net::message_kind;
using bronzehub::net::message_parser;
using state = message_parser::state;

struct parse_result {
    explicit parse_result(message_kind kind, std::size_t limit = 1000)
        : parser(kind, limit,
                 {[this](message_head& complete_head) { head = complete_head; },
                  [this](std::string_view bytes) { body.append(bytes); }}) {}
    message_head head;
    std::string body;
    message_parser parser;
};

}  // namespace

// Guards against message boundaries in the wrong place, by which the rest of
// one message would be parsed as part of another.
TEST_CASE("a message ends where its framing fields say") {
    const auto [bytes, body, unconsumed] =
        GENERATE(table<std::string, std::string, std::size_t>({
            {"GET / HTTP/1.1\r\nHost: h\r\n\r\nGET", "", 3},
            {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nabrest",
             "ab", 4},
            {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
             "2\r\nab\r\n1\r\nc\r\n0\r\n\r\nXY",
             "abc", 2},
        }));
    parse_result request(message_kind::request);
    CHECK(request.parser.feed(bytes) == bytes.size() - unconsumed);
    CHECK(request.parser.current_state() == state::complete);
    CHECK(request.body == body);
}

// Guards against request smuggling: a request that two HTTP servers frame
// differently can hide a second request in its body.
// NOLINTBEGIN(bugprone-suspicious-missing-comma): literals are joined.
TEST_CASE("ambiguous or malformed requests are refused") {
    const auto bytes = GENERATE(values<std::string>({
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
        "Transfer-Encoding: chunked\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
        "Content-Length: 5\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: -4\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: h\r\n"
        "Transfer-Encoding: chunked, gzip\r\n\r\n",
        "CONNECT h:80 HTTP/1.1\r\nHost: h\r\n\r\n",
        "nonsense\r\n\r\n",
    }));
    CAPTURE(bytes);
    parse_result request(message_kind::request);
    request.parser.feed(bytes);
    CHECK(request.parser.current_state() == state::failed);
}

// NOLINTEND(bugprone-suspicious-missing-comma)

TEST_CASE("a head beyond the limit is distinguished from a malformed one") {
    parse_result request(message_kind::request, 50);
    request.parser.feed("GET / HTTP/1.1\r\nX: " + std::string(100, 'a') +
                        "\r\n\r\n");
    CHECK(request.parser.current_state() == state::head_too_large);
    CHECK(request.parser.error() == "head over 50 bytes");
}

// Guards against a peer that exhausts the memory with a head, chunk header or
// trailer that never ends.
TEST_CASE("a head without end is rejected, whichever part of it repeats") {
    const auto [prefix, repeated, reason] =
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
    CAPTURE(prefix, repeated);
    parse_result response(message_kind::response, std::size_t{64} * 1024);
    response.parser.feed(prefix);
    std::size_t consumed = 0;
    constexpr std::size_t bound = std::size_t{100} * 1024;
    while (response.parser.error().empty() && consumed < bound) {
        consumed += response.parser.feed(repeated);
    }
    CHECK(std::string(response.parser.error()).find(reason) !=
          std::string::npos);
    CHECK(consumed <= std::size_t{80} * 1024);
}

// Guards against a truncated response that is taken for a complete one.
TEST_CASE(
    "the end of the connection completes only a response without a length") {
    const auto [bytes, expected] = GENERATE(table<std::string, state>({
        {"HTTP/1.1 200 OK\r\n\r\nabc", state::complete},
        {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc", state::failed},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
         state::failed},
        {"HTTP/1.1 200 OK\r\nContent-L", state::in_head},
    }));
    CAPTURE(bytes);
    parse_result response(message_kind::response);
    response.parser.feed(bytes);
    response.parser.finish();
    CHECK(response.parser.current_state() == expected);
}

// Guards against the Content-Length of a response without a body, such as 304,
// that is taken for the length of a body that follows.
TEST_CASE("a head has the length of the body that follows") {
    const auto [bytes, expected] =
        GENERATE(table<std::string, std::optional<std::uint64_t>>({
            {"200 OK\r\nContent-Length: 1000000000000\r\n\r\n", 1000000000000},
            {"200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", std::nullopt},
            {"200 OK\r\n\r\n", std::nullopt},
            {"304 Not Modified\r\nContent-Length: 5\r\n\r\n", std::nullopt},
        }));
    CAPTURE(bytes);
    parse_result response(message_kind::response);
    response.parser.feed("HTTP/1.1 " + bytes);
    CHECK(response.head.content_length == expected);
}

// Guards against a chunked response to an HTTP/1.0 caller, which cannot decode
// it.
TEST_CASE("a head tells whether the peer supports chunked transfer coding") {
    const auto [version, expected] = GENERATE(
        table<std::string, bool>({{"HTTP/1.0", false}, {"HTTP/1.1", true}}));
    parse_result request(message_kind::request);
    request.parser.feed("GET / " + version + "\r\nHost: h\r\n\r\n");
    CHECK(request.head.supports_chunked == expected);
}

TEST_CASE("the response to a HEAD request has no body") {
    parse_result response(message_kind::response);
    response.parser.next(true);
    response.parser.feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n");
    CHECK(response.parser.current_state() == state::complete);
    CHECK_FALSE(response.head.content_length.has_value());
}
