// A small target for path_load: answers requests itself, or forwards them by
// the backend client, which gives the least that any daemon on the path adds.
#include <docopt.h>

#include <iostream>
#include <limits>
#include <map>
#include <memory>
#include <span>
#include <string>

#include "backend_client/client.hpp"
#include "http_server/server.hpp"

namespace {

using bronzehub::http_server::request;
using bronzehub::http_server::request_handler;
using writer_ptr = std::shared_ptr<bronzehub::http_server::response_writer>;
namespace backend = bronzehub::backend_client;

constexpr const char* usage =
    R"(Answers small requests until standard input ends.

Usage:
  path_echo [--forward=<address>] [--port=<n>] [--threads=<n>]
  path_echo --help

Options:
  --forward=<address>  Forward to this ip:port instead of answering.
  --port=<n>           Port on 127.0.0.1, 0 for any [default: 0].
  --threads=<n>        I/O threads [default: 1].
  --help               Show this text.
)";

request_handler answer() {
    return [](const request&, const writer_ptr& writer) {
        writer->respond(200, {{"Content-Type", "text/plain"}}, "ok\n");
    };
}

// Collects a response and passes it on whole.
request_handler forward(backend::client& client, const std::string& address) {
    return [&client, address](const request& call, const writer_ptr& writer) {
        struct response {
            int status = 0;
            bronzehub::base::http_headers headers;
            std::string body;
        };
        auto received = std::make_shared<response>();
        backend::backend_events events;
        events.on_headers = [received](int status, const auto& headers) {
            received->status = status;
            received->headers = headers;
        };
        events.on_body = [received](std::span<const char> bytes) {
            received->body.append(bytes.data(), bytes.size());
            return absl::OkStatus();
        };
        events.on_end = [received, writer](const backend::call_result& result) {
            const bool whole = result.kind == backend::outcome::completed;
            writer->respond(whole ? received->status : 502, received->headers,
                            std::move(received->body));
        };
        client.send({.address = address,
                     .method = call.method,
                     .path = call.target,
                     .headers = call.headers,
                     .body = call.body},
                    std::move(events));
    };
}

int run(std::map<std::string, docopt::value>& options) {
    auto client = backend::client::start();
    if (!client.ok()) {
        std::cerr << client.status() << '\n';
        return 1;
    }
    const auto address = options["--forward"];
    auto started = bronzehub::http_server::server::start(
        {.port = static_cast<std::uint16_t>(options["--port"].asLong()),
         .threads = static_cast<std::size_t>(options["--threads"].asLong())},
        address ? forward(**client, address.asString()) : answer());
    if (!started.ok()) {
        std::cerr << started.status() << '\n';
        return 1;
    }
    std::cout << "127.0.0.1:" << (*started)->port() << std::endl;
    std::cin.ignore(std::numeric_limits<std::streamsize>::max());
    return 0;
}

}  // namespace

int main(int argc, char** argv) {
    auto options = docopt::docopt(usage, {argv + 1, argv + argc}, true);
    try {
        return run(options);
    } catch (const std::exception& error) {
        std::cerr << "path_echo: " << error.what() << '\n';
        return 2;
    }
}
