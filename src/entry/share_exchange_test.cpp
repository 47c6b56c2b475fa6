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

// Hosts of two failure domains whose datagrams arrive at once, but for those
// to and from hosts that are silent.
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
        bool silent = false;
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
                if (!each->silent) {
                    each->exchange.tick();
                }
            }
            while (!sent.empty()) {
                const datagram next = sent.front();
                sent.pop_front();
                host& to = *hosts.at(next.to);
                if (!to.silent && !hosts.at(next.from)->silent &&
                    !cut.contains({next.from, next.to}) &&
                    !cut.contains({next.to, next.from})) {
                    to.exchange.on_message(
                        next.from,
                        *bronzehub::entry::decode_message(next.bytes));
                }
            }
        }
    }

    // Each host's callers were just granted and refused as much.
    void count(double granted, double refused) {
        for (const auto& [name, each] : hosts) {
            each->meter.on_granted("o", granted);
            each->meter.on_refused("o", refused, refusal_point::engines);
        }
    }

    paused_clock time;
    std::deque<datagram> sent;
    std::map<std::string, std::unique_ptr<host>> hosts;
    // Pairs that do not reach each other.
    std::set<std::pair<std::string, std::string>> cut;
};

}  // namespace

// Guards against shares that are fair on each engine only.
TEST_CASE("every host knows what all hosts granted") {
    exchanging_hosts fleet;
    fleet.exchange(3);
    fleet.count(100, 50);
    fleet.exchange(3);
    for (const auto& [name, each] : fleet.hosts) {
        INFO(name);
        REQUIRE(each->shares.is_current());
        // Of 500, what is left after one to three intervals.
        CHECK(each->shares.granted("o") > 500 * std::exp(-0.75 / 2));
        CHECK(each->shares.granted("o") < 500 * std::exp(-0.25 / 2));
    }
}

// Guards against a fleet that has no shares when one host is lost.
TEST_CASE("a silent collector is passed over") {
    exchanging_hosts fleet;
    fleet.exchange(3);
    const auto collector = fleet.hosts.at("a1")->directory.owner("shares", "a");
    fleet.hosts.at(collector.name)->silent = true;
    fleet.exchange(10);
    fleet.count(100, 0);
    fleet.exchange(4);
    for (const auto& [name, each] : fleet.hosts) {
        if (!each->silent) {
            INFO(name);
            CHECK(each->shares.is_current());
            CHECK(each->shares.granted("o") > 200);
        }
    }
}

// Guards against a host that decides by its own callers alone, as it does not
// reach the collector that the others report to.
TEST_CASE("a host that is cut off from the collector hears it from another") {
    exchanging_hosts fleet;
    fleet.exchange(3);
    const auto collector = fleet.hosts.at("a1")->directory.owner("shares", "a");
    const std::string other = collector.name == "a1" ? "a2" : "a1";
    fleet.cut.insert({collector.name, other});
    fleet.exchange(10);
    fleet.count(100, 0);
    fleet.exchange(4);
    CHECK(fleet.hosts.at(other)->shares.is_current());
    CHECK(fleet.hosts.at(other)->shares.granted("o") > 200);
}

// Guards against hosts that stop deciding by shares while they are cut off
// from another failure domain.
TEST_CASE("a domain that is cut off goes on with its own sums") {
    exchanging_hosts fleet;
    fleet.exchange(3);
    fleet.hosts.at("b1")->silent = true;
    fleet.hosts.at("b2")->silent = true;
    fleet.exchange(10);
    fleet.count(100, 0);
    fleet.exchange(2);
    CHECK(fleet.hosts.at("a1")->shares.is_current());
    CHECK(fleet.hosts.at("a1")->shares.granted("o") > 200);
    CHECK(fleet.hosts.at("a1")->shares.granted("o") < 300);
}

// Guards against control traffic that grows with the number of organisations.
TEST_CASE("only the organisations that ask most are told") {
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
