#pragma once

#include "consolesources.h"
#include "http/message.h"

#include <string_view>

namespace Console {

/*! \param state a member's state. \return its name for operators. */
std::string_view memberStateName(Schema::MemberState state);

/*! Answers GET /v1/members. \param sources where the members come from. */
Http::Response membersResponse(const ConsoleSources& sources);

/*!
    Answers GET /v1/burn?format=json|text|svg.
    \param sources where the samples come from.
    \param format the format; JSON if empty.
*/
Http::Response burnResponse(const ConsoleSources& sources, std::string_view format);

} // namespace Console
