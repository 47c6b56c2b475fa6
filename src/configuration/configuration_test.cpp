#include <catch2/catch.hpp>
#include <thread>

#include "configuration/change_log.hpp"
#include "tests/support/sample_configuration.hpp"

namespace bronzehub::configuration {
namespace {

using bronzehub::testing::sample_configuration;
using bronzehub::testing::weight_change;

snapshot_pointer snapshot(std::uint64_t version) {
    return std::make_shared<const configuration_snapshot>(
        sample_configuration(version));
}

// Guards against a field that is written but not read, or the reverse.
TEST_CASE("a configuration survives its JSON form") {
    const fleet_configuration value = sample_configuration();

    const auto read = read_configuration(write_configuration(value));

    REQUIRE(read.ok());
    CHECK(*read == value);
}

// Guards against an operator correcting one fault per run.
TEST_CASE("every fault of a document is reported in one run") {
    const std::string text = R"({"version": 1, "colour": 3, "services": [
        {"id": 1, "name": "a", "kind": "model", "path_prefix": "/a"},
        {"id": 2, "name": "a", "kind": "fast", "path_prefix": "a/"}],
      "organisations": [{"id": 1, "name": "o", "name": "p",
        "default_weight": 0, "weights": [{"service": 9, "weight": "x"}]}],
      "backend_servers": [{"id": 1, "name": "b", "service": 7,
        "address": "1.2.3.4", "failure_domain": "d", "initial_slots": 3,
        "maximum_slots": 2}],
      "operators": [{"name": "z", "key_sha256": "12", "roles": ["root"]}]})";
    base::json_errors faults;

    read_configuration(text, faults);

    const std::string report = base::to_string(faults);
    const std::vector<std::string> expected{
        "organisations[0].name: found duplicate key, expected one value",
        "organisations[0].default_weight: found 0, expected number from 0.001",
        "organisations[0].weights[0].weight: found \"x\", expected number",
        "services[1].kind: found \"fast\", expected one of model plain",
        "services[1].path_prefix: found \"a/\", expected path",
        "backend_servers[0].address: found \"1.2.3.4\", expected IP address",
        "operators[0].key_sha256: found \"12\", expected 64 lower-case",
        "operators[0].roles[0]: found \"root\", expected one of read",
        "colour: found unknown key, expected no such key",
        "services[1].name: found \"a\" again, expected a unique value",
        "organisations[0].weights[0].service: found 9, expected the number",
        "backend_servers[0].service: found 7, expected the number",
        "backend_servers[0].initial_slots: found 3, expected at most"};
    for (const std::string& line : expected) {
        CHECK_THAT(report, Catch::Contains(line));
    }
    CHECK(faults.size() == expected.size());
}

// Guards against a call that reaches a service with a shorter prefix, or one
// whose prefix ends inside a segment.
TEST_CASE("the longest prefix at a segment boundary selects the service") {
    fleet_configuration value = sample_configuration();
    service inner{base::service_id(2), "inner"};
    inner.path_prefix = "/chat/inner";
    value.services.push_back(inner);
    const configuration_snapshot snapshot(value);
    const auto [path, expected] =
        GENERATE(table<std::string, std::string>({{"/chat", "chat"},
                                                  {"/chat/v1", "chat"},
                                                  {"/chat/inner/v1", "inner"},
                                                  {"/chat/innermost", "chat"},
                                                  {"/chatter", ""},
                                                  {"/", ""},
                                                  {"", ""}}));

    const service* found = snapshot.find_service_by_path(path);

    CHECK((found == nullptr ? "" : found->name) == expected);
}

// Guards against a payment that is sent twice because a rule matched too much.
TEST_CASE("only calls that a rule names are repeatable") {
    service target{base::service_id(1), "s"};
    target.path_prefix = "/s";
    target.repeatable_calls = {{"GET", "/price/*"}, {"GET", "/open/**"}};
    const auto [method, path, expected] = GENERATE(
        table<std::string, std::string, bool>({{"GET", "/s/price/7", true},
                                               {"POST", "/s/price/7", false},
                                               {"GET", "/s/price", false},
                                               {"GET", "/s/price/", false},
                                               {"GET", "/s/price/7/x", false},
                                               {"GET", "/s/open/a/b", true},
                                               {"GET", "/spare/price/7", false},
                                               {"GET", "/t/price/7", false}}));

    CHECK(is_repeatable(target, method, path) == expected);
}

// Guards against an accepted configuration that reverts.
TEST_CASE("the holder accepts only a higher version") {
    snapshot_holder holder;
    const rcu_thread registration;

    CHECK(holder.accept(snapshot(5)));
    CHECK_FALSE(holder.accept(snapshot(5)));
    CHECK_FALSE(holder.accept(snapshot(4)));

    CHECK(holder.share()->version() == 5);
}

