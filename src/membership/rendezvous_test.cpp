#include "membership/rendezvous.hpp"

#include <rapidcheck/catch.h>
#include <algorithm>
#include <catch2/catch.hpp>
#include <map>

namespace bronzehub::membership {
namespace {

std::vector<dispatch_host> make_hosts(std::size_t count) {
    std::vector<dispatch_host> hosts;
    hosts.reserve(count);
    for (std::size_t i = 0; i < count; ++i) {
        hosts.push_back(
            {"host-" + std::to_string(i), "domain-" + std::to_string(i % 3)});
    }
    return hosts;
}

std::vector<placed_server> make_servers(std::uint32_t count) {
    std::vector<placed_server> servers;
    servers.reserve(count);
    for (std::uint32_t i = 0; i < count; ++i) {
        servers.push_back(
            {base::backend_server_id(i), "domain-" + std::to_string(i % 3)});
    }
    return servers;
}

// Guards against a server without a dispatcher or with one in a foreign or
// draining place while a better host lives.
TEST_CASE("the dispatcher is chosen by domain, then by who stays") {
    const placed_server server{base::backend_server_id(1), "domain-1"};
    const dispatch_host own{"own", "domain-1"};
    const dispatch_host own_leaving{"own", "domain-1", true};
    const dispatch_host other{"other", "domain-2"};
    const dispatch_host other_leaving{"other", "domain-2", true};

    const auto [hosts, expected] =
        GENERATE_COPY(table<std::vector<dispatch_host>, std::string>({
            {{own, other}, "own"},
            {{own_leaving, other}, "other"},
            {{other}, "other"},
            {{other_leaving}, "other"},
        }));
    CHECK(choose_dispatcher(server, hosts)->host == expected);
    CHECK(choose_dispatcher(server, {}) == nullptr);
}

// Guards against one daemon that dispatches for most of a domain.
TEST_CASE("servers spread over the hosts of their domain") {
    std::map<std::string, int> load;
    for (const auto& [server, host] :
         assign_dispatchers(make_servers(3000), make_hosts(30))) {
        ++load[host];
    }
    REQUIRE(load.size() == 30);
    // 100 each on average; 60 to 140 is four standard deviations.
    CHECK(std::ranges::all_of(load, [](const auto& entry) {
        return entry.second > 60 && entry.second < 140;
    }));
}

// Guards against work that moves between daemons that did not change, and
// against a result that depends on the order of the view.
TEST_CASE("only servers of a lost host move") {
    rc::prop("removing a host", [] {
        auto hosts = make_hosts(*rc::gen::inRange<std::size_t>(2, 24));
        const auto servers = make_servers(60);
        const auto before = assign_dispatchers(servers, hosts);
        const auto lost = *rc::gen::elementOf(hosts);
        std::erase_if(hosts, [&](const dispatch_host& host) {
            return host.host == lost.host;
        });
        std::ranges::reverse(hosts);
        for (const auto& [server, host] : assign_dispatchers(servers, hosts)) {
            RC_ASSERT(before.at(server) == lost.host ||
                      before.at(server) == host);
        }
    });
}

}  // namespace
}  // namespace bronzehub::membership
