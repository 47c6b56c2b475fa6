// Whole sessions over the wire against tests/golden/sessions. With
// BRONZEHUB_UPDATE_GOLDEN set, the files are written instead of compared; see
// scripts/update_golden.sh.
#include <catch2/catch.hpp>
#include <cstdlib>
#include <fstream>
#include <sstream>

#include "http_exchange.hpp"
#include "local_fleet.hpp"
#include "session.hpp"

namespace bronzehub::golden {
namespace {

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
    const std::string path = "tests/golden/sessions/" + name + ".session";
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
        const std::string found =
            play(current, fleet.ports().at(current.destination), values);
        text += found;
        INFO(path << ":\n"
                  << write_request(current) << "expected:\n"
                  << current.expected << "found:\n"
                  << found);
        // Not a comparison of texts, which Catch would print a second time.
        const bool is_as_expected = found == current.expected;
        CHECK((is_as_expected || is_update));
    }
    if (is_update) {
        std::ofstream(path) << text;
    }
}

// Guards against changes of the callers' interface that no one intended:
// status codes, outcomes, bodies of refusals, replays of keyed calls.
TEST_CASE("callers get the recorded responses") {
    play_session("callers");
}

}  // namespace
}  // namespace bronzehub::golden
