#include "standin.hpp"

#include <asio.hpp>
#include <catch2/catch.hpp>
#include <future>
#include <thread>

#include "engine.hpp"
#include "http.hpp"
#include "plain.hpp"
#include "platform_role.hpp"

namespace bronzehub::standin {
namespace {

using json = nlohmann::json;

// Records what a role answers.
class recorded_response : public response {
public:
    void send(int code, std::string body) override {
        status = code;
        text = std::move(body);
        complete = true;
    }
    void start_stream() override { status = 200; }
    void write(std::string bytes) override { text += bytes; }
    void finish() override { complete = true; }
    void cut() override { was_cut = true; }
    void on_closed(std::function<void()> hook) override {
        closed = std::move(hook);
    }

    int status = 0;
    std::string text;
    bool complete = false;
    bool was_cut = false;
    std::function<void()> closed;
};

// A stand-in whose timers run when the test says so.
struct fixture {
    std::deque<std::function<void()>> timers;
    after_hook after = [this](auto, const auto& run) { timers.push_back(run); };
    std::unique_ptr<standin> target;

    template <class Role, class... Options>
    void start(Options... options) {
        target = std::make_unique<standin>(
            std::make_unique<Role>(std::move(options)...), after);
    }

    std::shared_ptr<recorded_response> call(
        const std::string& method, const std::string& path,
        const std::string& body = {},
        const std::map<std::string, std::string>& headers = {}) {
        auto out = std::make_shared<recorded_response>();
        target->handle({method, path, {}, headers, body}, out);
        return out;
    }
};

std::string completion(std::uint32_t interval_ms) {
    return json{{"prompt", "one two"},
                {"stream", true},
                {"max_tokens", 4},
                {"token_interval_ms", interval_ms}}
        .dump();
}

// Guards against a resumed stream that repeats or skips a token.
TEST_CASE("a resumed stream continues the same tokens") {
    fixture at;
    at.start<engine>(engine_options{}, at.after);
    const auto whole = at.call("POST", "/v1/completions", completion(0));
    const auto rest = at.call("POST", "/v1/completions", completion(0),
                              {{"resume-from", "2"}});

    for (std::uint32_t position = 0; position < 4; ++position) {
        const std::string token = token_at("one two", position);
        CHECK(whole->text.find(token) != std::string::npos);
        CHECK((rest->text.find(token) != std::string::npos) == position >= 2);
    }
    CHECK(rest->text.ends_with("data: [DONE]\n\n"));
}

// Guards against a slot that stays taken after the caller has gone.
TEST_CASE("closing the connection cancels the run and frees its slot") {
    fixture at;
    at.start<engine>(engine_options{.slots = 1}, at.after);
    const auto first = at.call("POST", "/v1/completions", completion(10));
    const auto second = at.call("POST", "/v1/completions", completion(0));
    CHECK(json::parse(at.call("GET", "/load")->text)["waiting"] == 1);

    first->closed();

    CHECK(second->complete);
    CHECK(json::parse(at.call("GET", "/load")->text)["running"] == 0);
}

// Guards against an engine that applies a stale command, or a careless one
// that does not.
TEST_CASE("a lower fencing token is refused unless fencing is ignored") {
    const bool ignore = GENERATE(false, true);
    fixture at;
    at.start<engine>(engine_options{.ignore_fencing = ignore}, at.after);
    at.call("POST", "/orders", R"({"fencing_token":5,"order":{"role":"a"}})");
    const auto stale = at.call("POST", "/orders",
                               R"({"fencing_token":4,"order":{"role":"b"}})");
    CHECK(stale->status == (ignore ? 200 : 409));
    CHECK(json::parse(at.call("GET", "/orders")->text)["order"]["role"] ==
          (ignore ? "b" : "a"));
}

// Guards against faults whose effect differs from their name.
TEST_CASE("each fault executes or not and answers or not") {
    const auto [mode, executed, status, cut] =
        GENERATE(table<std::string, int, int, bool>({
            {"none", 1, 200, false},
            {"refuse", 0, 503, false},
            {"hang", 0, 0, false},
            {"answer_lost", 1, 0, true},
            {"slow", 0, 0, false},
        }));
    fixture at;
    at.start<plain>(plain_options{}, at.after);
    at.call("POST", "/faults", json({{"mode", mode}, {"count", 1}}).dump());

    const auto out = at.call("POST", "/book", "x");
    const auto journal = json::parse(at.call("GET", "/journal")->text);

    CHECK(journal["executed"] == executed);
    CHECK(out->status == status);
    CHECK(out->was_cut == cut);
}

// Guards against a conditional write that ignores its condition.
TEST_CASE("a conditional write fails when the row has another version") {
    fixture at;
    at.start<platform_role>();
    const std::map<std::string, std::string> absent{{"if-none-match", "*"}};
    CHECK(at.call("PUT", "/table/t/a%2Fb", "1", absent)->status == 200);
    CHECK(at.call("PUT", "/table/t/a%2Fb", "2", absent)->status == 412);
    CHECK(at.call("PUT", "/table/t/a%2Fb", "2", {{"if-match", "9"}})->status ==
          412);
    CHECK(
        at.call("DELETE", "/table/t/a%2Fb", "", {{"if-match", "1"}})->status ==
        200);
    CHECK(at.call("GET", "/table/t/a%2Fb")->status == 404);
}

// Guards against a server that does not read while it streams, and so does
// not notice that the client has gone.
TEST_CASE("the server reports a client that closes during a stream") {
    std::promise<void> closed;
    http_server server("127.0.0.1", 0,
                       [&closed](const auto&, const response_ptr& out) {
                           out->on_closed([&closed] { closed.set_value(); });
                           out->start_stream();
                       });
    std::thread runner([&server] { server.run(); });
    asio::io_context context;
    asio::ip::tcp::socket client(context);
    client.connect({asio::ip::make_address("127.0.0.1"), server.port()});
    constexpr std::string_view head_bytes = "GET / HTTP/1.1\r\n\r\n";
    asio::write(client, asio::buffer(head_bytes.data(), head_bytes.size()));
    asio::streambuf head;
    asio::read_until(client, head, "\r\n\r\n");
    client.close();
    CHECK(closed.get_future().wait_for(std::chrono::seconds(30)) ==
          std::future_status::ready);
    server.stop();
    runner.join();
}

}  // namespace
}  // namespace bronzehub::standin
