#include "leases/command_issuer.hpp"

#include <catch2/catch.hpp>
#include <vector>

#include "tests/support/fault_table.hpp"

namespace bronzehub::leases {
namespace {

using bronzehub::testing::covers_every_pair;
using bronzehub::testing::fault;
using bronzehub::testing::fault_row;
using std::chrono::seconds;

const base::backend_server_id server(1);
// Lease duration plus command timeout of `command_timing`.
constexpr seconds settling{40};

// One engine and one issuer. Operations are held while `hold` is set.
struct bench {
    base::paused_clock time;
    std::optional<fencing_token> token{1};
    std::string engine_state = "old";
    fencing_token engine_token = 0;
    bool engine_checks = false;
    bool hold = false;
    std::vector<std::function<void()>> held;
    std::vector<base::time_point> sent;
    command_issuer issuer = make();

    command_issuer make() {
        return command_issuer(
            time.view(), token_bucket(time.view(), 1, 1),
            {[this] { return token; },
             [this](base::backend_server_id, fencing_token with,
                    const std::string& state, const auto& done) {
                 sent.push_back(time.now());
                 later([=, this] { done(apply(with, state)); });
             },
             [this](base::backend_server_id, const auto& done) {
                 later([=, this] { done(engine_state); });
             }},
            command_timing{});
    }

    void later(const std::function<void()>& answer) {
        hold ? held.push_back(answer) : answer();
    }

    absl::Status apply(fencing_token with, const std::string& state) {
        if (engine_checks && with < engine_token) {
            return absl::FailedPreconditionError("old fencing token");
        }
        engine_token = with;
        engine_state = state;
        return absl::OkStatus();
    }

    void want(const std::string& state, double units = 0) {
        issuer.set_desired(server, {state, units, engine_checks});
    }

    void run(seconds length) {
        for (seconds passed{0}; passed < length; ++passed) {
            time.advance(seconds(1));
            issuer.tick();
        }
    }

    // Runs until an operation is held.
    void run_until_held() {
        hold = true;
        for (int i = 0; i < 200 && held.empty(); ++i) {
            run(seconds(1));
        }
        REQUIRE(held.size() == 1);
    }

