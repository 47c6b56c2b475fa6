#include "settings/settings.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "settings/settings_table.hpp"

namespace bronzehub::settings {
namespace {

using nlohmann::json;

constexpr const char* example_path = "examples/bronzehubd.json";

std::string read_file(const std::string& path) {
    std::ifstream input(path);
    std::ostringstream content;
    content << input.rdbuf();
    return content.str();
}

std::optional<std::string> fake_environment_reader(const std::string& name) {
    if (name == "BRONZEHUB_PEER_KEY") {
        return "0123456789abcdef";
    }
    return std::nullopt;
}

load_result load(const std::string& text) {
    return load_settings(text, "test.json", fake_environment_reader);
}

json example_document() {
    return json::parse(read_file(example_path), nullptr, true, true);
}

std::vector<std::string> error_keys(const load_result& result) {
    std::vector<std::string> keys;
    keys.reserve(result.errors.size());
    for (const settings_error& error : result.errors) {
        keys.push_back(error.key);
    }
    return keys;
}

// Guards against an example file with which a daemon does not start; users copy
// the file as their first settings.
TEST_CASE("the example settings file has no faults") {
    const load_result result =
        load_settings_file(example_path, fake_environment_reader);

    for (const settings_error& error : result.errors) {
        UNSCOPED_INFO(to_string(error));
    }
    REQUIRE(result.errors.empty());
    CHECK(result.settings.host.name == "entry-1");
    CHECK(result.settings.peers.seeds.size() == 3);
    CHECK(result.settings.peers.shared_key == "0123456789abcdef");
    CHECK(result.settings.listeners.peers_advertised == "10.1.0.11:8082");
    CHECK(result.settings.limits.read_timeout == std::chrono::seconds(30));
}

// Guards against a reference page that was not generated again after a change
// of the settings table.
TEST_CASE("docs/settings.md is what the settings table generates") {
    CHECK(read_file("docs/settings.md") == generate_reference_page());
}

// Guards against a default that the parser rejects when a file contains it.
TEST_CASE("a file may contain the default of every key") {
    json document = example_document();
    for (const setting_row& row : settings_table()) {
        if (row.default_json) {
            std::string pointer = "/" + std::string(row.key);
            std::ranges::replace(pointer, '.', '/');
            document[json::json_pointer(pointer)] =
                json::parse(*row.default_json);
        }
    }
    CHECK(error_keys(load(document.dump())).empty());
}

// Guards against a value of the wrong type, out of range or in contradiction to
// another key that reaches the daemon, and against an error that names the
// wrong key.
TEST_CASE("an invalid value is reported with the path of its key") {
    const auto [pointer, value,
                key] = GENERATE(table<std::string, json, std::string>({
        {"/host/name", "Entry 1", "host.name"},
        {"/host/name", 7, "host.name"},
        {"/host/colour", "red", "host.colour"},
        {"/hosts", json::object(), "hosts"},
        {"/host", "entry-1", "host"},
        {"/listeners/callers", "localhost:80", "listeners.callers"},
        {"/listeners/callers", "10.0.0.1:0", "listeners.callers"},
        {"/listeners/callers", "10.0.0.1:70000", "listeners.callers"},
        {"/listeners/callers", "10.1.0.11:8081", "listeners.operators"},
        {"/listeners/peers_advertised", "0.0.0.0:1",
         "listeners.peers_advertised"},
        {"/peers/seeds/1/address", "10.2.0.11", "peers.seeds[1].address"},
        {"/peers/seeds/1/weight", 1, "peers.seeds[1].weight"},
        {"/peers/seeds/1", "entry-4", "peers.seeds[1]"},
        {"/peers/seeds/1/host", "entry-7", "peers.seeds[2].host"},
        {"/peers/seeds/0/address", "10.9.9.9:1", "peers.seeds[0].address"},
        {"/peers/shared_key", "0123456789abcdef0", "peers.shared_key_variable"},
        {"/peers/shared_key_variable", "UNSET_VARIABLE",
         "peers.shared_key_variable"},
        {"/platform/table", "10.0.0.2:9000", "platform.table"},
        {"/platform/connect_timeout_ms", 5000, "platform.connect_timeout_ms"},
        {"/threads/workers", 0, "threads.workers"},
        {"/threads/workers", 2.5, "threads.workers"},
        {"/threads/workers", 18446744073709551615ULL, "threads.workers"},
        {"/limits/buffered_bytes", 1048576, "limits.buffered_bytes"},
        {"/limits/waiting_calls", 10,
         "limits.waiting_calls_per_organisation_and_service"},
        {"/log/level", "loud", "log.level"},
        {"/initial_configuration", "none", "initial_configuration"},
    }));
    json document = example_document();
    document[json::json_pointer(pointer)] = value;
    CAPTURE(pointer, value);

    CHECK(error_keys(load(document.dump())) == std::vector{key});
}

// Guards against a check that stops at the first error, so that users need one
// run for each error of a file.
TEST_CASE("one run reports all faults with found and expected values") {
    const load_result result = load(R"({
        "host": {"name": "a", "name": "b", "region": "r"},
        "listeners": {"callers": 5},
        "limits": {"header_bytes": 1},
        "peers": {"seeds": [{"host": "x", "host": "y"}]}
    })");

    CHECK(error_keys(result) ==
          std::vector<std::string>{"host.name", "peers.seeds[0].host",
                                   "host.failure_domain", "limits.header_bytes",
                                   "listeners.callers", "listeners.operators",
                                   "listeners.peers", "peers.seeds[0].address",
                                   "platform.table", "platform.object_store",
                                   "platform.host_list", "peers.shared_key"});
    CHECK(std::ranges::all_of(result.errors, [](const settings_error& error) {
        return error.file == "test.json" && !error.found.empty() &&
               !error.expected.empty();
    }));
}

// Guards against a syntax error that is reported without its position.
TEST_CASE("a syntax error is reported with its line") {
    const load_result result = load("{\n  \"host\": }");

    REQUIRE_FALSE(result.errors.empty());
    CHECK(to_string(result.errors[0]).find("line 2") != std::string::npos);
}

// Guards against a secret that error messages write to a log or a terminal.
TEST_CASE("an error message never contains the shared key") {
    json document = example_document();
    document["peers"]["shared_key"] = "hunter2";

    for (const settings_error& error : load(document.dump()).errors) {
        CHECK(to_string(error).find("hunter2") == std::string::npos);
    }
}

}  // namespace
}  // namespace bronzehub::settings
