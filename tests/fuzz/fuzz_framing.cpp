// checkfuzz runs=20000 seed=1 max_len=16384
// HTTP requests in pieces cut at any place: the same requests result as from one piece, or an error, and what
// is held of an incomplete one stays within the limits.

#include <http/requestreader.h>

#include <boost/asio/buffer.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>
#include <vector>

namespace {

constexpr Http::Internal::RequestLimits limits { 1024, 2048, 2048 };

struct Outcome {
    std::vector<Http::Request> requests;
    bool isRefused = false;
};

/*! Passes text on in pieces of 1 to \p maxPiece bytes, drawn by \p seed. */
Outcome readAll(std::string_view text, std::size_t maxPiece, std::uint32_t seed)
{
    Outcome outcome;
    Http::Internal::RequestReader reader(limits);
    reader.begin();
    for (;;) {
        if (reader.parse()) {
            outcome.isRefused = true;
            return outcome;
        }
        if (reader.heldBytes() > limits.bufferBytes + limits.bodyBytes)
            std::abort();
        if (reader.isComplete()) {
            outcome.requests.push_back(reader.release());
            reader.begin();
            continue;
        }
        if (text.empty())
            return outcome;
        seed = seed * 1'664'525 + 1'013'904'223;
        const auto memory = reader.prepare();
        const std::size_t size = std::min({ text.size(), memory.size(), 1 + (seed >> 16U) % maxPiece });
        boost::asio::buffer_copy(memory, boost::asio::buffer(text.data(), size));
        reader.commit(size);
        text.remove_prefix(size);
    }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    if (size < 2)
        return 0;
    const std::string_view text(reinterpret_cast<const char*>(data) + 2, size - 2);
    const Outcome whole = readAll(text, 1, 1);
    const Outcome cut = readAll(text, 1 + data[0], data[1]);
    if (whole.requests.size() != cut.requests.size())
        std::abort();
    for (std::size_t number = 0; number < whole.requests.size(); ++number) {
        if (whole.requests[number].target != cut.requests[number].target
            || whole.requests[number].body != cut.requests[number].body)
            std::abort();
    }
    return 0;
}
