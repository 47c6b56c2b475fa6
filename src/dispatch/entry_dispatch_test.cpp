#include "dispatch/entry_dispatch.hpp"

#include <array>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace bronzehub::dispatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::service_id service(1);
constexpr base::organisation_id organisation(2);
constexpr base::backend_server_id replica(7);
constexpr base::backend_server_id other_replica(8);

// An entry daemon on host "a" whose replicas host "d" dispatches for.
struct fixture {
    fixture()
        : entry({.host = "a",
                 .failure_domain = "x",
                 .waiting_per_organisation = 4,
                 .waiting_in_all = 6},
                time.view(),
                {.send =
                     [this](const base::host_id& host, protocol::body body) {
                         sent.emplace_back(host, std::move(body));
                     },
                 .start =
                     [this](call_id id, base::backend_server_id server) {
                         started.emplace_back(id, server);
                     },
                 .refuse =
                     [this](call_id id, const base::refusal& why) {
                         refused.emplace_back(id, why);
                     }}) {
        route("d");
        entry.tick();
        sent.clear();
    }

    void route(const std::string& host) {
        const std::array routes{
            dispatch_route{replica, service, host, "x"},
            dispatch_route{other_replica, service, host, "x"}};
        entry.set_dispatchers(routes);
    }

    std::optional<base::refusal> submit(call_id id, int organisation_number = 2,
                                        base::duration wait = seconds(60)) {
        return entry.submit(
            {.id = id,
             .service = service,
             .organisation = base::organisation_id(
                 static_cast<std::uint32_t>(organisation_number)),
             .cost_hint = std::nullopt,
             .deadline = time.now() + wait});
    }

    void grant(std::uint64_t id, base::backend_server_id server = replica) {
        entry.on_grant({.host = "d", .incarnation = 1},
                       {.grant_id = id,
                        .term = 5,
                        .backend_server = server.value(),
                        .service = service.value(),
                        .organisation = organisation.value()});
    }

    template <class Body>
    std::vector<Body> sent_to(const std::string& host) const {
        std::vector<Body> result;
        for (const auto& [to, body] : sent) {
            if (const auto* match = std::get_if<Body>(&body);
                match != nullptr && to == host) {
                result.push_back(*match);
            }
        }
        return result;
    }

    void pass(base::duration step) {
        time.advance(step);
        entry.tick();
    }

    base::paused_clock time;
    std::vector<std::pair<base::host_id, protocol::body>> sent;
    std::vector<std::pair<call_id, base::backend_server_id>> started;
    std::vector<std::pair<call_id, base::refusal>> refused;
    entry_dispatch entry;
};

using protocol::grant_release;
using protocol::release_reason;
using protocol::work_announcement;

// Guards against a dispatcher that learns late of work, and against one
// message for every call of a long queue.
TEST_CASE("a queue is announced at once when it fills and when it empties") {
    fixture f;
    f.submit(1);
    CHECK(f.sent_to<work_announcement>("d").size() == 1);
    f.submit(2);
    CHECK(f.sent_to<work_announcement>("d").size() == 1);
    f.submit(3);
    f.pass(milliseconds(20));
    CHECK(f.sent_to<work_announcement>("d").back().rows[0].waiting == 3);
    for (call_id id = 1; id <= 3; ++id) {
        f.entry.cancel(id);
    }
    CHECK(f.sent_to<work_announcement>("d").back().rows[0].waiting == 0);
}

// Guards against calls that start out of order or without a grant.
TEST_CASE("a grant starts the head of the queue") {
    fixture f;
    f.submit(1);
    f.submit(2);
    f.grant(1);
    REQUIRE(f.started.size() == 1);
    CHECK(f.started[0] ==
          std::pair<call_id, base::backend_server_id>(1, replica));
}

// Guards against slots that stay occupied by grants which nothing used, and
// against new work on a replica that is leaving.
TEST_CASE("a grant that cannot be used is released unused") {
    fixture f;
    const auto reason =
        GENERATE(as<std::string>(), "empty", "leaving", "after standing still");
    if (reason != "empty") {
        f.submit(1);
    }
    if (reason == "leaving") {
        f.entry.set_leaving(std::array{replica});
    }
    if (reason == "after standing still") {
        f.time.advance(seconds(2));
    }
    f.grant(1);
    CHECK(f.started.empty());
    REQUIRE(f.sent_to<grant_release>("d").size() == 1);
    CHECK(f.sent_to<grant_release>("d")[0].reason == release_reason::unused);
}

// Guards against the same grant starting two calls.
TEST_CASE("a repeated grant starts one call") {
    fixture f;
    f.submit(1);
    f.submit(2);
    f.grant(1);
    f.grant(1);
    CHECK(f.started.size() == 1);
}

// Guards against retries on the replica that has just failed, and against
// calls that lose their place.
TEST_CASE("a returned call is first again but not on the same replica") {
    fixture f;
    f.submit(1);
    f.submit(2);
    f.grant(1);
    f.entry.returned(1);
    CHECK(f.sent_to<grant_release>("d")[0].reason == release_reason::failed);
    f.grant(2);
    f.grant(3, other_replica);
    REQUIRE(f.started.size() == 3);
    CHECK(f.started[1].first == 2);
    CHECK(f.started[2].first == 1);
}

