#include "cli/explanation.hpp"

#include <catch2/catch.hpp>

using bronzehub::cli::explain_request;
using Catch::Contains;

namespace {

std::string ended(const std::string& time, const std::string& id,
                  const std::string& outcome, const std::string& cause) {
    return R"({"time":")" + time + R"(","level":"warning",)" +
           R"("message":"call ended","request_id":")" + id +
           R"(","outcome":")" + outcome + R"(","cause":")" + cause +
           R"(","attempts":0,"placed_after_ms":-1})" + "\n";
}

}  // namespace

// Guards against a cause that the daemon gives and the operator cannot read.
TEST_CASE("each cause of a failed request becomes a sentence") {
    const auto [outcome, cause, sentence] =
        GENERATE(table<std::string, std::string, std::string>({
            {"refused", "engines full", "No engine"},
            {"refused", "host overloaded", "no processor time"},
            {"refused", "keys not fresh", "key was still valid"},
            {"refused", "no configuration yet", "just started"},
            {"refused", "draining", "about to stop"},
            {"refused", "no backend server", "left to try"},
            {"refused", "backend servers paused", "asked for a pause"},
            {"refused", "not sent", "could be reached"},
            {"refused", "rejected", "did not run"},
            {"failed", "unconfirmed refusal", "without stating"},
            {"rejected", "no route", "no route"},
            {"rejected", "unknown key", "does not hold its key"},
            {"failed", "broken", "may have run"},
            {"failed", "stream broken", "could not go on"},
            {"failed", "stream not resumed", "place for the rest"},
            {"failed", "route changed", "does not allow the attempt"},
            {"failed", "deadline passed", "worked on it"},
            {"refused", "deadline passed while waiting", "before it was sent"},
            {"abandoned", "caller left", "closed its connection"},
            {"delivered", "", "passed on whole"},
            {"failed", "something new", "Unknown cause: something new"},
        }));
    const auto result =
        explain_request("r-1", {{"a.log", ended("10", "r-1", outcome, cause)}});
    REQUIRE(result.ok());
    CHECK_THAT(*result, Contains(sentence));
    CHECK_THAT(*result, !Contains("placed_after_ms"));
}

// Guards against attempts of several hosts that are shown out of order, and
// against lines of other requests.
TEST_CASE("lines of all hosts are shown in order of time") {
    const std::string step =
        R"({"time":"11","message":"attempt broken","request_id":"r-1",)"
        R"("cause":"Connection reset by peer","events":12})"
        "\n";
    const auto result = explain_request(
        "r-1", {{"b.log", "a process manager's line\n" + step +
                              ended("12", "r-1", "failed", "stream broken")},
                {"a.log", ended("10", "r-1", "refused", "engines full") +
                              ended("11", "r-2", "refused", "no route")}});
    REQUIRE(result.ok());
    const std::size_t first = result->find("engines full");
    const std::size_t second = result->find("Connection reset by peer");
    const std::size_t third = result->find("stream broken");
    CHECK(first < second);
    CHECK(second < third);
    CHECK_THAT(*result, !Contains("no route"));
    CHECK_THAT(*result, Contains("Cause: The backend server's stream"));
}

// Guards against a refusal whose reason lies in an earlier change of the host.
TEST_CASE("the change that led to a refusal is shown with it") {
    const auto result = explain_request(
        "r-1",
        {{"a.log", R"({"time":"08","message":"store lost","cause":"timed out"})"
                   "\n" +
                       ended("10", "r-1", "refused", "keys not fresh")},
         {"b.log",
          R"({"time":"09","message":"store lost","cause":"of another host"})"
          "\n"}});
    REQUIRE(result.ok());
    CHECK_THAT(*result, Contains("store lost  cause=timed out"));
    CHECK_THAT(*result, !Contains("of another host"));
}

// Guards against silence about lines that were left out.
TEST_CASE("a request without lines is an error that counts omitted lines") {
    const auto result = explain_request(
        "r-1", {{"a.log", R"({"time":"1","message":"lines left out",)"
                          R"("count":40})"
                          "\n"}});
    CHECK(absl::IsNotFound(result.status()));
    CHECK_THAT(std::string(result.status().message()), Contains("40 lines"));
}

TEST_CASE("a request without an end says so") {
    const auto result = explain_request(
        "r-1", {{"a.log", R"({"time":"1","message":"attempt broken",)"
                          R"("request_id":"r-1"})"}});
    REQUIRE(result.ok());
    CHECK_THAT(*result, Contains("no end in these logs"));
}
