// Keeps the quarantined prompt segments in a table of the platform's store.
//
// The key of a row is the id of the segment in hexadecimal, its value a JSON
// object with the end of the quarantine in the store's time and the host that
// wrote it. An operator who deletes a row ends the quarantine for hosts that
// start later.
#ifndef BRONZEHUB_ENTRY_QUARANTINE_STORE_HPP
#define BRONZEHUB_ENTRY_QUARANTINE_STORE_HPP

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "entry/store_client.hpp"
#include "logging/logging.hpp"
#include "overload/crash_attribution.hpp"

namespace bronzehub::entry {

// A segment and the rest of its quarantine.
using remaining_quarantine = std::pair<overload::segment_id, base::duration>;

// Returns the key and the value of the row of a segment.
std::string encode_segment_key(overload::segment_id segment);
std::string encode_quarantine(std::chrono::milliseconds ends_at,
                              std::string_view host);
// Returns nullopt if the row is not one of a quarantine that lasts beyond
// `now`, which is the store's time.
std::optional<remaining_quarantine> decode_quarantine(
    const platform_wire::stored_row& row, std::chrono::milliseconds now);

// Not thread-safe. Must live until the event loop has stopped.
class quarantine_store {
public:
    using read_callback =
        std::function<void(const std::vector<remaining_quarantine>&)>;

    quarantine_store(net::event_loop& loop, const std::string& store_address,
                     std::string host, logging::logger& log);

    // Reads all rows; calls `done` if that succeeds. Has no effect while
    // another call is in progress.
    void read(read_callback done);

    // Writes the row of a segment; calls `done` if that succeeds. Has no effect
    // while another call is in progress.
    void write(overload::segment_id segment, base::duration lifetime,
               std::function<void()> done);

    std::uint64_t calls() const { return client_.calls(); }
    std::uint64_t failures() const { return client_.failures(); }

private:
    void read_page(const std::string& first_key, read_callback done);
    void write_row(overload::segment_id segment, base::duration lifetime,
                   std::function<void()> done);
    // Notes the store's time; returns whether the call succeeded.
    bool on_response(
        const absl::StatusOr<platform_wire::rows_response>& response,
        std::string_view call);

    net::event_loop& loop_;
    std::string host_;
    logging::logger& log_;
    store_client client_;
    bool busy_ = false;
    std::vector<remaining_quarantine> read_;
    // The store's time less the local time; empty before the first response.
    std::optional<base::duration> store_time_offset_;
};

}  // namespace bronzehub::entry

#endif
