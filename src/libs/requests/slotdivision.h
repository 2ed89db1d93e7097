#pragma once

#include <requests.pb.h>

#include <cstdint>
#include <string_view>

namespace Requests {

/*!
    Computes the share of one member in the slots or connections of one backend server.

    The shares of all members add up to exactly \a slots. Whole shares follow the weights. The remaining slots
    go to members in an order that differs between backend servers, so that they even out over many servers.
    \param division the members and their weights; the order of members does not matter.
    \param member name of the member.
    \param incarnation incarnation of the member's process.
    \param backend name of the backend server.
    \param slots number of slots to divide.
    \return the member's share; 0 if it is not in the division.
*/
std::uint32_t slotShare(const Schema::CreditDivision& division, std::string_view member,
    std::uint64_t incarnation, std::string_view backend, std::uint32_t slots);

} // namespace Requests
