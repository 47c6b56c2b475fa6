// The bound on requests to a cold engine, over random fleets in which hosts
// disagree about owners, freeze, restart and lose messages.
#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <vector>

#include "base/hash.hpp"
#include "cold_start/schedule_gate.hpp"

namespace {

using namespace std::chrono_literals;
namespace cold_start = bronzehub::cold_start;
using bronzehub::base::duration;
using bronzehub::base::paused_clock;
using bronzehub::base::time_point;
using bronzehub::overload::engine_decision;
using bronzehub::overload::engine_scheduler;
using bronzehub::overload::scheduled_request;
using cold_start::divide_pace;
using cold_start::engine_terms;
using cold_start::schedule_gate;
using cold_start::settling_time;
using cold_start::slot_decision;

constexpr std::size_t bound = 20;
const std::string engine = "i-1/1";

// One random fleet. All hosts send requests for one cold engine, each to the
// host that it takes for the owner. Responses are lost, repeated and delayed;
// frozen hosts handle what they received when they continue.
class random_fleet {
public:
    random_fleet(std::uint64_t seed, std::size_t host_count)
        : random_(seed), hosts_(host_count) {
        for (std::size_t i = 0; i < host_count; ++i) {
            restart(i);
        }
        // One host of the fleet may be unknown to any of the others.
        unknown_ = draw(2) == 0 ? draw(host_count) : host_count;
        for (auto& each : hosts_) {
            each.knows_all = draw(2) == 0;
        }
        time_.advance(settling_time);
    }

    // Runs until the time is over; returns the largest number of requests that
    // were sent within one second.
    std::size_t run(duration length) {
        for (const auto end = time_.now() + length; time_.now() < end;
             time_.advance(5ms)) {
            disturb();
            for (std::size_t i = 0; i < hosts_.size(); ++i) {
                if (time_.now() >= hosts_[i].frozen_until) {
                    receive(i);
                    request(i);
                }
            }
            ++states_;
        }
        return largest_count();
    }

    std::uint64_t states() const { return states_; }
    std::size_t sent_count() const { return sent_at_.size(); }

private:
    struct message {
        time_point arrives_at;
        std::size_t from = 0;
        std::uint64_t number = 0;
        // Of a response; a request has none.
        std::optional<slot_decision> decision;
    };
    struct open_request {
        std::size_t owner = 0;
        time_point asked_at;
    };
    struct host {
        std::unique_ptr<engine_scheduler> scheduler;
        std::unique_ptr<schedule_gate> gate;
        time_point frozen_until{};
        std::set<std::size_t> suspects;
        bool knows_all = true;
        std::vector<message> inbox;
        std::map<std::uint64_t, open_request> open;
    };

    std::size_t draw(std::size_t count) {
        return std::uniform_int_distribution<std::size_t>(0,
                                                          count - 1)(random_);
    }
    duration delay() {
        return draw(4) == 0 ? std::chrono::milliseconds(draw(1500))
                            : std::chrono::milliseconds(1 + draw(5));
    }
    static std::uint64_t score(std::size_t index) {
        return bronzehub::base::stable_hash(
            "host-" + std::to_string(index),
            bronzehub::base::stable_hash(engine));
    }
    bool knows(std::size_t index, std::size_t other) const {
        return index == other || other != unknown_ || hosts_[index].knows_all;
    }
    std::size_t rank(std::size_t index) const {
        std::size_t result = 0;
        for (std::size_t other = 0; other < hosts_.size(); ++other) {
            result +=
                knows(index, other) && score(other) > score(index) ? 1 : 0;
        }
        return result;
    }
    std::size_t owner(std::size_t index) const {
        std::size_t best = index;
        for (std::size_t other = 0; other < hosts_.size(); ++other) {
            if (knows(index, other) &&
                !hosts_[index].suspects.contains(other) &&
                score(other) > score(best)) {
                best = other;
            }
        }
        return best;
    }

    void restart(std::size_t index) {
        host& restarted = hosts_[index];
        restarted.inbox.clear();
        restarted.open.clear();
        restarted.suspects.clear();
        restarted.scheduler = std::make_unique<engine_scheduler>(
            bronzehub::overload::engine_capacity{.slots = 100000,
                                                 .memory_tokens = 0},
            shares_, time_.view(), bronzehub::overload::scheduler_callbacks{});
        restarted.gate = std::make_unique<schedule_gate>(time_.view());
        restarted.gate->set_hooks(
            {[](std::string_view) {
                 return std::optional(
                     engine_terms{divide_pace(10, bound), 3600s, true, "a"});
             },
             [this, index](std::string_view, std::string_view) {
                 return rank(index);
             }});
    }

