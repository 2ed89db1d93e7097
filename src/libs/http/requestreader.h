#pragma once

#include "beastmessage.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/system/error_code.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>

namespace Http::Internal {

/*! Bounds on one request. */
struct RequestLimits {
    std::uint32_t headerBytes = 0;
    std::uint64_t bodyBytes = 0;
    std::size_t bufferBytes = 0; //!< Of a header, a block of trailers or the header of a chunk.
};

/*!
    Puts the requests of one connection together from the pieces in which they arrive; does no I/O.

    What is held of an incomplete request never exceeds the limits, however the pieces are cut.
*/
class RequestReader {
public:
    explicit RequestReader(const RequestLimits& limits);

    /*! \return memory for the next piece, at least 1 byte. */
    boost::beast::flat_buffer::mutable_buffers_type prepare();

    /*! Adds the first \p bytes of the prepared memory to what has arrived. */
    void commit(std::size_t bytes) { buffer_.commit(bytes); }

    /*! \return whether anything has arrived that is not part of the former request. */
    bool hasInput() const { return buffer_.size() > 0; }

    /*! Begins the next request, of which a part may have arrived. */
    void begin();

    /*!
        Parses what has arrived.

        \return an error if the request is malformed or exceeds a limit. The reader must not be used after it.
    */
    boost::system::error_code parse();

    /*! \return whether the request is complete. */
    bool isComplete() const { return parser_->is_done(); }

    /*! \return the bytes that are held of the request. */
    std::size_t heldBytes() const { return buffer_.capacity() + parser_->get().body().size(); }

    /*! \return whether the connection may be used for another request. */
    bool isKeptAlive() const { return parser_->get().keep_alive(); }

    /*! \return the complete request. */
    Request release() { return fromBeast(parser_->release()); }

private:
    RequestLimits limits_;
    boost::beast::flat_buffer buffer_;
    std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> parser_;
};

} // namespace Http::Internal
