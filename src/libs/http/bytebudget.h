#pragma once

#include <atomic>
#include <cstddef>

namespace Http {

/*! Bytes that several parties may hold together. Thread-safe. */
class ByteBudget {
public:
    explicit ByteBudget(std::size_t limit)
        : limit_(limit)
    {
    }

    /*! Takes \p bytes, which must be released later. \return whether the budget holds with them. */
    bool acquire(std::size_t bytes) { return used_.fetch_add(bytes) + bytes <= limit_; }

    void release(std::size_t bytes) { used_.fetch_sub(bytes); }

    std::size_t used() const { return used_; }

private:
    std::size_t limit_;
    std::atomic<std::size_t> used_ = 0;
};

} // namespace Http
