#include <catch2/catch.hpp>
#include <fstream>
#include <map>
#include <sstream>

#include "cli/formatting.hpp"
#include "cli/tool.hpp"
#include "support/endless_sender.hpp"

namespace bronzehub::cli {
namespace {

// A tool with fake files, variables and daemon.
struct fake_tool {
    exit_code run(const std::vector<std::string>& arguments) {
        const tool_environment environment{
            [this](const admin_request& request) { return answer(request); },
            [this](const std::string& path) -> absl::StatusOr<std::string> {
                const auto found = files.find(path);
                return found == files.end()
                           ? absl::StatusOr<std::string>(
                                 absl::NotFoundError("no such file"))
                           : found->second;
            },
            [this](const std::string& name) -> std::optional<std::string> {
                const auto found = variables.find(name);
                return found == variables.end() ? std::nullopt
                                                : std::optional(found->second);
            },
            out, error};
        return run_tool(arguments, environment);
    }

    absl::StatusOr<admin_response> answer(const admin_request& request) {
        requests.push_back(request);
        return response;
    }

    std::map<std::string, std::string> files;
    std::map<std::string, std::string> variables;
    absl::StatusOr<admin_response> response = admin_response{200, "{}"};
    std::vector<admin_request> requests;
    std::ostringstream out;
    std::ostringstream error;
};

// Guards against a verb that reaches another endpoint or refuses an option.
TEST_CASE("each verb sends its request") {
    const auto [arguments, method, path] =
        GENERATE(table<std::vector<std::string>, std::string, std::string>({
            {{"status"}, "GET", "/admin/v1/status"},
            {{"dump"}, "GET", "/dump"},
            {{"metrics"}, "GET", "/metrics"},
            {{"drain"}, "POST", "/admin/v1/drain"},
            {{"plan", "create", "-"}, "POST", "/admin/v1/plans"},
            {{"plan", "show", "p1"}, "GET", "/admin/v1/plans/p1"},
            {{"plan", "confirm", "p1"}, "POST", "/admin/v1/plans/p1/confirm"},
            {{"plan", "drop", "p1"}, "DELETE", "/admin/v1/plans/p1"},
            {{"service", "remove", "s"}, "POST", "/admin/v1/plans"},
        }));
    fake_tool tool;
    tool.files["-"] = "{}";
    tool.variables["BRONZEHUB_ADDRESS"] = "10.0.0.1:81";

    CHECK(tool.run(arguments) == exit_code::done);
    auto with_option = arguments;
    with_option.emplace_back("--json");
    CHECK(tool.run(with_option) == exit_code::done);

    REQUIRE_FALSE(tool.requests.empty());
    CHECK(tool.requests.back().method == method);
    CHECK(tool.requests.back().url == "http://10.0.0.1:81" + path);
}

// Guards against exit codes that scripts cannot rely on, and against an error
// without a cause on standard error.
TEST_CASE("a response decides the exit code") {
    const auto [response, expected] =
        GENERATE(table<absl::StatusOr<admin_response>, exit_code>({
            {admin_response{200, "{}"}, exit_code::done},
            {admin_response{400, "{}"}, exit_code::invalid_input},
            {admin_response{401, "{}"}, exit_code::refused},
            {admin_response{403, "{}"}, exit_code::refused},
            {admin_response{404, "?"}, exit_code::refused},
            {admin_response{409, "{}"}, exit_code::conflict},
            {admin_response{412, "{}"}, exit_code::conflict},
            {admin_response{503, "{}"}, exit_code::refused},
            {absl::UnavailableError("refused"), exit_code::unreachable},
        }));
    fake_tool tool;
    tool.response = response;

    CHECK(tool.run({"plan", "confirm", "p1"}) == expected);
    CHECK(tool.error.str().empty() == (expected == exit_code::done));
}

// Guards against a tool that fills its memory when what it reached is no
// daemon.
TEST_CASE("a response without end is an error of the connection") {
    const auto [response, reason] =
        GENERATE(table<test::endless_response, std::string>({
            {{"body", "HTTP/1.1 200 OK\r\n\r\n", "x"}, "the body exceeds"},
            {{"trailer fields",
              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
              "A: b\r\n"},
             "the header fields exceed"},
        }));
    CAPTURE(response.name);
    test::endless_sender server(response);

    admin_request request;
    request.method = "GET";
    request.url = "http://127.0.0.1:" + std::to_string(server.port()) + "/";

    const auto result = curl_sender()(request);

    CHECK(result.status().code() == absl::StatusCode::kUnavailable);
    CHECK_THAT(std::string(result.status().message()), Catch::Contains(reason));
    CHECK(server.was_closed_early());
}

// Guards against an error that hides what the daemon said.
TEST_CASE("a refusal shows the daemon's message and a remedy") {
    fake_tool tool;
    tool.response = admin_response{409, R"({"error": {"message": "is 6"}})"};

    tool.run({"plan", "confirm", "p1"});

    CHECK(tool.error.str().find("refused: is 6\n  ") != std::string::npos);
    CHECK(tool.error.str().find("create the plan again") != std::string::npos);
}

// Guards against arguments that are silently misread.
TEST_CASE("wrong usage is refused without a request") {
    const auto arguments = GENERATE(
        std::vector<std::string>{}, std::vector<std::string>{"unknown"},
        std::vector<std::string>{"plan", "confirm"},
        std::vector<std::string>{"plan", "show", "../../status"},
        std::vector<std::string>{"status", "--unknown"},
        std::vector<std::string>{"status", "--timeout", "0"},
        std::vector<std::string>{"share", "set", "a", "weight"},
        std::vector<std::string>{"share", "set", "a", "w=1", "w=2"});
    fake_tool tool;

    CHECK(tool.run(arguments) == exit_code::usage);
    CHECK(tool.requests.empty());
    CHECK_FALSE(tool.error.str().empty());
}

// Guards against a key that is sent with its line break or not at all.
TEST_CASE("address, key and timeout come from options before variables") {
    fake_tool tool;
    tool.files["k"] = "from-file\n";
    tool.variables["BRONZEHUB_KEY"] = "from-variable";

    tool.run({"dump", "--key-file", "k", "--address", "https://h:1/",
              "--timeout", "3"});
    tool.run({"dump"});

    CHECK(tool.requests.at(0).key == "from-file");
    CHECK(tool.requests.at(0).url == "https://h:1/dump");
    CHECK(tool.requests.at(0).timeout == std::chrono::seconds(3));
    CHECK(tool.requests.at(1).key == "from-variable");
    CHECK(tool.requests.at(1).url == "http://127.0.0.1:8081/dump");
}

// Guards against values that change their type on the way.
TEST_CASE("an object verb becomes an intent") {
    fake_tool tool;

    tool.run({"organisation", "set", "north", "weight=2", "title=a b"});

    CHECK(tool.requests.at(0).body ==
          R"({"reason":"organisation set north",)"
          R"("changes":[{"action":"set","kind":"organisation",)"
          R"("name":"north","fields":{"weight":2,"title":"a b"}}]})");
    CHECK(tool.out.str().find("plan confirm") != std::string::npos);
}

// Guards against a check that stops at one fault or passes a bad file.
TEST_CASE("check-settings prints every fault and exits with 4") {
    fake_tool tool;
    std::ifstream example("examples/bronzehubd.json");
    tool.files["good"] = std::string(std::istreambuf_iterator(example), {});
    tool.files["bad"] = R"({"threads": {"workers": 0}, "colour": 1})";

    CHECK(tool.run({"check-settings", "good"}) == exit_code::done);
    CHECK(tool.run({"check-settings", "absent"}) == exit_code::invalid_input);
    CHECK(tool.run({"check-settings", "bad", "--json"}) ==
          exit_code::invalid_input);
    const std::string text = tool.out.str();
    CHECK(text.find("threads.workers") != std::string::npos);
    CHECK(text.find("\"colour\"") != std::string::npos);
}

// Guards against logs of some hosts that are left out unsaid.
TEST_CASE("explain reads all logs that are named, or standard input") {
    fake_tool tool;
    tool.files["a"] =
        R"({"time":"1","message":"call ended","request_id":"r-1",)"
        R"("outcome":"refused","cause":"engines full"})";
    tool.files["-"] = tool.files["a"];
    CHECK(tool.run({"explain", "r-1", "a"}) == exit_code::done);
    CHECK(tool.run({"explain", "r-1"}) == exit_code::done);
    CHECK(tool.out.str().find("Cause: No engine") != std::string::npos);
    CHECK(tool.run({"explain", "r-2", "a"}) == exit_code::refused);
    CHECK(tool.run({"explain", "r-1", "a", "absent"}) ==
          exit_code::invalid_input);
}

// Guards against output that hides columns or nested values.
TEST_CASE("a document becomes lines and tables") {
    const document value = document::parse(R"({
        "ready": true, "host": "a", "none": null,
        "limits": {"waiting": 3},
        "members": [{"host": "a", "state": "alive"},
                    {"host": "longer", "age": 1}],
        "empty": []
    })");

    CHECK(format_text(value) ==
          "ready: yes\n"
          "host: a\n"
          "none: -\n"
          "limits:\n"
          "  waiting: 3\n"
          "members:\n"
          "  host    state  age\n"
          "  a       alive  -\n"
          "  longer  -      1\n"
          "empty: []\n");
}

// Guards against help that lacks a verb or an exit code.
TEST_CASE("help and version are printed") {
    fake_tool tool;

    CHECK(tool.run({"--help"}) == exit_code::done);
    CHECK(tool.run({"version", "--json"}) == exit_code::done);

    for (const char* part : {"check-settings", "drain", "confirm",
                             "Examples:", "  5  conflict", "\"protocol\""}) {
        CHECK(tool.out.str().find(part) != std::string::npos);
    }
}

}  // namespace
}  // namespace bronzehub::cli
