#include "entry/schedule_link.hpp"

#include <catch2/catch.hpp>
#include <deque>
#include <memory>

namespace {

using namespace std::chrono_literals;
using bronzehub::base::duration;
using bronzehub::base::paused_clock;
using bronzehub::base::timer_id;
using bronzehub::base::timer_queue;
using bronzehub::entry::decode_message;
using bronzehub::entry::host_directory;
using bronzehub::entry::schedule_link;
using bronzehub::entry::slot_request;
using bronzehub::entry::slot_response;

// Two hosts in different failure domains. Datagrams are queued until the test
// delivers or drops them.
struct pair_of_hosts {
    struct host {
        host(pair_of_hosts& all, const std::string& name,
             const std::string& domain)
            : directory({name, name + ":1", domain}, all.time.view()),
              link(
                  directory, all.shares, all.time.view(),
                  {[&all](duration delay, std::function<void()> run) {
                       return all.timers.schedule(all.time.now() + delay,
                                                  std::move(run));
                   },
                   [&all](timer_id id) { all.timers.cancel(id); }},
                  [&all, from = name + ":1"](const std::string& to,
                                             std::string_view bytes) {
                      all.sent.push_back({from, to, std::string(bytes)});
                  },
                  1) {}
        void receive(const std::string& from, std::string_view bytes) {
            const auto message = decode_message(bytes);
            REQUIRE(message.has_value());
            link.on_message(from, *message);
        }
        host_directory directory;
        schedule_link link;
    };

    struct datagram {
        std::string from;
        std::string to;
        std::string bytes;
    };

    pair_of_hosts() : one(*this, "one", "a"), two(*this, "two", "b") {
        one.directory.on_announcement(two.directory.self(), 1);
        two.directory.on_announcement(one.directory.self(), 2);
    }

    void deliver() {
        while (!sent.empty()) {
            const datagram next = sent.front();
            sent.pop_front();
            (next.to == "one:1" ? one : two).receive(next.from, next.bytes);
        }
    }

    void advance(duration step) {
        time.advance(step);
        timers.run_due(time.now());
    }

    // A request for an engine in the failure domain of host `two`, its owner.
    slot_request make_request(bool may_wait = true) {
        slot_request result;
        result.engine = "i-1/1";
        result.failure_domain = "b";
        result.capacity = {.slots = 1, .memory_tokens = 0};
        result.scheduled_request.organisation = "o";
        result.scheduled_request.cost = 100;
        result.scheduled_request.start_deadline = time.now() + 200ms;
        result.scheduled_request.may_wait = may_wait;
        return result;
    }

    std::uint64_t request_slot(bool may_wait = true) {
        return one.link.request_slot(make_request(may_wait),
                                     [this](const slot_response& response) {
                                         responses.push_back(response);
                                     });
    }

    paused_clock time;
    bronzehub::overload::fleet_shares shares{time.view()};
    timer_queue timers;
    std::deque<datagram> sent;
    std::vector<slot_response> responses;
    host one;
    host two;
};

}  // namespace

TEST_CASE("the owner of an engine grants its slots to other hosts") {
    pair_of_hosts hosts;
    const auto first = hosts.request_slot();
    hosts.request_slot();
    hosts.deliver();
    REQUIRE(hosts.responses.size() == 1);
    CHECK(hosts.responses[0].granted);
    CHECK(hosts.responses[0].owner == "two");
    hosts.one.link.release(first);
    hosts.deliver();
    REQUIRE(hosts.responses.size() == 2);
    CHECK(hosts.responses[1].granted);
}

// Guards against a request that is never decided, or that takes two slots, when
// the datagram with the request or with the response is lost.
TEST_CASE("a lost datagram is sent again and changes nothing") {
    pair_of_hosts hosts;
    hosts.request_slot();
    const bool response_lost = GENERATE(false, true);
    if (response_lost) {
        const auto request = hosts.sent.front();
        hosts.sent.clear();
        hosts.two.receive(request.from, request.bytes);
    }
    hosts.sent.clear();
    hosts.advance(schedule_link::retransmit_timeout);
    hosts.deliver();
    REQUIRE(hosts.responses.size() == 1);
    CHECK(hosts.responses[0].granted);
    CHECK(hosts.two.link.read_statistics().running == 1);
}

// Guards against requests that wait for the response of a host that no longer
// runs.
TEST_CASE("the next owner decides when the owner is unresponsive") {
    pair_of_hosts hosts;
    hosts.request_slot();
    hosts.advance(schedule_link::retransmit_timeout);
    hosts.advance(schedule_link::owner_timeout);
    REQUIRE(hosts.responses.size() == 1);
    CHECK(hosts.responses[0].granted);
    CHECK(hosts.responses[0].owner == "one");
}

// Guards against a caller that waits without end: the owner answered that the
// request waits, and its decision is then lost.
TEST_CASE("work without a decision is refused soon after its latest start") {
    pair_of_hosts hosts;
    hosts.request_slot();
    hosts.request_slot();
    hosts.deliver();
    REQUIRE(hosts.responses.size() == 1);
    hosts.advance(301ms);
    REQUIRE(hosts.responses.size() == 2);
    CHECK_FALSE(hosts.responses[1].granted);
    CHECK(hosts.responses[1].retry_after > 0ms);
}

