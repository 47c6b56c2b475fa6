#include "logging/logging.hpp"

#include <catch2/catch.hpp>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace bronzehub::logging {
namespace {

struct captured_log {
    explicit captured_log(std::vector<std::string> secrets = {})
        : log({level::info, std::move(secrets),
               [] {
                   return std::chrono::system_clock::time_point(
                       std::chrono::milliseconds(1'500));
               }},
              [this](level, std::string_view line) {
                  lines.emplace_back(line);
              }) {}

    std::vector<std::string> lines;
    logger log;
};

// Guards against a line that tools cannot parse, and against a text with a line
// break that looks like a second line.
TEST_CASE("a line is one JSON object with typed fields in order") {
    captured_log captured;

    captured.log.warning(
        "backend \"a\"\nfailed",
        {field("address", "10.0.0.1:80\xff"), field("attempts", 3),
         field("share", 0.5), field("leaving", true),
         field("delay_ms", std::chrono::seconds(2)),
         field("service", base::service_id(4))});

    REQUIRE(captured.lines.size() == 1);
    CHECK(captured.lines[0].find('\n') == std::string::npos);
    CHECK(captured.lines[0].starts_with(
        R"({"time":"1970-01-01T00:00:01.500Z","level":"warning",)"));
    const auto line = nlohmann::json::parse(captured.lines[0]);
    CHECK(line["message"] == "backend \"a\"\nfailed");
    CHECK(line["attempts"] == 3);
    CHECK(line["share"] == 0.5);
    CHECK(line["leaving"] == true);
    CHECK(line["delay_ms"] == 2000);
    CHECK(line["service"] == 4);
}

// Guards against credentials in the log, both in a field of their own and in
// the text of an error.
TEST_CASE("secrets are redacted by field name and by value") {
    captured_log captured({"peer-key-1", "abc"});

    captured.log.error(
        "handshake with peer-key-1 failed",
        {field("error", "got peer-key-1, abc"),
         field("authorization", "Bearer x"), field("operator_token", "t")});

    const auto line = nlohmann::json::parse(captured.lines.at(0));
    CHECK(line["message"] == "handshake with [hidden] failed");
    CHECK(line["error"] == "got [hidden], abc");
    CHECK(line["authorization"] == "[hidden]");
    CHECK(line["operator_token"] == "[hidden]");
}

// Guards against metrics of log lines that depend on the configured log level.
TEST_CASE("lines below the minimum level are counted but not written") {
    captured_log captured;

    captured.log.debug("one");
    captured.log.info("two");
    captured.log.info("three");

    CHECK(captured.lines.size() == 2);
    CHECK(captured.log.count(level::debug) == 1);
    CHECK(captured.log.count(level::info) == 2);
    CHECK(captured.log.count(level::error) == 0);
}

// Guards against a sink that buffers a line or adds text to it.
TEST_CASE("the standard error sink writes the unchanged line at once") {
    std::ostringstream captured;
    std::streambuf* const original_buffer = std::cerr.rdbuf(captured.rdbuf());

    stderr_sink()(level::info, R"({"message":"started"})");

    std::cerr.rdbuf(original_buffer);
    CHECK(captured.str() == "{\"message\":\"started\"}\n");
}

}  // namespace
}  // namespace bronzehub::logging
