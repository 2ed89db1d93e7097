#pragma once

#include "consolesources.h"
#include "http/message.h"
#include "operatortoken.h"

#include <memory>

namespace Console {

/*!
    Authorizes requests and routes them to the administration API or the pages. Blocks.

    API requests contain "Authorization: Bearer TOKEN"; browsers sign in and get a session cookie. A POST
    request authorized by a cookie must contain the form token of the session and must not have another
    origin.
*/
class ConsoleHandler {
public:
    ConsoleHandler(ConsoleSources sources, OperatorToken token);
    ~ConsoleHandler();

    /*! Returns the response to \a request. */
    Http::Response handle(const Http::Request& request);

private:
    struct Private;
    std::unique_ptr<Private> d_;
};

} // namespace Console