    // Lets the engine answer what was held.
    void release() {
        hold = false;
        for (const auto& answer : std::exchange(held, {})) {
            answer();
        }
    }
};

enum class step { first_look, send, read_back, second_look, count };

// How many commands it took until the engine had, and kept, its state.
using row = fault_row<step, int>;
using enum fault;
constexpr std::array fault_rows{
    row{platform_unavailable, step::first_look, 1},
    row{platform_slow, step::first_look, 1},
    row{answer_lost, step::first_look, 1},
    row{reader_stale, step::first_look, 1},
    row{restarted_empty, step::first_look, 1},
    row{holder_paused, step::first_look, 1},
    row{two_contenders, step::first_look, 1},
    row{two_operators, step::first_look, 1},
    row{platform_unavailable, step::send, 1},
    row{platform_slow, step::send, 1},
    row{answer_lost, step::send, 1},
    row{reader_stale, step::send, 1},
    row{restarted_empty, step::send, 1},
    row{holder_paused, step::send, 1},
    row{two_contenders, step::send, 2},
    row{two_operators, step::send, 2},
    row{platform_unavailable, step::read_back, 1},
    row{platform_slow, step::read_back, 1},
    row{answer_lost, step::read_back, 1},
    row{reader_stale, step::read_back, 2},
    row{restarted_empty, step::read_back, 1},
    row{holder_paused, step::read_back, 1},
    row{two_contenders, step::read_back, 2},
    row{two_operators, step::read_back, 2},
    row{platform_unavailable, step::second_look, 1},
    row{platform_slow, step::second_look, 1},
    row{answer_lost, step::second_look, 1},
    row{reader_stale, step::second_look, 2},
    row{restarted_empty, step::second_look, 1},
    row{holder_paused, step::second_look, 1},
    row{two_contenders, step::second_look, 2},
    row{two_operators, step::second_look, 2},
};
static_assert(covers_every_pair(fault_rows));

// Brings the issuer to the step, with its operation held.
void reach(bench& bench, step wanted) {
    bench.want("new");
    for (int passed = 0; passed <= static_cast<int>(wanted); ++passed) {
        if (passed > 0) {
            const auto answer = std::exchange(bench.held, {});
            answer.at(0)();
        }
        bench.run_until_held();
    }
}

void inject(bench& bench, fault injected) {
    switch (injected) {
        case platform_unavailable:  // The lease expires and is renewed.
            bench.token.reset();
            bench.run(seconds(20));
            bench.release();
            bench.token = 1;
            break;
        case platform_slow:  // The answer takes 20 s.
            bench.run(seconds(20));
            bench.release();
            break;
        case answer_lost:  // No answer comes; a command has taken effect.
            bench.held.clear();
            bench.hold = false;
            bench.engine_state =
                bench.sent.empty() ? bench.engine_state : "new";
            break;
        case reader_stale: {  // The engine reports the state before.
            const std::string state = bench.engine_state;
            bench.engine_state = "old";
            bench.release();
            bench.engine_state = bench.engine_state == "old" ? state : "new";
            break;
        }
        case restarted_empty:
            bench.release();
            bench.issuer = bench.make();
            bench.want("new");
            break;
        case holder_paused:  // Beyond its lease; nobody took over.
            bench.time.advance(seconds(60));
            bench.release();
            break;
        case two_contenders:  // A paused holder's command arrives late.
            bench.release();
            bench.engine_state = "stale";
            break;
        case two_operators:  // The desired state changes at this step.
            bench.want("newer");
            bench.release();
            break;
        case fault::count:
            break;
    }
}

// Guards against an engine that ends up with the state that an earlier holder
// or an earlier intent wanted.
TEST_CASE("a fault at any step leaves the engine in the desired state") {
    const row entry = GENERATE(from_range(fault_rows));
    INFO("fault " << static_cast<int>(entry.injected) << " at step "
                  << static_cast<int>(entry.step));
    bench bench;
    reach(bench, entry.step);

    inject(bench, entry.injected);
    bench.run(15 * settling);

    CHECK(bench.engine_state ==
          (entry.injected == two_operators ? "newer" : "new"));
    CHECK(bench.issuer.step_of(server) == command_step::done);
    CHECK(static_cast<int>(bench.sent.size()) == entry.expected);
}

// Guards against a command that is issued without the right to act.
TEST_CASE("no command leaves without a valid lease") {
    bench bench;
    bench.engine_checks = true;
    bench.run(seconds(1));
    bench.token.reset();
    bench.want("new");

    bench.run(settling);

    CHECK(bench.sent.empty());
}

// Guards against an engine that executes a command of an earlier holder after
// the new holder's.
TEST_CASE("an engine that ignores tokens is left alone for the settling time") {
    bench bench;
    bench.engine_checks = GENERATE(true, false);
    const base::time_point start = bench.time.now();
    bench.want("new");

    bench.run(2 * settling);

    REQUIRE(bench.sent.size() == 1);
    const bool waited = bench.sent[0] - start > settling;
    CHECK(waited == !bench.engine_checks);
}

// Guards against an older command of this holder that is executed last.
TEST_CASE("a command waits until an earlier one was executed or given up") {
    bench bench;
    bench.engine_checks = true;
    bench.want("first");
    bench.run_until_held();

    bench.want("second");
    bench.hold = false;
    bench.run(seconds(60));

    REQUIRE(bench.sent.size() == 2);
    CHECK(bench.sent[1] - bench.sent[0] >= command_timing{}.command_timeout);
}

// Guards against a burst of loads that exceeds the weight store's rate.
TEST_CASE("commands are paced by the weight store's rate") {
    bench bench;
    bench.engine_checks = true;
    for (std::uint32_t id = 1; id <= 5; ++id) {
        bench.issuer.set_desired(base::backend_server_id(id),
                                 {"new", 10, true});
    }

    bench.run(seconds(30));

    CHECK(bench.sent.size() == 3);
}

// Guards against two holders that together exceed the weight store's rate.
TEST_CASE("a new lease starts without saved-up rate") {
    bench bench;
    bench.engine_checks = true;
    bench.run(seconds(10));
    bench.token = 2;
    bench.want("new", 1);

    bench.issuer.tick();
    CHECK(bench.sent.empty());
    bench.run(seconds(1));
    CHECK(bench.sent.size() == 1);
}

// Guards against a rejected command that is taken for an executed one.
TEST_CASE("a fenced command is not reported as done") {
    bench bench;
    bench.engine_checks = true;
    bench.engine_token = 2;
    bench.want("new");

    bench.run(seconds(3));
    CHECK(bench.issuer.step_of(server) != command_step::done);
    CHECK(bench.engine_state == "old");

    bench.token = 3;
    bench.run(seconds(3));
    CHECK(bench.engine_state == "new");
}

}  // namespace
}  // namespace bronzehub::leases
