#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "tests/support/fault_table.hpp"
#include "tests/support/planning_fleet.hpp"

namespace bronzehub::planning {
namespace {

using bronzehub::testing::covers_every_pair;
using bronzehub::testing::delivery;
using bronzehub::testing::fault;
using bronzehub::testing::fault_row;
using bronzehub::testing::planning_fleet;
using std::chrono::seconds;

enum class step { load_plan, load_head, commit, settle, count };

// The answer to the first confirmation (kCancelled: none), and whether the
// plan is in force after the operator repeated it.
struct outcome {
    absl::StatusCode first;
    bool in_force;
};

using row = fault_row<step, outcome>;
using enum fault;
constexpr outcome done{absl::StatusCode::kOk, true};
constexpr outcome refused_once{absl::StatusCode::kUnavailable, true};
constexpr outcome no_answer{absl::StatusCode::kCancelled, true};
constexpr outcome lost_race{absl::StatusCode::kAborted, false};
constexpr std::array fault_rows{
    row{platform_unavailable, step::load_plan, refused_once},
    row{platform_slow, step::load_plan, done},
    row{answer_lost, step::load_plan, refused_once},
    row{reader_stale, step::load_plan, {absl::StatusCode::kNotFound, true}},
    row{restarted_empty, step::load_plan, no_answer},
    row{holder_paused, step::load_plan, done},
    row{two_contenders, step::load_plan, done},
    row{two_operators, step::load_plan, lost_race},
    row{platform_unavailable, step::load_head, refused_once},
    row{platform_slow, step::load_head, done},
    row{answer_lost, step::load_head, refused_once},
    row{reader_stale, step::load_head, refused_once},
    row{restarted_empty, step::load_head, no_answer},
    row{holder_paused, step::load_head, done},
    row{two_contenders, step::load_head, done},
    row{two_operators, step::load_head, lost_race},
    row{platform_unavailable, step::commit, refused_once},
    row{platform_slow, step::commit, done},
    row{answer_lost, step::commit, done},
    row{reader_stale, step::commit, done},
    row{restarted_empty, step::commit, no_answer},
    row{holder_paused, step::commit, done},
    row{two_contenders, step::commit, done},
    row{two_operators, step::commit, lost_race},
    row{platform_unavailable, step::settle, done},
    row{platform_slow, step::settle, done},
    row{answer_lost, step::settle, done},
    row{reader_stale, step::settle, done},
    row{restarted_empty, step::settle, no_answer},
    row{holder_paused, step::settle, done},
    row{two_contenders, step::settle, done},
    row{two_operators, step::settle, done},
};
static_assert(covers_every_pair(fault_rows));

// Starts a confirmation on daemon a and holds the operation of the step.
planning_fleet::result reach(planning_fleet& fleet, const std::string& plan,
                             step wanted) {
    planning_fleet::result answer = fleet.confirm("a", plan);
    for (int passed = 0; passed < static_cast<int>(wanted); ++passed) {
        const bool is_commit = passed == static_cast<int>(step::commit);
        fleet.platform.deliver(
            0, is_commit ? delivery::answer_lost : delivery::good);
    }
    REQUIRE(fleet.platform.held.size() == 1);
    return answer;
}

void inject(planning_fleet& fleet, fault injected, const std::string& plan,
            const std::string& other) {
    switch (injected) {
        case platform_unavailable:
            fleet.platform.deliver(0, delivery::unavailable);
            break;
        case platform_slow:
        case holder_paused:
            fleet.time.advance(seconds(60));
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
            fleet.start("a");
            fleet.platform.held.clear();
            break;
        case two_contenders:
        case two_operators: {
            const auto held = std::exchange(fleet.platform.held, {});
            fleet.platform.deliver_at_once = true;
            fleet.confirm("b", injected == two_contenders ? plan : other);
            fleet.platform.deliver_at_once = false;
            fleet.platform.held = held;
            break;
        }
        case fault::count:
            break;
    }
}

// Guards against a plan that is applied twice, is reported as refused although
// it was applied, or overwrites what another operator confirmed.
TEST_CASE("a fault at any step applies a plan at most once") {
    const row entry = GENERATE(from_range(fault_rows));
    INFO("fault " << static_cast<int>(entry.injected) << " at step "
                  << static_cast<int>(entry.step));
    planning_fleet fleet;
    fleet.start("a");
    fleet.start("b");
    fleet.set_up("a");
    fleet.heal();
    const std::string plan = fleet.propose("a", fleet.weight_intent(2));
    const std::string other = fleet.propose("b", fleet.weight_intent(3));
    fleet.platform.deliver_at_once = false;

    const auto answer = reach(fleet, plan, entry.step);
    inject(fleet, entry.injected, plan, other);
    fleet.heal();

    INFO(answer->status().ToString());
    CHECK(answer->status().code() == entry.expected.first);
    const auto repeated = fleet.confirm("b", plan);
    CHECK(repeated->ok() == entry.expected.in_force);
    CHECK(fleet.times_applied(plan) == (entry.expected.in_force ? 1 : 0));
    fleet.heal();
    CHECK(fleet.violation.empty());
    CHECK(fleet.daemons["a"].sync->version() ==
          fleet.daemons["b"].sync->version());
}

// One step of a random history, chosen by two numbers.
void random_step(planning_fleet& fleet, std::vector<std::string>& plans,
                 unsigned action, unsigned detail) {
    const std::string host(1, "abc"[detail % 3]);
    switch (action) {
        case 0:
            fleet.platform.deliver_at_once = true;
            plans.push_back(
                fleet.propose(host, fleet.weight_intent(1 + detail / 3 % 50)));
            fleet.platform.deliver_at_once = false;
            break;
        case 1:
        case 2:
            fleet.confirm(host, plans[detail / 3 % plans.size()]);
            break;
        case 3:
            fleet.start(host);
            break;
        case 4:
            fleet.daemons[host].sync->on_peer_version(
                std::string(1, "bca"[detail % 3]), detail / 3 % 8);
            break;
        case 5:
        case 6:
            fleet.advance(std::chrono::milliseconds(500));
            break;
        default:
            if (!fleet.platform.held.empty()) {
                fleet.platform.deliver(
                    detail % fleet.platform.held.size(),
                    static_cast<delivery>(detail / 7 % 12 < 6 ? detail / 7 % 6
                                                              : 0));
            }
    }
}

// Guards against orders of faults that no table lists.
TEST_CASE("no history of faults makes versions fall or differ") {
    CHECK(rc::check("versions rise and mean the same everywhere", [] {
        planning_fleet fleet;
        for (const char* host : {"a", "b", "c"}) {
            fleet.start(host);
        }
        fleet.set_up("a");
        std::vector<std::string> plans{"plan-1"};
        const auto history =
            *rc::gen::container<std::vector<std::pair<unsigned, unsigned>>>(
                rc::gen::pair(rc::gen::inRange(0u, 16u),
                              rc::gen::inRange(0u, 1000u)));
        for (const auto& [action, detail] : history) {
            random_step(fleet, plans, action, detail);
        }
        fleet.heal();
        RC_ASSERT(fleet.violation == "");
        for (const std::string& plan : plans) {
            RC_ASSERT(fleet.times_applied(plan) <= 1);
        }
        const std::uint64_t version = fleet.daemons["a"].sync->version();
        RC_ASSERT(fleet.daemons["b"].sync->version() == version);
        RC_ASSERT(fleet.daemons["c"].sync->version() == version);
    }));
}

// Guards against an operator who cannot see what a plan would do.
TEST_CASE("a plan shows every change and its effects") {
    const auto base = bronzehub::testing::sample_configuration();
    const auto wanted = read_intent(
        R"({"reason": "grow", "items": [
            {"add_organisation": {"name": "west", "default_weight": 2}},
            {"remove_backend_server": {"id": 1}}]})",
        base);
    REQUIRE(wanted.ok());

    const auto made = make_plan("p", "ann", *wanted, base);

    REQUIRE(made.ok());
    const plan_effects& effects = made->effects;
    REQUIRE(effects.differences.size() == 2);
    CHECK(effects.differences[0].action == "add organisation 3");
    CHECK(effects.differences[0].from.empty());
    CHECK_THAT(effects.differences[0].to, Catch::Contains("west"));
    CHECK(effects.differences[1].to.empty());
    REQUIRE(effects.shares.size() == 3);
    CHECK(effects.shares[0].organisation == "west");
    CHECK(effects.shares[0].to == Approx(0.5));
    CHECK(effects.shares[1].from == Approx(0.5));
    CHECK(effects.shares[1].to == Approx(0.25));
    REQUIRE(effects.capacities.size() == 1);
    CHECK(effects.capacities[0].slots_from == 4);
    CHECK(effects.capacities[0].slots_to == 0);
    CHECK(read_plan(write_plan(*made))->items == made->items);
}

