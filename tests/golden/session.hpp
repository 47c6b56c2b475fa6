// Session files: requests and the expected responses as readable text.
//
//   # A comment.
//   @ callers                  destination of the requests that follow
//   > POST /till/sales         request line, then headers
//   > Authorization: Bearer north-key
//   >                          separates headers and body
//   > {"amount":1}
//   ? "version":2              repeat the request until the response has this
//   < 200 OK                   status, headers and body of the response
//
// Texts that differ from run to run have placeholders: {request-N} and
// {plan-N} for ids, {incarnation}, {ip:<destination>} for addresses. They can
// be used in requests too. {fill-N} in a request stands for N letters. A JSON
// body is indented when that loses nothing; of a metrics page only the types
// of the series are kept.
#ifndef BRONZEHUB_TESTS_GOLDEN_SESSION_HPP
#define BRONZEHUB_TESTS_GOLDEN_SESSION_HPP

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "http_exchange.hpp"

namespace bronzehub::golden {

// One request and its expected response.
struct step {
    std::vector<std::string> preamble;  // Comments, blank lines, destination.
    std::string destination;
    std::vector<std::string> request;  // Lines without the mark.
    std::string until;                 // Empty: send once.
    std::string expected;              // Lines with the mark.
};

std::vector<step> parse_session(std::string_view text);

// The text of the step before its response lines.
std::string write_request(const step& value);

// Replaces what differs from run to run by placeholders, and back.
class placeholders {
public:
    explicit placeholders(std::map<std::string, std::uint16_t> ports)
        : ports_(std::move(ports)) {}

    std::string hide(std::string text, const std::string& destination);
    std::string fill(std::string text) const;

private:
    std::map<std::string, std::uint16_t> ports_;
    std::string incarnation_;  // Known after the first id.
};

http_request make_request(const step& value, const placeholders& values);

// The response as lines with the mark.
std::string write_response(const http_response& response,
                           const std::string& destination,
                           placeholders& values);

}  // namespace bronzehub::golden

#endif
