#include "membership/membership.hpp"

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include "membership/fake_network.hpp"

namespace bronzehub::membership {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::duration join_limit = seconds(10);

bool all_see(fake_network& network, std::size_t subject, member_state state) {
    for (std::size_t i = 0; i < network.size(); ++i) {
        if (i != subject && network.is_running(i)) {
            const member* known = network.at(i).find(network.name(subject));
            if (known == nullptr || known->state != state) {
                return false;
            }
        }
    }
    return true;
}

void require_join(fake_network& network) {
    network.start_all();
    const auto converged = [&] { return network.is_converged(); };
    REQUIRE(network.run_until(converged, join_limit) < join_limit);
}

// Guards against a dead host that keeps its duties, and against a detection
// that finds it by declaring others dead.
TEST_CASE("a stopped host is declared dead everywhere in time") {
    const auto [hosts, limit] = GENERATE(table<std::size_t, base::duration>(
        {{3, seconds(4)}, {8, seconds(4)}, {60, seconds(5)}}));
    fake_network network({.hosts = hosts});
    require_join(network);

    network.stop(1);

    const auto gone = [&] { return network.is_converged(); };
    CHECK(network.run_until(gone, limit) < limit);
    CHECK(network.false_deaths == 0);
}

// Guards against work that is taken from a daemon that is alive.
TEST_CASE("without loss no live host is declared dead") {
    rc::prop("random delays and one stopped host", [] {
        fake_network network(
            {.hosts = *rc::gen::inRange<std::size_t>(2, 61),
             .seed = *rc::gen::arbitrary<std::uint64_t>(),
             .most_delay = milliseconds(*rc::gen::inRange(2, 90))});
        network.start_all();
        network.run_for(seconds(5));
        network.stop(0);
        network.run_for(seconds(20));
        RC_ASSERT(network.false_deaths == 0U);
        RC_ASSERT(network.is_converged());
    });
}

// Guards against a partition after which the sides ignore each other, and
// against stale news of one side that outlives it.
TEST_CASE("a healed partition rejoins") {
    rc::prop("random split, length and loss", [] {
        const auto hosts = *rc::gen::inRange<std::size_t>(2, 61);
        const auto side = *rc::gen::inRange<std::size_t>(1, hosts);
        const auto cut_for = seconds(*rc::gen::inRange(1, 60));
        fake_network network(
            {.hosts = hosts, .seed = *rc::gen::arbitrary<std::uint64_t>()});
        network.start_all();
        network.run_for(seconds(5));
        network.is_cut = [side](std::size_t from, std::size_t to) {
            return (from < side) != (to < side);
        };
        network.loss = *rc::gen::element(0.0, 0.05);
        network.run_for(cut_for);
        network.is_cut = [](auto, auto) { return false; };
        network.loss = 0;
        RC_ASSERT(network.settle(seconds(20)) <= seconds(10));
    });
}

// Guards against comparisons of views that keep a daemon from asking the other
// side of a healed partition for its view. Took 10.55 s before.
TEST_CASE("comparisons do not delay the view of the other side") {
    fake_network network({.hosts = 38, .seed = 98695875795881499U});
    network.start_all();
    network.run_for(seconds(5));
    network.is_cut = [](std::size_t from, std::size_t to) {
        return (from < 8) != (to < 8);
    };
    network.loss = 0.05;
    network.run_for(seconds(41));
    network.is_cut = [](auto, auto) { return false; };
    network.loss = 0;

    CHECK(network.settle(seconds(20)) <= seconds(5));
}

// Guards against suspicions under loss that end before the member can object.
TEST_CASE("a lossy network keeps its members") {
    fake_network network({.hosts = 30});
    require_join(network);

    network.loss = 0.1;
    network.run_for(seconds(60));

    CHECK(network.false_deaths == 0);
}

// Guards against a member that counts as dead because one path is broken.
TEST_CASE("a one-way cut kills nobody") {
    fake_network network({.hosts = 8});
    require_join(network);
    network.is_cut = [](std::size_t from, std::size_t to) {
        return from == 2 && to == 5;
    };

    network.run_for(seconds(60));

    CHECK(network.false_deaths == 0);
    CHECK(network.is_converged());
}

// Guards against a restarted daemon that others ignore because its incarnation
// is not above the one that they remember.
TEST_CASE("a restart with nothing remembered is accepted") {
    const auto downtime = GENERATE(seconds(0), seconds(10));
    const auto incarnation = GENERATE(1, 2);
    fake_network network({.hosts = 8});
    require_join(network);
    network.stop(4);
    network.run_for(downtime);

    network.start(4, incarnation);

    const auto back = [&] { return network.is_converged(); };
    CHECK(network.run_until(back, seconds(8)) < seconds(8));
}

// Guards against a process that was stopped and blames the others, and against
// others that never take it back.
TEST_CASE("a frozen member refreshes before it judges") {
    fake_network network({.hosts = 8});
    require_join(network);
    network.freeze(3);
    network.run_for(seconds(20));
    REQUIRE(all_see(network, 3, member_state::dead));
    network.stop(6);
    network.run_for(seconds(10));

    network.thaw(3);
    network.run_for(milliseconds(100));

    CHECK(network.at(3).counters().resumptions == 1);
    const auto back = [&] { return network.is_converged(); };
    CHECK(network.run_until(back, seconds(5)) < seconds(5));
    // The death of host 6 came from the others' views.
    CHECK(network.at(3).counters().suspicions == 0);
}

// Guards against new work for a daemon that drains.
TEST_CASE("leaving is known everywhere soon and keeps the member") {
    fake_network network({.hosts = 60});
    require_join(network);

    network.at(7).leave();

    const auto known = [&] {
        return all_see(network, 7, member_state::leaving);
    };
    CHECK(network.run_until(known, seconds(3)) < seconds(3));
    network.run_for(seconds(20));
    CHECK(known());
}

// Guards against a lagging host list that kills members or hides new ones.
TEST_CASE("the host list adds hosts and marks, and does not remove") {
    fake_network network({.hosts = 8});
    for (std::size_t i = 0; i < 7; ++i) {
        network.start(i);
    }
    network.run_for(seconds(5));
    network.start(7);
    const auto address = [](std::size_t host) {
        return peer_address{fake_network::name(host),
                            "10.0.0.1:" + std::to_string(10'000 + host)};
    };

    const std::vector<listed_peer> list{{address(7)}, {address(2), true}};
    network.at(0).merge_host_list(list);
    CHECK(network.at(0).find("host-2")->leaving);
    network.run_for(seconds(5));

    CHECK(network.is_converged());
    CHECK(all_see(network, 2, member_state::leaving));
    CHECK(network.at(2).self().leaving);
}

// Guards against daemons that do not notice a newer configuration.
TEST_CASE("the configuration version travels with probes") {
    fake_network network({.hosts = 8});
    require_join(network);

    network.at(0).set_configuration_version(9);
    network.run_for(seconds(8));

    for (std::size_t i = 1; i < network.size(); ++i) {
        CHECK(network.at(i).find("host-0")->configuration_version == 9);
    }
}

}  // namespace
}  // namespace bronzehub::membership
