#include "platform_http/http_platform.hpp"

#include <catch2/catch.hpp>
#include <condition_variable>
#include <deque>
#include <future>
#include <mutex>
#include <thread>

#include "http.hpp"
#include "platform_role.hpp"
#include "standin.hpp"
#include "support/endless_sender.hpp"

namespace bronzehub::platform {
namespace {

using namespace std::chrono_literals;

// Longer than any transfer on loopback; only a failing test waits for it.
constexpr auto patience = 30s;

// The platform role of the stand-in on a thread of its own.
class served_platform {
public:
    served_platform()
        : server_("127.0.0.1", 0,
                  [this](const auto& call, const auto& out) {
                      target_.handle(call, out);
                  }),
          target_(std::make_unique<standin::platform_role>(), server_.timers()),
          thread_([this] { server_.run(); }) {}

    ~served_platform() {
        server_.stop();
        thread_.join();
    }

    std::string url() const {
        return "http://127.0.0.1:" + std::to_string(server_.port());
    }

private:
    standin::http_server server_;
    standin::standin target_;
    std::thread thread_;
};

// The decision thread of a test: runs posted functions while it waits.
class decisions {
public:
    http_platform::post_hook post() {
        return [this](std::function<void()> run) {
            const std::scoped_lock lock(mutex_);
            posted_.push_back(std::move(run));
            changed_.notify_one();
        };
    }

    template <class T>
    absl::StatusOr<T> wait(const std::function<void(callback<T>)>& start) {
        std::optional<absl::StatusOr<T>> result;
        start([&result](const auto& value) { result = value; });
        while (!result && run_one()) {
        }
        return result.value_or(absl::DeadlineExceededError("no callback"));
    }