// Guards against an operator who acts without the role for it.
TEST_CASE("each operation needs its role") {
    planning_fleet fleet;
    fleet.start("a");
    fleet.set_up("a");
    fleet.platform.deliver_at_once = true;
    const std::string id = fleet.propose("a", fleet.weight_intent(2));
    planner& planner = *fleet.daemons["a"].planner;
    const auto denied = [](const auto& result) {
        CHECK(absl::IsPermissionDenied(result.status()));
    };

    planner.propose(fleet.account("read confirm"), "{}", denied);
    planner.confirm(fleet.account("read plan"), id, denied);
    planner.drop(fleet.account("read confirm"), id, denied);
    planner.get(fleet.account("plan confirm"), id, denied);

    CHECK(fleet.daemons["a"].sync->version() == 1);
}

// Guards against a dropped plan that is confirmed later, and the reverse.
TEST_CASE("a plan is either dropped or confirmed") {
    planning_fleet fleet;
    fleet.start("a");
    fleet.set_up("a");
    fleet.platform.deliver_at_once = true;
    const std::string id = fleet.propose("a", fleet.weight_intent(2));
    absl::Status dropped;
    const auto drop = [&](const std::string& plan) {
        fleet.daemons["a"].planner->drop(
            fleet.account("plan"), plan,
            [&](const auto& result) { dropped = result.status(); });
    };

    drop("plan-1");
    CHECK(absl::IsFailedPrecondition(dropped));
    drop(id);
    CHECK(dropped.ok());
    CHECK(absl::IsFailedPrecondition(fleet.confirm("a", id)->status()));
}

