// Log lines to standard output that never block the daemon.
//
// Lines are gathered and written together a few times a second. What a reader
// that does not read leaves no room for is dropped and counted.
#ifndef BRONZEHUB_ENTRY_LINE_WRITER_HPP
#define BRONZEHUB_ENTRY_LINE_WRITER_HPP

#include <cstdint>
#include <string>
#include <string_view>

#include "logging/logging.hpp"

namespace bronzehub::entry {

// Not thread-safe.
class line_writer {
public:
    // Lines kept for a reader that is slow.
    static constexpr std::size_t max_buffered = std::size_t{128} * 1024;

    // `descriptor` is set to non-blocking.
    explicit line_writer(int descriptor);

    void add(std::string_view line);
    // Writes what the descriptor takes.
    void flush();

    std::uint64_t dropped() const { return dropped_; }

    logging::line_sink sink() {
        return [this](logging::level, std::string_view line) { add(line); };
    }

private:
    int descriptor_;
    std::string buffer_;
    std::uint64_t dropped_ = 0;
};

}  // namespace bronzehub::entry

#endif
