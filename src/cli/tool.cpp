#include "cli/tool.hpp"

#include <ostream>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "cli/explanation.hpp"
#include "cli/formatting.hpp"
#include "protocol/messages.hpp"
#include "settings/settings.hpp"

namespace bronzehub::cli {
namespace {

constexpr const char* address_variable = "BRONZEHUB_ADDRESS";
constexpr const char* key_variable = "BRONZEHUB_KEY";
constexpr const char* default_address = "127.0.0.1:8081";

constexpr int http_ok_end = 300;
constexpr int http_unauthorised = 401;
constexpr int http_forbidden = 403;
constexpr int http_conflict = 409;
constexpr int http_precondition_failed = 412;
constexpr int http_bad_request = 400;
constexpr int http_unprocessable = 422;
constexpr int http_unavailable = 503;

struct failure {
    exit_code code = exit_code::refused;
    std::string cause;
    std::string remedy;
};

exit_code report(const tool_environment& environment, const failure& what) {
    environment.error << "bronzehub: " << what.cause << "\n";
    if (!what.remedy.empty()) {
        environment.error << "  " << what.remedy << "\n";
    }
    return what.code;
}

std::string dump_json(const document& value) {
    return value.dump(2, ' ', false, document::error_handler_t::replace) + "\n";
}

document parse_body(const std::string& body) {
    return document::parse(body, nullptr, false);
}

// The message of a refusal, else the status.
std::string refusal_text(const admin_response& response) {
    const document body = parse_body(response.body);
    const document::json_pointer place("/error/message");
    if (!body.is_discarded() && body.contains(place) &&
        body.at(place).is_string()) {
        return body.at(place).get<std::string>();
    }
    return absl::StrCat("HTTP status ", response.status);
}

failure explain(const admin_response& response) {
    const std::string cause =
        absl::StrCat("the daemon refused: ", refusal_text(response));
    switch (response.status) {
        case http_unauthorised:
            return {exit_code::refused, cause,
                    "Give the operator's key with --key-file or in "
                    "BRONZEHUB_KEY."};
        case http_forbidden:
            return {exit_code::refused, cause,
                    "Use the key of an operator whose role allows this."};
        case http_conflict:
        case http_precondition_failed:
            return {exit_code::conflict, cause,
                    "Look at the plan and at what changed in the "
                    "meantime; create the plan again if it is still wanted."};
        case http_bad_request:
        case http_unprocessable:
            return {exit_code::invalid_input, cause, ""};
        default:
            return {exit_code::refused, cause, ""};
    }
}

// Sends requests with the address, key and timeout of one command.
class session {
public:
    session(const command_line& command, const tool_environment& environment)
        : command_(command), environment_(environment) {}

    // Reads the key. Returns the failure, if any.
    std::optional<failure> open() {
        base_ = base_url(command_.address.empty()
                             ? environment_.variable(address_variable)
                                   .value_or(default_address)
                             : command_.address);
        if (command_.key_file.empty()) {
            key_ = environment_.variable(key_variable).value_or("");
            return std::nullopt;
        }
        const auto content = environment_.read_file(command_.key_file);
        if (!content.ok()) {
            return failure{
                exit_code::invalid_input,
                absl::StrCat("key file ", command_.key_file, ": ",
                             std::string(content.status().message())),
                "Give a readable file that holds only the key."};
        }
        key_ = std::string(absl::StripAsciiWhitespace(*content));
        return std::nullopt;
    }

    absl::StatusOr<admin_response> send(const std::string& method,
                                        const std::string& path,
                                        const std::string& body = "") const {
        return environment_.send(
            {method, base_ + path, body, key_, command_.timeout});
    }

