#include "cli/explanation.hpp"

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <tuple>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace bronzehub::cli {
namespace {

using nlohmann::json;

struct log_line {
    std::string time;
    std::size_t number = 0;
    std::string source;
    std::string message;
    json fields;
};

struct cause_sentence {
    std::string_view cause;
    std::string_view sentence;
    // A line of the same host that led to it, if there is one.
    std::string_view background;
};

constexpr std::array sentences{
    cause_sentence{"engines full",
                   "No engine that was asked had a place in time; the request "
                   "was not sent.",
                   ""},
    cause_sentence{"host overloaded",
                   "The host had no processor time and refused the request "
                   "unseen; it was not sent.",
                   "host overloaded"},
    cause_sentence{"keys not fresh",
                   "The host could not show that the caller's key was still "
                   "valid; the request was not sent.",
                   "store lost"},
    cause_sentence{"no configuration yet",
                   "The host had just started and did not know the "
                   "configuration; the request was not sent.",
                   "starting"},
    cause_sentence{"draining",
                   "The host was about to stop; the request was not sent.",
                   "draining"},
    cause_sentence{"no backend server",
                   "No backend server of the service was known or left to try; "
                   "the request was not sent.",
                   "backend server"},
    cause_sentence{"backend servers paused",
                   "The backend servers of the service had asked for a pause; "
                   "the request was not sent.",
                   "backend server paused"},
    cause_sentence{"no route", "The configuration has no route for it.",
                   "configuration in force"},
    cause_sentence{"unknown key", "The configuration does not hold its key.",
                   "configuration in force"},
    cause_sentence{"not sent",
                   "No backend server that was tried could be reached; the "
                   "request was not sent.",
                   ""},
    cause_sentence{"rejected",
                   "Each backend server that was tried stated that it did not "
                   "run the request.",
                   ""},
    cause_sentence{"broken",
                   "The backend server's connection ended before its answer; "
                   "the request may have run.",
                   ""},
    cause_sentence{"unconfirmed refusal",
                   "The backend server refused the request without stating "
                   "that it did not run it; the request may have run.",
                   ""},
    cause_sentence{"stream broken",
                   "The backend server's stream ended early and could not go "
                   "on elsewhere.",
                   ""},
    cause_sentence{"route changed",
                   "A new configuration does not allow the attempt that was "
                   "to follow; the request may have run.",
                   "configuration in force"},
    cause_sentence{"stream not resumed",
                   "The stream ended early, and no engine had a place for the "
                   "rest.",
                   ""},
    cause_sentence{"deadline passed",
                   "The request's time was over while a backend server worked "
                   "on it.",
                   ""},
    cause_sentence{"deadline passed while waiting",
                   "The request's time was over before it was sent.", ""},
    cause_sentence{"caller left", "The caller closed its connection first.",
                   ""},
};

std::string text_of(const json& fields, const char* name) {
    const auto found = fields.find(name);
    return found != fields.end() && found->is_string()
               ? found->get<std::string>()
               : "";
}

std::optional<log_line> parse_line(std::string_view text,
                                   const std::string& source) {
    json fields = json::parse(text, nullptr, false);
    if (!fields.is_object()) {
        return std::nullopt;
    }
    return log_line{text_of(fields, "time"), 0, source,
                    text_of(fields, "message"), std::move(fields)};
}

std::string describe(const log_line& line) {
    std::string result =
        absl::StrCat(line.time, "  ", line.source, "  ", line.message);
    for (const auto& [name, value] : line.fields.items()) {
        const bool shown_already = name == "time" || name == "message" ||
                                   name == "level" || name == "request_id";
        const bool not_reached =
            value.is_number_integer() && value.get<std::int64_t>() < 0;
        if (!shown_already && !not_reached &&
            !(value.is_string() &&
              value.get_ref<const std::string&>().empty())) {
            absl::StrAppend(
                &result, "  ", name, "=",
                value.is_string() ? value.get<std::string>() : value.dump());
        }
    }
    return result;
}

std::string conclude(const log_line& end) {
    const std::string outcome = text_of(end.fields, "outcome");
    const std::string cause = text_of(end.fields, "cause");
    if (outcome == "delivered") {
        return "A backend server's response was passed on whole.";
    }
    const auto* found =
        std::ranges::find(sentences, cause, &cause_sentence::cause);
    return found == sentences.end()
               ? absl::StrCat("Unknown cause: ", cause, ".")
               : std::string(found->sentence);
}

std::string_view background_of(const log_line& line) {
    const std::string cause = text_of(line.fields, "cause");
    const auto* found =
        std::ranges::find(sentences, cause, &cause_sentence::cause);
    return line.message != "call ended" || found == sentences.end()
               ? ""
               : found->background;
}

struct collected_lines {
    std::vector<log_line> lines;
    std::uint64_t omitted = 0;

    void add(log_line line) {
        line.number = lines.size();
        lines.push_back(std::move(line));
    }
};

void collect(std::string_view request_id, const log_source& source,
             collected_lines& result) {
    // The last line of each message, as far as the file was read.
    std::map<std::string, log_line, std::less<>> latest;
    for (const auto text : absl::StrSplit(source.text, '\n')) {
        auto line = parse_line({text.data(), text.size()}, source.name);
        if (!line) {
            continue;
        }
        if (line->message == "lines left out") {
            result.omitted += line->fields.value("count", std::uint64_t{0});
        }
        if (text_of(line->fields, "request_id") != request_id) {
            latest.insert_or_assign(line->message, *line);
            continue;
        }
        if (const auto found = latest.find(background_of(*line));
            found != latest.end()) {
            result.add(found->second);
        }
        result.add(*std::move(line));
    }
}

}  // namespace

absl::StatusOr<std::string> explain_request(
    std::string_view request_id, const std::vector<log_source>& sources) {
    collected_lines found;
    std::ranges::for_each(sources, [&](const log_source& source) {
        collect(request_id, source, found);
    });
    if (found.lines.empty()) {
        return absl::NotFoundError(absl::StrCat(
            "no line names request ", std::string(request_id), "; ",
            found.omitted, " lines of other calls were left out by rate"));
    }
    // Lines of the same time stay in the order in which they were read.
    std::ranges::sort(found.lines, {}, [](const log_line& line) {
        return std::tie(line.time, line.number);
    });
    std::string result;
    std::string conclusion =
        "The request has no end in these logs: its host stopped first, or the "
        "line was left out by rate.";
    for (const log_line& line : found.lines) {
        absl::StrAppend(&result, describe(line), "\n");
        if (line.message == "call ended" &&
            text_of(line.fields, "request_id") == request_id) {
            conclusion = conclude(line);
        }
    }
    return absl::StrCat(result, "Cause: ", conclusion, "\n");
}

}  // namespace bronzehub::cli
