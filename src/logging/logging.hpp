// Log lines with typed fields, written to standard error.
//
// Each line is one JSON object: `time`, `level`, `message`, then the fields in
// the order given. JSON was chosen over key=value because texts of backend
// servers and of the platform end up in fields; its escaping is the same in
// every tool, and a line break in such a text cannot forge a second line.
//
// Log a change of state; count what happens per call. Deciding libraries do
// not log: they report through hooks, and the daemon logs.
//
// Example:
//   logger log({level, {settings.peers.shared_key}}, stderr_sink());
//   log.info("member declared dead", {field("host", host),
//                                     field("incarnation", 7)});
#ifndef BRONZEHUB_LOGGING_LOGGING_HPP
#define BRONZEHUB_LOGGING_LOGGING_HPP

#include <array>
#include <atomic>
#include <chrono>
#include <concepts>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "base/strong_id.hpp"

namespace bronzehub::logging {

enum class level : std::uint8_t { trace, debug, info, warning, error };

inline constexpr std::size_t level_count = 5;

std::string_view to_string(level value);

// A name with a text, or with another value as JSON. The name must outlive the
// call.
struct log_field {
    std::string_view name;
    std::string value;
    bool is_text = false;
};

log_field field(std::string_view name, std::string_view text);
log_field field(std::string_view name, const char* text);
log_field field(std::string_view name, double number);
log_field field(std::string_view name, bool value);
log_field field(std::string_view name, const absl::Status& status);

template <std::integral Number>
log_field field(std::string_view name, Number number) {
    return {name, std::to_string(number)};
}

template <class Tag>
log_field field(std::string_view name, base::strong_id<Tag> id) {
    return {name, std::to_string(id.value())};
}

// Milliseconds; the name should end in "_ms".
template <class Rep, class Period>
log_field field(std::string_view name,
                std::chrono::duration<Rep, Period> time) {
    using std::chrono::milliseconds;
    return field(name, std::chrono::duration_cast<milliseconds>(time).count());
}

struct logger_options {
    level min_level = level::info;
    // Texts that are replaced by "[hidden]" wherever they occur in a message or
    // field. Shorter than `min_secret_length` characters they are ignored.
    std::vector<std::string> secrets;
    std::function<std::chrono::system_clock::time_point()> wall_clock =
        std::chrono::system_clock::now;
};

inline constexpr std::size_t min_secret_length = 4;

// Receives finished lines without the line break.
using line_sink = std::function<void(level, std::string_view line)>;

// A log4cplus logger on standard error that flushes each line. Safe to call
// from several threads. Initialises log4cplus at the first call.
line_sink stderr_sink();

// Formats lines and counts them. Safe to use from several threads when the
// hooks are.
class logger {
public:
    logger(logger_options options, line_sink sink);

    // Writes the line when `severity` is at or above the least level. Fields
    // named like credentials (see `is_secret_name`) show "[hidden]".
    void write(level severity, std::string_view message,
               std::initializer_list<log_field> fields = {});

    void debug(std::string_view message,
               std::initializer_list<log_field> fields = {});
    void info(std::string_view message,
              std::initializer_list<log_field> fields = {});
    void warning(std::string_view message,
                 std::initializer_list<log_field> fields = {});
    void error(std::string_view message,
               std::initializer_list<log_field> fields = {});

    // Lines of the level since the start, those below the least level
    // included, so that a metric does not depend on the log level.
    std::uint64_t count(level severity) const;

private:
    std::string format(level severity, std::string_view message,
                       std::initializer_list<log_field> fields) const;
    std::string hide_secrets(std::string text) const;

    logger_options options_;
    line_sink sink_;
    std::array<std::atomic<std::uint64_t>, level_count> counts_{};
};

// Whether a field of this name holds a credential: authorization, password,
// secret, or a name that ends in shared_key, api_key or _token.
bool is_secret_name(std::string_view name);

}  // namespace bronzehub::logging

#endif
