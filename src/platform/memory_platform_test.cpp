#include "platform/memory_platform.hpp"

#include <catch2/catch.hpp>

namespace bronzehub::platform {
namespace {

conditional_write create(std::string key, std::string value) {
    return {"lease", std::move(key), std::nullopt, std::move(value)};
}

// Starts a transaction; the result appears after `run`.
std::shared_ptr<std::optional<absl::StatusOr<transaction_result>>> transact(
    memory_platform& platform, std::vector<conditional_write> writes) {
    auto result =
        std::make_shared<std::optional<absl::StatusOr<transaction_result>>>();
    platform.tables().transact(std::move(writes),
                               [result](const auto& done) { *result = done; });
    return result;
}

// Guards against a partly applied transaction and wrong conflict indices.
TEST_CASE("a transaction with a failing condition changes nothing") {
    memory_platform platform;
    const auto version = platform.store().put("lease", "held", "one");

    const auto failed =
        transact(platform, {create("new", "two"), create("held", "two")});
    const auto applied = transact(
        platform, {{"lease", "held", version, "two"}, create("new", "two")});
    platform.run();

    REQUIRE((*failed)->ok());
    CHECK_FALSE((**failed)->applied);
    CHECK((**failed)->conflicts == std::vector<std::size_t>{1});
    REQUIRE((*applied)->ok());
    CHECK((**applied)->applied);
    CHECK((**applied)->versions.size() == 2);
}

// Guards against a fake that reports an effect other than the real one.
TEST_CASE("each fault has its status and its effect") {
    const auto [mode, code, effect] =
        GENERATE(table<fault, absl::StatusCode, bool>({
            {fault::none, absl::StatusCode::kOk, true},
            {fault::unavailable, absl::StatusCode::kUnavailable, false},
            {fault::resource_exhausted, absl::StatusCode::kResourceExhausted,
             false},
            {fault::answer_lost, absl::StatusCode::kUnknown, true},
            {fault::request_lost, absl::StatusCode::kUnknown, false},
        }));
    memory_platform platform;
    platform.fail_next(mode, operation_kind::write);

    const auto result = transact(platform, {create("a", "one")});
    CHECK_FALSE(result->has_value());
    platform.run();

    CHECK((*result)->status().code() == code);
    CHECK(platform.store().read("lease", "a").has_value() == effect);
}

// Guards against a held request that takes effect before it is released.
TEST_CASE("held operations continue when released, in any order") {
    memory_platform platform;
    platform.fail_next(fault::hold_request);
    platform.fail_next(fault::hold_answer);
    const auto first = transact(platform, {create("a", "first")});
    const auto second = transact(platform, {create("a", "second")});
    platform.run();
    CHECK(platform.store().read("lease", "a")->value == "second");
    CHECK_FALSE(second->has_value());

    platform.release_all();
    platform.run();

    CHECK_FALSE((**first)->applied);
    CHECK((**second)->applied);
}

// Guards against a listing that skips or repeats rows between pages.
TEST_CASE("a listing pages through one prefix in key order") {
    memory_store store;
    for (const char* key : {"a/2", "a/1", "a/3", "b/1"}) {
        store.put("plan", key, "x");
    }
    store.put("audit", "a/0", "x");

    const auto page = store.list({"plan", "a/", "", 2});
    const auto rest = store.list({"plan", "a/", page.back().key, 2});

    REQUIRE(page.size() == 2);
    CHECK(page[0].key == "a/1");
    REQUIRE(rest.size() == 1);
    CHECK(rest[0].key == "a/3");
}

// Guards against a stale host list that follows the real one.
TEST_CASE("a frozen host list stays as it was") {
    memory_platform platform;
    platform.set_hosts({{"h1", "127.0.0.1:1", "d1", listed_state::live}});
    platform.freeze_hosts();
    platform.set_hosts({});
    std::size_t seen = 0;
    platform.hosts().read([&](const auto& hosts) { seen = hosts->size(); });
    platform.run();
    CHECK(seen == 1);
}

}  // namespace
}  // namespace bronzehub::platform
