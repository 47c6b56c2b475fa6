#include "backend_client/client.hpp"

#include <catch2/catch.hpp>
#include <future>

#include "http_server/server.hpp"

namespace bronzehub::backend_client {
namespace {

TEST_CASE("a response arrives") {
    auto server = http_server::server::start(
        {}, [](http_server::request call, auto writer) {
            writer->respond(200, {{"X-Method", call.method}}, call.body);
        });
    auto sender = client::start();
    std::string body;
    std::promise<call_result> ended;
    (*sender)->send(
        {.address = "127.0.0.1:" + std::to_string((*server)->port()),
         .method = "POST",
         .body = "ping"},
        {.on_headers = [](int status, const auto&) { CHECK(status == 200); },
         .on_body =
             [&](auto bytes) { body.append(bytes.data(), bytes.size()); },
         .on_end =
             [&](const call_result& result) { ended.set_value(result); }});
    CHECK(ended.get_future().get().kind == outcome::completed);
    CHECK(body == "ping");
}

}  // namespace
}  // namespace bronzehub::backend_client
