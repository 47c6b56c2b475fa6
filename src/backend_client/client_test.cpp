#include "backend_client/client.hpp"

#include <algorithm>
#include <atomic>
#include <catch2/catch.hpp>
#include <future>
#include <set>
#include <thread>
#include <tuple>
#include <vector>

#include "http_server/server.hpp"
#include "support/endless_sender.hpp"
#include "support/raw_socket.hpp"

namespace bronzehub::backend_client {
namespace {

using http_server::request;
using test::raw_listener;
using test::raw_socket;
using test::wait_for;
using writer_ptr = std::shared_ptr<http_server::response_writer>;

std::string address_of(std::uint16_t port) {
    return "127.0.0.1:" + std::to_string(port);
}

std::unique_ptr<client> start_client() {
    auto started = client::start();
    REQUIRE(started.ok());
    return *std::move(started);
}

std::unique_ptr<http_server::server> start_server(
    http_server::request_handler handler) {
    auto started = http_server::server::start({}, std::move(handler));
    REQUIRE(started.ok());
    return *std::move(started);
}

// Everything that one call reported.
struct recorded_call {
    int status = 0;
    base::http_headers headers;
    std::string body;
    std::promise<call_result> ended;

    backend_events events() {
        return {
            .on_headers =
                [this](int code, const base::http_headers& received) {
                    status = code;
                    headers = received;
                },
            .on_body =
                [this](std::span<const char> bytes) {
                    body.append(bytes.data(), bytes.size());
                    return absl::OkStatus();
                },
            .on_end =
                [this](const call_result& result) { ended.set_value(result); }};
    }

