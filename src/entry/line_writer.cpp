#include "entry/line_writer.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

namespace bronzehub::entry {

line_writer::line_writer(int descriptor) : descriptor_(descriptor) {
    const int flags = fcntl(descriptor_, F_GETFL);
    if (flags >= 0) {
        fcntl(descriptor_, F_SETFL, flags | O_NONBLOCK);
    }
}

void line_writer::add(std::string_view line) {
    if (buffer_.size() + line.size() + 1 > max_buffered_bytes) {
        ++dropped_count_;
        return;
    }
    buffer_.append(line).push_back('\n');
}

void line_writer::flush() {
    while (!buffer_.empty()) {
        const ssize_t size =
            ::write(descriptor_, buffer_.data(), buffer_.size());
        if (size < 0) {
            if (errno != EAGAIN && errno != EINTR) {
                // The descriptor is unusable, for example because its reader
                // has closed it: the buffered lines count as dropped.
                dropped_count_ += static_cast<std::uint64_t>(
                    std::ranges::count(buffer_, '\n'));
                buffer_.clear();
            }
            return;
        }
        buffer_.erase(0, static_cast<std::size_t>(size));
    }
}

}  // namespace bronzehub::entry
