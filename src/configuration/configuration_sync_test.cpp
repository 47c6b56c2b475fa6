#include "configuration/configuration_sync.hpp"

#include <catch2/catch.hpp>

#include "tests/support/fault_table.hpp"
#include "tests/support/sample_configuration.hpp"

namespace bronzehub::configuration {
namespace {

using bronzehub::testing::covers_every_pair;
using bronzehub::testing::fault;
using bronzehub::testing::fault_row;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Versions 1 to `newest` as some source holds them; keeps `kept` changes.
change_log history(std::uint64_t newest, std::size_t kept = 100) {
    change_log log({.changes = kept});
    fleet_configuration value = bronzehub::testing::sample_configuration();
    log.record(std::make_shared<const configuration_snapshot>(value), {});
    while (value.version < newest) {
        const configuration_change change = bronzehub::testing::weight_change(
            value.version + 1, static_cast<double>(value.version));
        value = apply(value, change).value();
        const std::vector<std::string> text{write_change(change)};
        log.record(std::make_shared<const configuration_snapshot>(value), text);
    }
    return log;
}

configuration_update update_from(const change_log& log, std::uint64_t have) {
    return log.update_for(have).value_or(
        configuration_update{have, have, {}, "", 0});
}

// The configuration at a version of that history.
fleet_configuration content_of(std::uint64_t version) {
    fleet_configuration value = bronzehub::testing::sample_configuration();
    value.version = version;
    if (version > 1) {
        value.organisations[0].default_weight =
            static_cast<double>(version - 1);
    }
    return value;
}

// One daemon with a peer and the platform as sources, at version 3 of 6.
struct bench {
    base::paused_clock time;
    change_log source = history(6);
    bool platform_up = true;
    bool peer_up = true;
    bool hold = false;
    std::vector<std::function<void(absl::Status)>> held;
    std::vector<std::uint64_t> adopted;
    int platform_requests = 0;
    std::unique_ptr<configuration_sync> sync;
    std::vector<std::unique_ptr<configuration_sync>> ended;

    bench() { start(); }

    void start() {
        if (sync != nullptr) {
            ended.push_back(std::move(sync));
        }
        adopted.clear();
        configuration_sync::hooks hooks;
        hooks.fetch_from_peer = [this](const base::host_id&, std::uint64_t have,
                                       const auto& done) {
            answer(peer_up, have, done);
        };
        hooks.fetch_from_platform = [this](std::uint64_t have,
                                           const auto& done) {
            ++platform_requests;
            answer(platform_up, have, done);
        };
        hooks.adopted = [this](const snapshot_pointer& next) {
            adopted.push_back(next->version());
        };
        sync = std::make_unique<configuration_sync>(
            time.view(), std::move(hooks), sync_timing{});
    }

    void answer(bool up, std::uint64_t have,
                const configuration_sync::answer_callback& done) {
        const auto finish = [this, up, have, done](const absl::Status& status) {
            if (!status.ok() || !up) {
                done(status.ok() ? absl::UnavailableError("down") : status);
            } else {
                done(update_from(source, have));
            }
        };
        hold ? held.push_back(finish) : finish(absl::OkStatus());
    }

    void release(const absl::Status& status = absl::OkStatus()) {
        hold = false;
        for (const auto& finish : std::exchange(held, {})) {
            finish(status);
        }
    }

    void run(milliseconds length) {
        for (milliseconds passed{0}; passed < length;
             passed += milliseconds(100)) {
            time.advance(milliseconds(100));
            sync->tick();
        }
    }

