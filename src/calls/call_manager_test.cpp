#include "calls/call_manager.hpp"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <vector>

#include "support/endless_sender.hpp"

namespace bronzehub::calls {
namespace {

using backend_client::outcome;
using base::call_outcome;
using base::refusal_code;

// Records what the caller received.
class fake_writer : public http_server::response_writer {
public:
    void respond(int code, const base::http_headers& fields,
                 std::string text) override {
        status = code;
        headers = fields;
        body = std::move(text);
        ended = true;
    }
    void start(int code, const base::http_headers& fields) override {
        status = code;
        headers = fields;
    }
    void write(std::string_view bytes) override { body += bytes; }
    void finish() override { ended = true; }
    void abort() override { aborted = true; }
    std::size_t pending_bytes() const override { return 0; }
    void on_drained(std::function<void()>) override {}
    void on_closed(std::function<void()> hook) override { close = hook; }

    // The caller sees a response that looks whole.
    bool looks_whole() const { return ended && !aborted; }
    std::string outcome_text() const {
        return std::string(
            base::find_header(headers, outcome_header).value_or("none"));
    }

    int status = 0;
    base::http_headers headers;
    std::string body;
    bool ended = false;
    bool aborted = false;
    std::function<void()> close;
};

// What a backend server does with one attempt.
enum class attempt_fate {
    answers,
    refuses_connection,  // No byte left the host.
    breaks_before_head,  // May have run; nothing came back.
    breaks_in_body,      // The head and half of the body came back.
    fails,               // Status 503.
    hangs,               // Runs until the test ends it.
};

constexpr std::string_view whole_stream =
    "data: {\"t\":1}\n\ndata: {\"t\":2}\n\ndata: {\"t\":3}\n\n"
    "data: [DONE]\n\n";
constexpr std::size_t event_bytes = 15;

// Carries functions from the client's thread to that of the test.
class posted_functions {
public:
    void post(std::function<void()> function) {
        const std::scoped_lock lock(mutex_);
        posted_.push_back(std::move(function));
        changed_.notify_one();
    }

    // False when none came in time.
    bool run_one() {
        std::unique_lock lock(mutex_);
        if (!changed_.wait_for(lock, test::patience,
                               [this] { return !posted_.empty(); })) {
            return false;
        }
        const auto run = std::move(posted_.front());
        posted_.pop_front();
        lock.unlock();
        run();
        return true;
    }

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<std::function<void()>> posted_;
};

// A call manager with fakes for dispatch, claims and transfers. Each start
// takes the next fate; a call without one left stays waiting, or is sent to a
// real backend server when there is one.
class bench {
public:
    bench() : manager_({}, time_.view(), claims(), schedule(), transfers()) {}

    std::shared_ptr<fake_writer> admit(routed_call call) {
        auto writer = std::make_shared<fake_writer>();
        manager_.admit(next_id_++, "request", std::move(call), writer);
        run();
        return writer;
    }

    // Sends calls without a fate to a server on loopback.
    void use_server(std::uint16_t port) {
        address_ = "127.0.0.1:" + std::to_string(port);
        client_ = *backend_client::client::start();
    }

    // Runs until all calls have ended; false when they do not.
    bool run_to_end() {
        while (manager_.active() > 0) {
            if (!posted_.run_one()) {
                return false;
            }
            run();
        }
        return true;
    }

    // Starts every waiting call until none waits or the fates run out.
    void run() {
        while (!waiting_.empty() && (!fates_.empty() || client_)) {
            const call_id id = waiting_.front();
            waiting_.pop_front();
            manager_.start(id, base::backend_server_id(1));
        }
    }

    call_manager& manager() { return manager_; }