    bool run_one() {
        std::unique_lock lock(mutex_);
        if (!changed_.wait_for(lock, patience,
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

struct client {
    explicit client(transfer_options options)
        : platform(std::move(options), base::monotonic_clock(), thread.post()) {
    }

    absl::StatusOr<transaction_result> transact(
        std::vector<conditional_write> writes) {
        return thread.wait<transaction_result>([&](auto done) {
            platform.tables().transact(std::move(writes), std::move(done));
        });
    }

    absl::StatusOr<std::optional<row>> read(const std::string& key) {
        return thread.wait<std::optional<row>>([&](auto done) {
            platform.tables().read("lease", key, std::move(done));
        });
    }

    decisions thread;
    http_platform platform;
};

void set_fault(const served_platform& served, const std::string& mode,
               const std::string& path) {
    transfers direct({.base_url = served.url()}, base::monotonic_clock());
    std::promise<long> status;
    direct.submit(
        {"POST",
         "/faults",
         {},
         R"({"mode":")" + mode + R"(","path_prefix":")" + path + R"("})",
         true},
        [&status](const http_reply& reply) { status.set_value(reply.status); });
    REQUIRE(status.get_future().get() == 200);
}

const std::vector<conditional_write> one_write{
    {"lease", "a/b c", std::nullopt, "held"}};

// Guards against keys and values that change on the way, and conflicts that
// look like errors.
TEST_CASE("rows, objects and hosts go to the platform and back") {
    served_platform served;
    client at({.base_url = served.url()});

    const auto created = at.transact(one_write);
    REQUIRE(created.ok());
    CHECK(created->applied);
    const auto again = at.transact(one_write);
    REQUIRE(again.ok());
    CHECK(again->conflicts == std::vector<std::size_t>{0});
    const auto found = at.read("a/b c");
    REQUIRE(found.ok());
    CHECK((*found)->value == "held");
    CHECK((*found)->version == created->versions.front());
    CHECK_FALSE(at.read("absent")->has_value());

    const auto rows = at.thread.wait<std::vector<keyed_row>>([&](auto done) {
        at.platform.tables().list({"lease", "a/", "", 10}, std::move(done));
    });
    REQUIRE(rows.ok());
    CHECK(rows->at(0).key == "a/b c");
    const auto create = [&] {
        return at.thread.wait<bool>([&](auto done) {
            at.platform.objects().create("s/1", "blob", std::move(done));
        });
    };
    CHECK(create().ok());
    CHECK(create().status().code() == absl::StatusCode::kAborted);
    const auto hosts = at.thread.wait<std::vector<listed_host>>(
        [&](auto done) { at.platform.hosts().read(std::move(done)); });
    CHECK(hosts.ok());
}

// Guards against a lost response that is taken for "not applied".
TEST_CASE("faults of the platform have their documented status") {
    const auto [mode, write, read, applied] =
        GENERATE(table<std::string, absl::StatusCode, absl::StatusCode, bool>({
            {"refuse", absl::StatusCode::kUnavailable,
             absl::StatusCode::kUnavailable, false},
            {"answer_lost", absl::StatusCode::kUnknown,
             absl::StatusCode::kUnavailable, true},
            {"hang", absl::StatusCode::kUnknown, absl::StatusCode::kUnavailable,
             false},
        }));
    CAPTURE(mode);
    served_platform served;
    client at({.base_url = served.url(), .timeout = 200ms});
    set_fault(served, mode, "/");
    CHECK(at.transact(one_write).status().code() == write);
    CHECK(at.read("a/b c").status().code() == read);

    set_fault(served, "none", "");

    CHECK(at.read("a/b c")->has_value() == applied);
}

// Guards against a store in trouble that fills the memory of every daemon, and
// against an error that does not tell it from a network failure.
TEST_CASE("bytes without end that are no answer end the operation") {
    const std::string chunked =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const auto [response, reason] =
        GENERATE_COPY(table<test::endless_response, std::string>({
            {{"body", "HTTP/1.1 200 OK\r\n\r\n", "x"}, "the body exceeds"},
            {{"error body", "HTTP/1.1 503 Busy\r\n\r\n", "x"},
             "the body exceeds 1048576 bytes"},
            {{"fields", "HTTP/1.1 200 OK\r\n", "A: b\r\n"},
             "the header fields exceed"},
            {{"trailer fields", chunked + "2\r\nok\r\n0\r\n", "A: b\r\n"},
             "the header fields exceed"},
        }));
    CAPTURE(response.name);
    test::endless_sender store(response);
    client at({.base_url = "http://127.0.0.1:" + std::to_string(store.port()),
               .timeout = patience});

    const absl::Status result = at.transact(one_write).status();

    CHECK(result.code() == absl::StatusCode::kUnknown);
    CHECK_THAT(std::string(result.message()), Catch::Contains(reason));
    CHECK(store.was_closed_early());
}

// Guards against a refused connection that leaves a claim in doubt.
TEST_CASE("a write to a closed port was not applied") {
    std::string url;
    {
        const served_platform closed;
        url = closed.url();
    }
    client at({.base_url = url});
    CHECK(at.transact(one_write).status().code() ==
          absl::StatusCode::kUnavailable);
}

// Guards against an unbounded queue while the platform does not answer, and
// against callbacks that are lost when the client is destroyed.
TEST_CASE("operations are bounded and each one finishes once") {
    served_platform served;
    set_fault(served, "hang", "/");
    decisions thread;
    std::map<absl::StatusCode, int> results;
    {
        http_platform platform(
            {.base_url = served.url(), .max_in_flight = 1, .max_queued = 1},
            base::monotonic_clock(), thread.post());
        for (int count = 0; count < 3; ++count) {
            platform.tables().transact(one_write, [&](const auto& result) {
                ++results[result.status().code()];
            });
        }
    }
    for (int count = 0; count < 3; ++count) {
        REQUIRE(thread.run_one());
    }
    CHECK(results[absl::StatusCode::kResourceExhausted] == 1);
    // The worker may be stopped before it starts the first transfer, so the
    // two accepted writes are not told apart here.
    CHECK(results[absl::StatusCode::kUnknown] +
              results[absl::StatusCode::kUnavailable] ==
          2);
}

}  // namespace
}  // namespace bronzehub::platform
