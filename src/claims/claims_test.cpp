#include <rapidcheck.h>
#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>

#include "base/hash.hpp"
#include "claims/claim_registry.hpp"
#include "tests/support/fake_platform.hpp"
#include "tests/support/fault_table.hpp"

namespace bronzehub::claims {
namespace {

using bronzehub::testing::covers_every_pair;
using bronzehub::testing::delivery;
using bronzehub::testing::fake_platform;
using bronzehub::testing::fault;
using bronzehub::testing::fault_row;

// Several daemons over one fake platform. Each runs a call as soon as its
// claim is held.
struct fleet {
    struct daemon {
        base::timer_queue timers;
        std::unique_ptr<claim_registry> registry;
        std::uint64_t incarnation = 0;
        std::optional<claim_verdict> verdict;
        std::optional<recorded_response> response{};
        std::map<std::string, claim_id> last;  // By key.
    };

    base::paused_clock time;
    fake_platform platform;
    std::map<base::host_id, daemon> daemons;
    std::map<std::pair<base::host_id, std::uint64_t>, bool> dead;
    // Started calls per key.
    std::map<std::string, int> starts;
    bool finish_calls = true;
    bool abandon_calls = false;

    daemon& at(const base::host_id& host) {
        daemon& item = daemons[host];
        if (item.registry == nullptr) {
            start(host);
        }
        return item;
    }

    // Starts the daemon, or restarts it without its state. The replaced
    // registry stays alive, because its answers may still arrive.
    void start(const base::host_id& host) {
        daemon& item = daemons[host];
        if (item.registry != nullptr) {
            dead[{host, item.incarnation}] = true;
            retired.push_back(std::move(item.registry));
            item.timers = {};
            std::erase_if(held,
                          [&](const auto& call) { return call.first == host; });
        }
        ++item.incarnation;
        item.registry = std::make_unique<claim_registry>(
            time.view(), item.timers, host, item.incarnation,
            claim_registry::hooks{
                platform.tables(), platform.objects(),
                [this](const base::host_id& owner, std::uint64_t incarnation) {
                    return dead[{owner, incarnation}];
                }},
            claim_limits{});
    }

    void claim(const base::host_id& host, const std::string& key = "k",
               const std::string& digest = "d") {
        daemon& item = at(host);
        const std::uint64_t incarnation = item.incarnation;
        item.verdict.reset();
        item.last[key] = item.registry->claim(
            {base::organisation_id(1), base::service_id(1), key, digest},
            [this, host, incarnation, key](const claim_decision& decision) {
                decided(host, incarnation, key, decision);
            });
    }

    void decided(const base::host_id& host, std::uint64_t incarnation,
                 const std::string& key, const claim_decision& decision) {
        daemon& item = daemons[host];
        if (item.incarnation != incarnation) {
            return;  // The process that asked is gone.
        }
        item.verdict = decision.verdict;
        item.response = decision.response;
        if (decision.verdict == claim_verdict::held) {
            held.push_back({host, key});
        }
    }

    // Runs the calls whose claims are held.
    void run_held() {
        for (const auto& [host, key] : std::exchange(held, {})) {
            daemon& item = daemons[host];
            if (abandon_calls) {
                item.registry->abandon(item.last[key]);
            } else if (item.registry->mark_sent(item.last[key])) {
                ++starts[key];
                if (finish_calls) {
                    item.registry->finish(item.last[key],
                                          {200, "text", "paid"});
                }
            }
        }
    }

    void advance(std::chrono::milliseconds step) {
        time.advance(step);
        for (auto& [host, item] : daemons) {
            item.timers.run_due(time.now());
        }
    }

    // A moment without faults in which calls run as soon as they may.
    void step(std::chrono::milliseconds length) {
        advance(length);
        run_held();
    }

    // Lets a healthy platform answer everything for 40 seconds.
    void heal() {
        platform.deliver_at_once = true;
        platform.choose = nullptr;
        platform.deliver_all();
        run_held();
        for (int i = 0; i < 80; ++i) {
            step(std::chrono::milliseconds(500));
        }
    }