    std::deque<attempt_fate> fates_;
    std::size_t retry_budget_ = 10;
    claim_decision decision_ = claim_granted{};
    std::vector<backend_client::backend_request> sent_;
    std::vector<std::string> claim_log_;
    std::deque<call_id> waiting_;
    std::vector<dispatch::finished_call> finished_;
    backend_client::backend_events running_;
    base::paused_clock time_;

private:
    claim_hooks claims() {
        return {
            .acquire = [this](call_id, const routed_call&,
                              const auto& done) { done(decision_); },
            .mark_sent = [](call_id) { return true; },
            .mark_not_sent = [](call_id) {},
            .complete =
                [this](call_id, const recorded_response&) {
                    claim_log_.push_back("complete");
                },
            .mark_unknown =
                [this](call_id) { claim_log_.push_back("unknown"); },
            .abandon = [this](call_id) { claim_log_.push_back("abandon"); },
        };
    }

    schedule_hooks schedule() {
        return {
            .submit =
                [this](const dispatch::waiting_call& call) {
                    waiting_.push_back(call.id);
                    return std::optional<base::refusal>();
                },
            .cancel = [this](call_id) { return !waiting_.empty(); },
            .progress = [](call_id, double) {},
            .finished =
                [this](call_id, const dispatch::finished_call& end) {
                    finished_.push_back(end);
                },
            .returned = [this](call_id id, bool) { waiting_.push_front(id); },
            .measured = [](auto, auto, auto) {},
            .sent = [](auto, auto) {},
            .take_retry =
                [this](auto, auto) {
                    if (retry_budget_ == 0) {
                        return false;
                    }
                    --retry_budget_;
                    return true;
                },
        };
    }

    transfer_hooks transfers() {
        return {
            .send =
                [this](const backend_client::backend_request& request,
                       const backend_client::backend_events& events) {
                    sent_.push_back(request);
                    running_ = events;
                    if (fates_.empty()) {
                        return client_->send(request, events);
                    }
                    const attempt_fate fate = fates_.front();
                    fates_.pop_front();
                    play(fate, request, events);
                    return backend_client::handle{1};
                },
            .cancel = [](backend_client::handle) {},
            .pause = [](backend_client::handle) {},
            .resume = [](backend_client::handle) {},
            .address_of = [this](base::backend_server_id) { return address_; },
            .post =
                [this](const std::function<void()>& task) {
                    client_ ? posted_.post(task) : task();
                },
        };
    }

    static void play(attempt_fate fate,
                     const backend_client::backend_request& request,
                     const backend_client::backend_events& events) {
        const bool stream = request.body.find("stream") != std::string::npos;
        std::string body = "whole answer";
        if (stream) {
            const auto from =
                base::find_header(request.headers, resume_from_header);
            const std::size_t skipped =
                from ? std::stoul(std::string(*from)) : 0;
            body = whole_stream.substr(skipped * event_bytes);
        }
        const base::http_headers headers{
            {"Content-Type", stream ? "text/event-stream" : "text/plain"}};
        const auto send = [&](std::size_t bytes) {
            events.on_headers(200, headers);
            REQUIRE(events.on_body(std::span(body).first(bytes)).ok());
        };
        switch (fate) {
            case attempt_fate::answers:
                send(body.size());
                events.on_end({.kind = outcome::completed});
                return;
            case attempt_fate::refuses_connection:
                events.on_end({.kind = outcome::not_sent});
                return;
            case attempt_fate::breaks_before_head:
                events.on_end({.kind = outcome::broken});
                return;
            case attempt_fate::breaks_in_body:
                send(body.size() / 2);
                events.on_end({.kind = outcome::broken});
                return;
            case attempt_fate::fails:
                events.on_headers(503, {});
                events.on_end({.kind = outcome::completed});
                return;
            case attempt_fate::hangs:
                return;
        }
    }

