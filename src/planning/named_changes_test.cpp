#include "planning/named_changes.hpp"

#include <catch2/catch.hpp>
#include <string>

#include "configuration/json_form.hpp"
#include "planning/plan.hpp"

namespace bronzehub::planning {
namespace {

configuration::fleet_configuration make_base() {
    return *configuration::read_configuration(R"({
        "version": 3,
        "organisations": [{"id": 1, "name": "north", "weights":
            [{"service": 1, "weight": 3}], "keys": []}],
        "services": [{"id": 1, "name": "model", "kind": "model",
                      "path_prefix": "/model"},
                     {"id": 2, "name": "till", "kind": "plain",
                      "path_prefix": "/till"}],
        "backend_servers": [], "operators": []})");
}

std::string intent_text(const std::string& change) {
    return R"({"reason": "r", "changes": [)" + change + "]}";
}

// Guards against a change by name that touches another object or drops fields
// that it does not name.
TEST_CASE("a change by name becomes one typed change") {
    const auto [change, action, expected] =
        GENERATE(table<std::string, std::string, std::string>({
            {R"({"action":"set","kind":"organisation","name":"south"})",
             "add organisation 2", R"("name":"south")"},
            {R"({"action":"set","kind":"organisation","name":"north",
                 "fields":{"default_weight":2}})",
             "update organisation 1", R"("weight":3.0)"},
            {R"({"action":"set","kind":"share","name":"north/till",
                 "fields":{"weight":5}})",
             "update organisation 1", R"("service":2,"weight":5.0)"},
            {R"({"action":"remove","kind":"share","name":"north/model"})",
             "update organisation 1", R"("weights":[])"},
            {R"({"action":"remove","kind":"organisation","name":"north"})",
             "remove organisation 1", ""},
            {R"({"action":"set","kind":"service","name":"till",
                 "fields":{"default_deadline_ms":9}})",
             "update service 2", R"("default_deadline_ms":9)"},
        }));
    CAPTURE(change);
    const auto base = make_base();
    const auto wanted = read_intent(intent_text(change), base);
    REQUIRE(wanted.ok());
    const auto made = make_plan("p", "operator", *wanted, base);
    REQUIRE(made.ok());
    REQUIRE(made->effects.differences.size() == 1);
    CHECK(made->effects.differences[0].action == action);
    CHECK(made->effects.differences[0].to.find(expected) != std::string::npos);
}

// Guards against a mistake in a change that passes silently.
TEST_CASE("bad changes by name are refused") {
    const auto [change, code] = GENERATE(table<std::string, absl::StatusCode>({
        {R"({"action":"drop","kind":"organisation","name":"north"})",
         absl::StatusCode::kInvalidArgument},
        {R"({"action":"set","kind":"shop","name":"north"})",
         absl::StatusCode::kInvalidArgument},
        {R"({"action":"set","kind":"share","name":"north"})",
         absl::StatusCode::kInvalidArgument},
        {R"({"action":"set","kind":"organisation","name":"north",
             "fields":{"colour":1}})",
         absl::StatusCode::kInvalidArgument},
        {R"({"action":"remove","kind":"service","name":"none"})",
         absl::StatusCode::kNotFound},
        {R"({"action":"set","kind":"share","name":"none/till"})",
         absl::StatusCode::kNotFound},
        {R"({"action":"remove","kind":"organisation","name":"north"},
            {"action":"set","kind":"share","name":"north/till"})",
         absl::StatusCode::kInvalidArgument},
        {R"(7)", absl::StatusCode::kInvalidArgument},
    }));
    CAPTURE(change);
    CHECK(read_intent(intent_text(change), make_base()).status().code() ==
          code);
}

}  // namespace
}  // namespace bronzehub::planning
