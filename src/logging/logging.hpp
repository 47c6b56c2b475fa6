// Log lines with typed fields, written to standard error.
//
// Each line is one JSON object: `time`, `level`, `message`, then the fields in
// the order given. The format is JSON instead of key=value because fields
// contain texts of backend servers and of the platform: all tools agree on the
// escaping of JSON, and a line break in such a text cannot forge a second line.
//
// Log changes of state; use metrics for events of single calls. Libraries that
// only make decisions do not log: they report through callbacks, and the daemon
// logs.
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

// The name of the level in log lines and settings.
std::string_view to_string(level value);

// A name with its value: a text, or any other value as JSON. The name must stay
// valid until the line is written.
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

// A duration in milliseconds; the name should end in "_ms".
template <class Rep, class Period>
log_field field(std::string_view name,
                std::chrono::duration<Rep, Period> time) {
    using std::chrono::milliseconds;
    return field(name, std::chrono::duration_cast<milliseconds>(time).count());
}

struct logger_options {
    // Lines below this level are not written.
    level min_level = level::info;
    // Texts that are replaced by "[hidden]" wherever they occur in a message or
    // in the text of a field. Secrets shorter than `min_secret_length` are
    // ignored.
    std::vector<std::string> secrets;
    std::function<std::chrono::system_clock::time_point()> wall_clock =
        std::chrono::system_clock::now;
};

// In bytes.
inline constexpr std::size_t min_secret_length = 4;

// Receives each formatted line, without the line break.
using line_sink = std::function<void(level, std::string_view line)>;

// Returns a sink that writes to standard error by log4cplus and flushes each
// line. The sink is thread-safe. The first call initialises log4cplus.
line_sink stderr_sink();

// Formats, writes and counts log lines. Thread-safe when the sink and the wall
// clock are.
class logger {
public:
    logger(logger_options options, line_sink sink);

    // Writes a line when `severity` is at or above the minimum level. The
    // values of fields that are named like credentials (see `is_secret_name`)
    // are replaced by "[hidden]".
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

    // Number of lines of the level since the creation of the logger. Lines
    // below the minimum level are included, so that metrics do not depend on
    // it.
    std::uint64_t count(level severity) const;

private:
    std::string format(level severity, std::string_view message,
                       std::initializer_list<log_field> fields) const;
    std::string redact_secrets(std::string text) const;

    logger_options options_;
    line_sink sink_;
    std::array<std::atomic<std::uint64_t>, level_count> counts_{};
};

// Whether a field of this name contains a credential: "authorization",
// "password", "secret" and names that end in "shared_key", "api_key" or
// "_token".
bool is_secret_name(std::string_view name);

}  // namespace bronzehub::logging

#endif
