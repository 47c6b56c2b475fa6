#include "entry/quarantine_store.hpp"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/str_cat.h"
#include "entry/quarantine_link.hpp"

namespace bronzehub::entry {
namespace {

using overload::segment_id;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr std::string_view quarantine_table = "quarantined_segments";
constexpr milliseconds response_timeout{900};
constexpr int hexadecimal = 16;

std::optional<segment_id> decode_segment_key(const std::string& key) {
    segment_id result = 0;
    const char* const end = key.c_str() + key.size();
    const auto parsed = std::from_chars(key.c_str(), end, result, hexadecimal);
    if (key.empty() || parsed.ec != std::errc() || parsed.ptr != end) {
        return std::nullopt;
    }
    return result;
}

}  // namespace

std::string encode_segment_key(segment_id segment) {
    return absl::StrCat(absl::Hex(segment));
}

std::string encode_quarantine(milliseconds ends_at, std::string_view host) {
    return nlohmann::json{{"ends_at_ms", ends_at.count()}, {"host", host}}
        .dump();
}

std::optional<remaining_quarantine> decode_quarantine(
    const platform_wire::stored_row& row, milliseconds now) {
    const auto segment = decode_segment_key(row.key);
    const auto value = nlohmann::json::parse(row.value, nullptr, false);
    if (!segment || !value.is_object()) {
        return std::nullopt;
    }
    const auto ends_at = value.find("ends_at_ms");
    if (ends_at == value.end() || !ends_at->is_number_integer()) {
        return std::nullopt;
    }
    const auto ends_at_ms = ends_at->get<std::int64_t>();
    if (ends_at_ms <= now.count()) {
        return std::nullopt;
    }
    // A row can't quarantine a segment for longer than this program does.
    const milliseconds remaining =
        std::min<milliseconds>(milliseconds(ends_at_ms - now.count()),
                               quarantine_link::quarantine_lifetime);
    return remaining_quarantine{*segment, remaining};
}

quarantine_store::quarantine_store(net::event_loop& loop,
                                   const std::string& store_address,
                                   std::string host, logging::logger& log)
    : loop_(loop),
      host_(std::move(host)),
      log_(log),
      client_(loop, store_address) {}

bool quarantine_store::on_response(
    const absl::StatusOr<platform_wire::rows_response>& response,
    std::string_view call) {
    if (!response.ok()) {
        busy_ = false;
        log_.warning("quarantined segments not in reach of the store",
                     {logging::field("call", call),
                      logging::field("cause", response.status())});
        return false;
    }
    store_time_offset_ = response->store_time - loop_.now().time_since_epoch();
    return true;
}

void quarantine_store::read(read_callback done) {
    if (std::exchange(busy_, true)) {
        return;
    }
    read_.clear();
    read_page("", std::move(done));
}

void quarantine_store::read_page(const std::string& first_key,
                                 read_callback done) {
    client_.call(
        platform_wire::make_read_rows_request(quarantine_table, first_key),
        response_timeout,
        [this, done = std::move(done)](
            const absl::StatusOr<platform_wire::rows_response>& page,
            base::time_point) {
            if (!on_response(page, "read")) {
                return;
            }
            for (const auto& row : page->rows) {
                if (const auto each =
                        decode_quarantine(row, page->store_time)) {
                    read_.push_back(*each);
                }
            }
            if (page->has_more && !page->rows.empty()) {
                read_page(page->rows.back().key + '\0', done);
                return;
            }
            busy_ = false;
            done(read_);
        });
}

void quarantine_store::write(segment_id segment, base::duration lifetime,
                             std::function<void()> done) {
    if (store_time_offset_) {
        if (!std::exchange(busy_, true)) {
            write_row(segment, lifetime, std::move(done));
        }
        return;
    }
    // A read tells the store's time.
    read([this, segment, lifetime, done = std::move(done)](const auto&) {
        write(segment, lifetime, done);
    });
}

void quarantine_store::write_row(segment_id segment, base::duration lifetime,
                                 std::function<void()> done) {
    const auto ends_at = duration_cast<milliseconds>(
        loop_.now().time_since_epoch() + *store_time_offset_ + lifetime);
    client_.call(
        platform_wire::make_write_row_request(
            quarantine_table, encode_segment_key(segment),
            encode_quarantine(ends_at, host_)),
        response_timeout,
        [this, done = std::move(done)](
            const absl::StatusOr<platform_wire::rows_response>& written,
            base::time_point) {
            if (on_response(written, "write")) {
                busy_ = false;
                done();
            }
        });
}

}  // namespace bronzehub::entry
