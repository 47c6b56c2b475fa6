// Whole sessions over the wire against tests/golden/sessions. With
// BRONZEHUB_UPDATE_GOLDEN set, the files are written instead of compared; see
// scripts/update_golden.sh.
#include <catch2/catch.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>

#include "http_exchange.hpp"
#include "local_fleet.hpp"
#include "session.hpp"

namespace bronzehub::golden {
namespace {

constexpr const char* directory = "tests/golden/sessions/";

std::string read_file(const std::string& path) {
    std::ifstream in(path);
    if (!in) {
        throw std::runtime_error("cannot read " + path);
    }
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

std::string play(const step& current, std::uint16_t port,
                 placeholders& values) {
    const http_request request = make_request(current, values);
    std::string found;
    wait_until(current.until, [&] {
        found = write_response(exchange(port, request), current.destination,
                               values);
        return found.find(current.until) != std::string::npos;
    });
    return found;
}

// Plays the session against a fleet of its own.
void play_session(const std::string& name) {
    const std::string path = std::string(directory) + name + ".session";
    const bool is_update = std::getenv("BRONZEHUB_UPDATE_GOLDEN") != nullptr;
    const std::vector<step> steps = parse_session(read_file(path));
    REQUIRE_FALSE(steps.front().request.empty());
    const local_fleet fleet;
    placeholders values(fleet.ports());
    std::string text;
    for (const step& current : steps) {
        text += write_request(current);
        if (current.request.empty()) {
            continue;
        }
        INFO(path << ":\n"
                  << write_request(current) << "expected:\n"
                  << current.expected);
        const std::string found =
            play(current, fleet.ports().at(current.destination), values);
        text += found;
        INFO("found:\n" << found);
        // Not a comparison of texts, which Catch would print a second time.
        const bool is_as_expected = found == current.expected;
        CHECK((is_as_expected || is_update));
    }
    if (is_update) {
        std::ofstream(path) << text;
    }
}

// Guards against unintended changes of what a caller receives: headers,
// streams, and a keyed call that runs again instead of being replayed.
TEST_CASE("callers receive the recorded responses") {
    play_session("callers");
}

// Guards against changed codes of refusals, and against a refused call that
// reaches a backend server although the response says not-run.
TEST_CASE("refused callers receive the recorded responses") {
    play_session("caller_refusals");
}

// Guards against renamed fields and metrics, digests in lists, and resources
// that answer without the role that they need.
TEST_CASE("operators receive the recorded responses") {
    play_session("operators");
}

// Guards against a plan that is applied twice or on a version that it was not
// made for.
TEST_CASE("plans take the recorded course") {
    play_session("plans");
}

// Guards against a keyed call that runs unclaimed while the platform refuses,
// or twice after it returns.
TEST_CASE("a refusing platform leads to the recorded responses") {
    play_session("platform_faults");
}

// Guards against a call that is repeated although it may have run.
TEST_CASE("failing backend servers lead to the recorded responses") {
    play_session("backend_faults");
}

// Guards against a draining host that the balancer still takes for ready.
TEST_CASE("a draining host gives the recorded responses") {
    play_session("drain");
}

// Guards against a session file that no test plays.
TEST_CASE("every session file is played") {
    std::set<std::string> names;
    for (const auto& each : std::filesystem::directory_iterator(directory)) {
        names.insert(each.path().stem());
    }
    CHECK(names == std::set<std::string>{"backend_faults", "caller_refusals",
                                         "callers", "drain", "operators",
                                         "plans", "platform_faults"});
}

}  // namespace
}  // namespace bronzehub::golden
