#include "http_server/server.hpp"

#include <curl/curl.h>

#include <catch2/catch.hpp>

namespace bronzehub::http_server {
namespace {

std::string fetch(std::uint16_t port) {
    CURL* curl = curl_easy_init();
    std::string body;
    const std::string url = "http://127.0.0.1:" + std::to_string(port) + "/";
    const auto append =
        +[](char* data, std::size_t, std::size_t size, std::string* out) {
            out->append(data, size);
            return size;
        };
    curl_easy_setopt(curl, CURLOPT_URL, url.c_str());
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, append);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, &body);
    CHECK(curl_easy_perform(curl) == CURLE_OK);
    curl_easy_cleanup(curl);
    return body;
}

TEST_CASE("a whole response arrives") {
    auto started = server::start(
        {}, [](request, auto writer) { writer->respond(200, {}, "whole"); });
    REQUIRE(started.ok());
    CHECK(fetch((*started)->port()) == "whole");
}

TEST_CASE("a streamed response arrives") {
    auto started = server::start({}, [](request, auto writer) {
        writer->start(200, {});
        writer->write("one ");
        writer->write("two");
        writer->finish();
    });
    REQUIRE(started.ok());
    CHECK(fetch((*started)->port()) == "one two");
}

}  // namespace
}  // namespace bronzehub::http_server
