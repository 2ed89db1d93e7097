#include "slotdivision.h"

#include <algorithm>
#include <string>
#include <tuple>
#include <vector>

namespace Requests {

namespace {

// Uses FNV-1a because std::hash may differ between processes, which must all compute the same order.
std::uint64_t stableHash(std::string_view first, std::string_view second)
{
    std::uint64_t hash = 14695981039346656037ULL;
    const auto addToHash = [&hash](std::string_view text) {
        for (const char character : text) {
            hash ^= static_cast<unsigned char>(character);
            hash *= 1099511628211ULL;
        }
    };
    addToHash(first);
    addToHash("/");
    addToHash(second);
    return hash;
}

struct Share {
    const Schema::CreditMember* member = nullptr;
    std::uint64_t slots = 0;
    std::uint64_t remainder = 0;
    std::uint64_t tieBreaker = 0;
};

bool precedes(const Share& a, const Share& b)
{
    const auto key = [](const Share& share) {
        return std::tuple(
            share.tieBreaker, std::string_view(share.member->name()), share.member->incarnation());
    };
    return key(a) < key(b);
}

} // namespace

std::uint32_t slotShare(const Schema::CreditDivision& division, std::string_view member,
    std::uint64_t incarnation, std::string_view backend, std::uint32_t slots)
{
    std::uint64_t total = 0;
    for (const Schema::CreditMember& other : division.members())
        total += std::max(1U, other.weight());
    std::vector<Share> shares;
    std::uint64_t assignedSlots = 0;
    for (const Schema::CreditMember& other : division.members()) {
        const std::uint64_t product = std::uint64_t { slots } * std::max(1U, other.weight());
        shares.push_back({ &other, product / total, product % total,
            stableHash(backend, other.name() + std::to_string(other.incarnation())) });
        assignedSlots += product / total;
    }
    std::ranges::sort(shares, precedes);
    for (Share& share : shares) {
        if (assignedSlots == slots)
            break;
        if (share.remainder == 0)
            continue;
        ++share.slots;
        ++assignedSlots;
    }
    for (const Share& share : shares) {
        if (share.member->name() == member && share.member->incarnation() == incarnation)
            return static_cast<std::uint32_t>(share.slots);
    }
    return 0;
}

} // namespace Requests