// Guards against slots that stay occupied after the requesting host died
// without releasing them.
TEST_CASE("the work of a lost host is dropped") {
    pair_of_hosts hosts;
    hosts.request_slot();
    hosts.deliver();
    CHECK(hosts.two.link.read_statistics().running == 1);
    hosts.time.advance(schedule_link::host_timeout);
    hosts.two.link.send_inventory();
    CHECK(hosts.two.link.read_statistics().running == 0);
}

// Guards against an overfilled engine: a restarted owner that does not know the
// running requests grants their slots once more.
TEST_CASE("a new owner takes over what is running") {
    pair_of_hosts hosts;
    hosts.request_slot();
    hosts.deliver();
    pair_of_hosts::host restarted(hosts, "two", "b");
    hosts.one.link.send_inventory();
    REQUIRE(hosts.sent.size() == 1);
    restarted.receive(hosts.sent[0].from, hosts.sent[0].bytes);
    CHECK(restarted.link.read_statistics().running == 1);
}

TEST_CASE("bytes that are not a message are rejected") {
    const auto bytes = GENERATE(values<std::string>(
        {"", "x", std::string(300, '\xff'), "\x93\x01\x02\x03"}));
    CHECK_FALSE(decode_message(bytes).has_value());
}

// Guards against requests that wait for an engine of an evacuated domain until
// they are refused, and against their place in its schedule that blocks others.
TEST_CASE("requests that wait for engines of a domain are withdrawn in order") {
    const auto [domain, withdrawn] =
        GENERATE(table<std::string, std::size_t>({{"b", 2}, {"a", 0}}));
    pair_of_hosts hosts;
    const auto running = hosts.request_slot();
    const auto first = hosts.request_slot();
    hosts.request_slot();
    hosts.deliver();
    CHECK(hosts.one.link.withdraw_waiting({domain}) == withdrawn);
    REQUIRE(hosts.responses.size() == 1 + withdrawn);
    if (withdrawn > 0) {
        CHECK(hosts.responses[1].number == first);
        CHECK(hosts.responses[1].unreachable);
        CHECK_FALSE(hosts.responses[2].granted);
    }
    hosts.deliver();
    CHECK(hosts.two.link.read_statistics().waiting == 2 - withdrawn);
    hosts.one.link.release(running);
    hosts.deliver();
    CHECK(hosts.responses.size() == (withdrawn > 0 ? 3 : 2));
}

// Terms of an engine that is cold, in the failure domain of host `two`.
std::optional<bronzehub::cold_start::engine_terms> cold_terms(
    std::string_view /*engine*/) {
    return bronzehub::cold_start::engine_terms{
        bronzehub::cold_start::divide_pace(10, 20), 3s, true, "b"};
}

// Load pattern: requests for the free slots of an engine that has just started.
// Guards against requests that are sent together although they were granted at
// different times, because their host or a link was slow.
TEST_CASE("a late grant on a cold engine is given back") {
    const auto [delay, granted] = GENERATE(table<duration, bool>({
        {10ms, true},
        {59ms, true},
        {155ms, false},
    }));
    pair_of_hosts hosts;
    hosts.two.link.set_cold_terms(cold_terms);
    hosts.advance(3s);
    hosts.one.directory.clear_suspicion("two");
    hosts.request_slot();
    const auto request = hosts.sent.front();
    hosts.sent.clear();
    hosts.two.receive(request.from, request.bytes);
    const auto response = hosts.sent.front();
    hosts.sent.clear();
    // The timers of the frozen host run after it has read the response.
    hosts.time.advance(delay);
    hosts.one.receive(response.from, response.bytes);
    REQUIRE(hosts.responses.size() == 1);
    CHECK(hosts.responses[0].granted == granted);
    CHECK(hosts.responses[0].paced == !granted);
    CHECK(hosts.one.link.read_statistics().expired_grants ==
          (granted ? 0U : 1U));
    hosts.deliver();
    CHECK(hosts.two.link.read_statistics().running == (granted ? 1U : 0U));
}

// Guards against a second granter of a cold engine: a host that can't reach the
// owner becomes owner in its own view.
TEST_CASE("requests beyond the pace go elsewhere at once") {
    pair_of_hosts hosts;
    hosts.two.link.set_cold_terms(cold_terms);
    hosts.advance(3s);
    for (int i = 0; i < 3; ++i) {
        auto request = hosts.make_request();
        request.server = "i-1";
        request.capacity.slots = 24;
        hosts.one.link.request_slot(request,
                                    [&](const slot_response& response) {
                                        hosts.responses.push_back(response);
                                    });
    }
    hosts.deliver();
    REQUIRE(hosts.responses.size() == 3);
    CHECK(hosts.responses[0].granted);
    CHECK(hosts.responses[1].paced);
    CHECK(hosts.one.link.is_paced("i-1"));
    hosts.advance(1s);
    CHECK_FALSE(hosts.one.link.any_paced());
}