    void begin_at(std::uint64_t version) {
        sync->on_update(update_from(history(version), 0));
    }
};

enum class step { start, ask_peer, ask_platform, changes, snapshot, count };

// The version in force right after the fault; the newest one must follow.
using row = fault_row<step, std::uint64_t>;
using enum fault;
constexpr std::array fault_rows{
    row{platform_unavailable, step::start, 6},
    row{platform_slow, step::start, 6},
    row{answer_lost, step::start, 0},
    row{reader_stale, step::start, 2},
    row{restarted_empty, step::start, 0},
    row{holder_paused, step::start, 6},
    row{two_contenders, step::start, 6},
    row{two_operators, step::start, 7},
    row{platform_unavailable, step::ask_peer, 6},
    row{platform_slow, step::ask_peer, 6},
    row{answer_lost, step::ask_peer, 3},
    row{reader_stale, step::ask_peer, 3},
    row{restarted_empty, step::ask_peer, 0},
    row{holder_paused, step::ask_peer, 6},
    row{two_contenders, step::ask_peer, 6},
    row{two_operators, step::ask_peer, 7},
    row{platform_unavailable, step::ask_platform, 3},
    row{platform_slow, step::ask_platform, 6},
    row{answer_lost, step::ask_platform, 3},
    row{reader_stale, step::ask_platform, 3},
    row{restarted_empty, step::ask_platform, 0},
    row{holder_paused, step::ask_platform, 6},
    row{two_contenders, step::ask_platform, 6},
    row{two_operators, step::ask_platform, 7},
    row{platform_unavailable, step::changes, 6},
    row{platform_slow, step::changes, 6},
    row{answer_lost, step::changes, 3},
    row{reader_stale, step::changes, 3},
    row{restarted_empty, step::changes, 0},
    row{holder_paused, step::changes, 6},
    row{two_contenders, step::changes, 6},
    row{two_operators, step::changes, 6},
    row{platform_unavailable, step::snapshot, 6},
    row{platform_slow, step::snapshot, 6},
    row{answer_lost, step::snapshot, 3},
    row{reader_stale, step::snapshot, 3},
    row{restarted_empty, step::snapshot, 0},
    row{holder_paused, step::snapshot, 6},
    row{two_contenders, step::snapshot, 6},
    row{two_operators, step::snapshot, 6},
};
static_assert(covers_every_pair(fault_rows));

// Brings the daemon to the step with one answer held: a source's, or an update
// that is pushed to it.
void reach(bench& bench, step wanted) {
    bench.hold = true;
    if (wanted != step::start) {
        bench.begin_at(3);
    }
    if (wanted == step::start || wanted == step::ask_peer) {
        bench.sync->on_peer_version("p", 6);
        bench.sync->tick();
    } else if (wanted == step::ask_platform) {
        bench.sync->set_polling(true);
        bench.sync->tick();
    } else {
        const std::size_t kept = wanted == step::changes ? 100 : 1;
        bench.held.push_back([&bench, kept](const absl::Status& status) {
            const auto newest = bench.source.update_for(0)->newest_version;
            if (status.ok() && newest > 3) {
                bench.sync->on_update(update_from(history(newest, kept), 3));
            }
        });
    }
    REQUIRE(bench.held.size() == 1);
}

void inject(bench& bench, fault injected, step at) {
    const auto pending = bench.held.at(0);
    switch (injected) {
        case platform_unavailable:
            bench.platform_up = false;
            bench.release(at == step::ask_platform
                              ? absl::UnavailableError("down")
                              : absl::OkStatus());
            break;
        case platform_slow:
            bench.run(seconds(3));
            bench.release();
            break;
        case answer_lost:
            bench.held.clear();
            bench.hold = false;
            break;
        case reader_stale:
            bench.source = history(2);
            bench.release();
            bench.source = history(6);
            break;
        case restarted_empty:
            bench.start();
            bench.held.clear();
            bench.hold = false;
            break;
        case holder_paused:
            bench.time.advance(seconds(60));
            bench.release();
            break;
        case two_contenders:  // The same answer twice.
            bench.release();
            pending(absl::OkStatus());
            break;
        case two_operators:  // Version 7 is confirmed and overtakes 6.
            if (at == step::changes || at == step::snapshot) {
                bench.sync->on_update(update_from(history(7), 6));
            } else {
                bench.source = history(7);
            }
            bench.release();
            bench.source = history(7);
            bench.sync->on_peer_version("p", 7);
            break;
        case fault::count:
            break;
    }
}

// Guards against a version that falls, is skipped over with a gap, or is not
// reached within the 8 s that an accepted configuration has.
TEST_CASE("a fault at any step delays the newest version and nothing else") {
    const row entry = GENERATE(from_range(fault_rows));
    INFO("fault " << static_cast<int>(entry.injected) << " at step "
                  << static_cast<int>(entry.step));
    bench bench;
    reach(bench, entry.step);

    inject(bench, entry.injected, entry.step);
    CHECK(bench.sync->version() == entry.expected);

    bench.sync->on_peer_version("p", bench.source.update_for(0)->to_version);
    bench.run(seconds(8));
    CHECK(bench.sync->state() == sync_state::level);
    CHECK(bench.sync->current()->value() ==
          content_of(entry.injected == two_operators ? 7 : 6));
    CHECK(std::ranges::is_sorted(bench.adopted, std::ranges::less_equal{}));
}

// Guards against a daemon that claims to be ready without a configuration, or
// that stays without one after the platform returned.
TEST_CASE("a daemon that starts while the platform is down says so") {
    bench bench;
    bench.platform_up = false;
    bench.peer_up = GENERATE(true, false);
    bench.sync->on_peer_version("p", 0);

    bench.run(seconds(5));
    CHECK(bench.sync->state() ==
          (bench.peer_up ? sync_state::level : sync_state::no_source));

    bench.platform_up = true;
    bench.run(seconds(2));
    CHECK(bench.sync->state() == sync_state::level);
}

// Guards against a fleet whose daemons all read the platform for each change.
TEST_CASE("a daemon asks its peers before the platform") {
    bench bench;
    bench.begin_at(3);
    bench.sync->on_peer_version("p", 6);

    bench.run(seconds(10));

    CHECK(bench.sync->version() == 6);
    CHECK(bench.platform_requests == 0);
}

// Guards against waiting for good for an answer that was lost.
TEST_CASE("a source that does not answer is asked again") {
    bench bench;
    const bool has_peer = GENERATE(true, false);
    bench.platform_up = !has_peer;
    if (has_peer) {
        bench.sync->on_peer_version("p", 6);
    }
    bench.hold = true;
    bench.sync->tick();
    bench.held.clear();
    bench.hold = false;

    bench.run(seconds(3));

    CHECK(bench.sync->version() == 6);
}

// Guards against an answer that is refused because another one came first.
TEST_CASE("changes that are in force already are skipped") {
    bench bench;
    bench.begin_at(5);

    bench.sync->on_update(update_from(bench.source, 3));

    CHECK(bench.sync->version() == 6);
}

// Guards against a damaged answer that takes effect in part.
TEST_CASE("an update that cannot be applied as a whole changes nothing") {
    bench bench;
    bench.begin_at(3);
    configuration_update update = update_from(bench.source, 3);
    const int damage = GENERATE(0, 1, 2, 3);
    if (damage == 0) {
        update.changes[2] = "{";
    } else if (damage == 1) {
        update.changes.pop_back();
    } else if (damage == 2) {
        std::swap(update.changes[0], update.changes[1]);
    } else {
        update = {3, 6, {}, write_configuration(content_of(5)), 6};
    }

    bench.sync->on_update(update);

    CHECK(bench.sync->version() == 3);
    CHECK(bench.sync->counters().invalid == 1);
}

}  // namespace
}  // namespace bronzehub::configuration