// Guards against a loop of grants and refusals: a call that had failed on the
// only replica was announced again with every declined grant, 376,854 times in
// 5 s, and kept waiting until its deadline although the replica was back.
TEST_CASE("a call that no replica suits waits for the next flush") {
    fixture f;
    f.submit(1);
    f.grant(1);
    f.entry.returned(1);
    f.sent.clear();

    f.grant(2);

    CHECK(f.sent_to<protocol::work_announcement>("d").empty());
    CHECK(f.started.size() == 1);

    f.pass(seconds(1));
    f.grant(3);
    CHECK(f.started.size() == 2);
}

// Guards against a long stream that breaks after its deadline and is cut off
// instead of resumed.
TEST_CASE("the deadline does not end a call that had begun to answer") {
    const auto [started, refusals] =
        GENERATE(table<bool, std::size_t>({{true, 0}, {false, 1}}));
    fixture f;
    f.submit(1, 2, seconds(1));
    f.grant(1);
    f.time.advance(seconds(5));

    f.entry.returned(1, started);

    CHECK(f.refused.size() == refusals);
}

// Guards against calls that wait beyond their deadline, and against refusals
// of calls that never ran which do not say so.
TEST_CASE("a call is refused as not run when its deadline passes") {
    fixture f;
    f.submit(1, 2, seconds(1));
    const bool returned = GENERATE(false, true);
    if (returned) {
        f.grant(1);
        f.time.advance(seconds(1));
        f.entry.returned(1);
    } else {
        f.pass(seconds(1));
    }
    REQUIRE(f.refused.size() == 1);
    CHECK(f.refused[0].second.code == base::refusal_code::deadline_exceeded);
    CHECK(f.refused[0].second.outcome == base::call_outcome::not_run);
    CHECK(f.entry.waiting() == 0);
}

// Guards against one organisation that fills the whole backlog, and against a
// daemon that accepts without bound.
TEST_CASE("the backlog is bounded per organisation and in all") {
    fixture f;
    for (call_id id = 1; id <= 4; ++id) {
        CHECK_FALSE(f.submit(id).has_value());
    }
    CHECK(f.submit(5)->code == base::refusal_code::backlog_full);
    CHECK_FALSE(f.submit(6, 3).has_value());
    CHECK_FALSE(f.submit(7, 4).has_value());
    CHECK(f.submit(8, 5)->outcome == base::call_outcome::not_run);
}

// Guards against calls that wait although nobody can grant them a slot.
TEST_CASE("a call without any dispatcher is refused") {
    fixture f;
    f.entry.set_dispatchers({});
    CHECK(f.submit(1)->code == base::refusal_code::no_backend_server);
}

// Guards against service that is charged late, twice or not at all.
TEST_CASE("usage follows the stream and the end of a call") {
    fixture f;
    f.submit(1);
    f.grant(1);
    const auto served = [&] {
        f.sent.clear();
        f.pass(milliseconds(500));
        const auto reports = f.sent_to<protocol::usage_report>("d");
        return reports.empty() ? -1 : reports.back().rows[0].served_total;
    };
    f.entry.progress(1, 30);
    CHECK(served() == Approx(30));
    f.entry.progress(1, 20);
    f.entry.finished(1, {.cost = 50});
    CHECK(served() == Approx(50));
    CHECK(served() == -1);
}

// Guards against a call that did not run being charged.
TEST_CASE("a call that did not run is not charged") {
    fixture f;
    f.submit(1);
    f.grant(1);
    f.entry.finished(1, {.outcome = base::call_outcome::not_run,
                         .completed = false,
                         .cost = 40});
    CHECK(f.sent_to<grant_release>("d")[0].served == 0);
    f.pass(milliseconds(500));
    CHECK(f.entry.dump()["queues"][0]["served"] == 0);
}

// Guards against a new dispatcher that takes occupied slots for free, and a
// release that reaches only the former one.
TEST_CASE("a new dispatcher receives inventory, demand and releases") {
    fixture f;
    f.submit(1);
    f.submit(2);
    f.grant(1);
    f.sent.clear();
    f.route("e");
    REQUIRE(f.sent_to<protocol::inventory>("e").size() == 1);
    CHECK(f.sent_to<protocol::inventory>("e")[0].grants[0].dispatcher == "d");
    CHECK(f.sent_to<work_announcement>("e")[0].rows[0].waiting == 1);
    f.entry.finished(1, {.cost = 5});
    CHECK(f.sent_to<grant_release>("d").size() == 1);
    CHECK(f.sent_to<grant_release>("e").size() == 1);
}

// Guards against lost releases that nothing repairs.
TEST_CASE("an inventory of running grants is sent every two seconds") {
    fixture f;
    f.submit(1);
    f.grant(1);
    f.sent.clear();
    for (int i = 0; i < 100; ++i) {
        f.pass(milliseconds(20));
    }
    REQUIRE(f.sent_to<protocol::inventory>("d").size() == 1);
    CHECK(f.sent_to<protocol::inventory>("d")[0].grants.size() == 1);
}

// Guards against fields that the state dump promises.
TEST_CASE("the dump shows waiting and running calls") {
    fixture f;
    f.submit(1);
    f.submit(2);
    f.grant(1);
    const auto dump = f.entry.dump();
    CHECK(dump["waiting"] == 1);
    CHECK(dump["running"] == 1);
}

}  // namespace
}  // namespace bronzehub::dispatch
