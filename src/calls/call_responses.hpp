// The responses that bronzehub itself writes to callers.
#ifndef BRONZEHUB_CALLS_CALL_RESPONSES_HPP
#define BRONZEHUB_CALLS_CALL_RESPONSES_HPP

#include <string>
#include <string_view>

#include "base/http_header.hpp"
#include "base/refusal.hpp"
#include "http_server/response_writer.hpp"

namespace bronzehub::calls {

// The JSON body of a refusal.
std::string refusal_body(const base::refusal& why, std::string_view request_id);

// Content type, request id, outcome and, where waiting helps, Retry-After. An
// empty request id is left out.
base::http_headers refusal_headers(const base::refusal& why,
                                   std::string_view request_id);

// Answers with the refusal's status, outcome header, body and Retry-After.
void respond_refusal(http_server::response_writer& writer,
                     const base::refusal& why, std::string_view request_id);

// Ends a streamed response that cannot be completed: an error event for
// readers of the stream, then a connection that closes without the last
// chunk, so that the response never looks whole.
void abort_stream(http_server::response_writer& writer,
                  const base::refusal& why, std::string_view request_id);

// The backend server's fields without those of its connection, plus the
// request id and the outcome.
base::http_headers response_headers(const base::http_headers& from_backend,
                                    std::string_view request_id);

}  // namespace bronzehub::calls

#endif
