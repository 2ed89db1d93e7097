#pragma once

#include "consolesources.h"
#include "http/message.h"
#include "operatortoken.h"

#include <memory>

namespace Console {

/*!
    Authorizes requests and leads them to the administration API or the pages. Calls block.

    API requests carry "Authorization: Bearer TOKEN"; browsers sign in and get a session cookie. A request
    that changes state on behalf of a cookie must carry the session's form token and must not name another
    origin.
*/
class ConsoleHandler {
public:
    /*! \param sources what to show. \param token the operators' token. */
    ConsoleHandler(ConsoleSources sources, OperatorToken token);
    ~ConsoleHandler();

    /*! \param request any request. \return its answer. */
    Http::Response handle(const Http::Request& request);

private:
    struct Private;
    std::unique_ptr<Private> d_;
};

} // namespace Console
