#include "plain.hpp"

#include <utility>

#include "base/hash.hpp"
#include "nlohmann/json.hpp"

namespace bronzehub::standin {
namespace {

using json = nlohmann::json;

std::string identity_of(const request& call) {
    std::string key = call.header("idempotency-key");
    if (!key.empty()) {
        return key;
    }
    return call.method + " " + call.path + " " + base::sha256_hex(call.body);
}

}  // namespace

plain::plain(plain_options options, after_hook after)
    : options_(std::move(options)), after_(std::move(after)) {}

bool plain::is_journaled(const request& call) const {
    return call.path != "/load";
}

void plain::handle(const request& call, const response_ptr& out) {
    if (call.path == "/load") {
        out->send(
            200,
            json({{"running", running_}, {"waiting", 0}, {"draining", false}})
                .dump());
        return;
    }
    const json answer{{"server", options_.name},
                      {"method", call.method},
                      {"path", call.path},
                      {"request_id", call.header("x-request-id")},
                      {"execution", ++executions_},
                      {"execution_of_call", ++by_call_[identity_of(call)]}};
    if (options_.work.count() == 0) {
        out->send(200, answer.dump());
        return;
    }
    ++running_;
    after_(options_.work, [this, out, text = answer.dump()] {
        --running_;
        out->send(200, text);
    });
}

}  // namespace bronzehub::standin
