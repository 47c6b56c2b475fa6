#include "peer/transport.hpp"

#include <asio.hpp>
#include <catch2/catch.hpp>
#include <map>

namespace bronzehub::peer {
namespace {

using namespace std::chrono_literals;

// Longer than any exchange on loopback; only a failing test waits for it.
constexpr auto patience = 30s;

// One daemon's transport and what its hooks reported.
struct node {
    node(asio::io_context& context, transport_options options,
         std::uint16_t port = 0)
        : name(options.host),
          peers(context, std::move(options),
                {[this](protocol::message message) {
                     received.push_back(std::move(message));
                 },
                 [this](const auto& host) { ++connects[host]; },
                 [this](const auto& host, const auto&) { ++disconnects[host]; },
                 [this](const auto&, const auto&, const auto& status) {
                     failures.push_back(status);
                 }}) {
        REQUIRE(peers.listen("127.0.0.1", port).ok());
    }

    std::string address() const {
        return "127.0.0.1:" + std::to_string(peers.port());
    }

    // Sends a notice; its version tells messages apart.
    void send(const std::string& host, std::uint64_t version) {
        peers.send(host, {{name, 1, version},
                          protocol::configuration_notice{version}});
    }

    std::vector<std::uint64_t> versions() const {
        std::vector<std::uint64_t> all;
        all.reserve(received.size());
        for (const auto& each : received) {
            all.push_back(each.from.sequence);
        }
        return all;
    }

