// Tests of the transport's parts that need no socket.
#include <catch2/catch.hpp>

#include "peer/dialler.hpp"
#include "peer/framing.hpp"
#include "peer/handshake.hpp"
#include "peer/send_queue.hpp"

namespace bronzehub::peer {
namespace {

using namespace std::chrono_literals;

const std::size_t report = protocol::body(protocol::usage_report{}).index();
const std::size_t grant = protocol::body(protocol::slot_grant{}).index();

outgoing_message make(std::size_t type, std::string text) {
    return {type, std::make_shared<const std::string>(std::move(text))};
}

std::string drain(send_queue& queue) {
    std::string all;
    while (const auto next = queue.pop()) {
        all += *next->bytes;
    }
    return all;
}

// Guards against a full queue that drops a grant while a report could go.
TEST_CASE("a full queue drops the oldest usage report first") {
    const auto counts = std::make_shared<counters>();
    base::paused_clock time;
    send_queue queue({.max_bytes = 3}, time.view(), counts);
    queue.push(make(grant, "a"));
    queue.push(make(report, "b"));
    queue.push(make(report, "c"));
    queue.push(make(grant, "d"));
    queue.push(make(grant, "e"));
    queue.push(make(grant, "f"));
    CHECK(drain(queue) == "def");
    CHECK(counts->dropped_usage_reports.value() == 2);
    CHECK(counts->dropped_other.value() == 1);
    CHECK(queue.bytes() == 0);
}

// Guards against a grant that starts a call long after its slot is reused.
TEST_CASE("a message that waited too long is dropped") {
    const auto counts = std::make_shared<counters>();
    base::paused_clock time;
    send_queue queue({.max_age = 2s}, time.view(), counts);
    queue.push(make(grant, "old"));
    time.advance(1s);
    queue.push(make(grant, "new"));
    time.advance(1500ms);
    CHECK(drain(queue) == "new");
    CHECK(counts->dropped_expired.value() == 1);
}

// Guards against a message that is lost or merged at a chunk boundary.
TEST_CASE("messages survive any division of the stream") {
    const std::string large(300, 'x');
    const std::string stream =
        frame_message("one") + frame_message("") + frame_message(large);
    const auto chunk = GENERATE(1U, 3U, 7U, 1000U);
    std::vector<std::string> seen;
    frame_reader reader(300, [&](std::span<const char> bytes) {
        seen.emplace_back(bytes.begin(), bytes.end());
        return absl::OkStatus();
    });
    for (std::size_t at = 0; at < stream.size(); at += chunk) {
        const std::string part = stream.substr(at, chunk);
        REQUIRE(reader.read(part).ok());
    }
    CHECK(seen == std::vector<std::string>{"one", "", large});
}

// Guards against memory that a wrong length makes the receiver reserve.
TEST_CASE("a length above the limit is refused before its bytes arrive") {
    frame_reader reader(2, [](auto) { return absl::OkStatus(); });
    const std::string prefix = frame_message("abc").substr(0, 4);
    CHECK(reader.read(prefix).code() == absl::StatusCode::kResourceExhausted);
}

// Guards against a proof that can be replayed, reflected or moved to another
// pair of hosts.
TEST_CASE("a proof is valid for its key, side, names and nonces only") {
    const introduction both{"a", "b", "n1", "n2"};
    const std::string proof = make_proof("key", side::dialler, both);
    const auto [key, prover, claimed, valid] =
        GENERATE(table<std::string, side, introduction, bool>({
            {"key", side::dialler, {"a", "b", "n1", "n2"}, true},
            {"other", side::dialler, {"a", "b", "n1", "n2"}, false},
            {"key", side::acceptor, {"a", "b", "n1", "n2"}, false},
            {"key", side::dialler, {"b", "a", "n1", "n2"}, false},
            {"key", side::dialler, {"a", "c", "n1", "n2"}, false},
            {"key", side::dialler, {"a", "b", "n2", "n2"}, false},
            {"key", side::dialler, {"a", "b", "n1", "n3"}, false},
            {"key", side::dialler, {"a", "bn", "1", "n2"}, false},
        }));
    CHECK(check_proof(key, prover, claimed, proof).ok() == valid);
}

// Guards against major version 1 accepting version 11, or refusing 1.9.
TEST_CASE("only the major version decides") {
    const auto [found, accepted] =
        GENERATE(table<std::string, bool>({{"1.0", true},
                                           {"1.9", true},
                                           {"11.0", false},
                                           {"2.0", false},
                                           {"", false}}));
    CHECK(check_version(1, found).ok() == accepted);
}

// Guards against a delay that grows beyond the time in which a healed
// partition must be noticed.
TEST_CASE("the retry delay doubles up to its limit") {
    const auto [failures, jitter, delay] =
        GENERATE(table<std::uint32_t, double, std::chrono::milliseconds>({
            {1, 0, 100ms},
            {2, 0, 200ms},
            {5, 0, 1600ms},
            {6, 0, 2000ms},
            {1000, 0, 2000ms},
            {1000, 1, 1000ms},
        }));
    CHECK(retry_delay({100ms, 2000ms}, failures, jitter) == delay);
}

// Guards against a mistyped address that is dialled as another one.
TEST_CASE("an address is an IP address and a port") {
    const auto [text, valid] =
        GENERATE(table<std::string, bool>({{"127.0.0.1:80", true},
                                           {"[::1]:80", true},
                                           {"host:80", false},
                                           {"127.0.0.1", false},
                                           {"127.0.0.1:", false},
                                           {"127.0.0.1:0", false},
                                           {"127.0.0.1:80x", false},
                                           {"127.0.0.1:70000", false},
                                           {"", false}}));
    CAPTURE(text);
    CHECK(parse_address(text).ok() == valid);
}

}  // namespace
}  // namespace bronzehub::peer
