#include "logging/logging.hpp"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

#include <algorithm>
#include <ctime>
#include <memory>
#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_replace.h"

namespace bronzehub::logging {
namespace {

using nlohmann::json;

constexpr std::string_view redacted = "[hidden]";

// Formats a JSON string. Invalid UTF-8 is replaced, so that each line is valid
// JSON whatever a backend server sent.
std::string quote(std::string_view text) {
    return json(text).dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string format_time(std::chrono::system_clock::time_point when) {
    using std::chrono::milliseconds;
    const auto since_epoch =
        std::chrono::floor<milliseconds>(when.time_since_epoch());
    const auto seconds = std::chrono::floor<std::chrono::seconds>(since_epoch);
    const std::time_t whole_seconds = seconds.count();
    std::tm parts{};
    gmtime_r(&whole_seconds, &parts);
    return absl::StrFormat("%04d-%02d-%02dT%02d:%02d:%02d.%03dZ",
                           parts.tm_year + 1900, parts.tm_mon + 1,
                           parts.tm_mday, parts.tm_hour, parts.tm_min,
                           parts.tm_sec, (since_epoch - seconds).count());
}

log4cplus::LogLevel to_log4cplus(level value) {
    constexpr std::array levels{
        log4cplus::TRACE_LOG_LEVEL, log4cplus::DEBUG_LOG_LEVEL,
        log4cplus::INFO_LOG_LEVEL, log4cplus::WARN_LOG_LEVEL,
        log4cplus::ERROR_LOG_LEVEL};
    return levels.at(static_cast<std::size_t>(value));
}

}  // namespace

std::string_view to_string(level value) {
    constexpr std::array<std::string_view, level_count> names{
        "trace", "debug", "info", "warning", "error"};
    return names.at(static_cast<std::size_t>(value));
}

log_field field(std::string_view name, std::string_view text) {
    return {name, std::string(text), true};
}

log_field field(std::string_view name, const char* text) {
    return field(name, std::string_view(text));
}

log_field field(std::string_view name, double number) {
    return {name, json(number).dump()};
}

log_field field(std::string_view name, bool value) {
    return {name, value ? "true" : "false"};
}

log_field field(std::string_view name, const absl::Status& status) {
    return {name, status.ToString(), true};
}

bool is_secret_name(std::string_view name) {
    constexpr std::array<std::string_view, 3> exact_names{"authorization",
                                                          "password", "secret"};
    constexpr std::array<std::string_view, 3> suffixes{"shared_key", "api_key",
                                                       "_token"};
    return std::ranges::find(exact_names, name) != exact_names.end() ||
           std::ranges::any_of(suffixes, [name](std::string_view suffix) {
               return name.ends_with(suffix);
           });
}

line_sink stderr_sink() {
    // log4cplus can be initialised only once in a process.
    static const log4cplus::Initializer initializer;
    constexpr bool to_standard_error = true;
    constexpr bool flush_each_line = true;
    log4cplus::SharedAppenderPtr appender(
        new log4cplus::ConsoleAppender(to_standard_error, flush_each_line));
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
    log4cplus::Logger target = log4cplus::Logger::getInstance("bronzehub");
    target.removeAllAppenders();
    target.setAdditivity(false);
    target.setLogLevel(log4cplus::ALL_LOG_LEVEL);
    target.addAppender(appender);
    return [target](level severity, std::string_view line) {
        target.log(to_log4cplus(severity), std::string(line));
    };
}

logger::logger(logger_options options, line_sink sink)
    : options_(std::move(options)), sink_(std::move(sink)) {
    std::erase_if(options_.secrets, [](const std::string& secret) {
        return secret.size() < min_secret_length;
    });
}

void logger::write(level severity, std::string_view message,
                   std::initializer_list<log_field> fields) {
    counts_.at(static_cast<std::size_t>(severity))
        .fetch_add(1, std::memory_order_relaxed);
    if (severity >= options_.min_level) {
        sink_(severity, format(severity, message, fields));
    }
}

void logger::debug(std::string_view message,
                   std::initializer_list<log_field> fields) {
    write(level::debug, message, fields);
}

void logger::info(std::string_view message,
                  std::initializer_list<log_field> fields) {
    write(level::info, message, fields);
}

void logger::warning(std::string_view message,
                     std::initializer_list<log_field> fields) {
    write(level::warning, message, fields);
}

void logger::error(std::string_view message,
                   std::initializer_list<log_field> fields) {
    write(level::error, message, fields);
}

std::uint64_t logger::count(level severity) const {
    return counts_.at(static_cast<std::size_t>(severity))
        .load(std::memory_order_relaxed);
}

std::string logger::format(level severity, std::string_view message,
                           std::initializer_list<log_field> fields) const {
    std::string line = absl::StrCat(
        R"({"time":")", format_time(options_.wall_clock()), R"(","level":")",
        std::string(to_string(severity)), R"(","message":)",
        quote(redact_secrets(std::string(message))));
    for (const log_field& entry : fields) {
        absl::StrAppend(&line, ",", quote(entry.name), ":");
        if (is_secret_name(entry.name)) {
            absl::StrAppend(&line, quote(redacted));
        } else {
            absl::StrAppend(&line, entry.is_text
                                       ? quote(redact_secrets(entry.value))
                                       : entry.value);
        }
    }
    return line + "}";
}

std::string logger::redact_secrets(std::string text) const {
    for (const std::string& secret : options_.secrets) {
        absl::StrReplaceAll({{secret, std::string(redacted)}}, &text);
    }
    return text;
}

}  // namespace bronzehub::logging
