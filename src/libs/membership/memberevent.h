#pragma once

#include <peer.pb.h>

#include <string_view>

namespace Membership {

/*! What happened to a member. */
enum class MemberChange {
    Joined, //!< A new incarnation is alive; nothing granted to an earlier one is valid.
    Left, //!< It left as planned.
    Died, //!< It was silent for too long and is out.
    Unreachable, //!< No word from its failure domain; it may go on serving there.
    Reachable, //!< Word from its failure domain again, same incarnation.
    Readmitted, //!< This process itself was out or paused: it must drop everything it was granted.
};

/*! A state change and the member it happened to. */
struct MemberEvent {
    MemberChange change = MemberChange::Joined;
    Schema::Member member;
};

/*!
    Name of a change for logs.
    \param change the change.
    \return a lower-case name.
*/
std::string_view memberChangeName(MemberChange change);

} // namespace Membership
