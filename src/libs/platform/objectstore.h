#pragma once

#include "utils/result.h"

#include <string>
#include <string_view>

namespace Platform {

/*! The platform's object store. Calls block until they finish or the adapter's timeout expires. */
class ObjectStore {
public:
    virtual ~ObjectStore() = default;

    /*! Stores an object, replacing any object of the same name. */
    virtual Utils::Status put(std::string_view name, std::string_view content) = 0;

    /*! Reads an object. \return its content; ErrorCode::NotFound if it does not exist. */
    virtual Utils::Result<std::string> get(std::string_view name) = 0;
};

} // namespace Platform