    failure unreachable(const absl::Status& status) const {
        return {exit_code::unreachable,
                absl::StrCat("no response from ", base_, ": ",
                             std::string(status.message())),
                "Check --address or BRONZEHUB_ADDRESS and that the daemon "
                "runs."};
    }

private:
    const command_line& command_;
    const tool_environment& environment_;
    std::string base_;
    std::string key_;
};

void print(const document& value, const command_line& command,
           const tool_environment& environment) {
    environment.out << (command.json ? dump_json(value) : format_text(value));
}

// Prints a JSON body as the options say, and any other body as it is.
void print_body(const std::string& body, const command_line& command,
                const tool_environment& environment) {
    const document value = parse_body(body);
    if (value.is_discarded()) {
        environment.out << body;
    } else {
        print(value, command, environment);
    }
}

struct endpoint {
    std::string method;
    std::string path;
    std::string body;
};

exit_code call(const endpoint& target, const command_line& command,
               const tool_environment& environment) {
    session daemon(command, environment);
    if (const auto failed = daemon.open()) {
        return report(environment, *failed);
    }
    const auto response = daemon.send(target.method, target.path, target.body);
    if (!response.ok()) {
        return report(environment, daemon.unreachable(response.status()));
    }
    if (response->status >= http_ok_end) {
        return report(environment, explain(*response));
    }
    print_body(response->body, command, environment);
    return exit_code::done;
}

exit_code show_status(const command_line& command,
                      const tool_environment& environment) {
    session daemon(command, environment);
    if (const auto failed = daemon.open()) {
        return report(environment, *failed);
    }
    const auto ready = daemon.send("GET", "/ready");
    const auto status = daemon.send("GET", "/admin/v1/status");
    if (!ready.ok() || !status.ok()) {
        return report(
            environment,
            daemon.unreachable(ready.ok() ? status.status() : ready.status()));
    }
    if (status->status >= http_ok_end) {
        return report(environment, explain(*status));
    }
    document shown;
    shown["ready"] = ready->status < http_ok_end;
    if (ready->status == http_unavailable) {
        shown["not_ready_because"] = refusal_text(*ready);
    }
    const document body = parse_body(status->body);
    if (body.is_object()) {
        shown.update(body);
    }
    print(shown, command, environment);
    return exit_code::done;
}

// A check on another machine than the daemon's must not fail because the
// variable with the key is not set there.
settings::environment_reader lenient_environment(
    const tool_environment& environment) {
    return [&environment](const std::string& name) {
        auto value = environment.variable(name);
        if (!value) {
            environment.error << "bronzehub: environment variable " << name
                              << " is not set here; it must be set where the "
                                 "daemon runs\n";
            value = std::string(64, 'x');
        }
        return value;
    };
}

void print_faults(const settings::load_result& result,
                  const command_line& command,
                  const tool_environment& environment) {
    if (!command.json) {
        for (const auto& fault : result.errors) {
            environment.error << settings::to_string(fault) << "\n";
        }
        return;
    }
    document faults = document::array();
    for (const auto& fault : result.errors) {
        faults.push_back({{"file", fault.file},
                          {"key", fault.key},
                          {"found", fault.found},
                          {"expected", fault.expected}});
    }
    environment.out << dump_json({{"faults", faults}});
}

exit_code explain_from_logs(const command_line& command,
                            const tool_environment& environment) {
    const std::vector<std::string> names =
        command.logs.empty() ? std::vector<std::string>{"-"} : command.logs;
    std::vector<log_source> sources;
    for (const std::string& name : names) {
        auto content = environment.read_file(name);
        if (!content.ok()) {
            return report(
                environment,
                {exit_code::invalid_input,
                 absl::StrCat(name, ": ",
                              std::string(content.status().message())),
                 "Give the paths of readable log files."});
        }
        sources.push_back({name, *std::move(content)});
    }
    const auto explanation = explain_request(command.request, sources);
    if (!explanation.ok()) {
        return report(
            environment,
            {exit_code::refused, std::string(explanation.status().message()),
             "Give the logs of all hosts from the time of the "
             "request."});
    }
    environment.out << *explanation;
    return exit_code::done;
}

exit_code check_settings(const command_line& command,
                         const tool_environment& environment) {
    const auto content = environment.read_file(command.file);
    if (!content.ok()) {
        return report(environment,
                      {exit_code::invalid_input,
                       absl::StrCat(command.file, ": ",
                                    std::string(content.status().message())),
                       "Give the path of a readable settings file."});
    }
    const settings::load_result result = settings::load_settings(
        *content, command.file, lenient_environment(environment));
    if (result.errors.empty() && !command.json) {
        environment.out << command.file << ": no faults\n";
        return exit_code::done;
    }
    print_faults(result, command, environment);
    return result.errors.empty() ? exit_code::done : exit_code::invalid_input;
}

exit_code show_version(const command_line& command,
                       const tool_environment& environment) {
    const document shown{{"version", BRONZEHUB_VERSION},
                         {"protocol", absl::StrCat(protocol::major_version, ".",
                                                   protocol::minor_version)}};
    print(shown, command, environment);
    return exit_code::done;
}

exit_code create_plan(const std::string& intent, const command_line& command,
                      const tool_environment& environment) {
    const exit_code code =
        call({"POST", "/admin/v1/plans", intent}, command, environment);
    if (code == exit_code::done && !command.json) {
        environment.out << "Nothing has changed yet. Confirm with: bronzehub "
                           "plan confirm PLAN\n";
    }
    return code;
}

exit_code create_plan_from_file(const command_line& command,
                                const tool_environment& environment) {
    const auto content = environment.read_file(command.file);
    const document intent =
        content.ok() ? document::parse(*content, nullptr, false, true)
                     : document(document::value_t::discarded);
    if (intent.is_discarded()) {
        return report(
            environment,
            {exit_code::invalid_input,
             absl::StrCat(command.file, ": ",
                          content.ok()
                              ? "not valid JSON"
                              : std::string(content.status().message())),
             "Give a file with an intent as JSON, or - for standard input."});
    }
    return create_plan(intent.dump(), command, environment);
}

exit_code create_plan_for_object(const command_line& command,
                                 const tool_environment& environment) {
    const auto intent = make_intent(command);
    if (!intent.ok()) {
        return report(
            environment,
            {exit_code::usage, std::string(intent.status().message()),
             "Example: bronzehub organisation set north default_weight=2"});
    }
    return create_plan(*intent, command, environment);
}

exit_code run_command(const command_line& command,
                      const tool_environment& environment) {
    const std::string plan = "/admin/v1/plans/" + command.plan;
    switch (command.action) {
        case verb::help:
            environment.out << help_text();
            return exit_code::done;
        case verb::version:
            return show_version(command, environment);
        case verb::check_settings:
            return check_settings(command, environment);
        case verb::explain:
            return explain_from_logs(command, environment);
        case verb::status:
            return show_status(command, environment);
        case verb::dump:
            return call({"GET", "/dump", ""}, command, environment);
        case verb::metrics:
            return call({"GET", "/metrics", ""}, command, environment);
        case verb::drain:
            return call({"POST", "/admin/v1/drain", ""}, command, environment);
        case verb::plan_create:
            return create_plan_from_file(command, environment);
        case verb::plan_show:
            return call({"GET", plan, ""}, command, environment);
        case verb::plan_confirm:
            return call({"POST", plan + "/confirm", ""}, command, environment);
        case verb::plan_drop:
            return call({"DELETE", plan, ""}, command, environment);
        case verb::object_set:
        case verb::object_remove:
            return create_plan_for_object(command, environment);
    }
    return exit_code::usage;
}

}  // namespace

absl::StatusOr<std::string> make_intent(const command_line& command) {
    document change{
        {"action", command.action == verb::object_set ? "set" : "remove"},
        {"kind", command.object_kind},
        {"name", command.object_name}};
    document fields = document::object();
    for (const std::string& text : command.fields) {
        const std::size_t equals = text.find('=');
        const std::string name = text.substr(0, equals);
        if (equals == std::string::npos || name.empty() ||
            fields.contains(name)) {
            return absl::InvalidArgumentError(absl::StrCat(
                "found \"", text, "\"; expected FIELD=VALUE, each field once"));
        }
        const std::string value = text.substr(equals + 1);
        const document parsed = parse_body(value);
        fields[name] = parsed.is_discarded() ? document(value) : parsed;
    }
    if (command.action == verb::object_set) {
        change["fields"] = fields;
    }
    return document{{"reason", absl::StrCat(command.object_kind, " ",
                                            std::string(change["action"]), " ",
                                            command.object_name)},
                    {"changes", document::array({change})}}
        .dump();
}

exit_code run_tool(const std::vector<std::string>& arguments,
                   const tool_environment& environment) {
    const auto command = parse_command_line(arguments);
    if (!command.ok()) {
        environment.error << "bronzehub: "
                          << std::string(command.status().message()) << "\n"
                          << usage_text()
                          << "See bronzehub --help for examples.\n";
        return exit_code::usage;
    }
    return run_command(*command, environment);
}

}  // namespace bronzehub::cli