// Guards against readers that see a freed or an older configuration while
// versions are replaced.
TEST_CASE("readers see versions rise while a writer replaces them") {
    constexpr std::uint64_t versions = 200;
    snapshot_holder holder;
    std::atomic<int> falls = 0;
    const auto read = [&] {
        const rcu_thread registration;
        std::uint64_t last = 0;
        while (last < versions) {
            const snapshot_guard current(holder);
            const std::uint64_t seen = current ? current->version() : 0;
            falls += seen < last ? 1 : 0;
            last = seen;
        }
    };
    std::vector<std::jthread> readers;
    readers.reserve(3);
    for (int i = 0; i < 3; ++i) {
        readers.emplace_back(read);
    }

    for (std::uint64_t version = 1; version <= versions; ++version) {
        holder.accept(snapshot(version));
    }
    readers.clear();

    CHECK(falls == 0);
}

struct change_case {
    const char* what;
    change_item item;
    absl::StatusCode expected;
};

// Guards against changes that break a reference, reuse a number or drop keys.
TEST_CASE("changes are checked against the configuration") {
    const organisation north{base::organisation_id(1), "north"};
    organisation with_key = north;
    with_key.keys = {{"k9", std::string(64, 'a'), false}};
    organisation starving = north;
    starving.default_weight = 0;
    const service mail{base::service_id(2), "mail", service_kind::plain,
                       "/mail"};
    const owned_key taken{base::organisation_id(2),
                          {"k", base::sha256_hex("north-key"), false}};
    const auto entry = GENERATE_COPY(values<change_case>({
        {"update", updated<organisation>{north}, absl::StatusCode::kOk},
        {"update with keys", updated<organisation>{with_key},
         absl::StatusCode::kInvalidArgument},
        {"weight of zero", updated<organisation>{starving},
         absl::StatusCode::kInvalidArgument},
        {"existing number", added<organisation>{north},
         absl::StatusCode::kAlreadyExists},
        {"number of a removed object",
         added<organisation>{{base::organisation_id(9), "x"}},
         absl::StatusCode::kInvalidArgument},
        {"next number", added<service>{mail}, absl::StatusCode::kOk},
        {"service in use", removed<service>{base::service_id(1)},
         absl::StatusCode::kInvalidArgument},
        {"unknown server", removed<backend_server>{base::backend_server_id(8)},
         absl::StatusCode::kNotFound},
        {"known server", removed<backend_server>{base::backend_server_id(1)},
         absl::StatusCode::kOk},
        {"digest of another key", added<owned_key>{taken},
         absl::StatusCode::kInvalidArgument},
        {"key", removed<owned_key>{{base::organisation_id(1), "k1"}},
         absl::StatusCode::kOk},
        {"operator", removed<operator_account>{"ann"}, absl::StatusCode::kOk},
    }));
    INFO(entry.what);
    const configuration_change change{2, "p", {entry.item}};

    const absl::Status status = apply(sample_configuration(), change).status();
    INFO(status.ToString());
    CHECK(status.code() == entry.expected);

    const auto read = read_change(write_change(change));
    CHECK((!read.ok() || *read == change));
}

// Guards against an update of an organisation that removes its keys.
TEST_CASE("an update of an organisation keeps its keys") {
    const auto changed = apply(sample_configuration(), weight_change(2, 3));

    REQUIRE(changed.ok());
    CHECK(changed->organisations[0].default_weight == 3);
    CHECK(changed->organisations[0].keys.size() == 1);
}

// Guards against a peer that receives changes it cannot apply.
TEST_CASE("the change log sends changes or a snapshot") {
    change_log log({.changes = 4, .bytes = 1000, .changes_per_update = 3});
    log.record(snapshot(10), {});
    for (std::uint64_t version = 11; version <= 16; ++version) {
        const std::vector<std::string> change{std::to_string(version)};
        log.record(snapshot(version), change);
    }
    const auto [have, to, changes, is_snapshot] =
        GENERATE(table<std::uint64_t, std::uint64_t, std::size_t, bool>(
            {{15, 16, 1, false},
             {13, 16, 3, false},
             {12, 15, 3, false},
             {11, 16, 0, true},
             {0, 16, 0, true}}));

    const auto update = log.update_for(have);

    REQUIRE(update.has_value());
    CHECK(update->to_version == to);
    CHECK(update->newest_version == 16);
    CHECK(update->changes.size() == changes);
    CHECK(!update->snapshot.empty() == is_snapshot);
    CHECK_FALSE(log.update_for(16).has_value());
}

}  // namespace
}  // namespace bronzehub::configuration
