// The HTTP status that answers an error of RESTinio's parser.
#ifndef BRONZEHUB_HTTP_SERVER_PARSER_ERROR_HPP
#define BRONZEHUB_HTTP_SERVER_PARSER_ERROR_HPP

#include <string_view>

namespace bronzehub::http_server {

// Maps a log message of RESTinio to a status: 413 for a body over its limit,
// 414 for a target and 431 for a header field over theirs, 400 for any other
// parser error, 0 for a message that is not about the parser.
int parser_error_status(std::string_view message);

}  // namespace bronzehub::http_server

#endif
