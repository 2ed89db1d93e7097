#pragma once

#include "message.h"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace Http::Internal {

using BeastRequest = boost::beast::http::request<boost::beast::http::string_body>;
using BeastResponse = boost::beast::http::response<boost::beast::http::string_body>;

/*! Converts between Beast's messages and ours; the body is moved. */
Request fromBeast(BeastRequest&& message);
Response fromBeast(BeastResponse&& message);
BeastRequest toBeast(const Request& message);
BeastResponse toBeast(Response&& message);

} // namespace Http::Internal
