#pragma once

#include <algorithm>
#include <cstdint>

namespace Fleet {

/*!
    Fencing tokens of a shard's owners.

    An owner has a range of tokens of its own, above those of the owners before it. It raises the token of a
    worker with each restart that it notices: once the new incarnation has seen that token, it rejects calls
    that were meant for a former one. Versions that raise the epoch by 1 and use it as their only token can
    come before and after.
*/
inline constexpr std::uint64_t tokensPerOwner = 1024;

/*! \return the epoch of the owner after the one with the epoch \p former, which is its highest token. */
constexpr std::uint64_t nextEpoch(std::uint64_t former)
{
    return former + tokensPerOwner;
}

/*! \return the token for calls to a worker whose restarts the owner has noticed \p restartCount times. */
constexpr std::uint64_t fencingToken(std::uint64_t epoch, std::uint32_t restartCount)
{
    constexpr std::uint64_t most = tokensPerOwner - 1;
    const std::uint64_t first = epoch > most ? epoch - most : epoch;
    return std::min(epoch, first + std::min<std::uint64_t>(restartCount, most));
}

/*! \return whether the owner with the epoch may use the token. */
constexpr bool isTokenOf(std::uint64_t epoch, std::uint64_t token)
{
    return token >= fencingToken(epoch, 0) && token <= epoch;
}

} // namespace Fleet
