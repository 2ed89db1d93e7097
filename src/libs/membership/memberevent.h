#pragma once

#include <peer.pb.h>

#include <string_view>

namespace Membership {

/*! Kinds of changes of a member's state. */
enum class MemberChange {
    Joined, //!< A new incarnation is alive; grants to earlier incarnations are void.
    Left, //!< The member left as planned.
    Died, //!< The member was unresponsive for too long and was removed.
    Unreachable, //!< Contact with the member's failure domain was lost; the member may still serve.
    Reachable, //!< Contact with its failure domain is restored; the member's incarnation is unchanged.
    Readmitted, //!< This process itself was removed or paused and must drop everything that it was granted.
};

/*! A change of the state of a member. */
struct MemberEvent {
    MemberChange change = MemberChange::Joined;
    Schema::Member member;
};

/*! \return the lower-case name of a change, for logs. */
std::string_view memberChangeName(MemberChange change);

} // namespace Membership
