#include "calls/event_splitter.hpp"

#include <algorithm>
#include <optional>
#include <ranges>
#include <utility>

namespace bronzehub::calls {
namespace {

constexpr std::string_view separator = "\n\n";
constexpr std::string_view data_field = "data:";
constexpr std::string_view done_data = "[DONE]";

// True when no line has a field.
bool is_comment(std::string_view event) {
    return std::ranges::all_of(std::views::split(event, '\n'), [](auto line) {
        return line.empty() || line.front() == ':';
    });
}

}  // namespace

std::string_view event_splitter::feed(std::span<const char> bytes) {
    // The separator may straddle the old and the new bytes.
    const std::size_t search_from = partial_.empty() ? 0 : partial_.size() - 1;
    partial_.append(bytes.data(), bytes.size());
    const std::size_t last =
        std::string_view(partial_).substr(search_from).rfind(separator);
    if (last == std::string_view::npos) {
        overflowed_ = overflowed_ || partial_.size() > max_event_bytes;
        return {};
    }
    const std::size_t end = search_from + last + separator.size();
    whole_.assign(partial_, 0, end);
    partial_.erase(0, end);

    std::string_view rest = whole_;
    while (!rest.empty()) {
        const std::size_t size = rest.find(separator);
        count_event(rest.substr(0, size));
        rest.remove_prefix(size + separator.size());
    }
    overflowed_ = overflowed_ || useless_bytes_ > max_event_bytes ||
                  partial_.size() > max_event_bytes;
    return whole_;
}

void event_splitter::count_event(std::string_view event) {
    const bool useless = done_ || is_comment(event);
    useless_bytes_ =
        useless ? useless_bytes_ + event.size() + separator.size() : 0;
    std::optional<std::string> data;
    while (!event.empty()) {
        const std::size_t size = event.find('\n');
        std::string_view line = event.substr(0, size);
        event.remove_prefix(size == event.npos ? event.size() : size + 1);
        if (!line.starts_with(data_field)) {
            continue;
        }
        line.remove_prefix(data_field.size());
        line.remove_prefix(line.starts_with(' ') ? 1 : 0);
        // The lines of one event's data are joined.
        data = data ? *std::move(data) + '\n' : std::string();
        data->append(line);
    }
    if (data == done_data) {
        done_ = true;
    } else if (data) {
        ++events_;
        last_event_ = *std::move(data);
    }
}

}  // namespace bronzehub::calls