    void disturb() {
        const std::size_t index = draw(hosts_.size());
        const std::size_t kind = draw(400);
        if (kind < 2) {
            hosts_[index].frozen_until =
                time_.now() + std::chrono::milliseconds(draw(3000));
        } else if (kind == 2) {
            restart(index);
        } else if (kind < 100) {
            // The hosts that come first are those that matter.
            hosts_[index].suspects.insert(owner(draw(hosts_.size())));
        } else if (kind < 130) {
            hosts_[index].suspects.clear();
        }
    }

    void send(std::size_t to, message value) {
        for (std::size_t copies = draw(20) == 0 ? 2 : 1; copies > 0; --copies) {
            if (draw(20) > 0) {
                value.arrives_at = time_.now() + delay();
                hosts_[to].inbox.push_back(value);
            }
        }
    }

    void request(std::size_t index) {
        if (draw(4) > 0) {
            return;
        }
        const std::uint64_t number = ++next_number_;
        const std::size_t target = owner(index);
        hosts_[index].open[number] = {target, time_.now()};
        if (target == index) {
            receive_response(index, {{}, index, number, decide(index, number)});
        } else {
            send(target, {{}, index, number, {}});
        }
    }

    slot_decision decide(std::size_t index, std::uint64_t number) {
        scheduled_request wanted;
        wanted.id = {"caller", number};
        wanted.start_deadline = time_.now() + 1s;
        host& granter = hosts_[index];
        const auto result =
            granter.gate->decide(engine, *granter.scheduler, wanted);
        granter.scheduler->on_first_event(wanted.id, {}, true);
        return result;
    }

    void receive(std::size_t index) {
        std::vector<message> due;
        std::erase_if(hosts_[index].inbox, [&](const message& each) {
            if (each.arrives_at > time_.now()) {
                return false;
            }
            due.push_back(each);
            return true;
        });
        for (const message& each : due) {
            if (each.decision) {
                receive_response(index, each);
            } else {
                send(each.from,
                     {{}, index, each.number, decide(index, each.number)});
            }
        }
    }

    // As `schedule_link` does: the grant counts only if it comes from the host
    // that was asked last, and in time.
    void receive_response(std::size_t index, const message& response) {
        const auto found = hosts_[index].open.find(response.number);
        if (found == hosts_[index].open.end() ||
            found->second.owner != response.from) {
            return;
        }
        const time_point asked_at = found->second.asked_at;
        hosts_[index].open.erase(found);
        if (response.decision->decision == engine_decision::granted &&
            time_.now() <= asked_at + response.decision->send_within) {
            sent_at_.push_back(time_.now());
        }
    }

    std::size_t largest_count() const {
        std::size_t result = 0;
        std::size_t first = 0;
        for (std::size_t last = 0; last < sent_at_.size(); ++last) {
            while (sent_at_[last] - sent_at_[first] >= 1s) {
                ++first;
            }
            result = std::max(result, last - first + 1);
        }
        return result;
    }

    std::mt19937_64 random_;
    paused_clock time_;
    bronzehub::overload::fleet_shares shares_{time_.view()};
    std::vector<host> hosts_;
    // Host that some others don't know; the number of hosts if all know all.
    std::size_t unknown_ = 0;
    std::uint64_t next_number_ = 0;
    std::uint64_t states_ = 0;
    // In order.
    std::vector<time_point> sent_at_;
};

}  // namespace

// Load pattern: all hosts of a failure domain send their requests to an engine
// that has just started, with owners that change, freeze and restart. Guards
// against more requests in one second than the bound, which ends the engine.
TEST_CASE("no second of a random fleet exceeds the bound of a cold engine") {
    std::uint64_t states = 0;
    std::size_t sent = 0;
    std::size_t largest = 0;
    constexpr std::uint64_t fleets = 150;
    for (std::uint64_t seed = 1; seed <= fleets; ++seed) {
        random_fleet fleet(seed, 2 + seed % 20);
        largest = std::max(largest, fleet.run(10s));
        states += fleet.states();
        sent += fleet.sent_count();
    }
    std::cout << "states: " << states << ", requests sent: " << sent
              << ", most in one second: " << largest << " of " << bound << '\n';
    CHECK(largest <= bound);
    // The pace is used: the test would pass if nothing was sent.
    CHECK(largest > bound / 2);
    CHECK(sent > 10 * fleets);
}
