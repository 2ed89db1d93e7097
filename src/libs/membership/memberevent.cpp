#include "memberevent.h"

#include <array>
#include <cstddef>

namespace Membership {

std::string_view memberChangeName(MemberChange change)
{
    static constexpr std::array<std::string_view, 6> names
        = { "joined", "left", "died", "unreachable", "reachable", "readmitted" };
    return names.at(static_cast<std::size_t>(change));
}

} // namespace Membership
