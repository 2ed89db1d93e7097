#pragma once

#include "consolesources.h"
#include "http/message.h"

#include <string_view>

namespace Console {

/*! Returns the name of a member state that is shown to operators. */
std::string_view memberStateName(Schema::MemberState state);

/*! Handles GET /v1/members. */
Http::Response membersResponse(const ConsoleSources& sources);

/*! Handles GET /v1/burn?format=json|text|svg; the default \a format is JSON. */
Http::Response burnResponse(const ConsoleSources& sources, std::string_view format);

} // namespace Console