// Guards against a losing operator who is not told what changed.
TEST_CASE("a plan whose base moved is refused with the difference") {
    planning_fleet fleet;
    fleet.start("a");
    fleet.set_up("a");
    fleet.platform.deliver_at_once = true;
    const std::string first = fleet.propose("a", fleet.weight_intent(2));
    const std::string second = fleet.propose("a", fleet.weight_intent(3));
    REQUIRE(fleet.confirm("a", first)->ok());

    const auto refused = fleet.confirm("a", second);

    CHECK(refused->status().message() ==
          "plan plan-3 was made for version 1, but version 2 is in force; "
          "version 2 (plan plan-2): update organisation 1");
}

// Guards against a plan that is checked against an old configuration.
TEST_CASE("a daemon that is behind does not confirm") {
    planning_fleet fleet;
    fleet.start("a");
    fleet.set_up("a");
    fleet.start("b");
    fleet.platform.deliver_at_once = true;
    const std::string id = fleet.propose("a", fleet.weight_intent(2));

    CHECK(absl::IsUnavailable(fleet.confirm("b", id)->status()));

    fleet.advance(std::chrono::milliseconds(100));
    CHECK(fleet.confirm("b", id)->ok());
}

// Guards against a new daemon that needs every change since the beginning.
TEST_CASE("a daemon far behind starts from a snapshot object") {
    planning_fleet fleet;
    fleet.start("a");
    fleet.set_up("a");
    fleet.platform.deliver_at_once = true;
    for (int version = 2; version <= 300; ++version) {
        fleet.confirm("a",
                      fleet.propose("a", fleet.weight_intent(version % 9 + 1)));
    }
    CHECK(fleet.platform.stored_objects.size() == 1);

    fleet.start("b");
    fleet.advance(std::chrono::milliseconds(100));
    CHECK(fleet.daemons["b"].sync->version() == 200);
    fleet.heal();

    CHECK(fleet.daemons["b"].sync->version() == 300);
    CHECK(fleet.violation.empty());
}

}  // namespace
}  // namespace bronzehub::planning
