#include "requestreader.h"

#include <boost/beast/http/error.hpp>

#include <algorithm>

namespace Http::Internal {

namespace {

constexpr std::size_t minPieceBytes = 512;
constexpr std::size_t maxPieceBytes = 4U << 10U;

} // namespace

RequestReader::RequestReader(const RequestLimits& limits)
    : limits_(limits)
    , buffer_(limits.bufferBytes)
{
}

boost::beast::flat_buffer::mutable_buffers_type RequestReader::prepare()
{
    const std::size_t room = limits_.bufferBytes - buffer_.size();
    const std::size_t allocated = buffer_.capacity() - buffer_.size();
    // Larger pieces only once the buffer has grown, so that idle connections hold little.
    return buffer_.prepare(
        std::min(room, std::max(allocated, buffer_.size() == 0 ? maxPieceBytes : minPieceBytes)));
}

void RequestReader::begin()
{
    parser_.emplace();
    parser_->eager(true);
    parser_->header_limit(limits_.headerBytes);
    parser_->body_limit(limits_.bodyBytes);
}

boost::system::error_code RequestReader::parse()
{
    while (buffer_.size() > 0 && !parser_->is_done()) {
        boost::system::error_code errorCode;
        buffer_.consume(parser_->put(buffer_.data(), errorCode));
        if (errorCode == boost::beast::http::error::need_more)
            break;
        if (errorCode)
            return errorCode;
    }
    // The parser cannot go on before more arrives, for which there is no memory.
    if (!parser_->is_done() && buffer_.size() >= limits_.bufferBytes)
        return boost::beast::http::error::buffer_overflow;
    return {};
}

} // namespace Http::Internal