    std::string name;
    std::vector<protocol::message> received;
    std::map<std::string, int> connects;
    std::map<std::string, int> disconnects;
    std::vector<absl::Status> failures;
    transport peers;
};

transport_options named(std::string host) {
    return {.host = std::move(host),
            .shared_key = "key",
            .first_retry_delay = 1ms,
            .last_retry_delay = 10ms};
}

// Runs the context until the condition holds.
template <class Condition>
bool run_until(asio::io_context& context, Condition holds) {
    const auto limit = std::chrono::steady_clock::now() + patience;
    context.restart();
    while (!holds() && std::chrono::steady_clock::now() < limit) {
        context.run_one_until(limit);
    }
    return holds();
}

using versions = std::vector<std::uint64_t>;

// Guards against a direction that needs a connection of its own, and against
// counters that miss a message.
TEST_CASE("hosts exchange messages over the connection that one dialled") {
    asio::io_context context;
    node a(context, named("a"));
    node b(context, named("b"));
    a.peers.set_peer("b", b.address());
    a.send("b", 1);
    a.send("b", 2);
    REQUIRE(run_until(context, [&] { return b.received.size() == 2; }));
    b.send("a", 3);
    REQUIRE(run_until(context, [&] { return a.received.size() == 1; }));

    CHECK(b.versions() == versions{1, 2});
    CHECK(b.received[0].from.host == "a");
    CHECK(a.connects["b"] == 1);
    CHECK(b.connects["a"] == 1);
    const std::size_t type = a.received[0].content.index();
    CHECK(message_type_name(type) == "configuration_notice");
    CHECK(a.peers.counts().sent[type].messages.value() == 2);
    CHECK(b.peers.counts().received[type].messages.value() == 2);
    CHECK(a.peers.counts().sent[type].bytes.value() ==
          b.peers.counts().received[type].bytes.value());
}

// Guards against messages that are lost or repeated when two hosts dial each
// other at once and one of the connections is given up.
TEST_CASE("simultaneous dialling delivers every message once") {
    asio::io_context context;
    node a(context, named("a"));
    node b(context, named("b"));
    a.peers.set_peer("b", b.address());
    b.peers.set_peer("a", a.address());
    versions all(200);
    for (std::uint64_t each = 0; each < all.size(); ++each) {
        all[each] = each;
        a.send("b", each);
        b.send("a", each);
    }
    REQUIRE(run_until(context, [&] {
        return a.received.size() >= all.size() &&
               b.received.size() >= all.size() &&
               a.peers.counts().disconnects.value() ==
                   a.peers.counts().connects.value() - 1 &&
               b.peers.counts().disconnects.value() ==
                   b.peers.counts().connects.value() - 1;
    }));
    auto at_a = a.versions();
    auto at_b = b.versions();
    std::ranges::sort(at_a);
    std::ranges::sort(at_b);
    CHECK(at_a == all);
    CHECK(at_b == all);
    CHECK(a.disconnects.empty());
    CHECK(b.disconnects.empty());
}

// Guards against a host that is let in, or left without a reason, when its
// key, version or name is wrong.
TEST_CASE("a peer that does not match is refused with a clear status") {
    const auto [key, major, expected, code] = GENERATE(
        table<std::string, std::uint32_t, std::string, absl::StatusCode>({
            {"wrong", 1, "b", absl::StatusCode::kPermissionDenied},
            {"key", 2, "b", absl::StatusCode::kUnimplemented},
            {"key", 1, "c", absl::StatusCode::kFailedPrecondition},
        }));
    asio::io_context context;
    transport_options options = named("a");
    options.shared_key = key;
    options.major_version = major;
    node a(context, options);
    node b(context, named("b"));
    a.peers.set_peer(expected, b.address());
    a.send(expected, 1);
    REQUIRE(run_until(
        context, [&] { return !a.failures.empty() && !b.failures.empty(); }));

    CHECK(a.failures[0].code() == code);
    CHECK(b.received.empty());
    CHECK(a.connects.empty());
    CHECK(b.connects.empty());
    const bool key_refused = code == absl::StatusCode::kPermissionDenied;
    const bool version_refused = code == absl::StatusCode::kUnimplemented;
    for (const node* each : {&a, &b}) {
        const counters& counts = each->peers.counts();
        CHECK((counts.authentication_failures.value() > 0) == key_refused);
        CHECK((counts.version_refusals.value() > 0) == version_refused);
    }
}

// Guards against a message that fills the memory of its receiver, or one
// that its sender cannot deliver and sends again and again.
TEST_CASE("an oversized message is refused by either side") {
    const bool sender_limits = GENERATE(true, false);
    asio::io_context context;
    transport_options small = named(sender_limits ? "a" : "b");
    small.max_message_bytes = 100;
    node a(context, sender_limits ? small : named("a"));
    node b(context, sender_limits ? named("b") : small);
    a.peers.set_peer("b", b.address());
    a.peers.send("b", {{"a", 1, 1},
                       protocol::configuration_delta{
                           0, 1, {}, std::string(100'000, 'x')}});
    a.send("b", 2);
    const counter& refused = sender_limits ? a.peers.counts().dropped_oversized
                                           : b.peers.counts().refused_messages;
    REQUIRE(run_until(context, [&] { return refused.value() == 1; }));
    a.send("b", 3);
    REQUIRE(run_until(context, [&] {
        return !b.received.empty() && b.versions().back() == 3;
    }));
}

// Guards against a peer that stays unreachable after it is replaced.
TEST_CASE("a restarted peer is dialled again") {
    asio::io_context context;
    node a(context, named("a"));
    auto b = std::make_unique<node>(context, named("b"));
    const std::uint16_t port = b->peers.port();
    a.peers.set_peer("b", b->address());
    a.send("b", 1);
    REQUIRE(run_until(context, [&] { return b->received.size() == 1; }));
    b.reset();
    REQUIRE(run_until(context, [&] { return a.disconnects["b"] == 1; }));
    a.send("b", 2);
    REQUIRE(run_until(context, [&] { return !a.failures.empty(); }));

    node restarted(context, named("b"), port);
    // The first message may be too old by now; the second one is not.
    a.send("b", 3);

    REQUIRE(run_until(context, [&] {
        return !restarted.received.empty() && restarted.versions().back() == 3;
    }));
    CHECK(a.failures[0].code() == absl::StatusCode::kUnavailable);
}

// Guards against a frozen peer that makes its senders run out of memory.
TEST_CASE("a peer that does not read costs a bounded queue") {
    asio::io_context context;
    asio::io_context frozen;
    transport_options options = named("a");
    options.queue.max_bytes = 100'000;
    // The test may be slow; the bound is what matters here.
    options.queue.max_age = 1h;
    node a(context, options);
    node b(frozen, named("b"));
    a.peers.set_peer("b", b.address());
    a.send("b", 0);
    REQUIRE(run_until(context, [&] {
        frozen.poll();
        frozen.restart();
        return b.received.size() == 1;
    }));
    protocol::usage_report report;
    report.rows.resize(100);
    const std::uint64_t count = 5000;
    for (std::uint64_t each = 1; each <= count; ++each) {
        a.peers.send("b", {{"a", 1, each}, report});
    }
    context.restart();
    context.poll();
    const std::uint64_t dropped =
        a.peers.counts().dropped_usage_reports.value();
    CHECK(dropped > count / 2);

    REQUIRE(run_until(context, [&] {
        frozen.restart();
        frozen.poll();
        return b.versions().back() == count;
    }));
    CHECK(b.received.size() + dropped == count + 1);
}

// Guards against a daemon that only knows addresses and cannot join, or that
// dials itself for ever.
TEST_CASE("a seed gives a peer its name") {
    asio::io_context context;
    node a(context, named("a"));
    node b(context, named("b"));
    a.peers.add_seed(a.address());
    a.peers.add_seed(b.address());
    REQUIRE(run_until(context, [&] {
        return a.connects["b"] == 1 && a.failures.size() == 2;
    }));
    CHECK(a.failures[0].code() == absl::StatusCode::kFailedPrecondition);
    a.send("b", 1);
    CHECK(run_until(context, [&] { return b.received.size() == 1; }));
}

// Guards against a host that left the fleet and is still dialled or served.
TEST_CASE("a removed peer is disconnected and its messages are dropped") {
    const bool connected = GENERATE(true, false);
    asio::io_context context;
    node a(context, named("a"));
    node b(context, named("b"));
    a.peers.set_peer("b", b.address());
    a.send("b", 1);
    REQUIRE((!connected ||
             run_until(context, [&] { return a.connects["b"] == 1; })));

    a.peers.remove_peer("b");
    a.send("b", 2);

    const counters& counts = a.peers.counts();
    REQUIRE(
        run_until(context, [&] { return counts.disconnects.value() == 1; }));
    CHECK(counts.dropped_unknown_host.value() == 1);
    CHECK(counts.connects.value() == 1);
}

// Guards against a daemon that speaks for another one.
TEST_CASE("a message in the name of another host is dropped") {
    asio::io_context context;
    node a(context, named("a"));
    node b(context, named("b"));
    a.peers.set_peer("b", b.address());
    a.name = "c";
    a.send("b", 1);
    a.name = "a";
    a.send("b", 2);
    REQUIRE(run_until(context, [&] { return !b.received.empty(); }));
    CHECK(b.versions() == versions{2});
    CHECK(b.peers.counts().refused_messages.value() == 1);
}

}  // namespace
}  // namespace bronzehub::peer
