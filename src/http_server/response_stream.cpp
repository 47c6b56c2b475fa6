#include "http_server/response_stream.hpp"

#include <asio/post.hpp>
#include <utility>

#include "absl/strings/str_cat.h"

namespace bronzehub::http_server {

response_stream::response_stream(response_context context,
                                 std::shared_ptr<connection> target,
                                 part_sender send)
    : context_(std::move(context)),
      connection_(std::move(target)),
      send_(std::move(send)) {}

response_stream::~response_stream() {
    const bool complete = stage_ == stage::ended || stage_ == stage::closed;
    if (!complete && !*context_.stopped) {
        connection_->close_from_outside();
    }
}

// Tasks are always posted, never run in place: a task that a call on the
// strand ran at once would overtake those that other threads posted before.
template <class Task>
void response_stream::post(Task task) {
    if (*context_.stopped) {
        return;
    }
    asio::post(connection_->strand(),
               [self = shared_from_this(), run = std::move(task)]() mutable {
                   run(*self);
               });
}

void response_stream::respond(int status, const base::http_headers& headers,
                              std::string body) {
    pending_ += body.size();
    post([status, headers,
          body = std::move(body)](response_stream& self) mutable {
        self.send_whole(status, headers, std::move(body));
    });
}

void response_stream::start(int status, const base::http_headers& headers) {
    post([status, headers](response_stream& self) {
        self.send_head(status, headers);
    });
}

void response_stream::write(std::string_view bytes) {
    pending_ += bytes.size();
    post([text = std::string(bytes)](response_stream& self) {
        if (self.stage_ == stage::streaming &&
            self.framing_ == body_framing::chunked) {
            self.unsent_ += text;
            self.held_ += text.size();
            self.advance();
        } else {
            self.release(text.size());
        }
    });
}

void response_stream::finish() {
    post([](response_stream& self) {
        if (self.stage_ == stage::streaming) {
            self.stage_ = stage::finishing;
            self.advance();
        }
    });
}

void response_stream::abort() {
    post([](response_stream& self) {
        self.closed_ = nullptr;
        if (self.stage_ == stage::fresh || self.stage_ == stage::streaming) {
            self.stage_ = stage::aborting;
            self.advance();
        }
    });
}

std::size_t response_stream::pending_bytes() const {
    return pending_;
}

void response_stream::on_drained(std::function<void()> hook) {
    post([hook = std::move(hook)](response_stream& self) mutable {
        self.drained_ = std::move(hook);
        self.call_drained_hook();
    });
}

void response_stream::on_closed(std::function<void()> hook) {
    post([hook = std::move(hook)](response_stream& self) mutable {
        if (self.stage_ != stage::ended) {
            self.closed_ = std::move(hook);
        }
        if (self.stage_ == stage::closed) {
            self.call_closed_hook();
        }
    });
}

void response_stream::connection_closed() {
    if (stage_ != stage::ended && stage_ != stage::closed) {
        end(stage::closed);
    }
}

void response_stream::send_whole(int status, const base::http_headers& headers,
                                 std::string body) {
    const std::size_t size = body.size();
    if (stage_ != stage::fresh) {
        release(size);
        return;
    }
    const bool empty = has_no_body(context_.method, status);
    stage_ = stage::finishing;
    held_ = size;
    response_part part;
    part.prefix = format_head({.status = status,
                               .framing = empty ? body_framing::no_body
                                                : body_framing::content_length,
                               .content_length = size,
                               .keep_alive = context_.keep_alive},
                              headers);
    if (!empty) {
        part.body = std::move(body);
    }
    part.last = true;
    send(std::move(part), size);
}

void response_stream::send_head(int status, const base::http_headers& headers) {
    if (stage_ != stage::fresh) {
        return;
    }
    if (has_no_body(context_.method, status)) {
        framing_ = body_framing::no_body;
    } else if (!context_.allows_chunks) {
        connection_->close();
        return;
    }
    stage_ = stage::streaming;
    response_part part;
    part.prefix = format_head({.status = status,
                               .framing = framing_,
                               .keep_alive = context_.keep_alive},
                              headers);
    send(std::move(part), 0);
}

void response_stream::advance() {
    if (sending_) {
        return;
    }
    if (!unsent_.empty() || stage_ == stage::finishing) {
        send_chunk();
    } else if (stage_ == stage::aborting) {
        end(stage::ended);
        connection_->close_orderly();
    }
}

void response_stream::send_chunk() {
    constexpr std::string_view last_chunk = "0\r\n\r\n";
    response_part part;
    part.last = stage_ == stage::finishing;
    const std::size_t size = unsent_.size();
    if (size > 0) {
        part.prefix = absl::StrCat(absl::Hex(size), "\r\n");
        part.body = std::exchange(unsent_, {});
        part.suffix = "\r\n";
    }
    if (part.last && framing_ == body_framing::chunked) {
        part.suffix += last_chunk;
    }
    send(std::move(part), size);
}

void response_stream::send(response_part part, std::size_t body_size) {
    sending_ = true;
    part.keep_alive = context_.keep_alive;
    const bool last = part.last;
    // A closed connection reports back at once, and `end` clears `send_`.
    const part_sender sender = send_;
    sender(std::move(part), [self = shared_from_this(), body_size,
                             last](const asio::error_code& error) {
        self->sent(error, body_size, last);
    });
}

void response_stream::sent(const asio::error_code& error, std::size_t body_size,
                           bool last) {
    sending_ = false;
    if (stage_ == stage::closed || stage_ == stage::ended) {
        return;
    }
    if (error) {
        connection_->close();
        connection_closed();
        return;
    }
    held_ -= body_size;
    release(body_size);
    if (last) {
        end(stage::ended);
    } else {
        advance();
    }
}

void response_stream::release(std::size_t size) {
    pending_ -= size;
    call_drained_hook();
}

// Drops everything that the response holds; the hooks may refer back to their
// owner, which refers to this object.
void response_stream::end(stage final_stage) {
    stage_ = final_stage;
    unsent_.clear();
    send_ = nullptr;
    context_.slot.reset();
    release(std::exchange(held_, 0));
    if (final_stage == stage::closed) {
        call_closed_hook();
    }
    closed_ = nullptr;
}

void response_stream::call_drained_hook() {
    if (drained_ && pending_ <= context_.low_water_bytes) {
        std::exchange(drained_, nullptr)();
    }
}

void response_stream::call_closed_hook() {
    if (closed_) {
        std::exchange(closed_, nullptr)();
    }
}

}  // namespace bronzehub::http_server
