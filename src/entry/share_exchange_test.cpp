#include "entry/share_exchange.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

namespace {

using namespace std::chrono_literals;
using bronzehub::base::paused_clock;
using bronzehub::entry::host_directory;
using bronzehub::entry::share_exchange;
using bronzehub::overload::fleet_shares;
using bronzehub::overload::refusal_point;
using bronzehub::overload::share_meter;

// Hosts in two failure domains. Datagrams arrive immediately, except those to
// or from a host that is stopped and those between hosts that are disconnected.
struct exchanging_hosts {
    struct host {
        host(exchanging_hosts& all, const std::string& name,
             const std::string& domain)
            : directory({name, name, domain}, all.time.view()),
              meter(all.time.view()),
              shares(all.time.view()),
              exchange(
                  directory, meter, shares, all.time.view(),
                  [&all, name](const std::string& to, std::string_view bytes) {
                      all.sent.push_back({name, to, std::string(bytes)});
                  },
                  1) {}
        host_directory directory;
        share_meter meter;
        fleet_shares shares;
        share_exchange exchange;
        bool stopped = false;
    };

    struct datagram {
        std::string from;
        std::string to;
        std::string bytes;
    };

    exchanging_hosts() {
        for (const char* name : {"a1", "a2", "a3", "b1", "b2"}) {
            hosts[name] =
                std::make_unique<host>(*this, name, std::string(name, 1));
        }
        for (const auto& [name, one] : hosts) {
            for (const auto& [other_name, other] : hosts) {
                one->directory.on_hello(other->directory.self());
            }
        }
    }

    void exchange(int intervals) {
        for (int i = 0; i < intervals; ++i) {
            time.advance(share_exchange::interval);
            for (const auto& [name, each] : hosts) {
                if (!each->stopped) {
                    each->exchange.tick();
                }
            }
            while (!sent.empty()) {
                const datagram next = sent.front();
                sent.pop_front();
                host& to = *hosts.at(next.to);
                if (!to.stopped && !hosts.at(next.from)->stopped &&
                    !disconnected_pairs.contains({next.from, next.to}) &&
                    !disconnected_pairs.contains({next.to, next.from})) {
                    to.exchange.on_message(
                        next.from,
                        *bronzehub::entry::decode_message(next.bytes));
                }
            }
        }
    }

    // Counts these amounts as granted and refused to the callers of each host.
    void count(double granted, double refused) {
        for (const auto& [name, each] : hosts) {
            each->meter.on_granted("o", granted);
            each->meter.on_refused("o", refused, refusal_point::engines);
        }
    }

    paused_clock time;
    std::deque<datagram> sent;
    std::map<std::string, std::unique_ptr<host>> hosts;
    // Pairs of hosts that cannot reach each other.
    std::set<std::pair<std::string, std::string>> disconnected_pairs;
};

}  // namespace

// Guards against shares that are fair only on each single engine, which happens
// when a host does not learn what the other hosts granted.
TEST_CASE("every host knows what all hosts granted") {
    exchanging_hosts fleet;
    fleet.exchange(3);
    fleet.count(100, 50);
    fleet.exchange(3);
    for (const auto& [name, each] : fleet.hosts) {
        INFO(name);
        REQUIRE(each->shares.is_current());
        // A total of 500 was granted and has decayed for one to three
        // intervals.
        CHECK(each->shares.granted("o") > 500 * std::exp(-0.75 / 2));
        CHECK(each->shares.granted("o") < 500 * std::exp(-0.25 / 2));
    }
}

// Guards against a fleet without current sums when the host that collects the
// reports of a failure domain stops.
TEST_CASE("the next collector takes over when a collector stops") {
    exchanging_hosts fleet;
    fleet.exchange(3);
    const auto collector = fleet.hosts.at("a1")->directory.owner("shares", "a");
    fleet.hosts.at(collector.name)->stopped = true;
    fleet.exchange(10);
    fleet.count(100, 0);
    fleet.exchange(4);
    for (const auto& [name, each] : fleet.hosts) {
        if (!each->stopped) {
            INFO(name);
            CHECK(each->shares.is_current());
            CHECK(each->shares.granted("o") > 200);
        }
    }
}

// Guards against a host that knows only the usage by its own callers, because
// it cannot reach the collector to which the others report.
TEST_CASE("a host cut off from the collector gets the sums from another") {
    exchanging_hosts fleet;
    fleet.exchange(3);
    const auto collector = fleet.hosts.at("a1")->directory.owner("shares", "a");
    const std::string other = collector.name == "a1" ? "a2" : "a1";
    fleet.disconnected_pairs.insert({collector.name, other});
    fleet.exchange(10);
    fleet.count(100, 0);
    fleet.exchange(4);
    CHECK(fleet.hosts.at(other)->shares.is_current());
    CHECK(fleet.hosts.at(other)->shares.granted("o") > 200);
}

// Guards against hosts that have no sums, and so no longer schedule by fair
// share, while they cannot reach another failure domain.
TEST_CASE("a domain that is cut off carries on with its own sums") {
    exchanging_hosts fleet;
    fleet.exchange(3);
    fleet.hosts.at("b1")->stopped = true;
    fleet.hosts.at("b2")->stopped = true;
    fleet.exchange(10);
    fleet.count(100, 0);
    fleet.exchange(2);
    CHECK(fleet.hosts.at("a1")->shares.is_current());
    CHECK(fleet.hosts.at("a1")->shares.granted("o") > 200);
    CHECK(fleet.hosts.at("a1")->shares.granted("o") < 300);
}

// Guards against control traffic that grows with the number of organisations.
TEST_CASE("only the organisations that request most are sent") {
    exchanging_hosts fleet;
    for (int i = 0; i < 1000; ++i) {
        fleet.hosts.at("a1")->meter.on_granted(
            "organisation-" + std::to_string(i), i < 10 ? 1 : 1000 + i);
    }
    fleet.exchange(1);
    const auto& shares = fleet.hosts.at("a2")->shares;
    fleet.exchange(2);
    CHECK(shares.granted("organisation-999") > 0);
    CHECK(shares.granted("organisation-5") == 0);
    for (const auto& [name, each] : fleet.hosts) {
        each->exchange.tick();
    }
    REQUIRE_FALSE(fleet.sent.empty());
    for (const auto& datagram : fleet.sent) {
        CHECK(datagram.bytes.size() < 3000);
    }
}