    call_result result() { return wait_for(ended); }
};

call_result send_and_wait(client& sender, const backend_request& call) {
    recorded_call record;
    sender.send(call, record.events());
    return record.result();
}

constexpr std::string_view whole_response =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

// Guards against a method whose body or headers are lost on the way.
TEST_CASE("every method passes headers and body through") {
    const auto [method, body, expected] =
        GENERATE(table<std::string, std::string, std::string>({
            {"GET", "", "GET /a?b=c "},
            {"HEAD", "", ""},
            {"DELETE", "", "DELETE /a?b=c "},
            {"DELETE", "x", "DELETE /a?b=c x"},
            {"POST", "", "POST /a?b=c "},
            {"POST", "ping", "POST /a?b=c ping"},
            {"PUT", "ping", "PUT /a?b=c ping"},
            {"PATCH", "ping", "PATCH /a?b=c ping"},
        }));
    const auto echo =
        start_server([](const request& call, const writer_ptr& writer) {
            writer->respond(201, call.headers,
                            call.method + " " + call.target + " " + call.body);
        });
    const auto sender = start_client();
    recorded_call record;
    sender->send({.address = address_of(echo->port()),
                  .method = method,
                  .path = "/a?b=c",
                  .headers = {{"X-Name", "value"}, {"X-Empty", ""}},
                  .body = body},
                 record.events());
    const call_result result = record.result();
    CHECK(result.kind == outcome::completed);
    CHECK(result.end_verified);
    CHECK(record.status == 201);
    CHECK(record.body == expected);
    CHECK(base::find_header(record.headers, "x-name") == "value");
    CHECK(base::find_header(record.headers, "x-empty") == "");
    CHECK_FALSE(base::find_header(record.headers, "Accept").has_value());
    CHECK_FALSE(base::find_header(record.headers, "Content-Type").has_value());
}

// Guards against `Expect: 100-continue`, which curl adds to large bodies, and
// against interim responses that are taken for the final one.
TEST_CASE("a large body is sent at once and interim responses are skipped") {
    const raw_listener backend;
    const auto sender = start_client();
    recorded_call record;
    sender->send({.address = address_of(backend.port()),
                  .method = "POST",
                  .body = std::string(std::size_t{2} * 1024 * 1024, 'x')},
                 record.events());
    raw_socket peer = backend.accept();
    const std::string head = peer.read_until("\r\n\r\n");
    CHECK_THAT(head, !Catch::Contains("Expect"));
    CHECK(peer.read_until("xx") == "xx");
    peer.send("HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n");
    peer.send(whole_response);
    std::ignore = record.result();
    CHECK(record.status == 200);
    CHECK_FALSE(base::find_header(record.headers, "Link").has_value());
}

// Guards against paying for a connection on each call, and against reusing
// one for a call that must not be resent.
TEST_CASE("connections are reused unless the call wants a fresh one") {
    const auto [fresh, expected] = GENERATE(
        table<bool, std::size_t>({{false, std::size_t{1}}, {true, 3}}));
    std::set<std::uint16_t> ports;
    const auto backend =
        start_server([&](const request& call, const writer_ptr& writer) {
            ports.insert(call.peer_port);
            writer->respond(200, {}, "ok");
        });
    const auto sender = start_client();
    for (int i = 0; i < 3; ++i) {
        std::ignore =
            send_and_wait(*sender, {.address = address_of(backend->port()),
                                    .fresh_connection = fresh});
    }
    CHECK(ports.size() == expected);
}

constexpr std::string_view payment_body = "pay";

void answer_request(raw_socket& peer) {
    peer.read_until(payment_body);
    peer.send(whole_response);
}

// Answers the first request, closes at the second without a response, and
// waits for a third only when the second came on the connection of the first.
int serve_and_close(const raw_listener& backend) {
    raw_socket first = backend.accept();
    answer_request(first);
    const bool reused = !first.read_until(payment_body).empty();
    first.close();
    raw_socket second = backend.accept();
    if (reused) {
        answer_request(second);
        return 3;
    }
    second.read_until(payment_body);
    return 2;
}

// Guards against running a call twice: libcurl sends a request again when a
// reused connection closes before the response. The first case shows that it
// does, the second that a fresh connection prevents it.
TEST_CASE("only a fresh connection keeps curl from sending a request again") {
    const auto [fresh, requests, kind] = GENERATE(table<bool, int, outcome>({
        {false, 3, outcome::completed},
        {true, 2, outcome::broken},
    }));
    const raw_listener backend;
    std::promise<int> arrived;
    std::thread peer([&] { arrived.set_value(serve_and_close(backend)); });
    const auto sender = start_client();
    const backend_request call{.address = address_of(backend.port()),
                               .method = "POST",
                               .body = std::string(payment_body),
                               .fresh_connection = fresh};
    CHECK(send_and_wait(*sender, call).kind == outcome::completed);
    CHECK(send_and_wait(*sender, call).kind == kind);
    peer.join();
    CHECK(wait_for(arrived) == requests);
}

// Guards against a refusal "not run" for a call that may have run, and the
// other way round.
TEST_CASE("a call that failed to connect was not sent") {
    std::uint16_t free_port = 0;
    {
        const raw_listener closed;
        free_port = closed.port();
    }
    const auto sender = start_client();
    const call_result result =
        send_and_wait(*sender, {.address = address_of(free_port)});
    CHECK(result.kind == outcome::not_sent);
    CHECK_FALSE(result.error.empty());
}

TEST_CASE("a connection that is not accepted in time was not sent") {
    // A full backlog leaves further connections unanswered.
    const raw_listener backend(0);
    const raw_socket first = raw_socket::connect(backend.port());
    const auto sender = start_client();
    CHECK(send_and_wait(*sender,
                        {.address = address_of(backend.port()),
                         .fresh_connection = true,
                         .connect_timeout = std::chrono::milliseconds(100)})
              .kind == outcome::not_sent);
}

TEST_CASE("a request that cannot be written as it is was not sent") {
    backend_request call{.address = "127.0.0.1:1"};
    SECTION("method") {
        call.method = "GET /";
    }
    SECTION("path") {
        call.path = "/a b";
    }
    SECTION("header") {
        call.headers = {{"A", "b\r\nC: d"}};
    }
    SECTION("address") {
        call.address = "127.0.0.1:1/x?";
    }
    CHECK(send_and_wait(*start_client(), call).kind == outcome::not_sent);
}

// Guards against a partial response that is taken for a whole one.
TEST_CASE("a call that was cut after it was sent is broken") {
    const std::string response = GENERATE(
        as<std::string>(), "", "HTTP/1.1 200",
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n");
    CAPTURE(response);
    const raw_listener backend;
    const auto sender = start_client();
    recorded_call record;
    sender->send({.address = address_of(backend.port())}, record.events());
    raw_socket peer = backend.accept();
    peer.read_until("\r\n\r\n");
    peer.send(response);
    peer.close();
    CHECK(record.result().kind == outcome::broken);
}

// Guards against a response that was cut off and looks whole.
TEST_CASE("a response that only the close delimits is marked") {
    const std::string framing =
        GENERATE(as<std::string>(), "", "Transfer-Encoding: identity\r\n");
    CAPTURE(framing);
    const raw_listener backend;
    const auto sender = start_client();
    recorded_call record;
    sender->send({.address = address_of(backend.port())}, record.events());
    raw_socket peer = backend.accept();
    peer.read_until("\r\n\r\n");
    peer.send("HTTP/1.1 200 OK\r\n" + framing + "\r\npart");
    peer.close();
    const call_result result = record.result();
    CHECK(result.kind == outcome::completed);
    CHECK_FALSE(result.end_verified);
}

// Guards against a backend server that keeps a call, a connection and memory
// for as long as it sends bytes that are no answer. libcurl itself ends some of
// these calls, depending on its version.
TEST_CASE("bytes without end that are no answer end the call as broken") {
    const std::string chunked =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string last_chunk = chunked + "2\r\nok\r\n0\r\n";
    const std::string own_limit = "the header fields exceed";
    const auto [response, reason] = GENERATE_COPY(table<test::endless_response,
                                                        std::string>({
        {{"fields", "HTTP/1.1 200 OK\r\n", "A: b\r\n"}, own_limit},
        {{"long field", "HTTP/1.1 200 OK\r\nA: ", "b"}, ""},
        {{"folded field", "HTTP/1.1 200 OK\r\nA: b\r\n", " c\r\n"}, own_limit},
        {{"interim heads", "", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"},
         own_limit},
        {{"interim status", "", "HTTP/1.1 100 Continue\r\n\r\n"}, own_limit},
        {{"no status line", "", "x"}, ""},
        {{"lines but no status line", "", "x\r\n"}, ""},
        {{"empty lines", "", "\r\n"}, ""},
        {{"trailer fields", last_chunk, "A: b\r\n"}, own_limit},
        {{"long trailer field", last_chunk + "A: ", "b"}, ""},
        {{"chunk size", chunked, "0"}, ""},
        {{"chunk extension", chunked + "2\r\nok\r\n2;", "x"},
         "the framing of the body exceeds"},
        {{"other protocol", "HTTP/1.1 101 Switching Protocols\r\n\r\n", "x"},
         "without a final head"},
    }));
    CAPTURE(response.name);
    test::endless_sender backend(response);
    const auto sender = start_client();

    const call_result result =
        send_and_wait(*sender, {.address = address_of(backend.port())});

    CHECK(result.kind == outcome::broken);
    CHECK_FALSE(result.cancelled);
    CHECK_FALSE(result.error.empty());
    CHECK_THAT(result.error, Catch::Contains(reason));
    CHECK(backend.was_closed_early());
}

// Guards against an unusable response that is read to its end, and against an
// error that hides why it was given up.
TEST_CASE("a body that its reader refuses ends the call as broken") {
    test::endless_sender backend({"body", "HTTP/1.1 200 OK\r\n\r\n", "x"});
    const auto sender = start_client();
    recorded_call record;
    backend_events events = record.events();
    events.on_body = [](auto) { return absl::DataLossError("no use"); };
    sender->send({.address = address_of(backend.port())}, std::move(events));
    const call_result result = record.result();
    CHECK(result.kind == outcome::broken);
    CHECK_FALSE(result.cancelled);
    CHECK(result.error == "no use");
    CHECK(backend.was_closed_early());
}

// Guards against limits on useless bytes that count across useful ones.
TEST_CASE("a body in many small chunks arrives whole") {
    constexpr std::size_t chunks = 20'000;
    std::string response =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (std::size_t i = 0; i < chunks; ++i) {
        response += "1;name=value\r\nx\r\n";
    }
    response += "0\r\n\r\n";
    const raw_listener backend;
    const auto sender = start_client();
    recorded_call record;
    sender->send({.address = address_of(backend.port())}, record.events());
    raw_socket peer = backend.accept();
    peer.read_until("\r\n\r\n");
    peer.send(response);
    CHECK(record.result().kind == outcome::completed);
    CHECK(record.body == std::string(chunks, 'x'));
}

// Guards against calls that hang on a silent or endless backend server.
TEST_CASE("a call without progress ends by its timeouts") {
    constexpr auto limit = std::chrono::milliseconds(100);
    backend_request call;
    SECTION("total") {
        call.total_timeout = limit;
    }
    SECTION("idle") {
        call.idle_timeout = limit;
    }
    const raw_listener backend;
    call.address = address_of(backend.port());
    const auto sender = start_client();
    recorded_call record;
    sender->send(call, record.events());
    raw_socket peer = backend.accept();
    peer.read_until("\r\n\r\n");
    peer.send("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart");
    CHECK(record.result().kind == outcome::broken);
    CHECK(record.body == "part");
}

// Guards against a backend server that goes on working for nobody.
TEST_CASE("cancelling ends the call and closes its connection") {
    const raw_listener backend;
    const auto sender = start_client();
    recorded_call record;
    const handle call =
        sender->send({.address = address_of(backend.port())}, record.events());
    raw_socket peer = backend.accept();
    peer.read_until("\r\n\r\n");
    sender->cancel(call);
    sender->cancel(call);
    const call_result result = record.result();
    CHECK(result.cancelled);
    CHECK(result.kind == outcome::broken);
    CHECK(peer.read_all().empty());
}

TEST_CASE("destroying the client ends its calls") {
    const raw_listener backend;
    auto sender = start_client();
    recorded_call record;
    sender->send({.address = address_of(backend.port())}, record.events());
    sender.reset();
    CHECK(record.result().cancelled);
}

// Guards against a paused call that keeps reading into memory: the server must
// see back pressure, and the body must be whole after the pause.
TEST_CASE("a paused call reads nothing until it is resumed") {
    constexpr std::size_t total = std::size_t{32} * 1024 * 1024;
    std::promise<writer_ptr> held;
    const auto backend =
        start_server([&](const request&, const writer_ptr& writer) {
            writer->respond(200, {}, std::string(total, 'x'));
            held.set_value(writer);
        });
    const auto sender = start_client();
    recorded_call record;
    backend_events events = record.events();
    std::promise<handle> known;
    std::promise<void> paused;
    const std::shared_future<handle> id = known.get_future();
    events.on_headers = [&](int, const auto&) {
        sender->pause(id.get());
        paused.set_value();
    };
    known.set_value(sender->send({.address = address_of(backend->port())},
                                 std::move(events)));
    wait_for(paused);
    // A round trip of another call shows that the client's thread went on.
    const raw_listener other;
    recorded_call second;
    sender->send({.address = address_of(other.port())}, second.events());
    raw_socket peer = other.accept();
    peer.read_until("\r\n\r\n");
    peer.send(whole_response);
    std::ignore = second.result();
    CHECK(record.body.empty());
    CHECK(wait_for(held)->pending_bytes() > 0);

    sender->resume(id.get());
    CHECK(record.result().kind == outcome::completed);
    CHECK(record.body.size() == total);
}

// Guards against a lost or mixed-up event when many threads use one client.
TEST_CASE("calls from several threads all end") {
    const auto echo =
        start_server([](const request& call, const writer_ptr& writer) {
            writer->respond(200, {}, call.target);
        });
    const auto sender = start_client();
    std::atomic<int> right = 0;
    constexpr int threads = 4;
    std::vector<std::thread> callers;
    callers.reserve(threads);
    for (int caller = 0; caller < threads; ++caller) {
        callers.emplace_back([&, caller] {
            for (int i = 0; i < 50; ++i) {
                recorded_call record;
                const std::string path =
                    "/" + std::to_string(caller) + "/" + std::to_string(i);
                sender->send(
                    {.address = address_of(echo->port()), .path = path},
                    record.events());
                std::ignore = record.result();
                right += static_cast<int>(record.body == path);
            }
        });
    }
    std::ranges::for_each(callers, &std::thread::join);
    CHECK(right == 200);
}

}  // namespace
}  // namespace bronzehub::backend_client