    // Claims on a daemon and waits for the decision.
    claim_verdict ask(const base::host_id& host, const std::string& key = "k") {
        claim(host, key);
        step(std::chrono::milliseconds(5));
        return daemons[host].verdict.value();
    }

    std::vector<std::pair<base::host_id, std::string>> held;
    std::vector<std::unique_ptr<claim_registry>> retired;
};

enum class step { create, check, record, remove, mark_dead, count };

// What a caller that repeats the key later is told, and how often the call
// was started before.
struct outcome {
    int starts;
    claim_verdict repeated;
};

using row = fault_row<step, outcome>;
using enum fault;
constexpr outcome ran_once{1, claim_verdict::done};
constexpr outcome never_ran{0, claim_verdict::held};
constexpr outcome lost_trace{1, claim_verdict::outcome_unknown};
constexpr outcome not_run_unknown{0, claim_verdict::outcome_unknown};
constexpr std::array fault_rows{
    row{platform_unavailable, step::create, never_ran},
    row{platform_slow, step::create, ran_once},
    row{answer_lost, step::create, ran_once},
    row{reader_stale, step::create, ran_once},
    row{restarted_empty, step::create, not_run_unknown},
    row{holder_paused, step::create, ran_once},
    row{two_contenders, step::create, ran_once},
    row{two_operators, step::create, ran_once},
    row{platform_unavailable, step::check, never_ran},
    row{platform_slow, step::check, ran_once},
    row{answer_lost, step::check, never_ran},
    row{reader_stale, step::check, ran_once},
    row{restarted_empty, step::check, not_run_unknown},
    row{holder_paused, step::check, ran_once},
    row{two_contenders, step::check, ran_once},
    row{two_operators, step::check, ran_once},
    row{platform_unavailable, step::record, ran_once},
    row{platform_slow, step::record, ran_once},
    row{answer_lost, step::record, ran_once},
    row{reader_stale, step::record, ran_once},
    row{restarted_empty, step::record, ran_once},
    row{holder_paused, step::record, ran_once},
    row{two_contenders, step::record, ran_once},
    row{two_operators, step::record, ran_once},
    row{platform_unavailable, step::remove, never_ran},
    row{platform_slow, step::remove, never_ran},
    row{answer_lost, step::remove, never_ran},
    row{reader_stale, step::remove, never_ran},
    row{restarted_empty, step::remove, never_ran},
    row{holder_paused, step::remove, never_ran},
    row{two_contenders, step::remove, never_ran},
    row{two_operators, step::remove, never_ran},
    row{platform_unavailable, step::mark_dead, lost_trace},
    row{platform_slow, step::mark_dead, lost_trace},
    row{answer_lost, step::mark_dead, lost_trace},
    row{reader_stale, step::mark_dead, lost_trace},
    row{restarted_empty, step::mark_dead, lost_trace},
    row{holder_paused, step::mark_dead, lost_trace},
    row{two_contenders, step::mark_dead, lost_trace},
    row{two_operators, step::mark_dead, lost_trace},
};
static_assert(covers_every_pair(fault_rows));

// Brings daemon a (b for the last step) to the step, with the operation of the
// step held by the platform.
base::host_id reach(fleet& fleet, step wanted) {
    fleet.abandon_calls = wanted == step::remove;
    fleet.finish_calls = wanted != step::mark_dead;
    fleet.claim("a");
    fleet.advance(std::chrono::milliseconds(5));
    if (wanted == step::check) {
        fleet.platform.deliver(0, delivery::answer_lost);
    } else if (wanted != step::create) {
        fleet.platform.deliver(0, delivery::good);
        fleet.run_held();
    }
    if (wanted != step::mark_dead) {
        return "a";
    }
    fleet.dead[{"a", 1}] = true;
    fleet.claim("b");
    fleet.advance(std::chrono::milliseconds(5));
    fleet.platform.deliver(0, delivery::good);  // The create conflicts.
    fleet.platform.deliver(0, delivery::good);  // The read shows a's claim.
    return "b";
}

void inject(fleet& fleet, fault injected, const base::host_id& host) {
    switch (injected) {
        case platform_unavailable:
            fleet.platform.deliver(0, delivery::unavailable);
            break;
        case platform_slow:
            fleet.advance(std::chrono::seconds(60));
            break;
        case answer_lost:
            fleet.platform.deliver(0, delivery::answer_lost);
            break;
        case reader_stale:
            fleet.platform.deliver(0, fleet.platform.held[0].is_write
                                          ? delivery::answer_lost
                                          : delivery::stale);
            if (!fleet.platform.held.empty()) {
                fleet.platform.deliver(0, delivery::stale);
            }
            break;
        case restarted_empty:
            fleet.start(host);
            break;
        case holder_paused:
            fleet.dead[{host, 1}] = true;
            fleet.claim("b2");
            fleet.advance(std::chrono::milliseconds(5));
            std::ranges::rotate(fleet.platform.held,
                                fleet.platform.held.begin() + 1);
            break;
        case two_contenders:
            fleet.claim("b2");
            fleet.advance(std::chrono::milliseconds(5));
            break;
        case two_operators:  // Operators do not touch claims.
        case fault::count:
            break;
    }
}

// Guards against every fault at every step of a claim: a call that starts
// twice, a key that is blocked for good, or an outcome that is made up.
TEST_CASE("a fault at any step leaves at most one start and a true answer") {
    const row entry = GENERATE(from_range(fault_rows));
    INFO("fault " << static_cast<int>(entry.injected) << " at step "
                  << static_cast<int>(entry.step));
    fleet fleet;
    const base::host_id host = reach(fleet, entry.step);

    inject(fleet, entry.injected, host);
    fleet.heal();

    const int starts = fleet.starts["k"];
    const claim_verdict repeated = fleet.ask("c");
    CHECK(starts == entry.expected.starts);
    CHECK(static_cast<int>(repeated) ==
          static_cast<int>(entry.expected.repeated));
    fleet.heal();
    CHECK(fleet.starts["k"] <= 1);
}

// One step of a random history, chosen by two numbers.
void random_step(fleet& fleet, unsigned action, unsigned detail) {
    const std::vector<base::host_id> hosts{"a", "b", "c"};
    const base::host_id& host = hosts[detail % 3];
    const std::string key = detail / 3 % 2 == 0 ? "k" : "l";
    const auto how = static_cast<delivery>(detail / 6 % 6);
    switch (action) {
        case 0:
        case 1:
            fleet.claim(host, key);
            break;
        case 2:
            fleet.advance(std::chrono::milliseconds(detail % 2 ? 5 : 5000));
            break;
        case 3:
            fleet.start(host);
            break;
        case 4:  // A live host is taken for dead.
            fleet.dead[{host, fleet.at(host).incarnation}] = true;
            break;
        case 5:  // At any step, also after the call was sent.
            fleet.at(host).registry->abandon(fleet.at(host).last[key]);
            break;
        case 6:
            fleet.abandon_calls = detail % 5 == 0;
            fleet.finish_calls = detail % 3 != 0;
            fleet.run_held();
            break;
        default:
            if (!fleet.platform.held.empty()) {
                fleet.platform.deliver(detail % fleet.platform.held.size(),
                                       how);
            }
    }
}

// Guards against orders of faults that no table lists.
TEST_CASE("no history of faults starts a call twice") {
    CHECK(rc::check("a key starts at most one call", [] {
        fleet fleet;
        fleet.start("a");
        fleet.start("b");
        fleet.start("c");
        const auto history =
            *rc::gen::container<std::vector<std::pair<unsigned, unsigned>>>(
                rc::gen::pair(rc::gen::inRange(0u, 10u),
                              rc::gen::inRange(0u, 180u)));
        for (const auto& [action, detail] : history) {
            random_step(fleet, action, detail);
        }
        fleet.abandon_calls = false;
        fleet.heal();
        for (const std::string key : {"k", "l"}) {
            const int before = fleet.starts[key];
            const claim_verdict verdict = fleet.ask("c", key);
            RC_ASSERT(fleet.starts[key] <= 1);
            RC_ASSERT(verdict != claim_verdict::done || before == 1);
            RC_ASSERT(verdict != claim_verdict::unavailable);
        }
    }));
}

// Guards against a key that is given back although its call may have run.
TEST_CASE("a sent call cannot be given back, an unheld one cannot be sent") {
    fleet fleet;
    fleet.finish_calls = false;
    fleet.claim("a");
    claim_registry& registry = *fleet.at("a").registry;
    const claim_id id = fleet.at("a").last["k"];
    CHECK_FALSE(registry.mark_sent(id));
    fleet.platform.deliver_at_once = true;
    fleet.step(std::chrono::milliseconds(5));

    registry.abandon(id);

    CHECK_FALSE(registry.mark_sent(id));
    CHECK(fleet.ask("b") == claim_verdict::outcome_unknown);
}

// Guards against a key that stays blocked because the lost write of an
// abandoned claim arrives after its row was looked for.
TEST_CASE("an abandoned claim is deleted when its write arrives late") {
    fleet fleet;
    fleet.claim("a");
    fleet.advance(std::chrono::milliseconds(5));
    fleet.at("a").registry->abandon(fleet.at("a").last["k"]);
    fleet.platform.deliver(0, delivery::write_late);
    std::ranges::reverse(fleet.platform.held);
    fleet.platform.deliver(0, delivery::good);  // The row is absent.
    fleet.advance(std::chrono::milliseconds(200));
    std::ranges::reverse(fleet.platform.held);
    fleet.platform.deliver(0, delivery::good);

    fleet.platform.deliver_all();  // The write arrives first.
    fleet.heal();

    CHECK(fleet.ask("b") == claim_verdict::held);
}

// Guards against one write for each of many claims, and against a conflict
// that fails claims of other keys in the same transaction.
TEST_CASE("claims within the window share a transaction") {
    fleet fleet;
    fleet.platform.deliver_at_once = true;
    fleet.ask("b", "k2");
    const std::uint64_t before =
        fleet.at("a").registry->counters().transactions;
    for (const char* key : {"k1", "k2", "k3"}) {
        fleet.claim("a", key);
    }
    fleet.advance(std::chrono::milliseconds(5));

    CHECK(fleet.held.size() == 2);
    CHECK(fleet.at("a").registry->counters().transactions - before == 2);
}

// Guards against a key that returns the response to another body.
TEST_CASE("another body under the same key is refused") {
    fleet fleet;
    fleet.platform.deliver_at_once = true;
    fleet.ask("a");
    const base::host_id host = GENERATE(as<std::string>{}, "a", "b");

    fleet.claim(host, "k", "other");
    fleet.step(std::chrono::milliseconds(5));

    CHECK(fleet.at(host).verdict == claim_verdict::mismatch);
}

// Guards against a response that is too large for the row being lost.
TEST_CASE("a recorded response is returned, whatever its size") {
    const std::size_t size = GENERATE(0, 1000, 100000);
    fleet fleet;
    fleet.platform.deliver_at_once = true;
    fleet.finish_calls = false;
    fleet.ask("a");
    const recorded_response sent{201, "text", std::string(size, '\xff')};
    auto& first = fleet.at("a");
    first.registry->finish(first.last["k"], sent);

    fleet.ask("b");

    CHECK(fleet.at("b").response == sent);
    CHECK(fleet.platform.stored_objects.size() == (size > 16384 ? 1 : 0));
}

// Guards against memory that grows while the platform is down.
TEST_CASE("claims beyond the bound are refused") {
    fleet fleet;
    const std::size_t bound = claim_limits{}.entries;
    for (std::size_t i = 0; i <= bound; ++i) {
        fleet.claim("a", std::to_string(i));
    }

    CHECK(fleet.at("a").registry->size() == bound);
    CHECK(fleet.at("a").verdict == claim_verdict::unavailable);
}

}  // namespace
}  // namespace bronzehub::claims
