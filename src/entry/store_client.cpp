#include "entry/store_client.hpp"

#include <utility>

#include "absl/strings/str_cat.h"
#include "entry/response_limits.hpp"

namespace bronzehub::entry {
namespace {

// A page of the store has 1 MB of rows, and two in base64 with their names; the
// rest is for changes of more than a page.
constexpr std::size_t max_store_response = std::size_t{8} * 1024 * 1024;

}  // namespace

store_client::store_client(event_loop& loop, std::string address)
    : loop_(loop), address_(std::move(address)) {}

void store_client::call(const platform_wire::store_request& request,
                        base::duration timeout, callback done) {
    if (!connection_ || !connection_->is_free()) {
        connection_ = std::make_shared<backend_connection>(loop_, address_);
    }
    ++calls_;
    done_ = std::move(done);
    sent_at_ = loop_.now();
    status_ = 0;
    body_.clear();
    timeout_ = loop_.run_after(timeout, [this] {
        timeout_.reset();
        // A connection on which a response is lost delivers nothing further.
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
        outgoing, {[this](const message_head& head) {
                       status_ = head.status;
                       return true;
                   },
                   [this](std::string_view bytes) { on_body(bytes); },
                   [this](exchange_result how, std::string_view reason) {
                       if (how != exchange_result::complete) {
                           finish(absl::UnavailableError(
                               absl::StrCat("store: ", std::string(reason))));
                           return;
                       }
                       finish(platform_wire::decode_rows(status_, body_));
                   }});
}

void store_client::on_body(std::string_view bytes) {
    if (body_.size() + bytes.size() > max_store_response) {
        body_ = {};  // The next call may be a while away.
        connection_->fail_exchange(body_limit_error(max_store_response));
        return;
    }
    body_.append(bytes);
}

void store_client::finish(absl::StatusOr<platform_wire::rows_response> result) {
    if (timeout_) {
        loop_.cancel(*std::exchange(timeout_, std::nullopt));
    }
    failures_ += result.ok() ? 0 : 1;
    const callback done = std::exchange(done_, nullptr);
    if (done) {
        done(std::move(result), sent_at_);
    }
}

}  // namespace bronzehub::entry
