#include "cli/command_line.hpp"

#include <docopt.h>

#include <algorithm>
#include <array>
#include <map>
#include <string_view>

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace bronzehub::cli {
namespace {

// docopt's parser recurses over the text, so it gets only what it needs. An
// option that one line names is no longer part of [options] in the others, so
// every line takes all of them.
constexpr std::string_view usage =
    R"(Usage:
  bronzehub check-settings FILE [options]
  bronzehub explain REQUEST [LOG...] [options]
  bronzehub status [options]
  bronzehub dump [options]
  bronzehub metrics [options]
  bronzehub drain [options]
  bronzehub plan create FILE [options]
  bronzehub plan (show | confirm | drop) PLAN [options]
  bronzehub (organisation | share | key | service | backend) set NAME [FIELD...] [options]
  bronzehub (organisation | share | key | service | backend) remove NAME [options]
  bronzehub version [options]
  bronzehub (-h | --help)

Options:
  --address=ADDRESS  Operators' listener of a daemon, IP:port or URL.
  --key-file=FILE    File that holds the operator's key.
  --timeout=SECONDS  Longest time to wait for a response [default: 10].
  --json             Print JSON instead of text.
  -h --help          Show this help.
)";

constexpr std::string_view details = R"(
Without --address the variable BRONZEHUB_ADDRESS is used, else 127.0.0.1:8081.
Without --key-file the variable BRONZEHUB_KEY is used.

Examples:
  Check a settings file; every fault is reported in one run:
    bronzehub check-settings examples/bronzehubd.json

  Tell from logs of entry daemons what became of a request, and why:
    bronzehub explain 8052d7ecfe56c4ae host-*.log

  See whether a daemon is ready and what it knows of the fleet:
    bronzehub status --address 10.1.0.11:8081 --key-file operator.key

  Change the weight of an organisation. Nothing changes before the plan that
  bronzehub answers with is confirmed:
    bronzehub organisation set north default_weight=2
    bronzehub plan show PLAN
    bronzehub plan confirm PLAN

  Several changes in one plan, from a file or from standard input:
    bronzehub plan create changes.json
    generate-changes | bronzehub plan create -

  Take a daemon out of service without interrupting a call:
    bronzehub drain --address 10.1.0.11:8081

Exit codes:
  0  done
  1  refused or failed
  2  wrong usage
  3  no daemon could be reached
  4  invalid settings or input
  5  conflict: the plan or the fleet changed in the meantime
)";

using arguments_map = std::map<std::string, docopt::value>;

bool is_set(const arguments_map& parsed, const std::string& name) {
    const auto found = parsed.find(name);
    return found != parsed.end() && found->second.isBool() &&
           found->second.asBool();
}

std::string text_of(const arguments_map& parsed, const std::string& name) {
    const auto found = parsed.find(name);
    return found != parsed.end() && found->second.isString()
               ? found->second.asString()
               : "";
}

struct named_verb {
    const char* name;
    verb action;
};

verb find_verb(const arguments_map& parsed) {
    constexpr std::array verbs{
        named_verb{"check-settings", verb::check_settings},
        named_verb{"explain", verb::explain},
        named_verb{"status", verb::status},
        named_verb{"dump", verb::dump},
        named_verb{"metrics", verb::metrics},
        named_verb{"drain", verb::drain},
        named_verb{"version", verb::version},
        named_verb{"create", verb::plan_create},
        named_verb{"show", verb::plan_show},
        named_verb{"confirm", verb::plan_confirm},
        named_verb{"drop", verb::plan_drop},
        named_verb{"set", verb::object_set},
        named_verb{"remove", verb::object_remove},
    };
    const auto found = std::ranges::find_if(verbs, [&](const named_verb& each) {
        return is_set(parsed, each.name);
    });
    return found == verbs.end() ? verb::help : found->action;
}

std::string find_object_kind(const arguments_map& parsed) {
    constexpr std::array kinds{"organisation", "share", "key", "service",
                               "backend"};
    const auto found = std::ranges::find_if(
        kinds, [&](const char* kind) { return is_set(parsed, kind); });
    return found == kinds.end() ? "" : *found;
}

absl::StatusOr<std::chrono::seconds> parse_timeout(const std::string& text) {
    constexpr int longest = 3600;
    int seconds = 0;
    if (!absl::SimpleAtoi(text, &seconds) || seconds < 1 || seconds > longest) {
        return absl::InvalidArgumentError(
            absl::StrCat("--timeout: found ", text,
                         "; expected seconds from 1 to ", longest));
    }
    return std::chrono::seconds(seconds);
}

// The id becomes part of a path.
bool is_plan_id(std::string_view text) {
    return std::ranges::all_of(text, [](unsigned char c) {
        return absl::ascii_isalnum(c) || c == '-' || c == '_';
    });
}

absl::StatusOr<command_line> to_command_line(const arguments_map& parsed) {
    const auto timeout = parse_timeout(text_of(parsed, "--timeout"));
    if (!timeout.ok()) {
        return timeout.status();
    }
    command_line result;
    result.action = find_verb(parsed);
    result.file = text_of(parsed, "FILE");
    result.plan = text_of(parsed, "PLAN");
    if (!is_plan_id(result.plan)) {
        return absl::InvalidArgumentError(
            absl::StrCat("PLAN: found ", result.plan,
                         "; expected letters, digits, '-' and '_'"));
    }
    result.object_kind = find_object_kind(parsed);
    result.object_name = text_of(parsed, "NAME");
    result.request = text_of(parsed, "REQUEST");
    if (const auto found = parsed.find("LOG");
        found != parsed.end() && found->second.isStringList()) {
        result.logs = found->second.asStringList();
    }
    if (const auto found = parsed.find("FIELD");
        found != parsed.end() && found->second.isStringList()) {
        result.fields = found->second.asStringList();
    }
    result.json = is_set(parsed, "--json");
    result.address = text_of(parsed, "--address");
    result.key_file = text_of(parsed, "--key-file");
    result.timeout = *timeout;
    return result;
}

}  // namespace

absl::StatusOr<command_line> parse_command_line(
    const std::vector<std::string>& arguments) {
    try {
        return to_command_line(
            docopt::docopt_parse(std::string(usage), arguments, true, false));
    } catch (const docopt::DocoptExitHelp&) {
        return command_line{};
    } catch (const docopt::DocoptArgumentError& error) {
        return absl::InvalidArgumentError(error.what());
    }
}

std::string help_text() {
    return absl::StrCat("bronzehub operates a fleet of bronzehub routers.\n\n",
                        std::string(usage), std::string(details));
}

std::string usage_text() {
    return std::string(usage.substr(0, usage.find("\n\n") + 1));
}

}  // namespace bronzehub::cli
