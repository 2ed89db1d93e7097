#pragma once

#include "message.h"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace Http::Internal {

using BeastRequest = boost::beast::http::request<boost::beast::http::string_body>;
using BeastResponse = boost::beast::http::response<boost::beast::http::string_body>;

/*! Conversions between Beast messages and Http messages. Bodies are moved, except by toBeast(const Request&).
 */
Request fromBeast(BeastRequest&& message);
Response fromBeast(BeastResponse&& message);
BeastRequest toBeast(const Request& message);
BeastResponse toBeast(Response&& message);

} // namespace Http::Internal
