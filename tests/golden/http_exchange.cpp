#include "http_exchange.hpp"

#include <algorithm>
#include <stdexcept>
#include <string_view>

#include "../support/raw_socket.hpp"

namespace bronzehub::golden {
namespace {

constexpr std::string_view line_end = "\r\n";
constexpr std::string_view chunked_header = "Transfer-Encoding: chunked";
constexpr int chunk_size_base = 16;

// Removes the text before `separator`, and the separator, from `rest`.
std::string take_until(std::string_view& rest, std::string_view separator) {
    const std::size_t end = rest.find(separator);
    if (end == std::string_view::npos) {
        throw std::runtime_error("incomplete HTTP response: \"" +
                                 std::string(rest) + "\"");
    }
    std::string text(rest.substr(0, end));
    rest.remove_prefix(end + separator.size());
    return text;
}

std::string decode_chunks(std::string_view rest) {
    std::string body;
    while (true) {
        const std::size_t size =
            std::stoul(take_until(rest, line_end), nullptr, chunk_size_base);
        if (rest.size() < size + line_end.size()) {
            throw std::runtime_error("incomplete chunk");
        }
        if (size == 0) {
            return body;
        }
        body.append(rest.substr(0, size));
        rest.remove_prefix(size + line_end.size());
    }
}

std::string to_text(const http_request& request) {
    std::string text = request.method + " " + request.path +
                       " HTTP/1.1\r\nHost: golden\r\nConnection: close\r\n";
    for (const std::string& header : request.headers) {
        text.append(header).append(line_end);
    }
    if (!request.body.empty()) {
        text += "Content-Length: " + std::to_string(request.body.size());
        text.append(line_end);
    }
    return text.append(line_end).append(request.body);
}

}  // namespace

http_response exchange(std::uint16_t port, const http_request& request) {
    auto socket = test::raw_socket::connect(port);
    socket.send(to_text(request));
    const std::string received = socket.read_all();
    std::string_view rest = received;
    http_response response;
    take_until(rest, " ");
    response.status = take_until(rest, line_end);
    for (std::string line = take_until(rest, line_end); !line.empty();
         line = take_until(rest, line_end)) {
        response.headers.push_back(line);
    }
    const bool chunked = std::ranges::find(response.headers, chunked_header) !=
                         response.headers.end();
    response.body = chunked ? decode_chunks(rest) : std::string(rest);
    return response;
}

}  // namespace bronzehub::golden
