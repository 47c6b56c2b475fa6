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

// Two hosts whose datagrams a test delivers or drops.
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

    // An engine of the other host's failure domain.
    slot_request request(bool may_wait = true) {
        slot_request result;
        result.engine = "i-1/1";
        result.failure_domain = "b";
        result.options = {.slots = 1, .memory_tokens = 0};
        result.work.organisation = "o";
        result.work.cost = 100;
        result.work.start_deadline = time.now() + 200ms;
        result.work.may_wait = may_wait;
        return result;
    }

    std::uint64_t ask(bool may_wait = true) {
        return one.link.request_slot(
            request(may_wait),
            [this](const slot_response& got) { answers.push_back(got); });
    }

    paused_clock time;
    bronzehub::overload::fleet_shares shares{time.view()};
    timer_queue timers;
    std::deque<datagram> sent;
    std::vector<slot_response> answers;
    host one;
    host two;
};

}  // namespace

TEST_CASE("the owner of an engine grants its slots to other hosts") {
    pair_of_hosts hosts;
    const auto first = hosts.ask();
    hosts.ask();
    hosts.deliver();
    REQUIRE(hosts.answers.size() == 1);
    CHECK(hosts.answers[0].granted);
    CHECK(hosts.answers[0].owner == "two");
    hosts.one.link.release(first);
    hosts.deliver();
    REQUIRE(hosts.answers.size() == 2);
    CHECK(hosts.answers[1].granted);
}

// Guards against a slot that is granted twice, and an ask that is forgotten,
// when a datagram is lost.
TEST_CASE("a lost datagram is sent again and changes nothing") {
    pair_of_hosts hosts;
    hosts.ask();
    const bool answer_lost = GENERATE(false, true);
    if (answer_lost) {
        const auto ask = hosts.sent.front();
        hosts.sent.clear();
        hosts.two.receive(ask.from, ask.bytes);
    }
    hosts.sent.clear();
    hosts.advance(schedule_link::ask_again_after);
    hosts.deliver();
    REQUIRE(hosts.answers.size() == 1);
    CHECK(hosts.answers[0].granted);
    CHECK(hosts.two.link.read_statistics().running == 1);
}

// Guards against requests that wait for a host that died.
TEST_CASE("a silent owner is passed over") {
    pair_of_hosts hosts;
    hosts.ask();
    hosts.advance(schedule_link::ask_again_after);
    hosts.advance(schedule_link::silent_after);
    REQUIRE(hosts.answers.size() == 1);
    CHECK(hosts.answers[0].granted);
    CHECK(hosts.answers[0].owner == "one");
}

// Guards against a caller that waits for an answer that never comes.
TEST_CASE("work whose owner forgot it is refused soon after its latest start") {
    pair_of_hosts hosts;
    hosts.ask();
    hosts.ask();
    hosts.deliver();
    REQUIRE(hosts.answers.size() == 1);
    hosts.advance(301ms);
    REQUIRE(hosts.answers.size() == 2);
    CHECK_FALSE(hosts.answers[1].granted);
    CHECK(hosts.answers[1].retry_after > 0ms);
}

// Guards against slots that stay taken after the host that held them is gone.
TEST_CASE("the work of a lost host is dropped") {
    pair_of_hosts hosts;
    hosts.ask();
    hosts.deliver();
    CHECK(hosts.two.link.read_statistics().running == 1);
    hosts.time.advance(schedule_link::host_lost_after);
    hosts.two.link.send_inventory();
    CHECK(hosts.two.link.read_statistics().running == 0);
}

// Guards against an engine that is filled twice when its owner restarts.
TEST_CASE("a new owner takes over what runs") {
    pair_of_hosts hosts;
    hosts.ask();
    hosts.deliver();
    pair_of_hosts::host restarted(hosts, "two", "b");
    hosts.one.link.send_inventory();
    REQUIRE(hosts.sent.size() == 1);
    restarted.receive(hosts.sent[0].from, hosts.sent[0].bytes);
    CHECK(restarted.link.read_statistics().running == 1);
}

TEST_CASE("bytes that are no message are told apart") {
    const auto bytes = GENERATE(values<std::string>(
        {"", "x", std::string(300, '\xff'), "\x93\x01\x02\x03"}));
    CHECK_FALSE(decode_message(bytes).has_value());
}
