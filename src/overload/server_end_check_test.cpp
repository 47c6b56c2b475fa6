#include "overload/server_end_check.hpp"

#include <catch2/catch.hpp>
#include <optional>
#include <string>

namespace {

using namespace std::chrono_literals;
using bronzehub::base::duration;
using bronzehub::base::paused_clock;
using bronzehub::overload::connect_result;
using bronzehub::overload::server_end_check;

// Times from the first connect.
struct outage {
    // The server has ended, until it starts again.
    duration starts_again_at{};
    duration neighbours_are_cut_at{};
    duration server_is_cut_at{};
    duration healed_at{};
    std::optional<duration> restart_listed_at;
};

constexpr duration never = 1h;

bool check(const outage& happens) {
    paused_clock time;
    const auto started_at = time.now();
    server_end_check tested(time.view());
    using step = server_end_check::step;
    for (;;) {
        const duration now = time.now() - started_at;
        const auto is_cut = [&](duration since) {
            return now >= since && now < happens.healed_at;
        };
        if (happens.restart_listed_at && now >= *happens.restart_listed_at) {
            tested.on_restart_listed();
        }
        switch (tested.next_step()) {
            case step::connect_to_server:
                tested.on_server_connect(
                    now < happens.starts_again_at ||
                            is_cut(happens.server_is_cut_at)
                        ? connect_result::refused
                        : connect_result::accepted);
                break;
            case step::connect_to_neighbours:
                tested.on_neighbours_connect(
                    !is_cut(happens.neighbours_are_cut_at));
                break;
            case step::wait:
                time.advance(tested.pause());
                tested.on_pause_over();
                break;
            case step::finish:
                return tested.has_ended();
        }
        time.advance(1ms);
    }
}

}  // namespace

// Guards against servers behind a link that resets that are taken for ended,
// and against the end of a server that is not noticed.
TEST_CASE("a server has ended if only its own port refuses") {
    const auto [name, happens,
                has_ended] = GENERATE(table<std::string, outage, bool>({
        {"nothing", {0s, never, never, never, {}}, false},
        {"it ended", {never, never, never, never, {}}, true},
        {"the domain is cut off", {0s, 0s, 0s, never, {}}, false},
        {"its link is cut before the others", {0s, 50ms, 0s, never, {}}, false},
        {"the cut heals during the check", {0s, 0s, 0s, 102ms, {}}, false},
        {"the cut heals later", {0s, 0s, 0s, 1s, {}}, false},
        {"it ended while the domain was cut off",
         {never, 0s, 0s, 1s, {}},
         true},
        {"it ended and started again at once",
         {50ms, never, never, never, {}},
         false},
        {"its new start is listed during a cut",
         {0s, 0s, 0s, never, 600ms},
         true},
    }));
    CAPTURE(name);
    CHECK(check(happens) == has_ended);
}

// Guards against one that is held up without an end because other requests wait
// for the result.
TEST_CASE("a connect that fails otherwise leaves the question open") {
    paused_clock time;
    server_end_check tested(time.view());
    tested.on_server_connect(connect_result::failed);
    CHECK(tested.next_step() == server_end_check::step::finish);
    CHECK_FALSE(tested.has_ended());
}
