// Recognises callers that wait for "100 Continue" before they send a body.
// RESTinio does not answer them, and they lose up to a second each.
#ifndef BRONZEHUB_HTTP_SERVER_EXPECT_CONTINUE_HPP
#define BRONZEHUB_HTTP_SERVER_EXPECT_CONTINUE_HPP

#include <string_view>

namespace bronzehub::http_server {

// True when `received`, the first bytes of a request, is a whole HTTP/1.1 head
// with `Expect: 100-continue` and nothing after it. A head that came in parts
// is not recognised; its caller goes on after its own timeout. O(size).
bool expects_continue(std::string_view received);

}  // namespace bronzehub::http_server

#endif
