// Cuts a server-sent event stream into whole events.
//
// A relay that forwards only whole events knows how many the caller has, so a
// broken stream can be resumed behind the last one without a gap or a repeat.
#ifndef BRONZEHUB_CALLS_EVENT_SPLITTER_HPP
#define BRONZEHUB_CALLS_EVENT_SPLITTER_HPP

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace bronzehub::calls {

// Not thread-safe; belongs to the thread that reads the stream.
class event_splitter {
public:
    // Events larger than this are an error of the backend server, and so are
    // more bytes than this without an event: comments and empty lines, or
    // anything behind the final `[DONE]`. A comment of 20 bytes each second,
    // to keep a connection alive, stays below it for half a day.
    static constexpr std::size_t max_event_bytes = 1024UL * 1024;

    // Adds bytes and returns the whole events that are now complete, with
    // their separators. The view is valid until the next call. Cost is linear
    // in the bytes added.
    std::string_view feed(std::span<const char> bytes);

    // Data events seen so far, without the final `[DONE]`.
    std::uint64_t events() const { return events_; }

    // Whether the final `data: [DONE]` event was seen.
    bool done() const { return done_; }

    // Whether `max_event_bytes` was exceeded; the stream is unusable.
    bool overflowed() const { return overflowed_; }

    // The last data event before `[DONE]`, which carries the usage figures.
    std::string_view last_event() const { return last_event_; }

private:
    void count_event(std::string_view event);

    std::string whole_;
    std::string partial_;
    std::string last_event_;
    std::uint64_t events_ = 0;
    std::size_t useless_bytes_ = 0;  // Since the last event.
    bool done_ = false;
    bool overflowed_ = false;
};

}  // namespace bronzehub::calls

#endif
