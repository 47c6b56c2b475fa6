#include "platform_http/http_platform.hpp"

#include <utility>

#include "platform_http/wire.hpp"

namespace bronzehub::platform {

http_platform::http_platform(transfer_options options, base::clock time,
                             post_hook post)
    : post_(std::move(post)), transfers_(std::move(options), std::move(time)) {}

template <class T, class Parse>
void http_platform::submit(http_call call, Parse parse, callback<T> done) {
    transfers_.submit(
        std::move(call),
        [post = post_, parse, done = std::move(done)](http_reply&& reply) {
            post([done, result = parse(std::move(reply))] { done(result); });
        });
}

table_service http_platform::tables() {
    table_service service;
    service.read = [this](const std::string& table, const std::string& key,
                          callback<std::optional<row>> done) {
        submit(read_row_call(table, key), parse_row, std::move(done));
    };
    service.transact = [this](const std::vector<conditional_write>& writes,
                              callback<transaction_result> done) {
        absl::StatusOr<http_call> call = transact_call(writes);
        if (!call.ok()) {
            post_([done, status = call.status()] { done(status); });
            return;
        }
        submit(*std::move(call), parse_transaction, std::move(done));
    };
    service.list = [this](const list_query& query,
                          callback<std::vector<keyed_row>> done) {
        submit(list_call(query), parse_list, std::move(done));
    };
    return service;
}

object_store http_platform::objects() {
    object_store service;
    service.read = [this](const std::string& key,
                          callback<std::optional<std::string>> done) {
        submit(read_object_call(key), parse_object, std::move(done));
    };
    service.create = [this](const std::string& key, std::string value,
                            callback<bool> done) {
        submit(create_object_call(key, std::move(value)), parse_created,
               std::move(done));
    };
    return service;
}

host_list http_platform::hosts() {
    return {[this](callback<std::vector<listed_host>> done) {
        submit(hosts_call(), parse_hosts, std::move(done));
    }};
}

}  // namespace bronzehub::platform
