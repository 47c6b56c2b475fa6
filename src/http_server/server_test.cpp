#include "http_server/server.hpp"

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <asio/executor_work_guard.hpp>
#include <atomic>
#include <catch2/catch.hpp>
#include <future>
#include <thread>
#include <vector>

#include "support/raw_socket.hpp"

namespace bronzehub::http_server {
namespace {

using test::raw_socket;
using test::wait_for;
using writer_ptr = std::shared_ptr<response_writer>;

constexpr std::string_view simple_get = "GET / HTTP/1.1\r\n\r\n";
constexpr std::string_view closing_get =
    "GET / HTTP/1.1\r\nConnection: close\r\n\r\n";

std::unique_ptr<server> start(const options& settings,
                              request_handler handler) {
    auto started = server::start(settings, std::move(handler));
    REQUIRE(started.ok());
    return *std::move(started);
}

// Hands the writer of the first request to the test and ignores the rest.
struct held_response {
    std::promise<writer_ptr> writer;

    request_handler handler() {
        return [this](const request&, const writer_ptr& given) {
            writer.set_value(given);
        };
    }
};

void respond_whole(const request& call, const writer_ptr& writer) {
    writer->respond(200, {{"X-Target", call.target}}, call.body);
}

TEST_CASE("a whole response arrives with its length") {
    const auto echo = start({}, respond_whole);
    auto caller = raw_socket::connect(echo->port());
    caller.send(
        "POST /a?b HTTP/1.1\r\nConnection: close\r\n"
        "Content-Length: 4\r\n\r\nping");
    CHECK(caller.read_all() ==
          "HTTP/1.1 200 OK\r\nConnection: close\r\nX-Target: /a?b\r\n"
          "Content-Length: 4\r\n\r\nping");
}

// Guards against framing that a caller cannot parse: responses to HEAD and
// 204 must not carry a body or a last chunk.
TEST_CASE("a streamed response is framed by chunks") {
    const auto [method, status,
                expected] = GENERATE(table<std::string, int, std::string>({
        {"GET", 200, "Transfer-Encoding: chunked\r\n\r\n3\r\none\r\n0\r\n\r\n"},
        {"HEAD", 200, "Connection: close\r\n\r\n"},
        {"GET", 204, "Connection: close\r\n\r\n"},
    }));
    const auto target =
        start({}, [code = status](const request&, const writer_ptr& writer) {
            writer->start(code, {});
            writer->write("one");
            writer->finish();
        });
    auto caller = raw_socket::connect(target->port());
    caller.send(method + " / HTTP/1.1\r\nConnection: close\r\n\r\n");
    CHECK_THAT(caller.read_all(), Catch::EndsWith(expected));
}

// Guards against responses that are mixed up or lost when a caller sends its
// next requests before the response to the first.
TEST_CASE("pipelined requests on one connection are answered in order") {
    const auto echo = start({}, respond_whole);
    auto caller = raw_socket::connect(echo->port());
    caller.send("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
    CHECK_THAT(caller.read_until("\r\n\r\n"), Catch::Contains("/1"));
    CHECK_THAT(caller.read_until("\r\n\r\n"), Catch::Contains("/2"));
    caller.send("GET /3 HTTP/1.1\r\n\r\n");
    CHECK_THAT(caller.read_until("\r\n\r\n"), Catch::Contains("/3"));
}

// Guards against callers that lose a second before each large body.
TEST_CASE("a caller that expects 100 Continue gets it before its body") {
    const auto echo = start({}, respond_whole);
    auto caller = raw_socket::connect(echo->port());
    caller.send(
        "POST / HTTP/1.1\r\nexpect: 100-Continue\r\nContent-Length: 4\r\n"
        "Connection: close\r\n\r\n");
    CHECK(caller.read_until("\r\n\r\n") == "HTTP/1.1 100 Continue\r\n\r\n");
    caller.send("ping");
    CHECK_THAT(caller.read_all(), Catch::EndsWith("\r\n\r\nping"));
}

// Guards against RESTinio's upgrade path, which would hand the same request
// out again after its response.
TEST_CASE("a request that offers an upgrade is handled once") {
    std::atomic<int> calls = 0;
    const auto target =
        start({}, [&](const request& call, const writer_ptr& writer) {
            ++calls;
            respond_whole(call, writer);
        });
    auto caller = raw_socket::connect(target->port());
    caller.send(
        "GET / HTTP/1.1\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n");
    CHECK_THAT(caller.read_all(), Catch::StartsWith("HTTP/1.1 200"));
    CHECK(calls == 1);
}

struct bad_input {
    std::string name;
    std::string bytes;
    std::string status;
    bool half_closed = false;
};

std::string with_header(const std::string& field) {
    return "POST / HTTP/1.1\r\n" + field + "\r\n\r\n";
}

// Guards against requests that reach the handler, hang, or end without a
// status although they break the protocol or a limit.
TEST_CASE("a bad request ends with a status and a closed connection") {
    const std::string long_text(3000, 'a');
    std::string many_fields;
    for (int i = 0; i < 25; ++i) {
        many_fields += "A: b\r\n";
    }
    const bad_input input = GENERATE_COPY(values<bad_input>({
        {"no request line", "nonsense\r\n\r\n", "400"},
        {"two framings",
         with_header("Content-Length: 4\r\nTransfer-Encoding: chunked"), "400"},
        {"cut in the head", "GET / HTTP/1.1\r\nA: b", "400", true},
        {"cut in the body", with_header("Content-Length: 9") + "abc", "400",
         true},
        {"stalled in the head", "GET / HTTP/1.1\r\nA: b", "408"},
        {"stalled in the body", with_header("Content-Length: 9") + "abc",
         "408"},
        {"declared body too large", with_header("Content-Length: 5001"), "413"},
        {"chunked body too large",
         with_header("Transfer-Encoding: chunked") + "1389\r\n" +
             std::string(5001, 'a'),
         "413"},
        {"long target", "GET /" + long_text + " HTTP/1.1\r\n\r\n", "414"},
        {"long field value", with_header("A: " + long_text), "431"},
        {"long field name", with_header(long_text + ": b"), "431"},
        {"many fields", "GET / HTTP/1.1\r\n" + many_fields + "\r\n", "431"},
        {"long head in all",
         with_header("A: " + std::string(1500, 'a') +
                     "\r\nB: " + std::string(1500, 'b')),
         "431"},
        {"endless head", "GET / HTTP/1.1\r\n" + std::string(90000, 'a'), "431"},
    }));
    CAPTURE(input.name);
    std::atomic<int> calls = 0;
    const auto target =
        start({.max_body_bytes = 5000,
               .max_target_bytes = 2000,
               .max_header_bytes = 2500,
               .max_header_field_bytes = 2000,
               .max_header_count = 20,
               .read_timeout = std::chrono::milliseconds(200)},
              [&](const request&, const writer_ptr&) { ++calls; });
    auto caller = raw_socket::connect(target->port());
    caller.send(input.bytes);
    if (input.half_closed) {
        caller.shutdown_send();
    }
    CHECK_THAT(caller.read_all(),
               Catch::StartsWith("HTTP/1.1 " + input.status + " "));
    CHECK(calls == 0);
}

// Guards against a sender that stays under every size limit on bytes of
// content but makes the parser keep a record for each tiny chunk.
TEST_CASE("a body in one-byte chunks is bounded by its bytes on the wire") {
    const auto echo = start({.max_body_bytes = 5000,
                             .max_target_bytes = 100,
                             .max_header_bytes = 100},
                            respond_whole);
    auto caller = raw_socket::connect(echo->port());
    std::string chunks;
    for (int i = 0; i < 4999; ++i) {
        chunks += "1\r\na\r\n";
    }
    caller.send("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
    caller.send(chunks);
    CHECK_THAT(caller.read_all(), Catch::StartsWith("HTTP/1.1 413"));
}

// Guards against idle connections that are kept for ever.
TEST_CASE("an idle connection is closed") {
    const auto echo =
        start({.idle_timeout = std::chrono::milliseconds(50)}, respond_whole);
    auto caller = raw_socket::connect(echo->port());
    CHECK(caller.read_all().empty());
}

// Guards against work that goes on for a caller who has left: RESTinio itself
// notices only at the next write. Unread pipelined bytes must not hide it.
TEST_CASE("a caller that leaves is noticed while the handler waits") {
    const std::string extra = GENERATE(as<std::string>(), "", "GET /2 HTTP");
    held_response held;
    const auto target = start({}, held.handler());
    auto caller = raw_socket::connect(target->port());
    caller.send(simple_get);
    const auto writer = wait_for(held.writer);
    std::promise<void> closed;
    writer->on_closed([&] { closed.set_value(); });
    caller.send(extra);
    caller.close();
    CHECK_NOTHROW(wait_for(closed));
}

// Guards against a hook that is lost because the caller left first.
TEST_CASE("a hook set after the caller left is still called") {
    held_response held;
    const auto target = start({}, held.handler());
    auto caller = raw_socket::connect(target->port());
    caller.send(simple_get);
    const auto writer = wait_for(held.writer);
    std::promise<void> first;
    std::promise<void> second;
    writer->on_closed([&] { first.set_value(); });
    caller.close();
    wait_for(first);
    writer->on_closed([&] { second.set_value(); });
    CHECK_NOTHROW(wait_for(second));
}

// Guards against a partial response that looks whole, and against losing the
// bytes that explain why it is partial.
TEST_CASE("an aborted stream delivers its bytes but no last chunk") {
    const auto target = start({}, [](const request&, const writer_ptr& writer) {
        writer->start(200, {});
        writer->write("part");
        writer->abort();
    });
    auto caller = raw_socket::connect(target->port());
    caller.send(simple_get);
    const std::string response = caller.read_all();
    CHECK_THAT(response, Catch::EndsWith("part\r\n"));
}

// Guards against a caller that waits for ever for a response that nobody will
// write.
TEST_CASE("dropping the writer closes the connection") {
    const auto target = start({}, [](const request&, const writer_ptr&) {});
    auto caller = raw_socket::connect(target->port());
    caller.send(simple_get);
    CHECK(caller.read_all().empty());
}

// Writes until `limit` bytes wait, then continues on each drain.
void pump(const writer_ptr& writer, std::size_t left, std::size_t limit) {
    const std::string block(std::size_t{64} * 1024, 'x');
    while (left > 0 && writer->pending_bytes() < limit) {
        const std::size_t size = std::min(left, block.size());
        writer->write(std::string_view(block).substr(0, size));
        left -= size;
    }
    if (left == 0) {
        writer->finish();
    } else {
        writer->on_drained([=] { pump(writer, left, limit); });
    }
}

// Guards against a response that piles up in memory when its caller reads
// slowly, and against a drain hook that never comes.
TEST_CASE("a slow reader bounds what waits and gets everything") {
    constexpr std::size_t total = std::size_t{32} * 1024 * 1024;
    constexpr std::size_t limit = std::size_t{1024} * 1024;
    held_response held;
    const auto target = start({}, held.handler());
    auto caller = raw_socket::connect(target->port());
    caller.send(closing_get);
    const auto writer = wait_for(held.writer);
    writer->start(200, {});
    pump(writer, total, limit);
    CHECK(writer->pending_bytes() <= limit + std::size_t{64} * 1024);
    const std::string response = caller.read_all();
    CHECK(std::ranges::count(response, 'x') == total);
    CHECK_THAT(response, Catch::EndsWith("0\r\n\r\n"));
    CHECK(writer->pending_bytes() == 0);
}

// Guards against a caller that holds memory by never reading.
TEST_CASE("a caller that stops reading is dropped after the write timeout") {
    held_response held;
    const auto target = start({.write_timeout = std::chrono::milliseconds(100)},
                              held.handler());
    auto caller = raw_socket::connect(target->port());
    caller.send(simple_get);
    const auto writer = wait_for(held.writer);
    std::promise<void> closed;
    writer->on_closed([&] { closed.set_value(); });
    writer->respond(200, {}, std::string(std::size_t{32} * 1024 * 1024, 'x'));
    CHECK_NOTHROW(wait_for(closed));
    CHECK(writer->pending_bytes() == 0);
}

// Guards against unbounded work in handlers.
TEST_CASE("requests over the limit are answered with 503") {
    held_response held;
    const auto target = start({.max_requests = 1}, held.handler());
    auto first = raw_socket::connect(target->port());
    first.send(simple_get);
    const auto writer = wait_for(held.writer);
    auto second = raw_socket::connect(target->port());
    second.send(closing_get);
    CHECK_THAT(second.read_all(), Catch::StartsWith("HTTP/1.1 503"));
    writer->respond(200, {}, "");
    CHECK_THAT(first.read_until("\r\n\r\n"), Catch::StartsWith("HTTP/1.1 200"));
}

// Guards against a graceful shutdown that cuts running requests.
TEST_CASE("running requests end after the server stopped listening") {
    held_response held;
    const auto target = start({.threads = 2}, held.handler());
    auto caller = raw_socket::connect(target->port());
    caller.send(closing_get);
    const auto writer = wait_for(held.writer);
    target->stop_listening();
    CHECK_THROWS(raw_socket::connect(target->port()));
    writer->respond(200, {}, "late");
    CHECK_THAT(caller.read_all(), Catch::EndsWith("late"));
}

// Guards against keep-alive callers that hold a draining server.
TEST_CASE("responses after the server stopped listening close connections") {
    const auto echo = start({}, respond_whole);
    auto caller = raw_socket::connect(echo->port());
    caller.send(simple_get);
    caller.read_until("\r\n\r\n");
    echo->stop_listening();
    caller.send(simple_get);
    CHECK_THAT(caller.read_all(), Catch::Contains("Connection: close"));
}

TEST_CASE("connections over the limit are closed") {
    const auto echo = start({.max_connections = 1}, respond_whole);
    auto first = raw_socket::connect(echo->port());
    first.send(simple_get);
    CHECK_THAT(first.read_until("\r\n\r\n"), Catch::StartsWith("HTTP/1.1 200"));
    CHECK(raw_socket::connect(echo->port()).read_all().empty());
}

std::uint16_t free_port() {
    return test::raw_listener().port();
}

// Takes every descriptor that the process may still open.
std::vector<raw_socket> exhaust_descriptors() {
    std::vector<raw_socket> taken;
    for (int next = dup(0); next >= 0; next = dup(0)) {
        taken.emplace_back(next);
    }
    return taken;
}

bool is_answered(std::uint16_t port) {
    try {
        auto caller = raw_socket::connect(port);
        caller.send(closing_get);
        return caller.read_all().starts_with("HTTP/1.1 200");
    } catch (const std::runtime_error&) {
        return false;
    }
}

// Guards against a server that never accepts again after it once ran out of
// descriptors.
TEST_CASE("a server accepts again after it ran out of descriptors") {
    constexpr rlim_t few_descriptors = 64;
    const auto echo = start({.port = free_port()}, respond_whole);
    auto caller = raw_socket::create();
    rlimit before{};
    getrlimit(RLIMIT_NOFILE, &before);
    const rlimit lowered{few_descriptors, before.rlim_max};
    setrlimit(RLIMIT_NOFILE, &lowered);
    auto taken = exhaust_descriptors();
    // The failed accept makes the server close the socket on which the caller
    // waits.
    caller.connect_to(echo->port());
    CHECK(caller.read_all().empty());
    taken.clear();
    const auto end = std::chrono::steady_clock::now() + test::patience;
    bool answered = false;
    while (!answered && std::chrono::steady_clock::now() < end) {
        answered = is_answered(echo->port());
    }
    CHECK(answered);
    setrlimit(RLIMIT_NOFILE, &before);
}

// Guards against connections that outlive the server and against a writer
// that touches a destroyed server.
TEST_CASE("stopping closes connections and tells the writers") {
    held_response held;
    auto target = start({}, held.handler());
    auto caller = raw_socket::connect(target->port());
    caller.send(simple_get);
    const auto writer = wait_for(held.writer);
    std::atomic<bool> closed = false;
    writer->on_closed([&] { closed = true; });
    target.reset();
    CHECK(closed);
    CHECK(caller.read_all().empty());
    writer->respond(200, {}, "too late");
}

TEST_CASE("a server runs on a context of its owner") {
    asio::io_context context;
    const auto echo = start({.context = &context}, respond_whole);
    auto work = asio::make_work_guard(context);
    std::thread runner([&] { context.run(); });
    auto caller = raw_socket::connect(echo->port());
    caller.send(closing_get);
    CHECK_THAT(caller.read_all(), Catch::StartsWith("HTTP/1.1 200"));
    echo->stop();
    work.reset();
    runner.join();
}

TEST_CASE("an address that cannot be used is reported") {
    CHECK(
        server::start({.address = "nowhere"}, respond_whole).status().code() ==
        absl::StatusCode::kInvalidArgument);
    const auto first = start({}, respond_whole);
    CHECK(
        server::start({.port = first->port()}, respond_whole).status().code() ==
        absl::StatusCode::kUnavailable);
}

}  // namespace
}  // namespace bronzehub::http_server
