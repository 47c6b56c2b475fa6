#include "net/message_syntax.hpp"

#include <catch2/catch.hpp>
#include <fstream>
#include <nlohmann/json.hpp>
#include <vector>

#include "net/message_parser.hpp"

namespace {

using bronzehub::net::message_head;
using bronzehub::net::message_kind;
using bronzehub::net::message_parser;
using state = message_parser::state;

// The state after the message has been fed in parts of at most this size, and
// what was parsed.
struct parsed_message {
    parsed_message(message_kind kind, std::string_view bytes,
                   std::size_t part_size) {
        message_parser parser(
            kind, std::size_t{64} * 1024,
            {[this](message_head& complete) { head = complete; },
             [this](std::string_view part) { body.append(part); }});
        while (!bytes.empty()) {
            const std::string_view part = bytes.substr(0, part_size);
            const std::size_t consumed = parser.feed(part);
            bytes.remove_prefix(consumed);
            if (consumed < part.size()) {
                break;
            }
        }
        end = parser.current_state();
        error = parser.error();
        unconsumed = bytes.size();
    }
    message_head head;
    std::string body;
    state end = state::idle;
    std::string error;
    std::size_t unconsumed = 0;
};

// The cases that tests/entry_path/syntax_path_test.py sends to the daemon. `@`
// stands for the fields that identify its request.
nlohmann::json read_cases() {
    std::ifstream file("tests/support/request_syntax_cases.json");
    return nlohmann::json::parse(file);
}

}  // namespace

// Guards against request smuggling: a request that the next server reads
// differently can hide a second one in its body.
TEST_CASE("a request is accepted only as RFC 9110 and RFC 9112 write it") {
    static const nlohmann::json cases = read_cases();
    const auto index = GENERATE(range<std::size_t>(0, cases.size()));
    const auto part_size = GENERATE(values<std::size_t>({1, 7, 4096}));
    const nlohmann::json& tested = cases[index];
    std::string bytes = tested["bytes"];
    bytes.erase(bytes.find('@'), 1);
    const parsed_message request(message_kind::request, bytes, part_size);
    INFO(tested["name"] << " in parts of " << part_size << ": "
                        << request.error);
    const bool accepted = tested["accepted"];
    CHECK(request.end == (accepted ? state::complete : state::failed));
    CHECK(request.error.empty() == accepted);
    if (accepted) {
        CHECK(request.unconsumed == 0);
        CHECK(request.body == tested.value("body", "none"));
        CHECK(request.head.target == tested.value("target", "/read/"));
    }
}

// Guards against a response whose end two readers see at different places, so
// that the rest is taken for the response to another request.
TEST_CASE("a response with ambiguous framing fails") {
    const auto [fields_and_body,
                expected] = GENERATE(table<std::string, state>({
        {"Content-Length: 1\r\n\r\na", state::complete},
        {"Content-Length : 1\r\n\r\na", state::complete},
        {"Content-Length: 1\r\nContent-Length: 2\r\n\r\na", state::failed},
        {"Content-Length: 1, 2\r\n\r\na", state::failed},
        {"Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
         state::failed},
        {"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", state::failed},
        {"Transfer-Encoding: chunked\r\n\r\n1\r\naXY0\r\n\r\n", state::failed},
        {"X-A: 1\r\n Content-Length: 1\r\n\r\n", state::failed},
        {"X-A: 1\rContent-Length: 1\r\n\r\n", state::failed},
    }));
    const auto part_size = GENERATE(values<std::size_t>({1, 4096}));
    CAPTURE(fields_and_body, part_size);
    const parsed_message response(message_kind::response,
                                  "HTTP/1.1 200 OK\r\n" + fields_and_body,
                                  part_size);
    CHECK(response.end == expected);
}

// Guards against trailers that replace fields of the head, and against a name
// that differs from the field's because of a blank that was left in it.
TEST_CASE("a parsed head holds its own fields without surrounding blanks") {
    const parsed_message response(
        message_kind::response,
        "HTTP/1.1 200 OK\r\nX-A  :  b \t\r\nTransfer-Encoding: chunked\r\n"
        "\r\n0\r\nX-T: 1\r\n\r\n",
        4096);
    REQUIRE(response.end == state::complete);
    REQUIRE(response.head.headers.size() == 2);
    CHECK(response.head.headers[0].name == "X-A");
    CHECK(response.head.headers[0].value == "b");
}
