#include "entry/store_client.hpp"

#include <utility>

#include "absl/strings/str_cat.h"
#include "entry/response_limits.hpp"
#include "platform/message_codec.hpp"

namespace bronzehub::entry {
namespace {

// A page holds 1 MB of rows, which take about 2 MB in base64 with their keys.
// The rest is for responses to a watch, which may exceed one page.
constexpr std::size_t max_store_response_bytes = std::size_t{8} * 1024 * 1024;

}  // namespace

store_client::store_client(net::event_loop& loop, std::string address)
    : loop_(loop), address_(std::move(address)) {}

void store_client::call(const platform_wire::store_request& request,
                        base::duration timeout, callback done) {
    if (!connection_ || !connection_->is_free()) {
        connection_ = std::make_shared<backend_connection>(loop_, address_);
    }
    ++call_count_;
    done_ = std::move(done);
    sent_at_ = loop_.now();
    response_status_ = 0;
    response_body_.clear();
    timeout_timer_ = loop_.run_after(timeout, [this] {
        timeout_timer_.reset();
        // HTTP/1.1 responses arrive in order, so a connection that waits for a
        // lost response delivers no later ones.
        connection_->close();
        finish(absl::DeadlineExceededError("the store did not answer in time"));
    });
    outgoing_request outgoing;
    outgoing.method = request.method;
    outgoing.target = request.target;
    outgoing.headers = {{"Host", address_}};
    if (!request.body.empty()) {
        outgoing.headers.push_back({"Content-Type", "application/json"});
    }
    outgoing.body = request.body;
    connection_->send(
        outgoing, {[this](const net::message_head& head) {
                       response_status_ = head.status;
                       response_era_ =
                           platform_wire::decode_store_era(head.headers);
                       return true;
                   },
                   [this](std::string_view bytes) { on_body(bytes); },
                   [this](exchange_result result, std::string_view reason) {
                       if (result != exchange_result::complete) {
                           finish(absl::UnavailableError(
                               absl::StrCat("store: ", std::string(reason))));
                           return;
                       }
                       finish(platform_wire::decode_rows(
                           response_status_, response_body_, response_era_));
                   }});
}

void store_client::on_body(std::string_view bytes) {
    if (response_body_.size() + bytes.size() > max_store_response_bytes) {
        // Frees the memory now, as the next call may be a while away.
        response_body_ = {};
        connection_->fail_exchange(body_limit_error(max_store_response_bytes));
        return;
    }
    response_body_.append(bytes);
}

void store_client::finish(absl::StatusOr<platform_wire::rows_response> result) {
    if (timeout_timer_) {
        loop_.cancel(*std::exchange(timeout_timer_, std::nullopt));
    }
    failure_count_ += result.ok() ? 0 : 1;
    const callback done = std::exchange(done_, nullptr);
    if (done) {
        done(std::move(result), sent_at_);
    }
}

}  // namespace bronzehub::entry
