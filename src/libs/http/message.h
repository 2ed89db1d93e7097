#pragma once

#include <string>
#include <vector>

namespace Http {

/*! One header line. */
struct Header {
    std::string name;
    std::string value;
};

/*! A whole HTTP request. */
struct Request {
    std::string method = "GET";
    std::string target = "/"; //!< Path and query as they stand on the request line.
    std::vector<Header> headers;
    std::string body;
    std::string peer; //!< IP number of the sender; set by the server, not sent.
};

/*! A whole HTTP response. */
struct Response {
    unsigned status = 200;
    std::vector<Header> headers;
    std::string body;
};

} // namespace Http
