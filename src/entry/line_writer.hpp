// A log sink that writes to a file descriptor without blocking the daemon.
//
// Lines are buffered and written together when `flush` is called. If the reader
// of the descriptor is too slow and the buffer is full, new lines are dropped
// and counted.
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
    // Size of the buffer for lines that are not written yet.
    static constexpr std::size_t max_buffered_bytes = std::size_t{128} * 1024;

    // Sets `descriptor` to non-blocking mode.
    explicit line_writer(int descriptor);

    // Buffers a line or drops it if the buffer is full.
    void add(std::string_view line);
    // Writes as much of the buffer as the descriptor accepts.
    void flush();

    // Number of lines dropped.
    std::uint64_t dropped_count() const { return dropped_count_; }

    // Returns a sink for a logger. The writer must outlive it.
    logging::line_sink sink() {
        return [this](logging::level, std::string_view line) { add(line); };
    }

private:
    int descriptor_;
    std::string buffer_;
    std::uint64_t dropped_count_ = 0;
};

}  // namespace bronzehub::entry

#endif
