#include "peer/http2_session.hpp"

#include <nghttp2/nghttp2.h>

#include <array>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"

namespace bronzehub::peer {
namespace {

// A peer opens three streams; the fourth leaves room for a later release.
constexpr std::uint32_t max_streams = 4;

std::vector<nghttp2_nv> to_fields(const http2_headers& headers) {
    std::vector<nghttp2_nv> fields;
    // The map's order puts the names with a colon first, as HTTP/2 demands.
    for (const auto& [name, value] : headers) {
        const auto bytes = [](const std::string& text) {
            return reinterpret_cast<std::uint8_t*>(
                const_cast<char*>(text.data()));
        };
        fields.push_back({bytes(name), bytes(value), name.size(), value.size(),
                          NGHTTP2_NV_FLAG_NONE});
    }
    return fields;
}

ssize_t read_source(nghttp2_session*, std::int32_t, std::uint8_t* buffer,
                    std::size_t length, std::uint32_t* flags,
                    nghttp2_data_source* source, void*) {
    auto& read = *static_cast<body_source*>(source->ptr);
    const body_part part = read({reinterpret_cast<char*>(buffer), length});
    if (part.end) {
        *flags |= NGHTTP2_DATA_FLAG_EOF;
    } else if (part.bytes == 0) {
        return NGHTTP2_ERR_DEFERRED;
    }
    return static_cast<ssize_t>(part.bytes);
}

nghttp2_data_provider provider_of(body_source* source) {
    nghttp2_data_provider provider{};
    provider.source.ptr = source;
    provider.read_callback = read_source;
    return provider;
}

}  // namespace

// The functions that nghttp2 calls; `user` is the session object.
struct http2_session::callbacks {
    static http2_session& of(void* user) {
        return *static_cast<http2_session*>(user);
    }

    static int on_header(nghttp2_session*, const nghttp2_frame* frame,
                         const std::uint8_t* name, std::size_t name_size,
                         const std::uint8_t* value, std::size_t value_size,
                         std::uint8_t, void* user) {
        of(user).incoming_[frame->hd.stream_id].insert_or_assign(
            std::string(reinterpret_cast<const char*>(name), name_size),
            std::string(reinterpret_cast<const char*>(value), value_size));
        return 0;
    }

    static int on_frame(nghttp2_session*, const nghttp2_frame* frame,
                        void* user) {
        http2_session& self = of(user);
        const stream_id stream = frame->hd.stream_id;
        if (frame->hd.type == NGHTTP2_HEADERS) {
            auto headers = self.incoming_.extract(stream);
            if (!headers.empty()) {
                self.events_.on_headers(stream, headers.mapped());
            }
        }
        const bool carries_end =
            frame->hd.type == NGHTTP2_HEADERS || frame->hd.type == NGHTTP2_DATA;
        if (carries_end && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0) {
            self.events_.on_end(stream);
        }
        return 0;
    }

    static int on_data(nghttp2_session*, std::uint8_t, std::int32_t stream,
                       const std::uint8_t* data, std::size_t size, void* user) {
        of(user).events_.on_data(stream,
                                 {reinterpret_cast<const char*>(data), size});
        return 0;
    }

    static int on_close(nghttp2_session*, std::int32_t stream, std::uint32_t,
                        void* user) {
        of(user).sources_.erase(stream);
        return 0;
    }
};

http2_session::http2_session(side role, http2_events events)
    : events_(std::move(events)) {
    nghttp2_session_callbacks* table = nullptr;
    nghttp2_session_callbacks_new(&table);
    nghttp2_session_callbacks_set_on_header_callback(table,
                                                     callbacks::on_header);
    nghttp2_session_callbacks_set_on_frame_recv_callback(table,
                                                         callbacks::on_frame);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(
        table, callbacks::on_data);
    nghttp2_session_callbacks_set_on_stream_close_callback(table,
                                                           callbacks::on_close);
    if (role == side::dialler) {
        nghttp2_session_client_new(&session_, table, this);
    } else {
        nghttp2_session_server_new(&session_, table, this);
    }
    nghttp2_session_callbacks_del(table);
    const std::array<nghttp2_settings_entry, 1> settings{
        {{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, max_streams}}};
    nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings.data(),
                            settings.size());
}

http2_session::~http2_session() {
    nghttp2_session_del(session_);
}

absl::Status http2_session::receive(std::span<const char> bytes) {
    const ssize_t used = nghttp2_session_mem_recv(
        session_, reinterpret_cast<const std::uint8_t*>(bytes.data()),
        bytes.size());
    if (used < 0) {
        return absl::InvalidArgumentError(absl::StrCat(
            "peer connection: ", nghttp2_strerror(static_cast<int>(used))));
    }
    return absl::OkStatus();
}

absl::Status http2_session::produce(std::string& out, std::size_t limit) {
    while (out.size() < limit) {
        const std::uint8_t* data = nullptr;
        const ssize_t size = nghttp2_session_mem_send(session_, &data);
        if (size < 0) {
            return absl::InternalError(absl::StrCat(
                "peer connection: ", nghttp2_strerror(static_cast<int>(size))));
        }
        if (size == 0) {
            break;
        }
        out.append(reinterpret_cast<const char*>(data),
                   static_cast<std::size_t>(size));
    }
    return absl::OkStatus();
}

std::unique_ptr<body_source> http2_session::keep(body_source source) {
    return source ? std::make_unique<body_source>(std::move(source)) : nullptr;
}

stream_id http2_session::request(const http2_headers& headers,
                                 body_source source) {
    std::unique_ptr<body_source> kept = keep(std::move(source));
    const nghttp2_data_provider provider = provider_of(kept.get());
    const std::vector<nghttp2_nv> fields = to_fields(headers);
    const stream_id stream =
        nghttp2_submit_request(session_, nullptr, fields.data(), fields.size(),
                               kept ? &provider : nullptr, nullptr);
    if (kept) {
        sources_[stream] = std::move(kept);
    }
    return stream;
}

void http2_session::respond(stream_id stream, const http2_headers& headers,
                            body_source source) {
    std::unique_ptr<body_source> kept = keep(std::move(source));
    const nghttp2_data_provider provider = provider_of(kept.get());
    const std::vector<nghttp2_nv> fields = to_fields(headers);
    nghttp2_submit_response(session_, stream, fields.data(), fields.size(),
                            kept ? &provider : nullptr);
    if (kept) {
        sources_[stream] = std::move(kept);
    }
}

void http2_session::resume(stream_id stream) {
    nghttp2_session_resume_data(session_, stream);
}

}  // namespace bronzehub::peer
