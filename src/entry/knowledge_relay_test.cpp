#include "entry/knowledge_relay.hpp"

#include <catch2/catch.hpp>
#include <deque>

namespace {

using namespace std::chrono_literals;
using bronzehub::base::paused_clock;
using bronzehub::entry::decode_message;
using bronzehub::entry::host_directory;
using bronzehub::entry::knowledge_relay;
using bronzehub::fleet_state::backend_server;
using std::chrono::milliseconds;

std::vector<backend_server> make_listing(int count) {
    std::vector<backend_server> result;
    for (int i = 0; i < count; ++i) {
        backend_server server;
        server.id = "i-" + std::to_string(i);
        server.service = "s";
        server.address = "10.0.0.1:80";
        server.failure_domain = "a";
        server.slots = 4;
        result.push_back(server);
    }
    return result;
}

// A reader and its neighbour; the test delivers the datagrams.
struct two_hosts {
    struct host {
        host(two_hosts& all, const std::string& name)
            : directory({name, name + ":1", "a"}, all.time.view()),
              relay(
                  directory, all.time.view(),
                  [&all, name](const std::string& to, std::string_view bytes) {
                      all.sent.push_back({name + ":1", to, std::string(bytes)});
                  },
                  1,
                  {[this](std::uint64_t given, milliseconds at) {
                       version = given;
                       version_at = at;
                   },
                   [this](milliseconds at) { confirmed_at = at; },
                   [this](const std::vector<backend_server>& given,
                          milliseconds at) {
                       listing = given;
                       listing_at = at;
                   }}) {}
        std::uint64_t version = 0;
        milliseconds version_at{};
        milliseconds confirmed_at{};
        std::vector<backend_server> listing;
        milliseconds listing_at{};
        host_directory directory;
        knowledge_relay relay;
    };

    struct datagram {
        std::string from;
        std::string to;
        std::string bytes;
    };

    two_hosts() : reader(*this, "r"), neighbour(*this, "n") {
        reader.directory.on_hello(neighbour.directory.self());
        neighbour.directory.on_hello(reader.directory.self());
    }

    void deliver() {
        while (!sent.empty()) {
            const datagram next = sent.front();
            sent.pop_front();
            const auto message = decode_message(next.bytes);
            REQUIRE(message.has_value());
            CHECK(next.bytes.size() < 60000);
            (next.to == "r:1" ? reader : neighbour)
                .relay.on_message(next.from, *message);
        }
    }

    paused_clock time;
    std::deque<datagram> sent;
    host reader;
    host neighbour;
};

}  // namespace

TEST_CASE("a neighbour learns what the reader read, and when") {
    const int servers = GENERATE(0, 1, 199, 200, 1000);
    two_hosts hosts;
    hosts.reader.relay.on_configuration_read(7, 5000ms);
    const auto listing = make_listing(servers);
    hosts.reader.relay.on_listing_read(listing, 5100ms);
    hosts.deliver();
    CHECK(hosts.neighbour.version == 7);
    CHECK(hosts.neighbour.version_at == 5000ms);
    CHECK(hosts.neighbour.listing.size() == listing.size());
    CHECK(hosts.neighbour.relay.listing_hash() ==
          hosts.reader.relay.listing_hash());
}

// Guards against a server that leaves and gets work because the datagram that
// said so was lost.
TEST_CASE("a listing that was lost is asked for") {
    two_hosts hosts;
    hosts.time.advance(1s);
    hosts.reader.relay.on_listing_read(make_listing(3), 5000ms);
    hosts.sent.clear();
    hosts.reader.relay.on_listing_read(make_listing(3), 5600ms);
    hosts.deliver();
    CHECK(hosts.neighbour.listing.size() == 3);
    CHECK(hosts.neighbour.listing_at == 5600ms);
}

TEST_CASE("a listing that did not change is only confirmed") {
    two_hosts hosts;
    hosts.reader.relay.on_listing_read(make_listing(3), 5000ms);
    hosts.deliver();
    hosts.neighbour.listing.clear();
    hosts.reader.relay.on_listing_read(make_listing(3), 5600ms);
    CHECK(hosts.sent.size() == 1);
    hosts.deliver();
    CHECK(hosts.neighbour.listing.empty());
    CHECK(hosts.neighbour.confirmed_at == 5600ms);
}

// Guards against a listing that brings back what a newer one took away.
TEST_CASE("an older listing changes nothing") {
    two_hosts hosts;
    hosts.reader.relay.on_listing_read(make_listing(3), 5000ms);
    const auto old = hosts.sent;
    hosts.reader.relay.on_listing_read(make_listing(2), 5600ms);
    hosts.deliver();
    REQUIRE(hosts.neighbour.listing.size() == 2);
    hosts.sent = old;
    hosts.deliver();
    CHECK(hosts.neighbour.listing.size() == 2);
}