    std::string address_ = "127.0.0.1:1";
    posted_functions posted_;
    call_manager manager_;
    call_id next_id_ = 1;
    // Last: its transfers use the other members.
    std::unique_ptr<backend_client::client> client_;
};

enum class call_class { payment, keyed_payment, lookup, chat, stream };

routed_call make_call(call_class kind) {
    routed_call call;
    call.service = base::service_id(1);
    call.organisation = base::organisation_id(1);
    call.method = "POST";
    call.path = "/x";
    call.deadline = std::chrono::seconds(60);
    if (kind == call_class::keyed_payment) {
        call.idempotency_key = "key";
    }
    if (kind == call_class::chat || kind == call_class::stream) {
        call.kind = configuration::service_kind::model;
    }
    call.streamed = kind == call_class::stream;
    call.body = call.streamed ? "stream" : "body";
    call.repeatable =
        kind != call_class::payment && kind != call_class::keyed_payment;
    return call;
}

// Guards against a call that runs twice, a false "not run", and a partial
// answer that looks whole: every class of call against every failure of the
// first attempt.
TEST_CASE("each failure of an attempt ends as the call's class allows") {
    struct row {
        call_class kind;
        attempt_fate first;
        std::size_t attempts;  // Handed over, when a second would answer.
        int status;
        std::string outcome;
        std::string claim;
    };
    using c = call_class;
    using f = attempt_fate;
    const auto expected = GENERATE(values<row>({
        {c::payment, f::answers, 1, 200, "run", ""},
        {c::payment, f::refuses_connection, 2, 200, "run", ""},
        {c::payment, f::breaks_before_head, 1, 502, "unknown", ""},
        {c::payment, f::breaks_in_body, 1, 502, "unknown", ""},
        {c::payment, f::fails, 1, 503, "run", ""},
        {c::keyed_payment, f::answers, 1, 200, "run", "complete"},
        {c::keyed_payment, f::refuses_connection, 2, 200, "run", "complete"},
        {c::keyed_payment, f::breaks_before_head, 1, 502, "unknown", "unknown"},
        {c::keyed_payment, f::breaks_in_body, 1, 502, "unknown", "unknown"},
        {c::keyed_payment, f::fails, 1, 503, "run", "complete"},
        {c::lookup, f::answers, 1, 200, "run", ""},
        {c::lookup, f::refuses_connection, 2, 200, "run", ""},
        {c::lookup, f::breaks_before_head, 2, 200, "run", ""},
        {c::lookup, f::breaks_in_body, 2, 200, "run", ""},
        {c::lookup, f::fails, 2, 200, "run", ""},
        {c::chat, f::answers, 1, 200, "run", ""},
        {c::chat, f::refuses_connection, 2, 200, "run", ""},
        {c::chat, f::breaks_before_head, 2, 200, "run", ""},
        {c::chat, f::breaks_in_body, 2, 200, "run", ""},
        {c::chat, f::fails, 2, 200, "run", ""},
        {c::stream, f::answers, 1, 200, "run", ""},
        {c::stream, f::refuses_connection, 2, 200, "run", ""},
        {c::stream, f::breaks_before_head, 2, 200, "run", ""},
        {c::stream, f::breaks_in_body, 2, 200, "run", ""},
        {c::stream, f::fails, 2, 200, "run", ""},
    }));
    CAPTURE(static_cast<int>(expected.kind), static_cast<int>(expected.first));
    bench fleet;
    fleet.fates_ = {expected.first, attempt_fate::answers};

    const auto writer = fleet.admit(make_call(expected.kind));

    CHECK(fleet.sent_.size() == expected.attempts);
    CHECK(writer->status == expected.status);
    CHECK(writer->outcome_text() == expected.outcome);
    CHECK(writer->looks_whole());
    CHECK(fleet.claim_log_ == (expected.claim.empty()
                                   ? std::vector<std::string>()
                                   : std::vector{expected.claim}));
    if (expected.status == 200) {
        CHECK(writer->body == (expected.kind == call_class::stream
                                   ? std::string(whole_stream)
                                   : "whole answer"));
    }
    CHECK(fleet.manager().active() == 0);
    CHECK(fleet.manager().buffered_bytes() == 0);
}

// Guards against libcurl sending a call again on its own.
TEST_CASE("only repeatable calls travel on reused connections") {
    const auto [kind, fresh] = GENERATE(table<call_class, bool>({
        {call_class::payment, true},
        {call_class::keyed_payment, true},
        {call_class::lookup, false},
        {call_class::stream, false},
    }));
    bench fleet;
    fleet.fates_ = {attempt_fate::answers};
    fleet.admit(make_call(kind));
    REQUIRE(fleet.sent_.size() == 1);
    CHECK(fleet.sent_[0].fresh_connection == fresh);
}

// Guards against a truncated stream that a caller takes for a whole one.
TEST_CASE("a stream that cannot be resumed is aborted") {
    bench fleet;
    fleet.retry_budget_ = 0;
    fleet.fates_ = {attempt_fate::breaks_in_body};
    const auto writer = fleet.admit(make_call(call_class::stream));
    CHECK(writer->aborted);
    CHECK_FALSE(writer->looks_whole());
    CHECK(writer->body.find("event: error") != std::string::npos);
    CHECK(writer->body.find("[DONE]") == std::string::npos);
}

// Guards against an error response to the resumed attempt ending the caller's
// stream as if it were complete.
TEST_CASE("an error response to a resumed attempt does not end the stream") {
    bench fleet;
    fleet.retry_budget_ = 1;
    fleet.fates_ = {attempt_fate::breaks_in_body, attempt_fate::fails};
    const auto writer = fleet.admit(make_call(call_class::stream));
    CHECK(fleet.sent_.size() == 2);
    CHECK(writer->aborted);
    CHECK_FALSE(writer->looks_whole());
}

// Guards against a stream that lacks a large event and looks whole, because its
// final event came behind it.
TEST_CASE("a stream with an event over the limit is aborted") {
    const auto first = GENERATE(as<std::string>(), "", "data: {}\n\n");
    bench fleet;
    fleet.retry_budget_ = 0;
    fleet.fates_ = {attempt_fate::hangs};
    const auto writer = fleet.admit(make_call(call_class::stream));
    const std::string large(event_splitter::max_event_bytes + 1, 'x');

    fleet.running_.on_headers(200, {{"Content-Type", "text/event-stream"}});
    const std::array<std::string, 3> parts{first, "data: " + large,
                                           "\n\ndata: [DONE]\n\n"};
    // The client ends a call at the first part that is not accepted.
    const auto unusable = std::ranges::find_if(parts, [&](const auto& part) {
        return !fleet.running_.on_body(part).ok();
    });
    REQUIRE(unusable != parts.end());
    fleet.running_.on_end({.kind = outcome::broken});

    CHECK_FALSE((writer->looks_whole() && writer->status == 200));
    CHECK(writer->aborted == !first.empty());
    CHECK(writer->body.find("[DONE]") == std::string::npos);
}

// Guards against events of a second attempt that are joined to a response
// which was no stream of events.
TEST_CASE("a large response to a streamed call is not continued by events") {
    const auto end = GENERATE(outcome::completed, outcome::broken);
    bench fleet;
    fleet.fates_ = {attempt_fate::hangs, attempt_fate::answers};
    const auto writer = fleet.admit(make_call(call_class::stream));
    const std::string large(manager_options().relay.collect_bytes + 1, 'x');

    fleet.running_.on_headers(400, {{"Content-Type", "application/json"}});
    CHECK(fleet.running_.on_body(large).ok());
    fleet.running_.on_end({.kind = end});
    fleet.run();

    CHECK(fleet.sent_.size() == 1);
    CHECK((writer->body == large));
    CHECK(writer->looks_whole() == (end == outcome::completed));
    CHECK(writer->aborted == (end == outcome::broken));
}

// Guards against retries without limit when every replica fails.
TEST_CASE("attempts end at the limit and at the retry budget") {
    const auto [budget, attempts] =
        GENERATE(table<std::size_t, std::size_t>({{0, 1}, {1, 2}, {99, 4}}));
    bench fleet;
    fleet.retry_budget_ = budget;
    fleet.fates_.assign(10, attempt_fate::breaks_before_head);
    const auto writer = fleet.admit(make_call(call_class::lookup));
    CHECK(fleet.sent_.size() == attempts);
    CHECK(writer->status == 502);
    CHECK(writer->outcome_text() == "unknown");
}

// Guards against "not run" for a repeatable call whose first attempt may have
// run.
TEST_CASE("a refusal after an attempt never says not run") {
    const auto [first, outcome] = GENERATE(table<attempt_fate, std::string>({
        {attempt_fate::refuses_connection, "not-run"},
        {attempt_fate::breaks_before_head, "unknown"},
    }));
    bench fleet;
    fleet.fates_ = {first};
    const auto writer = fleet.admit(make_call(call_class::lookup));
    REQUIRE(fleet.waiting_.size() == 1);
    fleet.manager().refuse(fleet.waiting_.front(),
                           {refusal_code::deadline_exceeded,
                            call_outcome::not_run, "late", std::nullopt});
    CHECK(writer->outcome_text() == outcome);
}

// Guards against a lost outcome of a keyed payment whose caller hung up, and
// against a key that stays taken by a call that did not run.
TEST_CASE("a caller that leaves settles its claim") {
    const auto [kind, fate, end, claim] =
        GENERATE(table<call_class, std::optional<attempt_fate>, outcome,
                       std::vector<std::string>>({
            {call_class::keyed_payment, std::nullopt, {}, {"abandon"}},
            {call_class::keyed_payment,
             attempt_fate::hangs,
             outcome::completed,
             {"complete"}},
            {call_class::keyed_payment,
             attempt_fate::hangs,
             outcome::broken,
             {"unknown"}},
            {call_class::keyed_payment,
             attempt_fate::hangs,
             outcome::not_sent,
             {"abandon"}},
            {call_class::chat, attempt_fate::hangs, outcome::broken, {}},
        }));
    bench fleet;
    if (fate) {
        fleet.fates_ = {*fate};
    }
    const auto writer = fleet.admit(make_call(kind));

    writer->close();
    if (fate) {
        fleet.running_.on_end({.kind = end});
    }

    CHECK(fleet.claim_log_ == claim);
    CHECK(fleet.manager().active() == 0);
    CHECK(writer->status == 0);
}

// Guards against a replay without the field that says how its body is encoded.
TEST_CASE("an encoded response is delivered and not recorded") {
    const auto [fields, claim] =
        GENERATE(table<base::http_headers, std::string>({
            {{{"Content-Encoding", "gzip"}}, "unknown"},
            {{{"Content-Type", "text/plain"}}, "complete"},
        }));
    bench fleet;
    fleet.fates_ = {attempt_fate::hangs};
    const auto writer = fleet.admit(make_call(call_class::keyed_payment));

    fleet.running_.on_headers(200, fields);
    CHECK(fleet.running_.on_body(std::string_view("bytes")).ok());
    fleet.running_.on_end({.kind = outcome::completed});

    CHECK(writer->looks_whole());
    CHECK(writer->body == "bytes");
    CHECK(fleet.claim_log_ == std::vector{claim});
}

// Guards against a second execution for a key whose response is known.
TEST_CASE("a recorded response is replayed without an attempt") {
    bench fleet;
    fleet.decision_ = recorded_response{201, {}, "recorded"};
    const auto writer = fleet.admit(make_call(call_class::keyed_payment));
    CHECK(writer->status == 201);
    CHECK(writer->body == "recorded");
    CHECK(fleet.sent_.empty());
}

// Guards against the late end of an earlier attempt being taken for the end of
// the present one.
TEST_CASE("a late result of an earlier attempt is dropped") {
    bench fleet;
    fleet.fates_ = {attempt_fate::hangs, attempt_fate::hangs};
    const auto writer = fleet.admit(make_call(call_class::lookup));
    const backend_client::backend_events first = fleet.running_;
    first.on_end({.kind = outcome::broken});
    fleet.run();
    REQUIRE(fleet.sent_.size() == 2);

    first.on_end({.kind = outcome::completed});

    CHECK(writer->status == 0);
    CHECK(fleet.manager().counters().late_results == 1);
    CHECK(fleet.manager().active() == 1);
}

constexpr std::string_view stream_head =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";

// What the caller sees of a response that does not end.
enum class seen { refusal, abort, end };

// Guards against a caller that waits, and memory that grows, for as long as a
// backend server sends bytes that cannot be passed on.
TEST_CASE("an endless response that is no answer ends its attempt") {
    struct row {
        test::endless_response response;
        bool resumed;  // The first attempt broke inside the stream.
        seen expected;
    };
    const std::string head(stream_head);
    const auto expected = GENERATE_COPY(values<row>({
        {{"error response", "HTTP/1.1 503 Busy\r\n\r\n", "x"},
         true,
         seen::abort},
        {{"event", head + "data: ", "x"}, false, seen::refusal},
        {{"event in small chunks",
          "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
          "Transfer-Encoding: chunked\r\n\r\n",
          "1\r\nx\r\n"},
         false,
         seen::refusal},
        {{"comments", head, ": ping\n\n"}, false, seen::abort},
        {{"empty lines", head, "\n"}, false, seen::abort},
        {{"events after the last", head + "data: [DONE]\n\n", "data: 1\n\n"},
         false,
         seen::end},
    }));
    CAPTURE(expected.response.name, expected.resumed);
    test::endless_sender server(expected.response);
    bench fleet;
    fleet.retry_budget_ = expected.resumed ? 1 : 0;
    if (expected.resumed) {
        fleet.fates_ = {attempt_fate::breaks_in_body};
    }
    fleet.use_server(server.port());

    const auto writer = fleet.admit(make_call(call_class::stream));

    CHECK(fleet.run_to_end());
    CHECK(server.was_closed_early());
    CHECK(writer->aborted == (expected.expected == seen::abort));
    CHECK((writer->status == 502) == (expected.expected == seen::refusal));
    CHECK(writer->looks_whole() == (expected.expected != seen::abort));
}

// Guards against reading a body without end for a caller that has left: a call
// that must not be cancelled runs on, and nothing takes its bytes.
TEST_CASE("a call whose caller left ends when its response does not") {
    const auto kind = GENERATE(call_class::payment, call_class::keyed_payment);
    // Enough for some seconds, in which the test notices that the caller left.
    constexpr std::size_t server_bytes = 4UL << 30U;
    test::endless_sender server({"body", "HTTP/1.1 200 OK\r\n\r\n", "x"},
                                server_bytes);
    bench fleet;
    fleet.use_server(server.port());
    const auto writer = fleet.admit(make_call(kind));

    writer->close();

    CHECK(fleet.run_to_end());
    CHECK(server.was_closed_early());
    REQUIRE(fleet.finished_.size() == 1);
    CHECK(fleet.finished_[0].outcome == call_outcome::unknown);
    CHECK(fleet.claim_log_ == (kind == call_class::keyed_payment
                                   ? std::vector<std::string>{"unknown"}
                                   : std::vector<std::string>()));
}

// Guards against limits on useless responses that stop useful ones.
TEST_CASE("a long response is passed through whole") {
    constexpr std::size_t size = 32UL << 20U;
    const test::raw_listener server;
    bench fleet;
    fleet.use_server(server.port());
    const auto writer = fleet.admit(make_call(call_class::chat));
    test::raw_socket peer = server.accept();
    peer.read_until("\r\n\r\n");
    peer.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(size) +
              "\r\n\r\n");
    peer.send(std::string(size, 'x'));
    CHECK(fleet.run_to_end());
    CHECK(writer->body == std::string(size, 'x'));
    CHECK(writer->looks_whole());
}

}  // namespace
}  // namespace bronzehub::calls
